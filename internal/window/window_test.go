package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/window"
)

// Guards against counts that are kept after the window has passed or dropped
// before: a retry budget would then allow too many retries or too few.
func TestCountsSlide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const length = 10 * time.Second
		var c window.Counts
		var retriedAt []time.Duration
		now := time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "start")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			c.Advance(now, length)
			c.CountRetry()
			retriedAt = append(retriedAt, now)
			least, most := 0.0, 0.0
			for _, at := range retriedAt {
				if now-at < length-length/10 {
					least++
				}
				if now-at < length {
					most++
				}
			}
			_, n := c.Sums()
			g.Expect(n).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		}
	})
}

// Guards against a division by zero for a window of length zero, which no
// deployment has, and against counts from the time before the first request.
func TestCountsWithZeroLength(t *testing.T) {
	g := NewWithT(t)
	var c window.Counts
	c.Advance(time.Hour, 0)
	c.CountRequest()
	requests, retries := c.Sums()
	g.Expect(requests).To(Equal(1.0))
	g.Expect(retries).To(BeZero())
}
