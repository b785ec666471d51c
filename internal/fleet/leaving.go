package fleet

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// leavingMemory is how long a server that announced its shutdown is remembered
	// after its registration has ended: a registration that lapsed may come back.
	leavingMemory = 10 * time.Minute
	// unregisteredMemory is the same for a server that was never registered here. A
	// host reads the registrations every few seconds, every ten in the largest
	// deployments.
	unregisteredMemory = 15 * time.Second
)

// announcement is the shutdown that a server announced in a response.
type announcement struct {
	incarnation int64 // zero until the registration of the server is known
	at          time.Duration
}

// RecordLeaving records that a server announced its shutdown in a response to a request
// that was sent to the given incarnation, or to one that is not known if it is zero. The
// server counts as draining from now on, whatever its registration says: that may be
// older than the response. Only the registration of a later incarnation ends this. A
// response without the announcement does not, since it may have been sent before.
// RecordLeaving returns false if the announcement was known.
func (d *Directory) RecordLeaving(id topology.ServerID, incarnation int64, now time.Duration) bool {
	if incarnation == 0 {
		if e, ok := d.servers[id]; ok {
			incarnation = e.server.Incarnation
		}
	}
	a, known := d.leaving[id]
	if known && incarnation <= a.incarnation {
		return false
	}
	d.leaving[id] = &announcement{incarnation: incarnation, at: now}
	return true
}

// Incarnation returns the last registered incarnation of a server; zero if there is none.
func (d *Directory) Incarnation(id topology.ServerID) int64 {
	if e, ok := d.servers[id]; ok {
		return e.server.Incarnation
	}
	return 0
}

// Leaving calls f for each server that announced its shutdown in a response, except those
// whose registration has ended. The incarnation is zero if it is not known.
func (d *Directory) Leaving(f func(id topology.ServerID, incarnation int64, at time.Duration)) {
	for id, a := range d.leaving {
		if e, ok := d.servers[id]; a.incarnation == 0 || (ok && !e.removed) {
			f(id, a.incarnation, a.at)
		}
	}
}

// announcedLeaving reports whether this incarnation of a server announced its shutdown
// in a response.
func (d *Directory) announcedLeaving(s Server) bool {
	a, ok := d.leaving[s.ID]
	if !ok {
		return false
	}
	if a.incarnation == 0 {
		a.incarnation = s.Incarnation
	}
	return s.Incarnation <= a.incarnation
}

// effective returns a registration, as draining if the server announced its shutdown in
// a response or its data centre is evacuated: in both cases it gets no new requests and
// its keys move to other servers.
func (d *Directory) effective(s Server, now time.Duration) Server {
	s.Draining = s.Draining || d.announcedLeaving(s) || d.evacuations.Includes(s.DataCentre, now)
	return s
}

// ForgetLeaving forgets the announcements of servers that have started again or ended,
// and returns the servers that have started again.
func (d *Directory) ForgetLeaving(now time.Duration) (restarted []topology.ServerID) {
	for id, a := range d.leaving {
		e, known := d.servers[id]
		memory := leavingMemory
		if a.incarnation == 0 {
			memory = unregisteredMemory
		}
		switch {
		case known && !d.announcedLeaving(e.server):
			restarted = append(restarted, id)
			delete(d.leaving, id)
		case !known && now-a.at > memory:
			delete(d.leaving, id)
		}
	}
	return restarted
}
