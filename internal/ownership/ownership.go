// Package ownership decides which grants and releases the leader sends to the
// servers of a keyed service, so that two servers never own the same key.
//
// The key map in the store names the only server that may own each key range. A
// leader grants a range to another server only after the current owner has
// released it or its grant must have expired, and after the store has the new key
// map. A new leader first grants each range to its server in the stored key map,
// with a higher fence, so that the server refuses grants of earlier leaders. It moves
// keys only once earlier leaders have ended: until then it and they have the same key
// map, and one of them can write it again if the store loses it.
//
// A server that loses its keys because its grants have expired is told a higher fence
// when it can be reached again: a grant of a leader that has ended may still arrive.
//
// A key map that the store has lost in part says nothing about present owners. Its
// ranges are free only once all grants of earlier leaders must have expired, and all servers
// are told a higher fence for them.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin.
package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Settings of a Manager.
type Settings struct {
	// GrantDuration is the length of a grant. It bounds the time for which the keys
	// of a failed server have no owner.
	GrantDuration time.Duration
	// RenewInterval is the interval between the renewals of a grant. Three
	// renewals fit into one grant, so that one lost call does not let it expire.
	RenewInterval time.Duration
	// RetryInterval is the interval between calls until one succeeds.
	RetryInterval time.Duration
	// CallTimeout is the timeout of a call to a server.
	CallTimeout time.Duration
}

// maxClockDrift is the fraction by which the clock of a server may run slow.
const maxClockDrift = 0.02

// maxLateArrival is the longest time after its timeout at which a call may still
// reach its server.
const maxLateArrival = 100 * time.Millisecond

// Kind distinguishes grants from releases.
type Kind uint8

// Kinds of orders.
const (
	Grant Kind = iota
	Release
	// Fence is a release of keys that the server lost before. From then on it refuses
	// grants of these keys with earlier fences.
	Fence
)

// String returns the name used in logs and metrics.
func (k Kind) String() string { return [...]string{"grant", "release", "fence"}[k] }

// Order is a grant or a release of a key range that has to be sent to a server.
type Order struct {
	Kind     Kind
	Service  topology.Service
	Server   topology.ServerID
	Address  string
	From, To int
	Fence    int64
	Handover string // for a grant: what the previous owner returned for its release
	// Attempt is the number of calls for a Fence order, this one included.
	Attempt int
	id      int
}

// Outcome is the result of a call that carries an order.
type Outcome uint8

// Outcomes of a call.
const (
	// Done means that the server carried out the order.
	Done Outcome = iota
	// Unsent means that no connection was made, so the server did not get the order.
	Unsent
	// Unknown means that no valid response arrived; the server may have carried the
	// order out, or may still do so.
	Unknown
	// Fenced means that the server refused a grant because it has seen a higher fence.
	Fenced
	// Refused means that the server responded with another error; the order had no
	// effect.
	Refused
	// ServerGone means that another server responded at the address, so the process
	// that the order was for no longer exists.
	ServerGone
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"done", "unsent", "unknown", "fenced", "refused", "ended"}[o]
}

// Server is the registration of a server that may own keys.
type Server struct {
	Address string
	// Incarnation identifies one start of the server; a later start has a higher one.
	Incarnation int64
}

// phase is the state of a key range.
type phase uint8

const (
	// granting: the server has not accepted a grant under the current fence yet. It
	// may own the keys by a grant of an earlier leader.
	granting phase = iota
	// granted: the server has accepted a grant of this leader.
	granted
	// releasing: the server is being asked to give the keys up.
	releasing
	// expiring: the server cannot be reached; the leader waits until its grant must
	// have expired.
	expiring
	// free: no server owns the keys. The next owner must be in the store before it
	// gets a grant.
	free
)

