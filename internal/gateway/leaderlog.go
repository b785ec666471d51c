package gateway

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// The lines of a leader on single calls and key ranges are bounded, by kind, in lines a second:
// after a loss of many servers all of them change at once, and writing a line costs a leader
// about as much CPU time as a renewal.
const (
	fenceLinesPerSecond      = 20
	failedCallLinesPerSecond = 20
	// Keys that became free without a release are what an outage of keys is traced by.
	expiredLinesPerSecond = 40
	changeLinesPerSecond  = 60
)

// fenceAttemptsPerLine is the number of calls of a fence order for each line in the log:
// a server that cannot be reached fails five of them a second.
const fenceAttemptsPerLine = 25

// leaderLog writes the lines of a leader on calls to servers and on owners of keys. Lines
// beyond the bound of their kind are counted in the field omitted of the next one.
type leaderLog struct {
	log                                   logging.Logger
	clk                                   clock.Clock
	fences, failedCalls, expired, changes logging.Limiter
}

func newLeaderLog(log logging.Logger, clk clock.Clock) *leaderLog {
	return &leaderLog{
		log: log, clk: clk,
		fences: logging.Limiter{PerSecond: fenceLinesPerSecond}, failedCalls: logging.Limiter{PerSecond: failedCallLinesPerSecond},
		expired: logging.Limiter{PerSecond: expiredLinesPerSecond}, changes: logging.Limiter{PerSecond: changeLinesPerSecond},
	}
}

// line returns the logger of a line, and whether it may be written.
func (l *leaderLog) line(limiter *logging.Limiter) (logging.Logger, bool) {
	ok, omitted := limiter.Allow(l.clk.Now())
	if omitted > 0 {
		return l.log.With("omitted", omitted), ok
	}
	return l.log, ok
}

// recordCall logs the end of a call to a server, unless it is a grant or a release that
// succeeded.
func (l *leaderLog) recordCall(o ownership.Order, outcome ownership.Outcome, err error) {
	limiter := &l.failedCalls
	switch {
	case o.Kind != ownership.Fence && outcome == ownership.Done:
		return
	case o.Kind == ownership.Fence && outcome != ownership.Done && (o.Attempt-1)%fenceAttemptsPerLine != 0:
		return
	case o.Kind == ownership.Fence:
		limiter = &l.fences
	}
	line, ok := l.line(limiter)
	if !ok {
		return
	}
	line = line.With("server", string(o.Server)).With("from", o.From).With("to", o.To).With("fence", o.Fence)
	switch {
	case o.Kind != ownership.Fence:
		line.With("kind", o.Kind.String()).With("outcome", outcome.String()).Info("a call to a server failed: " + err.Error())
	case outcome == ownership.Done:
		line.Info("a former owner of keys refuses grants of earlier leaders from now on")
	default:
		line.With("address", o.Address).With("attempt", o.Attempt).With("outcome", outcome.String()).
			Info("a former owner of keys has not responded to a higher fence: " + err.Error())
	}
}

// recordChange logs a change of the owner of a key range.
func (l *leaderLog) recordChange(service topology.Service, c ownership.Change) {
	limiter := &l.changes
	if c.Kind == ownership.Expired {
		limiter = &l.expired
	}
	line, ok := l.line(limiter)
	if !ok {
		return
	}
	line = line.With("service", string(service)).With("kind", c.Kind.String()).With("from", c.From).With("to", c.To).
		With("server", string(c.Server)).With("registered", c.Registered).With("fence", c.Fence)
	if c.Kind == ownership.Expired {
		line = line.With("since_expiry_ms", sinceMS(l.clk, c.LatestExpiry))
		if c.EarlierUntil != 0 {
			line = line.With("since_earlier_leaders_ms", sinceMS(l.clk, c.EarlierUntil))
		}
	}
	line.Info("the owner of keys has changed")
}

func sinceMS(clk clock.Clock, at time.Duration) int64 { return (clk.Now() - at).Milliseconds() }
