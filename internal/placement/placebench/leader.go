package placebench

import (
	"math"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// topKeys is the number of hot keys that a policy gets.
	topKeys = 64
	// maxReports is the number of the latest reports of a server that a policy gets.
	maxReports = 5
)

// run simulates a scenario and returns the measurements taken after the warm-up.
func (m *model) run(sc Scenario) Result {
	events := sc.Events
	expireAt := math.Inf(1)
	m.tick(0)
	for t := 1.0; t <= warmUp+runTime; t++ {
		for len(events) > 0 && events[0].At+warmUp < t {
			m.runUntil(events[0].At + warmUp)
			events[0].Apply(m)
			events = events[1:]
			if m.hasUndetectedLoss() {
				expireAt = m.now + detectTime
			}
		}
		if expireAt < t {
			m.runUntil(expireAt)
			m.expireGrants()
			m.runDecision()
			expireAt = math.Inf(1)
		}
		m.runUntil(t)
		m.tick(placement.Tick)
		if t >= warmUp {
			m.sampleImbalance()
		}
	}
	return m.result
}

// hasUndetectedLoss reports whether a server has crashed whose grants are still in
// force.
func (m *model) hasUndetectedLoss() bool {
	for i := range m.servers {
		if !m.servers[i].alive && m.servers[i].state == placement.Live {
			return true
		}
	}
	return false
}

// tick updates the measured loads after a tick of length d and makes one decision.
func (m *model) tick(d time.Duration) {
	m.sketch.Advance(d)
	for i := range m.assignments {
		a := &m.assignments[i]
		u := &m.units[unitIndex(a.Ref)]
		if d > 0 {
			a.OwnedFor += d
			a.Load = placement.Smooth(a.Load, float64(u.requests)*meanService/d.Seconds(), d, m.settings.Smoothing)
		}
		u.requests = 0
	}
	for i := range m.servers {
		m.servers[i].updateMeasurements(d, m.settings.SpeedSmoothing)
	}
	m.changesPerTick = append(m.changesPerTick, 0)
	m.runDecision()
}

// updateMeasurements smooths the load of the last tick into the measured load and
// adds the report of the server on that tick.
func (s *simServer) updateMeasurements(d, smoothing time.Duration) {
	if d == 0 {
		return
	}
	s.nominalLoad = placement.Smooth(s.nominalLoad, s.tickNominalSeconds, d, smoothing)
	s.busySlots = placement.Smooth(s.busySlots, s.tickBusySeconds, d, smoothing)
	for i := range s.reports {
		s.reports[i].Age += d
	}
	report := s.tickBusySeconds
	if s.misreports {
		report = s.reportedBusySlots
	}
	s.reports = append(s.reports, placement.Report{BusySlots: report})
	s.reports = s.reports[max(0, len(s.reports)-maxReports):]
	s.tickNominalSeconds, s.tickBusySeconds = 0, 0
}

// runDecision runs the policy on the state that the leader knows and applies its plan.
func (m *model) runDecision() {
	in := placement.Input{
		Assignments: m.assignments, Settings: m.settings, Seed: m.seed,
		Servers: make([]placement.Server, len(m.servers)),
	}
	for i := range m.servers {
		s := &m.servers[i]
		since := s.stateChangedAt
		if s.state == placement.Live {
			since = s.startedAt
		}
		in.Servers[i] = placement.Server{
			ID: s.id, State: s.state, StateAge: time.Duration((m.now - since) * float64(time.Second)),
			Slots: slots, NominalLoad: s.nominalLoad, BusySlots: s.busySlots, Reports: s.reports,
		}
	}
	for _, e := range m.sketch.Top(topKeys) {
		in.HotKeys = append(in.HotKeys, placement.HotKey{
			Ref: m.workload.refs[e.Key], Load: e.Rate * meanService, Error: e.Error * meanService,
		})
	}
	interval := int(m.settings.ChangeInterval / placement.Tick)
	for _, n := range m.changesPerTick[max(0, len(m.changesPerTick)-interval):] {
		in.RecentChanges += n
	}
	m.applyPlan(m.decide(in))
}

// applyPlan applies a plan without the changes that involve a crashed server whose
// loss is not yet detected: they would fail.
func (m *model) applyPlan(p placement.Plan) {
	var applied placement.Plan
	for _, mv := range p.Moves {
		if m.reachable(mv.From, mv.To) {
			applied.Moves = append(applied.Moves, mv)
			m.move(unitIndex(mv.Ref), m.serverIndex(mv.To))
		}
	}
	for _, s := range p.Splits {
		if m.reachable(s.From, s.To) {
			applied.Splits = append(applied.Splits, s)
			m.split(s)
		}
	}
	for _, j := range p.Joins {
		if m.reachable(j.From, j.To) {
			applied.Joins = append(applied.Joins, j)
			m.joinKey(j)
		}
	}
	m.assignments = placement.Apply(m.assignments, applied)
	m.changesPerTick[len(m.changesPerTick)-1] += applied.RebalancingChanges()
	if m.now >= warmUp {
		m.result.Changes += float64(len(applied.Moves) + len(applied.Splits) + len(applied.Joins))
	}
}