// keyRange is a range of keys that is granted and moved as a whole.
type keyRange struct {
	id          int
	from, to    int
	server      topology.ServerID
	address     string // last known address of server
	incarnation int64
	// storedAddress and storedIncarnation are those in the stored key map.
	storedAddress     string
	storedIncarnation int64
	// appendedAddress and appendedIncarnation are those in the last NextKeyMap.
	appendedAddress     string
	appendedIncarnation int64
	next                topology.ServerID
	phase               phase
	fence               int64
	handover            string
	// sentAt is the start of the last call, inFlight is true until that call ends.
	sentAt   time.Duration
	inFlight bool
	// renewedAt is the send time of the last grant that succeeded.
	renewedAt time.Duration
	// latestExpiry is the latest time at which this leader's grants to the server can
	// expire.
	latestExpiry time.Duration
	// priorExpiry is latestExpiry without the grant in flight.
	priorExpiry time.Duration
	// earlierGrants is true while a grant of an earlier leader may be in force, or
	// may still be accepted by the server.
	earlierGrants bool
	// unansweredGrant is true if a grant under the current fence got no response; the
	// server may still carry it out.
	unansweredGrant bool
	// raisesFence is true if the next grant needs a higher fence, because the server
	// may have started again since the last one.
	raisesFence bool
	failures    int  // failed calls since the last success
	appending   bool // a key map that names next as the owner is being stored
	// nextServer is the registration of next that this key map states.
	nextServer Server
	// fencing is true if the server is being told a higher fence, or was told one, because
	// the keys are about to leave it.
	fencing bool
	// grantedAt is the address at which the server accepted a grant, empty after a grant
	// was sent to another address since.
	grantedAt string
	// appendInDoubt is true if an append of such a key map got no response.
	appendInDoubt bool
	// ownerUnknown is true if any server may own the keys by a grant of an earlier
	// leader. The range is expiring and has no server.
	ownerUnknown bool
}

// Manager manages the grants of one keyed service for the host that leads. It is not
// safe for concurrent use.
type Manager struct {
	service   topology.Service
	settings  Settings
	nextFence func() int64
	servers   map[topology.ServerID]Server
	// failedAt holds the time of the last failed call to each server until the
	// leadership is confirmed. All ranges of a server share one connection, and its
	// loss is reported to one call only.
	failedAt map[topology.ServerID]time.Duration
	// grantsInFlight holds the servers to which a grant is being sent. One is sent at a
	// time, so that no other is on its way when the loss of the connection is noticed.
	grantsInFlight map[topology.ServerID]bool
	// releasesInFlight counts the releases without a response.
	releasesInFlight int
	ranges           []*keyRange // in the order of keys
	formerOwners     []*formerOwner
	unknownOwners    *unknownOwners // nil if no such keys are known
	fencePace        fencePace
	nextID           int
	// earlierUntil is the time until which grants of earlier leaders may arrive.
	earlierUntil time.Duration
	// movesFrom is the time before which no range changes its server, movesAllowed
	// whether it had come at the last Step.
	movesFrom    time.Duration
	movesAllowed bool
	// version changes whenever a key gains, changes or loses its owner.
	version int
	// suspectsLaterLeader is true after a server has refused a fence directly after
	// another failed call, until the store confirms the leadership.
	suspectsLaterLeader bool
	// changes holds the changes of owners for TakeChanges, omittedChanges counts those
	// that it has no room for.
	changes        []Change
	omittedChanges int
}

// New returns a Manager that starts from the key map in the store. Grants of earlier
// leaders may arrive until earlierUntil. Each call of nextFence returns a fence that
// is higher than all earlier ones, including those of earlier leaders.
func New(service topology.Service, settings Settings, keyMap keymap.Map, nextFence func() int64, earlierUntil time.Duration) *Manager {
	m := &Manager{
		service: service, settings: settings, nextFence: nextFence, earlierUntil: earlierUntil, servers: make(map[topology.ServerID]Server),
		failedAt: make(map[topology.ServerID]time.Duration), grantsInFlight: make(map[topology.ServerID]bool),
		fencePace: fencePace{perServer: make(map[topology.ServerID]int)},
	}
	for _, e := range keyMap {
		r := &keyRange{from: e.From, to: e.To, server: e.Server, address: e.Address, incarnation: e.Incarnation, fence: nextFence(), earlierGrants: true, sentAt: -time.Hour, latestExpiry: -time.Hour}
		r.storedAddress, r.storedIncarnation = e.Address, e.Incarnation
		switch {
		case e.OwnerUnknown:
			r.setOwnerUnknown(e.Server)
		case e.Server == "":
			r.phase = free
		}
		m.add(r)
		for _, owner := range e.FormerOwners {
			if owner.Server != e.Server {
				m.addFormerOwner(owner, e.From, e.To)
			}
		}
	}
	return m
}

