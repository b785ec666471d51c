package placebench

import (
	"math"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hotkey"
	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Times of a move, of failure detection and of a cold start, in seconds.
const (
	// revokeTime is the time to revoke a grant and issue the next one when a unit
	// moves, without the time until its running requests end.
	revokeTime = 0.010
	// grantTime is the time to issue a grant for a unit without a live owner.
	grantTime = 0.005
	// detectTime is the maximum time from the crash of a server to the end of its
	// grants.
	detectTime = 1.305
	// coldFactor multiplies the service times of a server that has just started. The
	// factor decreases linearly to 1 within coldTime.
	coldFactor = 3.0
	coldTime   = 10.0
)

// noServer is the owner of a unit that has none.
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
	id             topology.ServerID
	state          placement.State
	alive          bool
	stateChangedAt float64
	startedAt      float64
	// slowdown multiplies the service times of the server.
	slowdown float64
	slots    [slots]slot
	queue    []request
	// A server that misreports always reports reportedBusySlots instead of its
	// true value.
	misreports        bool
	reportedBusySlots float64
	// Service time of the requests that were started in the present tick, at nominal
	// speed and at the speed of the server. The loads below are their smoothed values:
	// a tick lasts one second, so that seconds of work equal busy slots.
	tickNominalSeconds, tickBusySeconds float64
	nominalLoad, busySlots              float64
	reports                             []placement.Report
}

func (s *simServer) misreport(busySlots float64) { s.misreports, s.reportedBusySlots = true, busySlots }

// serviceFactor returns the factor by which service times exceed those at nominal
// speed.
func (s *simServer) serviceFactor(now float64) float64 {
	cold := max(0, 1-(now-s.startedAt)/coldTime)
	return s.slowdown * (1 + (coldFactor-1)*cold)
}

// simUnit is a shard or a key that can be split off from its shard.
type simUnit struct {
	owner int
	// availableAt is the time from which the owner serves the unit.
	availableAt float64
	// lostAt is the time at which the last owner crashed.
	lostAt float64
	// requests counts the arrivals in the present tick.
	requests int
	// waiting holds the requests that wait at the leader until the unit is available.
	waiting []request
	// joining marks a key that returns to its shard when it is available.
	joining bool
}

// moveEnd is the event in which a unit becomes available after a move.
type moveEnd struct {
	at   float64
	unit int32
}

// model simulates one partition: servers with slots and a queue each, and a leader
// that sends them requests. Requests for a shard that is being moved wait at the
// leader. Times are in seconds since the start of the simulation.
type model struct {
	now      float64
	workload *workload
	decide   func(placement.Input) placement.Plan
	settings placement.Settings
	seed     uint64
	servers  []simServer
	// units holds the shards, followed by one entry per key.
	units []simUnit
	// unitOf maps a key to the index of the unit that serves it.
	unitOf      []int32
	moveEnds    []moveEnd
	nextArrival float64
	nextRequest request
	assignments []placement.Assignment
	// changesPerTick counts the rebalancing changes of each tick.
	changesPerTick []int
	sketch         *hotkey.Sketch[int32]
	loadPerKey     []float64
	keysPerShard   [shardsPerPartition]float64
	result         Result
}

func newModel(decide func(placement.Input) placement.Plan, set placement.Settings, servers int, seed uint64) *model {
	m := &model{
		workload: newWorkload(seed, servers), decide: decide, settings: set, seed: seed,
		units:  make([]simUnit, shardsPerPartition+keysPerPartition),
		unitOf: make([]int32, keysPerPartition),
		sketch: hotkey.New[int32](hotkey.DefaultCounters, hotkey.DefaultHalfLife),
	}
	for range servers {
		m.addServer()
		m.servers[len(m.servers)-1].startedAt = -time.Hour.Seconds()
	}
	for i := range m.units {
		m.units[i].owner = noServer
	}
	for s := range shardsPerPartition {
		m.assignments = append(m.assignments, placement.Assignment{Ref: topology.ShardRef{Service: "bench", Shard: topology.ShardID(s)}})
	}
	for k, s := range m.workload.shards {
		m.unitOf[k] = s
		m.keysPerShard[s]++
	}
	m.loadPerKey = m.workload.keyLoads()
	m.drawRequest()
	return m
}

