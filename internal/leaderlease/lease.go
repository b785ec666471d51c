// Package leaderlease decides how long a leader may act without contact to the
// store, and when the grants of earlier leaders have ended.
//
// It covers two kinds of store outage. If no host can reach the store for
// several seconds, the keys must stay in use. If only the leader cannot reach
// it, another host takes over. That host must not wait long before it moves keys
// off servers that it cannot reach.
//
// A leader acts for BaseDuration after its last confirmation from the store.
// It acts for up to ExtendedDuration while a majority of the followers listed
// in its stored record still follow it. A host follows one leader at a time
// and never returns to an earlier one. Therefore an earlier leader has ended
// once a majority of its listed followers follow the new leader or have ended,
// or once its own process is known to have ended. A process has ended when
// another one follows from its address.
//
// A store that was restored from a copy may have lost the claims of later leaders.
// Such an unlisted leader is not known by name. It has ended once processes of
// all known hosts follow this leader, because it is one of them. With one host
// missing it acts for BaseDuration at most: a leader acts for longer only if its
// followers outnumber the other hosts that its record names, and records name the
// hosts of the records before them.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin of this host.
package leaderlease

import (
	"slices"
	"time"
)

// Settings of a Lease.
type Settings struct {
	// BaseDuration is how long after its last confirmation a leader may act
	// without a majority of followers.
	BaseDuration time.Duration
	// ExtendedDuration is how long after its last confirmation it may act with a
	// majority of followers.
	ExtendedDuration time.Duration
	// FollowerTimeout is how long after its last message a host counts as a
	// follower.
	FollowerTimeout time.Duration
	// CallTimeout bounds the time from the decision to send a call, such as a
	// grant, to its arrival.
	CallTimeout time.Duration
}

// EarlierLeader is the part of a leader's stored record that determines how
// long it may act after another host has claimed the leadership. The JSON
// names are those of the stored record.
type EarlierLeader struct {
	Address string
	// Incarnation is the incarnation of the leader's process.
	Incarnation uint64 `json:"Process"`
	// Followers holds the incarnations of the hosts of which a majority must
	// follow the leader while it acts for up to ExtendedDuration. If it is
	// empty, the leader acts for BaseDuration only.
	Followers []uint64 `json:"List"`
	// FollowerAddresses holds the addresses of Followers in the same order; it is
	// empty in records of releases that did not store them.
	FollowerAddresses []string `json:"Addresses,omitempty"`
	// Unlisted is true for any leaders whose claims the store has lost.
	// FollowerAddresses then holds the addresses of all known hosts.
	Unlisted bool `json:"Unlisted,omitempty"`
}

// Lease is the leader lease of one leadership of this host.
type Lease struct {
	settings    Settings
	self        uint64 // incarnation of this host
	address     string // address of this host
	claimedAt   time.Duration
	confirmedAt time.Duration
	// storedFollowers holds the followers that the stored record of this leader
	// lists, storedAbsent the number of other hosts that it names.
	storedFollowers []uint64
	storedAbsent    int
	earlier         []*earlierState
	followers       map[uint64]follower // by incarnation
	// incarnations holds the incarnation that was last heard from each address.
	incarnations map[string]uint64
}

// follower is a host that follows this leader.
type follower struct {
	address     string
	lastMessage time.Duration
}

// earlierState is what this host knows of an earlier leader.
type earlierState struct {
	EarlierLeader
	// replacedAt is the time at which this host claimed the leadership, or
	// claimed it again in a restored store.
	replacedAt time.Duration
	// endedAt is the time at which this host learned that the leader has lost
	// its majority; zero if it is not known. For an unlisted leader it is the
	// time at which at most one known host did not follow this leader.
	endedAt time.Duration
	// goneAt is the time at which this host learned that the process has ended
	// or follows this leader; zero if it is not known.
	goneAt time.Duration
}

// New returns the lease of a leader that claimed the leadership at the given
// time, while the given earlier leaders may still act.
func New(settings Settings, self uint64, address string, claimedAt time.Duration, earlier []EarlierLeader) *Lease {
	l := &Lease{
		settings: settings, self: self, address: address, claimedAt: claimedAt, confirmedAt: claimedAt,
		followers: make(map[uint64]follower), incarnations: map[string]uint64{address: self},
	}
	for _, e := range earlier {
		// This process no longer acts on an earlier claim of its own, and an
		// earlier process with its address has ended.
		if e.Incarnation != self && e.Address != address {
			l.earlier = append(l.earlier, &earlierState{EarlierLeader: e, replacedAt: claimedAt})
		}
	}
	l.updateUnlisted(claimedAt)
	return l
}

// Reclaimed records that this leader has claimed the leadership again in a restored
// store at the given time. It replaces any unlisted leader then.
func (l *Lease) Reclaimed(at time.Duration, unlisted EarlierLeader) {
	l.earlier = append(l.earlier, &earlierState{EarlierLeader: unlisted, replacedAt: at})
	l.incarnations = map[string]uint64{l.address: l.self}
	l.updateUnlisted(at)
}

// Confirm records that the store named this leader at the given time.
func (l *Lease) Confirm(at time.Duration) { l.confirmedAt = max(l.confirmedAt, at) }

// SetStoredFollowers sets the followers that the stored record of this leader
// lists, and the number of other hosts that it names.
func (l *Lease) SetStoredFollowers(hosts []uint64, absent int) {
	l.storedFollowers, l.storedAbsent = hosts, absent
}

