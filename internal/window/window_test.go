package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/window"
)

// Guards against counts that outlive their window or vanish early: a budget of
// retries would then exceed its bound, or refuse what it permits.
func TestCountsSlide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const length = 10 * time.Second
		var c window.Counts
		var at []time.Duration
		now := time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "start")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			c.Advance(now, length)
			c.CountRetry()
			at = append(at, now)
			least, most := 0.0, 0.0
			for _, a := range at {
				if now-a < length-length/10 {
					least++
				}
				if now-a < length {
					most++
				}
			}
			_, n := c.Sums()
			g.Expect(n).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		}
	})
}

// Guards against a division by zero with a window that no deployment has, and
// against counts of the time before the first request.
func TestCountsWithoutLength(t *testing.T) {
	g := NewWithT(t)
	var c window.Counts
	c.Advance(time.Hour, 0)
	c.CountRequest()
	requests, retries := c.Sums()
	g.Expect(requests).To(Equal(1.0))
	g.Expect(retries).To(BeZero())
}
