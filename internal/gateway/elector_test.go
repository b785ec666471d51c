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

func (s *leaderStore) Owners(context.Context) ([]Record, int64, error) {
	value, err := json.Marshal(s.record)
	return []Record{{Key: leaderKey, Value: value}}, 1, err
}

func (s *leaderStore) Members(context.Context) ([]string, error) {
	return []string{s.record.Member}, nil
}

// lateLeader answers that it does not lead until it does.
type lateLeader struct {
	link   *hostlink.Link
	leads  atomic.Bool
	denied atomic.Int64
}

func (l *lateLeader) HandleToLeader(from netip.AddrPort, _ *hostlink.ToLeader) {
	leads := l.leads.Load()
	if !leads {
		l.denied.Add(1)
	}
	_ = l.link.SendFromLeader(from, &hostlink.FromLeader{Epoch: 1, Leads: leads, Hosts: 2})
}
func (l *lateLeader) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}

// answers passes messages of the leader to the desk of a host.
type answers struct{ d *desk }

func (a *answers) HandleToLeader(netip.AddrPort, *hostlink.ToLeader) {}
func (a *answers) HandleFromLeader(from netip.AddrPort, m *hostlink.FromLeader) {
	a.d.handle(from, m)
}

// Replays a host that learns of a claim before the claimant does: the store tells
// both at the same time. Guards against a host that takes the answer "this host does
// not lead" for the last word and decides by itself until the leader changes.
func TestHostAsksANewLeaderAgain(t *testing.T) {
	g := NewWithT(t)
	listen := func() *hostlink.Link {
		link, err := hostlink.Listen("127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = link.Close() })
		return link
	}
	late := &lateLeader{link: listen()}
	go func() { _ = late.link.Receive(late, func(error) {}) }()
	clk := clock.NewProcess()
	link, terms := listen(), newTerms(usualBounds())
	store := &leaderStore{record: leaderRecord{Member: "edge-1#x", Address: late.link.Address().String(), Epoch: 1, Process: 1}}
	w := newWatch(clk, store, terms, func() need { return need{} }, func() {})
	w.config.Store(&fleet.Config{Version: 1})
	e := &elector{clk: clk, store: store, watch: w, log: logging.For(logging.Lead), member: "edge-2#y", self: link.Address(), terms: terms, wake: make(chan struct{}, 1), weight: 1}
	d := newDesk(clk, link, 7, "dc", e.suspect, func() bool { return true })
	d.terms, d.depose = terms, func() {}
	e.desk = d
	go func() { _ = link.Receive(&answers{d}, func(error) {}) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go e.run(ctx)
	go func() {
		for ctx.Err() == nil {
			d.tick()
			time.Sleep(busyTick)
		}
	}()
	g.Eventually(late.denied.Load, 2*time.Second).Should(BeNumerically(">=", 1))
	time.Sleep(100 * time.Millisecond)
	late.leads.Store(true)
	g.Eventually(d.silent, 2*time.Second).Should(BeFalse())
	g.Consistently(d.silent, 2*time.Second).Should(BeFalse())
}
