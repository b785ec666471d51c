package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Guards against a leader that goes on choosing a server that announced its shutdown to
// another host: the present leader, and one that follows it.
func TestLeadersLearnAnnouncedShutdowns(t *testing.T) {
	g := NewWithT(t)
	c, leader := clientWithLeader(t)
	w := newStoreWatcher(c.clk, nil, c.active, nil, func() {})
	w.directory.Set(fleet.Server{ID: "s-1", Service: "svc", Incarnation: 5})
	c.leavingServers = w.leavingServers
	w.recordLeaving("s-1")
	c.passLeaving(w.leavingServer("s-1"))
	announced := And(HaveField("Server", "s-1"), HaveField("Incarnation", int64(5)))
	g.Eventually(leader.leaving, time.Second).Should(Receive(announced))
	address, _ := c.currentLeader()
	c.follow(address, 2)
	g.Eventually(leader.leaving, time.Second).Should(Receive(announced), "a new leader")
	g.Expect(w.leavingServer("s-2")).To(BeEmpty())
}

// Guards against an announcement of an earlier start that takes the present one out of
// use, and against one of the present start that is not believed because the host that
// passes it on has not read its registration yet.
func TestAnnouncedShutdownOfOtherIncarnation(t *testing.T) {
	for _, test := range []struct {
		name         string
		told         hostlink.LeavingServer
		wantDraining bool
	}{
		{"same incarnation", hostlink.LeavingServer{Server: "s", Incarnation: 5, AgeMS: 3000}, true},
		{"earlier incarnation, long ago", hostlink.LeavingServer{Server: "s", Incarnation: 4, AgeMS: 3000}, false},
		{"the host knows the earlier incarnation", hostlink.LeavingServer{Server: "s", Incarnation: 4, AgeMS: 2}, true},
		{"the host knows no incarnation", hostlink.LeavingServer{Server: "s"}, true},
		{"the leader has not read the registration yet", hostlink.LeavingServer{Server: "s", Incarnation: 6}, true},
		{"another server", hostlink.LeavingServer{Server: "t", Incarnation: 5}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			changes := 0
			w := newStoreWatcher(clock.NewMonotonic(), nil, newActiveBounds(typicalBounds()), nil, func() { changes++ })
			w.directory.Set(fleet.Server{ID: "s", Incarnation: 5})
			w.recordLeavingServers(&hostlink.LeavingServers{Servers: []hostlink.LeavingServer{test.told}})
			w.recordLeavingServers(&hostlink.LeavingServers{Servers: []hostlink.LeavingServer{test.told}})
			g.Expect(changes).To(Equal(1), "the schedulers are told once")
			var draining []topology.ServerID
			for _, s := range w.servers() {
				if s.Draining {
					draining = append(draining, s.ID)
				}
			}
			g.Expect(len(draining) == 1).To(Equal(test.wantDraining))
		})
	}
}
