package leaderlease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

// Replays a leader with 1,500 questions/s. Guards against a leader that resigns
// because links lose packets, and against one that stays while its datagrams
// queue: on a grown site it stayed for 2.2 s of a burst.
func TestRepeats(t *testing.T) {
	g := NewWithT(t)
	const tick = 40 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var r leaderlease.RetransmissionMonitor
	now := time.Duration(0)
	step := func(first int, repeated func() int) bool {
		now += tick
		again := 0
		for range first {
			again += repeated()
		}
		return r.Observe(first, again, now)
	}
	lossy := func() int {
		n := 0
		for n < 3 && random.Float64() < 0.19 { // 10% lost each way
			n++
		}
		return n
	}
	for range 500 {
		g.Expect(step(60, lossy)).To(BeFalse())
	}
	// An answer takes 120 ms: two repetitions of each question arrive.
	queued := func() int { return 2 }
	late := 0
	for !step(60, queued) {
		late++
	}
	g.Expect(late).To(BeNumerically("<", 10), "0.4 s at most")
	// A few hosts ask: nothing can be judged.
	r = leaderlease.RetransmissionMonitor{}
	for range 50 {
		g.Expect(step(1, queued)).To(BeFalse())
	}
}
