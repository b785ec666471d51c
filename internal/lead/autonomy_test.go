package lead

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestMaxAutonomy guards against a data centre that acts alone for longer than
// operators allow, and against one that does not lead again after the outage.
func TestMaxAutonomy(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, 3)
	for _, h := range s.hosts {
		h.node.SetMaxAutonomy(6 * time.Second)
	}
	g.Expect(s.settle()).NotTo(BeNil())
	s.logDown = true
	s.run(5 * time.Second)
	g.Expect(s.leader()).NotTo(BeNil(), "within the limit")
	s.run(2 * time.Second)
	g.Expect(s.leader()).To(BeNil(), "beyond the limit")
	s.heal()
	s.run(10 * time.Second)
	g.Expect(s.Violation).To(BeEmpty())
	g.Expect(s.leader()).NotTo(BeNil(), "after the outage")
}
