package gateway

import (
	"context"
	"math"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

// silentLeader receives messages of hosts and responds to none.
type silentLeader struct {
	timedOut atomic.Int64
	// disconnected receives the numbers of requests that are reported as given up.
	disconnected chan uint32
	limits       chan hostlink.ServerLimit
	leaving      chan hostlink.LeavingServer
	pauses       chan *hostlink.ServerPauses
	hedges       chan *hostlink.HedgeRequests
	routed       atomic.Int64 // routing requests
}

func (l *silentLeader) HandleToLeader(_ netip.AddrPort, m *hostlink.ToLeader) {
	l.timedOut.Add(int64(m.TimedOut))
	l.routed.Add(int64(len(m.Requests)))
	for _, r := range m.Reports {
		if schedule.Result(r.Result) == schedule.CallerDisconnected {
			l.disconnected <- r.Number
		}
	}
}
func (l *silentLeader) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}
func (l *silentLeader) HandleServerLimits(m *hostlink.ServerLimits) {
	for _, limit := range m.Limits {
		l.limits <- limit
	}
}

func (l *silentLeader) HandleLeavingServers(m *hostlink.LeavingServers) {
	for _, s := range m.Servers {
		l.leaving <- s
	}
}

func (l *silentLeader) HandleServerPauses(m *hostlink.ServerPauses)   { l.pauses <- m }
func (l *silentLeader) HandleHedgeRequests(m *hostlink.HedgeRequests) { l.hedges <- m }

func newSilentLeader() *silentLeader {
	return &silentLeader{
		disconnected: make(chan uint32, 16), limits: make(chan hostlink.ServerLimit, 16), leaving: make(chan hostlink.LeavingServer, 16),
		pauses: make(chan *hostlink.ServerPauses, 16), hedges: make(chan *hostlink.HedgeRequests, 16),
	}
}