// setOwnerUnknown records that any server may own the keys until all grants of earlier
// leaders must have expired. They then go to next.
func (r *keyRange) setOwnerUnknown(next topology.ServerID) {
	r.ownerUnknown, r.phase, r.earlierGrants = true, expiring, true
	r.server, r.address, r.incarnation, r.next = "", "", 0, next
	r.appending, r.appendInDoubt, r.fencing = false, false, false
}

// SetEarlierLeadersUntil replaces the time until which grants of earlier leaders may
// arrive.
func (m *Manager) SetEarlierLeadersUntil(until time.Duration) { m.earlierUntil = until }

// SetMovesFrom replaces the time before which no range changes its server: until then
// an earlier leader may still act by the same key map.
func (m *Manager) SetMovesFrom(from time.Duration) { m.movesFrom = from }

// freeAt returns the time after which the server of a range cannot own its keys.
func (m *Manager) freeAt(r *keyRange) time.Duration {
	if r.earlierGrants {
		return max(r.latestExpiry, m.earlierUntil+m.maxGrantDuration())
	}
	return r.latestExpiry
}

func (m *Manager) add(r *keyRange) {
	m.nextID++
	r.id = m.nextID
	m.ranges = append(m.ranges, r)
}

// maxGrantDuration is the longest time for which a grant can be in force, counted
// from the response or the timeout of its call.
func (m *Manager) maxGrantDuration() time.Duration {
	return time.Duration(float64(m.settings.GrantDuration)*(1+maxClockDrift)) + maxLateArrival
}

// SetServers replaces the registered servers. A server with a later incarnation owns
// no keys of its earlier one.
func (m *Manager) SetServers(servers map[topology.ServerID]Server) {
	m.servers = servers
	m.updateFormerOwners()
	for _, r := range m.ranges {
		srv, ok := servers[r.server]
		// A list that is older than the key map may show an earlier start.
		if !ok || srv.Incarnation < r.incarnation {
			continue
		}
		r.address = srv.Address
		if r.incarnation == srv.Incarnation || r.phase == free {
			continue
		}
		if r.incarnation != 0 && srv.Incarnation > r.incarnation {
			// latestExpiry stays: the last grants may have reached the new incarnation.
			r.earlierGrants = true // the new incarnation has seen no fence yet
			r.unansweredGrant, r.fencing = false, false
			r.failures = 0
			r.handover = ""
			r.fence = m.nextFence()
			r.sentAt = -time.Hour
			r.inFlight = false
			m.nextID++
			r.id = m.nextID // a late response comes from the earlier incarnation
			r.phase = granting
			m.version++
		}
		r.incarnation = srv.Incarnation
	}
}

// NextKeyMap returns the key map to store next, and whether it names a new owner of
// any range. The caller reports the end of the append with KeyMapStored or
// KeyMapNotStored.
func (m *Manager) NextKeyMap() (keyMap keymap.Map, changed bool) {
	for _, r := range m.ranges {
		stored := m.stored(r)
		// A server without a registration gets no grants, and is not told a higher fence
		// as a former owner any more once it owns the keys.
		if srv, registered := m.servers[r.next]; r.phase == free && registered && m.movesAllowed {
			stored.Server, stored.Address, stored.Incarnation = r.next, srv.Address, srv.Incarnation
			r.appending, r.nextServer = true, srv
			changed = true
		}
		r.appendedAddress, r.appendedIncarnation = stored.Address, stored.Incarnation
		keyMap = append(keyMap, stored)
	}
	return keyMap, changed
}

// AddressesChanged reports whether the stored key map lacks the address or the start of an
// owner. The next leader may have to tell the owner a higher fence while it is not registered.
func (m *Manager) AddressesChanged() bool {
	return m.movesAllowed && slices.ContainsFunc(m.ranges, func(r *keyRange) bool {
		return r.phase != free && (r.address != r.storedAddress || r.incarnation != r.storedIncarnation)
	})
}

// KeyMapToGrantAgain returns the key map to store before GrantAgain.
func (m *Manager) KeyMapToGrantAgain() keymap.Map {
	keyMap := make(keymap.Map, len(m.ranges))
	for i, r := range m.ranges {
		keyMap[i] = m.stored(r)
		if r.phase == free && r.appendInDoubt {
			keyMap[i].Server, keyMap[i].OwnerUnknown = r.next, true
			keyMap[i].Address, keyMap[i].Incarnation = "", 0
		}
	}
	return keyMap
}

