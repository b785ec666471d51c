package leaderlease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

// Replays a leader whose host runs five times slower, so that its ticks come
// late. Guards against a leader that holds up all requests, and against one that
// resigns because of a single pause.
func TestSlowLeader(t *testing.T) {
	g := NewWithT(t)
	var l leaderlease.TickLagMonitor
	for range 100 {
		g.Expect(l.Observe(3 * time.Millisecond)).To(BeFalse())
	}
	g.Expect(l.Observe(500 * time.Millisecond)).To(BeFalse())
	for range 50 {
		l.Observe(3 * time.Millisecond)
	}
	slow := 0
	for !l.Observe(60 * time.Millisecond) {
		slow++
	}
	g.Expect(slow).To(BeNumerically("<", 25), "a second at most")
}
