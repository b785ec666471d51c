package gateway

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
)

// silentLeader receives messages of hosts and responds to none.
type silentLeader struct {
	timedOut atomic.Int64
	// disconnected receives the numbers of requests that are reported as given up.
	disconnected chan uint32
}

func (l *silentLeader) HandleToLeader(_ netip.AddrPort, m *hostlink.ToLeader) {
	l.timedOut.Add(int64(m.TimedOut))
	for _, r := range m.Reports {
		if schedule.Result(r.Result) == schedule.CallerDisconnected {
			l.disconnected <- r.Number
		}
	}
}
func (l *silentLeader) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}

// clientWithLeader returns a client that follows a silent leader.
func clientWithLeader(t *testing.T) (*leaderClient, *silentLeader) {
	listen := func(h hostlink.Handler) (*hostlink.Link, netip.AddrPort) {
		link, err := hostlink.Listen("127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = link.Close() })
		go func() { _ = link.Receive(h, func(error) {}) }()
		return link, link.Address()
	}
	leader := &silentLeader{disconnected: make(chan uint32, 16)}
	_, address := listen(leader)
	link, _ := listen(&silentLeader{disconnected: make(chan uint32, 16)})
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
	c.refuseWaiting()
	var d schedule.Decision
	g.Eventually(refusals, time.Second).Should(Receive(&d))
	g.Expect([]any{d.Refused, d.Reason}).To(Equal([]any{true, schedule.HostStops}))
	g.Eventually(leader.disconnected, time.Second).Should(Receive(Equal(uint32(1))))
	go ask()
	g.Eventually(refusals, time.Second).Should(Receive(&d))
	g.Expect([]any{d.Refused, d.Reason}).To(Equal([]any{true, schedule.HostStops}))
}