// stored returns the present entry of a range in the key map.
func (m *Manager) stored(r *keyRange) keymap.Range {
	stored := keymap.Range{From: r.from, To: r.to, Server: r.server, Address: r.address, Incarnation: r.incarnation, FormerOwners: m.formerOwnersOf(r.from, r.to)}
	if r.ownerUnknown {
		stored.Server, stored.OwnerUnknown = r.next, true
	}
	return stored
}

// KeyMapStored records that the last NextKeyMap is in the store. Its new owners may
// get grants from now on.
func (m *Manager) KeyMapStored(now time.Duration) {
	for _, r := range m.ranges {
		r.appendInDoubt = false
		r.storedAddress, r.storedIncarnation = r.appendedAddress, r.appendedIncarnation
		if r.phase != free || !r.appending {
			continue
		}
		r.appending = false
		m.regainedKeys(r.next, r.from, r.to)
		r.server, r.next = r.next, ""
		r.incarnation, r.address = r.nextServer.Incarnation, r.nextServer.Address
		r.phase = granting
		r.fence = m.nextFence()
		r.sentAt = -time.Hour
		r.latestExpiry = now
		r.earlierGrants = false
		r.unansweredGrant, r.failures, r.renewedAt, r.grantedAt = false, 0, -time.Hour, ""
		r.fencing = false
		m.version++
		m.recordChange(Assigned, r)
	}
}

// RevertMoves returns keys that were released for a move to their previous servers,
// because the move cannot be stored. The store must not have a key map that names
// the next servers, and no append of one may be in progress.
func (m *Manager) RevertMoves(now time.Duration) {
	for _, r := range m.ranges {
		if _, ok := m.servers[r.server]; r.phase != free || r.appending || r.appendInDoubt || r.server == "" || !ok {
			continue
		}
		m.regainedKeys(r.server, r.from, r.to)
		r.next = ""
		r.phase = granting
		r.fence = m.nextFence()
		r.sentAt = -time.Hour
		r.latestExpiry = now
		r.earlierGrants = true
		r.unansweredGrant, r.failures, r.renewedAt = false, 0, -time.Hour
		r.fencing = false
		m.version++
		m.recordChange(Returned, r)
	}
}

// KeyMapNotStored records that the append of the last NextKeyMap failed. It is in doubt
// if the store may have carried it out.
func (m *Manager) KeyMapNotStored(inDoubt bool) {
	for _, r := range m.ranges {
		r.appendInDoubt = r.appendInDoubt || (r.appending && inDoubt)
		r.appending = false
	}
}

// GrantAgain grants each range again to its server with a higher fence, because the
// store was restored from a copy and may have lost the claim of another leader. Such a
// leader granted keys to the servers of the last key map only. It may have read that
// from an append of this leader which is in doubt, so the owners of those ranges are
// unknown. The result of KeyMapToGrantAgain must have been stored, with no other append
// since.
func (m *Manager) GrantAgain() {
	for _, r := range m.ranges {
		switch {
		case r.ownerUnknown:
			r.fencing = false // the fences that servers were told are of the epoch before
			continue
		case r.phase == free && r.server == "" && !r.appendInDoubt:
			continue
		case r.phase == free && r.appendInDoubt:
			r.setOwnerUnknown(r.next)
		default:
			m.regainedKeys(r.server, r.from, r.to)
			r.phase = granting
			r.earlierGrants, r.fencing = true, false
			r.fence = m.nextFence()
		}
		r.sentAt = -time.Hour
		r.inFlight = false
		m.nextID++
		r.id = m.nextID // a late response belongs to an earlier fence
		m.version++
	}
}

// Move plans to move the keys in [from, to] to the server next, whether or not they
// have an owner. It does not change ranges that are being released or whose next
// owner is being stored.
func (m *Manager) Move(from, to int, next topology.ServerID) {
	m.split(from)
	m.split(to + 1)
	for _, r := range m.ranges {
		if r.from < from || r.to > to || r.appending {
			continue
		}
		switch r.phase {
		case free, expiring:
			r.next = next
		case granted, granting:
			if r.server != next {
				r.next = next
			}
		}
	}
}

