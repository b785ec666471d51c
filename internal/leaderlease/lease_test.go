package leaderlease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

var settings = leaderlease.Settings{
	BaseDuration: 2500 * time.Millisecond, ExtendedDuration: 10 * time.Second, FollowerTimeout: 1500 * time.Millisecond, CallTimeout: 350 * time.Millisecond,
}

const ms = time.Millisecond

// Guards against keys that stop in an outage of the whole store, and against a
// leader that goes on alone.
func TestMay(t *testing.T) {
	g := NewWithT(t)
	m := leaderlease.New(settings, 1, "x", 0, nil)
	g.Expect(m.Valid(2500 * ms)).To(BeTrue())
	g.Expect(m.Valid(2501*ms)).To(BeFalse(), "no list is in the store")
	m.SetStoredFollowers([]uint64{1, 2, 3})
	g.Expect(m.Valid(2501*ms)).To(BeFalse(), "no host follows")
	m.RecordFollower(2, "b", 2500*ms)
	g.Expect(m.Valid(4000 * ms)).To(BeTrue())
	g.Expect(m.Valid(4001*ms)).To(BeFalse(), "the message of the follower is too old")
	m.RecordFollower(9, "c", 5000*ms)
	g.Expect(m.Valid(5000*ms)).To(BeFalse(), "a host that is not on the list does not count")
	m.RecordFollower(3, "d", 10000*ms)
	g.Expect(m.Valid(10000 * ms)).To(BeTrue())
	m.RecordFollower(3, "d", 10001*ms)
	g.Expect(m.Valid(10001*ms)).To(BeFalse(), "autonomy has ended")
	m.Confirm(10000 * ms)
	g.Expect(m.Valid(12000 * ms)).To(BeTrue())
}

// Guards against a new leader that waits ten seconds for keys of lost servers
// although the earlier leader has ended.
func TestRivals(t *testing.T) {
	earlier := []leaderlease.EarlierLeader{{Address: "a", Incarnation: 1, Followers: []uint64{1, 2, 3, 4, 5}}}
	for _, c := range []struct {
		name string
		hear func(m *leaderlease.Lease)
		want time.Duration
	}{
		{"nobody follows", func(*leaderlease.Lease) {}, 10350 * ms},
		{"a minority follows", func(m *leaderlease.Lease) { m.RecordFollower(3, "c", 100*ms) }, 10350 * ms},
		{"a majority follows", func(m *leaderlease.Lease) { m.RecordFollower(3, "c", 100*ms); m.RecordFollower(4, "d", 200*ms) }, 2850 * ms},
		{"a majority follows late", func(m *leaderlease.Lease) { m.RecordFollower(3, "c", 4000*ms); m.RecordFollower(4, "d", 4100*ms) }, 5950 * ms},
		{"messages of a majority are not of the same time", func(m *leaderlease.Lease) { m.RecordFollower(3, "c", 100*ms); m.RecordFollower(4, "d", 1700*ms) }, 10350 * ms},
		{"the earlier leader follows", func(m *leaderlease.Lease) { m.RecordFollower(1, "a", 300*ms) }, 650 * ms},
		{"another process has its address", func(m *leaderlease.Lease) { m.RecordFollower(77, "a", 300*ms) }, 650 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := leaderlease.New(settings, 2, "b", 0, earlier)
			c.hear(m)
			NewWithT(t).Expect(m.EarlierLeadersUntil()).To(Equal(c.want))
		})
	}
}

// model plays leaders that are cut off from the store and hosts that follow one
// leader each.
type model struct {
	now     time.Duration
	record  []leaderlease.EarlierLeader // leaders that may act, the newest last
	claims  []*leader
	follows map[uint64]int // claim that a host follows
}

type leader struct {
	claim int
	self  uint64
	m     *leaderlease.Lease
	cut   bool
	hears map[uint64]bool
}

// Guards against an earlier leader that still acts after the time at which the
// new one counts it as ended, whatever hosts hear of whom and whenever the store
// is away.
func TestNoRivalAfterItsTime(t *testing.T) {
	const hosts = 5
	rapid.Check(t, func(t *rapid.T) {
		w := &model{follows: make(map[uint64]int)}
		claim := func(self uint64) {
			l := &leader{claim: len(w.claims) + 1, self: self, m: leaderlease.New(settings, self, string(rune('a'+self)), w.now, w.record), hears: make(map[uint64]bool)}
			w.claims = append(w.claims, l)
			w.follows[self] = l.claim
			w.record = append(l.m.EarlierLeaders(w.now), leaderlease.EarlierLeader{Address: string(rune('a' + self)), Incarnation: self})
			for h := range uint64(hosts) {
				l.hears[h] = true
			}
		}
		claim(0)
		for range rapid.IntRange(10, 80).Draw(t, "rounds") {
			last := w.claims[len(w.claims)-1]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				last.cut = rapid.Bool().Draw(t, "cut")
				claim(rapid.Uint64Range(0, hosts-1).Draw(t, "claims"))
			case 1:
				l := rapid.SampledFrom(w.claims).Draw(t, "leader")
				h := rapid.Uint64Range(0, hosts-1).Draw(t, "unheard")
				l.hears[h] = !l.hears[h]
			case 2:
				if !last.cut {
					list := last.m.Followers(w.now)
					last.m.SetStoredFollowers(list)
					w.record = append(last.m.EarlierLeaders(w.now), leaderlease.EarlierLeader{Address: string(rune('a' + last.self)), Incarnation: last.self, Followers: list})
				}
			case 3:
				h := rapid.Uint64Range(0, hosts-1).Draw(t, "host")
				w.follows[h] = max(w.follows[h], rapid.IntRange(1, len(w.claims)).Draw(t, "follows"))
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				w.step(t, hosts)
			}
		}
	})
}

func (w *model) step(t *rapid.T, hosts uint64) {
	w.now += 50 * ms
	last := w.claims[len(w.claims)-1]
	for _, l := range w.claims {
		if l == last && !l.cut {
			l.m.Confirm(w.now)
		}
		for h := range hosts {
			if h != l.self && w.follows[h] == l.claim && l.hears[h] {
				l.m.RecordFollower(h, string(rune('a'+h)), w.now)
			}
		}
	}
	for _, l := range w.claims[:len(w.claims)-1] {
		acts := w.follows[l.self] == l.claim && l.m.Valid(w.now)
		if acts && w.now > last.m.EarlierLeadersUntil() {
			t.Fatalf("at %v claim %d acts, which claim %d counts as ended at %v", w.now, l.claim, last.claim, last.m.EarlierLeadersUntil())
		}
	}
}
