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

// scheduler assigns the requests of all services to servers. The leader's
// scheduler also manages the grants of keyed services. A host that reaches no
// leader uses a scheduler of its own, which follows the last known key maps.
type scheduler struct {
	clk clock.Clock
	// deliver receives decisions; it is called without the lock.
	deliver func([]schedule.Decision)
	// listUsable reports whether requests may be sent by the present list of
	// servers.
	listUsable func() bool
	// mayGrant reports whether this host may send grants, earlierGrantsUntil
	// returns the time after which no grant of an earlier leader arrives, and
	// movesFrom the time before which no key range changes its server. They
	// are nil in the scheduler of a host that does not lead.
	mayGrant           func() bool
	earlierGrantsUntil func() time.Duration
	movesFrom          func() time.Duration
	// warmup returns the bounds of cold servers and the share of this scheduler; nil
	// if no server is limited. warmupLog is nil in the scheduler of a host that does
	// not lead.
	warmup    func() (Bounds, schedule.WarmupShare)
	warmupLog *warmupLog

	mu       sync.Mutex
	services map[uint32]*serviceScheduler // by hash of the name
}

// serviceScheduler schedules the requests of one service.
type serviceScheduler struct {
	name  topology.Service
	keyed bool
	sched *schedule.Scheduler
	// grants is nil in the scheduler of a host that does not lead.
	grants *ownership.Manager
	keyMap keymap.Map
	meter  *keyplacement.Meter
	ranges []ownership.RangeState // of grants, in the order of keys
	// usable holds the servers that may receive requests and keys; draining
	// servers are not among them.
	usable   map[topology.ServerID]schedule.Server
	lastPlan time.Duration
	// warmupRate and coldTime are those of the configuration.
	warmupRate  float64
	coldTime    time.Duration
	coldServers int
}

const (
	// remoteCost is the factor by which a server in another data centre must be
	// better: traffic between data centres is expensive.
	remoteCost = 4
	// placementInterval is the interval between placement decisions. Sets of
	// hot keys last for a few seconds.
	placementInterval = 250 * time.Millisecond
)

var placementSettings = keyplacement.Settings{
	MinMoves:           3,    // requests for moving keys wait
	ServersPerMove:     3,    // sets of hot keys are spread within a second
	MinUtilisationGap:  0.30, // in slots per slot; with 0.22, keys moved for random differences
	MinUtilisation:     0.30, // below it, requests rarely wait
	MaxRangesPerServer: 2.5,  // each key range costs renewals, in bytes between data centres
}

func hash32(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

func newScheduler(clk clock.Clock, deliver func([]schedule.Decision), listUsable func() bool) *scheduler {
	return &scheduler{clk: clk, deliver: deliver, listUsable: listUsable, services: make(map[uint32]*serviceScheduler)}
}

// addServices adds the services of the configuration that the scheduler does
// not have yet. newGrants is nil on a host that does not lead.
func (s *scheduler) addServices(cfg *fleet.Config, keyMaps map[topology.Service]keymap.Map, newGrants func(topology.Service, keymap.Map) *ownership.Manager) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, spec := range cfg.Services {
		hash := hash32(string(name))
		if svc, ok := s.services[hash]; ok {
			svc.warmupRate, svc.coldTime = spec.WarmupRate, spec.ColdTime
			continue
		}
		svc := &serviceScheduler{
			name: name, keyed: spec.Keyed, warmupRate: spec.WarmupRate, coldTime: spec.ColdTime,
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

// setKeyMaps replaces the key maps of a scheduler without grants.
func (s *scheduler) setKeyMaps(keyMaps map[topology.Service]keymap.Map) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		if keyMap, ok := keyMaps[svc.name]; ok && svc.grants == nil {
			svc.keyMap = keyMap
		}
	}
}

// add adds a request and reports whether it is new.
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

// decide returns the decisions that can be made on the requests of a service;
// none while the list of servers is too old.
func (s *scheduler) decide(svc *serviceScheduler, now time.Duration) []schedule.Decision {
	if !s.listUsable() {
		return nil
	}
	return svc.sched.Decide(now)
}

// defaultRetryAfter is the Retry-After of refusals for which no better estimate
// is known, such as requests before the first configuration.
const defaultRetryAfter = 300 * time.Millisecond

// recordReport records how an exchange with a server ended.
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

// setLimit takes note of what a response of a server says of its limit, of
// which this scheduler uses a share.
func (s *scheduler) setLimit(l serverLimit, share schedule.LimitShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc, ok := s.services[l.service]; ok {
		svc.sched.SetLimit(l.server, l.limit, share, s.clk.Now())
	}
}

// isQueued reports whether the request waits and has not been sent to a server.
func (s *scheduler) isQueued(serviceHash uint32, id schedule.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[serviceHash]
	return ok && svc.sched.IsQueued(id)
}

// dispatch makes the decisions that have become due because time has passed.
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

// updateServers replaces the servers and updates the owners of keys.
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

// setServers replaces the servers of all services. The caller holds the lock.
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
					ConfirmedAt: srv.ConfirmedAt,
				}
			}
		}
		svc.usable = usable
		s.limitColdServers(svc)
		svc.sched.SetServers(usable, now)
		s.logColdServers(svc, now)
		if svc.grants != nil {
			svc.grants.SetServers(reachable)
		}
	}
}