// Step returns the orders that are due. The last confirmation that the store still
// names this leader was at confirmedAt.
func (m *Manager) Step(now, confirmedAt time.Duration) []Order {
	m.merge()
	m.movesAllowed = now >= m.movesFrom
	maps.DeleteFunc(m.failedAt, func(_ topology.ServerID, at time.Duration) bool { return at < confirmedAt })
	var orders []Order
	for _, r := range m.ranges {
		m.advance(r, now)
		if o, due := m.dueOrder(r, now); due {
			r.sentAt, r.inFlight = now, true
			if o.Kind == Release {
				m.releasesInFlight++
			}
			if o.Kind == Grant {
				// The grant duration starts when the grant arrives, which can be as
				// late as the timeout of the call.
				if r.fencing { // it was not registered
					m.regainedKeys(r.server, r.from, r.to)
					r.fencing, r.fence = false, m.nextFence()
				}
				m.grantsInFlight[r.server] = true
				if o.Address != r.grantedAt {
					r.grantedAt = ""
				}
				r.priorExpiry = r.latestExpiry
				r.latestExpiry = max(r.latestExpiry, now+m.settings.CallTimeout+m.maxGrantDuration())
			}
			o.Service, o.Server, o.From, o.To, o.Fence, o.id = m.service, r.server, r.from, r.to, r.fence, r.id
			orders = append(orders, o)
		}
	}
	return append(orders, m.fenceOrders(now)...)
}

// advance makes the transitions of a range that depend on time, on registrations or
// on earlier failures.
func (m *Manager) advance(r *keyRange, now time.Duration) {
	_, registered := m.servers[r.server]
	switch r.phase {
	case granting, granted:
		if r.inFlight {
			return
		}
		if !registered && r.earlierGrants && now >= m.freeAt(r) {
			// No grant is sent, and once a move is planned the keys are free at once.
			m.fenceOwner(r)
		}
		switch {
		case r.next == "":
		case now >= m.freeAt(r):
			m.markFree(r, Expired)
		case r.phase == granted && r.failures == 0 && !r.unansweredGrant:
			if !m.movesAllowed {
				return
			}
			// A server without a registration may still respond.
			r.phase = releasing
			r.sentAt = -time.Hour
			m.version++
		case !registered || r.failures >= unreachableAfter:
			r.phase = expiring
			m.version++
		}
	case releasing, expiring:
		if !r.inFlight {
			m.awaitExpiry(r, now)
		}
	}
}

// awaitExpiry frees a range once its server cannot own the keys any more, and until then
// begins to tell that server a higher fence when it gets no more grants.
func (m *Manager) awaitExpiry(r *keyRange, now time.Duration) {
	if r.ownerUnknown && !r.fencing && now >= m.earlierUntil {
		m.fenceUnknownOwners(now)
	}
	switch {
	case now >= m.freeAt(r):
		m.markFree(r, Expired)
	case r.phase != expiring || !r.earlierGrants || r.fencing:
	case !r.ownerUnknown && !m.regainAllowed(now):
		m.fenceOwner(r)
	}
}

// mayRegain reports whether a server whose keys are about to leave it still gets grants of
// them. It may own the keys by a grant of an earlier leader, and a grant of this leader
// ends that.
func (m *Manager) mayRegain(r *keyRange, now time.Duration) bool {
	_, registered := m.servers[r.server]
	return registered && !r.fencing && m.regainAllowed(now)
}

// regainAllowed reports whether a grant to a server that may own keys by a grant of an
// earlier leader does not prolong the wait for the end of that. Until then the server is
// not told a higher fence either: it would lose keys that it may serve all the time, and
// could not get them back once it is registered again.
func (m *Manager) regainAllowed(now time.Duration) bool {
	return now+m.settings.CallTimeout <= m.earlierUntil
}

// unreachableAfter is the number of failed calls in a row after which a server is
// unreachable. A single call may have failed on a stale connection.
const unreachableAfter = 2

// markFree records that no server owns the keys, and for which reason.
func (m *Manager) markFree(r *keyRange, reason ChangeKind) {
	m.recordChange(reason, r)
	// A grant without a response may still be taken by a server that reads it late.
	if r.earlierGrants || r.grantedAt == "" || r.unansweredGrant {
		m.fenceOwner(r)
	}
	r.phase, r.ownerUnknown = free, false
	r.unansweredGrant, r.failures = false, 0
	m.version++
}

