package logging

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one kind to PerSecond in each second. It is safe for concurrent
// use; the zero value permits no lines.
type Limiter struct {
	PerSecond int

	mu      sync.Mutex
	second  int64
	lines   int
	omitted int
}

// Allow reports whether a line may be written now, a time since an arbitrary origin. With the
// first line of a second it returns the number of lines that were omitted since the last line
// that was written.
func (l *Limiter) Allow(now time.Duration) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now / time.Second); s != l.second {
		l.second, l.lines = s, 0
	}
	if l.lines >= l.PerSecond {
		l.omitted++
		return false, 0
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}
