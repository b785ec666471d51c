package gateway

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/keyplace"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// core schedules the requests of all services. The leader's core also owns the
// grants of keyed services. A host that reaches no leader uses a core of its
// own, which follows the last known key maps.
type core struct {
	clk clock.Clock
	// deliver takes decisions; it is called without the lock.
	deliver func([]schedule.Decision)
	// trusted reports whether the list of servers is fresh enough.
	trusted func() bool
	// may reports whether this host may send grants, rivals returns the time
	// after which no grant of an earlier leader arrives. Both are nil in the core
	// of a host that does not lead.
	may    func() bool
	rivals func() time.Duration

	mu       sync.Mutex
	services map[uint32]*domain // by hash of the name
}

// domain is one service.
type domain struct {
	name  topology.Service
	keyed bool
	sched *schedule.Service
	// grants is nil in the core of a host that does not lead.
	grants *ownership.Leader
	table  keymap.Map
	meter  *keyplace.Meter
	parts  []ownership.Part // of grants, renewed at each tick
	// usable holds the servers that may get requests and keys.
	usable map[topology.ServerID]schedule.Server
	// planned is the time of the last placement decision.
	planned time.Duration
}

const (
	// remoteCost reflects that bytes between data centres are dear.
	remoteCost = 4
	// planInterval is the interval between placement decisions: hot sets last
	// for a few seconds.
	planInterval = 250 * time.Millisecond
)

var placeSettings = keyplace.Settings{
	MaxMoves: 3,    // moves under way hold up requests
	MinGap:   0.22, // in slots per slot
	MinUse:   0.30, // below, requests rarely wait
	MaxParts: 2.5,  // each part costs a renewal, in bytes between data centres
}

func hash32(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

func newCore(clk clock.Clock, deliver func([]schedule.Decision), trusted func() bool) *core {
	return &core{clk: clk, deliver: deliver, trusted: trusted, services: make(map[uint32]*domain)}
}

// configure adds the services of the configuration.
func (c *core) configure(cfg *fleet.Config, tables map[topology.Service]keymap.Map, leaderOf func(topology.Service, keymap.Map) *ownership.Leader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, svc := range cfg.Services {
		h := hash32(string(name))
		if _, ok := c.services[h]; ok {
			continue
		}
		d := &domain{
			name: name, keyed: svc.Keyed,
			sched: schedule.New(svc.Keyed, schedule.Settings{RemoteCost: remoteCost}),
		}
		if svc.Keyed {
			d.table = tables[name]
			if d.table == nil {
				d.table = keymap.Empty()
			}
			if leaderOf != nil {
				d.grants = leaderOf(name, tables[name])
				d.meter = keyplace.NewMeter()
			}
		}
		c.services[h] = d
	}
}

// setTables replaces the key maps of a core without grants.
func (c *core) setTables(tables map[topology.Service]keymap.Map) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.services {
		if t, ok := tables[d.name]; ok && d.grants == nil {
			d.table = t
		}
	}
}

// add takes a request and reports whether it is new.
func (c *core) add(service uint32, j *schedule.Job) bool {
	c.mu.Lock()
	d, ok := c.services[service]
	if !ok {
		c.mu.Unlock()
		c.deliver([]schedule.Decision{{Job: j, Refused: true, Reason: schedule.NoServer, RetryAfter: unknownRetry}})
		return true
	}
	now := c.clk.Now()
	if d.sched.Knows(j.ID) {
		c.mu.Unlock()
		return false
	}
	if d.keyed && (j.Key < 0 || j.Key >= keymap.Keys) {
		j.Key = 0
	}
	if d.meter != nil {
		d.meter.Add(j.Key, d.sched.Work(j.Class), now)
	}
	d.sched.Add(j, now)
	out := c.decide(d, now)
	c.mu.Unlock()
	c.deliver(out)
	return true
}

// decide returns the decisions on the requests of a service, none while the list
// of servers is too old.
func (c *core) decide(d *domain, now time.Duration) []schedule.Decision {
	if !c.trusted() {
		return nil
	}
	return d.sched.Run(now)
}

// unknownRetry is the time after which a request to a service that is not known
// yet can succeed.
const unknownRetry = 300 * time.Millisecond