// fenceOwner makes the leader tell the server of a range a higher fence.
func (m *Manager) fenceOwner(r *keyRange) {
	if r.server == "" || r.fencing {
		return
	}
	r.fencing = true
	m.addFormerOwner(keymap.FormerOwner{Server: r.server, Address: r.address, Incarnation: r.incarnation}, r.from, r.to)
}

// dueOrder returns the order for a range, and whether it has to be sent now.
func (m *Manager) dueOrder(r *keyRange, now time.Duration) (Order, bool) {
	if r.inFlight {
		return Order{}, false
	}
	interval := m.settings.RenewInterval
	if r.failures > 0 || r.phase != granted {
		interval = m.settings.RetryInterval
	}
	if now-r.sentAt < interval {
		return Order{}, false
	}
	_, registered := m.servers[r.server]
	switch r.phase {
	case granting, granted:
		return m.grantOrder(r), registered && m.mayGrant(r)
	case releasing:
		return m.releaseOrder(r)
	case expiring:
		// If the server can be reached again, it releases the keys early. If it may
		// own them by a grant of an earlier leader, it first needs a grant of this
		// leader.
		if r.earlierGrants {
			return m.grantOrder(r), m.mayRegain(r, now) && m.mayGrant(r)
		}
		return m.releaseOrder(r)
	default:
		return Order{}, false
	}
}

// mayGrant reports whether a grant may be sent. After a failed call the server may
// have restarted and lost the fence of a later leader, so it would accept the grant.
// This leader therefore needs a confirmation by the store that is newer than the
// failure. Whether a call has failed is known once the grant in flight has ended.
func (m *Manager) mayGrant(r *keyRange) bool {
	_, failed := m.failedAt[r.server]
	return !failed && !m.grantsInFlight[r.server] && len(m.grantsInFlight) < maxGrantsInFlight
}

// maxGrantsInFlight bounds the grants without a response. A leader that claims the leadership
// grants all ranges, and a connection that is being opened takes 50 KB of memory.
const maxGrantsInFlight = 512

// grantOrder returns a grant. After a grant without a response the new one has a
// higher fence, so that the server refuses the earlier one if it arrives later. After
// a failed call it has one because a new incarnation must not get the fence of the
// earlier one.
func (m *Manager) grantOrder(r *keyRange) Order {
	if (r.unansweredGrant || r.raisesFence) && m.mayGrant(r) {
		r.fence, r.raisesFence = m.nextFence(), false
	}
	return Order{Kind: Grant, Address: r.address, Handover: r.handover}
}

// maxReleasesInFlight bounds the releases without a response. Each holds a connection, until
// the server has ended its work on the keys or the call times out.
const maxReleasesInFlight = 256

// releaseOrder returns a release, and whether it may be sent now.
func (m *Manager) releaseOrder(r *keyRange) (Order, bool) {
	return Order{Kind: Release, Address: r.address}, r.address != "" && m.releasesInFlight < maxReleasesInFlight
}

func (m *Manager) rangeByID(id int) *keyRange {
	for _, r := range m.ranges {
		if r.id == id {
			return r
		}
	}
	return nil
}

// Regrant sends a new grant for the range of a key with the next Step, because the
// server has rejected a request for the key that it should own.
func (m *Manager) Regrant(key int, server topology.ServerID) {
	for _, r := range m.ranges {
		if key >= r.from && key <= r.to && r.server == server && r.phase == granted && !r.inFlight {
			r.fence = m.nextFence()
			r.phase = granting
			r.sentAt = -time.Hour
			m.version++
		}
	}
}

// SuspectsLaterLeader reports whether a server has refused a fence of this leader
// directly after another failed call. A later leader is then likely; the caller has to
// ask the store.
func (m *Manager) SuspectsLaterLeader() bool { return m.suspectsLaterLeader }

// LeadershipConfirmed records that the store still names this leader.
func (m *Manager) LeadershipConfirmed() { m.suspectsLaterLeader = false }

// Version returns a number that changes whenever a key gains, changes or loses its
// owner.
func (m *Manager) Version() int { return m.version }
