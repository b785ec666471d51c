package gateway

import (
	"math"
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

// bothRoles passes datagrams to a leader and to a host that follows it.
type bothRoles struct {
	followers *followers
	client    *leaderClient
	watcher   *storeWatcher
}

func (b bothRoles) HandleToLeader(from netip.AddrPort, m *hostlink.ToLeader) {
	b.followers.handle(from, m)
}

func (b bothRoles) HandleFromLeader(from netip.AddrPort, m *hostlink.FromLeader) {
	b.client.handle(from, m)
}

func (b bothRoles) HandleServerLimits(m *hostlink.ServerLimits) { b.followers.handleLimits(m) }

func (b bothRoles) HandleLeavingServers(m *hostlink.LeavingServers) {
	b.watcher.recordLeavingServers(m)
}

func (b bothRoles) HandleServerPauses(m *hostlink.ServerPauses)   { b.followers.handlePauses(m) }
func (b bothRoles) HandleHedgeRequests(m *hostlink.HedgeRequests) { b.followers.handleHedges(m) }

// Passes arbitrary datagrams to a leader and to a host with a waiting request, and
// then uses the decision. Guards against a malformed message, or one of another
// release, that ends the process.
func FuzzDatagrams(f *testing.F) {
	type message struct {
		ToLeader   *hostlink.ToLeader
		FromLeader *hostlink.FromLeader
	}
	for _, m := range []message{
		{FromLeader: &hostlink.FromLeader{Epoch: 1, Leads: true, Hosts: 3, Decisions: []hostlink.Decision{{Number: 1, Kind: hostlink.KindRefused, Reason: 200}}}},
		{FromLeader: &hostlink.FromLeader{Epoch: 1, Leads: true, AckedReport: 1 << 31, Decisions: []hostlink.Decision{{Number: 1, Kind: 77, Server: "s"}, {Number: 1}}}},
		{FromLeader: &hostlink.FromLeader{Epoch: 9, Leader: "not an address", Peers: []string{"x", "10.0.0.1:1"}}},
		{ToLeader: &hostlink.ToLeader{Incarnation: 5, Epoch: 1, FirstReport: 1 << 31, Reports: []hostlink.Report{{Number: 1, Result: 200, TookMS: 1 << 31, Running: -9}}}},
		{ToLeader: &hostlink.ToLeader{Incarnation: 5, Requests: []hostlink.RoutingRequest{{Number: 1, Service: hash32("svc"), Key: -7, TargetMS: -1 << 31, DeadlineMS: 1<<31 - 1, Tried: []string{""}}}}},
	} {
		data, err := cbor.Marshal(struct {
			_          struct{} `cbor:",toarray"`
			ToLeader   *hostlink.ToLeader
			FromLeader *hostlink.FromLeader
		}{ToLeader: m.ToLeader, FromLeader: m.FromLeader})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, perSecond := range []float64{0, 2.3, 1e300, -1, math.NaN(), math.Inf(1)} {
		limits := hostlink.ServerLimits{Limits: []hostlink.ServerLimit{{Service: hash32("svc"), Server: "s", PerSecond: perSecond}}}
		data, err := cbor.Marshal([]any{nil, nil, limits})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, server := range []hostlink.LeavingServer{{Server: "s", AgeMS: 1 << 31}, {Server: "s", Incarnation: math.MinInt64}, {Server: "other", Incarnation: math.MaxInt64}} {
		data, err := cbor.Marshal([]any{nil, nil, nil, hostlink.LeavingServers{Servers: []hostlink.LeavingServer{server}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, pause := range []hostlink.ServerPause{{Service: hash32("svc"), Server: "s", LeftMS: math.MaxUint32}, {Service: hash32("svc"), Server: "s", Incarnation: math.MinInt64, LeftMS: 1}} {
		data, err := cbor.Marshal([]any{nil, nil, nil, nil, hostlink.ServerPauses{Incarnation: 7, Pauses: []hostlink.ServerPause{pause}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	hedges := []hostlink.HedgeRequest{{First: 1, Request: hostlink.RoutingRequest{Number: 1, Service: hash32("svc"), Key: -7, TargetMS: -1 << 31}}, {First: 9}}
	data, err := cbor.Marshal([]any{nil, nil, nil, nil, nil, hostlink.HedgeRequests{Incarnation: 7, Requests: hedges}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	link, err := hostlink.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = link.Close() })
	leader := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		clk := clock.NewMonotonic()
		usable := func() bool { return true }
		client := newLeaderClient(clk, link, 7, "dc", func() {}, usable)
		client.active, client.endLeadership = newActiveBounds(typicalBounds()), func() {}
		client.leader, client.epoch = leader, 1
		request := &routingRequest{job: schedule.Job{ID: schedule.JobID{HostIncarnation: 7, Number: 1}}, decision: make(chan schedule.Decision, 1)}
		client.pending[1] = request
		fs := &followers{clk: clk, link: link, incarnation: 7, header: func() hostlink.FromLeader { return hostlink.FromLeader{} }, deliverLocal: client.deliver, currentLeader: client.currentLeader}
		s := newScheduler(clk, fs.deliver, usable)
		s.addServices(&fleet.Config{Services: map[topology.Service]fleet.Service{"svc": {}, "keyed": {Keyed: true}}}, nil, nil)
		s.updateServers([]fleet.Server{{ID: "s", Service: "svc", Slots: 1}})
		fs.setScheduler(s, 1, func(uint64, string) {})
		w := newStoreWatcher(clk, nil, client.active, nil, func() {})
		w.directory.Set(fleet.Server{ID: "s", Service: "svc", Incarnation: 5})
		if hostlink.Dispatch(datagram, leader, bothRoles{followers: fs, client: client, watcher: w}) != nil {
			return
		}
		s.updateServers(w.servers())
		client.passLeaving(w.leavingServers())
		client.tick()
		s.add(hash32("svc"), &schedule.Job{ID: schedule.JobID{HostIncarnation: 7, Number: 2}, Key: schedule.NoKey, Deadline: clk.Now() + time.Hour})
		s.dispatch()
		select {
		case d := <-request.decision:
			_ = d.Reason.String()
		case <-time.After(0):
		}
	})
}
