package dedup_test

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

var epoch = time.UnixMilli(1_700_000_000_000)

type world struct{ clk clock.Manual }

func (w *world) options(capacity int) dedup.Options {
	return dedup.Options{Clock: &w.clk, Wall: func() time.Time { return epoch.Add(w.clk.Now()) }, Capacity: capacity}
}

func id(n byte, created time.Duration) request.ID {
	at := epoch.Add(created)
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16)
	u[15] = n
	return request.ID{UUID: u, Created: at}
}

var (
	req    = &request.Request{Service: "booking", Customer: "pewright"}
	first  = request.Digest{1}
	second = request.Digest{2}
)

func answer(size int) dedup.Outcome {
	return dedup.Outcome{Verdict: verdict.Ran, Status: 200, Body: make([]byte, size), BodyStored: true}
}

// Guards against a second run of an id, for each state in which the repeat can
// meet the first run.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish *dedup.Outcome // nil: in flight
		digest request.Digest
		code   verdict.Code
		verd   verdict.Verdict
		ticket bool
		wait   bool
		stored bool
	}{
		{name: "in flight", digest: first, wait: true},
		{name: "in flight, other content", digest: second, code: verdict.CodeIDReused, verd: verdict.NotRun},
		{name: "ran, small answer", finish: new(answer(4096)), digest: first, stored: true},
		{name: "ran, large answer", finish: new(answer(4097)), digest: first},
		{name: "ran, other content", finish: new(answer(1)), digest: second, code: verdict.CodeIDReused, verd: verdict.NotRun},
		{name: "may have run", finish: &dedup.Outcome{}, digest: first},
		{name: "not run", finish: &dedup.Outcome{Verdict: verdict.NotRun}, digest: first, ticket: true},
		{name: "not run, other content", finish: &dedup.Outcome{Verdict: verdict.NotRun}, digest: second, ticket: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := &world{}
			m := dedup.New(w.options(0), time.Time{})
			claim, err := m.Claim(req, id(1, 0), first)
			g.Expect(err).To(BeNil())
			g.Expect(claim.Permit.MarkSent()).To(BeNil())
			if c.finish != nil {
				claim.Permit.Finish(*c.finish)
				claim.Permit.Finish(dedup.Outcome{Verdict: verdict.NotRun}) // the first call counts
			}
			again, err := m.Claim(req, id(1, 0), c.digest)
			if c.code != "" {
				g.Expect(err.Code).To(Equal(c.code))
				g.Expect(err.Verdict).To(Equal(c.verd))
				return
			}
			g.Expect(err).To(BeNil())
			g.Expect(again.Permit != nil).To(Equal(c.ticket))
			g.Expect(again.Wait != nil).To(Equal(c.wait))
			if again.Outcome != nil {
				g.Expect(again.Outcome.Verdict).To(Equal(c.finish.Verdict))
				g.Expect(again.Outcome.BodyStored).To(Equal(c.stored))
			}
			elsewhere, err := m.Claim(&request.Request{Service: "booking", Customer: topology.Customer("other")}, id(1, 0), second)
			g.Expect(err).To(BeNil(), "the id of another customer is separate")
			g.Expect(elsewhere.Permit).NotTo(BeNil())
		})
	}
}

