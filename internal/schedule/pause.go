package schedule

import (
	"math"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// MaxPause is the longest pause that a server can ask for. A server that asks for
	// more states a wrong value, and nothing but its next start would end the pause.
	MaxPause = time.Hour
	// maxPauseRateError is the fraction by which the clock of a server may run slower
	// than that of its host, see ownership.
	maxPauseRateError = 0.02
	// minLoggedExtension is the least extension of a pause that is logged: the
	// responses to requests that were on their way together differ by less.
	minLoggedExtension = time.Second
)

// Pause is the time for which a server wants no request from one host.
type Pause struct {
	Server  topology.ServerID
	Service uint32 // hash of the service's name
	// Incarnation is the one that asked for the pause; zero until the host has read a
	// registration that is later than the response.
	Incarnation int64
	Since       time.Duration
	Until       time.Duration

	logged time.Duration // Until at the last change that was logged
}

// Pauses holds the servers that asked one host for a pause. It is not safe for
// concurrent use.
type Pauses struct {
	servers map[topology.ServerID]*Pause
}

// NewPauses returns a Pauses without servers.
func NewPauses() *Pauses { return &Pauses{servers: make(map[topology.ServerID]*Pause)} }

// PauseChange says what a response has changed.
type PauseChange uint8

// Changes of a pause.
const (
	PauseUnchanged PauseChange = iota
	PauseBegun
	PauseExtended // by so much that it is worth a line in the log
)

// Record takes note of a response by which a server wants nothing for the given time. A
// pause that was asked for before is never cut short by it.
func (p *Pauses) Record(id topology.ServerID, service uint32, asked, now time.Duration) PauseChange {
	if asked <= 0 {
		return PauseUnchanged
	}
	asked = min(asked, MaxPause)
	until := now + asked + time.Duration(maxPauseRateError*float64(asked))
	pause, ok := p.servers[id]
	if !ok || now >= pause.Until {
		p.servers[id] = &Pause{Server: id, Service: service, Since: now, Until: until, logged: until}
		return PauseBegun
	}
	pause.Until = max(pause.Until, until)
	if pause.Until-pause.logged < minLoggedExtension {
		return PauseUnchanged
	}
	pause.logged = pause.Until
	return PauseExtended
}

// Left returns for how long a server wants no request; zero if it accepts requests.
func (p *Pauses) Left(id topology.ServerID, now time.Duration) time.Duration {
	if pause, ok := p.servers[id]; ok {
		return max(0, pause.Until-now)
	}
	return 0
}

// List returns the pauses that are in force.
func (p *Pauses) List(now time.Duration) []Pause {
	var list []Pause
	for _, pause := range p.servers {
		if now < pause.Until {
			list = append(list, *pause)
		}
	}
	return list
}

// EndOver removes the pauses that are over and returns them.
func (p *Pauses) EndOver(now time.Duration) []Pause {
	return p.end(func(pause *Pause) bool { return now >= pause.Until })
}

// EndRestarted removes the pauses of servers that have started again, and returns them.
// The incarnations are those of the list of servers that was read from the store at the
// given time.
//
// A response tells no incarnation. It may come from a start that the list did not show
// yet, so the first list that was read after it shows which one asked for the pause.
func (p *Pauses) EndRestarted(incarnations map[topology.ServerID]int64, readAt time.Duration) []Pause {
	return p.end(func(pause *Pause) bool {
		if pause.Incarnation == 0 && readAt > pause.Since {
			pause.Incarnation = incarnations[pause.Server]
		}
		return pause.Incarnation != 0 && incarnations[pause.Server] > pause.Incarnation
	})
}

func (p *Pauses) end(over func(*Pause) bool) (ended []Pause) {
	for id, pause := range p.servers {
		if over(pause) {
			ended = append(ended, *pause)
			delete(p.servers, id)
		}
	}
	return ended
}

// MayAwait reports whether a job may wait for the end of a pause that ends after the
// given time: it then still has half of the time to its target.
func (j *Job) MayAwait(pause, now time.Duration) bool { return pause <= (j.Target-now)/2 }

// pausedHost is a host of which some server wants no requests.
type pausedHost struct {
	number int           // index in server.pausedUntil
	until  time.Duration // end of its last pause
}

// noPausedHost is the number of the hosts without pauses.
const noPausedHost = -1

