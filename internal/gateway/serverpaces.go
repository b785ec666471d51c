package gateway

import (
	"math"
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// serverPaces holds the servers whose last response to this host stated an unusual pace.
// The leader is told of each such response, and of the first one after it that states the
// usual pace; most servers have the usual pace, so this adds few datagrams.
type serverPaces struct {
	mu      sync.Mutex
	unusual map[topology.ServerID]bool
}

// record takes note of the pace that a response states and reports whether the leader is
// told.
func (p *serverPaces) record(server topology.ServerID, pace float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !schedule.IsUsualPace(pace) {
		if p.unusual == nil {
			p.unusual = make(map[topology.ServerID]bool)
		}
		p.unusual[server] = true
		return true
	}
	was := p.unusual[server]
	delete(p.unusual, server)
	return was
}

// count returns the number of servers whose last response stated an unusual pace.
func (p *serverPaces) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unusual)
}

// recordPace passes the pace that a response of a server states to the leader. The
// schedulers of this host learn it from the report of the exchange.
func (c *leaderClient) recordPace(service uint32, server topology.ServerID, pace float64) {
	if pace <= 0 || !c.paces.record(server, pace) {
		return
	}
	c.mu.Lock()
	own, leader := c.ownScheduler, c.leader
	c.mu.Unlock()
	if own != nil || !leader.IsValid() {
		return
	}
	percent := uint16(min(math.Round(100*pace), math.MaxUint16))
	// If the message is lost, the next response of the server states its pace again.
	_ = c.link.SendServerPaces(leader, &hostlink.ServerPaces{Paces: []hostlink.ServerPace{{Service: service, Server: string(server), Percent: percent}}})
}

// handlePaces processes the paces that servers stated to a host.
func (fs *followers) handlePaces(m *hostlink.ServerPaces) {
	fs.mu.Lock()
	s := fs.scheduler
	fs.mu.Unlock()
	if s != nil {
		s.setPaces(m)
	}
}

// setPaces takes note of the paces that servers stated to a host.
func (s *scheduler) setPaces(m *hostlink.ServerPaces) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	for _, p := range m.Paces {
		if svc, ok := s.services[p.Service]; ok {
			svc.sched.SetPace(topology.ServerID(p.Server), float64(p.Percent)/100, now)
		}
	}
}