// done records a report.
func (c *core) done(r schedule.Report) {
	c.mu.Lock()
	now := c.clk.Now()
	var out []schedule.Decision
	for _, d := range c.services {
		if !d.sched.Knows(r.ID) {
			continue
		}
		j, srv := d.sched.Done(r, now)
		if r.Result == schedule.Elsewhere && d.grants != nil && j != nil && srv != "" {
			d.grants.Renew(j.Key, srv)
			d.refreshOwners(now)
		}
		out = c.decide(d, now)
		break
	}
	c.mu.Unlock()
	c.deliver(out)
}

// has reports whether the request waits or runs.
func (c *core) has(service uint32, id schedule.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.services[service]
	return ok && d.sched.Waits(id)
}

// run makes the decisions that are due because time has passed.
func (c *core) run() {
	c.mu.Lock()
	now := c.clk.Now()
	var out []schedule.Decision
	for _, d := range c.services {
		out = append(out, c.decide(d, now)...)
	}
	c.mu.Unlock()
	c.deliver(out)
}

// refresh brings the servers and owners up to date.
func (c *core) refresh(servers []fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	c.setServers(servers, now)
	for _, d := range c.services {
		if d.keyed {
			d.refreshOwners(now)
		}
	}
}

// setServers brings the servers of all services up to date.
func (c *core) setServers(servers []fleet.Server, now time.Duration) {
	for _, d := range c.services {
		usable := make(map[topology.ServerID]schedule.Server)
		reachable := make(map[topology.ServerID]ownership.Server)
		for _, s := range servers {
			if s.Service != d.name {
				continue
			}
			reachable[s.ID] = ownership.Server{Address: s.Address, Born: s.Born}
			if !s.Leaving {
				usable[s.ID] = schedule.Server{
					Address: s.Address, DataCentre: s.DataCentre, Slots: s.Slots, Born: s.Born, Cold: s.WarmupLeft,
				}
			}
		}
		d.usable = usable
		d.sched.SetServers(usable, now)
		if d.grants != nil {
			d.grants.SetServers(reachable, now)
		}
	}
}

// refreshOwners passes the present owners to the scheduler.
func (d *domain) refreshOwners(now time.Duration) {
	if d.grants == nil {
		table := d.table
		d.sched.SetOwners(-1, func(key int) schedule.Owner {
			s := table.Server(key)
			return schedule.Owner{Server: s, Held: s != ""}
		})
		return
	}
	d.parts = d.parts[:0]
	d.grants.Parts(now, func(p ownership.Part) { d.parts = append(d.parts, p) })
	parts := d.parts
	version := d.grants.Version()
	d.sched.SetOwners(version, func(key int) schedule.Owner {
		lo, hi := 0, len(parts)-1
		for lo < hi {
			mid := (lo + hi) / 2
			if parts[mid].To < key {
				lo = mid + 1
			} else {
				hi = mid
			}
		}
		if len(parts) == 0 {
			return schedule.Owner{}
		}
		p := parts[lo]
		o := schedule.Owner{Server: p.Server, Held: p.Held}
		if p.Lost {
			o.Free = p.Free
		}
		return o
	})
}

// plan decides on placement.
func (d *domain) plan(now time.Duration) {
	if d.grants == nil || now-d.planned < planInterval {
		return
	}
	d.planned = now
	lost := make(map[topology.ServerID]bool)
	var parts []keyplace.Part
	d.grants.Parts(now, func(p ownership.Part) {
		if p.Lost {
			lost[p.Server] = true
		}
	})
	var servers []keyplace.Server
	for id, s := range d.usable {
		if lost[id] {
			continue
		}
		servers = append(servers, keyplace.Server{ID: id, Capacity: float64(s.Slots) / d.sched.Slowness(id)})
	}
	d.grants.Parts(now, func(p ownership.Part) {
		part := keyplace.Part{From: p.From, To: p.To, Server: p.Server, Next: p.Next, Movable: p.Held}
		_, ok := d.usable[p.Server]
		_, nextOK := d.usable[p.Next]
		part.Homeless = (!ok || lost[p.Server]) && (p.Next == "" || !nextOK || lost[p.Next])
		parts = append(parts, part)
	})
	for _, m := range keyplace.Plan(parts, servers, d.meter.Sums(now), placeSettings) {
		d.grants.Move(m.From, m.To, m.Server)
	}
}