// SetPause takes note that an incarnation of a server wants nothing from a host for the
// time left. Zero stands for the incarnation that is registered.
func (s *Scheduler) SetPause(host uint64, id topology.ServerID, incarnation int64, left, now time.Duration) {
	srv, ok := s.servers[id]
	if !ok || left <= 0 || (incarnation != 0 && incarnation != srv.Incarnation) {
		return // the host tells it again if it is assigned the server
	}
	until := now + min(left, 2*MaxPause)
	h, ok := s.pausedHosts[host]
	if !ok {
		h = &pausedHost{number: len(s.pausedHosts) + len(s.freeHostNumbers)}
		if n := len(s.freeHostNumbers); n > 0 {
			h.number = s.freeHostNumbers[n-1]
			s.freeHostNumbers = s.freeHostNumbers[:n-1]
		}
		s.pausedHosts[host], s.lastLookup = h, hostLookup{}
	}
	for len(srv.pausedUntil) <= h.number {
		srv.pausedUntil = append(srv.pausedUntil, 0)
	}
	h.until = max(h.until, until)
	srv.pausedUntil[h.number] = max(srv.pausedUntil[h.number], until)
	srv.lastPauseEnd = max(srv.lastPauseEnd, until)
	s.markDirty(srv)
}

// dropPauses forgets the hosts whose pauses are over. Their numbers are used again: what
// servers hold under them is over as well.
func (s *Scheduler) dropPauses(now time.Duration) {
	for host, h := range s.pausedHosts {
		if now >= h.until {
			s.freeHostNumbers = append(s.freeHostNumbers, h.number)
			delete(s.pausedHosts, host)
			s.lastLookup = hostLookup{}
		}
	}
}

// pausedHostNumber returns the number of the host of a job.
func (s *Scheduler) pausedHostNumber(j *Job) int {
	if len(s.pausedHosts) == 0 {
		return noPausedHost
	}
	if last := s.lastLookup; last.valid && last.host == j.ID.HostIncarnation {
		return last.number
	}
	number := noPausedHost
	if h, ok := s.pausedHosts[j.ID.HostIncarnation]; ok {
		number = h.number
	}
	s.lastLookup = hostLookup{valid: true, host: j.ID.HostIncarnation, number: number}
	return number
}

// hostLookup is the number of the host that was asked for last: the same job asks for it
// several times in a row.
type hostLookup struct {
	valid  bool
	host   uint64
	number int
}

// pauseLeft returns for how long the server wants nothing from a host; zero if it
// accepts its requests.
func (srv *server) pauseLeft(host int, now time.Duration) time.Duration {
	if host < 0 || host >= len(srv.pausedUntil) {
		return 0
	}
	return max(0, srv.pausedUntil[host]-now)
}

// pauseOfAll returns for how long all servers want nothing from a host; zero if one of
// them accepts its requests or there is none.
func (s *Scheduler) pauseOfAll(host int, now time.Duration) time.Duration {
	if host == noPausedHost || len(s.sortedServers) == 0 {
		return 0
	}
	least := time.Duration(math.MaxInt64)
	for _, srv := range s.sortedServers {
		least = min(least, srv.pauseLeft(host, now))
		if least == 0 {
			return 0
		}
	}
	return least
}

// separatePaused removes the jobs of paused hosts from the queue of a server. It refuses
// those that can't wait for the end of the pause and returns the others.
func (s *Scheduler) separatePaused(srv *server, now time.Duration, out []Decision) (held []*Job, decisions []Decision) {
	if len(srv.waiting) == 0 || now >= srv.lastPauseEnd {
		return nil, out
	}
	kept := srv.waiting[:0]
	for _, j := range srv.waiting {
		left := srv.pauseLeft(s.pausedHostNumber(j), now)
		switch {
		case left == 0:
			kept = append(kept, j)
		case j.MayAwait(left, now):
			held = append(held, j)
		default:
			out = append(out, s.refuse(j, Paused, max(minRetryAfter, left), now))
		}
	}
	srv.waiting = kept
	return held, out
}

// holdBack moves the waiting jobs of a host of an unkeyed service to held.
func (s *Scheduler) holdBack(host uint64, held []*Job) []*Job {
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		if j.ID.HostIncarnation == host {
			held = append(held, j)
			continue
		}
		kept = append(kept, j)
	}
	s.waiting = kept
	return held
}

// hasFreeServer reports whether some server has a free slot for some host.
func (s *Scheduler) hasFreeServer(now time.Duration) bool {
	for _, srv := range s.sortedServers {
		if srv.accepts(now) && len(srv.running) < srv.Slots {
			return true
		}
	}
	return false
}
