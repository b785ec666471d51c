// Package ownership decides which grants and releases the leader of a keyed
// service sends to servers, so that two servers never hold the same key.
//
// The table of key ranges in the store names, for each range, the only server
// that may hold it. A leader gives a range to another server only after the
// present one has released it or can hold it no longer, and after the change is
// in the store. A new leader first grants each range to the server of the table
// with a higher fence, which shuts the earlier leader out at that server.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin.
package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Settings of a Leader.
type Settings struct {
	// GrantDuration is the duration of a grant. It bounds the time for which the keys
	// of a lost server stay without owner.
	GrantDuration time.Duration
	// RenewInterval is the interval between the renewals of a grant. Three renewals
	// fit into a grant, so that one lost exchange does not end it.
	RenewInterval time.Duration
	// RetryInterval is the interval between attempts at a server that does not answer.
	RetryInterval time.Duration
	// CallTimeout is the time after which a call is given up.
	CallTimeout time.Duration
}

// clockError is the part by which the clock of a server may run slow.
const clockError = 0.02

// transit covers the time of flight of a call that was given up on.
const transit = 100 * time.Millisecond

// Kind tells a grant from a release.
type Kind uint8

// Kinds of orders.
const (
	Grant Kind = iota
	Release
)

// String returns the word for logs.
func (k Kind) String() string { return [...]string{"grant", "release"}[k] }

// Order is one call to a server.
type Order struct {
	Kind     Kind
	Service  topology.Service
	Server   topology.ServerID
	Address  string
	From, To int
	Fence    int64
	Handover string
	id       int
}

// Outcome says how a call ended.
type Outcome uint8

// Outcomes of a call.
const (
	// Done calls were answered with success.
	Done Outcome = iota
	// Unsent calls did not reach the server: no connection was made.
	Unsent
	// Unknown calls were sent and not answered; the server may carry them out.
	Unknown
	// Fenced grants were refused because the server has seen a higher fence.
	Fenced
	// Refused calls were answered with another failure and had no effect.
	Refused
	// ServerGone calls were answered by another server: the one that was meant has
	// ended.
	ServerGone
)

// String returns the word for logs.
func (o Outcome) String() string {
	return [...]string{"done", "unsent", "unknown", "fenced", "refused", "ended"}[o]
}

// Server is what the leader knows of a server that may own keys.
type Server struct {
	Address     string
	Incarnation int64
}

type phase uint8

const (
	// unsecured: the server may hold the keys under an earlier leader or life.
	unsecured phase = iota
	// held: the server answered a grant of this leader.
	held
	// releasing: the server was told to stop work on the keys.
	releasing
	// waiting: the server cannot be reached; its hold runs out at mayHold.
	waiting
	// storing: no server holds the keys and the store is to name the next one.
	storing
)

// segment is a range of keys that is granted and moved as a whole.
type segment struct {
	id       int
	from, to int
	server   topology.ServerID
	address  string // last known address of server
	born     int64
	next     topology.ServerID
	phase    phase
	fence    int64
	handover string
	// sent is the time of the last call; busy is true while it is unanswered.
	sent time.Duration
	busy bool
	// renewed is the send time of the last grant that was answered.
	renewed time.Duration
	// mayHold is the time until which the server may hold the keys.
	mayHold time.Duration
	// before is mayHold without the grant under way.
	before time.Duration
	// rival is true while grants of an earlier leader may count at the server.
	rival bool
	// doubt is true while a grant that was sent under the present fence has not
	// been answered: it may be carried out later.
	doubt bool
	// failures counts the calls without an answer since the last success, failed
	// is the time of the last of them.
	failures int
	failed   time.Duration
	appended bool
}

// Manager holds the grants of one keyed service. It is not safe for concurrent
// use.
type Manager struct {
	service  topology.Service
	set      Settings
	fences   func() int64
	servers  map[topology.ServerID]Server
	segments []*segment // in the order of keys
	nextID   int
	// rivals is the time until which grants of earlier leaders may arrive.
	rivals time.Duration
	// version changes whenever a key changes its owner or loses it.
	version int
	// deposed is true once a server has refused the newest fence.
	deposed bool
}

