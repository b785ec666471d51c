// Package keyplacement decides which server each key of a service should have.
//
// The load pattern that it answers: some keys are far busier than others, busy
// keys are neighbours, and which keys are busy changes within seconds. Ranges
// are therefore weighed by measured load, not by width, and cut at single keys.
//
// The package performs no I/O and reads no clock.
package keyplacement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// memory is the time constant of the measurement: hot sets last for seconds.
const memory = 1500 * time.Millisecond

// Meter measures the load of each key as the mean number of busy slots.
type Meter struct {
	loads []float64
	// scale is the weight of a new observation; it grows with time instead of
	// all loads shrinking.
	scale float64
	last  time.Duration
	total float64
}

// NewMeter returns a Meter without load.
func NewMeter() *Meter { return &Meter{loads: make([]float64, keymap.KeyCount), scale: 1} }

const maxScale = 1e12

// Add records a request with the given expected work in seconds.
func (m *Meter) Add(key int, work float64, now time.Duration) {
	m.advance(now)
	m.loads[key] += work * m.scale
	m.total += work * m.scale
}

func (m *Meter) advance(now time.Duration) {
	if now <= m.last {
		return
	}
	m.scale *= math.Exp(float64(now-m.last) / float64(memory))
	m.last = now
	if m.scale > maxScale {
		for i := range m.loads {
			m.loads[i] /= m.scale
		}
		m.total /= m.scale
		m.scale = 1
	}
}

// PrefixSums returns the load of all keys before each key; entry Keys is the sum.
func (m *Meter) PrefixSums(now time.Duration) []float64 {
	m.advance(now)
	sums := make([]float64, keymap.KeyCount+1)
	unit := 1 / (m.scale * memory.Seconds())
	var sum float64
	for i, l := range m.loads {
		sums[i] = sum
		sum += l * unit
	}
	sums[keymap.KeyCount] = sum
	return sums
}

// Range is a range of keys with its present server.
type Range struct {
	From, To int
	Server   topology.ServerID
	// Next is the server that the range is moving to; empty if it stays.
	Next topology.ServerID
	// Movable ranges are held by a server that answers.
	Movable bool
	// NeedsServer ranges must get another server: theirs is leaving or lost.
	NeedsServer bool
}

// Server is a server that may own keys.
type Server struct {
	ID topology.ServerID
	// Capacity is the number of requests that the server works on at the same
	// time, in units of a server of mean speed.
	Capacity float64
}

// Move gives a range of keys to a server.
type Move struct {
	From, To int
	Server   topology.ServerID
}

// Settings of Plan.
type Settings struct {
	// MaxMoves bounds the balance moves of one plan.
	MaxMoves int
	// MinUtilisationGap is the difference in utilisation that a move must narrow.
	MinUtilisationGap float64
	// MaxRangesPerServer is the number of ranges for each server above which cold ranges
	// are joined with a neighbour.
	MaxRangesPerServer float64
	// MinUtilisation is the utilisation below which a server gives nothing away.
	MinUtilisation float64
}

// emptyLoad is the load that the whole key space is taken to have in addition
// to the measured one, spread evenly, so that keys without requests are divided
// evenly as well.
const emptyLoad = 0.5

type planner struct {
	sums    []float64
	servers []*bin
	byID    map[topology.ServerID]*bin
	parts   []Range
	moves   []Move
}

type bin struct {
	Server
	load float64
}

func (b *bin) use() float64 { return b.load / b.Capacity }

// Plan returns the moves that are due: homeless ranges first, then moves that
// even out the utilisation of servers.
func Plan(parts []Range, servers []Server, sums []float64, set Settings) []Move {
	if len(servers) == 0 {
		return nil
	}
	p := &planner{sums: sums, byID: make(map[topology.ServerID]*bin), parts: slices.Clone(parts)}
	for _, s := range servers {
		b := &bin{Server: s}
		p.servers = append(p.servers, b)
		p.byID[s.ID] = b
	}
	slices.SortFunc(p.servers, func(a, b *bin) int { return cmp.Compare(a.ID, b.ID) })
	for _, part := range p.parts {
		if b := p.byID[part.owner()]; b != nil && !part.NeedsServer {
			b.load += p.load(part.From, part.To)
		}
	}
	p.house()
	p.isolate()
	for range set.MaxMoves {
		if !p.balance(set) {
			break
		}
	}
	for range joinsPerPlan {
		if float64(len(p.parts)) <= set.MaxRangesPerServer*float64(len(p.servers)) || !p.join() {
			break
		}
	}
	return p.moves
}

