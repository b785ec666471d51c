package fleet

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// removalGrace is how long registrations that expired during a store outage still
// count as registered after its end. Live servers register again within about two
// seconds. An outage for all hosts silences all servers for the same time, so it is told
// from one of this host alone by the registrations that expired: most of them.
const removalGrace = 1800 * time.Millisecond

// minOutage is how long reads must have failed before removed registrations are
// attributed to a store outage. Servers renew their registrations about once a
// second, and a registration expires after three missed renewals.
const minOutage = 1500 * time.Millisecond

// Directory is the host's view of the registered servers. Times are durations
// since an arbitrary origin. A Directory is not safe for concurrent use.
type Directory struct {
	servers map[topology.ServerID]*entry
	// lastRead is the time at which the last successful read was sent.
	lastRead time.Duration
	loaded   bool
	// readBefore is lastRead of the read before; zero if there was none.
	readBefore time.Duration
	// failingSince is the time of the first failed read since the last successful
	// one. It is valid only if failing is true.
	failingSince time.Duration
	failing      bool
	// graceUntil is the time until which removed registrations still count if most
	// of the registered servers are in expired. These are the servers whose
	// registration ended, or may have ended before the server registered again,
	// since the reads began to fail; there were registered of them at that time.
	graceUntil time.Duration
	expired    map[topology.ServerID]bool
	registered int
	// restored is true if the next full list may be older than the known
	// registrations.
	restored bool
	// leaving holds the servers that announced their shutdown in a response.
	leaving map[topology.ServerID]*announcement
	// evacuations holds the data centres whose servers count as draining.
	evacuations Evacuations
}

type entry struct {
	server  Server
	removed bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: make(map[topology.ServerID]*entry), leaving: make(map[topology.ServerID]*announcement)}
}

// ReadSucceeded records a successful read that was sent at the given time. It must
// be called before the changes of that read are applied.
func (d *Directory) ReadSucceeded(sent time.Duration) {
	if d.loaded && d.failing && sent-d.failingSince > minOutage {
		d.startGrace(sent)
	}
	d.failing = false
	if d.loaded {
		d.readBefore = d.lastRead
	}
	d.loaded = true
	d.lastRead = max(d.lastRead, sent)
}

// startGrace begins to collect the registrations that expired during a possible outage
// of the store.
func (d *Directory) startGrace(sent time.Duration) {
	expired := make(map[topology.ServerID]bool)
	registered := 0
	for id, e := range d.servers {
		switch {
		case !e.removed:
			registered++
		case d.graceApplies(d.failingSince): // expired in an outage shortly before
			registered++
			expired[id] = true
		}
	}
	d.graceUntil, d.expired, d.registered = sent+removalGrace, expired, registered
}

// graceApplies reports whether removed registrations count at the given time.
func (d *Directory) graceApplies(now time.Duration) bool {
	return now < d.graceUntil && 2*len(d.expired) > d.registered
}

// Outage describes the registrations that ended since the reads began to fail.
type Outage struct {
	// Expired of Registered servers have no registration any more, or may have had none
	// before they registered again.
	Expired, Registered int
	// Kept is true if the removed registrations count for now.
	Kept bool
}

// Outage returns what is known of the failure of reads that has ended last. It returns
// false once removed registrations count no longer.
func (d *Directory) Outage(now time.Duration) (Outage, bool) {
	return Outage{Expired: len(d.expired), Registered: d.registered, Kept: d.graceApplies(now)}, now < d.graceUntil
}

// ReadFailed records that a read failed at the given time. Without failed reads,
// removed registrations are never attributed to a store outage.
func (d *Directory) ReadFailed(now time.Duration) {
	if !d.failing {
		d.failing, d.failingSince = true, now
	}
}

// Restored records that the store was restored from a copy. Of the next full list, only
// registrations apply that are newer than the known ones: servers register again soon.
func (d *Directory) Restored() { d.restored = true }

// Loaded reports whether the registrations were read at least once.
func (d *Directory) Loaded() bool { return d.loaded }

// Age returns the time since the last successful read was sent.
func (d *Directory) Age(now time.Duration) time.Duration { return now - d.lastRead }

// Set adds or updates a registration.
func (d *Directory) Set(s Server) {
	s.ConfirmedAt = d.confirmedAt(s)
	d.servers[s.ID] = &entry{server: s}
}

// confirmedAt returns the time after which a registration was written: that of the last
// read which did not return it. A registration without a sequence may be any.
func (d *Directory) confirmedAt(s Server) time.Duration {
	old, known := d.servers[s.ID]
	switch {
	case s.Sequence == 0 || d.restored:
		return 0
	case known && !s.outdates(old.server):
		return old.server.ConfirmedAt
	default:
		return d.readBefore
	}
}

// Remove marks a registration as removed.
func (d *Directory) Remove(id topology.ServerID, now time.Duration) {
	if e, ok := d.servers[id]; ok && !e.removed {
		e.removed = true
		d.MayHaveExpired(id, now)
	}
}

// MayHaveExpired records that the registration of a server was written again since the
// last read, and may have expired before. It must be called before the read is applied.
func (d *Directory) MayHaveExpired(id topology.ServerID, now time.Duration) {
	if _, ok := d.servers[id]; ok && now < d.graceUntil {
		d.expired[id] = true
	}
}

// Replace applies a complete list of registrations. It marks those that are not in
// list as removed.
func (d *Directory) Replace(list []Server, now time.Duration) {
	seen := make(map[topology.ServerID]bool, len(list))
	for _, s := range list {
		seen[s.ID] = true
		if e, ok := d.servers[s.ID]; d.restored && ok && !e.removed && !s.outdates(e.server) {
			continue
		}
		d.Set(s)
	}
	d.restored = false
	for id := range d.servers {
		if !seen[id] {
			d.Remove(id, now)
		}
	}
}

// Evacuations returns the evacuated data centres, for changes.
func (d *Directory) Evacuations() *Evacuations { return &d.evacuations }

// Servers calls f for each server that counts as registered, and deletes the
// entries of the others.
func (d *Directory) Servers(now time.Duration, f func(Server)) {
	graceApplies := d.graceApplies(now)
	for id, e := range d.servers {
		if e.removed && now >= d.graceUntil {
			delete(d.servers, id)
			continue
		}
		if e.removed && !graceApplies {
			continue
		}
		f(d.effective(e.server, now))
	}
}

// Get returns the server with the given ID if it counts as registered.
func (d *Directory) Get(id topology.ServerID, now time.Duration) (Server, bool) {
	e, ok := d.servers[id]
	if !ok || (e.removed && !d.graceApplies(now)) {
		return Server{}, false
	}
	return d.effective(e.server, now), true
}
