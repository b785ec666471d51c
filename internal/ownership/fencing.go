package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// formerOwner is a server that loses keys while it cannot be reached, without having taken
// a fence of a leader that came after its last grants. A network that held up a
// grant of a leader whose process has ended may still deliver it, and the server would
// take it: no process is left that could reset the connection. So the server is told a
// higher fence as soon as it can be reached.
type formerOwner struct {
	id       int // of the orders
	owner    keymap.FormerOwner
	from, to int
	// since is the time from which on calls are due, sentAt that of the last one. A call that
	// gets no response does not hold back the next one: inFlight counts those that have not
	// ended.
	since, sentAt time.Duration
	inFlight      int
	attempts      int
	// reached is true once the server has responded to another order.
	reached bool
	// ownerUnknown is true if any server may have owned the keys. Such entries are not
	// stored: with one for each server in each range a key map exceeds the limits of the store.
	ownerUnknown bool
}

// formerOwnerMemory is the time after which a former owner that cannot be reached is
// forgotten. Connections of a process that has ended are given up by then.
const formerOwnerMemory = time.Minute

// addFormerOwner makes the leader tell a former owner of keys a higher fence.
func (m *Manager) addFormerOwner(owner keymap.FormerOwner, from, to int) {
	m.addFenceOrder(formerOwner{owner: owner, from: from, to: to})
}

func (m *Manager) addFenceOrder(added formerOwner) {
	for _, f := range m.formerOwners {
		if f.owner == added.owner && f.ownerUnknown == added.ownerUnknown && f.to+1 == added.from && f.inFlight == 0 {
			f.to, f.since = added.to, added.since
			return
		}
	}
	m.nextID++
	added.id, added.sentAt = m.nextID, -time.Hour
	m.formerOwners = append(m.formerOwners, &added)
}

// regainedKeys records that a former owner owns keys again. Its next grant has a higher
// fence, and a late release would end that.
func (m *Manager) regainedKeys(server topology.ServerID, from, to int) {
	var rest []*formerOwner
	for _, f := range m.formerOwners {
		if f.owner.Server != server || f.to < from || f.from > to {
			rest = append(rest, f)
			continue
		}
		for _, part := range [][2]int{{f.from, from - 1}, {to + 1, f.to}} {
			if part[0] <= part[1] {
				m.nextID++
				rest = append(rest, &formerOwner{id: m.nextID, owner: f.owner, from: part[0], to: part[1], since: f.since, sentAt: f.sentAt, ownerUnknown: f.ownerUnknown})
			}
		}
	}
	m.formerOwners = rest
}

// unknownOwners holds the keys that any server may have owned. Each server that is registered
// within formerOwnerMemory is told a higher fence for those of them that it does not own now.
type unknownOwners struct {
	keys  []keySpan // in order
	since time.Duration
	told  map[topology.ServerID]bool
}

// keySpan is a range of keys, both ends included.
type keySpan struct{ from, to int }

// fenceUnknownOwners makes the leader tell all servers a higher fence for all keys whose
// owner is not known.
func (m *Manager) fenceUnknownOwners(now time.Duration) {
	u := &unknownOwners{since: now, told: make(map[topology.ServerID]bool)}
	if m.unknownOwners != nil {
		u.keys = m.unknownOwners.keys // servers that register later are told about them, too
	}
	for _, r := range m.ranges {
		if r.ownerUnknown {
			r.fencing = true
			u.keys = append(u.keys, keySpan{r.from, r.to})
		}
	}
	u.keys = joinSpans(u.keys)
	m.unknownOwners = u
}

// joinSpans returns spans in order and without overlaps that cover the same keys.
func joinSpans(spans []keySpan) []keySpan {
	slices.SortFunc(spans, func(a, b keySpan) int { return cmp.Compare(a.from, b.from) })
	var joined []keySpan
	for _, s := range spans {
		if n := len(joined); n > 0 && s.from <= joined[n-1].to+1 {
			joined[n-1].to = max(joined[n-1].to, s.to)
			continue
		}
		joined = append(joined, s)
	}
	return joined
}