// RecordFollower records a message of a host that follows this leader.
func (l *Lease) RecordFollower(host uint64, address string, now time.Duration) {
	l.followers[host] = follower{address: address, lastMessage: now}
	l.incarnations[address] = host
	l.updateUnlisted(now)
	for _, e := range l.earlier {
		if e.goneAt != 0 || e.Unlisted {
			continue
		}
		switch {
		case e.Incarnation == host, e.Address == address:
			// The earlier leader follows this one, or another process now has its
			// address.
			e.goneAt = now
		case e.endedAt == 0 && len(e.Followers) > 0 && l.countLost(e.EarlierLeader, now) > len(e.Followers)/2:
			e.endedAt = now
		}
	}
}

// updateUnlisted records whether unlisted leaders have ended.
func (l *Lease) updateUnlisted(now time.Duration) {
	for _, e := range l.earlier {
		if !e.Unlisted || e.goneAt != 0 || len(e.FollowerAddresses) == 0 {
			continue
		}
		switch missing := l.countMissing(e.FollowerAddresses); {
		case missing == 0:
			e.goneAt = now
		case missing == 1 && e.endedAt == 0:
			e.endedAt = now
		}
	}
}

// countMissing returns the number of addresses from which no process has followed
// this leader.
func (l *Lease) countMissing(addresses []string) int {
	n := 0
	for _, a := range addresses {
		if _, ok := l.incarnations[a]; !ok {
			n++
		}
	}
	return n
}

// countFollowers returns how many of the given hosts follow this leader.
func (l *Lease) countFollowers(hosts []uint64, now time.Duration) int {
	n := 0
	for _, h := range hosts {
		if l.follows(h, now) {
			n++
		}
	}
	return n
}

// follows reports whether a host follows this leader.
func (l *Lease) follows(host uint64, now time.Duration) bool {
	f, ok := l.followers[host]
	return host == l.self || (ok && now-f.lastMessage <= l.settings.FollowerTimeout)
}

// countLost returns how many of its listed followers an earlier leader has lost:
// they follow this leader, or another process has their address. Hosts that are
// restarted in turn while a data centre is cut off are counted only by the latter.
func (l *Lease) countLost(e EarlierLeader, now time.Duration) int {
	n := 0
	for i, h := range e.Followers {
		lost := l.follows(h, now)
		if !lost && len(e.FollowerAddresses) == len(e.Followers) {
			present, ok := l.incarnations[e.FollowerAddresses[i]]
			lost = ok && present != h
		}
		if lost {
			n++
		}
	}
	return n
}

// Valid reports whether this leader may act, that is, send grants.
func (l *Lease) Valid(now time.Duration) bool {
	age := now - l.confirmedAt
	if age <= l.settings.BaseDuration {
		return true
	}
	return age <= l.settings.ExtendedDuration && len(l.storedFollowers) > l.storedAbsent && l.countFollowers(l.storedFollowers, now) > len(l.storedFollowers)/2
}

// EarlierLeadersUntil returns the time after which no grant of any earlier leader
// arrives at a server.
func (l *Lease) EarlierLeadersUntil() time.Duration {
	until := l.claimedAt
	for _, e := range l.earlier {
		until = max(until, l.grantsUntil(e))
	}
	return until
}

// MovesFrom returns the time after which no earlier leader acts that could claim the
// leadership again if the store loses the claim of this leader. An unlisted leader
// cannot: its era of the store has ended.
func (l *Lease) MovesFrom() time.Duration {
	from := l.claimedAt
	for _, e := range l.earlier {
		if !e.Unlisted {
			from = max(from, l.grantsUntil(e))
		}
	}
	return from
}

// HasUnlisted reports whether leaders whose claims the store has lost may still act, or
// may have acted after this leader replaced them.
func (l *Lease) HasUnlisted() bool {
	return slices.ContainsFunc(l.earlier, func(e *earlierState) bool { return e.Unlisted })
}

// grantsUntil returns the time after which no grant of the given earlier
// leader arrives at a server.
func (l *Lease) grantsUntil(e *earlierState) time.Duration {
	until := e.replacedAt + l.settings.ExtendedDuration
	base := e.replacedAt + l.settings.BaseDuration
	switch {
	case e.endedAt != 0:
		until = min(until, max(base, e.endedAt+l.settings.FollowerTimeout))
	case len(e.Followers) == 0 && !e.Unlisted:
		until = base
	}
	if e.goneAt != 0 {
		until = min(until, e.goneAt)
	}
	return until + l.settings.CallTimeout
}

// EarlierLeaders returns the earlier leaders whose grants may still arrive,
// for the record of this leader.
func (l *Lease) EarlierLeaders(now time.Duration) []EarlierLeader {
	var leaders []EarlierLeader
	for _, e := range l.earlier {
		if now < l.grantsUntil(e) {
			leaders = append(leaders, e.EarlierLeader)
		}
	}
	return leaders
}

// Followers returns the incarnations of the hosts that follow this leader,
// including itself, in ascending order.
func (l *Lease) Followers(now time.Duration) []uint64 {
	hosts := []uint64{l.self}
	for h := range l.followers {
		if h != l.self && l.follows(h, now) {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Addresses returns the addresses of hosts that Followers returned, in the same
// order.
func (l *Lease) Addresses(hosts []uint64) []string {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		if addresses[i] = l.followers[h].address; h == l.self {
			addresses[i] = l.address
		}
	}
	return addresses
}