// reachable reports whether neither server has crashed without its loss being
// detected.
func (m *model) reachable(from, to topology.ServerID) bool {
	for _, id := range []topology.ServerID{from, to} {
		if i := m.serverIndex(id); i != noServer && !m.servers[i].alive && m.servers[i].state != placement.Lost {
			return false
		}
	}
	return true
}

// serverIndex returns the index in m.servers, which is the number in the server ID,
// or noServer.
func (m *model) serverIndex(id topology.ServerID) int {
	if id == "" {
		return noServer
	}
	i, err := strconv.Atoi(string(id[1:]))
	if err != nil {
		return noServer
	}
	return i
}

// unitIndex returns the index of a shard or key in model.units.
func unitIndex(ref topology.ShardRef) int {
	if ref.Key == "" {
		return int(ref.Shard)
	}
	k, err := strconv.Atoi(ref.Key)
	if err != nil {
		return int(ref.Shard)
	}
	return shardsPerPartition + k
}

// split makes a key a unit of its own.
func (m *model) split(s placement.Split) {
	id := unitIndex(s.Key)
	m.units[id] = simUnit{owner: m.serverIndex(s.From)}
	m.unitOf[id-shardsPerPartition] = int32(id)
	m.keysPerShard[s.Key.Shard]--
	if s.To != s.From {
		m.move(id, m.serverIndex(s.To))
	}
}

// joinKey returns a split-off key to its shard. The key is moved to the owner of the
// shard first if it has another owner.
func (m *model) joinKey(j placement.Join) {
	id := unitIndex(j.Key)
	u := &m.units[id]
	u.joining = true
	m.keysPerShard[j.Key.Shard]++
	if to := m.serverIndex(j.To); to != u.owner {
		m.move(id, to)
		return
	}
	m.moveEnds = append(m.moveEnds, moveEnd{at: m.now, unit: int32(id)})
}

// move assigns a unit to another server. Its requests wait until the move ends.
func (m *model) move(id, to int) {
	u := &m.units[id]
	down, wait := max(m.now, u.availableAt), grantTime
	if u.owner != noServer {
		if s := &m.servers[u.owner]; s.alive {
			wait = revokeTime + m.drainUnit(s, id)
		} else {
			down = u.lostAt
		}
	}
	u.availableAt = m.now + wait
	u.owner = to
	m.moveEnds = append(m.moveEnds, moveEnd{at: u.availableAt, unit: int32(id)})
	if m.now >= warmUp {
		m.result.Unavailable += m.keyCount(id) * (u.availableAt - down)
	}
}

// drainUnit moves the requests of a unit from the queue of the server back to the
// leader and returns the time until its running requests end.
func (m *model) drainUnit(s *simServer, id int) float64 {
	queue := s.queue[:0]
	for _, r := range s.queue {
		if int(m.unitOf[r.key]) == id {
			m.units[id].waiting = append(m.units[id].waiting, r)
			continue
		}
		queue = append(queue, r)
	}
	s.queue = queue
	var rest float64
	for _, sl := range s.slots {
		if !math.IsInf(sl.finish, 1) && int(m.unitOf[sl.key]) == id {
			rest = max(rest, sl.finish-m.now)
		}
	}
	return rest
}

// keyCount returns the number of keys of a shard, and 1 for a split-off key.
func (m *model) keyCount(id int) float64 {
	if id >= shardsPerPartition {
		return 1
	}
	return m.keysPerShard[id]
}

// sampleImbalance records the imbalance of the true load, which the policies do not
// know. It ignores servers that are down, and draining servers that own no keys.
func (m *model) sampleImbalance() {
	load := make([]float64, len(m.servers))
	units := make([]int, len(m.servers))
	for k, l := range m.loadPerKey {
		if o := m.units[m.unitOf[k]].owner; o != noServer {
			load[o] += l
			units[o]++
		}
	}
	var sum, most float64
	n := 0
	for i := range m.servers {
		s := &m.servers[i]
		if !s.alive || (s.state == placement.Draining && units[i] == 0) {
			continue
		}
		u := load[i] * s.serviceFactor(m.now) / slots
		sum, most, n = sum+u, max(most, u), n+1
	}
	if sum > 0 {
		m.result.addImbalance(most / (sum / float64(n)))
	}
}
