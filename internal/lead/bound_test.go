package lead

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReleasedBound guards against a successor that does not know how long the
// grants of a released leadership may last: a server that cannot be reached
// would keep its shards while another one gets them. The check must fail
// without the bound.
func TestReleasedBound(t *testing.T) {
	for _, off := range []unsafeSwitches{{}, {ignoreBound: true}} {
		t.Run(map[bool]string{false: "with the bound", true: "without it"}[off.ignoreBound], func(t *testing.T) {
			g := NewWithT(t)
			missed := 0
			for seed := range uint64(6) {
				s := newSim(t, seed, 3)
				s.unsafe = off
				for _, h := range s.hosts {
					h.node.unsafe = off
				}
				s.run(time.Duration(seed*37) * ms)
				old := s.settle()
				_, until, ok := old.node.Leads(0, old.clock(s.now))
				g.Expect(ok).To(BeTrue())
				end := s.now + until - old.clock(s.now) // on the simulation's clock
				old.node.Release(0, old.clock(s.now))
				s.run(50 * ms)
				next := s.leader()
				g.Expect(next).NotTo(BeNil())
				g.Expect(next).NotTo(BeIdenticalTo(old))
				now := next.clock(s.now)
				if s.now+next.node.EarlierUntil(0, now)-now < end-2*ms {
					missed++
				}
			}
			if off.ignoreBound {
				g.Expect(missed).To(Equal(6))
			} else {
				g.Expect(missed).To(BeZero())
			}
		})
	}
}