const (
	// hotShare is the load of a single key, as a part of its server's capacity,
	// from which on the key goes to a faster server.
	hotShare = 0.7
	// fasterBy is the factor by which that server must be faster.
	fasterBy = 1.25
)

// isolate moves the hottest key to a faster server if it fills its own: no split
// can divide a single key.
func (p *planner) isolate() {
	for _, part := range p.parts {
		b := p.byID[part.Server]
		if b == nil || part.Next != "" || !part.Movable || part.NeedsServer {
			continue
		}
		limit := hotShare * b.Capacity
		key := p.hottest(part, limit)
		if key < 0 {
			continue
		}
		fast := slices.MaxFunc(p.servers, func(a, b *bin) int { return cmp.Compare(a.Capacity, b.Capacity) })
		if fast.Capacity < fasterBy*b.Capacity {
			continue
		}
		l := p.load(key, key)
		b.load -= l
		fast.load += l
		p.moves = append(p.moves, Move{From: key, To: key, Server: fast.ID})
		i := slices.IndexFunc(p.parts, func(q Range) bool { return q.From == part.From })
		p.split(i, key, key, fast.ID)
		return
	}
}

const (
	// joinsPerPlan bounds the moves that only join ranges.
	joinsPerPlan = 2
	// maxJoinLoad is the load of a range, as a part of the receiver's capacity,
	// up to which it is moved only to join it with its neighbour.
	maxJoinLoad = 0.04
	// maxJoinWidth is the number of keys up to which that is done.
	maxJoinWidth = keymap.KeyCount / 64
)

// join moves the range with the least load to the server of a neighbour. It
// returns false if there is none that is cold enough.
func (p *planner) join() bool {
	index, best := -1, maxJoinLoad
	var to *bin
	for i, part := range p.parts {
		if part.Next != "" || !part.Movable || part.NeedsServer {
			continue
		}
		for _, j := range []int{i - 1, i + 1} {
			if j < 0 || j >= len(p.parts) {
				continue
			}
			n := p.parts[j]
			b := p.byID[n.Server]
			if n.Next != "" || n.NeedsServer || !n.Movable || b == nil || n.Server == part.Server {
				continue
			}
			wide := part.To-part.From > maxJoinWidth
			if l := p.load(part.From, part.To) / b.Capacity; l < best && !wide {
				index, best, to = i, l, b
			}
		}
	}
	if index < 0 {
		return false
	}
	part := p.parts[index]
	to.load += p.load(part.From, part.To)
	p.moves = append(p.moves, Move{From: part.From, To: part.To, Server: to.ID})
	p.parts[index].Next = to.ID
	return true
}

// owner returns the server that carries the load of the range soon.
func (p Range) owner() topology.ServerID {
	if p.Next != "" {
		return p.Next
	}
	return p.Server
}

// load returns the load of the keys from from to to.
func (p *planner) load(from, to int) float64 {
	return p.sums[to+1] - p.sums[from] + emptyLoad*float64(to+1-from)/keymap.KeyCount
}

