package placebench

import (
	"math"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	topKeys     = 64
	keptReports = 5
)

// run runs a scenario and returns what was measured after the warm-up.
func (m *model) run(sc Scenario) Result {
	events := sc.Events
	expire := math.Inf(1)
	m.tick(0)
	for t := 1.0; t <= warmUp+runTime; t++ {
		for len(events) > 0 && events[0].At+warmUp < t {
			m.runUntil(events[0].At + warmUp)
			events[0].Apply(m)
			events = events[1:]
			if m.anyDead() {
				expire = m.now + detectTime
			}
		}
		if expire < t {
			m.runUntil(expire)
			m.expire()
			m.decideNow()
			expire = math.Inf(1)
		}
		m.runUntil(t)
		m.tick(placement.Tick)
		if t >= warmUp {
			m.sample()
		}
	}
	return m.stats
}

func (m *model) anyDead() bool {
	for i := range m.servers {
		if !m.servers[i].alive && m.servers[i].state == placement.Live {
			return true
		}
	}
	return false
}

// tick takes the measurements of the last second and makes one decision.
func (m *model) tick(d time.Duration) {
	m.sketch.Advance(d)
	for i := range m.assigned {
		a := &m.assigned[i]
		u := &m.units[unitIndex(a.Ref)]
		if d > 0 {
			a.OwnedFor += d
			a.Load = placement.Smooth(a.Load, float64(u.count)*meanService/d.Seconds(), d, m.settings.Smoothing)
		}
		u.count = 0
	}
	for i := range m.servers {
		m.servers[i].measure(d, m.settings.SpeedSmoothing)
	}
	m.recent = append(m.recent, 0)
	m.decideNow()
}

func (s *simServer) measure(d, smoothing time.Duration) {
	if d == 0 {
		return
	}
	s.work = placement.Smooth(s.work, s.tickWork, d, smoothing)
	s.busy = placement.Smooth(s.busy, s.tickBusy, d, smoothing)
	for i := range s.reports {
		s.reports[i].Age += d
	}
	report := s.tickBusy
	if s.liar {
		report = s.claim
	}
	s.reports = append(s.reports, placement.Report{BusySlots: report})
	s.reports = s.reports[max(0, len(s.reports)-keptReports):]
	s.tickWork, s.tickBusy = 0, 0
}

func (m *model) decideNow() {
	in := placement.Input{
		Assignments: m.assigned, Settings: m.settings, Seed: m.seed,
		Servers: make([]placement.Server, len(m.servers)),
	}
	for i := range m.servers {
		s := &m.servers[i]
		since := s.since
		if s.state == placement.Live {
			since = s.started
		}
		in.Servers[i] = placement.Server{
			ID: s.id, State: s.state, StateAge: time.Duration((m.now - since) * float64(time.Second)),
			Slots: slots, NominalLoad: s.work, BusySlots: s.busy, Reports: s.reports,
		}
	}
	for _, e := range m.sketch.Top(topKeys) {
		in.HotKeys = append(in.HotKeys, placement.HotKey{
			Ref: m.work.refs[e.Key], Load: e.Rate * meanService, Error: e.Error * meanService,
		})
	}
	interval := int(m.settings.ChangeInterval / placement.Tick)
	for _, n := range m.recent[max(0, len(m.recent)-interval):] {
		in.RecentChanges += n
	}
	m.carryOut(m.decide(in))
}

// carryOut applies a plan. Changes that involve a server whose loss is not
// known yet do not succeed and are dropped.
func (m *model) carryOut(p placement.Plan) {
	var done placement.Plan
	for _, mv := range p.Moves {
		if m.reachable(mv.From, mv.To) {
			done.Moves = append(done.Moves, mv)
			m.move(unitIndex(mv.Ref), m.serverIndex(mv.To))
		}
	}
	for _, s := range p.Splits {
		if m.reachable(s.From, s.To) {
			done.Splits = append(done.Splits, s)
			m.split(s)
		}
	}
	for _, j := range p.Joins {
		if m.reachable(j.From, j.To) {
			done.Joins = append(done.Joins, j)
			m.joinKey(j)
		}
	}
	m.assigned = placement.Apply(m.assigned, done)
	m.recent[len(m.recent)-1] += done.RebalancingChanges()
	if m.now >= warmUp {
		m.stats.Changes += float64(len(done.Moves) + len(done.Splits) + len(done.Joins))
	}
}

func (m *model) reachable(from, to topology.ServerID) bool {
	for _, id := range []topology.ServerID{from, to} {
		if i := m.serverIndex(id); i != noServer && !m.servers[i].alive && m.servers[i].state != placement.Lost {
			return false
		}
	}
	return true
}

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

func (m *model) split(s placement.Split) {
	id := unitIndex(s.Key)
	m.units[id] = simUnit{owner: m.serverIndex(s.From)}
	m.unitOf[id-shardsPerPartition] = int32(id)
	m.keys[s.Key.Shard]--
	if s.To != s.From {
		m.move(id, m.serverIndex(s.To))
	}
}

func (m *model) joinKey(j placement.Join) {
	id := unitIndex(j.Key)
	u := &m.units[id]
	u.joining = true
	m.keys[j.Key.Shard]++
	if to := m.serverIndex(j.To); to != u.owner {
		m.move(id, to)
		return
	}
	m.releases = append(m.releases, release{at: m.now, unit: int32(id)})
}

// move gives a unit to another server and holds its requests meanwhile.
func (m *model) move(id, to int) {
	u := &m.units[id]
	down, wait := max(m.now, u.available), grantTime
	if u.owner != noServer {
		if s := &m.servers[u.owner]; s.alive {
			wait = revokeTime + m.drain(s, id)
		} else {
			down = u.since
		}
	}
	u.available = m.now + wait
	u.owner = to
	m.releases = append(m.releases, release{at: u.available, unit: int32(id)})
	if m.now >= warmUp {
		m.stats.Unavailable += m.keyCount(id) * (u.available - down)
	}
}

// drain takes the queued requests of a unit back and returns the time until
// its running ones end.
func (m *model) drain(s *simServer, id int) float64 {
	queue := s.queue[:0]
	for _, r := range s.queue {
		if int(m.unitOf[r.key]) == id {
			m.units[id].held = append(m.units[id].held, r)
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

func (m *model) keyCount(id int) float64 {
	if id >= shardsPerPartition {
		return 1
	}
	return m.keys[id]
}

// sample measures the balance of the true load, which the policies do not
// see.
func (m *model) sample() {
	load := make([]float64, len(m.servers))
	units := make([]int, len(m.servers))
	for k, l := range m.loads {
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
		u := load[i] * s.factor(m.now) / slots
		sum, most, n = sum+u, max(most, u), n+1
	}
	if sum > 0 {
		m.stats.addImbalance(most / (sum / float64(n)))
	}
}
