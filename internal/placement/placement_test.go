package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// warm is a time since the start that is longer than the warm-up.
const warm = time.Hour

func shard(n int) topology.ShardRef {
	return topology.ShardRef{Service: "booking", Shard: topology.ShardID(n)}
}

func key(n int) topology.ShardRef {
	r := shard(n)
	r.Key = "hot"
	return r
}

func server(id string) placement.Server {
	return placement.Server{ID: topology.ServerID(id), StateAge: warm, Slots: 2, NominalLoad: 1, BusySlots: 1}
}

// input returns servers a, b and c, which own four shards of load 0.25 each.
func input() placement.Input {
	in := placement.Input{Settings: placement.HrJadranSettings(), Seed: 1}
	for i, id := range []string{"a", "b", "c"} {
		in.Servers = append(in.Servers, server(id))
		for s := range 4 {
			in.Assignments = append(in.Assignments, placement.Assignment{
				Ref: shard(4*i + s), Server: topology.ServerID(id), OwnedFor: warm, Load: 0.25,
			})
		}
	}
	return in
}

func loads(as []placement.Assignment) map[topology.ServerID]float64 {
	sum := make(map[topology.ServerID]float64)
	for _, a := range as {
		sum[a.Server] += a.Load
	}
	return sum
}

// Each entry names the situation and, after the colon, the failure that it guards
// against.
var _ = DescribeTable("rules",
	func(change func(*placement.Input), check func(placement.Input, placement.Plan)) {
		in := input()
		change(&in)
		Expect(in.Settings.Validate()).To(Succeed())
		check(in, placement.Decide(in))
	},
	Entry("balanced load: churn without benefit", func(*placement.Input) {}, func(_ placement.Input, p placement.Plan) {
		Expect(p).To(Equal(placement.Plan{}))
	}),
	Entry("no live server: shards placed at a server that cannot serve them", func(in *placement.Input) {
		for i := range in.Servers {
			in.Servers[i].State = placement.Lost
		}
	}, func(_ placement.Input, p placement.Plan) { Expect(p).To(Equal(placement.Plan{})) }),
	Entry("lost server: shards left without an owner by the limit on changes", func(in *placement.Input) {
		in.Servers[0].State = placement.Lost
		in.RecentChanges = in.Settings.MaxChanges
	}, func(in placement.Input, p placement.Plan) {
		Expect(p.Moves).To(HaveLen(4))
		Expect(loads(placement.Apply(in.Assignments, p))).To(Equal(map[topology.ServerID]float64{"b": 1.5, "c": 1.5}))
	}),
	Entry("draining server: shards left after the drain time", func(in *placement.Input) {
		in.Servers[0].State = placement.Draining
		in.Servers[0].StateAge = 2 * time.Second
		in.RecentChanges = in.Settings.MaxChanges
	}, func(in placement.Input, p placement.Plan) {
		Expect(p.Moves).To(HaveEach(HaveField("Reason", placement.ReasonDraining)))
		Expect(loads(placement.Apply(in.Assignments, p))).NotTo(HaveKey(topology.ServerID("a")))
	}),
	Entry("draining server: all shards unavailable in the same tick", func(in *placement.Input) {
		in.Servers[0].State, in.Servers[0].StateAge = placement.Draining, 0
	}, func(_ placement.Input, p placement.Plan) { Expect(p.Moves).To(HaveLen(2)) }),
	Entry("started server: more load than its warm-up allows", func(in *placement.Input) {
		in.Servers = append(in.Servers, server("d"))
		in.Servers[3].StateAge = 4 * time.Second
	}, func(in placement.Input, p placement.Plan) {
		// The total load of 3 is spread over a capacity of 3.5 servers, of which d
		// has 0.5.
		Expect(loads(placement.Apply(in.Assignments, p))["d"]).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.5*3/3.5)))
	}),
	Entry("recently moved shards: moved again before the minimum time at their server", func(in *placement.Input) {
		for i := range in.Assignments {
			in.Assignments[i].Server, in.Assignments[i].OwnedFor = "a", time.Second
		}
	}, func(_ placement.Input, p placement.Plan) { Expect(p).To(Equal(placement.Plan{})) }),
	Entry("small imbalance: moves within the hysteresis", func(in *placement.Input) {
		in.Settings.StartGap = 0.3
		in.Assignments[0].Load += 0.25
	}, func(_ placement.Input, p placement.Plan) { Expect(p).To(Equal(placement.Plan{})) }),
	Entry("costly moves: a shard moved although its unavailable time costs more than the benefit", func(in *placement.Input) {
		in.Settings.Weights.Unavailable = 100
		in.Assignments[0].Load = 1
		in.HotKeys = []placement.HotKey{{Ref: key(0), Load: 0.5}}
	}, func(_ placement.Input, p placement.Plan) {
		Expect(p.Moves).To(BeEmpty())
		Expect(p.Splits).To(HaveLen(1), "one key costs less than its shard")
	}),
	Entry("key hotter than a fair share: a server that stays overloaded", func(in *placement.Input) {
		in.Assignments[0].Load = 2
		in.HotKeys = []placement.HotKey{{Ref: key(0), Load: 2, Error: 0.25}}
	}, func(in placement.Input, p placement.Plan) {
		Expect(p.Splits).To(ConsistOf(placement.Split{Key: key(0), From: "a", To: p.Splits[0].To, Load: 1.75}))
		for _, l := range loads(placement.Apply(in.Assignments, p)) {
			Expect(l).To(BeNumerically("<=", 2))
		}
	}),
	Entry("hot key of a moving shard: split at a server that does not own it", func(in *placement.Input) {
		in.Servers[0].State = placement.Draining
		in.Assignments[0].Load = 5
		in.HotKeys = []placement.HotKey{{Ref: key(0), Load: 5}}
	}, func(_ placement.Input, p placement.Plan) {
		Expect(p.Moves).To(ContainElement(HaveField("Ref", shard(0))))
		Expect(p.Splits).To(BeEmpty())
	}),
	Entry("uncertain key: split although the estimate may be all error", func(in *placement.Input) {
		in.HotKeys = []placement.HotKey{{Ref: key(0), Load: 3, Error: 3}}
	}, func(_ placement.Input, p placement.Plan) { Expect(p.Splits).To(BeEmpty()) }),
	Entry("split-off key that is still hot: split off a second time", func(in *placement.Input) {
		in.Assignments[0].Ref = key(1)
		in.HotKeys = []placement.HotKey{{Ref: key(1), Load: 9}}
	}, func(_ placement.Input, p placement.Plan) { Expect(p.Splits).To(BeEmpty()) }),
	Entry("cooled key: never joined with its shard again", func(in *placement.Input) {
		in.Assignments[0].Ref, in.Assignments[0].Load = key(5), 0.001
	}, func(in placement.Input, p placement.Plan) {
		Expect(p.Joins).To(ConsistOf(placement.Join{Key: key(5), From: "a", To: "b"}))
		Expect(placement.Apply(in.Assignments, p)).To(HaveLen(11))
	}),
)