// end returns the last key of a range that starts at from, ends at to at the
// latest, and has at most the given load; from-1 if the first key has more.
func (p *planner) end(from, to int, load float64) int {
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

// start returns the first key of a range that ends at to, starts at from at the
// earliest, and has at most the given load; to+1 if the last key has more.
func (p *planner) start(from, to int, load float64) int {
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

// house gives homeless ranges to the servers with the least utilisation, cut so
// that each server is filled up to the common mean.
func (p *planner) house() {
	var total, capacity float64
	for _, b := range p.servers {
		total += b.load
		capacity += b.Capacity
	}
	for _, part := range p.parts {
		if part.NeedsServer {
			total += p.load(part.From, part.To)
		}
	}
	mean := total / capacity
	for _, part := range p.parts {
		if !part.NeedsServer {
			continue
		}
		for from := part.From; from <= part.To; {
			b := p.idlest()
			room := mean*b.Capacity - b.load
			to := max(from, p.end(from, part.To, max(room, total/capacity/8)))
			if rest := p.load(min(to+1, part.To), part.To); to < part.To && rest < room/8 {
				to = part.To
			}
			b.load += p.load(from, to)
			p.moves = append(p.moves, Move{From: from, To: to, Server: b.ID})
			from = to + 1
		}
	}
}

func (p *planner) idlest() *bin {
	return slices.MinFunc(p.servers, func(a, b *bin) int { return cmp.Compare(a.use(), b.use()) })
}

// balance moves a range from a busy server to the idlest one. It returns false if
// no move is worth it.
func (p *planner) balance(set Settings) bool {
	low := p.idlest()
	busy := slices.Clone(p.servers)
	slices.SortStableFunc(busy, func(a, b *bin) int { return cmp.Compare(b.use(), a.use()) })
	for _, high := range busy {
		empty := low.load == 0 && high != low
		if !empty && (high.use() < set.MinUtilisation || high.use()-low.use() < set.MinUtilisationGap) {
			return false
		}
		// The busiest server may have nothing to give: its ranges move already,
		// or a single key makes it busy.
		if p.shift(high, low) {
			return true
		}
	}
	return false
}

// shift moves a range from high to low so that both come closer to their common
// level.
func (p *planner) shift(high, low *bin) bool {
	level := (high.load + low.load) / (high.Capacity + low.Capacity)
	want := min(high.load-level*high.Capacity, level*low.Capacity-low.load)
	index, from, to := p.cut(high.ID, low.ID, want)
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

// widthCost makes narrow ranges preferred: moved keys are priced by their number.
const widthCost = 6

// minShare is the part of the wanted load below which a move is not worth it.
const minShare = 0.08

// cut returns the part of a range of server high whose load comes closest to
// want without exceeding it. Ranges beside a range of server low are preferred,
// because the two are joined again.
func (p *planner) cut(high, low topology.ServerID, want float64) (index, from, to int) {
	index = -1
	best := want * minShare
	try := func(i, a, b int, bonus float64) {
		if a > b {
			return
		}
		l := p.load(a, b) * bonus / (1 + widthCost*float64(b+1-a)/keymap.KeyCount)
		if l > best {
			index, from, to, best = i, a, b, l
		}
	}
	const besideLow = 1.2
	for i, part := range p.parts {
		if part.Server != high || part.Next != "" || !part.Movable || part.NeedsServer {
			continue
		}
		left, right := 1.0, 1.0
		if i > 0 && p.parts[i-1].owner() == low {
			left = besideLow
		}
		if i+1 < len(p.parts) && p.parts[i+1].owner() == low {
			right = besideLow
		}
		try(i, part.From, p.end(part.From, part.To, want), left)
		try(i, p.start(part.From, part.To, want), part.To, right)
		if at := p.hottest(part, want); at >= 0 {
			// A hot key at the inner of the range keeps the ends small: the
			// range is cut beside it.
			try(i, part.From, at-1, left)
			try(i, at+1, part.To, right)
		}
	}
	return index, from, to
}

// hottest returns the key of a range with more load than limit; -1 if none has.
func (p *planner) hottest(part Range, limit float64) int {
	if p.load(part.From, part.To) <= limit {
		return -1
	}
	at := p.end(part.From, part.To, limit) + 1
	if at <= part.To && p.load(at, at) > limit {
		return at
	}
	return -1
}

// split records the planned move of the keys from from to to of one part.
func (p *planner) split(index, from, to int, next topology.ServerID) {
	old := p.parts[index]
	var parts []Range
	if old.From < from {
		left := old
		left.To = from - 1
		parts = append(parts, left)
	}
	moved := old
	moved.From, moved.To, moved.Next = from, to, next
	parts = append(parts, moved)
	if to < old.To {
		right := old
		right.From = to + 1
		parts = append(parts, right)
	}
	p.parts = slices.Replace(p.parts, index, index+1, parts...)
}
