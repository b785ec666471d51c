package membudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
)

const slowAfter = time.Second

// receive returns a request that is being received and holds n bytes. It releases them as soon
// as it is told to yield, and counts that.
func receive(g *WithT, in *membudget.RequestBudget, n int64, now time.Duration, told *int) *membudget.Upload {
	u := in.Upload(false, now)
	u.Receive(func() { *told++ })
	ok, _ := u.Grow(n, now)
	g.Expect(ok).To(BeTrue())
	return u
}

// Load: callers that stop just short of the end of large bodies and keep their connections
// open, until all memory is held. Guards against small requests that find no room, and against
// requests that lose theirs although slower or larger ones could yield.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	g := NewWithT(t)
	const mb = 1 << 20
	in := membudget.NewRequestBudget(10*mb, slowAfter)
	var fast, slow, small int
	stalled := receive(g, in, 2*mb, 0, &slow)
	now := 2 * slowAfter
	large := receive(g, in, 6*mb, now, &fast)
	receive(g, in, 32<<10, now, &small)

	u := in.Upload(false, now)
	ok, retry := u.Grow(2*mb, now)
	g.Expect(ok).To(BeFalse())
	g.Expect(retry).NotTo(BeNil())
	g.Expect([]int{slow, fast, small}).To(Equal([]int{1, 0, 0}), "the slow one first, although it holds less")
	g.Expect(stalled.Yielding()).To(BeTrue())
	g.Expect(stalled.Complete()).To(BeFalse())
	_, again := u.Grow(2*mb, now)
	g.Expect(again).To(Equal(retry), "the same one suffices")
	g.Expect(slow + fast + small).To(Equal(1))
	stalled.Release()
	g.Expect(retry).To(BeClosed())
	ok, _ = u.Grow(2*mb, now)
	g.Expect(ok).To(BeTrue())

	ok, retry = large.Grow(4*mb, now)
	g.Expect(ok || retry != nil).To(BeFalse(), "the one that holds the most makes no other yield")
	g.Expect(in.YieldSlow(now)).To(BeFalse())
	g.Expect(in.YieldSlow(now + slowAfter)).To(BeTrue())
}

// Load: more complete large and pipelined requests than there is room for. Guards against small
// requests that are refused because of them, and against bodies that are read in vain.
func TestReserveIsForSmallRequests(t *testing.T) {
	g := NewWithT(t)
	in := membudget.NewRequestBudget(10<<20, slowAfter)
	for range 1000 {
		u := in.Upload(false, 0)
		u.Receive(func() {})
		if ok, _ := u.Grow(256<<10, 0); !ok || !u.Complete() {
			u.Release()
			p := in.Upload(true, 0)
			if ok, _ := p.Grow(4<<10, 0); !ok {
				break
			}
		}
	}
	g.Expect(in.Used()).To(BeNumerically("<=", 9<<20))
	g.Expect(in.Upload(false, 0).CouldHold(64 << 10)).To(BeFalse())
	for range 100 {
		ok, _ := in.Upload(false, 0).Grow(8<<10, 0)
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against requests that together hold more than the budget, against bytes that are not
// returned, and against a request that waits although none is told to yield.
func TestRequestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		in := membudget.NewRequestBudget(total, slowAfter)
		told := make(map[*membudget.Upload]bool)
		var uploads []*membudget.Upload
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			action := rapid.IntRange(0, 9).Draw(t, "action")
			if len(uploads) == 0 || action == 0 {
				u := in.Upload(rapid.Bool().Draw(t, "pipelined"), now)
				u.Receive(func() { told[u] = true })
				uploads = append(uploads, u)
				continue
			}
			i := rapid.IntRange(0, len(uploads)-1).Draw(t, "request")
			u := uploads[i]
			switch {
			case action == 1 || told[u]:
				u.Release()
				delete(told, u)
				uploads = append(uploads[:i], uploads[i+1:]...)
			case action == 2:
				if u.Complete() == told[u] {
					t.Fatalf("told to yield: %t", told[u])
				}
			default:
				ok, retry := u.Grow(rapid.Int64Range(1, 300<<10).Draw(t, "bytes"), now)
				if !ok && retry != nil && len(told) == 0 {
					t.Fatal("a request waits for none")
				}
			}
			if used := in.Used(); used < 0 || used > total {
				t.Fatalf("%d bytes are held", used)
			}
		}
		for _, u := range uploads {
			u.Release()
		}
		if used := in.Used(); used != 0 {
			t.Fatalf("%d bytes are held by none", used)
		}
	})
}