// Guards against a run of an id that this leader cannot know: an earlier leader
// may have run it, or its entry has expired.
func TestUnknownIDs(t *testing.T) {
	for _, c := range []struct {
		name    string
		since   time.Duration // -1: nothing ran before
		now     time.Duration
		created time.Duration
		refused bool
	}{
		{"created before the leadership", 10 * time.Second, 11 * time.Second, 9 * time.Second, true},
		{"dated ahead when the leadership began", 10 * time.Second, 11 * time.Second, 10*time.Second + 499*time.Millisecond, true},
		{"created after the guard", 10 * time.Second, 11 * time.Second, 10*time.Second + 500*time.Millisecond, false},
		{"first leader", -1, time.Second, 0, false},
		{"at the age limit", -1, 130 * time.Second, 10 * time.Second, false},
		{"over the age limit", -1, 130 * time.Second, 10*time.Second - time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := &world{}
			w.clk.Advance(c.now)
			var since time.Time
			if c.since >= 0 {
				since = epoch.Add(c.since)
			}
			_, err := dedup.New(w.options(0), since).Claim(req, id(1, c.created), first)
			g.Expect(err != nil).To(Equal(c.refused))
			if c.refused {
				g.Expect(err.Code).To(Equal(verdict.CodeIDUnknown))
				g.Expect(err.Verdict).To(Equal(verdict.MayHaveRun))
			}
		})
	}
}

// Guards against an id that is forgotten while its age still permits a run, and
// against memory that grows without bound.
func TestExpiryAndBound(t *testing.T) {
	g := NewWithT(t)
	w := &world{}
	m := dedup.New(w.options(2), time.Time{})
	claim, _ := m.Claim(req, id(1, request.MaxIDAhead), first)
	claim.Permit.Finish(answer(1))
	_, _ = m.Claim(req, id(2, 0), first) // stays in flight
	_, err := m.Claim(req, id(3, 0), first)
	g.Expect(err.Code).To(Equal(verdict.CodeOverload))
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	for range 1210 {
		w.clk.Advance(100 * time.Millisecond)
		again, err := m.Claim(req, id(1, request.MaxIDAhead), first)
		g.Expect(again.Permit).To(BeNil())
		g.Expect(err == nil || err.Code == verdict.CodeIDUnknown).To(BeTrue())
	}
	g.Expect(m.Len()).To(Equal(1), "the id in flight is kept")
}

// Guards against a second run after a hand-over, and against a run at the old
// leader after it.
func TestHandOver(t *testing.T) {
	g := NewWithT(t)
	w, next := &world{}, &world{}
	m := dedup.New(w.options(0), time.Time{})
	claims := make([]dedup.Claim, 4)
	for i := range claims {
		claims[i], _ = m.Claim(req, id(byte(i), 0), first)
	}
	claims[0].Permit.Finish(answer(10))
	g.Expect(claims[1].Permit.MarkSent()).To(BeNil()) // in flight, sent
	claims[2].Permit.Finish(dedup.Outcome{Verdict: verdict.NotRun})
	w.clk.Advance(50 * time.Second)
	next.clk.Advance(50 * time.Second)
	h := m.Export()
	g.Expect(claims[3].Permit.MarkSent()).NotTo(BeNil()) // waited, must not be sent any more
	_, err := m.Claim(req, id(9, 50*time.Second), first)
	g.Expect(err.Code).To(Equal(verdict.CodeNotLeader))
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))

	claims[1].Permit.Finish(answer(10)) // ends after the hand-over
	g.Expect(m.Len()).To(BeZero())

	n, ok := dedup.Import(next.options(0), h)
	g.Expect(ok).To(BeTrue())
	claim, _ := n.Claim(req, id(0, 0), first)
	g.Expect(claim.Outcome.BodyStored).To(BeTrue())
	claim, _ = n.Claim(req, id(1, 0), first)
	g.Expect(claim.Outcome.Verdict).To(Equal(verdict.MayHaveRun))
	for _, notRun := range []byte{2, 3} {
		claim, _ = n.Claim(req, id(notRun, 0), first)
		g.Expect(claim.Permit).NotTo(BeNil())
	}
	next.clk.Advance(71500 * time.Millisecond)
	_, _ = n.Claim(req, id(8, 121*time.Second), first)
	g.Expect(n.Len()).To(Equal(3), "imported ids keep their age")
	h.Entries[0].ID = "zz"
	_, ok = dedup.Import(next.options(0), h)
	g.Expect(ok).To(BeFalse())
}
