package gateway

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// serverLimit is what a response says of the limit of its server.
type serverLimit struct {
	service uint32 // hash of the service's name
	server  topology.ServerID
	limit   schedule.Limit
}

// serverLimits holds the limits that servers named to this host.
type serverLimits struct {
	clk clock.Clock
	log logging.Logger

	mu      sync.Mutex
	servers map[topology.ServerID]*namedLimit
}

// namedLimit is the last limit of one server.
type namedLimit struct {
	serverLimit
	statedAt time.Duration
	loggedAt time.Duration
}

// limitLogInterval is the least interval between two log lines on the limit of one
// server, which may change with each response.
const limitLogInterval = time.Second

func newServerLimits(clk clock.Clock, log logging.Logger) *serverLimits {
	return &serverLimits{clk: clk, log: log, servers: make(map[topology.ServerID]*namedLimit)}
}

// record takes note of what a response says. It reports whether the server names a
// limit, or named one before.
func (l *serverLimits) record(stated serverLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	n, known := l.servers[stated.server]
	if !known && !stated.limit.Limited() {
		return false
	}
	log := l.log.With("server", string(stated.server))
	switch {
	case !stated.limit.Limited():
		log.Info("a server limits its requests no longer")
		delete(l.servers, stated.server)
		return true
	case !known:
		log.With("per_second", stated.limit.PerSecond).Info("a server limits its requests")
		n = &namedLimit{loggedAt: now}
		l.servers[stated.server] = n
	case stated.limit != n.limit && now-n.loggedAt >= limitLogInterval:
		log.With("per_second", stated.limit.PerSecond).Info("a server has changed the limit of its requests")
		n.loggedAt = now
	}
	n.serverLimit, n.statedAt = stated, now
	return true
}

// list returns the limits that are in force.
func (l *serverLimits) list() []serverLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []serverLimit
	for id, n := range l.servers {
		if l.clk.Now()-n.statedAt > schedule.MaxLimitAge {
			delete(l.servers, id)
			continue
		}
		out = append(out, n.serverLimit)
	}
	return out
}

// count returns the number of servers whose limit is in force.
func (l *serverLimits) count() int { return len(l.list()) }
