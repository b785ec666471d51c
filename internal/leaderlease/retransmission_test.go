package leaderlease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

// Simulates a leader with 1,500 requests/s. Guards against a leader that resigns
// because of packet loss, and against a leader that stays although its datagrams
// queue: at a large site, one stayed for 2.2 s of a burst.
func TestRetransmissionMonitor(t *testing.T) {
	g := NewWithT(t)
	const tick = 40 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	var m leaderlease.RetransmissionMonitor
	now := time.Duration(0)
	observe := func(newRequests int, repeats func() int) bool {
		now += tick
		repeated := 0
		for range newRequests {
			repeated += repeats()
		}
		return m.Observe(newRequests, repeated, now)
	}
	lossy := func() int {
		n := 0
		for n < 3 && random.Float64() < 0.19 { // 10% loss in each direction
			n++
		}
		return n
	}
	for range 500 {
		g.Expect(observe(60, lossy)).To(BeFalse())
	}
	// A decision takes 120 ms, so each request arrives two more times.
	queued := func() int { return 2 }
	ticks := 0
	for !observe(60, queued) {
		ticks++
	}
	g.Expect(ticks).To(BeNumerically("<", 10), "0.4 s at most")
	// Too few requests to consider the leader slow.
	m = leaderlease.RetransmissionMonitor{}
	for range 50 {
		g.Expect(observe(1, queued)).To(BeFalse())
	}
}
