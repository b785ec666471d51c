// Package router builds an entry host from its components and runs it.
package router

import (
	"context"
	"fmt"
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
	// peerStopTimeout is how long a shutdown waits for forwarded requests after the
	// handover.
	peerStopTimeout = 5 * time.Second
)

// Settings holds the settings of an entry host.
type Settings struct {
	Host       string        `env:"LYR_HOST" flag:"host" help:"Name of this host."`
	DataCentre string        `env:"LYR_DATA_CENTRE" flag:"data-centre" help:"Data centre of this host."`
	Cell       string        `env:"LYR_CELL" flag:"cell" help:"Cell of this host; the data centre's name by default."`
	Listen     string        `env:"LYR_LISTEN" envDefault:"127.0.0.1:8080" flag:"listen" help:"Address of the caller interface."`
	Peer       string        `env:"LYR_PEER" envDefault:"127.0.0.1:8081" flag:"peer" help:"Address of the interface for other entry hosts."`
	Admin      string        `env:"LYR_ADMIN" envDefault:"127.0.0.1:8082" flag:"admin" help:"Address of the operator interface."`
	Platform   string        `env:"LYR_PLATFORM" envDefault:"http://127.0.0.1:7400" flag:"platform" help:"URL of the platform's log service and host list."`
	Retention  time.Duration `env:"LYR_RETENTION" envDefault:"24h" flag:"retention" help:"Time for which the log keeps records."`
	DrainDelay time.Duration `env:"LYR_DRAIN_DELAY" envDefault:"1s" flag:"drain-delay" help:"Time between failing readiness and handing over, for the load balancer to notice."`
	MemoryMB   int           `env:"LYR_MEMORY_MB" flag:"memory-mb" help:"Memory of this host in MiB, of which request bodies get a part; 0 for bodies of 256 MiB."`
	LogLevel   string        `env:"LYR_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"Log level: debug, info, warn or error."`
	LogJSON    bool          `env:"LYR_LOG_JSON" flag:"log-json" help:"Log as JSON."`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []error {
	if s.Cell == "" {
		s.Cell = s.DataCentre
	}
	var memory error
	if s.MemoryMB < 0 {
		memory = fmt.Errorf("memory-mb: %d is negative", s.MemoryMB)
	}
	return settings.NonNilErrors(
		memory,
		settings.CheckNotEmpty("host", s.Host),
		settings.CheckNotEmpty("data-centre", s.DataCentre),
		settings.CheckAddress("listen", s.Listen),
		settings.CheckAddress("peer", s.Peer),
		settings.CheckAddress("admin", s.Admin),
	)
}

// Host is a running entry host.
type Host struct {
	settings       Settings
	log            logging.Logger
	control        *control.Controller
	callerServer   *http.Server
	operatorServer *http.Server
	peerServer     *grpc.Server
	serveErrors    chan error
	stopControl    context.CancelFunc // stops the controller

	// Addresses that the host listens on.
	CallerAddress, PeerAddress, OperatorAddress string
}

// Run runs an entry host until ctx is cancelled and then shuts it down. It returns
// early if one of the host's listeners fails.
func Run(ctx context.Context, s Settings) error {
	h, err := Start(ctx, s)
	if err != nil {
		return err
	}
	select {
	case err := <-h.serveErrors:
		return err
	case <-ctx.Done():
		return h.Shutdown(context.WithoutCancel(ctx))
	}
}

// Start starts an entry host. The host runs until Shutdown is called, even if ctx
// is cancelled before.
func Start(ctx context.Context, s Settings) (*Host, error) {
	h := &Host{settings: s, log: logging.For(logging.Router), serveErrors: make(chan error, 3)}
	h.buildComponents()
	for _, l := range []struct {
		address string
		bound   *string
		run     func(net.Listener) error
	}{
		{s.Listen, &h.CallerAddress, h.callerServer.Serve}, {s.Peer, &h.PeerAddress, h.peerServer.Serve}, {s.Admin, &h.OperatorAddress, h.operatorServer.Serve},
	} {
		bound, err := listen.Start("tcp", l.address, l.run, h.serveErrors)
		if err != nil {
			return nil, err
		}
		*l.bound = bound
	}
	h.control.SetAddress(h.PeerAddress)
	ctx, h.stopControl = context.WithCancel(context.WithoutCancel(ctx))
	go h.control.Run(ctx)
	h.log.With("host", s.Host).Info("entry host is serving")
	return h, nil
}

// buildComponents creates the components of the host and connects them.
func (h *Host) buildComponents() {
	s, metricSet := h.settings, metrics.NewSet()
	h.control = control.New(control.Options{
		Self:       topology.Member{Host: topology.HostID(s.Host), Incarnation: topology.Incarnation(time.Now().UnixNano())},
		DataCentre: topology.DataCentre(s.DataCentre), Cell: topology.CellID(s.Cell), Retention: s.Retention,
		Log: platformlog.NewClient(s.Platform), Hosts: hostlist.NewClient(s.Platform), Metrics: metricSet,
	})
	executor := execute.New(execute.Options{
		Owners: h.control, Servers: exchange.NewClient(maxServerConns), Weight: h.control.CustomerWeight, PublishCrash: h.control.PublishCrash,
	})
	h.control.SetExecutor(executor)
	local := recordLoad(executor, h.control)
	dispatcher := dispatch.New(dispatch.Options{Routes: h.control, Local: local, OnRetry: func(req *request.Request, code verdict.Code) {
		metricSet.CountRetry(req.Customer, req.Class, code)
	}})
	bodies := bodyMemory(s.MemoryMB)
	metricSet.RegisterGauge("request_body_bytes", func() float64 { return float64(bodies.Used()) })
	h.callerServer = frontend.NewServer(frontend.HandlerWithOptions(dispatcher, frontend.Options{
		Memory: bodies, Refused: refusalRecorder(h.log, metricSet),
		Middleware: []endpoint.Middleware{
			frontend.Observe(func(req *request.Request, t request.Timing, err error, took time.Duration) {
				metricSet.ObserveRequest(req.Customer, req.Class, took, t, err)
			}),
		},
	}))
	h.operatorServer = &http.Server{Handler: admin.Handler(h.control, metricSet), ReadHeaderTimeout: readHeaderTimeout}
	server := peer.NewServer(local).WithControl(h.control)
	server.SetRelay(h.control.Relay())
	h.peerServer = peer.NewGRPCServer(server)
}

// Shutdown stops the host gracefully: its readiness check fails, it hands over its
// partitions, and it waits for requests in flight, for at most shutdownTimeout.
func (h *Host) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	h.log.Info("entry host is shutting down")
	h.control.MarkShuttingDown() // before the rest, so that the load balancer sends no new requests
	clock.Sleep(ctx, h.settings.DrainDelay)
	h.control.Leave(ctx)
	err := h.callerServer.Shutdown(ctx)
	h.stopControl() // also ends the subscriptions of this host to relays of other hosts
	stopPeerServer(ctx, h.peerServer)
	_ = h.operatorServer.Shutdown(ctx)
	h.log.Info("entry host has stopped")
	return err
}

// stopPeerServer waits for forwarded requests, at most peerStopTimeout, and then
// closes all connections. Relay subscriptions of other hosts do not end by
// themselves, so they are closed at the timeout.
func stopPeerServer(ctx context.Context, server *grpc.Server) {
	ctx, cancel := context.WithTimeout(ctx, peerStopTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		server.Stop()
	}
}

// recordLoad reports each request that next has completed to the controller, which
// records the load of the servers.
func recordLoad(next request.Doer, ctl *control.Controller) request.Doer {
	return request.DoerFunc(func(ctx context.Context, req *request.Request) (*request.Response, error) {
		ans, err := next.Do(ctx, req)
		if err == nil {
			ctl.RecordLoad(req, ans)
		}
		return ans, err
	})
}
