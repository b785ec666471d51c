package hostlink_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hostlink"
)

// collector passes on what it receives.
type collector struct {
	toLeader chan *hostlink.ToLeader
	limits   chan *hostlink.ServerLimits
	leaving  chan *hostlink.LeavingServers
	pauses   chan *hostlink.ServerPauses
	hedges   chan *hostlink.HedgeRequests
}

func (c collector) HandleToLeader(_ netip.AddrPort, m *hostlink.ToLeader) { c.toLeader <- m }
func (c collector) HandleFromLeader(netip.AddrPort, *hostlink.FromLeader) {}
func (c collector) HandleServerLimits(m *hostlink.ServerLimits)           { c.limits <- m }
func (c collector) HandleLeavingServers(m *hostlink.LeavingServers)       { c.leaving <- m }
func (c collector) HandleServerPauses(m *hostlink.ServerPauses)           { c.pauses <- m }
func (c collector) HandleHedgeRequests(m *hostlink.HedgeRequests)         { c.hedges <- m }

func newCollector() collector {
	return collector{
		toLeader: make(chan *hostlink.ToLeader, 1), limits: make(chan *hostlink.ServerLimits, 1), leaving: make(chan *hostlink.LeavingServers, 1),
		pauses: make(chan *hostlink.ServerPauses, 1), hedges: make(chan *hostlink.HedgeRequests, 1),
	}
}

// Guards against limits that arrive changed, or that are taken for another message.
func TestServerLimitsArrive(t *testing.T) {
	g := NewWithT(t)
	c := newCollector()
	receiver, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	go func() { _ = receiver.Receive(c, func(err error) { t.Error(err) }) }()
	sender, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()

	sent := &hostlink.ServerLimits{Limits: []hostlink.ServerLimit{
		{Service: 7, Server: "s-1", PerSecond: 2.3}, {Service: 7, Server: "s-2", PerSecond: math.Inf(1)},
	}}
	g.Expect(sender.SendServerLimits(receiver.Address(), sent)).To(Succeed())
	g.Eventually(c.limits, time.Second).Should(Receive(Equal(sent)))
	g.Expect(sender.SendToLeader(receiver.Address(), &hostlink.ToLeader{Incarnation: 5})).To(Succeed())
	g.Eventually(c.toLeader, time.Second).Should(Receive(HaveField("Incarnation", uint64(5))))
}

// Guards against a release that knows no limits and takes a message with limits for
// another one, while hosts of both releases run.
func TestEarlierReleaseRejectsServerLimits(t *testing.T) {
	g := NewWithT(t)
	data, err := cbor.Marshal([]any{nil, nil, []any{[]any{[]any{7, "s-1", 2.3}}}})
	g.Expect(err).NotTo(HaveOccurred())
	c := newCollector()
	g.Expect(hostlink.Dispatch(data, netip.AddrPort{}, c)).To(Succeed())
	g.Expect(c.limits).To(Receive(HaveField("Limits", HaveLen(1))))

	var earlier struct {
		_          struct{} `cbor:",toarray"`
		ToLeader   *hostlink.ToLeader
		FromLeader *hostlink.FromLeader
	}
	g.Expect(cbor.Unmarshal(data, &earlier)).NotTo(Succeed())
}

// Guards against announcements of shutdowns that arrive changed, or that an earlier
// release takes for another message.
func TestLeavingServersArrive(t *testing.T) {
	g := NewWithT(t)
	c := newCollector()
	receiver, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	go func() { _ = receiver.Receive(c, func(err error) { t.Error(err) }) }()
	sender, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()
	sent := &hostlink.LeavingServers{Servers: []hostlink.LeavingServer{{Server: "s-1", Incarnation: 1796493600000, AgeMS: 40}, {Server: "s-2"}}}
	g.Expect(sender.SendLeavingServers(receiver.Address(), sent)).To(Succeed())
	g.Eventually(c.leaving, time.Second).Should(Receive(Equal(sent)))

	data, err := cbor.Marshal([]any{nil, nil, nil, sent})
	g.Expect(err).NotTo(HaveOccurred())
	var earlier struct {
		_          struct{} `cbor:",toarray"`
		ToLeader   *hostlink.ToLeader
		FromLeader *hostlink.FromLeader
	}
	g.Expect(cbor.Unmarshal(data, &earlier)).NotTo(Succeed())
}

// Guards against pauses that arrive changed, or that an earlier release takes for another
// message.
func TestServerPausesArrive(t *testing.T) {
	g := NewWithT(t)
	c := newCollector()
	receiver, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	go func() { _ = receiver.Receive(c, func(err error) { t.Error(err) }) }()
	sender, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()
	sent := &hostlink.ServerPauses{Incarnation: 1 << 63, Pauses: []hostlink.ServerPause{
		{Service: 7, Server: "s-1", Incarnation: 1796493600000, LeftMS: 3_600_000}, {Server: "s-2"},
	}}
	g.Expect(sender.SendServerPauses(receiver.Address(), sent)).To(Succeed())
	g.Eventually(c.pauses, time.Second).Should(Receive(Equal(sent)))

	data, err := cbor.Marshal([]any{nil, nil, nil, nil, sent})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostlink.Dispatch(data, netip.AddrPort{}, c)).To(Succeed())
	g.Expect(c.pauses).To(Receive(Equal(sent)))
	var earlier struct {
		_          struct{} `cbor:",toarray"`
		ToLeader   *hostlink.ToLeader
		FromLeader *hostlink.FromLeader
	}
	g.Expect(cbor.Unmarshal(data, &earlier)).NotTo(Succeed())
}

// Guards against requests for hedges that arrive changed, or that an earlier release takes
// for routing requests, which it would queue.
func TestHedgeRequestsArrive(t *testing.T) {
	g := NewWithT(t)
	c := newCollector()
	receiver, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	go func() { _ = receiver.Receive(c, func(err error) { t.Error(err) }) }()
	sent := &hostlink.HedgeRequests{Incarnation: 1 << 63, DataCentre: "a", Requests: []hostlink.HedgeRequest{
		{First: 3, Request: hostlink.RoutingRequest{Number: 4, Service: 7, Class: 8, Key: -1, TargetMS: -5, DeadlineMS: 100, Tried: []string{"s-1"}}},
	}}
	g.Expect(receiver.SendHedgeRequests(receiver.Address(), sent)).To(Succeed())
	g.Eventually(c.hedges, time.Second).Should(Receive(Equal(sent)))

	data, err := cbor.Marshal([]any{nil, nil, nil, nil, nil, sent})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostlink.Dispatch(data, netip.AddrPort{}, c)).To(Succeed())
	g.Expect(c.hedges).To(Receive(Equal(sent)))
	var earlier struct {
		_            struct{} `cbor:",toarray"`
		ToLeader     *hostlink.ToLeader
		FromLeader   *hostlink.FromLeader
		ServerLimits *hostlink.ServerLimits
	}
	g.Expect(cbor.Unmarshal(data, &earlier)).NotTo(Succeed())
}
