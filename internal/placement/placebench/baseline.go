package placebench

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Policy is a placement policy under comparison.
type Policy struct {
	Name   string
	Decide func(placement.Input) placement.Plan
}

// Policies returns the policy of this project and its baselines.
func Policies() []Policy {
	return []Policy{
		{"lycheerudder", placement.Decide},
		{"static hash", StaticHash},
		{"bounded loads", BoundedLoads},
		{"bounded, sticky", StickyBoundedLoads},
		{"greedy", Greedy},
		{"greedy, trusting", TrustingGreedy},
	}
}

const (
	// ringPoints is the number of points of a server on the ring.
	ringPoints = 64
	// loadBound is the factor over the mean load that a server may have with
	// bounded loads; 1.25 is the usual choice.
	loadBound = 1.25
	// greedyPrior matches the prior of the project's policy, so that a server
	// without work has nominal weight.
	greedyPrior = 0.5
)

// StaticHash gives shard i to server i mod n of the servers that are live.
func StaticHash(in placement.Input) placement.Plan {
	live := liveServers(in)
	if len(live) == 0 {
		return placement.Plan{}
	}
	want := make([]topology.ServerID, len(in.Assignments))
	for i, a := range in.Assignments {
		want[i] = live[int(a.Ref.Shard)%len(live)].ID
	}
	return planTo(in, want)
}

// BoundedLoads is consistent hashing with bounded loads on the leader's
// measured loads: a shard goes to the first server after its point on the ring
// whose load stays under loadBound times the mean.
func BoundedLoads(in placement.Input) placement.Plan {
	live := liveServers(in)
	if len(live) == 0 {
		return placement.Plan{}
	}
	ring := newRing(live)
	var total float64
	for _, a := range in.Assignments {
		total += a.Load
	}
	limit := loadBound * total / float64(len(live))
	load := make([]float64, len(live))
	want := make([]topology.ServerID, len(in.Assignments))
	for i, a := range in.Assignments {
		s := ring.find(a.Ref.Shard, func(s int) bool { return load[s]+a.Load <= limit })
		load[s] += a.Load
		want[i] = live[s].ID
	}
	return planTo(in, want)
}

type ringPoint struct {
	hash   uint64
	server int
}

type ring []ringPoint

