package election

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/rapidtest"
)

// isolateMinority cuts the third member off from the leader and the other
// member, which lose the log. Only the third member can still append a list.
func isolateMinority(s *sim, l *simHost) {
	var others []*simHost
	for _, h := range s.hosts {
		if h != l {
			others = append(others, h)
		}
	}
	l.logUnreachable, others[0].logUnreachable = true, true
	s.Isolate(others[1].Machine, "h")
}

// TestMechanisms guards against checks that do not detect two leaders. It
// disables each safety mechanism in turn: the simulation must find two leaders
// without the mechanism, and none with it.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name     string
		disabled unsafeSwitches
		inject   func(s *sim, l *simHost)
	}{
		{"a promise excludes other terms", unsafeSwitches{ignorePromises: true}, func(s *sim, l *simHost) {
			for _, h := range s.hosts {
				if h != l {
					s.SetCut(l.Machine, h.Machine, true)
					break
				}
			}
		}},
		{"promises count from the send", unsafeSwitches{countFromReceipt: true}, func(s *sim, l *simHost) {
			// The replies to one round arrive during a pause, and the links are cut
			// before the next round.
			for l.node.nextRound-s.Local(l.Machine) < 198*ms {
				s.run(ms)
			}
			l.Paused = s.Now + 550*ms
			s.After(5*ms, func() { s.Isolate(l.Machine, "h") })
		}},
		{"the age of the last log read limits promises", unsafeSwitches{ignoreLogReadAge: true}, isolateMinority},
		{"a new list waits for earlier ones", unsafeSwitches{ignoreEarlierLists: true}, isolateMinority},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			found := false
			for seed := range uint64(20) {
				g.Expect(runWithFault(t, seed, unsafeSwitches{}, c.inject)).To(BeEmpty(), "seed %d", seed)
				found = found || runWithFault(t, seed, c.disabled, c.inject) != ""
			}
			g.Expect(found).To(BeTrue(), "the check does not detect the disabled mechanism")
		})
	}
}

func runWithFault(t *testing.T, seed uint64, disabled unsafeSwitches, inject func(*sim, *simHost)) string {
	s := newSim(seed, 3)
	for _, h := range s.hosts {
		h.node.unsafe = disabled
	}
	l := s.settle()
	NewWithT(t).Expect(l).NotTo(BeNil())
	inject(s, l)
	s.run(8 * time.Second)
	return s.Violation
}

// TestRandomFaults guards against two leaders in sequences of random faults,
// and against a cell that does not recover after them.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(2, 5).Draw(rt, "hosts")
		s := newSim(rapid.Uint64().Draw(rt, "seed"), hosts)
		s.settle()
		for range rapid.IntRange(1, 5).Draw(rt, "faults") {
			s.randomFault(rt)
			s.run(time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * ms)
		}
		if s.Violation != "" {
			rt.Fatal(s.Violation)
		}
		restarted := 0
		for _, h := range s.hosts {
			if h.Dead || h.node.leaving || h.node.self.Incarnation > 1 {
				restarted++
			}
		}
		s.heal()
		s.run(75 * time.Second)
		if s.Violation != "" {
			rt.Fatal(s.Violation)
		}
		if last := s.lists[len(s.lists)-1]; restarted == 0 && (s.leader() == nil || len(last.Members) != hosts) {
			rt.Fatalf("not recovered: list %v", last)
		}
	})
}

func (s *sim) randomFault(rt *rapid.T) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(rt, "host")]
	o := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(rt, "peer")]
	switch rapid.IntRange(0, 10).Draw(rt, "fault") {
	case 0:
		h.Dead = true
	case 1:
		h.Paused = s.Now + time.Duration(rapid.IntRange(10, 6000).Draw(rt, "pause"))*ms
	case 2:
		s.Isolate(h.Machine, "h")
	case 3:
		s.SetCut(h.Machine, o.Machine, true)
	case 4:
		h.logUnreachable = !h.logUnreachable
	case 5:
		s.logUnavailable = !s.logUnavailable
	case 6:
		s.logDelay = time.Duration(rapid.IntRange(0, 4000).Draw(rt, "slow")) * ms
	case 7:
		s.Drop, s.Jitter = 0.2, 400*ms
	case 8:
		s.restart(h)
	case 9:
		h.node.Leave(s.Local(h.Machine))
	case 10:
		s.Heal()
	}
}

func TestMain(m *testing.M) { rapidtest.Main(m, 30) }
