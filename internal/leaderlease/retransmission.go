package leaderlease

import (
	"math"
	"time"
)

// RetransmissionMonitor detects a leader that responds too slowly by the share
// of routing requests that other hosts repeat. A host repeats a request that
// gets no decision within a few round trips; later it stops waiting and
// decides for itself.
//
// TickLagMonitor does not detect a host that is slowed down in the middle of a
// burst: datagrams queue before the leader reads them, so its own timers are
// hardly late, while the other hosts stop waiting and decide for themselves.
// Packet loss makes hosts repeat some requests; a slow leader makes them
// repeat or stop waiting for most.
type RetransmissionMonitor struct {
	newRequests, repeated float64 // decaying counts
	updatedAt             time.Duration
}

const (
	// decayTime is the time constant of the decay of the counts.
	decayTime = 400 * time.Millisecond
	// maxRepeatedRatio is the accepted ratio of repeated to new requests. A loss
	// of one datagram in ten in each direction causes less than half of it.
	maxRepeatedRatio = 0.4
	// maxDeviations is the number of standard deviations by which the count of
	// repeated requests may exceed that ratio by chance.
	maxDeviations = 3
	// minRequests is the number of requests below which no leader is considered
	// too slow.
	minRequests = 40
)

// Observe records the number of new requests, and of repeated ones: those that
// arrived again although they had been decided, or that a host stopped waiting
// for. It reports whether the leader is too slow.
func (m *RetransmissionMonitor) Observe(newRequests, repeated int, now time.Duration) bool {
	retained := max(0, 1-float64(now-m.updatedAt)/float64(decayTime))
	m.updatedAt = now
	m.newRequests = m.newRequests*retained + float64(newRequests)
	m.repeated = m.repeated*retained + float64(repeated)
	return m.newRequests+m.repeated >= minRequests && m.repeated > maxRepeatedRatio*m.newRequests+maxDeviations*math.Sqrt(m.newRequests)
}

// Ratio returns the recent ratio of repeated to new requests.
func (m *RetransmissionMonitor) Ratio() float64 { return m.repeated / max(1, m.newRequests) }
