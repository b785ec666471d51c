package capacity

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/placement/placebench"
)

// Guards against a residual that hides a point that is off the line.
func TestResidual(t *testing.T) {
	g := NewWithT(t)
	s := &Series{X: []float64{1, 2, 4, 8}, Y: []float64{12, 14, 18, 20}}
	g.Expect(s.Residual(placebench.Line{Base: 10, Slope: 2})).To(BeNumerically("~", 0.3, 1e-9))
	s.Y[3] = 26
	g.Expect(s.Residual(placebench.Fit(s.X, s.Y))).To(BeNumerically("~", 0, 1e-9))
}

// Guards against costs that were measured while the protocol stood still, for
// example without a leader or with shards that nobody owns.
func TestMeasuredWork(t *testing.T) {
	g := NewWithT(t)
	c, err := newCell(3, cellSlots)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.close()
	g.Expect(c.run(warmUp)).To(Succeed())
	for slot := range cellSlots {
		leaders := 0
		for _, h := range c.hosts {
			if _, _, ok := h.node.Leads(slot, c.now); ok {
				leaders++
			}
		}
		g.Expect(leaders).To(Equal(1), "slot %d", slot)
	}
	p, err := newPartition(4, fixedShards, false)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.settle()).To(Succeed())
	g.Expect(p.run(warmUp)).To(Succeed())
	g.Expect(p.leader.Counters().Expired).To(BeZero())
	g.Expect(p.leader.Counters().Grants).To(Equal(fixedShards))
}
