package gateway

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// serverLimits holds the limits that servers named to this host.
type serverLimits struct {
	clk clock.Clock
	log logging.Logger

	mu      sync.Mutex
	servers map[topology.ServerID]*namedLimit
}

// namedLimit is the last limit of one server.
type namedLimit struct {
	limit    schedule.Limit
	statedAt time.Duration
	loggedAt time.Duration
}

const (
	// limitLogInterval is the least interval between two log lines on the limit of
	// one server, which may change with each response.
	limitLogInterval = time.Second
	// maxLimitAge is the age at which a limit without a further response of its
	// server is forgotten.
	maxLimitAge = 30 * time.Second
)

func newServerLimits(clk clock.Clock, log logging.Logger) *serverLimits {
	return &serverLimits{clk: clk, log: log, servers: make(map[topology.ServerID]*namedLimit)}
}

// record takes note of what a response says of the limit of its server.
func (l *serverLimits) record(server topology.ServerID, limit schedule.Limit) {
	if !limit.Stated {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	n, known := l.servers[server]
	switch {
	case !known && !limit.Limited():
		return
	case !known:
		n = &namedLimit{loggedAt: now}
		l.servers[server] = n
		l.log.With("server", string(server)).With("per_second", limit.PerSecond).Info("a server limits its requests")
	case !limit.Limited():
		l.log.With("server", string(server)).Info("a server limits its requests no longer")
		delete(l.servers, server)
	case limit != n.limit && now-n.loggedAt >= limitLogInterval:
		n.loggedAt = now
		l.log.With("server", string(server)).With("per_second", limit.PerSecond).Info("a server has changed the limit of its requests")
	}
	n.limit, n.statedAt = limit, now
}

// count returns the number of servers that limit their requests, and forgets those
// that have not stated it for long.
func (l *serverLimits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.servers {
		if l.clk.Now()-n.statedAt > maxLimitAge {
			delete(l.servers, id)
		}
	}
	return len(l.servers)
}
