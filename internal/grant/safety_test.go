package grant

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/rapidtest"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 60) }

// newSettledSim returns a simulation in which all shards are served.
func newSettledSim(t *testing.T, seed uint64, noFenceChecks bool) *sim {
	s := newSim(seed, false, noFenceChecks)
	s.run(3*time.Second + time.Duration(s.Rng.IntN(400))*ms)
	NewWithT(t).Expect(s.unavailableSince).To(BeEmpty())
	s.maxUnavailable, s.leaseRequests = 0, 0
	return s
}

// TestMechanisms guards against checks that do not detect two owners. It
// disables each safety mechanism in turn: the simulation must find two owners
// without the mechanism, and none with it.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name     string
		disabled unsafeSwitches
		inject   func(s *sim)
	}{
		{"shards of an unresponsive server wait", unsafeSwitches{noGrantWait: true}, func(s *sim) {
			s.Isolate(s.faultyServer().Machine, "h")
		}},
		{"a move revokes first", unsafeSwitches{noRevoke: true}, func(s *sim) {
			h := s.leader()
			for _, v := range s.servers {
				_ = h.manager.Move(s.refs[0], topology.ServerID(v.Name), s.Local(h.Machine))
			}
		}},
		{"a new leader waits for unclaimed shards", unsafeSwitches{noStartWait: true}, func(s *sim) {
			s.Isolate(s.faultyServer().Machine, "h")
			s.leader().Dead = true
		}},
		{"grants end with the support", unsafeSwitches{noSupportLimit: true}, func(s *sim) {
			l, v := s.leader(), s.faultyServer()
			s.Isolate(l.Machine, "h")
			s.Isolate(v.Machine, "h")
			s.SetCut(v.Machine, l.Machine, false)
		}},
		{"grants outlive a released support", unsafeSwitches{noReleasedSupport: true}, func(s *sim) {
			l, v := s.leader(), s.faultyServer()
			s.Isolate(v.Machine, "h")
			s.SetCut(v.Machine, l.Machine, false)
			s.run(450 * ms) // at least one renewal
			l.node.Release(0, s.Local(l.Machine))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			found := false
			for seed := range uint64(6) {
				for _, disabled := range []unsafeSwitches{{}, c.disabled} {
					s := newSettledSim(t, seed, false)
					s.unsafe = disabled
					s.leader().manager.unsafe = disabled
					c.inject(s)
					s.run(3 * time.Second)
					if disabled == c.disabled {
						found = found || s.Violation != ""
						continue
					}
					g.Expect(s.Violation).To(BeEmpty(), "seed %d", seed)
				}
			}
			g.Expect(found).To(BeTrue(), "the check does not detect the disabled mechanism")
		})
	}
}

// TestRandomPairs guards against two owners, lost assignments, shards that
// are not served again, and shards that are unavailable for longer than
// maxUnavailableTarget after two faults. The time is not checked if a host and
// the log fail at about the same time, which is a known limit of the design.
func TestRandomPairs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "first")]
		b := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "second")]
		unavailable, err := measureFaults(rapid.Uint64().Draw(rt, "seed"), false, a, b)
		if err != nil {
			rt.Fatalf("%s, %s: %v", a.name, b.name, err)
		}
		if knownLimit := (a.hostFails && b.logFails) || (a.logFails && b.hostFails); unavailable > maxUnavailableTarget && !knownLimit {
			rt.Fatalf("%s, %s: unavailable for %v", a.name, b.name, unavailable)
		}
	})
}

// TestNoFences guards against a shard that moves away from a
// server that does not check fences before the longest exchange with it can
// have ended.
func TestNoFences(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		s := newSettledSim(t, seed, true)
		s.Isolate(s.faultyServer().Machine, "h")
		s.run(4 * time.Second)
		g.Expect(s.Violation).To(BeEmpty())
		g.Expect(s.unavailableSince).To(BeEmpty())
		g.Expect(s.minOwnerChange).To(BeNumerically(">=", time.Second))
		g.Expect(s.maxUnavailable).To(BeNumerically("<=", serverFailover+time.Second))
	}
}

// TestDrain guards against a draining server that keeps shards, and against
// shards that are unavailable for long during planned moves.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	for _, byServer := range []bool{true, false} {
		s := newSettledSim(t, 1, false)
		v := s.faultyServer()
		if byServer {
			v.srv.SetDraining(true)
		} else {
			s.draining[topology.ServerID(v.Name)] = true
		}
		s.run(2 * time.Second)
		for _, sh := range s.leader().manager.Shards() {
			g.Expect(sh.State).To(Equal(Owned))
			g.Expect(sh.Server).NotTo(BeEquivalentTo(v.Name))
			g.Expect(sh.Recorded).To(BeTrue())
		}
		g.Expect(s.Violation).To(BeEmpty())
		g.Expect(s.maxUnavailable).To(BeNumerically("<=", 20*ms))
		g.Expect(s.leader().manager.Counters().Moves).To(Equal(shardCount / len(s.servers)))
	}
}

// TestSteadyState guards against an unbalanced initial distribution of shards,
// and against more than one clock reading and one renewal per server and 400 ms.
func TestSteadyState(t *testing.T) {
	g := NewWithT(t)
	s := newSettledSim(t, 1, false)
	s.run(4 * time.Second)
	for _, v := range s.leader().manager.Servers(s.Local(s.leader().Machine)) {
		g.Expect(v.Shards).To(Equal(shardCount / len(s.servers)))
	}
	g.Expect(s.leaseRequests).To(BeNumerically("<=", 2*len(s.servers)*(4000/400+1)))
	g.Expect(s.maxUnavailable).To(BeZero())
}

// TestMove guards against accepted moves that have no effect, and against a move
// while a request of the shard is running.
func TestMove(t *testing.T) {
	g := NewWithT(t)
	s := newSettledSim(t, 1, false)
	h, ref := s.leader(), s.refs[0]
	now := s.Local(h.Machine)
	owner, fence, _, ok := h.manager.Owner(ref, now)
	g.Expect(ok).To(BeTrue())
	other := topology.ServerID("s0")
	if owner == other {
		other = "s1"
	}
	g.Expect(h.manager.Move(topology.ShardRef{Service: "x"}, owner, now)).To(MatchError(ErrUnknownShard))
	g.Expect(h.manager.Move(ref, owner, now)).To(MatchError(ErrInvalidTarget))
	g.Expect(h.manager.Move(ref, "unknown", now)).To(MatchError(ErrInvalidTarget))
	g.Expect(s.serverNamed(owner).srv.Begin(ref, "", fence)).To(BeNil())
	g.Expect(h.manager.Move(ref, other, now)).To(Succeed())
	g.Expect(h.manager.Move(ref, owner, now)).To(MatchError(ErrNotOwned))
	s.run(2 * time.Second)
	g.Expect(h.manager.Shards()[0].State).To(Equal(Revoking))
	g.Expect(s.serverNamed(owner).srv.Commit(ref, "", fence)).To(BeNil())
	s.serverNamed(owner).srv.End(ref)
	s.run(50 * ms)
	g.Expect(h.manager.Shards()[0]).To(HaveField("Server", other))
	g.Expect(h.manager.Shards()[0].State).To(Equal(Owned))
}
