package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// RangeState is a range of keys as the leader sees it.
type RangeState struct {
	From, To int
	// Server is the server that may hold the keys; empty if none may.
	Server topology.ServerID
	// Next is the server that the keys are going to.
	Next topology.ServerID
	// Granted is true if the server can be sent requests on these keys.
	Granted bool
	// FreeAt is the time at which a key that is not held can be granted anew at
	// the latest; zero if it is not known.
	FreeAt time.Duration
	// Unreachable is true if the server does not answer grants.
	Unreachable bool
}

// Ranges calls f for each range in the order of keys.
func (l *Manager) Ranges(now time.Duration, f func(RangeState)) {
	for _, s := range l.segments {
		f(RangeState{
			From: s.from, To: s.to, Server: s.server, Next: s.next,
			Granted: s.usable(now, l.set.GrantDuration), FreeAt: l.free(s), Unreachable: s.failures >= unreachableAfter,
		})
	}
}

func (s *segment) usable(now, hold time.Duration) bool {
	return s.phase == held && now < s.renewed+hold
}
