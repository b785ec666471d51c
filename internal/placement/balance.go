package placement

import (
	"cmp"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// idleUtilisation is the mean utilisation below which nothing is balanced or
// split: requests do not queue there, and the measured loads are mostly noise.
const idleUtilisation = 0.02

// candidate is a change that balance may make: it moves a unit, or splits a key
// off it, to another server.
type candidate struct {
	unit int
	// key is the key to split off, or nil to move the unit.
	key *HotKey
	to  int
	// netBenefit is the value of the reduced imbalance over Settings.Horizon
	// minus the cost of the change.
	netBenefit float64
}

// joinCooledKeys joins split-off keys whose load fell below JoinShare. It first
// joins the keys whose shard is at the same server, because this causes no
// unavailable time.
func (p *planner) joinCooledKeys(budget int) {
	if budget == 0 || p.splitKeys == 0 {
		return
	}
	shards := p.shardUnits()
	joined := 0
	for _, remote := range []bool{false, true} {
		for i := range p.units {
			u := &p.units[i]
			shard, ok := shards[u.Ref.Shard]
			if !ok {
				continue
			}
			if joined == budget {
				return
			}
			to := p.units[shard].owner
			if !p.canJoin(u, to) || (u.owner != to) != remote {
				continue
			}
			p.plan.Joins = append(p.plan.Joins, Join{Key: u.Ref, From: u.Server, To: p.servers[to].ID})
			p.assign(i, to)
			p.units[shard].pinned = true
			joined++
		}
	}
}

// canJoin reports whether the unit is a cooled key that may join its shard at
// the server.
func (p *planner) canJoin(u *unit, to int) bool {
	return u.Ref.Key != "" && !u.changed && u.OwnedFor >= p.settings.MinOwnedFor &&
		u.Load < p.settings.JoinShare*p.fairShare() &&
		p.servers[to].State == Live && (u.owner == to || p.fitsWarmup(&p.servers[to], u.Load))
}

// shardUnits returns the unit index of each shard that this plan has not changed.
func (p *planner) shardUnits() map[topology.ShardID]int {
	index := make(map[topology.ShardID]int, len(p.units))
	for i := range p.units {
		if u := &p.units[i]; u.Ref.Key == "" && !u.changed {
			index[u.Ref.Shard] = i
		}
	}
	return index
}

// splitHotKeys splits off keys whose load exceeds the fair share of a server even
// if the estimate is too high by its full error. A key stays at its server if
// moving it would not reduce the imbalance; its shard can then be moved away
// from it. It returns the number of splits.
func (p *planner) splitHotKeys(budget int) int {
	if p.meanUtilisation < idleUtilisation || len(p.hotKeys) == 0 {
		return 0
	}
	done := 0
	for i := range len(p.units) {
		if p.units[i].Ref.Key != "" {
			continue
		}
		for _, k := range p.hotKeys[p.units[i].Ref.Shard] {
			if done == budget || p.splitKeys >= p.settings.MaxSplitKeys {
				return done
			}
			if p.canSplit(i) && p.minKeyLoad(i, k) > p.fairShare() {
				p.splitKey(i, k, p.betterServer(i, p.minKeyLoad(i, k)))
				done++
			}
		}
	}
	return done
}

// canSplit reports whether keys can be split off the unit: it is a shard at a
// live server that this plan has not changed.
func (p *planner) canSplit(i int) bool {
	u := &p.units[i]
	return !u.changed && u.Ref.Key == "" && u.owner != noServer && p.servers[u.owner].State == Live
}

// minKeyLoad returns the load of the key if the estimate is too high by its full
// error, at most the load of the unit.
func (p *planner) minKeyLoad(i int, k HotKey) float64 {
	return min(k.Load-k.Error, p.units[i].Load)
}

// betterServer returns the best target for the given load of the unit, or the
// unit's owner if moving the load would not reduce the imbalance.
func (p *planner) betterServer(i int, load float64) int {
	from := p.units[i].owner
	to := p.bestTarget(from, load)
	if to == noServer || p.imbalanceReduction(from, to, load) <= 0 {
		return from
	}
	return to
}

// splitKey adds to the plan that the key is split off and owned by server to.
func (p *planner) splitKey(i int, k HotKey, to int) {
	load, from := p.minKeyLoad(i, k), p.units[i].owner
	p.plan.Splits = append(p.plan.Splits, Split{Key: k.Ref, From: p.servers[from].ID, To: p.servers[to].ID, Load: load})
	p.units[i].Load -= load
	p.units[i].pinned = true
	p.servers[from].load -= load
	p.units = append(p.units, unit{
		Assignment: Assignment{Ref: k.Ref, Server: p.servers[to].ID, Load: load}, owner: noServer,
	})
	p.assign(len(p.units)-1, to)
	p.splitKeys++
	shard := k.Ref.Shard
	p.hotKeys[shard] = slices.DeleteFunc(slices.Clone(p.hotKeys[shard]), func(o HotKey) bool { return o.Ref == k.Ref })
}

// balance makes changes until the budget is spent or no change is worth its
// cost, and returns their number. Every change reduces the imbalance by a fixed
// minimum, because it has to be worth at least Weights.Churn. So balancing ends
// under constant load.
func (p *planner) balance(budget int) int {
	if p.meanUtilisation < idleUtilisation {
		return 0
	}
	minGap := p.settings.StartGap
	if p.recentChanges > 0 {
		minGap = p.settings.StopGap
	}
	for done := range budget {
		c, ok := p.bestCandidate(minGap)
		if !ok {
			return done
		}
		minGap = p.settings.StopGap
		if c.key != nil {
			p.splitKey(c.unit, *c.key, c.to)
			continue
		}
		p.move(c.unit, c.to, ReasonBalance)
	}
	return budget
}

// bestCandidate returns the best change of the most utilised server that has
// one worth its cost. It only considers servers whose utilisation exceeds the
// lowest one by more than minGap times the mean.
func (p *planner) bestCandidate(minGap float64) (candidate, bool) {
	sources := slices.Clone(p.live)
	slices.SortStableFunc(sources, func(a, b int) int {
		return cmp.Compare(p.servers[b].utilisation(), p.servers[a].utilisation())
	})
	targets := p.balanceTargets()
	if len(targets) == 0 {
		return candidate{}, false
	}
	for _, from := range sources {
		if p.servers[from].utilisation()-p.servers[targets[0]].utilisation() <= minGap*p.meanUtilisation {
			break
		}
		if c := p.bestCandidateFrom(from, targets); c.netBenefit > 0 {
			return c, true
		}
	}
	return candidate{}, false
}

// balanceTargets returns the least utilised server that its warm-up allows to
// take load. If this server is warming up, the least utilised warm server
// follows it, because the warm-up may leave too little for the smallest shard.
func (p *planner) balanceTargets() []int {
	first := p.bestTarget(noServer, 0)
	if first == noServer || !p.servers[first].warmingUp {
		return slices.DeleteFunc([]int{first}, func(i int) bool { return i == noServer })
	}
	targets := []int{first}
	warm := p.bestTargetIgnoringWarmup(0)
	if !p.servers[warm].warmingUp {
		targets = append(targets, warm)
	}
	return targets
}

// bestCandidateFrom returns the change with the highest net benefit that takes
// load off the server, or a zero candidate if none has a positive one.
func (p *planner) bestCandidateFrom(from int, targets []int) candidate {
	var best candidate
	consider := func(c candidate, load, keyCount float64) {
		if !p.fitsWarmup(&p.servers[c.to], load) {
			return
		}
		c.netBenefit = p.imbalanceReduction(from, c.to, load)*p.settings.Weights.Imbalance*p.settings.Horizon.Seconds() - p.cost(keyCount)
		if c.netBenefit > best.netBenefit {
			best = c
		}
	}
	for _, i := range p.servers[from].units {
		u := &p.units[i]
		if u.changed {
			continue
		}
		for _, to := range targets {
			if to == from {
				continue
			}
			if u.OwnedFor >= p.settings.MinOwnedFor && !u.pinned {
				consider(candidate{unit: i, to: to}, u.Load, p.keyCount(u.Ref))
			}
			p.considerHotKeys(i, to, consider)
		}
	}
	return best
}

// considerHotKeys calls consider for each hot key of the unit that is above
// SplitShare.
func (p *planner) considerHotKeys(i, to int, consider func(candidate, float64, float64)) {
	if p.splitKeys >= p.settings.MaxSplitKeys || !p.canSplit(i) {
		return
	}
	keys := p.hotKeys[p.units[i].Ref.Shard]
	for k := range keys {
		if load := p.minKeyLoad(i, keys[k]); load > p.settings.SplitShare*p.fairShare() {
			consider(candidate{unit: i, key: &keys[k], to: to}, load, 1)
		}
	}
}

// keyCount returns the number of keys that are unavailable while ref moves.
func (p *planner) keyCount(ref topology.ShardRef) float64 {
	if ref.Key != "" {
		return 1
	}
	return p.settings.KeysPerShard
}

// cost returns the cost of one change that makes keyCount keys unavailable.
func (p *planner) cost(keyCount float64) float64 {
	return p.settings.Weights.Churn + p.settings.Weights.Unavailable*keyCount*p.settings.MoveTime.Seconds()
}

// imbalanceReduction returns by how much the imbalance falls if the load moves
// from one server to another. The imbalance is the mean, weighted by capacity,
// of the squared relative deviation from the mean utilisation.
func (p *planner) imbalanceReduction(from, to int, load float64) float64 {
	a, b := &p.servers[from], &p.servers[to]
	return p.imbalanceTerm(a, a.load) + p.imbalanceTerm(b, b.load) -
		p.imbalanceTerm(a, a.load-load) - p.imbalanceTerm(b, b.load+load)
}

// imbalanceTerm returns what the server would contribute to the imbalance with
// the given load.
func (p *planner) imbalanceTerm(s *serverState, load float64) float64 {
	deviation := load/(s.capacity*p.meanUtilisation) - 1
	return deviation * deviation * s.capacity / p.totalCapacity
}
