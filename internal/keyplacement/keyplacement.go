// Package keyplacement decides which server should own each key of a service.
//
// It is made for skewed load: some keys get far more requests than others, these
// hot keys are adjacent, and the set of hot keys changes within seconds. Key ranges
// are therefore balanced by measured load, not by width, and can be split at any key.
//
// The package performs no I/O and reads no clock.
package keyplacement

import (
	"cmp"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Range is a range of keys with its current server.
type Range struct {
	From, To int
	Server   topology.ServerID
	// Next is the server that the range is moving to; empty if it stays.
	Next topology.ServerID
	// Movable is true if the server has a grant in force for the range.
	Movable bool
	// NeedsServer is true if the range must be assigned to another server, because
	// its own is draining or unreachable, or there is none.
	NeedsServer bool
}

// Server is a server that may own keys.
type Server struct {
	ID topology.ServerID
	// Capacity is the number of slots of the server, scaled by its speed relative
	// to the mean of all servers.
	Capacity float64
}

// Move assigns a range of keys to a server.
type Move struct {
	From, To int
	Server   topology.ServerID
}

// Settings of Plan.
type Settings struct {
	// MinMoves and ServersPerMove bound the moves of one plan that balance load:
	// one for each ServersPerMove servers, and at least MinMoves. With a fixed
	// number, a service with many servers follows a change of its load too slowly.
	// ServersPerMove is at least one.
	MinMoves, ServersPerMove int
	// MinUtilisationGap is the minimum difference in utilisation between two servers
	// for a move from one to the other.
	MinUtilisationGap float64
	// MaxRangesPerServer is the mean number of ranges per server above which ranges
	// with little load are joined with an adjacent one.
	MaxRangesPerServer float64
	// MinUtilisation is the utilisation below which no keys are moved away from a
	// server to balance load, except to a server without keys.
	MinUtilisation float64
}

// baseLoad is added to the measured load, spread evenly over all keys, so that keys
// without requests are divided evenly among servers as well.
const baseLoad = 0.5

type planner struct {
	sums    []float64
	servers []*serverLoad
	byID    map[topology.ServerID]*serverLoad
	ranges  []Range
	moves   []Move
	mean    float64 // utilisation of all servers together
}

// serverLoad is a server with the load of its keys, as planned so far.
type serverLoad struct {
	Server
	load float64
}

func (s *serverLoad) utilisation() float64 { return s.load / s.Capacity }

// Plan returns the moves to make: first for ranges that need a server, then for hot
// keys, then to balance the utilisation of servers, then to join ranges.
func Plan(ranges []Range, servers []Server, sums []float64, settings Settings) []Move {
	if len(servers) == 0 {
		return nil
	}
	p := &planner{sums: sums, byID: make(map[topology.ServerID]*serverLoad), ranges: slices.Clone(ranges)}
	for _, srv := range servers {
		s := &serverLoad{Server: srv}
		p.servers = append(p.servers, s)
		p.byID[srv.ID] = s
	}
	slices.SortFunc(p.servers, func(a, b *serverLoad) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range p.ranges {
		if s := p.byID[r.owner()]; s != nil && !r.NeedsServer {
			s.load += p.load(r.From, r.To)
		}
	}
	p.assignRanges()
	var load, capacity float64
	for _, s := range p.servers {
		load += s.load
		capacity += s.Capacity
	}
	p.mean = load / capacity
	p.placeHotKeys(max(settings.MinMoves, len(servers)/settings.ServersPerMove))
	moves := max(settings.MinMoves, len(servers)/settings.ServersPerMove)
	joins := max(minJoinsPerPlan, len(servers)/settings.ServersPerMove)
	rangeLimit := settings.MaxRangesPerServer * float64(len(servers))
	if float64(len(ranges)) > rangeLimit {
		// Most moves split a range. Above the limit, joins must outnumber them.
		moves = max(settings.MinMoves, joins/joinsPerMove)
	}
	for range moves {
		if !p.balance(settings) {
			break
		}
	}
	for range joins {
		if float64(len(p.ranges)) <= rangeLimit || !p.joinRange() {
			break
		}
	}
	return p.moves
}

const (
	// minJoinsPerPlan is the least bound of the moves of one plan that only join
	// ranges. With more servers, the bound is that of the moves that balance load.
	minJoinsPerPlan = 2
	// joinsPerMove is the ratio of joins to other moves while there are too many ranges: a
	// move splits off up to two of them.
	joinsPerMove = 2
	// maxJoinLoad is the load below which a range may be moved only to join it with
	// an adjacent one, as a fraction of the capacity of the server that receives it.
	maxJoinLoad = 0.04
	// maxJoinWidth limits the number of keys of such a range.
	maxJoinWidth = keymap.KeyCount / 64
)

// joinRange moves the range with the least load to the server of an adjacent range.
// It returns false if no range qualifies.
func (p *planner) joinRange() bool {
	index, best := -1, maxJoinLoad
	var to *serverLoad
	for i, r := range p.ranges {
		if r.Next != "" || !r.Movable || r.NeedsServer {
			continue
		}
		for _, j := range []int{i - 1, i + 1} {
			if j < 0 || j >= len(p.ranges) {
				continue
			}
			n := p.ranges[j]
			s := p.byID[n.Server]
			if n.Next != "" || n.NeedsServer || !n.Movable || s == nil || n.Server == r.Server {
				continue
			}
			wide := r.To-r.From > maxJoinWidth
			if l := p.load(r.From, r.To) / s.Capacity; l < best && !wide {
				index, best, to = i, l, s
			}
		}
	}
	if index < 0 {
		return false
	}
	r := p.ranges[index]
	to.load += p.load(r.From, r.To)
	p.moves = append(p.moves, Move{From: r.From, To: r.To, Server: to.ID})
	p.ranges[index].Next = to.ID
	return true
}

// owner returns the server that has the range once its planned move is done.
func (r Range) owner() topology.ServerID {
	if r.Next != "" {
		return r.Next
	}
	return r.Server
}

// load returns the load of the keys in [from, to], including the base load.
func (p *planner) load(from, to int) float64 {
	return p.sums[to+1] - p.sums[from] + baseLoad*float64(to+1-from)/keymap.KeyCount
}

// lastKeyWithin returns the last key of the longest range that starts at from, ends at
// or before to and has at most the given load; from-1 if the key from has more.
func (p *planner) lastKeyWithin(from, to int, load float64) int {
	lo, hi := from-1, to
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if p.load(from, mid) <= load {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}

// firstKeyWithin returns the first key of the longest range that ends at to, starts at
// or after from and has at most the given load; to+1 if the key to has more.
func (p *planner) firstKeyWithin(from, to int, load float64) int {
	lo, hi := from, to+1
	for lo < hi {
		mid := (lo + hi) / 2
		if p.load(mid, to) <= load {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// assignRanges assigns the ranges that need a server to the servers with the lowest
// utilisation, split so that each server gets about the mean utilisation.
func (p *planner) assignRanges() {
	var total, capacity float64
	for _, s := range p.servers {
		total += s.load
		capacity += s.Capacity
	}
	for _, r := range p.ranges {
		if r.NeedsServer {
			total += p.load(r.From, r.To)
		}
	}
	mean := total / capacity
	for _, r := range p.ranges {
		if !r.NeedsServer {
			continue
		}
		for from := r.From; from <= r.To; {
			s := p.leastUtilised(nil)
			spare := mean*s.Capacity - s.load
			to := max(from, p.lastKeyWithin(from, r.To, max(spare, total/capacity/8)))
			if remaining := p.load(min(to+1, r.To), r.To); to < r.To && remaining < spare/8 {
				to = r.To
			}
			s.load += p.load(from, to)
			p.moves = append(p.moves, Move{From: from, To: to, Server: s.ID})
			from = to + 1
		}
	}
}

// leastUtilised returns the server with the lowest utilisation that is not excluded; nil
// if there is none.
func (p *planner) leastUtilised(excluded map[*serverLoad]bool) *serverLoad {
	var least *serverLoad
	for _, s := range p.servers {
		if !excluded[s] && (least == nil || s.utilisation() < least.utilisation()) {
			least = s
		}
	}
	return least
}

// saturatedUtilisation is the utilisation above which a server gains nothing from a
// move of keys to another that is above it as well: both refuse requests. With 1.5, twice
// as many keys moved in a replay of an overloaded service, at the same value.
const saturatedUtilisation = 1.05

// balance moves a range from a server with high utilisation to the one with the
// lowest. It returns false if no move gains enough.
func (p *planner) balance(settings Settings) bool {
	low := p.leastUtilised(nil)
	if low.utilisation() > saturatedUtilisation {
		return false
	}
	byUtilisation := slices.Clone(p.servers)
	slices.SortStableFunc(byUtilisation, func(a, b *serverLoad) int { return cmp.Compare(b.utilisation(), a.utilisation()) })
	for _, high := range byUtilisation {
		lowIsEmpty := low.load == 0 && high != low
		if !lowIsEmpty && (high.utilisation() < settings.MinUtilisation || high.utilisation()-low.utilisation() < settings.MinUtilisationGap) {
			return false
		}
		// The server with the highest utilisation may have no range to move: its
		// ranges are moving already, or a single key causes its load.
		if p.moveBetween(high, low) {
			return true
		}
	}
	return false
}

// moveBetween moves a range from high to low so that the utilisation of both comes
// closer to their mean.
func (p *planner) moveBetween(high, low *serverLoad) bool {
	mean := (high.load + low.load) / (high.Capacity + low.Capacity)
	single := min(high.load-mean*high.Capacity, mean*low.Capacity-low.load)
	// A range of hot keys may have the load of many servers. The server that receives a
	// part of it would have to pass on what exceeds the mean of all servers.
	target := min(single, max(p.mean*fillFactor, low.utilisation()+minFill)*low.Capacity-low.load)
	index, from, to := p.selectRange(high.ID, low.ID, target, single)
	if index < 0 {
		return false
	}
	moved := p.load(from, to)
	high.load -= moved
	low.load += moved
	p.moves = append(p.moves, Move{From: from, To: to, Server: low.ID})
	p.split(index, from, to, low.ID)
	return true
}

// widthPenalty makes selectRange prefer ranges with few keys: their load counts less
// the more keys they have. Keys that move are not served for a moment, so that of the
// busy keys of a server the adjacent hot ones are moved, rather than a wide range.
const widthPenalty = 30

const (
	// fillFactor is the utilisation, as a multiple of the mean, up to which a server
	// receives part of a range of hot keys. With a lower one, more ranges are made than
	// MaxRangesPerServer permits (replays of 60 and 200 hot keys).
	fillFactor = 1.6
	// minFill is the least utilisation that a server receives in one move.
	minFill = 0.1
)

// minMoveShare is the fraction of the target load below which a range is not moved.
const minMoveShare = 0.08

// selectRange returns the keys to move from server high to server low, and the index
// of the range that contains them; -1 if there are none. It selects the candidate with
// the most load after widthPenalty; candidates at the ends of a range have at most the
// load target. Keys next to a range of server low are preferred, because the two
// become one range.
func (p *planner) selectRange(high, low topology.ServerID, target, single float64) (index, from, to int) {
	index = -1
	best := target * minMoveShare
	try := func(i, a, b int, bonus float64) {
		if a > b {
			return
		}
		l := p.load(a, b) * bonus / (1 + widthPenalty*float64(b+1-a)/keymap.KeyCount)
		if l > best {
			index, from, to, best = i, a, b, l
		}
	}
	const adjacentBonus = 1.2
	for i, r := range p.ranges {
		if r.Server != high || r.Next != "" || !r.Movable || r.NeedsServer {
			continue
		}
		leftBonus, rightBonus := 1.0, 1.0
		if i > 0 && p.ranges[i-1].owner() == low {
			leftBonus = adjacentBonus
		}
		if i+1 < len(p.ranges) && p.ranges[i+1].owner() == low {
			rightBonus = adjacentBonus
		}
		try(i, r.From, p.lastKeyWithin(r.From, r.To, target), leftBonus)
		try(i, p.firstKeyWithin(r.From, r.To, target), r.To, rightBonus)
		if key := p.findHotKey(r, target); key >= 0 {
			// A hot key inside the range limits how many keys fit at either end,
			// so the range is also split on both sides of that key.
			try(i, r.From, key-1, leftBonus)
			try(i, key+1, r.To, rightBonus)
			if p.load(key, key) <= single {
				try(i, key, key, 1)
			}
		}
	}
	return index, from, to
}

// findHotKey returns the key at which the load from the start of the range exceeds
// limit, if that key alone has more load than limit; otherwise -1.
func (p *planner) findHotKey(r Range, limit float64) int {
	if p.load(r.From, r.To) <= limit {
		return -1
	}
	key := p.lastKeyWithin(r.From, r.To, limit) + 1
	if key <= r.To && p.load(key, key) > limit {
		return key
	}
	return -1
}

// split splits a range so that the keys in [from, to] move to the server next.
func (p *planner) split(index, from, to int, next topology.ServerID) {
	old := p.ranges[index]
	var pieces []Range
	if old.From < from {
		left := old
		left.To = from - 1
		pieces = append(pieces, left)
	}
	moved := old
	moved.From, moved.To, moved.Next = from, to, next
	pieces = append(pieces, moved)
	if to < old.To {
		right := old
		right.From = to + 1
		pieces = append(pieces, right)
	}
	p.ranges = slices.Replace(p.ranges, index, index+1, pieces...)
}