// updateOwners passes the present owners of keys to the request scheduler.
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
	svc.grants.Ranges(now, func(r ownership.RangeState) { svc.ranges = append(svc.ranges, r) })
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
		r := ranges[lo]
		o := schedule.Owner{Server: r.Server, Granted: r.Granted}
		if r.Unreachable || r.OwnerUnknown {
			o.FreeAt = r.FreeAt
		}
		return o
	})
}

// planMoves decides which key ranges move to which server, at most once per
// placementInterval.
func (svc *serviceScheduler) planMoves(now time.Duration) {
	if svc.grants == nil || now-svc.lastPlan < placementInterval {
		return
	}
	svc.lastPlan = now
	unreachable := make(map[topology.ServerID]bool)
	var ranges []keyplacement.Range
	svc.grants.Ranges(now, func(r ownership.RangeState) {
		if r.Unreachable {
			unreachable[r.Server] = true
		}
	})
	var servers []keyplacement.Server
	for id := range svc.usable {
		if unreachable[id] {
			continue
		}
		servers = append(servers, keyplacement.Server{ID: id, Capacity: svc.sched.Capacity(id, now)})
	}
	svc.grants.Ranges(now, func(r ownership.RangeState) {
		keyRange := keyplacement.Range{From: r.From, To: r.To, Server: r.Server, Next: r.Next, Movable: r.Granted}
		_, ok := svc.usable[r.Server]
		_, nextOK := svc.usable[r.Next]
		keyRange.NeedsServer = (!ok || r.Free || unreachable[r.Server]) && (r.Next == "" || !nextOK || unreachable[r.Next])
		ranges = append(ranges, keyRange)
	})
	for _, m := range keyplacement.Plan(ranges, servers, svc.meter.PrefixSums(now), placementSettings) {
		svc.grants.Move(m.From, m.To, m.Server)
	}
}

// tick advances the grants of all services and returns the calls that are due.
// confirmedAt is the time of the last confirmation of this leader.
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

// ownerChanges holds the changes of the owners of a service's keys, and the number of
// further ones.
type ownerChanges struct {
	changes []ownership.Change
	omitted int
}

// takeOwnerChanges returns the changes of owners since the last call.
func (s *scheduler) takeOwnerChanges() map[topology.Service]ownerChanges {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[topology.Service]ownerChanges)
	for _, svc := range s.services {
		if svc.grants == nil {
			continue
		}
		if changes, omitted := svc.grants.TakeChanges(); len(changes) > 0 {
			out[svc.name] = ownerChanges{changes, omitted}
		}
	}
	return out
}

// summary holds the counts of a service.
type summary struct {
	service                    topology.Service
	waiting, running, slots    int
	keyRanges, moving, unowned int
	cold                       int // servers
}

// keyLoad holds the measured load of a keyed service: that of its busiest
// server, the mean over its servers, and that of its busiest key.
type keyLoad struct {
	busiestServer, meanServer float64
	hottestKey                float64
}

// summaries returns the counts of all services.
func (s *scheduler) summaries() []summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	var out []summary
	for _, svc := range s.services {
		sum := summary{service: svc.name, cold: svc.coldServers}
		sum.waiting, sum.running, sum.slots = svc.sched.Counts()
		if svc.grants != nil {
			svc.grants.Ranges(now, func(r ownership.RangeState) {
				sum.keyRanges++
				if r.Next != "" {
					sum.moving++
				}
				if !r.Granted {
					sum.unowned++
				}
			})
		}
		out = append(out, sum)
	}
	return out
}

