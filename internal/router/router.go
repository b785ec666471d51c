// Package router wires the parts of an entry host together and runs them.
package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	"google.golang.org/grpc"

	"github.com/lycheerudder/lycheerudder/internal/admin"
	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/control"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/listen"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	shutdownTimeout   = 35 * time.Second // longer than the longest request
	readHeaderTimeout = 5 * time.Second
	maxServerConns    = 45
	// peerDrain is the time for forwarded requests to end after the hand-over.
	peerDrain = 5 * time.Second
)

// Settings of an entry host.
type Settings struct {
	Host       string        `env:"LYR_HOST" flag:"host" help:"Name of this host."`
	DataCentre string        `env:"LYR_DATA_CENTRE" flag:"data-centre" help:"Data centre of this host."`
	Cell       string        `env:"LYR_CELL" flag:"cell" help:"Cell of this host; the data centre's name by default."`
	Listen     string        `env:"LYR_LISTEN" envDefault:"127.0.0.1:8080" flag:"listen" help:"Address of the caller interface."`
	Peer       string        `env:"LYR_PEER" envDefault:"127.0.0.1:8081" flag:"peer" help:"Address of the interface for other entry hosts."`
	Admin      string        `env:"LYR_ADMIN" envDefault:"127.0.0.1:8082" flag:"admin" help:"Address of the operator interface."`
	Platform   string        `env:"LYR_PLATFORM" envDefault:"http://127.0.0.1:7400" flag:"platform" help:"URL of the platform's log service and host list."`
	Retention  time.Duration `env:"LYR_RETENTION" envDefault:"24h" flag:"retention" help:"Time for which the log keeps records."`
	DrainDelay time.Duration `env:"LYR_DRAIN_DELAY" envDefault:"1s" flag:"drain-delay" help:"Time between failing readiness and handing over, for the balancer to notice."`
	LogLevel   string        `env:"LYR_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"Log level: debug, info, warn or error."`
	LogJSON    bool          `env:"LYR_LOG_JSON" flag:"log-json" help:"Log as JSON."`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []error {
	if s.Cell == "" {
		s.Cell = s.DataCentre
	}
	return settings.NonNilErrors(
		settings.CheckNotEmpty("host", s.Host),
		settings.CheckNotEmpty("data-centre", s.DataCentre),
		settings.CheckAddress("listen", s.Listen),
		settings.CheckAddress("peer", s.Peer),
		settings.CheckAddress("admin", s.Admin),
	)
}

// Host is a running entry host.
type Host struct {
	settings  Settings
	log       logging.Logger
	control   *control.Controller
	callers   *http.Server
	operators *http.Server
	peers     *grpc.Server
	failed    chan error
	stop      context.CancelFunc // ends the control path

	// Callers, Peers and Operators are the addresses that the host listens on.
	Callers, Peers, Operators string
}

// Run runs an entry host until the context ends, then shuts it down.
func Run(ctx context.Context, s Settings) error {
	h, err := Start(ctx, s)
	if err != nil {
		return err
	}
	select {
	case err := <-h.failed:
		return err
	case <-ctx.Done():
		return h.Shutdown(context.WithoutCancel(ctx))
	}
}

// Start starts an entry host. It runs until Shutdown, also after the context
// ends.
func Start(ctx context.Context, s Settings) (*Host, error) {
	h := &Host{settings: s, log: logging.For(logging.Router), failed: make(chan error, 3)}
	h.wire()
	for _, l := range []struct {
		address string
		bound   *string
		run     func(net.Listener) error
	}{
		{s.Listen, &h.Callers, h.callers.Serve}, {s.Peer, &h.Peers, h.peers.Serve}, {s.Admin, &h.Operators, h.operators.Serve},
	} {
		bound, err := listen.Start("tcp", l.address, l.run, h.failed)
		if err != nil {
			return nil, err
		}
		*l.bound = bound
	}
	h.control.SetAddress(h.Peers)
	ctx, h.stop = context.WithCancel(context.WithoutCancel(ctx))
	go h.control.Run(ctx)
	h.log.With("host", s.Host).Info("Entry host is serving.")
	return h, nil
}

// wire connects the parts.
func (h *Host) wire() {
	s, set := h.settings, metrics.NewSet()
	h.control = control.New(control.Options{
		Self:       topology.Member{Host: topology.HostID(s.Host), Incarnation: topology.Incarnation(time.Now().UnixNano())},
		DataCentre: topology.DataCentre(s.DataCentre), Cell: topology.CellID(s.Cell), Retention: s.Retention,
		Log: platformlog.NewClient(s.Platform), Hosts: hostlist.NewClient(s.Platform), Metrics: set,
	})
	leader := execute.New(execute.Options{
		Owners: h.control, Servers: exchange.NewClient(maxServerConns), Weight: h.control.CustomerWeight, PublishCrash: h.control.PublishCrash,
	})
	h.control.SetExecutor(leader)
	local := measureServed(leader, h.control)
	dispatcher := dispatch.New(dispatch.Options{Routes: h.control, Local: local, OnRetry: func(req *request.Request, code verdict.Code) {
		set.CountRetry(req.Customer, req.Class, code)
	}})
	h.callers = frontend.NewServer(frontend.HandlerWith(dispatcher, frontend.Options{Middleware: []endpoint.Middleware{
		frontend.Observe(func(req *request.Request, t request.Timing, err error, took time.Duration) {
			set.ObserveRequest(req.Customer, req.Class, took, t, err)
		}),
	}}))
	h.operators = &http.Server{Handler: admin.Handler(h.control, set), ReadHeaderTimeout: readHeaderTimeout}
	server := peer.NewServer(local).WithControl(h.control)
	server.SetRelay(h.control.Relay())
	h.peers = peer.NewGRPCServer(server)
}

// Shutdown takes the host out of service: readiness fails, partitions are
// handed over, requests in flight end. It takes at most shutdownTimeout.
func (h *Host) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	h.log.Info("Entry host is shutting down.")
	h.control.MarkShuttingDown() // readiness fails first, so that the balancer sends no new requests
	clock.Sleep(ctx, h.settings.DrainDelay)
	h.control.Leave(ctx)
	err := h.callers.Shutdown(ctx)
	h.stop() // ends the subscriptions of other hosts
	stopPeers(ctx, h.peers)
	_ = h.operators.Shutdown(ctx)
	h.log.Info("Entry host has stopped.")
	return err
}

// stopPeers lets forwarded requests end and closes the connections. Relay
// subscriptions do not end by themselves and are cut off.
func stopPeers(ctx context.Context, peers *grpc.Server) {
	ctx, cancel := context.WithTimeout(ctx, peerDrain)
	defer cancel()
	done := make(chan struct{})
	go func() {
		peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		peers.Stop()
	}
}

// measureServed records the load of the servers that this host leads.
func measureServed(next request.Doer, ctl *control.Controller) request.Doer {
	return request.DoerFunc(func(ctx context.Context, req *request.Request) (*request.Answer, error) {
		ans, err := next.Do(ctx, req)
		if err == nil {
			ctl.RecordLoad(req, ans)
		}
		return ans, err
	})
}
