package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// leaderStore names one leader, which is a member of the group.
type leaderStore struct {
	Store
	record leaderRecord
}

func (s *leaderStore) Owners(context.Context) ([]Record, Position, error) {
	value, err := json.Marshal(s.record)
	return []Record{{Key: leaderKey, Value: value}}, Position{Era: FirstEra, Offset: 1}, err
}

func (s *leaderStore) Members(context.Context) ([]string, error) {
	return []string{s.record.Member}, nil
}

// lateLeader responds that it does not lead until leads is set.
type lateLeader struct {
	link    *hostlink.Link
	leads   atomic.Bool
	denials atomic.Int64
}

func (l *lateLeader) HandleServerLimits(*hostlink.ServerLimits)    {}
func (*lateLeader) HandleLeavingServers(*hostlink.LeavingServers)  {}
func (*lateLeader) HandleServerPauses(*hostlink.ServerPauses)      {}
func (*lateLeader) HandleHedgeRequests(*hostlink.HedgeRequests)    {}
func (*clientHandler) HandleHedgeRequests(*hostlink.HedgeRequests) {}
func (l *lateLeader) HandleToLeader(from netip.AddrPort, _ *hostlink.ToLeader) {
	leads := l.leads.Load()
	if !leads {
		l.denials.Add(1)
	}
	_ = l.link.SendFromLeader(from, &hostlink.FromLeader{Epoch: 1, Leads: leads, Hosts: 2})
}
func (l *lateLeader) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}

// clientHandler passes messages of the leader to the leader client of a host.
type clientHandler struct{ client *leaderClient }

func (h *clientHandler) HandleToLeader(netip.AddrPort, *hostlink.ToLeader) {}
func (h *clientHandler) HandleServerLimits(*hostlink.ServerLimits)         {}
func (*clientHandler) HandleLeavingServers(*hostlink.LeavingServers)       {}
func (*clientHandler) HandleServerPauses(*hostlink.ServerPauses)           {}
func (h *clientHandler) HandleFromLeader(from netip.AddrPort, m *hostlink.FromLeader) {
	h.client.handle(from, m)
}

// Guards against a host that takes the response "this host does not lead" as
// final and uses its fallback scheduler until the leader changes. The store
// informs the claimant and the other hosts at the same time, so a host may ask
// the new leader before that leader knows that its claim was stored.
func TestHostRetriesLeaderThatDeniedLeading(t *testing.T) {
	g := NewWithT(t)
	listen := func() *hostlink.Link {
		link, err := hostlink.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = link.Close() })
		return link
	}
	late := &lateLeader{link: listen()}
	go func() { _ = late.link.Receive(late, func(error) {}) }()
	clk := clock.NewMonotonic()
	link, active := listen(), newActiveBounds(typicalBounds())
	store := &leaderStore{record: leaderRecord{Member: "edge-1#x", Address: late.link.Address().String(), Epoch: 1, Incarnation: 1}}
	w := newStoreWatcher(clk, store, active, func() readPolicy { return readPolicy{} }, func() {})
	w.config.Store(&fleet.Config{Version: 1})
	e := &elector{clk: clk, store: store, watcher: w, log: logging.For(logging.Lead), memberID: "edge-2#y", self: link.Address(), active: active, wake: make(chan struct{}, 1), claimWeight: 1}
	client := newLeaderClient(clk, link, 7, "dc", e.checkNow, func() bool { return true })
	client.active, client.endLeadership = active, func() {}
	e.leaderClient = client
	go func() { _ = link.Receive(&clientHandler{client}, func(error) {}) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.run(ctx)
	go func() {
		for ctx.Err() == nil {
			client.tick()
			time.Sleep(busyTick)
		}
	}()
	g.Eventually(late.denials.Load, 2*time.Second).Should(BeNumerically(">=", 1))
	time.Sleep(100 * time.Millisecond)
	late.leads.Store(true)
	g.Eventually(client.leaderSilent, 2*time.Second).Should(BeFalse())
	g.Consistently(client.leaderSilent, 2*time.Second).Should(BeFalse())
}

// Guards against keys without an owner because a leader that lacks CPU resigns while the
// store is down, so that no host can follow it.
func TestSlowLeaderStaysWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewMonotonic()
	l := &leadership{elector: &elector{clk: clk}, startedAt: clk.Now() - time.Minute, storeSeenAt: clk.Now() - 2*maxStoreSilence}
	g.Expect(l.mayBeReplaced()).To(BeFalse())
	l.recordResponse()
	g.Expect(l.mayBeReplaced()).To(BeTrue())
}
