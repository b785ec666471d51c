package gateway

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// BenchmarkLeader measures the leader's work for one request to a service
// without keys: a routing request, a decision and a report.
func BenchmarkLeader(b *testing.B) {
	link, err := hostlink.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = link.Close() }()
	clk := clock.NewMonotonic()
	fs := &followers{clk: clk, link: link, incarnation: 1, deliverLocal: func([]schedule.Decision) {}, header: func() hostlink.FromLeader { return hostlink.FromLeader{} }}
	s := newScheduler(clk, fs.deliver, func() bool { return true })
	s.addServices(fleet.NewConfig(1, nil, []fleet.Service{{Name: "workshop"}}, fleet.Limits{}), nil, nil)
	var servers []fleet.Server
	for i := range 79 {
		servers = append(servers, fleet.Server{ID: topology.ServerID(rune('A' + i)), Service: "workshop", Slots: 2, Address: "10.1.64.43:8689"})
	}
	s.updateServers(servers)
	fs.setScheduler(s, 1, func(uint64, string) {})
	from := netip.MustParseAddrPort("127.0.0.1:9")
	service := hash32("workshop")
	b.ReportAllocs()
	for n := uint32(1); b.Loop(); n++ {
		q := hostlink.ToLeader{Incarnation: 7, DataCentre: "kgn-a", Requests: []hostlink.RoutingRequest{{Number: n, Service: service, Class: 3, Content: 1 << 60, Key: -1, TargetMS: 200, DeadlineMS: 500}}, FirstReport: n}
		data, _ := cbor.Marshal(&q)
		var m hostlink.ToLeader
		if err := cbor.Unmarshal(data, &m); err != nil {
			b.Fatal(err)
		}
		fs.handle(from, &m)
		r := hostlink.ToLeader{Incarnation: 7, DataCentre: "kgn-a", FirstReport: n, Reports: []hostlink.Report{{Number: n, TookMS: 60, Running: 1}}}
		data, _ = cbor.Marshal(&r)
		var m2 hostlink.ToLeader
		if err := cbor.Unmarshal(data, &m2); err != nil {
			b.Fatal(err)
		}
		fs.handle(from, &m2)
	}
}
