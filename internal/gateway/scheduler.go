package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/keyplacement"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// core schedules the requests of all services. The leader's core also owns the
// grants of keyed services. A host that reaches no leader uses a core of its
// own, which follows the last known key maps.
type scheduler struct {
	clk clock.Clock
	// deliver takes decisions; it is called without the lock.
	deliver func([]schedule.Decision)
	// trusted reports whether the list of servers is fresh enough.
	listUsable func() bool
	// may reports whether this host may send grants, rivals returns the time
	// after which no grant of an earlier leader arrives. Both are nil in the core
	// of a host that does not lead.
	mayGrant           func() bool
	earlierGrantsUntil func() time.Duration

	mu       sync.Mutex
	services map[uint32]*serviceScheduler // by hash of the name
}

// domain is one service.
type serviceScheduler struct {
	name  topology.Service
	keyed bool
	sched *schedule.Scheduler
	// grants is nil in the core of a host that does not lead.
	grants *ownership.Manager
	keyMap keymap.Map
	meter  *keyplacement.Meter
	ranges []ownership.RangeState // of grants, renewed at each tick
	// usable holds the servers that may get requests and keys.
	usable map[topology.ServerID]schedule.Server
	// planned is the time of the last placement decision.
	lastPlan time.Duration
}

const (
	// remoteCost reflects that bytes between data centres are dear.
	remoteCost = 4
	// planInterval is the interval between placement decisions: hot sets last
	// for a few seconds.
	placementInterval = 250 * time.Millisecond
)

var placementSettings = keyplacement.Settings{
	MaxMoves:           3,    // moves under way hold up requests
	MinUtilisationGap:  0.22, // in slots per slot
	MinUtilisation:     0.30, // below, requests rarely wait
	MaxRangesPerServer: 2.5,  // each part costs a renewal, in bytes between data centres
}

func hash32(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

func newScheduler(clk clock.Clock, deliver func([]schedule.Decision), listUsable func() bool) *scheduler {
	return &scheduler{clk: clk, deliver: deliver, listUsable: listUsable, services: make(map[uint32]*serviceScheduler)}
}

// configure adds the services of the configuration.
func (s *scheduler) addServices(cfg *fleet.Config, keyMaps map[topology.Service]keymap.Map, newGrants func(topology.Service, keymap.Map) *ownership.Manager) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, spec := range cfg.Services {
		hash := hash32(string(name))
		if _, ok := s.services[hash]; ok {
			continue
		}
		svc := &serviceScheduler{
			name: name, keyed: spec.Keyed,
			sched: schedule.New(spec.Keyed, schedule.Settings{RemoteCost: remoteCost}),
		}
		if spec.Keyed {
			svc.keyMap = keyMaps[name]
			if svc.keyMap == nil {
				svc.keyMap = keymap.Empty()
			}
			if newGrants != nil {
				svc.grants = newGrants(name, keyMaps[name])
				svc.meter = keyplacement.NewMeter()
			}
		}
		s.services[hash] = svc
	}
}

// setTables replaces the key maps of a core without grants.
func (s *scheduler) setKeyMaps(keyMaps map[topology.Service]keymap.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		if keyMap, ok := keyMaps[svc.name]; ok && svc.grants == nil {
			svc.keyMap = keyMap
		}
	}
}

// add takes a request and reports whether it is new.
func (s *scheduler) add(serviceHash uint32, j *schedule.Job) bool {
	s.mu.Lock()
	svc, ok := s.services[serviceHash]
	if !ok {
		s.mu.Unlock()
		s.deliver([]schedule.Decision{{Job: j, Refused: true, Reason: schedule.NoServer, RetryAfter: defaultRetryAfter}})
		return true
	}
	now := s.clk.Now()
	if svc.sched.Contains(j.ID) {
		s.mu.Unlock()
		return false
	}
	if svc.keyed && (j.Key < 0 || j.Key >= keymap.KeyCount) {
		j.Key = 0
	}
	if svc.meter != nil {
		svc.meter.Add(j.Key, svc.sched.ExpectedSeconds(j.Class), now)
	}
	svc.sched.Add(j, now)
	out := s.decide(svc, now)
	s.mu.Unlock()
	s.deliver(out)
	return true
}

// decide returns the decisions on the requests of a service, none while the list
// of servers is too old.
func (s *scheduler) decide(svc *serviceScheduler, now time.Duration) []schedule.Decision {
	if !s.listUsable() {
		return nil
	}
	return svc.sched.Decide(now)
}

// unknownRetry is the time after which a request to a service that is not known
// yet can succeed.
const defaultRetryAfter = 300 * time.Millisecond