// New returns the Leader that continues with the table of the store. Grants of
// earlier leaders may arrive until the time rivals. The fences function returns
// growing fences above all earlier ones.
func New(service topology.Service, set Settings, table keymap.Map, fences func() int64, rivals time.Duration) *Manager {
	l := &Manager{service: service, set: set, fences: fences, rivals: rivals, servers: make(map[topology.ServerID]Server)}
	for _, r := range table {
		s := &segment{from: r.From, to: r.To, server: r.Server, fence: fences(), rival: true, sent: -time.Hour, mayHold: -time.Hour}
		if r.Server == "" {
			s.phase = storing
		}
		l.add(s)
	}
	return l
}

// SetEarlierLeadersUntil replaces the time until which grants of earlier leaders may arrive.
func (l *Manager) SetEarlierLeadersUntil(until time.Duration) { l.rivals = until }

// free returns the time after which the server of a segment holds nothing.
func (l *Manager) free(s *segment) time.Duration {
	if s.rival {
		return max(s.mayHold, l.rivals+l.holdBound())
	}
	return s.mayHold
}

func (l *Manager) add(s *segment) {
	l.nextID++
	s.id = l.nextID
	l.segments = append(l.segments, s)
}

// holdBound is the longest time for which a server holds a grant after its
// arrival.
func (l *Manager) holdBound() time.Duration {
	return time.Duration(float64(l.set.GrantDuration)*(1+clockError)) + transit
}

// SetServers replaces the servers that can be reached through the directory. A
// server with a later start holds nothing of its earlier life.
func (l *Manager) SetServers(servers map[topology.ServerID]Server, now time.Duration) {
	l.servers = servers
	for _, s := range l.segments {
		srv, ok := servers[s.server]
		if ok {
			s.address = srv.Address
		}
		if !ok || s.born == srv.Incarnation || s.phase == storing {
			continue
		}
		if s.born != 0 && srv.Incarnation > s.born {
			s.mayHold = now
			s.rival = true // the new life has seen no fence yet
			s.doubt = false
			s.failures = 0
			s.handover = ""
			s.fence = l.fences()
			s.sent = -time.Hour
			s.busy = false
			l.nextID++
			s.id = l.nextID // a late answer speaks of the earlier life
			s.phase = unsecured
			l.version++
		}
		s.born = srv.Incarnation
	}
}

// NextKeyMap returns the map that the store is to hold, and whether it differs from
// what was stored.
func (l *Manager) NextKeyMap() (table keymap.Map, changed bool) {
	for _, s := range l.segments {
		server := s.server
		if s.phase == storing && s.next != "" {
			server = s.next
			s.appended = true
			changed = true
		}
		table = append(table, keymap.Range{From: s.from, To: s.to, Server: server})
	}
	return table, changed
}

// KeyMapStored tells that the last Table is in the store. The keys that waited for it
// may be granted.
func (l *Manager) KeyMapStored(now time.Duration) {
	for _, s := range l.segments {
		if s.phase != storing || !s.appended {
			continue
		}
		s.appended = false
		s.server, s.next = s.next, ""
		s.born, s.address = l.servers[s.server].Incarnation, l.servers[s.server].Address
		s.phase = unsecured
		s.fence = l.fences()
		s.sent = -time.Hour
		s.mayHold = now
		s.rival = false
		s.doubt, s.failures, s.renewed = false, 0, -time.Hour
		l.version++
	}
}

// RevertMoves gives keys that were released for a move back to their servers, because
// the store cannot take the move. The store must not hold a table that names
// the next servers, and no append of one may be under way.
func (l *Manager) RevertMoves(now time.Duration) {
	for _, s := range l.segments {
		if _, ok := l.servers[s.server]; s.phase != storing || s.appended || s.server == "" || !ok {
			continue
		}
		s.next = ""
		s.phase = unsecured
		s.fence = l.fences()
		s.sent = -time.Hour
		s.mayHold = now
		s.rival = true
		s.doubt, s.failures, s.renewed = false, 0, -time.Hour
		l.version++
	}
}

// KeyMapNotStored tells that the append of the last Table failed.
func (l *Manager) KeyMapNotStored() {
	for _, s := range l.segments {
		s.appended = false
	}
}

// Move plans that the keys from from to to go to next, as far as they are held
// by a server and do not move already. Keys without owner go there too.
func (l *Manager) Move(from, to int, next topology.ServerID) {
	l.split(from)
	l.split(to + 1)
	for _, s := range l.segments {
		if s.from < from || s.to > to || s.appended {
			continue
		}
		switch s.phase {
		case storing, waiting:
			s.next = next
		case held, unsecured:
			if s.server != next {
				s.next = next
			}
		}
	}
}

