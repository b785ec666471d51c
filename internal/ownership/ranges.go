package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// RangeState is the state of a key range at the leader.
type RangeState struct {
	From, To int
	// Server is the current or last owner of the keys; empty if there was none.
	Server topology.ServerID
	// Next is the server that the keys are moving to; empty if they stay.
	Next topology.ServerID
	// Free is true if no server owns the keys.
	Free bool
	// Granted is true while the server's grant is in force, so that requests for
	// these keys can be sent to it.
	Granted bool
	// FreeAt is the time after which the server cannot own the keys any more unless
	// it gets another grant.
	FreeAt time.Duration
	// OwnerUnknown is true if any server may own the keys until FreeAt.
	OwnerUnknown bool
	// Unreachable is true if the last calls to the server have failed.
	Unreachable bool
}

// Ranges calls f for each key range, in the order of keys.
func (m *Manager) Ranges(now time.Duration, f func(RangeState)) {
	for _, r := range m.ranges {
		f(RangeState{
			From: r.from, To: r.to, Server: r.server, Next: r.next,
			Granted: r.grantInForce(now, m.settings.GrantDuration), Free: r.phase == free, FreeAt: m.freeAt(r), OwnerUnknown: r.ownerUnknown, Unreachable: r.failures >= unreachableAfter,
		})
	}
}

func (r *keyRange) grantInForce(now, grantDuration time.Duration) bool {
	return r.phase == granted && now < r.renewedAt+grantDuration
}
