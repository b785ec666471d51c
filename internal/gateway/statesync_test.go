package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// stateReceiver passes datagrams on the state of servers and keys to a host.
type stateReceiver struct {
	bothRoles
	source *stateSource
	copy   *stateCopy
}

func (r stateReceiver) HandleStateRequest(from netip.AddrPort, m *hostlink.StateRequest) {
	r.source.handle(from, m)
}

func (r stateReceiver) HandleStateChanges(from netip.AddrPort, m *hostlink.StateChanges) {
	r.copy.handle(from, m)
}

func (r stateReceiver) HandleConfigNotice(from netip.AddrPort, m *hostlink.ConfigNotice) {
	r.copy.handleNotice(from, m)
}

func (r stateReceiver) HandleConfigRequest(from netip.AddrPort, m *hostlink.ConfigRequest) {
	r.source.handleConfigRequest(from, m)
}

func (r stateReceiver) HandleConfigPart(from netip.AddrPort, m *hostlink.ConfigPart) {
	r.copy.handleConfigPart(from, m)
}

// Passes arbitrary datagrams to a host that waits for the state of its leader, and then uses
// what it got. Guards against a malformed message that ends the process.
func FuzzStateMessages(f *testing.F) {
	for _, m := range []any{
		hostlink.StateRequest{Epoch: 1, After: 1 << 63},
		hostlink.StateChanges{Request: 1, Epoch: 1, Next: 1 << 63, Servers: []hostlink.StateServer{{Server: "s", Service: "svc", Slots: -1}, {Server: "t", Service: "svc", Slots: 1 << 30, Incarnation: -1}}},
		hostlink.StateChanges{Request: 1, Epoch: 1, Next: 3, ListAgeMS: 1 << 31, ConfigEra: -1, Ranges: []hostlink.StateRange{{Service: "svc", From: 9, To: 3, Server: "s"}, {Service: "keyed", From: 0, To: 65535, Server: "s"}}},
		hostlink.ConfigNotice{Epoch: 1, Era: 1 << 62, Offset: -1},
		hostlink.ConfigRequest{Epoch: 1, Part: 65535},
		hostlink.ConfigPart{Number: 1, Epoch: 1, Era: 1, Offset: 1, Data: []byte{1, 2, 3}},
		hostlink.ConfigPart{Number: 1, Epoch: 1, Era: 1, Offset: 1, Part: 7, Parts: 3},
	} {
		elements := make([]any, 12)
		switch m.(type) {
		case hostlink.StateRequest:
			elements[7] = m
		case hostlink.StateChanges:
			elements[8] = m
		case hostlink.ConfigNotice:
			elements[9] = m
		case hostlink.ConfigRequest:
			elements[10] = m
		case hostlink.ConfigPart:
			elements[11] = m
		}
		data, err := cbor.Marshal(elements)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	link, err := hostlink.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = link.Close() })
	leader := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		clk := clock.NewMonotonic()
		client := newLeaderClient(clk, link, 7, "dc", func() {}, func() bool { return true })
		client.active, client.endLeadership = newActiveBounds(typicalBounds()), func() {}
		client.leader, client.epoch = leader, 1
		w := newStoreWatcher(clk, nil, client.active, nil, func() {})
		w.directory.Set(fleet.Server{ID: "s", Service: "svc", Incarnation: 5})
		client.fallback.addServices(&fleet.Config{Services: map[topology.Service]fleet.Service{"svc": {}, "keyed": {Keyed: true}}}, nil, nil)
		e := &elector{clk: clk, leaderClient: client, watcher: w}
		receiver := stateReceiver{
			source: &stateSource{clk: clk, link: link, watcher: w, elector: e},
			copy: &stateCopy{
				clk: clk, link: link, watcher: w, client: client, configParts: make(chan *hostlink.ConfigPart, 4), leader: leader, epoch: 1, lastRequest: 1, waiting: true, configRequest: 1,
				onChange: func() { client.fallback.updateServers(w.servers()) },
			},
		}
		if hostlink.Dispatch(datagram, leader, receiver) != nil {
			return
		}
		client.fallback.add(hash32("keyed"), &schedule.Job{ID: schedule.JobID{HostIncarnation: 7, Number: 2}, Key: 5, Deadline: clk.Now() + time.Hour})
		client.fallback.dispatch()
		select {
		case m := <-receiver.copy.configParts:
			_, _ = decodeConfig(m.Data)
		default:
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _, _ = receiver.copy.fetchConfig(ctx, Position{})
		receiver.copy.news()
	})
}