// tick advances the grants of all services and returns the calls that are due.
func (c *core) tick(servers []fleet.Server, proof time.Duration, mayMove bool) []ownership.Order {
	c.mu.Lock()
	now := c.clk.Now()
	c.setServers(servers, now)
	var orders []ownership.Order
	var out []schedule.Decision
	for _, d := range c.services {
		if d.grants != nil {
			if mayMove {
				d.plan(now)
			}
			orders = append(orders, c.step(d, now, proof)...)
			d.refreshOwners(now)
		}
		out = append(out, c.decide(d, now)...)
	}
	c.mu.Unlock()
	c.deliver(out)
	return orders
}

// summary holds the counts of a service.
type summary struct {
	service                 topology.Service
	waiting, running, slots int
	parts, moving, unowned  int
}

// keyLoad describes the load of the keys of a service.
type keyLoad struct {
	busiest, mean float64 // of the servers
	hottest       float64 // of the busiest key
}

// summaries returns the counts of all services.
func (c *core) summaries() []summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	var out []summary
	for _, d := range c.services {
		s := summary{service: d.name}
		s.waiting, s.running, s.slots = d.sched.Counts()
		if d.grants != nil {
			d.grants.Parts(now, func(p ownership.Part) {
				s.parts++
				if p.Next != "" {
					s.moving++
				}
				if !p.Held {
					s.unowned++
				}
			})
		}
		out = append(out, s)
	}
	return out
}

// keyLoad returns the load of the keys of a service. It looks at every key, which
// the counts do not need.
func (c *core) keyLoad(service topology.Service) keyLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l keyLoad
	d, ok := c.services[hash32(string(service))]
	if !ok || d.grants == nil {
		return l
	}
	now := c.clk.Now()
	sums := d.meter.Sums(now)
	for k := range keymap.Keys {
		l.hottest = max(l.hottest, sums[k+1]-sums[k])
	}
	load := make(map[topology.ServerID]float64)
	d.grants.Parts(now, func(p ownership.Part) { load[p.Server] += sums[p.To+1] - sums[p.From] })
	for id, work := range load {
		work *= d.sched.Slowness(id) / 2
		l.busiest = max(l.busiest, work)
		l.mean += work / float64(len(load))
	}
	return l
}

// step returns the calls that are due for a service.
func (c *core) step(d *domain, now, proof time.Duration) []ownership.Order {
	d.grants.SetRivals(c.rivals())
	if !c.may() {
		return nil
	}
	return d.grants.Step(now, proof)
}

// result records the end of a call to a server. It reports whether a server has
// refused the newest fence.
func (c *core) result(o ownership.Order, outcome ownership.Outcome, handover string, proof time.Duration) (deposed bool, next []ownership.Order) {
	c.mu.Lock()
	d, ok := c.services[hash32(string(o.Service))]
	if !ok || d.grants == nil {
		c.mu.Unlock()
		return false, nil
	}
	now := c.clk.Now()
	d.grants.Result(o, outcome, handover, now)
	next = c.step(d, now, proof)
	d.refreshOwners(now)
	out := c.decide(d, now)
	deposed = d.grants.Deposed()
	c.mu.Unlock()
	c.deliver(out)
	return deposed, next
}

// checked tells all grants that this host still leads.
func (c *core) checked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.services {
		if d.grants != nil {
			d.grants.Checked()
		}
	}
}

// tables returns the key maps that the store lacks.
func (c *core) tables() map[topology.Service]keymap.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[topology.Service]keymap.Map)
	for _, d := range c.services {
		if d.grants == nil {
			continue
		}
		if t, changed := d.grants.Table(); changed {
			out[d.name] = t
		}
	}
	return out
}

// revert gives keys whose move cannot be stored back to their servers. It must be
// called only if the store has refused the append.
func (c *core) revert(proof time.Duration) []ownership.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	var orders []ownership.Order
	for _, d := range c.services {
		if d.grants != nil {
			d.grants.Revert(now)
			orders = append(orders, c.step(d, now, proof)...)
			d.refreshOwners(now)
		}
	}
	return orders
}

// stored records the end of an append of tables.
func (c *core) stored(tables map[topology.Service]keymap.Map, ok bool, proof time.Duration) []ownership.Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	var orders []ownership.Order
	for name := range tables {
		d := c.services[hash32(string(name))]
		if !ok {
			d.grants.NotStored()
			continue
		}
		d.grants.Stored(now)
		orders = append(orders, c.step(d, now, proof)...)
		d.refreshOwners(now)
	}
	return orders
}