// clientWithLeader returns a client that follows a silent leader.
func clientWithLeader(t *testing.T) (*leaderClient, *silentLeader) {
	listen := func(h hostlink.Handler) (*hostlink.Link, netip.AddrPort) {
		link, err := hostlink.Listen("127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = link.Close() })
		go func() { _ = link.Receive(h, func(error) {}) }()
		return link, link.Address()
	}
	leader := newSilentLeader()
	_, address := listen(leader)
	link, _ := listen(newSilentLeader())
	client := newLeaderClient(clock.NewMonotonic(), link, 7, "dc", func() {}, func() bool { return true })
	client.active, client.endLeadership = newActiveBounds(typicalBounds()), func() {}
	client.follow(address, 1)
	return client, leader
}

// Guards against a slow leader that is not told that routing requests of hosts
// have timed out. It would go on leading, because such hosts decide by
// themselves and ask it less.
func TestLeaderReceivesTimedOutCount(t *testing.T) {
	g := NewWithT(t)
	client, leader := clientWithLeader(t)
	for range 3 {
		go func() {
			_, _, _ = client.requestServer(t.Context(), 1, schedule.Job{Deadline: time.Hour, Target: time.Hour})
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	for ctx.Err() == nil && leader.timedOut.Load() < 3 {
		client.tick()
		time.Sleep(busyTick)
	}
	g.Expect(leader.timedOut.Load()).To(Equal(int64(3)))
}

// Guards against requests that wait for a server while their host stops, and are cut
// off without a response when it ends: they must be refused, so that their callers
// turn to another host, and the leader must forget them.
func TestStoppingHostRefusesWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	c, leader := clientWithLeader(t)
	refusals := make(chan schedule.Decision, 2)
	ask := func() {
		d, _, err := c.requestServer(t.Context(), 1, schedule.Job{Key: schedule.NoKey, Deadline: time.Hour})
		if err == nil {
			refusals <- d
		}
	}
	go ask()
	g.Eventually(func() bool { return c.hasPending() }, time.Second).Should(BeTrue())
	c.refuseDeadlinesAfter(0)
	var d schedule.Decision
	g.Eventually(refusals, time.Second).Should(Receive(&d))
	g.Expect([]any{d.Refused, d.Reason}).To(Equal([]any{true, schedule.HostStops}))
	g.Eventually(leader.disconnected, time.Second).Should(Receive(Equal(uint32(1))))
	go ask()
	g.Eventually(refusals, time.Second).Should(Receive(&d))
	g.Expect([]any{d.Refused, d.Reason}).To(Equal([]any{true, schedule.HostStops}))
}

// Guards against a leader that does not learn what servers named to other hosts: the
// present one, one that follows it, and this host itself.
func TestLeadersLearnLimitsOfServers(t *testing.T) {
	g := NewWithT(t)
	c, leader := clientWithLeader(t)
	named := serverLimit{service: hash32("svc"), server: "s-1", limit: schedule.Limit{Stated: true, PerSecond: 2.3}}
	passed := hostlink.ServerLimit{Service: named.service, Server: "s-1", PerSecond: 2.3}
	ended := named
	ended.limit = schedule.NoLimit()

	c.recordLimit(ended, false)
	g.Consistently(leader.limits, 50*time.Millisecond).ShouldNot(Receive(), "nothing to tell")
	c.recordLimit(named, false)
	g.Eventually(leader.limits, time.Second).Should(Receive(Equal(passed)))

	address, _ := c.currentLeader()
	c.follow(address, 2)
	g.Eventually(leader.limits, time.Second).Should(Receive(Equal(passed)), "a new leader")

	own := newScheduler(c.clk, c.deliver, func() bool { return true })
	own.addServices(fleet.NewConfig(1, nil, []fleet.Service{{Name: "svc"}}, fleet.Limits{}), nil, nil)
	own.updateServers([]fleet.Server{{ID: "s-1", Service: "svc", Slots: 2}})
	c.setOwnScheduler(own, 3)
	sched := own.services[named.service].sched
	g.Expect(sched.Capacity("s-1", c.clk.Now())).To(BeNumerically("<", 1), "this host")

	c.recordLimit(ended, true)
	g.Expect(sched.Capacity("s-1", c.clk.Now())).To(Equal(2.0))
	g.Expect(c.limits.count()).To(BeZero())
}

// Guards against a limit that another host ended, and that this host, which did not
// know it, keeps in force at the leader by saying nothing.
func TestHostReportsEndOfLimitThatItDidNotKnow(t *testing.T) {
	g := NewWithT(t)
	c, leader := clientWithLeader(t)
	ended := serverLimit{service: 1, server: "s-1", limit: schedule.NoLimit()}
	c.recordLimit(ended, true)
	var got hostlink.ServerLimit
	g.Eventually(leader.limits, time.Second).Should(Receive(&got))
	g.Expect(math.IsInf(got.PerSecond, 1)).To(BeTrue())
}

// Guards against requests that a stopping host passes on although they can outlast it, and
// cuts off at its end: those that wait and those that come later. A request that ends in
// time is passed on.
func TestStoppingHostRefusesRequestsThatOutlastIt(t *testing.T) {
	g := NewWithT(t)
	c, _ := clientWithLeader(t)
	end := c.clk.Now() + 2*time.Second
	ask := func(timeLeft time.Duration) chan schedule.Decision {
		refusal := make(chan schedule.Decision, 1)
		go func() {
			d, _, err := c.requestServer(t.Context(), 1, schedule.Job{Key: schedule.NoKey, Deadline: end + timeLeft})
			if err == nil {
				refusal <- d
			}
		}()
		return refusal
	}
	long, short := ask(time.Second), ask(-time.Millisecond)
	g.Eventually(func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.pending)
	}, time.Second).Should(Equal(2))
	c.refuseDeadlinesAfter(end)
	hostStops := And(HaveField("Refused", true), HaveField("Reason", schedule.HostStops))
	g.Eventually(long, time.Second).Should(Receive(hostStops))
	g.Eventually(ask(time.Second), time.Second).Should(Receive(hostStops))
	later := ask(-time.Millisecond)
	g.Consistently(short, 100*time.Millisecond).ShouldNot(Receive())
	g.Consistently(later, 100*time.Millisecond).ShouldNot(Receive())
	c.refuseDeadlinesAfter(0)
	g.Eventually(short, time.Second).Should(Receive(hostStops))
	g.Eventually(later, time.Second).Should(Receive(hostStops))
}
