package placebench

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func TestPlacebench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placebench")
}

func newPartition() placement.Input {
	in := placement.Input{Settings: placement.CommonSettings()}
	for _, id := range []topology.ServerID{"s0", "s1", "s2", "s3"} {
		in.Servers = append(in.Servers, placement.Server{ID: id, StateAge: time.Hour, Slots: slots, NominalLoad: 1, BusySlots: 1})
	}
	for i := range 64 {
		in.Assignments = append(in.Assignments, placement.Assignment{
			Ref: topology.ShardRef{Service: "bench", Shard: topology.ShardID(i)}, Load: float64(i%7) / 64, OwnedFor: time.Hour,
		})
	}
	return in
}

// Guards against an unfair comparison: a baseline that leaves shards without a live
// owner, exceeds its load bound or makes further changes on the same input.
var _ = DescribeTable("baselines",
	func(decide func(placement.Input) placement.Plan, bound float64) {
		in := newPartition()
		in.Assignments = placement.Apply(in.Assignments, decide(in))
		Expect(decide(in)).To(Equal(placement.Plan{}), "second decision on the same loads")
		in.Servers[0].State, in.Servers[1].State = placement.Lost, placement.Draining
		in.Assignments = placement.Apply(in.Assignments, decide(in))
		load := make(map[topology.ServerID]float64)
		var total float64
		for _, a := range in.Assignments {
			Expect(a.Server).To(BeElementOf(topology.ServerID("s2"), topology.ServerID("s3")))
			load[a.Server] += a.Load
			total += a.Load
		}
		Expect(max(load["s2"], load["s3"])).To(BeNumerically("<=", bound*total/2))
	},
	Entry("static hash", StaticHash, 2.0),
	Entry("bounded loads", BoundedLoads, loadBound),
	Entry("bounded loads, sticky", StickyBoundedLoads, loadBound),
	Entry("greedy", Greedy, 1.05),
	Entry("greedy, trusting", GreedyByReports, 1.05),
)

var _ = Describe("model", func() {
	// Guards against errors in the queueing model: one server with two slots is an
	// M/M/2 queue, whose wait exceeds t with probability C exp(-(2/s - rate) t), where
	// s is the mean service time and C is 1/3 at a utilisation of one half.
	It("agrees with the M/M/2 queue", func() {
		// One run has about 600 waits above the percentile, and they come in bursts. The
		// error of the percentile of four runs is below the tolerance.
		const runs = 4
		var r Result
		for seed := range uint64(runs) {
			one := newModel(StaticHash, placement.CommonSettings(), 1, seed).run(Scenario{})
			r.merge(&one, seed, "")
		}
		rate := baseUtilisation * slots / meanService
		want := math.Log(1.0/3/0.01) / (slots/meanService - rate)
		Expect(r.percentile(0.99)).To(BeNumerically("~", want, 0.05*want))
		Expect(r.requests).To(BeNumerically("~", runs*rate*runTime, 0.01*runs*rate*runTime))
	})

	// Guards against results that cannot be reproduced from the seed.
	It("gives the same result for the same seed", func() {
		sc := Scenarios()[2]
		a := newModel(placement.Decide, placement.KingstonSettings(), 3, 7).run(sc)
		Expect(newModel(placement.Decide, placement.KingstonSettings(), 3, 7).run(sc)).To(Equal(a))
	})

	// Guards against a loss whose unavailable time is not counted: the keys of the lost
	// server are unavailable for the time of detection and of the next grant.
	It("counts the unavailable time of a loss", func() {
		m := newModel(StaticHash, placement.CommonSettings(), 2, 1)
		r := m.run(Scenarios()[2])
		var lost float64
		for s := 0; s < shardsPerPartition; s += 2 {
			lost += m.keysPerShard[s]
		}
		Expect(r.Unavailable).To(BeNumerically("~", lost*(detectTime+grantTime), 1e-6*lost))
	})
})

// Guards against errors in the least-squares fit.
var _ = DescribeTable("linear fit", func(y []float64, base, slope, residual float64) {
	l := Fit([]float64{1, 2, 3, 4}, y)
	Expect([]float64{l.Base, l.Slope, l.Residual}).To(HaveExactElements(
		BeNumerically("~", base, 1e-9), BeNumerically("~", slope, 1e-9), BeNumerically("~", residual, 1e-9)))
},
	Entry("exact line", []float64{3, 5, 7, 9}, 1.0, 2.0, 0.0),
	Entry("constant", []float64{4, 4, 4, 4}, 4.0, 0.0, 0.0),
	Entry("points off the line", []float64{1, -1, -1, 1}, 0.0, 0.0, 1.0),
)