// updateUnknownOwners adds the servers that have not been told a fence yet.
func (m *Manager) updateUnknownOwners(now time.Duration) {
	u := m.unknownOwners
	if u == nil {
		return
	}
	if now-u.since > formerOwnerMemory {
		m.unknownOwners = nil
		return
	}
	for id, srv := range m.servers {
		if u.told[id] {
			continue
		}
		u.told[id] = true
		for _, s := range m.spansToFence(id, u.keys) {
			owner := keymap.FormerOwner{Server: id, Address: srv.Address, Incarnation: srv.Incarnation}
			m.addFenceOrder(formerOwner{owner: owner, from: s.from, to: s.to, ownerUnknown: true})
		}
	}
}

// spansToFence returns spans that cover those of the given keys that the server does not own,
// and no key that it owns or is about to get. Between two ranges of the server there is one
// span at most: a fence for further keys that it does not own changes nothing, so the number
// of calls does not grow with the number of ranges without a known owner.
func (m *Manager) spansToFence(server topology.ServerID, keys []keySpan) []keySpan {
	var spans []keySpan
	extend := false // whether the last span may be extended
	for _, r := range m.ranges {
		if r.phase != free && (r.server == server || (r.next == server && !r.ownerUnknown)) {
			extend = false
			continue
		}
		for len(keys) > 0 && keys[0].to < r.from {
			keys = keys[1:]
		}
		for _, k := range keys {
			if k.from > r.to {
				break
			}
			part := keySpan{max(k.from, r.from), min(k.to, r.to)}
			if extend {
				spans[len(spans)-1].to = part.to
			} else {
				spans = append(spans, part)
			}
			extend = true
		}
	}
	return spans
}

// updateFormerOwners takes the addresses of former owners from their registrations. It
// forgets those that have started again: the new process has no connection of an earlier
// leader.
func (m *Manager) updateFormerOwners() {
	m.formerOwners = slices.DeleteFunc(m.formerOwners, func(f *formerOwner) bool {
		srv, ok := m.servers[f.owner.Server]
		if !ok {
			return false
		}
		if f.owner.Incarnation != 0 && srv.Incarnation > f.owner.Incarnation {
			return true
		}
		if f.owner.Incarnation == 0 || srv.Incarnation == f.owner.Incarnation {
			f.owner.Address, f.owner.Incarnation = srv.Address, srv.Incarnation
		}
		return false
	})
}

const (
	// fenceCallInterval is the mean interval between the calls of fence orders to all servers
	// together, fenceCallBurst the number of calls that may be made up for at once. Each
	// call needs a connection of its own, about 0.3 ms of CPU time, and leaders have a
	// fraction of a core.
	fenceCallInterval = 4 * time.Millisecond
	fenceCallBurst    = 25
	// maxFenceCalls bounds the calls of fence orders without a response,
	// maxUnknownOwnerCalls those for keys of unknown owners: of many servers, few can have
	// owned these keys. maxFenceCallsPerServer bounds the calls to one server. Each holds a
	// connection; servers accept a limited number from all hosts together.
	maxFenceCalls          = 128
	maxUnknownOwnerCalls   = 96
	maxFenceCallsPerServer = 8
)

// fencePace spaces the calls of fence orders.
type fencePace struct {
	next      time.Duration             // time from which a call may be made
	calls     int                       // without a response
	perServer map[topology.ServerID]int // the same by server
}

// take reports whether a call for the order may be made now, and counts it.
func (p *fencePace) take(f *formerOwner, now time.Duration) bool {
	server, limit := f.owner.Server, maxFenceCalls
	if f.ownerUnknown {
		limit = maxUnknownOwnerCalls
	}
	if p.next > now || p.calls >= limit || p.perServer[server] >= maxFenceCallsPerServer {
		return false
	}
	p.next = max(p.next, now-fenceCallBurst*fenceCallInterval) + fenceCallInterval
	p.calls++
	p.perServer[server]++
	return true
}

// end records that a call to the server has ended.
func (p *fencePace) end(server topology.ServerID) {
	p.calls--
	if p.perServer[server]--; p.perServer[server] == 0 {
		delete(p.perServer, server)
	}
}

// fenceTurn is the state of the orders for one server.
type fenceTurn struct {
	busy      bool         // an order was sent within the interval between two calls
	connected bool         // a call has a connection
	next      *formerOwner // the order that is due and was sent the longest time ago
}

// due reports whether a call for the order may be sent.
func (m *Manager) due(f *formerOwner, now time.Duration) bool {
	return f.owner.Address != "" && now-f.sentAt >= m.settings.RetryInterval
}

