package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// addressReuse is the time after which the address of a process that has ended may be
	// used by another server.
	addressReuse = 2 * time.Second
)

// release delivers a release, which the server responds to when its work has ended. The
// release may arrive late, its response may be lost, and the leader gives up in time.
func (m *model) release(h *host, s *modelServer, o ownership.Order) {
	fault := rapid.IntRange(0, 9).Draw(m.t, "release fault")
	if fault == 0 {
		h.manager.HandleResult(o, ownership.Unsent, "", m.now)
		return
	}
	arrival, deadline := m.now+step, m.now+releaseTimeout
	if fault == 1 {
		arrival += time.Duration(rapid.IntRange(0, 100).Draw(m.t, "late release")) * step
	}
	responded := false
	var respond func()
	respond = func() {
		switch {
		case m.servers[o.Server] != s || m.now > deadline:
		case s.worksOnAny(o, m.now):
			m.events = append(m.events, event{m.now + step, respond})
		case fault != 2:
			responded = true
			h.manager.HandleResult(o, ownership.Done, "h", m.now)
		}
	}
	m.events = append(m.events, event{arrival, func() { s.release(o); respond() }}, event{deadline + step, func() {
		if !responded {
			h.manager.HandleResult(o, ownership.Unknown, "", m.now)
		}
	}})
}

func (s *modelServer) worksOnAny(o ownership.Order, now time.Duration) bool {
	for _, k := range trackedKeys {
		if k >= o.From && k <= o.To && s.worksOn(k, now) {
			return true
		}
	}
	return false
}

// checkNoOtherWorks fails the test if another server works on keys that a server was granted,
// unless it took the grant so late that its time had run out.
func (m *model) checkNoOtherWorks(granted *modelServer, o ownership.Order) {
	for _, k := range trackedKeys {
		for id, s := range m.servers {
			if s != granted && m.servers[o.Server] == granted && k >= o.From && k <= o.To && m.now < granted.ownedUntil[k] && s.worksOn(k, m.now) {
				m.t.Fatalf("at %v key %d was granted to %s with fence %d, and %s works on it until %v", m.now, k, o.Server, o.Fence, id, min(s.workEnd[k], s.grantEnd[k]))
			}
		}
	}
}

// startWork starts requests on all keys that a server owns.
func (m *model) startWork(id topology.ServerID, d time.Duration) {
	s := m.servers[id]
	for _, k := range trackedKeys {
		if m.now < s.ownedUntil[k] {
			s.workEnd[k] = max(s.workEnd[k], m.now+d)
		}
	}
}

// register makes the list of servers show another registration of a server for some time;
// none if it has no address.
func (m *model) register(id topology.ServerID, srv ownership.Server, d time.Duration) {
	m.otherRegistrations[id] = srv
	m.events = append(m.events, event{m.now + d, func() {
		if m.otherRegistrations[id] == srv {
			delete(m.otherRegistrations, id)
		}
	}})
}

// restart starts a server again, at another address if move is true.
func (m *model) restart(id topology.ServerID, move bool) {
	old := m.servers[id]
	address := old.address
	if move {
		address = fmt.Sprintf("%s-%d", id, old.incarnation+1)
		m.formerAddresses[old.address] = true
		m.events = append(m.events, event{m.now + addressReuse, func() { m.reusedAddresses[old.address] = true }})
	}
	m.servers[id] = newModelServer(address, old.incarnation+1)
}

// Guards against keys that are granted to a server while another one still works on them
// before its grant would have ended: releases are lost, late or given up and repeated,
// registrations are late, lapse or go back, servers start again elsewhere, leaders stop
// in the middle of a release, and the store refuses moves or is restored from a copy.
func TestNoGrantWhileAnotherServerWorks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []topology.ServerID{"a", "b", "c"}
		m := newModel(t, ids)
		m.work = true
		m.appendsInDoubt = rapid.Bool().Draw(t, "appends in doubt")
		m.listInterval = rapid.SampledFrom([]time.Duration{step, 10 * step}).Draw(t, "list interval")
		m.elect()
		steps := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * step
		}
		for range rapid.IntRange(20, 100).Draw(t, "rounds") {
			h := m.hosts[len(m.hosts)-1]
			id := rapid.SampledFrom(ids).Draw(t, "server")
			for _, worker := range ids {
				m.startWork(worker, steps("work", 60))
			}
			switch rapid.IntRange(0, 12).Draw(t, "action") {
			case 0, 1, 2, 3:
				from, to := rapid.SampledFrom(trackedKeys).Draw(t, "from"), rapid.SampledFrom(trackedKeys).Draw(t, "to")
				h.manager.Move(min(from, to), max(from, to), id)
			case 4:
				h.cutOff = rapid.Bool().Draw(t, "cut off old leader")
				m.elect()
			case 5: // stops as planned
				h.killed = true
				m.elect()
			case 6:
				h.unreachable[id] = !h.unreachable[id]
			case 7, 8:
				old := m.servers[id]
				m.restart(id, rapid.Bool().Draw(t, "other address"))
				switch rapid.IntRange(0, 2).Draw(t, "registration") {
				case 0: // the earlier one lasts
					m.register(id, ownership.Server{Address: old.address, Incarnation: old.incarnation}, steps("late", 40))
				case 1:
					m.register(id, ownership.Server{}, steps("absent", 40))
				}
			case 9:
				m.register(id, ownership.Server{}, steps("lapsed", 40))
			case 10:
				m.refusesAppends = !m.refusesAppends
			case 11: // a restored store shows an earlier process
				if m.formerAddresses[string(id)] {
					m.register(id, ownership.Server{Address: string(id), Incarnation: 1}, steps("earlier", 40))
				}
			case 12:
				m.restore()
			}
			if m.keyMap != nil {
				m.copies = append(m.copies, m.keyMap)
			}
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				m.step()
			}
		}
	})
}
