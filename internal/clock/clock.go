// Package clock provides the monotonic time that leases are measured with.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns a monotonic time as the duration since an arbitrary origin.
// Values of different processes cannot be compared.
type Clock interface {
	Now() time.Duration
}

// BootTime reads CLOCK_BOOTTIME. Unlike the monotonic clock of package time it
// also advances while the host is suspended, so a lease lapses during a
// suspend as well.
type BootTime struct{}

// Now implements Clock.
func (BootTime) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Monotonic reads the monotonic clock of package time, which testing/synctest
// replaces by virtual time.
type Monotonic struct{ start time.Time }

// NewMonotonic returns a Process clock that starts at zero.
func NewMonotonic() *Monotonic { return &Monotonic{start: time.Now()} }

// Now implements Clock.
func (p *Monotonic) Now() time.Duration { return time.Since(p.start) }

// Manual is a Clock that a test advances. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Duration
}

// Now implements Clock.
func (m *Manual) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
}
