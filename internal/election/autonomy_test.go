package election

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// TestMaxAutonomy guards against a host that leads without the log for longer
// than Params.MaxAutonomy, and against a cell that has no leader after the
// outage.
func TestMaxAutonomy(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3)
	for _, h := range s.hosts {
		h.node.SetMaxAutonomy(6 * time.Second)
	}
	g.Expect(s.settle()).NotTo(BeNil())
	s.logUnavailable = true
	s.run(5 * time.Second)
	g.Expect(s.leader()).NotTo(BeNil(), "within the limit")
	s.run(2 * time.Second)
	g.Expect(s.leader()).To(BeNil(), "beyond the limit")
	s.heal()
	s.run(10 * time.Second)
	g.Expect(s.Violation).To(BeEmpty())
	g.Expect(s.leader()).NotTo(BeNil(), "after the outage")
}

// TestFullList guards against a host that repeatedly asks the members of a full
// list for pledges. Its proposals would be rejected, and a pledged member can no
// longer enter ModeLost.
func TestFullList(t *testing.T) {
	g := NewWithT(t)
	var members []topology.Member
	for _, h := range []topology.HostID{"a", "b", "c", "d", "e"} {
		members = append(members, topology.Member{Host: h, Incarnation: 1})
	}
	join := func(host topology.HostID) Actions {
		n := NewNode(Config{Self: topology.Member{Host: host, Incarnation: 2}, Cell: "c", Partitions: 1, Params: DefaultParams()})
		n.ApplyList(MemberList{Version: 1, Members: members}, time.Minute)
		n.LogRead(time.Minute, time.Minute)
		return n.Tick(time.Minute)
	}
	g.Expect(join("f").Pledge).To(BeEmpty())
	g.Expect(join("e").Pledge).To(HaveLen(4), "a new incarnation replaces the old one")
}

// outageDuration is the duration of the log outage in TestLongLogOutage. Longer outages
// reach no new state; one of 3 h had the same result.
const outageDuration = 10 * time.Minute

// TestLongLogOutage guards against a cell without the log that loses its leader
// after a while, does not replace a leader that fails, or has two leaders when
// the log is back.
func TestLongLogOutage(t *testing.T) {
	g := NewWithT(t)
	s := newSim(2, 3)
	g.Expect(s.settle()).NotTo(BeNil())
	s.logUnavailable = true
	s.run(outageDuration / 2)
	g.Expect(s.maxLeaderlessTime).To(BeZero())
	s.leader().Dead = true
	s.run(outageDuration / 2)
	g.Expect(s.maxLeaderlessTime).To(BeNumerically("<=", takeoverTime))
	g.Expect(s.leader()).NotTo(BeNil())
	g.Expect(s.lists).To(HaveLen(1), "no list changes without the log")
	s.heal()
	s.run(20 * time.Second)
	g.Expect(s.Violation).To(BeEmpty())
	g.Expect(s.leader()).NotTo(BeNil())
	g.Expect(s.leader().node.Mode()).To(Equal(ModeNormal))
}
