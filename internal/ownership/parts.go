package ownership

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Part is a range of keys as the leader sees it.
type Part struct {
	From, To int
	// Server is the server that may hold the keys; empty if none may.
	Server topology.ServerID
	// Next is the server that the keys are going to.
	Next topology.ServerID
	// Held is true if the server can be sent requests on these keys.
	Held bool
	// Free is the time at which a key that is not held can be granted anew at
	// the latest; zero if it is not known.
	Free time.Duration
	// Lost is true if the server does not answer grants.
	Lost bool
}

// Parts calls f for each range in the order of keys.
func (l *Leader) Parts(now time.Duration, f func(Part)) {
	for _, s := range l.segments {
		f(Part{
			From: s.from, To: s.to, Server: s.server, Next: s.next,
			Held: s.usable(now, l.set.Hold), Free: l.free(s), Lost: s.failures >= unreachableAfter,
		})
	}
}

func (s *segment) usable(now, hold time.Duration) bool {
	return s.phase == held && now < s.renewed+hold
}
