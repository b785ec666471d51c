// Package leaderlease decides for how long a leader may act that cannot reach the
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
package leaderlease

import (
	"slices"
	"time"
)

// Settings of a Mandate.
type Settings struct {
	// BaseDuration is the time after its last proof for which a leader acts without
	// followers.
	BaseDuration time.Duration
	// ExtendedDuration is the time after its last proof for which it acts with them.
	ExtendedDuration time.Duration
	// FollowerTimeout is the time for which a message of a follower counts.
	FollowerTimeout time.Duration
	// CallTimeout bounds the time between the decision to send a call and its
	// arrival.
	CallTimeout time.Duration
}

// EarlierLeader is what the store tells of one leader.
type EarlierLeader struct {
	Address string
	// Incarnation is the incarnation of the leader's process.
	Incarnation uint64 `json:"Process"`
	// Followers holds the incarnations of the hosts whose majority lets the leader
	// act without the store; empty if it has none.
	Followers []uint64 `json:"List"`
}

// Lease is the state of one leadership.
type Lease struct {
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
	EarlierLeader
	// ended is the time at which the leader was known to have lost its process
	// or its majority; zero if it is not.
	ended time.Duration
	gone  bool // the process has ended or follows this leader
}

// New returns the mandate of a leader that claimed the lead at the given time,
// after the given leaders that may still act.
func New(set Settings, self uint64, address string, claim time.Duration, earlier []EarlierLeader) *Lease {
	m := &Lease{set: set, self: self, claim: claim, proof: claim, heard: make(map[uint64]time.Duration)}
	for _, t := range earlier {
		// This process leads no longer by an earlier claim, and an earlier process
		// with its address has ended.
		if t.Incarnation != self && t.Address != address {
			m.former = append(m.former, &former{EarlierLeader: t})
		}
	}
	return m
}

// Confirm records that the store named this leader at the given time.
func (m *Lease) Confirm(at time.Duration) { m.proof = max(m.proof, at) }

// SetStoredFollowers records that the store holds a list of this leader.
func (m *Lease) SetStoredFollowers(list []uint64) { m.list = list }

// RecordFollower records that a host follows this leader.
func (m *Lease) RecordFollower(host uint64, address string, now time.Duration) {
	m.heard[host] = now
	for _, f := range m.former {
		if f.ended != 0 {
			continue
		}
		switch {
		case f.Incarnation == host, f.Address == address:
			// The earlier leader follows this one, or another process has its
			// address.
			f.ended, f.gone = now, true
		case len(f.Followers) > 0 && m.countFollowers(f.Followers, now) > len(f.Followers)/2:
			f.ended = now
		}
	}
}

// countFollowers returns the number of hosts of a list that follow this leader.
func (m *Lease) countFollowers(list []uint64, now time.Duration) int {
	n := 0
	for _, h := range list {
		if at, ok := m.heard[h]; h == m.self || (ok && now-at <= m.set.FollowerTimeout) {
			n++
		}
	}
	return n
}

// Valid reports whether the leader may send grants.
func (m *Lease) Valid(now time.Duration) bool {
	age := now - m.proof
	if age <= m.set.BaseDuration {
		return true
	}
	return age <= m.set.ExtendedDuration && len(m.list) > 0 && m.countFollowers(m.list, now) > len(m.list)/2
}

// EarlierLeadersUntil returns the time after which no grant of an earlier leader arrives.
func (m *Lease) EarlierLeadersUntil() time.Duration {
	until := m.claim
	for _, f := range m.former {
		until = max(until, m.end(f))
	}
	return until
}

func (m *Lease) end(f *former) time.Duration {
	latest := m.claim + m.set.ExtendedDuration + m.set.CallTimeout
	switch {
	case f.gone:
		return min(latest, f.ended+m.set.CallTimeout)
	case len(f.Followers) == 0:
		return m.claim + m.set.BaseDuration + m.set.CallTimeout
	case f.ended != 0:
		return min(latest, max(m.claim+m.set.BaseDuration, f.ended+m.set.FollowerTimeout)+m.set.CallTimeout)
	default:
		return latest
	}
}

// EarlierLeaders returns the earlier leaders that may still act, for the record of this
// leader.
func (m *Lease) EarlierLeaders(now time.Duration) []EarlierLeader {
	var terms []EarlierLeader
	for _, f := range m.former {
		if now < m.end(f) {
			terms = append(terms, f.EarlierLeader)
		}
	}
	return terms
}

// Followers returns the hosts that follow this leader, itself included, in order.
func (m *Lease) Followers(now time.Duration) []uint64 {
	list := []uint64{m.self}
	for h, at := range m.heard {
		if now-at <= m.set.FollowerTimeout && h != m.self {
			list = append(list, h)
		}
	}
	slices.Sort(list)
	return list
}
