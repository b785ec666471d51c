package leaderlease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
)

// Observes the ticks of a leader whose host runs five times slower. Guards
// against a slow leader that stays and delays all requests, and against a
// leader that resigns because of a single pause.
func TestTickLagMonitor(t *testing.T) {
	g := NewWithT(t)
	var m leaderlease.TickLagMonitor
	for range 100 {
		g.Expect(m.Observe(3 * time.Millisecond)).To(BeFalse())
	}
	g.Expect(m.Observe(500 * time.Millisecond)).To(BeFalse())
	for range 50 {
		m.Observe(3 * time.Millisecond)
	}
	ticks := 0
	for !m.Observe(60 * time.Millisecond) {
		ticks++
	}
	g.Expect(ticks).To(BeNumerically("<", 25), "a second at most")
}
