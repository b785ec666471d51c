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
type silentLeader struct{ timedOut atomic.Int64 }

func (l *silentLeader) HandleToLeader(_ netip.AddrPort, m *hostlink.ToLeader) {
	l.timedOut.Add(int64(m.TimedOut))
}
func (l *silentLeader) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}

// Guards against a slow leader that is not told that routing requests of hosts
// have timed out. It would go on leading, because such hosts decide by
// themselves and ask it less.
func TestLeaderReceivesTimedOutCount(t *testing.T) {
	g := NewWithT(t)
	listen := func(h hostlink.Handler) (*hostlink.Link, netip.AddrPort) {
		link, err := hostlink.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = link.Close() })
		go func() { _ = link.Receive(h, func(error) {}) }()
		return link, link.Address()
	}
	leader := new(silentLeader)
	_, address := listen(leader)
	link, _ := listen(new(silentLeader))
	client := newLeaderClient(clock.NewMonotonic(), link, 7, "dc", func() {}, func() bool { return true })
	client.active, client.endLeadership = newActiveBounds(typicalBounds()), func() {}
	client.follow(address, 1)
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
