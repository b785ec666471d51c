package clock

import (
	"context"
	"time"
)

// Sleep waits for d or the end of the context. It returns false if the context
// ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
