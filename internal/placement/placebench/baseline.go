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

// Policies returns placement.Decide, followed by the baselines that it is compared
// with.
func Policies() []Policy {
	return []Policy{
		{"lycheerudder", placement.Decide},
		{"static hash", StaticHash},
		{"bounded loads", BoundedLoads},
		{"bounded, sticky", StickyBoundedLoads},
		{"greedy", Greedy},
		{"greedy, trusting", GreedyByReports},
	}
}

const (
	// ringPoints is the number of points of a server on the hash ring.
	ringPoints = 64
	// loadBound is the maximum load of a server with bounded loads, as a multiple
	// of the mean load; 1.25 is the usual choice.
	loadBound = 1.25
	// greedyPrior is added to both loads in the ratio that gives the capacity of a
	// server, so that a server without measurements counts as one of nominal speed.
	// placement.Decide uses the same value.
	greedyPrior = 0.5
)

// StaticHash assigns shard i to server i mod n of the n live servers.
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

// BoundedLoads is consistent hashing with bounded loads. It uses the shard loads
// that the leader measured: a shard is assigned to the first server at or after its
// point on the ring whose load does not exceed loadBound times the mean.
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

// find returns the first server at or after the shard's point on the ring for which
// fits returns true. If there is none, it ignores fits.
func (r ring) find(shard topology.ShardID, fits func(int) bool) int {
	h := xxhash.Sum64(binary.LittleEndian.AppendUint32(nil, uint32(shard)))
	start, _ := slices.BinarySearchFunc(r, h, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for i := range r {
		if p := r[(start+i)%len(r)]; fits(p.server) {
			return p.server
		}
	}
	return r[start%len(r)].server
}

// StickyBoundedLoads is BoundedLoads except that a shard stays on its server while
// the load of that server does not exceed the bound.
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

// Greedy moves shards from the most to the least utilised server, each time the one
// that lowers the higher of the two utilisations most, until no move lowers it. The
// utilisation is the load divided by the capacity, which follows from the speed that
// the leader measured.
func Greedy(in placement.Input) placement.Plan {
	return runGreedy(in, func(s placement.Server) float64 { return s.BusySlots })
}

// GreedyByReports is Greedy with the speed that follows from the latest report of a
// server. It does not check the reports.
func GreedyByReports(in placement.Input) placement.Plan {
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
	g := newGreedyState(in, live, busy)
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

type greedyState struct {
	units          []placement.Assignment
	owner          []int
	load, capacity []float64
	shards         []int
}

func newGreedyState(in placement.Input, live []placement.Server, busy func(placement.Server) float64) *greedyState {
	g := &greedyState{
		units: in.Assignments, owner: make([]int, len(in.Assignments)),
		load: make([]float64, len(live)), capacity: make([]float64, len(live)), shards: make([]int, len(live)),
	}
	index := make(map[topology.ServerID]int, len(live))
	for i, s := range live {
		index[s.ID], g.capacity[i] = i, (s.NominalLoad+greedyPrior)/(busy(s)+greedyPrior)
	}
	var unowned []int
	for i, a := range g.units {
		s, ok := index[a.Server]
		if !ok {
			unowned = append(unowned, i)
			continue
		}
		g.assign(i, s)
	}
	slices.SortStableFunc(unowned, func(a, b int) int { return cmp.Compare(g.units[b].Load, g.units[a].Load) })
	for _, i := range unowned {
		g.assign(i, g.extremeServer(-1))
	}
	return g
}

func (g *greedyState) assign(i, s int) {
	g.owner[i] = s
	g.load[s] += g.units[i].Load
	g.shards[s]++
}

// extremeServer returns the server with the highest (sign 1) or lowest (sign -1)
// utilisation. Of servers with equal utilisation it returns the one with the most or
// the fewest shards.
func (g *greedyState) extremeServer(sign float64) int {
	best := 0
	for s := range g.load {
		d := sign * (g.load[s]/g.capacity[s] - g.load[best]/g.capacity[best])
		if d > 0 || (d == 0 && sign*float64(g.shards[s]-g.shards[best]) > 0) {
			best = s
		}
	}
	return best
}

// step makes the best move from the most to the least utilised server and reports
// whether there was one.
func (g *greedyState) step() bool {
	from, to := g.extremeServer(1), g.extremeServer(-1)
	best, bestMax := -1, g.load[from]/g.capacity[from]-1e-9
	for i, s := range g.owner {
		if s != from || from == to || g.units[i].Load <= 0 {
			continue
		}
		l := g.units[i].Load
		if m := math.Max((g.load[from]-l)/g.capacity[from], (g.load[to]+l)/g.capacity[to]); m < bestMax {
			best, bestMax = i, m
		}
	}
	if best < 0 {
		return false
	}
	g.load[from] -= g.units[best].Load
	g.shards[from]--
	g.assign(best, to)
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

// planTo returns the moves that change the owners to those in want, which holds one
// server per assignment.
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