// Guards against a server that steers placement by its reports.
var _ = DescribeTable("capacity",
	func(nominalLoad, busySlots float64, reports []float64, age time.Duration, lowest, highest float64) {
		s := server("a")
		s.NominalLoad, s.BusySlots = nominalLoad, busySlots
		for _, r := range reports {
			s.Reports = append(s.Reports, placement.Report{BusySlots: r, Age: age})
		}
		capacity := placement.Capacity(s, placement.CommonSettings())
		Expect(capacity).To(And(BeNumerically(">=", lowest-1e-9), BeNumerically("<=", highest+1e-9)))
	},
	Entry("nominal speed", 1.0, 1.0, nil, time.Second, 2.0, 2.0),
	Entry("a slow server has less capacity", 0.5, 1.5, nil, time.Second, 0.9, 1.1),
	Entry("one misleading report has no effect", 1.0, 1.0, []float64{1, 0, 1}, time.Second, 2.0, 2.0),
	Entry("a single report has no effect", 1.0, 1.0, []float64{0}, time.Second, 2.0, 2.0),
	Entry("old reports have no effect", 1.0, 1.0, []float64{0, 0, 0}, time.Minute, 2.0, 2.0),
	Entry("a server that always reports idle slots gains less than 25%", 0.25, 0.25, []float64{0, 0, 0}, time.Second, 2.25, 2.25),
	Entry("a server that always reports too many busy slots loses at most 25%", 0.0, 0.0, []float64{99, 99, 99}, time.Second, 1.5, 1.5),
	Entry("reports have no effect at enough measured load", 0.5, 0.5, []float64{99, 99, 99}, time.Second, 2.0, 2.0),
)

// Guards against a started server that gets its full load at once, or never.
var _ = DescribeTable("warm-up", func(uptime time.Duration, fraction float64) {
	Expect(placement.WarmupFraction(uptime, 10*time.Second)).To(Equal(fraction))
},
	Entry("first step", time.Duration(0), 0.1),
	Entry("half way", 5*time.Second, 0.6),
	Entry("end", 10*time.Second, 1.0),
)

// Guards against settings with which Decide cannot keep its guarantees.
var _ = DescribeTable("invalid settings", func(change func(*placement.Settings)) {
	s := placement.KingstonSettings()
	Expect(s.Validate()).To(Succeed())
	change(&s)
	Expect(s.Validate()).NotTo(Succeed())
},
	Entry("report bound over 25%", func(s *placement.Settings) { s.ReportBound = 0.3 }),
	Entry("changes without a cost", func(s *placement.Settings) { s.Weights.Churn = 0 }),
	Entry("inverted hysteresis", func(s *placement.Settings) { s.StopGap = s.StartGap + 1 }),
	Entry("join share close to split share", func(s *placement.Settings) { s.JoinShare = s.SplitShare }),
	Entry("negative limit", func(s *placement.Settings) { s.MaxChanges = -1 }),
	Entry("drain shorter than a tick", func(s *placement.Settings) { s.DrainWithin = 0 }),
)

func ExampleDecide() {
	in := input()
	in.Assignments[0].Load = 0.75
	for _, m := range placement.Decide(in).Moves {
		fmt.Println(m.Ref, m.From, m.Reason)
	}
	// Output: booking/1 a balance
}
