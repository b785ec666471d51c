package election

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fault is a test case: a fault, mostly of the leader of partition 0, and the
// longest time that a partition may have no leader.
type fault struct {
	name              string
	hosts             int
	inject            func(s *sim, l *simHost)
	maxLeaderlessTime time.Duration
}

// takeoverTime is the time allowed to replace a failed leader: promise 0.8 s,
// stagger 0.1 s and a support round of 5 ms, plus the 5 ms between two ticks.
const takeoverTime = 910 * ms

var faults = []fault{
	{"none", 3, func(*sim, *simHost) {}, 0},
	{"leader killed", 3, func(_ *sim, l *simHost) { l.Dead = true }, takeoverTime},
	{"leader paused", 3, func(s *sim, l *simHost) { l.Paused = s.Now + 4*time.Second }, takeoverTime},
	{"leader restarted", 3, func(s *sim, l *simHost) { l.Dead = true; s.After(50*ms, func() { s.restart(l) }) }, takeoverTime},
	{"leader cut off from peers", 3, func(s *sim, l *simHost) { s.Isolate(l.Machine, "h") }, takeoverTime},
	{"leader cut off from the log", 3, func(_ *sim, l *simHost) { l.logUnreachable = true }, 0},
	{"one of two members killed", 2, func(_ *sim, l *simHost) { l.Dead = true }, time.Second},
	{"log down", 3, func(s *sim, _ *simHost) { s.logUnavailable = true }, 0},
	{"log down, two members", 2, func(s *sim, _ *simHost) { s.logUnavailable = true }, 0},
	{"log slow", 3, func(s *sim, _ *simHost) { s.logDelay = 4 * time.Second }, 0},
	{"log down, leader killed later", 3, func(s *sim, l *simHost) { s.logUnavailable = true; s.After(6*time.Second, func() { l.Dead = true }) }, takeoverTime},
	{"log down and back", 3, func(s *sim, _ *simHost) {
		s.logUnavailable = true
		s.After(6*time.Second, func() { s.logUnavailable = false })
	}, 0},
	{"hand-over", 3, func(s *sim, l *simHost) { l.node.Leave(s.Local(l.Machine)) }, 20 * ms},
	{"hand-over, log down", 3, func(s *sim, l *simHost) {
		s.logUnavailable = true
		s.After(5*time.Second, func() { l.node.Release(0, s.Local(l.Machine)) })
	}, 20 * ms},
	{"two of three killed", 3, func(s *sim, l *simHost) {
		for _, h := range s.hosts {
			h.Dead = h != l
		}
	}, 4500 * ms}, // DeadAfter 0.8 s, minorityDelay 0.5 s, LogReadValidity 3 s
}

// TestFaults guards against two leaders, a partition that has no leader for
// longer than allowed, and a cell that does not return to its full size.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(8) {
				s := newSim(seed, f.hosts)
				s.run(time.Duration(seed*31) * ms)
				l := s.settle()
				g.Expect(l).NotTo(BeNil())
				f.inject(s, l)
				s.run(13 * time.Second)
				g.Expect(s.Violation).To(BeEmpty())
				g.Expect(s.maxLeaderlessTime).To(BeNumerically("<=", f.maxLeaderlessTime), "seed %d", seed)
				if f.name == "log down and back" {
					g.Expect(s.lists).To(HaveLen(2), "the list whose members recorded ModeLost is replaced")
				}
				s.heal()
				s.run(15 * time.Second)
				g.Expect(s.Violation).To(BeEmpty())
				g.Expect(s.leader()).NotTo(BeNil())
				g.Expect(s.leader().node.Mode()).To(Equal(ModeNormal))
				if f.name != "hand-over" {
					g.Expect(s.leader().node.list.Members).To(HaveLen(f.hosts))
				}
			}
		})
	}
}

// heal undoes all faults and restarts dead hosts.
func (s *sim) heal() {
	s.logUnavailable, s.logDelay = false, 0
	s.Heal()
	for _, h := range s.hosts {
		h.logUnreachable = false
		if h.Dead {
			s.restart(h)
		}
	}
}
