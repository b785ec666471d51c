package gateway

import (
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// callerSocketShare is the share of the sockets that callers may have open: each request
	// may need a second one to its server.
	callerSocketShare = 0.5
	// idleSocketShare is the share of the sockets that idle connections to servers may hold.
	// The rest is left for running requests and the calls of a leader.
	idleSocketShare = 0.25
)

// maxCallerConns returns the limit on connections of callers of a host with so many sockets,
// zero for none.
func maxCallerConns(sockets int) int { return int(callerSocketShare * float64(sockets)) }

// maxIdleServerConns returns the limit on idle connections to servers of a host with so many
// sockets, zero for none.
func maxIdleServerConns(sockets int) int { return int(idleSocketShare * float64(sockets)) }

// acceptErrors handles connections of callers that cannot be accepted.
type acceptErrors struct {
	log     logging.Logger
	clk     clock.Clock
	metrics *metrics
	limiter logging.Limiter
	servers *upstream.Client
	// freedAt is the time at which the idle connections to servers were closed last.
	freedAt atomic.Int64
}

const (
	acceptErrorLinesPerSecond = 2
	// freeInterval is the interval at which idle connections to servers are closed while no
	// connection can be accepted.
	freeInterval = 500 * time.Millisecond
)

func newAcceptErrors(log logging.Logger, clk clock.Clock, m *metrics, servers *upstream.Client) *acceptErrors {
	return &acceptErrors{log: log, clk: clk, metrics: m, servers: servers, limiter: logging.Limiter{PerSecond: acceptErrorLinesPerSecond}}
}

// handle logs the error and closes the idle connections to servers, since the process may
// have no descriptor left.
func (a *acceptErrors) handle(err error) {
	a.metrics.inc("accept-failed")
	now := a.clk.Now()
	closed := 0
	if last := a.freedAt.Load(); last == 0 || now-time.Duration(last) >= freeInterval {
		a.freedAt.Store(int64(now))
		closed = a.servers.CloseIdle()
	}
	if ok, omitted := a.limiter.Allow(now); ok {
		a.log.With("closed", closed).With("omitted", omitted).Warn("a connection of a caller cannot be accepted; the host is not ready: " + err.Error())
	}
}