// fenceTurns returns the state of the orders for each server.
func (m *Manager) fenceTurns(now time.Duration) map[topology.ServerID]*fenceTurn {
	turns := make(map[topology.ServerID]*fenceTurn)
	for _, f := range m.formerOwners {
		turn := turns[f.owner.Server]
		if turn == nil {
			turn = new(fenceTurn)
			turns[f.owner.Server] = turn
		}
		recent := now-f.sentAt < m.settings.RetryInterval
		// A dial ends within the interval, so a call that lasts for longer has a connection;
		// the response may have to wait for work.
		turn.connected = turn.connected || (f.inFlight > 0 && !recent)
		turn.busy = turn.busy || (!f.reached && recent)
		if m.due(f, now) && (turn.next == nil || f.sentAt < turn.next.sentAt) {
			turn.next = f
		}
	}
	return turns
}

// fenceOrders returns the orders that are due for former owners: one for each server at a
// time, in turn, until the server can be reached, then all others. If more are due than the
// pace permits, those whose owner is known go first, then those that were sent the longest
// time ago.
func (m *Manager) fenceOrders(now time.Duration) []Order {
	m.updateUnknownOwners(now)
	if len(m.formerOwners) == 0 {
		return nil
	}
	m.formerOwners = slices.DeleteFunc(m.formerOwners, func(f *formerOwner) bool {
		if f.since == 0 {
			f.since = now
		}
		return now-f.since > formerOwnerMemory
	})
	turns := m.fenceTurns(now)
	var due []*formerOwner
	for _, f := range m.formerOwners {
		turn := turns[f.owner.Server]
		if m.due(f, now) && (f.reached || turn.connected || (!turn.busy && turn.next == f)) {
			due = append(due, f)
		}
	}
	slices.SortStableFunc(due, func(a, b *formerOwner) int {
		if a.ownerUnknown != b.ownerUnknown {
			if b.ownerUnknown {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sentAt, b.sentAt)
	})
	var orders []Order
	for _, f := range due {
		if !m.fencePace.take(f, now) {
			continue
		}
		f.sentAt = now
		f.inFlight++
		f.attempts++
		orders = append(orders, Order{
			Kind: Fence, Service: m.service, Server: f.owner.Server, Address: f.owner.Address,
			From: f.from, To: f.to, Fence: m.nextFence(), Attempt: f.attempts, id: f.id,
		})
	}
	return orders
}

// handleFence records the outcome of a Fence order. After a success all orders for the
// same server are due at once.
func (m *Manager) handleFence(o Order, outcome Outcome) {
	m.fencePace.end(o.Server)
	if outcome != Unsent && outcome != ServerGone {
		m.grantAfterFence(o)
	}
	for _, f := range m.formerOwners {
		if f.owner.Server == o.Server && f.inFlight == 0 && outcome == Done {
			f.reached, f.sentAt = true, -time.Hour
		}
	}
	m.formerOwners = slices.DeleteFunc(m.formerOwners, func(f *formerOwner) bool {
		if f.id != o.id {
			return false
		}
		f.inFlight--
		if outcome == ServerGone && f.owner.Address == o.Address {
			if m.servers[o.Server] == (Server{Address: o.Address, Incarnation: f.owner.Incarnation}) {
				return true
			}
			f.owner.Address = "" // the address may be that of an earlier incarnation
		}
		return outcome == Done
	})
}

// grantAfterFence grants keys again at once that a server got while a fence order for them
// was under way: the server may have carried that out after the grant.
func (m *Manager) grantAfterFence(o Order) {
	for _, r := range m.ranges {
		if r.server != o.Server || r.to < o.From || r.from > o.To || (r.phase != granting && r.phase != granted) {
			continue
		}
		r.raisesFence = true
		if !r.inFlight {
			r.sentAt = -time.Hour
		}
	}
}

// formerOwnersOf returns the former owners of keys, to be stored with their range.
func (m *Manager) formerOwnersOf(from, to int) []keymap.FormerOwner {
	var owners []keymap.FormerOwner
	for _, f := range m.formerOwners {
		if !f.ownerUnknown && f.from <= to && f.to >= from && !slices.Contains(owners, f.owner) {
			owners = append(owners, f.owner)
		}
	}
	return owners
}
