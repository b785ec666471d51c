package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// serverPauses holds the pauses that servers asked this host for.
type serverPauses struct {
	clk clock.Clock
	log logging.Logger

	mu     sync.Mutex
	pauses *schedule.Pauses
}

func newServerPauses(clk clock.Clock, log logging.Logger) *serverPauses {
	return &serverPauses{clk: clk, log: log, pauses: schedule.NewPauses()}
}

// record takes note that a server wants no request from this host for the given time. It
// reports whether a pause begins with that.
func (p *serverPauses) record(server topology.ServerID, service uint32, asked time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.log.With("server", string(server)).With("pause_ms", asked.Milliseconds())
	switch p.pauses.Record(server, service, asked, p.clk.Now()) {
	case schedule.PauseBegun:
		log.Info("a server asks this host for a pause")
		return true
	case schedule.PauseExtended:
		log.Info("a server asks this host for a longer pause")
	}
	return false
}

// left returns for how long a server wants no request from this host; zero if it accepts
// requests.
func (p *serverPauses) left(server topology.ServerID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Left(server, p.clk.Now())
}

// list returns the pauses that are in force.
func (p *serverPauses) list() []schedule.Pause {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.List(p.clk.Now())
}

// listOf returns the entry of one server in list, if there is one.
func (p *serverPauses) listOf(server topology.ServerID) []schedule.Pause {
	return slices.DeleteFunc(p.list(), func(pause schedule.Pause) bool { return pause.Server != server })
}

// endOver ends the pauses that are over.
func (p *serverPauses) endOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logEnds(p.pauses.EndOver(p.clk.Now()), false)
}

// endRestarted ends the pauses of servers that have started again by the registrations,
// which were read at the given time.
func (p *serverPauses) endRestarted(servers []fleet.Server, readAt time.Duration) {
	incarnations := make(map[topology.ServerID]int64, len(servers))
	for _, s := range servers {
		incarnations[s.ID] = s.Incarnation
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logEnds(p.pauses.EndRestarted(incarnations, readAt), true)
}

func (p *serverPauses) logEnds(ended []schedule.Pause, restarted bool) {
	for _, pause := range ended {
		p.log.With("server", string(pause.Server)).With("restarted", restarted).Info("the pause that a server asked this host for has ended")
	}
}

// encodePauses returns the message that tells the leader of pauses of this host.
func encodePauses(incarnation uint64, pauses []schedule.Pause, now time.Duration) *hostlink.ServerPauses {
	m := &hostlink.ServerPauses{Incarnation: incarnation}
	for _, p := range pauses {
		m.Pauses = append(m.Pauses, hostlink.ServerPause{
			Service: p.Service, Server: string(p.Server), Incarnation: p.Incarnation, LeftMS: uint32((p.Until - now).Milliseconds()) + 1,
		})
	}
	return m
}

// passPauses tells the leader, or the scheduler of this host if it leads, of pauses. The
// fallback scheduler of this host keeps to them too.
func (c *leaderClient) passPauses(pauses []schedule.Pause) {
	c.mu.Lock()
	own, leader := c.ownScheduler, c.leader
	c.mu.Unlock()
	now := c.clk.Now()
	for part := range slices.Chunk(pauses, maxDatagramItems) {
		m := encodePauses(c.incarnation, part, now)
		c.fallback.setPauses(m)
		switch {
		case own != nil:
			own.setPauses(m)
		case leader.IsValid():
			// The leader is told again when it next chooses the server.
			_ = c.link.SendServerPauses(leader, m)
		}
	}
}

// setPauses takes note of the servers that want no requests from a host.
func (s *scheduler) setPauses(m *hostlink.ServerPauses) {
	s.mu.Lock()
	now := s.clk.Now()
	var out []schedule.Decision
	for _, p := range m.Pauses {
		if svc, ok := s.services[p.Service]; ok {
			svc.sched.SetPause(m.Incarnation, topology.ServerID(p.Server), p.Incarnation, time.Duration(p.LeftMS)*time.Millisecond, now)
			out = append(out, s.decide(svc, now)...)
		}
	}
	s.mu.Unlock()
	s.deliver(out)
}

// handlePauses processes the pauses that servers asked a host for.
func (fs *followers) handlePauses(m *hostlink.ServerPauses) {
	fs.mu.Lock()
	s := fs.scheduler
	fs.mu.Unlock()
	if s != nil { // otherwise the host tells the leader that it follows next
		s.setPauses(m)
	}
}
