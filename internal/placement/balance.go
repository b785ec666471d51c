package placement

import (
	"cmp"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// idleLevel is the mean utilisation below which balancing and splitting stop:
// requests do not queue there, and the measured loads are mostly noise.
const idleLevel = 0.02

// change is a candidate for balancing: a unit, or a key of the unit.
type change struct {
	unit int
	key  *HotKey
	to   int
	net  float64
}

// joinCooled joins split-off keys whose load fell under the join share. Keys
// that are at the server of their shard already come first: joining them costs
// no unavailable time.
func (t *table) joinCooled(budget int) {
	if budget == 0 || t.split == 0 {
		return
	}
	shards := t.shardUnits()
	done := 0
	for _, apart := range []bool{false, true} {
		for i := range t.units {
			u := &t.units[i]
			shard, ok := shards[u.Ref.Shard]
			if !ok {
				continue
			}
			if done == budget {
				return
			}
			to := t.units[shard].node
			if !t.joinable(u, to) || (u.node != to) != apart {
				continue
			}
			t.plan.Joins = append(t.plan.Joins, Join{Key: u.Ref, From: u.Server, To: t.nodes[to].ID})
			t.assign(i, to)
			t.units[shard].pinned = true
			done++
		}
	}
}

func (t *table) joinable(u *unit, to int) bool {
	return u.Ref.Key != "" && !u.changed && u.OwnedFor >= t.set.MinOwnedFor &&
		u.Load < t.set.JoinShare*t.fairShare() &&
		t.nodes[to].State == Live && (u.node == to || t.hasRoom(&t.nodes[to], u.Load))
}

// shardUnits returns the index of each whole shard that has not changed in
// this plan.
func (t *table) shardUnits() map[topology.ShardID]int {
	index := make(map[topology.ShardID]int, len(t.units))
	for i := range t.units {
		if u := &t.units[i]; u.Ref.Key == "" && !u.changed {
			index[u.Ref.Shard] = i
		}
	}
	return index
}

// splitHot splits off keys that are certainly hotter than a server's fair
// share. A key stays at its server if no other one would be less utilised
// with it; its shard can then be moved away from it.
func (t *table) splitHot(budget int) int {
	if t.level < idleLevel || len(t.hot) == 0 {
		return 0
	}
	done := 0
	for i := range len(t.units) {
		if t.units[i].Ref.Key != "" {
			continue
		}
		for _, k := range t.hot[t.units[i].Ref.Shard] {
			if done == budget || t.split >= t.set.MaxSplitKeys {
				return done
			}
			if t.splittable(i) && t.keyLoad(i, k) > t.fairShare() {
				t.splitKey(i, k, t.betterNode(i, t.keyLoad(i, k)))
				done++
			}
		}
	}
	return done
}

func (t *table) splittable(i int) bool {
	u := &t.units[i]
	return !u.changed && u.Ref.Key == "" && u.node != none && t.nodes[u.node].State == Live
}

// keyLoad is the part of the unit's load that certainly belongs to the key.
func (t *table) keyLoad(i int, k HotKey) float64 {
	return min(k.Load-k.Error, t.units[i].Load)
}

func (t *table) betterNode(i int, load float64) int {
	from := t.units[i].node
	to := t.target(from, load)
	if to == none || t.gain(from, to, load) <= 0 {
		return from
	}
	return to
}

// splitKey makes the key a unit of its own at server to.
func (t *table) splitKey(i int, k HotKey, to int) {
	load, from := t.keyLoad(i, k), t.units[i].node
	t.plan.Splits = append(t.plan.Splits, Split{Key: k.Ref, From: t.nodes[from].ID, To: t.nodes[to].ID, Load: load})
	t.units[i].Load -= load
	t.units[i].pinned = true
	t.nodes[from].load -= load
	t.units = append(t.units, unit{
		Assignment: Assignment{Ref: k.Ref, Server: t.nodes[to].ID, Load: load}, node: none,
	})
	t.assign(len(t.units)-1, to)
	t.split++
	shard := k.Ref.Shard
	t.hot[shard] = slices.DeleteFunc(slices.Clone(t.hot[shard]), func(o HotKey) bool { return o.Ref == k.Ref })
}

// balance makes the most valuable change of the most utilised server until
// none is worth its cost. Every change lowers the same potential by a fixed
// minimum, so under constant load balancing comes to an end.
func (t *table) balance(budget int) int {
	if t.level < idleLevel {
		return 0
	}
	band := t.set.StartGap
	if t.recent > 0 {
		band = t.set.StopGap
	}
	for done := range budget {
		c, ok := t.bestChange(band)
		if !ok {
			return done
		}
		band = t.set.StopGap
		if c.key != nil {
			t.splitKey(c.unit, *c.key, c.to)
			continue
		}
		t.move(c.unit, c.to, ReasonBalance)
	}
	return budget
}

func (t *table) bestChange(band float64) (change, bool) {
	sources := slices.Clone(t.live)
	slices.SortStableFunc(sources, func(a, b int) int {
		return cmp.Compare(t.nodes[b].utilisation(), t.nodes[a].utilisation())
	})
	targets := t.lowest()
	if len(targets) == 0 {
		return change{}, false
	}
	for _, from := range sources {
		if t.nodes[from].utilisation()-t.nodes[targets[0]].utilisation() <= band*t.level {
			break
		}
		if c := t.bestFrom(from, targets); c.net > 0 {
			return c, true
		}
	}
	return change{}, false
}

// lowest returns the least utilised server with room, followed by the least
// utilised warm one if the first is cold: a cold server may have less room
// than the smallest shard needs.
func (t *table) lowest() []int {
	first := t.target(none, 0)
	if first == none || !t.nodes[first].cold {
		return slices.DeleteFunc([]int{first}, func(i int) bool { return i == none })
	}
	targets := []int{first}
	warm := t.anyTarget(0)
	if !t.nodes[warm].cold {
		targets = append(targets, warm)
	}
	return targets
}

// bestFrom returns the change with the highest net value that takes load off
// a server, or a zero change if none has a positive value.
func (t *table) bestFrom(from int, targets []int) change {
	var best change
	consider := func(c change, load, keys float64) {
		if !t.hasRoom(&t.nodes[c.to], load) {
			return
		}
		c.net = t.gain(from, c.to, load)*t.set.Weights.Imbalance*t.set.Horizon.Seconds() - t.cost(keys)
		if c.net > best.net {
			best = c
		}
	}
	for _, i := range t.nodes[from].units {
		u := &t.units[i]
		if u.changed {
			continue
		}
		for _, to := range targets {
			if to == from {
				continue
			}
			if u.OwnedFor >= t.set.MinOwnedFor && !u.pinned {
				consider(change{unit: i, to: to}, u.Load, t.keys(u.Ref))
			}
			t.considerKeys(i, to, consider)
		}
	}
	return best
}

func (t *table) considerKeys(i, to int, consider func(change, float64, float64)) {
	if t.split >= t.set.MaxSplitKeys || !t.splittable(i) {
		return
	}
	keys := t.hot[t.units[i].Ref.Shard]
	for k := range keys {
		if load := t.keyLoad(i, keys[k]); load > t.set.SplitShare*t.fairShare() {
			consider(change{unit: i, key: &keys[k], to: to}, load, 1)
		}
	}
}

func (t *table) keys(ref topology.ShardRef) float64 {
	if ref.Key != "" {
		return 1
	}
	return t.set.KeysPerShard
}

// cost is the price of one planned change.
func (t *table) cost(keys float64) float64 {
	return t.set.Weights.Churn + t.set.Weights.Unavailable*keys*t.set.MoveTime.Seconds()
}

// gain is the decrease of the imbalance when load goes from one server to
// another. The imbalance is the mean, weighted by server weight, of the
// squared relative deviation from the mean utilisation.
func (t *table) gain(from, to int, load float64) float64 {
	a, b := &t.nodes[from], &t.nodes[to]
	return t.deviation(a, a.load) + t.deviation(b, b.load) -
		t.deviation(a, a.load-load) - t.deviation(b, b.load+load)
}

func (t *table) deviation(n *node, load float64) float64 {
	d := load/(n.weight*t.level) - 1
	return d * d * n.weight / t.total
}
