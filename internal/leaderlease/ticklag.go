package leaderlease

import "time"

// TickLagMonitor judges whether a leader has enough processor: all requests wait for it, so
// a host that is slowed down must make room for another one.
type TickLagMonitor struct {
	mean time.Duration
}

const (
	// lagTicks is the number of ticks over which the delay is averaged: a second.
	lagTicks = 25
	// maxLag is the mean delay above which a leader is too slow. It is a tenth of
	// the latency objective of urgent requests.
	maxLag = 30 * time.Millisecond
)

// Observe records by how much a tick was late and reports whether the leader is
// too slow.
func (l *TickLagMonitor) Observe(late time.Duration) bool {
	l.mean += (max(0, late) - l.mean) / lagTicks
	return l.mean > maxLag
}

// Mean returns the mean delay.
func (l *TickLagMonitor) Mean() time.Duration { return l.mean }
