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

// stateCollector receives the messages on the state of servers and keys.
type stateCollector struct {
	collector
	state chan any
}

func (c stateCollector) HandleStateRequest(_ netip.AddrPort, m *hostlink.StateRequest) { c.state <- m }
func (c stateCollector) HandleStateChanges(_ netip.AddrPort, m *hostlink.StateChanges) { c.state <- m }
func (c stateCollector) HandleConfigNotice(_ netip.AddrPort, m *hostlink.ConfigNotice) { c.state <- m }
func (c stateCollector) HandleConfigRequest(_ netip.AddrPort, m *hostlink.ConfigRequest) {
	c.state <- m
}
func (c stateCollector) HandleConfigPart(_ netip.AddrPort, m *hostlink.ConfigPart) { c.state <- m }

// Guards against messages on the state of servers and keys that arrive changed, or that an
// earlier release takes for another message.
func TestStateMessagesArrive(t *testing.T) {
	g := NewWithT(t)
	c := stateCollector{newCollector(), make(chan any, 3)}
	receiver, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = receiver.Close() }()
	go func() { _ = receiver.Receive(c, func(err error) { t.Error(err) }) }()
	sender, err := hostlink.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = sender.Close() }()
	request := &hostlink.StateRequest{Number: 3, Epoch: 9, Digest: 1 << 63}
	changes := &hostlink.StateChanges{
		Request: 3, Epoch: 9, ListAgeMS: 450, ConfigEra: 1, ConfigOffset: 4, Next: 12, More: true,
		Servers: []hostlink.StateServer{{Change: 11, Server: "s-1", Service: "svc", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 4, Incarnation: 1796493600000, Draining: true}, {Change: 12, Server: "s-2", Removed: true}},
		Ranges:  []hostlink.StateRange{{Change: 10, Service: "svc", From: 7, To: 65535, Server: "s-1"}},
	}
	notice := &hostlink.ConfigNotice{Epoch: 9, Era: 1, Offset: 4}
	g.Expect(sender.SendStateRequest(receiver.Address(), request)).To(Succeed())
	g.Eventually(c.state, time.Second).Should(Receive(Equal(request)))
	g.Expect(sender.SendStateChanges(receiver.Address(), changes)).To(Succeed())
	g.Eventually(c.state, time.Second).Should(Receive(Equal(changes)))
	g.Expect(sender.SendConfigNotice(receiver.Address(), notice)).To(Succeed())
	g.Eventually(c.state, time.Second).Should(Receive(Equal(notice)))
	configRequest, part := &hostlink.ConfigRequest{Number: 4, Epoch: 9, Part: 1}, &hostlink.ConfigPart{Number: 4, Epoch: 9, Era: 1, Offset: 4, Part: 1, Parts: 2, Data: []byte{0, 255}}
	g.Expect(sender.SendConfigRequest(receiver.Address(), configRequest)).To(Succeed())
	g.Eventually(c.state, time.Second).Should(Receive(Equal(configRequest)))
	g.Expect(sender.SendConfigPart(receiver.Address(), part)).To(Succeed())
	g.Eventually(c.state, time.Second).Should(Receive(Equal(part)))

	data, err := cbor.Marshal([]any{nil, nil, nil, nil, nil, nil, nil, request, nil, nil, nil, nil})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hostlink.Dispatch(data, netip.AddrPort{}, c)).To(Succeed())
	g.Expect(c.state).To(Receive(Equal(request)))
	g.Expect(err).NotTo(HaveOccurred())
	var earlier struct {
		_          struct{} `cbor:",toarray"`
		ToLeader   *hostlink.ToLeader
		FromLeader *hostlink.FromLeader
	}
	g.Expect(cbor.Unmarshal(data, &earlier)).NotTo(Succeed())
}
