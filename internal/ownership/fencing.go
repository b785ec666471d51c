package ownership

import (
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

// unknownOwners holds keys that any server may have owned. Each server that is registered
// within formerOwnerMemory is told a higher fence for those of them that it does not own now.
type unknownOwners struct {
	from, to int
	since    time.Duration
	told     map[topology.ServerID]bool
}

// fenceUnknownOwners makes the leader tell all servers a higher fence for the keys of a
// range whose owner is not known.
func (m *Manager) fenceUnknownOwners(r *keyRange, now time.Duration) {
	r.fencing = true
	if n := len(m.unknownOwners); n > 0 && m.unknownOwners[n-1].since == now && m.unknownOwners[n-1].to+1 == r.from {
		m.unknownOwners[n-1].to = r.to
		return
	}
	m.unknownOwners = append(m.unknownOwners, &unknownOwners{from: r.from, to: r.to, since: now, told: make(map[topology.ServerID]bool)})
}

// updateUnknownOwners adds the servers that have not been told a fence yet.
func (m *Manager) updateUnknownOwners(now time.Duration) {
	m.unknownOwners = slices.DeleteFunc(m.unknownOwners, func(u *unknownOwners) bool { return now-u.since > formerOwnerMemory })
	for _, u := range m.unknownOwners {
		for id, srv := range m.servers {
			if u.told[id] {
				continue
			}
			u.told[id] = true
			m.notOwnedBy(id, u.from, u.to, func(from, to int) {
				owner := keymap.FormerOwner{Server: id, Address: srv.Address, Incarnation: srv.Incarnation}
				m.addFenceOrder(formerOwner{owner: owner, from: from, to: to, ownerUnknown: true})
			})
		}
	}
}

// notOwnedBy calls f for each part of the keys from from to to that the server does not own.
func (m *Manager) notOwnedBy(server topology.ServerID, from, to int, f func(from, to int)) {
	for _, r := range m.ranges {
		if r.server != server || r.phase == free || r.to < from || r.from > to {
			continue
		}
		if from < r.from {
			f(from, r.from-1)
		}
		from = r.to + 1
	}
	if from <= to {
		f(from, to)
	}
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
// time, in turn, until the server can be reached, then all others.
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
	var orders []Order
	for _, f := range m.formerOwners {
		turn := turns[f.owner.Server]
		if !m.due(f, now) || (!f.reached && !turn.connected && (turn.busy || turn.next != f)) {
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