func (m *model) addServer() {
	s := simServer{
		id: topology.ServerID("s" + strconv.Itoa(len(m.servers))), alive: true,
		stateChangedAt: m.now, startedAt: m.now, slowdown: 1,
	}
	for i := range s.slots {
		s.slots[i].finish = math.Inf(1)
	}
	m.servers = append(m.servers, s)
}

func (m *model) drainServer(i int) {
	m.servers[i].state, m.servers[i].stateChangedAt = placement.Draining, m.now
}

func (m *model) changeHotSet() {
	m.workload.changeHotSet()
	m.loadPerKey = m.workload.keyLoads()
}

// crashServer stops a server. Its running requests are lost. Its queued requests wait
// at the leader for the next owner of their shard.
func (m *model) crashServer(i int) {
	s := &m.servers[i]
	s.alive = false
	for j := range s.slots {
		s.slots[j].finish = math.Inf(1)
	}
	for u := range m.units {
		if m.units[u].owner == i {
			m.units[u].lostAt, m.units[u].availableAt = m.now, math.Inf(1)
		}
	}
	for _, r := range s.queue {
		u := &m.units[m.unitOf[r.key]]
		u.waiting = append(u.waiting, r)
	}
	s.queue = nil
}

// expireGrants marks crashed servers as lost when their grants have ended.
func (m *model) expireGrants() {
	for i := range m.servers {
		if s := &m.servers[i]; !s.alive && s.state != placement.Lost {
			s.state, s.stateChangedAt = placement.Lost, m.now
		}
	}
}

// drawRequest draws the next request and its arrival time from the workload.
func (m *model) drawRequest() {
	gap, key, service := m.workload.nextRequest()
	m.nextArrival += gap
	m.nextRequest = request{arrival: m.nextArrival, service: service, key: key}
}

// runUntil processes arrivals, ends of requests and ends of moves before the given time
// and sets the clock to it.
func (m *model) runUntil(end float64) {
	for {
		finish, server, slot := m.nextFinish()
		index, at := m.nextMoveEnd()
		t := min(m.nextArrival, finish, at)
		if t >= end {
			m.now = end
			return
		}
		m.now = t
		switch t {
		case at:
			m.finishMove(index)
		case finish:
			m.finishRequest(server, slot)
		default:
			m.sketch.Add(m.nextRequest.key, 1)
			m.units[m.unitOf[m.nextRequest.key]].requests++
			m.route(m.nextRequest)
			m.drawRequest()
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

func (m *model) nextMoveEnd() (index int, at float64) {
	at = math.Inf(1)
	for i, r := range m.moveEnds {
		if r.at < at {
			index, at = i, r.at
		}
	}
	return index, at
}

// finishMove makes a unit available and routes its waiting requests. If the
// unit has been moved again since, it only removes the event.
func (m *model) finishMove(i int) {
	id := m.moveEnds[i].unit
	m.moveEnds = append(m.moveEnds[:i], m.moveEnds[i+1:]...)
	u := &m.units[id]
	if m.now < u.availableAt {
		return
	}
	if u.joining {
		key := id - shardsPerPartition
		u.joining, u.owner = false, noServer
		m.unitOf[key] = m.workload.shards[key]
	}
	waiting := u.waiting
	u.waiting = nil
	for _, r := range waiting {
		m.route(r)
	}
}

// route starts or queues a request at the owner of its unit. If the unit is not
// available, the request waits at the leader.
func (m *model) route(r request) {
	u := &m.units[m.unitOf[r.key]]
	if u.owner == noServer || m.now < u.availableAt {
		u.waiting = append(u.waiting, r)
		return
	}
	s := &m.servers[u.owner]
	for j := range s.slots {
		if math.IsInf(s.slots[j].finish, 1) {
			m.startRequest(s, j, r)
			return
		}
	}
	s.queue = append(s.queue, r)
}

func (m *model) startRequest(s *simServer, j int, r request) {
	d := r.service * s.serviceFactor(m.now)
	s.slots[j] = slot{finish: m.now + d, key: r.key}
	s.tickBusySeconds += d
	s.tickNominalSeconds += meanService
	if r.arrival >= warmUp {
		m.result.addWait(m.now - r.arrival)
	}
}

func (m *model) finishRequest(server, j int) {
	s := &m.servers[server]
	s.slots[j].finish = math.Inf(1)
	if len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		m.startRequest(s, j, r)
	}
}
