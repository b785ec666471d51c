package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// noServer is the index that stands for no server.
const noServer = -1

// unit is a shard or a split-off key, with the changes planned so far. The embedded
// Assignment keeps the owner from before the plan.
type unit struct {
	Assignment
	// owner is the index of the owning server, or noServer.
	owner int
	// A changed unit was already moved, split off or joined by this plan and is
	// not changed again. A pinned shard had a key split off or joined, and is not
	// moved to balance load.
	changed, pinned bool
}

// serverState is a server with the changes planned so far.
type serverState struct {
	Server
	// capacity of a live server that is warming up is only the fraction that it
	// may use.
	capacity  float64
	load      float64
	warmingUp bool
	// units holds indexes into planner.units.
	units []int
}

func (s *serverState) utilisation() float64 { return s.load / s.capacity }

// planner is the state of one call of Decide.
type planner struct {
	settings Settings
	units    []unit
	servers  []serverState
	// live holds the indexes of live servers with slots. Their order is random
	// but fixed by the seed, and breaks ties between equally good servers.
	live        []int
	serverIndex map[topology.ServerID]int
	// hotKeys holds the hot keys that are not split off, by shard. The shard
	// number identifies a shard, because a partition belongs to one service.
	hotKeys map[topology.ShardID][]HotKey
	// splitKeys is the number of split-off keys.
	splitKeys int
	// totalCapacity is the capacity of all servers in live. meanUtilisation is
	// the load of all units relative to it.
	totalCapacity, meanUtilisation float64
	recentChanges                  int
	plan                           Plan
}

func newPlanner(in Input) *planner {
	p := &planner{
		settings: in.Settings, recentChanges: in.RecentChanges,
		units: make([]unit, len(in.Assignments)), servers: make([]serverState, len(in.Servers)),
		serverIndex: make(map[topology.ServerID]int, len(in.Servers)),
	}
	p.addServers(in)
	p.addUnits(in)
	p.addHotKeys(in.HotKeys)
	return p
}

func (p *planner) addServers(in Input) {
	for i, s := range in.Servers {
		state := serverState{Server: s, capacity: Capacity(s, p.settings)}
		if s.State == Live && s.Slots > 0 {
			state.warmingUp = s.StateAge < p.settings.Warmup
			state.capacity *= WarmupFraction(s.StateAge, p.settings.Warmup)
			p.totalCapacity += state.capacity
			p.live = append(p.live, i)
		}
		p.servers[i], p.serverIndex[s.ID] = state, i
	}
	rng := rand.New(rand.NewPCG(in.Seed, 0))
	rng.Shuffle(len(p.live), func(i, j int) { p.live[i], p.live[j] = p.live[j], p.live[i] })
}

func (p *planner) addUnits(in Input) {
	var totalLoad float64
	for i, a := range in.Assignments {
		u := unit{Assignment: a, owner: noServer}
		totalLoad += a.Load
		if server, ok := p.serverIndex[a.Server]; ok && p.servers[server].State != Lost {
			u.owner = server
			p.servers[server].load += a.Load
			p.servers[server].units = append(p.servers[server].units, i)
		}
		if a.Ref.Key != "" {
			p.splitKeys++
		}
		p.units[i] = u
	}
	p.meanUtilisation = totalLoad / max(p.totalCapacity, math.SmallestNonzeroFloat64)
}

func (p *planner) addHotKeys(keys []HotKey) {
	known := make(map[topology.ShardRef]bool, p.splitKeys)
	for i := range p.units {
		if p.units[i].Ref.Key != "" {
			known[p.units[i].Ref] = true
		}
	}
	p.hotKeys = make(map[topology.ShardID][]HotKey)
	for _, k := range keys {
		if k.Ref.Key == "" || known[k.Ref] {
			continue
		}
		known[k.Ref] = true
		p.hotKeys[k.Ref.Shard] = append(p.hotKeys[k.Ref.Shard], k)
	}
}

// fairShare returns the mean load of a live server after all units are placed.
func (p *planner) fairShare() float64 {
	return p.meanUtilisation * p.totalCapacity / float64(len(p.live))
}

// fitsWarmup reports whether the server can take the load. With it, a server that
// is warming up must not be more utilised than the mean, relative to the capacity
// that it may use. Other servers have no limit.
func (p *planner) fitsWarmup(s *serverState, load float64) bool {
	return !s.warmingUp || s.load+load <= s.capacity*p.meanUtilisation
}

// bestTarget returns the live server other than from that would have the lowest
// utilisation with the load added, or noServer if the load fits the warm-up of
// none. At equal utilisation it prefers fewer units per capacity, so that
// shards without load are spread as well.
func (p *planner) bestTarget(from int, load float64) int {
	best, lowest := noServer, 0.0
	for _, i := range p.live {
		s := &p.servers[i]
		if i == from || !p.fitsWarmup(s, load) {
			continue
		}
		utilisation := (s.load + load) / s.capacity
		if best == noServer || utilisation < lowest || (utilisation == lowest && p.fewerUnits(s, &p.servers[best])) {
			best, lowest = i, utilisation
		}
	}
	return best
}

// bestTargetIgnoringWarmup returns the live server that would have the lowest
// utilisation with the load added, whether or not the load fits its warm-up. It
// returns a server that is warming up only if all live servers are.
func (p *planner) bestTargetIgnoringWarmup(load float64) int {
	return slices.MinFunc(p.live, func(a, b int) int {
		x, y := &p.servers[a], &p.servers[b]
		if x.warmingUp != y.warmingUp {
			if x.warmingUp {
				return 1
			}
			return -1
		}
		return cmp.Compare((x.load+load)/x.capacity, (y.load+load)/y.capacity)
	})
}

// fewerUnits reports whether a has fewer units per capacity than b.
func (p *planner) fewerUnits(a, b *serverState) bool {
	return float64(len(a.units))*b.capacity < float64(len(b.units))*a.capacity
}

// assign makes the server the owner of the unit and marks the unit as changed.
func (p *planner) assign(i, to int) {
	u := &p.units[i]
	if u.owner != noServer {
		p.removeUnit(u.owner, i)
	}
	p.servers[to].load += u.Load
	p.servers[to].units = append(p.servers[to].units, i)
	u.owner, u.changed = to, true
}

// removeUnit removes the unit and its load from the server.
func (p *planner) removeUnit(from, i int) {
	s := &p.servers[from]
	s.load -= p.units[i].Load
	s.units = slices.DeleteFunc(s.units, func(x int) bool { return x == i })
}

// move adds the move of a unit to the plan.
func (p *planner) move(i, to int, reason Reason) {
	u := &p.units[i]
	p.plan.Moves = append(p.plan.Moves, Move{Ref: u.Ref, From: u.Server, To: p.servers[to].ID, Reason: reason})
	p.assign(i, to)
}