// Step returns the calls that are due. The time proof is that of the last proof
// that the store names this leader.
func (l *Manager) Step(now, proof time.Duration) []Order {
	l.merge()
	var orders []Order
	for _, s := range l.segments {
		l.advance(s, now)
		if o, due := l.due(s, now, proof); due {
			s.sent, s.busy = now, true
			if o.Kind == Grant {
				// The grant counts from its arrival, which can be as late as
				// the moment at which it is given up.
				s.before = s.mayHold
				s.mayHold = max(s.mayHold, now+l.set.CallTimeout+l.holdBound())
			}
			o.Service, o.Server, o.From, o.To, o.Fence, o.id = l.service, s.server, s.from, s.to, s.fence, s.id
			orders = append(orders, o)
		}
	}
	return orders
}

// advance makes the transitions that depend on time or on the directory.
func (l *Manager) advance(s *segment, now time.Duration) {
	_, listed := l.servers[s.server]
	switch s.phase {
	case unsecured, held:
		if s.busy || s.next == "" {
			return
		}
		switch {
		case now >= l.free(s):
			l.freed(s)
		case s.phase == held && s.failures == 0 && !s.doubt:
			// A server without registration may still answer.
			s.phase = releasing
			s.sent = -time.Hour
			l.version++
		case !listed || s.failures >= unreachableAfter:
			s.phase = waiting
			l.version++
		}
	case releasing, waiting:
		if !s.busy && now >= l.free(s) {
			l.freed(s)
		}
	}
}

// unreachableAfter is the number of calls without answer after which a server
// counts as unreachable: one may have met a stale connection.
const unreachableAfter = 2

// freed records that no server holds the keys.
func (l *Manager) freed(s *segment) {
	s.phase = storing
	s.doubt, s.failures = false, 0
	l.version++
}

// due returns the call that a segment needs now.
func (l *Manager) due(s *segment, now, proof time.Duration) (Order, bool) {
	if s.busy {
		return Order{}, false
	}
	interval := l.set.RenewInterval
	if s.failures > 0 || s.phase != held {
		interval = l.set.RetryInterval
	}
	if now-s.sent < interval {
		return Order{}, false
	}
	_, listed := l.servers[s.server]
	switch s.phase {
	case unsecured, held:
		return l.grant(s, proof), listed && l.mayGrant(s, proof)
	case releasing:
		return Order{Kind: Release, Address: s.address}, s.address != ""
	case waiting:
		// A server that can be reached again gives its keys up at once. Under an
		// earlier leader's grant it first needs one of this leader, as long as
		// that does not prolong the wait.
		if s.rival {
			return l.grant(s, proof), listed && now+l.set.CallTimeout <= l.rivals && l.mayGrant(s, proof)
		}
		return Order{Kind: Release, Address: s.address}, s.address != ""
	default:
		return Order{}, false
	}
}

// mayGrant reports whether a grant can be sent. After a failed call the server
// may have started again and forgotten the fence of a later leader, which only
// the store can tell of.
func (l *Manager) mayGrant(s *segment, proof time.Duration) bool {
	return s.failures == 0 || s.failed < proof
}

// grant returns a grant. After an unanswered one it has a higher fence, which
// makes the server refuse the unanswered one.
func (l *Manager) grant(s *segment, proof time.Duration) Order {
	if s.doubt && l.mayGrant(s, proof) {
		s.fence = l.fences()
	}
	return Order{Kind: Grant, Address: s.address, Handover: s.handover}
}

func (l *Manager) byID(id int) *segment {
	for _, s := range l.segments {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Regrant makes the grant of a key due at once: its server has told that it does
// not hold the key.
func (l *Manager) Regrant(key int, server topology.ServerID) {
	for _, s := range l.segments {
		if key >= s.from && key <= s.to && s.server == server && s.phase == held && !s.busy {
			s.fence = l.fences()
			s.phase = unsecured
			s.sent = -time.Hour
			l.version++
		}
	}
}

// SuspectsLaterLeader reports whether a server has refused this leader's newest fence.
func (l *Manager) SuspectsLaterLeader() bool { return l.deposed }

// LeadershipConfirmed tells that the store still names this leader.
func (l *Manager) LeadershipConfirmed() { l.deposed = false }

// Version changes whenever a key changes its owner or loses it.
func (l *Manager) Version() int { return l.version }
