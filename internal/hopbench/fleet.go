// Package hopbench measures what the entry hosts add to a request: latency and
// CPU time directly to a server, through one entry host that leads the
// partition, and through an entry host and the leader host. All of them run in
// one process and talk over loopback sockets.
package hopbench

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	servers  = 32
	maxConns = 130
)

// Fleet is a set of servers, the leader host of their partition, and an entry
// host that does not lead. It implements execute.Owners for the leader.
type Fleet struct {
	// Leader and Entry are the base URLs of the caller interfaces.
	Leader, Entry string

	targets [servers]exchange.Target
	closers []func()
}

// NewFleet starts a fleet whose servers run app. Without keepAlive neither the
// hosts nor the servers keep connections. The caller closes the fleet.
func NewFleet(keepAlive bool, app http.Handler) (*Fleet, error) {
	f := &Fleet{}
	for i := range f.targets {
		t, err := f.server(i, keepAlive, app)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.targets[i] = t
	}
	if err := f.hosts(keepAlive); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops all parts of the fleet.
func (f *Fleet) Close() {
	for _, c := range f.closers {
		c()
	}
}

func (f *Fleet) server(i int, keepAlive bool, app http.Handler) (exchange.Target, error) {
	fake := serverfake.New(serverfake.Options{ID: "s", Incarnation: 1, ChecksFences: true, Slots: 2, Clock: clock.BootTime{}})
	ref, fence := topology.ShardRef{Service: "booking", Shard: topology.ShardID(i)}, topology.Fence{Home: 1, List: 2, Term: 3, Seq: 4}
	_, _ = fake.UpdateLease(context.Background(), serverapi.LeaseRequest{
		Epoch: fence.Epoch(), Incarnation: 1, Duration: 1 << 62, Grant: []serverapi.GrantOrder{{Ref: ref, Fence: fence}},
	})
	base, err := f.serve(&http.Server{Handler: fake.Handler(app), ReadHeaderTimeout: time.Minute}, keepAlive)
	return exchange.Target{
		Server: topology.ServerID("s" + strconv.Itoa(i)), BaseURL: base, Shard: ref, Fence: fence,
		Partition: "booking.kgn-a.0", LeaderSince: time.Now().Add(-time.Hour),
	}, err
}

func (f *Fleet) hosts(keepAlive bool) error {
	client := exchange.NewClient(maxConns)
	local := execute.New(execute.Options{Owners: f, Servers: client})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := peer.NewGRPCServer(peer.NewServer(local))
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, client.Close, s.Stop)
	if f.Leader, err = f.host(route{Local: true}, local, keepAlive); err != nil {
		return err
	}
	f.Entry, err = f.host(route{Address: l.Addr().String()}, nil, keepAlive)
	return err
}

func (f *Fleet) host(r route, local request.Doer, keepAlive bool) (string, error) {
	d := dispatch.New(dispatch.Options{Routes: r, Local: local})
	f.closers = append(f.closers, d.Close)
	return f.serve(frontend.NewServer(frontend.Handler(d)), keepAlive)
}

func (f *Fleet) serve(s *http.Server, keepAlive bool) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	s.SetKeepAlivesEnabled(keepAlive)
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

// route is the same for all requests.
type route dispatch.Route

// Route implements dispatch.Routes.
func (r route) Route(*request.Request) (dispatch.Route, error) { return dispatch.Route(r), nil }

// Owner implements execute.Owners.
func (f *Fleet) Owner(req *request.Request) (exchange.Target, error) { return *f.owner(req.Key), nil }

func (f *Fleet) owner(key string) *exchange.Target {
	return &f.targets[xxhash.Sum64String(key)%servers]
}