// keyLoad returns the load of the keys of a service. It visits every key, so it
// is kept apart from summaries.
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
	svc.grants.Ranges(now, func(r ownership.RangeState) { loads[r.Server] += sums[r.To+1] - sums[r.From] })
	for id, work := range loads {
		work *= svc.sched.Slowness(id) / 2
		load.busiestServer = max(load.busiestServer, work)
		load.meanServer += work / float64(len(loads))
	}
	return load
}

// dueOrders returns the calls that are due for a service.
func (s *scheduler) dueOrders(svc *serviceScheduler, now, confirmedAt time.Duration) []ownership.Order {
	svc.grants.SetEarlierLeadersUntil(s.earlierGrantsUntil())
	svc.grants.SetMovesFrom(s.movesFrom())
	if !s.mayGrant() {
		return nil
	}
	return svc.grants.Step(now, confirmedAt)
}

// recordResult records the result of a call to a server, which ended at the given
// time, and returns the calls that are due now. fenced is true if a server has refused the newest fence.
func (s *scheduler) recordResult(o ownership.Order, outcome ownership.Outcome, handover string, ended, confirmedAt time.Duration) (fenced bool, next []ownership.Order) {
	s.mu.Lock()
	svc, ok := s.services[hash32(string(o.Service))]
	if !ok || svc.grants == nil {
		s.mu.Unlock()
		return false, nil
	}
	now := s.clk.Now()
	svc.grants.HandleResult(o, outcome, handover, ended)
	if o.Kind == ownership.Fence {
		// It changes no owner, and the orders that are due wait for the next tick: to find
		// them takes a look at all ranges.
		s.mu.Unlock()
		return false, nil
	}
	next = s.dueOrders(svc, now, confirmedAt)
	svc.updateOwners(now)
	out := s.decide(svc, now)
	fenced = svc.grants.SuspectsLaterLeader()
	s.mu.Unlock()
	s.deliver(out)
	return fenced, next
}

// confirmLeadership records that the store still names this host as the leader.
func (s *scheduler) confirmLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range s.services {
		if svc.grants != nil {
			svc.grants.LeadershipConfirmed()
		}
	}
}

// changedKeyMaps returns the key maps that differ from those in the store.
func (s *scheduler) changedKeyMaps() map[topology.Service]keymap.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[topology.Service]keymap.Map)
	for _, svc := range s.services {
		if svc.grants == nil {
			continue
		}
		if keyMap, changed := svc.grants.NextKeyMap(); changed || svc.grants.AddressesChanged() {
			out[svc.name] = keyMap
		}
	}
	return out
}

// revertMoves returns keys whose move cannot be stored to their servers. It
// must be called only if the store has refused the append.
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

// keyMapsToGrantAgain returns the key maps to store in a restored store before grantAgain.
func (s *scheduler) keyMapsToGrantAgain() map[topology.Service]keymap.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[topology.Service]keymap.Map)
	for _, svc := range s.services {
		if svc.grants != nil {
			out[svc.name] = svc.grants.KeyMapToGrantAgain()
		}
	}
	return out
}

// grantAgain grants all key ranges again after keyMapsToGrantAgain were stored. It calls
// startEpoch while no order can be created, since the orders of one epoch must not have
// fences of another.
func (s *scheduler) grantAgain(startEpoch func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	startEpoch()
	now := s.clk.Now()
	for _, svc := range s.services {
		if svc.grants != nil {
			svc.grants.GrantAgain()
			svc.updateOwners(now)
		}
	}
}

// recordNotStored records that an append of key maps failed. It is in doubt if the store
// may have carried it out.
func (s *scheduler) recordNotStored(keyMaps map[topology.Service]keymap.Map, inDoubt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range keyMaps {
		s.services[hash32(string(name))].grants.KeyMapNotStored(inDoubt)
	}
}

// recordStored records that an append of key maps succeeded.
func (s *scheduler) recordStored(keyMaps map[topology.Service]keymap.Map, confirmedAt time.Duration) []ownership.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	var orders []ownership.Order
	for name := range keyMaps {
		svc := s.services[hash32(string(name))]
		svc.grants.KeyMapStored(now)
		orders = append(orders, s.dueOrders(svc, now, confirmedAt)...)
		svc.updateOwners(now)
	}
	return orders
}
