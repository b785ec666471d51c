// Package clock provides the monotonic clocks that measure leases, and a sleep that
// a context ends.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock. Now returns the time since an arbitrary origin, so
// values of different processes cannot be compared.
type Clock interface {
	Now() time.Duration
}

// BootTime reads CLOCK_BOOTTIME. Unlike the monotonic clock of package time it
// also advances while the host is suspended, so leases expire during a suspend
// too.
type BootTime struct{}

// Now implements Clock.
func (BootTime) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Monotonic reads the monotonic clock of package time. In a testing/synctest
// bubble that is virtual time.
type Monotonic struct{ start time.Time }

// NewMonotonic returns a clock that starts at zero.
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
