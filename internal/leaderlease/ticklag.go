package leaderlease

import "time"

// TickLagMonitor detects a leader that has too little CPU by the delay of its
// ticks. All requests wait for the leader, so a host that is slowed down must
// hand over the leadership.
type TickLagMonitor struct {
	mean time.Duration // moving average of the delay
}

const (
	// averagedTicks is the number of ticks over which the delay is averaged. They
	// take a second.
	averagedTicks = 25
	// maxMeanLag is the mean delay above which a leader is too slow: a tenth of
	// the latency objective of urgent requests.
	maxMeanLag = 30 * time.Millisecond
)

// Observe records the delay of a tick and reports whether the leader is too slow.
func (m *TickLagMonitor) Observe(delay time.Duration) bool {
	m.mean += (max(0, delay) - m.mean) / averagedTicks
	return m.mean > maxMeanLag
}

// Mean returns the mean delay of recent ticks.
func (m *TickLagMonitor) Mean() time.Duration { return m.mean }
