package placebench

import (
	"math"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Times of the design in seconds: section 4, "Grants" and "Time budget".
const (
	// revokeTime is the revoke and the grant of a planned move, without the
	// drain of running requests.
	revokeTime = 0.010
	grantTime  = 0.005
	// detectTime is the worst case from the loss of a server to the end of its
	// grants.
	detectTime = 1.305
	// coldFactor is the service time factor of a server that has just started;
	// it falls to 1 over coldTime.
	coldFactor = 3.0
	coldTime   = 10.0
)

const noServer = -1

type request struct {
	arrival, service float64
	key              int32
}

type slot struct {
	finish float64
	key    int32
}

type simServer struct {
	id      topology.ServerID
	state   placement.State
	alive   bool
	since   float64
	started float64
	slow    float64
	slots   [slots]slot
	queue   []request
	// liar servers report claim instead of their busy slots.
	liar  bool
	claim float64
	// work and busy are counted over the tick and then smoothed.
	tickWork, tickBusy float64
	work, busy         float64
	reports            []placement.Report
}

func (s *simServer) lie(claim float64) { s.liar, s.claim = true, claim }

// factor is the service time relative to nominal speed.
func (s *simServer) factor(now float64) float64 {
	cold := max(0, 1-(now-s.started)/coldTime)
	return s.slow * (1 + (coldFactor-1)*cold)
}

// simUnit is a shard, or a key that may be split off.
type simUnit struct {
	owner     int
	available float64
	since     float64
	count     int
	held      []request
	// joining keys return to their shard when they are available.
	joining bool
}

type release struct {
	at   float64
	unit int32
}

// model is one partition: servers with two slots and a queue each, in front of
// them a leader that holds the requests of shards that are being moved.
type model struct {
	now      float64
	work     *workload
	decide   func(placement.Input) placement.Plan
	settings placement.Settings
	seed     uint64
	servers  []simServer
	// units holds the shards, followed by one entry per key.
	units    []simUnit
	unitOf   []int32
	releases []release
	arrival  float64
	next     request
	assigned []placement.Assignment
	recent   []int
	sketch   *hotkey.Sketch[int32]
	loads    []float64
	keys     [shardsPerPartition]float64
	stats    Result
}

func newModel(decide func(placement.Input) placement.Plan, set placement.Settings, servers int, seed uint64) *model {
	m := &model{
		work: newWorkload(seed, servers), decide: decide, settings: set, seed: seed,
		units:  make([]simUnit, shardsPerPartition+keysPerPartition),
		unitOf: make([]int32, keysPerPartition),
		sketch: hotkey.New[int32](hotkey.DefaultCounters, hotkey.DefaultHalfLife),
	}
	for range servers {
		m.join()
		m.servers[len(m.servers)-1].started = -time.Hour.Seconds()
	}
	for i := range m.units {
		m.units[i].owner = noServer
	}
	for s := range shardsPerPartition {
		m.assigned = append(m.assigned, placement.Assignment{Ref: topology.ShardRef{Service: "bench", Shard: topology.ShardID(s)}})
	}
	for k, s := range m.work.shards {
		m.unitOf[k] = s
		m.keys[s]++
	}
	m.loads = m.work.keyLoads()
	m.arrive()
	return m
}

func (m *model) join() {
	s := simServer{
		id: topology.ServerID("s" + strconv.Itoa(len(m.servers))), alive: true,
		since: m.now, started: m.now, slow: 1,
	}
	for i := range s.slots {
		s.slots[i].finish = math.Inf(1)
	}
	m.servers = append(m.servers, s)
}

func (m *model) leave(i int) {
	m.servers[i].state, m.servers[i].since = placement.Draining, m.now
}

func (m *model) changeHotSet() {
	m.work.changeHotSet()
	m.loads = m.work.keyLoads()
}

// lose stops a server. Its running requests are gone, its queued requests
// wait at the leader for the next owner of their shard.
func (m *model) lose(i int) {
	s := &m.servers[i]
	s.alive = false
	for j := range s.slots {
		s.slots[j].finish = math.Inf(1)
	}
	for u := range m.units {
		if m.units[u].owner == i {
			m.units[u].since, m.units[u].available = m.now, math.Inf(1)
		}
	}
	for _, r := range s.queue {
		u := &m.units[m.unitOf[r.key]]
		u.held = append(u.held, r)
	}
	s.queue = nil
}

// expire ends the grants of a lost server.
func (m *model) expire() {
	for i := range m.servers {
		if s := &m.servers[i]; !s.alive && s.state != placement.Lost {
			s.state, s.since = placement.Lost, m.now
		}
	}
}

func (m *model) arrive() {
	gap, key, service := m.work.next()
	m.arrival += gap
	m.next = request{arrival: m.arrival, service: service, key: key}
}

// runUntil handles arrivals, ends of requests and ends of moves up to a time.
func (m *model) runUntil(end float64) {
	for {
		finish, server, slot := m.nextFinish()
		rel, at := m.nextRelease()
		t := min(m.arrival, finish, at)
		if t >= end {
			m.now = end
			return
		}
		m.now = t
		switch t {
		case at:
			m.release(rel)
		case finish:
			m.finish(server, slot)
		default:
			m.sketch.Add(m.next.key, 1)
			m.units[m.unitOf[m.next.key]].count++
			m.route(m.next)
			m.arrive()
		}
	}
}

func (m *model) nextFinish() (finish float64, server, slot int) {
	finish = math.Inf(1)
	for i := range m.servers {
		for j := range m.servers[i].slots {
			if f := m.servers[i].slots[j].finish; f < finish {
				finish, server, slot = f, i, j
			}
		}
	}
	return finish, server, slot
}

func (m *model) nextRelease() (index int, at float64) {
	at = math.Inf(1)
	for i, r := range m.releases {
		if r.at < at {
			index, at = i, r.at
		}
	}
	return index, at
}

func (m *model) release(i int) {
	id := m.releases[i].unit
	m.releases = append(m.releases[:i], m.releases[i+1:]...)
	u := &m.units[id]
	if m.now < u.available {
		return
	}
	if u.joining {
		key := id - shardsPerPartition
		u.joining, u.owner = false, noServer
		m.unitOf[key] = m.work.shards[key]
	}
	held := u.held
	u.held = nil
	for _, r := range held {
		m.route(r)
	}
}

// route queues a request at the owner of its shard, or holds it.
func (m *model) route(r request) {
	u := &m.units[m.unitOf[r.key]]
	if u.owner == noServer || m.now < u.available {
		u.held = append(u.held, r)
		return
	}
	s := &m.servers[u.owner]
	for j := range s.slots {
		if math.IsInf(s.slots[j].finish, 1) {
			m.start(s, j, r)
			return
		}
	}
	s.queue = append(s.queue, r)
}

func (m *model) start(s *simServer, j int, r request) {
	d := r.service * s.factor(m.now)
	s.slots[j] = slot{finish: m.now + d, key: r.key}
	s.tickBusy += d
	s.tickWork += meanService
	if r.arrival >= warmUp {
		m.stats.addWait(m.now - r.arrival)
	}
}

func (m *model) finish(server, j int) {
	s := &m.servers[server]
	s.slots[j].finish = math.Inf(1)
	if len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		m.start(s, j, r)
	}
}
