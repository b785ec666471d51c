package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Guards against a leader that assigns a server to a host which that server has asked for
// a pause: the present leader, one that follows it, and this host itself.
func TestLeadersLearnPauses(t *testing.T) {
	g := NewWithT(t)
	c, leader := clientWithLeader(t)
	service := hash32("svc")
	servers := []fleet.Server{{ID: "s-1", Service: "svc", Slots: 2, Incarnation: 5}}
	g.Expect(c.pauses.record("s-1", service, time.Minute)).To(BeTrue())
	c.passPauses(c.pauses.listOf("s-1"))
	told := func(incarnation int64) any {
		return And(HaveField("Incarnation", uint64(7)), HaveField("Pauses", ConsistOf(And(
			HaveField("Service", service), HaveField("Server", "s-1"), HaveField("Incarnation", incarnation),
			HaveField("LeftMS", BeNumerically("~", 61_200, 1000)),
		))))
	}
	g.Eventually(leader.pauses, time.Second).Should(Receive(told(0)))
	c.pauses.endRestarted(servers, c.clk.Now())
	address, _ := c.currentLeader()
	c.follow(address, 2)
	g.Eventually(leader.pauses, time.Second).Should(Receive(told(5)), "a new leader")
	g.Expect(c.pauses.listOf("s-2")).To(BeEmpty())

	own := newScheduler(c.clk, c.deliver, func() bool { return true })
	own.addServices(fleet.NewConfig(1, nil, []fleet.Service{{Name: "svc"}}, fleet.Limits{}), nil, nil)
	own.updateServers(servers)
	c.setOwnScheduler(own, 3)
	ask := func() schedule.Decision {
		now := c.clk.Now()
		d, _, err := c.requestServer(t.Context(), service, schedule.Job{Key: schedule.NoKey, Target: now + time.Second, Deadline: now + time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		return d
	}
	g.Expect(ask()).To(And(HaveField("Refused", true), HaveField("Reason", schedule.Paused), HaveField("RetryAfter", BeNumerically(">", 50*time.Second))))

	servers[0].Incarnation = 6
	c.pauses.endRestarted(servers, c.clk.Now())
	own.updateServers(servers)
	g.Expect(c.pauses.left("s-1")).To(BeZero())
	g.Expect(ask().Server).To(Equal(topology.ServerID("s-1")), "the server has started again")
}

// Guards against a leader that applies the pause of one host to another host.
func TestPauseIsOfOneHost(t *testing.T) {
	g := NewWithT(t)
	c, _ := clientWithLeader(t)
	var decisions []schedule.Decision
	s := newScheduler(c.clk, func(d []schedule.Decision) { decisions = append(decisions, d...) }, func() bool { return true })
	s.addServices(fleet.NewConfig(1, nil, []fleet.Service{{Name: "svc"}}, fleet.Limits{}), nil, nil)
	s.updateServers([]fleet.Server{{ID: "s-1", Service: "svc", Slots: 2}})
	fs := &followers{clk: c.clk, scheduler: s}
	fs.handlePauses(&hostlink.ServerPauses{Incarnation: 8, Pauses: []hostlink.ServerPause{{Service: hash32("svc"), Server: "s-1", LeftMS: 60_000}, {Service: 1, Server: "s-1", LeftMS: 1}}})
	now := c.clk.Now()
	for _, host := range []uint64{8, 9} {
		s.add(hash32("svc"), &schedule.Job{ID: schedule.JobID{HostIncarnation: host}, Key: schedule.NoKey, Target: now + time.Second, Deadline: now + time.Second})
	}
	g.Expect(decisions).To(HaveExactElements(HaveField("Reason", schedule.Paused), HaveField("Server", topology.ServerID("s-1"))))
}

// Guards against a retry that is refused because of a pause and draws on the budget.
func TestRetryRefusedForPauseCostsNoBudget(t *testing.T) {
	g := NewWithT(t)
	f := newBudgetFleet(1, 0)
	in := &ingress{budget: f.hosts[0].budget, metrics: &metrics{}, log: newRequestLog(f.clk)}
	counts := func() float64 {
		_, retries := in.budget.counts(1).Sums()
		return retries + float64(in.budget.counts(1).waiting)
	}
	for _, test := range []struct {
		reason schedule.Reason
		cost   float64
	}{{schedule.Paused, 0}, {schedule.Overloaded, 1}} {
		for range 100 {
			in.budget.countRequest(1)
		}
		before := counts()
		g.Expect(in.budget.decideRetry(1, 1).denied).To(BeFalse())
		c := &callerRequest{serviceHash: 1, retryWaits: true, route: &fleet.Route{}}
		in.refusedResponse(c, test.reason, time.Second)
		in.endRetryWait(c)
		g.Expect(counts()-before).To(Equal(test.cost), test.reason.String())
	}
}
