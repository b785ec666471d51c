package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// ChangeKind distinguishes the ways in which a key range loses or gets its owner.
type ChangeKind uint8

// Kinds of changes.
const (
	// Released means that the owner has responded to a release.
	Released ChangeKind = iota
	// Expired means that all grants of the owner must have expired.
	Expired
	// Assigned means that the store names a new owner.
	Assigned
	// Returned means that released keys stay with their owner, because their move cannot
	// be stored.
	Returned
	// Granted means that the owner has accepted the first grant of this leader, or the first
	// one after a fence that it had not taken.
	Granted
)

// String returns the name used in logs.
func (k ChangeKind) String() string {
	return [...]string{"released", "expired", "assigned", "returned", "granted"}[k]
}

// Change is a change of the owner of a key range, with the inputs that decided it.
type Change struct {
	Kind     ChangeKind
	From, To int
	// Server is the owner that the keys had, or for Assigned, Returned and Granted the one
	// that they have now; empty if any server could own them.
	Server topology.ServerID
	// Registered is true if the last list of servers has Server.
	Registered bool
	// LatestExpiry is the time at which the last grant of this leader must have expired,
	// EarlierUntil the time until which grants of earlier leaders may have arrived; zero
	// unless Kind is Expired. EarlierUntil is also zero if Server has accepted a grant of
	// this leader, which shuts out those of earlier ones.
	LatestExpiry, EarlierUntil time.Duration
	// Fence is the fence of the last grant, or of the first one to a new owner.
	Fence int64
}

// maxChanges bounds the changes that are kept for TakeChanges: the buffer of the log holds
// fewer lines, and all ranges may change at once.
const maxChanges = 1024

// TakeChanges returns the changes since the last call, at most maxChanges of them, and the
// number of further ones.
func (m *Manager) TakeChanges() (changes []Change, omitted int) {
	changes, omitted = m.changes, m.omittedChanges
	m.changes, m.omittedChanges = nil, 0
	return changes, omitted
}

// recordChange records a change of the owner of a range.
func (m *Manager) recordChange(kind ChangeKind, r *keyRange) {
	if len(m.changes) == maxChanges {
		m.omittedChanges++
		return
	}
	c := Change{Kind: kind, From: r.from, To: r.to, Server: r.server, Fence: r.fence}
	_, c.Registered = m.servers[r.server]
	if kind == Expired {
		c.LatestExpiry = r.latestExpiry
		if r.earlierGrants {
			c.EarlierUntil = m.earlierUntil
		}
	}
	m.changes = append(m.changes, c)
}
