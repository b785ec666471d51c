package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const none = -1

// unit is a shard or a split-off key while a plan is made.
type unit struct {
	Assignment
	node int
	// changed units are not touched again in the same plan. Pinned shards had
	// a key split off or joined, so they stay where they are in this plan.
	changed, pinned bool
}

// node is a server while a plan is made.
type node struct {
	Server
	weight float64
	load   float64
	cold   bool
	units  []int
}

func (n *node) utilisation() float64 { return n.load / n.weight }

// table is the working state of one decision.
type table struct {
	set   Settings
	units []unit
	nodes []node
	// live holds the indexes of live servers in seeded random order, which
	// decides between equal candidates.
	live  []int
	index map[topology.ServerID]int
	// hot maps shards to their hot keys. All shards of a partition belong to
	// one service.
	hot   map[topology.ShardID][]HotKey
	split int
	// total is the weight of all live servers, level their mean utilisation.
	total, level float64
	recent       int
	plan         Plan
}

func newTable(in Input) *table {
	t := &table{
		set: in.Settings, recent: in.RecentChanges,
		units: make([]unit, len(in.Assignments)), nodes: make([]node, len(in.Servers)),
		index: make(map[topology.ServerID]int, len(in.Servers)),
	}
	t.addServers(in)
	t.addUnits(in)
	t.addHotKeys(in.HotKeys)
	return t
}

func (t *table) addServers(in Input) {
	for i, s := range in.Servers {
		n := node{Server: s, weight: Capacity(s, t.set)}
		if s.State == Live && s.Slots > 0 {
			n.cold = s.StateAge < t.set.Warmup
			n.weight *= WarmupFraction(s.StateAge, t.set.Warmup)
			t.total += n.weight
			t.live = append(t.live, i)
		}
		t.nodes[i], t.index[s.ID] = n, i
	}
	rng := rand.New(rand.NewPCG(in.Seed, 0))
	rng.Shuffle(len(t.live), func(i, j int) { t.live[i], t.live[j] = t.live[j], t.live[i] })
}

func (t *table) addUnits(in Input) {
	var sum float64
	for i, a := range in.Assignments {
		u := unit{Assignment: a, node: none}
		sum += a.Load
		if n, ok := t.index[a.Server]; ok && t.nodes[n].State != Lost {
			u.node = n
			t.nodes[n].load += a.Load
			t.nodes[n].units = append(t.nodes[n].units, i)
		}
		if a.Ref.Key != "" {
			t.split++
		}
		t.units[i] = u
	}
	t.level = sum / max(t.total, math.SmallestNonzeroFloat64)
}

func (t *table) addHotKeys(keys []HotKey) {
	known := make(map[topology.ShardRef]bool, t.split)
	for i := range t.units {
		if t.units[i].Ref.Key != "" {
			known[t.units[i].Ref] = true
		}
	}
	t.hot = make(map[topology.ShardID][]HotKey)
	for _, k := range keys {
		if k.Ref.Key == "" || known[k.Ref] {
			continue
		}
		known[k.Ref] = true
		t.hot[k.Ref.Shard] = append(t.hot[k.Ref.Shard], k)
	}
}

// fairShare is the load of an average live server.
func (t *table) fairShare() float64 { return t.level * t.total / float64(len(t.live)) }

// hasRoom says whether a server can take load without going over its ramp.
func (t *table) hasRoom(n *node, load float64) bool {
	return !n.cold || n.load+load <= n.weight*t.level
}

// target returns the live server other than from with the lowest utilisation
// after it took the load, among those that have room. Servers of equal
// utilisation are compared by their number of units, so that shards without
// load are spread as well.
func (t *table) target(from int, load float64) int {
	best, bestAt := none, 0.0
	for _, i := range t.live {
		n := &t.nodes[i]
		if i == from || !t.hasRoom(n, load) {
			continue
		}
		at := (n.load + load) / n.weight
		if best == none || at < bestAt || (at == bestAt && t.emptier(n, &t.nodes[best])) {
			best, bestAt = i, at
		}
	}
	return best
}

// anyTarget returns the least utilised live server, warm ones first, without
// regard to the ramp.
func (t *table) anyTarget(load float64) int {
	return slices.MinFunc(t.live, func(a, b int) int {
		x, y := &t.nodes[a], &t.nodes[b]
		if x.cold != y.cold {
			if x.cold {
				return 1
			}
			return -1
		}
		return cmp.Compare((x.load+load)/x.weight, (y.load+load)/y.weight)
	})
}

func (t *table) emptier(a, b *node) bool {
	return float64(len(a.units))*b.weight < float64(len(b.units))*a.weight
}

// assign moves a unit within the table.
func (t *table) assign(i, to int) {
	u := &t.units[i]
	if u.node != none {
		t.removeUnit(u.node, i)
	}
	t.nodes[to].load += u.Load
	t.nodes[to].units = append(t.nodes[to].units, i)
	u.node, u.changed = to, true
}

func (t *table) removeUnit(from, i int) {
	n := &t.nodes[from]
	n.load -= t.units[i].Load
	n.units = slices.DeleteFunc(n.units, func(x int) bool { return x == i })
}

func (t *table) move(i, to int, reason Reason) {
	u := &t.units[i]
	t.plan.Moves = append(t.plan.Moves, Move{Ref: u.Ref, From: u.Server, To: t.nodes[to].ID, Reason: reason})
	t.assign(i, to)
}