func newRing(live []placement.Server) ring {
	var r ring
	for i, s := range live {
		for p := range ringPoints {
			b := binary.LittleEndian.AppendUint32([]byte(s.ID), uint32(p))
			r = append(r, ringPoint{xxhash.Sum64(b), i})
		}
	}
	slices.SortFunc(r, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// find returns the first server at or after the shard's point that has room,
// and the first one if none has.
func (r ring) find(shard topology.ShardID, room func(int) bool) int {
	h := xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(shard)))
	start, _ := slices.BinarySearchFunc(r, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range r {
		if p := r[(start+i)%len(r)]; room(p.server) {
			return p.server
		}
	}
	return r[start%len(r)].server
}

// StickyBoundedLoads is BoundedLoads with one change: a shard stays where it is
// while its server is under the bound.
func StickyBoundedLoads(in placement.Input) placement.Plan {
	live := liveServers(in)
	if len(live) == 0 {
		return placement.Plan{}
	}
	index := make(map[topology.ServerID]int, len(live))
	for i, s := range live {
		index[s.ID] = i
	}
	var total float64
	load := make([]float64, len(live))
	want := make([]topology.ServerID, len(in.Assignments))
	for _, a := range in.Assignments {
		total += a.Load
		if s, ok := index[a.Server]; ok {
			load[s] += a.Load
		}
	}
	limit := loadBound * total / float64(len(live))
	ring := newRing(live)
	for i, a := range in.Assignments {
		from, owned := index[a.Server]
		if owned && load[from] <= limit {
			want[i] = a.Server
			continue
		}
		if owned {
			load[from] -= a.Load
		}
		s := ring.find(a.Ref.Shard, func(s int) bool { return load[s]+a.Load <= limit })
		load[s] += a.Load
		want[i] = live[s].ID
	}
	return planTo(in, want)
}

// Greedy moves the shard that helps most from the most to the least loaded
// server until nothing improves, in every tick. It divides loads by the speed
// of a server that the leader measured.
func Greedy(in placement.Input) placement.Plan {
	return runGreedy(in, func(s placement.Server) float64 { return s.BusySlots })
}

// TrustingGreedy is Greedy with the speed that the latest report of a server
// implies.
func TrustingGreedy(in placement.Input) placement.Plan {
	return runGreedy(in, func(s placement.Server) float64 {
		if n := len(s.Reports); n > 0 {
			return s.Reports[n-1].BusySlots
		}
		return s.BusySlots
	})
}

func runGreedy(in placement.Input, busy func(placement.Server) float64) placement.Plan {
	live := liveServers(in)
	if len(live) == 0 {
		return placement.Plan{}
	}
	g := newGreedy(in, live, busy)
	for range in.Assignments {
		if !g.step() {
			break
		}
	}
	want := make([]topology.ServerID, len(in.Assignments))
	for i, s := range g.owner {
		want[i] = live[s].ID
	}
	return planTo(in, want)
}

type greedy struct {
	units        []placement.Assignment
	owner        []int
	load, weight []float64
	count        []int
}

func newGreedy(in placement.Input, live []placement.Server, busy func(placement.Server) float64) *greedy {
	g := &greedy{
		units: in.Assignments, owner: make([]int, len(in.Assignments)),
		load: make([]float64, len(live)), weight: make([]float64, len(live)), count: make([]int, len(live)),
	}
	index := make(map[topology.ServerID]int, len(live))
	for i, s := range live {
		index[s.ID], g.weight[i] = i, (s.NominalLoad+greedyPrior)/(busy(s)+greedyPrior)
	}
	var unowned []int
	for i, a := range g.units {
		s, ok := index[a.Server]
		if !ok {
			unowned = append(unowned, i)
			continue
		}
		g.put(i, s)
	}
	slices.SortStableFunc(unowned, func(a, b int) int { return cmp.Compare(g.units[b].Load, g.units[a].Load) })
	for _, i := range unowned {
		g.put(i, g.extreme(-1))
	}
	return g
}

func (g *greedy) put(i, s int) {
	g.owner[i] = s
	g.load[s] += g.units[i].Load
	g.count[s]++
}

// extreme returns the server with the highest (sign 1) or lowest (sign -1)
// utilisation, and among equals the one with the most or fewest shards.
func (g *greedy) extreme(sign float64) int {
	best := 0
	for s := range g.load {
		d := sign * (g.load[s]/g.weight[s] - g.load[best]/g.weight[best])
		if d > 0 || (d == 0 && sign*float64(g.count[s]-g.count[best]) > 0) {
			best = s
		}
	}
	return best
}

func (g *greedy) step() bool {
	from, to := g.extreme(1), g.extreme(-1)
	best, bestMax := -1, g.load[from]/g.weight[from]-1e-9
	for i, s := range g.owner {
		if s != from || from == to || g.units[i].Load <= 0 {
			continue
		}
		l := g.units[i].Load
		if m := math.Max((g.load[from]-l)/g.weight[from], (g.load[to]+l)/g.weight[to]); m < bestMax {
			best, bestMax = i, m
		}
	}
	if best < 0 {
		return false
	}
	g.load[from] -= g.units[best].Load
	g.count[from]--
	g.put(best, to)
	return true
}

func liveServers(in placement.Input) []placement.Server {
	var live []placement.Server
	for _, s := range in.Servers {
		if s.State == placement.Live {
			live = append(live, s)
		}
	}
	slices.SortFunc(live, func(a, b placement.Server) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// planTo returns the moves from the present to the wanted owners.
func planTo(in placement.Input, want []topology.ServerID) placement.Plan {
	state := make(map[topology.ServerID]placement.State, len(in.Servers))
	for _, s := range in.Servers {
		state[s.ID] = s.State
	}
	var p placement.Plan
	for i, a := range in.Assignments {
		if a.Server == want[i] {
			continue
		}
		reason := placement.ReasonBalance
		if s, ok := state[a.Server]; !ok || s == placement.Lost {
			reason = placement.ReasonUnplaced
		} else if s == placement.Draining {
			reason = placement.ReasonDraining
		}
		p.Moves = append(p.Moves, placement.Move{Ref: a.Ref, From: a.Server, To: want[i], Reason: reason})
	}
	return p
}
