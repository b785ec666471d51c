package fleet

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// returnGrace is the time for which an entry that vanished while the registry
// was away still counts: live servers register again within about two seconds
// of the registry's return.
const returnGrace = 1800 * time.Millisecond

// outage is the time for which reads must have failed before vanished entries
// may be an effect of the registry's absence: servers renew their entries about
// once a second, and an entry lapses after three missed renewals.
const outage = 1500 * time.Millisecond

// Directory is the believed set of registered servers. Times are durations
// since an arbitrary origin. It is not safe for concurrent use.
type Directory struct {
	servers map[topology.ServerID]*entry
	// confirmed is the time of the send of the last successful read.
	confirmed time.Duration
	known     bool
	// failed is the time of the first failed read since then, if failing.
	failed  time.Duration
	failing bool
	// graceUntil ends the time in which vanished entries still count.
	graceUntil time.Duration
}

type entry struct {
	server  Server
	goneAt  time.Duration
	removed bool
}

// NewDirectory returns a directory that knows no servers.
func NewDirectory() *Directory {
	return &Directory{servers: make(map[topology.ServerID]*entry)}
}

// ReadSucceeded records a successful read that was sent at the given time. Call it
// before the changes of that read are applied.
func (d *Directory) ReadSucceeded(sent time.Duration) {
	if d.known && d.failing && sent-d.failed > outage {
		d.graceUntil = sent + returnGrace
	}
	d.failing = false
	d.known = true
	d.confirmed = max(d.confirmed, sent)
}

// ReadFailed records that a read failed at the given time. Only after failures can
// vanished entries be an effect of the registry's absence.
func (d *Directory) ReadFailed(now time.Duration) {
	if !d.failing {
		d.failing, d.failed = true, now
	}
}

// Loaded reports whether the registry was read at least once.
func (d *Directory) Loaded() bool { return d.known }

// Age returns the time since the last successful read.
func (d *Directory) Age(now time.Duration) time.Duration { return now - d.confirmed }

// Set records a registration.
func (d *Directory) Set(s Server) { d.servers[s.ID] = &entry{server: s} }

// Remove records that a registration is gone.
func (d *Directory) Remove(id topology.ServerID, now time.Duration) {
	if e, ok := d.servers[id]; ok && !e.removed {
		e.removed, e.goneAt = true, now
	}
}

// Replace records the complete contents of the registry: entries that are not
// in list are gone.
func (d *Directory) Replace(list []Server, now time.Duration) {
	seen := make(map[topology.ServerID]bool, len(list))
	for _, s := range list {
		d.Set(s)
		seen[s.ID] = true
	}
	for id := range d.servers {
		if !seen[id] {
			d.Remove(id, now)
		}
	}
}

// Servers calls f for each server that counts as registered, and drops the
// others.
func (d *Directory) Servers(now time.Duration, f func(Server)) {
	for id, e := range d.servers {
		if e.removed && now >= d.graceUntil {
			delete(d.servers, id)
			continue
		}
		f(e.server)
	}
}

// Get returns a server that counts as registered.
func (d *Directory) Get(id topology.ServerID, now time.Duration) (Server, bool) {
	e, ok := d.servers[id]
	if !ok || (e.removed && now >= d.graceUntil) {
		return Server{}, false
	}
	return e.server, true
}
