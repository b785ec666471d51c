// Package mandate decides for how long a leader may act that cannot reach the
// store, and from when on the earlier leaders cannot act any more.
//
// The fault that it answers: the store is away for all hosts for seconds, and
// keys must stay in use; or it is away for the leader alone, and another host
// takes over, which must not wait long before it moves keys off servers that it
// does not reach.
//
// A leader acts for Alone after its last proof from the store. It acts longer, up
// to Autonomy, while a majority of the hosts that its record in the store lists
// follow it. A host follows one leader at a time and never goes back to an
// earlier one. So the earlier leader has ended once a majority of its list
// follows the new one, or once its process is known to have ended.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin of this host.
package mandate

import (
	"slices"
	"time"
)

// Settings of a Mandate.
type Settings struct {
	// Alone is the time after its last proof for which a leader acts without
	// followers.
	Alone time.Duration
	// Autonomy is the time after its last proof for which it acts with them.
	Autonomy time.Duration
	// Window is the time for which a message of a follower counts.
	Window time.Duration
	// Flight bounds the time between the decision to send a call and its
	// arrival.
	Flight time.Duration
}

// Term is what the store tells of one leader.
type Term struct {
	Address string
	// Process is the incarnation of the leader's process.
	Process uint64
	// List holds the incarnations of the hosts whose majority lets the leader
	// act without the store; empty if it has none.
	List []uint64
}

// Mandate is the state of one leadership.
type Mandate struct {
	set   Settings
	self  uint64
	claim time.Duration
	proof time.Duration
	// list is the list of this leader that is in the store.
	list   []uint64
	former []*former
	heard  map[uint64]time.Duration
}

type former struct {
	Term
	// ended is the time at which the leader was known to have lost its process
	// or its majority; zero if it is not.
	ended time.Duration
	gone  bool // the process has ended or follows this leader
}

// New returns the mandate of a leader that claimed the lead at the given time,
// after the given leaders that may still act.
func New(set Settings, self uint64, address string, claim time.Duration, earlier []Term) *Mandate {
	m := &Mandate{set: set, self: self, claim: claim, proof: claim, heard: make(map[uint64]time.Duration)}
	for _, t := range earlier {
		// This process leads no longer by an earlier claim, and an earlier process
		// with its address has ended.
		if t.Process != self && t.Address != address {
			m.former = append(m.former, &former{Term: t})
		}
	}
	return m
}

// Proof records that the store named this leader at the given time.
func (m *Mandate) Proof(at time.Duration) { m.proof = max(m.proof, at) }

// SetList records that the store holds a list of this leader.
func (m *Mandate) SetList(list []uint64) { m.list = list }

// Heard records that a host follows this leader.
func (m *Mandate) Heard(host uint64, address string, now time.Duration) {
	m.heard[host] = now
	for _, f := range m.former {
		if f.ended != 0 {
			continue
		}
		switch {
		case f.Process == host, f.Address == address:
			// The earlier leader follows this one, or another process has its
			// address.
			f.ended, f.gone = now, true
		case len(f.List) > 0 && m.followers(f.List, now) > len(f.List)/2:
			f.ended = now
		}
	}
}

// followers returns the number of hosts of a list that follow this leader.
func (m *Mandate) followers(list []uint64, now time.Duration) int {
	n := 0
	for _, h := range list {
		if at, ok := m.heard[h]; h == m.self || (ok && now-at <= m.set.Window) {
			n++
		}
	}
	return n
}

// May reports whether the leader may send grants.
func (m *Mandate) May(now time.Duration) bool {
	age := now - m.proof
	if age <= m.set.Alone {
		return true
	}
	return age <= m.set.Autonomy && len(m.list) > 0 && m.followers(m.list, now) > len(m.list)/2
}

// Rivals returns the time after which no grant of an earlier leader arrives.
func (m *Mandate) Rivals() time.Duration {
	until := m.claim
	for _, f := range m.former {
		until = max(until, m.end(f))
	}
	return until
}

func (m *Mandate) end(f *former) time.Duration {
	latest := m.claim + m.set.Autonomy + m.set.Flight
	switch {
	case f.gone:
		return min(latest, f.ended+m.set.Flight)
	case len(f.List) == 0:
		return m.claim + m.set.Alone + m.set.Flight
	case f.ended != 0:
		return min(latest, max(m.claim+m.set.Alone, f.ended+m.set.Window)+m.set.Flight)
	default:
		return latest
	}
}

// Terms returns the earlier leaders that may still act, for the record of this
// leader.
func (m *Mandate) Terms(now time.Duration) []Term {
	var terms []Term
	for _, f := range m.former {
		if now < m.end(f) {
			terms = append(terms, f.Term)
		}
	}
	return terms
}

// Members returns the hosts that follow this leader, itself included, in order.
func (m *Mandate) Members(now time.Duration) []uint64 {
	list := []uint64{m.self}
	for h, at := range m.heard {
		if now-at <= m.set.Window && h != m.self {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}