// done records a report.
func (s *scheduler) recordReport(r schedule.Report) {
	s.mu.Lock()
	now := s.clk.Now()
	var out []schedule.Decision
	for _, svc := range s.services {
		if !svc.sched.Contains(r.ID) {
			continue
		}
		j, srv := svc.sched.HandleReport(r, now)
		if r.Result == schedule.WrongServer && svc.grants != nil && j != nil && srv != "" {
			svc.grants.Regrant(j.Key, srv)
			svc.updateOwners(now)
		}
		out = s.decide(svc, now)
		break
	}
	s.mu.Unlock()
	s.deliver(out)
}

// has reports whether the request waits or runs.
func (s *scheduler) isQueued(serviceHash uint32, id schedule.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[serviceHash]
	return ok && svc.sched.IsQueued(id)
}

// run makes the decisions that are due because time has passed.
func (s *scheduler) dispatch() {
	s.mu.Lock()
	now := s.clk.Now()
	var out []schedule.Decision
	for _, svc := range s.services {
		out = append(out, s.decide(svc, now)...)
	}
	s.mu.Unlock()
	s.deliver(out)
}

// refresh brings the servers and owners up to date.
func (s *scheduler) updateServers(servers []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.setServers(servers, now)
	for _, svc := range s.services {
		if svc.keyed {
			svc.updateOwners(now)
		}
	}
}

// setServers brings the servers of all services up to date.
func (s *scheduler) setServers(servers []fleet.Server, now time.Duration) {
	for _, svc := range s.services {
		usable := make(map[topology.ServerID]schedule.Server)
		reachable := make(map[topology.ServerID]ownership.Server)
		for _, srv := range servers {
			if srv.Service != svc.name {
				continue
			}
			reachable[srv.ID] = ownership.Server{Address: srv.Address, Incarnation: srv.Incarnation}
			if !srv.Draining {
				usable[srv.ID] = schedule.Server{
					Address: srv.Address, DataCentre: srv.DataCentre, Slots: srv.Slots, Incarnation: srv.Incarnation, WarmupLeft: srv.WarmupLeft,
				}
			}
		}
		svc.usable = usable
		svc.sched.SetServers(usable, now)
		if svc.grants != nil {
			svc.grants.SetServers(reachable, now)
		}
	}
}

// refreshOwners passes the present owners to the scheduler.
func (svc *serviceScheduler) updateOwners(now time.Duration) {
	if svc.grants == nil {
		keyMap := svc.keyMap
		svc.sched.SetOwners(-1, func(key int) schedule.Owner {
			s := keyMap.Server(key)
			return schedule.Owner{Server: s, Granted: s != ""}
		})
		return
	}
	svc.ranges = svc.ranges[:0]
	svc.grants.Ranges(now, func(p ownership.RangeState) { svc.ranges = append(svc.ranges, p) })
	ranges := svc.ranges
	version := svc.grants.Version()
	svc.sched.SetOwners(version, func(key int) schedule.Owner {
		lo, hi := 0, len(ranges)-1
		for lo < hi {
			mid := (lo + hi) / 2
			if ranges[mid].To < key {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		if len(ranges) == 0 {
			return schedule.Owner{}
		}
		p := ranges[lo]
		o := schedule.Owner{Server: p.Server, Granted: p.Granted}
		if p.Unreachable {
			o.FreeAt = p.FreeAt
		}
		return o
	})
}

// plan decides on placement.
func (svc *serviceScheduler) planMoves(now time.Duration) {
	if svc.grants == nil || now-svc.lastPlan < placementInterval {
		return
	}
	svc.lastPlan = now
	lost := make(map[topology.ServerID]bool)
	var ranges []keyplacement.Range
	svc.grants.Ranges(now, func(p ownership.RangeState) {
		if p.Unreachable {
			lost[p.Server] = true
		}
	})
	var servers []keyplacement.Server
	for id, srv := range svc.usable {
		if lost[id] {
			continue
		}
		servers = append(servers, keyplacement.Server{ID: id, Capacity: float64(srv.Slots) / svc.sched.Slowness(id)})
	}
	svc.grants.Ranges(now, func(p ownership.RangeState) {
		keyRange := keyplacement.Range{From: p.From, To: p.To, Server: p.Server, Next: p.Next, Movable: p.Granted}
		_, ok := svc.usable[p.Server]
		_, nextOK := svc.usable[p.Next]
		keyRange.NeedsServer = (!ok || lost[p.Server]) && (p.Next == "" || !nextOK || lost[p.Next])
		ranges = append(ranges, keyRange)
	})
	for _, m := range keyplacement.Plan(ranges, servers, svc.meter.PrefixSums(now), placementSettings) {
		svc.grants.Move(m.From, m.To, m.Server)
	}
}

// tick advances the grants of all services and returns the calls that are due.
func (s *scheduler) tick(servers []fleet.Server, confirmedAt time.Duration, movesAllowed bool) []ownership.Order {
	s.mu.Lock()
	now := s.clk.Now()
	s.setServers(servers, now)
	var orders []ownership.Order
	var out []schedule.Decision
	for _, svc := range s.services {
		if svc.grants != nil {
			if movesAllowed {
				svc.planMoves(now)
			}
			orders = append(orders, s.dueOrders(svc, now, confirmedAt)...)
			svc.updateOwners(now)
		}
		out = append(out, s.decide(svc, now)...)
	}
	s.mu.Unlock()
	s.deliver(out)
	return orders
}

// summary holds the counts of a service.
type summary struct {
	service                    topology.Service
	waiting, running, slots    int
	keyRanges, moving, unowned int
}

// keyLoad describes the load of the keys of a service.
type keyLoad struct {
	busiestServer, meanServer float64 // of the servers
	hottestKey                float64 // of the busiest key
}

// summaries returns the counts of all services.
func (s *scheduler) summaries() []summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	var out []summary
	for _, svc := range s.services {
		sum := summary{service: svc.name}
		sum.waiting, sum.running, sum.slots = svc.sched.Counts()
		if svc.grants != nil {
			svc.grants.Ranges(now, func(p ownership.RangeState) {
				sum.keyRanges++
				if p.Next != "" {
					sum.moving++
				}
				if !p.Granted {
					sum.unowned++
				}
			})
		}
		out = append(out, sum)
	}
	return out
}

// keyLoad returns the load of the keys of a service. It looks at every key, which
// the counts do not need.
func (s *scheduler) keyLoad(service topology.Service) keyLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var load keyLoad
	svc, ok := s.services[hash32(string(service))]
	if !ok || svc.grants == nil {
		return load
	}
	now := s.clk.Now()
	sums := svc.meter.PrefixSums(now)
	for k := range keymap.KeyCount {
		load.hottestKey = max(load.hottestKey, sums[k+1]-sums[k])
	}
	loads := make(map[topology.ServerID]float64)
	svc.grants.Ranges(now, func(p ownership.RangeState) { loads[p.Server] += sums[p.To+1] - sums[p.From] })
	for id, work := range loads {
		work *= svc.sched.Slowness(id) / 2
		load.busiestServer = max(load.busiestServer, work)
		load.meanServer += work / float64(len(loads))
	}
	return load
}

