// Package router wires the parts of an entry host together and runs them.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/lycheerudder/lycheerudder/internal/control"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	shutdownTimeout   = 35 * time.Second // longer than the longest request
	readHeaderTimeout = 5 * time.Second
	maxServerConns    = 45
)

// Settings of an entry host.
type Settings struct {
	Host       string `env:"LYR_HOST" flag:"host" help:"Name of this host."`
	DataCentre string `env:"LYR_DATA_CENTRE" flag:"data-centre" help:"Data centre of this host."`
	Cell       string `env:"LYR_CELL" flag:"cell" help:"Cell of this host; the data centre's name by default."`
	Listen     string `env:"LYR_LISTEN" envDefault:"127.0.0.1:8080" flag:"listen" help:"Address of the caller interface."`
	Peer       string `env:"LYR_PEER" envDefault:"127.0.0.1:8081" flag:"peer" help:"Address of the interface for other entry hosts."`
	Admin      string `env:"LYR_ADMIN" envDefault:"127.0.0.1:8082" flag:"admin" help:"Address of the operator interface."`
	Platform   string `env:"LYR_PLATFORM" envDefault:"http://127.0.0.1:7400" flag:"platform" help:"URL of the platform's log service and host list."`
	LogLevel   string `env:"LYR_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"Log level: debug, info, warn or error."`
	LogJSON    bool   `env:"LYR_LOG_JSON" flag:"log-json" help:"Log as JSON."`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() []error {
	if s.Cell == "" {
		s.Cell = s.DataCentre
	}
	return settings.Problems(
		settings.CheckNotEmpty("host", s.Host),
		settings.CheckNotEmpty("data-centre", s.DataCentre),
		settings.CheckAddress("listen", s.Listen),
		settings.CheckAddress("peer", s.Peer),
		settings.CheckAddress("admin", s.Admin),
	)
}

// Run runs an entry host until the context ends, then shuts it down.
func Run(ctx context.Context, s Settings) error {
	log := logging.For(logging.Router)
	ctl := control.New(control.Options{
		Self:       topology.Member{Host: topology.HostID(s.Host), Incarnation: topology.Incarnation(time.Now().UnixNano())},
		DataCentre: topology.DataCentre(s.DataCentre), Cell: topology.CellID(s.Cell),
		Log: platformlog.NewClient(s.Platform), Hosts: hostlist.NewClient(s.Platform),
	})
	local := execute.New(ctl, exchange.NewClient(maxServerConns))
	dispatcher := dispatch.New(topology.HostID(s.Host), ctl, local)

	callers := &http.Server{Handler: frontend.Handler(dispatcher), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: 16 << 10}
	peers := grpc.NewServer()
	peerpb.RegisterPeerServer(peers, peer.NewServer(local))

	failed := make(chan error, 2)
	if err := serve(s.Listen, callers.Serve, failed); err != nil {
		return err
	}
	if err := serve(s.Peer, peers.Serve, failed); err != nil {
		return err
	}
	go ctl.Run(ctx)
	log.With("host", s.Host).Info("Entry host is serving.")

	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := callers.Shutdown(stop)
	peers.GracefulStop()
	log.Info("Entry host has stopped.")
	return err
}

// serve listens on an address and reports the end of run, unless it ended by a
// shutdown.
func serve(address string, run func(net.Listener) error, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	go func() {
		if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}
