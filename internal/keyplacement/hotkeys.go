package keyplacement

import (
	"cmp"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
)

const (
	// hotKeyShare is the load of a single key, as a fraction of its server's capacity,
	// above which the key is moved to a server of more capacity. The load of a key is
	// measured from few requests: with 0.7, keys of servers with two slots moved that
	// were not hot.
	hotKeyShare = 1
	// minCapacityRatio is the minimum ratio of the capacities of the two servers.
	minCapacityRatio = 1.25
	// ownServerShare is the load of a single key, as a fraction of its server's
	// capacity, above which the server gets rid of all its other keys: their requests
	// would wait behind those of a key that needs all its slots.
	ownServerShare = 1
	// largestShare is the fraction of the highest capacity that a server needs to be
	// given a hot key. Of these, the one with the least other load has to move the
	// fewest keys.
	largestShare = 0.9
	// hotKeysPerPlan bounds the hot keys that one plan moves.
	hotKeysPerPlan = 4
)

// hotKey is a key that takes most of the capacity of its server.
type hotKey struct {
	key  int
	load float64
}

// hotKeys returns the hot keys of ranges that can move, those with the most load first.
func (p *planner) hotKeys() []hotKey {
	least := p.servers[0].Capacity
	for _, s := range p.servers {
		least = min(least, s.Capacity)
	}
	var hot []hotKey
	for key := range keymap.KeyCount {
		// Most keys have far less load, and no look at their range.
		if p.sums[key+1]-p.sums[key] <= hotKeyShare*least {
			continue
		}
		r := p.ranges[p.rangeOf(key)]
		if s := p.byID[r.owner()]; s != nil && !r.NeedsServer && p.load(key, key) > hotKeyShare*s.Capacity {
			hot = append(hot, hotKey{key, p.load(key, key)})
		}
	}
	slices.SortFunc(hot, func(a, b hotKey) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.key, b.key))
	})
	return hot
}

// rangeOf returns the index of the range that contains a key.
func (p *planner) rangeOf(key int) int {
	i, _ := slices.BinarySearchFunc(p.ranges, key, func(r Range, key int) int { return cmp.Compare(r.To, key) })
	return min(i, len(p.ranges)-1)
}

// placeHotKeys moves each key that takes most of its server's capacity to a server with
// about the highest capacity, because a single key cannot be split, and the other keys
// of that server away from it. A server gets one such key only.
func (p *planner) placeHotKeys(moves int) {
	taken := make(map[*serverLoad]bool)
	for _, hot := range p.hotKeys() {
		if len(taken) == hotKeysPerPlan {
			return
		}
		i := p.rangeOf(hot.key)
		owner := p.byID[p.ranges[i].owner()]
		if best := p.hotKeyServer(taken); best != nil && (taken[owner] || best.Capacity >= minCapacityRatio*owner.Capacity) && p.canMove(i) {
			p.moveTo(i, hot.key, hot.key, owner, best)
			owner = best
		}
		taken[owner] = true
		if hot.load >= ownServerShare*owner.Capacity {
			moves -= p.moveOthers(hot.key, owner, taken, moves)
		}
	}
}

// canMove reports whether the range with an index may be moved by this plan.
func (p *planner) canMove(index int) bool {
	r := p.ranges[index]
	return r.Next == "" && r.Movable && !r.NeedsServer
}

// moveTo moves the keys [from, to] of a range to another server.
func (p *planner) moveTo(index, from, to int, old, next *serverLoad) {
	l := p.load(from, to)
	old.load -= l
	next.load += l
	p.moves = append(p.moves, Move{From: from, To: to, Server: next.ID})
	p.split(index, from, to, next.ID)
}

// hotKeyServer returns the server for a hot key: of those with about the highest capacity
// the one with the least load.
func (p *planner) hotKeyServer(taken map[*serverLoad]bool) *serverLoad {
	highest := 0.0
	for _, s := range p.servers {
		if !taken[s] {
			highest = max(highest, s.Capacity)
		}
	}
	var best *serverLoad
	for _, s := range p.servers {
		if !taken[s] && s.Capacity >= largestShare*highest && (best == nil || s.load < best.load) {
			best = s
		}
	}
	return best
}

// moveOthers moves the keys of a server except the given one to the servers with the
// lowest utilisation, in at most the given number of moves, and returns their number.
func (p *planner) moveOthers(key int, owner *serverLoad, taken map[*serverLoad]bool, limit int) (moves int) {
	for i := 0; i < len(p.ranges) && moves < limit; i++ {
		r := p.ranges[i]
		if r.Server != owner.ID || !p.canMove(i) || r.From == key && r.To == key {
			continue
		}
		from, to := r.From, r.To
		switch {
		case from < key && key <= to:
			to = key - 1
		case from == key:
			from++
		}
		low := p.leastUtilised(taken)
		if low == nil || low.utilisation() > saturatedUtilisation {
			return moves
		}
		// Parts of a range fill several servers up to the mean.
		spare := max(p.mean*fillFactor, low.utilisation()+minFill)*low.Capacity - low.load
		to = max(from, p.lastKeyWithin(from, to, spare))
		p.moveTo(i, from, to, owner, low)
		moves++
	}
	return moves
}