// step returns the calls that are due for a service.
func (s *scheduler) dueOrders(svc *serviceScheduler, now, confirmedAt time.Duration) []ownership.Order {
	svc.grants.SetEarlierLeadersUntil(s.earlierGrantsUntil())
	if !s.mayGrant() {
		return nil
	}
	return svc.grants.Step(now, confirmedAt)
}

// result records the end of a call to a server. It reports whether a server has
// refused the newest fence.
func (s *scheduler) recordResult(o ownership.Order, outcome ownership.Outcome, handover string, confirmedAt time.Duration) (deposed bool, next []ownership.Order) {
	s.mu.Lock()
	svc, ok := s.services[hash32(string(o.Service))]
	if !ok || svc.grants == nil {
		s.mu.Unlock()
		return false, nil
	}
	now := s.clk.Now()
	svc.grants.HandleResult(o, outcome, handover, now)
	next = s.dueOrders(svc, now, confirmedAt)
	svc.updateOwners(now)
	out := s.decide(svc, now)
	deposed = svc.grants.SuspectsLaterLeader()
	s.mu.Unlock()
	s.deliver(out)
	return deposed, next
}

// checked tells all grants that this host still leads.
func (s *scheduler) confirmLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		if svc.grants != nil {
			svc.grants.LeadershipConfirmed()
		}
	}
}

// tables returns the key maps that the store lacks.
func (s *scheduler) changedKeyMaps() map[topology.Service]keymap.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[topology.Service]keymap.Map)
	for _, svc := range s.services {
		if svc.grants == nil {
			continue
		}
		if keyMap, changed := svc.grants.NextKeyMap(); changed {
			out[svc.name] = keyMap
		}
	}
	return out
}

// revert gives keys whose move cannot be stored back to their servers. It must be
// called only if the store has refused the append.
func (s *scheduler) revertMoves(confirmedAt time.Duration) []ownership.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	var orders []ownership.Order
	for _, svc := range s.services {
		if svc.grants != nil {
			svc.grants.RevertMoves(now)
			orders = append(orders, s.dueOrders(svc, now, confirmedAt)...)
			svc.updateOwners(now)
		}
	}
	return orders
}

// stored records the end of an append of tables.
func (s *scheduler) recordStored(keyMaps map[topology.Service]keymap.Map, success bool, confirmedAt time.Duration) []ownership.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	var orders []ownership.Order
	for name := range keyMaps {
		svc := s.services[hash32(string(name))]
		if !success {
			svc.grants.KeyMapNotStored()
			continue
		}
		svc.grants.KeyMapStored(now)
		orders = append(orders, s.dueOrders(svc, now, confirmedAt)...)
		svc.updateOwners(now)
	}
	return orders
}
