package control

import (
	"context"
	"math"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/grant"
	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// placementState is what the placement of one leadership remembers.
type placementState struct {
	ticks uint64
	// loads are smoothed loads of shards in busy slots.
	loads   map[topology.ShardRef]float64
	since   map[topology.ShardRef]time.Duration // acknowledgement of the grant
	reasons map[topology.ShardRef]string
	recent  []time.Duration // times of planned moves
	started map[topology.ServerID]time.Duration
}

func (s *placementState) moved(ref topology.ShardRef, now time.Duration) {
	if s.since == nil {
		s.since = make(map[topology.ShardRef]time.Duration)
	}
	s.since[ref] = now
}

func (s *placementState) reason(ref topology.ShardRef) string {
	if r, ok := s.reasons[ref]; ok {
		return r
	}
	return "placed by the leader"
}

// Served measures a completed request of a partition that this host leads.
func (c *Controller) Served(req *request.Request, ans *request.Answer) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	if err != nil {
		return
	}
	if p, ok := c.partitions[l.partition]; ok && p.load != nil {
		unit := l.ref
		if p.leader != nil {
			unit = p.leader.Unit(l.ref, req.Key)
		}
		p.load.add(unit, req.Key, ans.Server, ans.Timing.Server)
	}
}

// place runs the placement policy once per tick for each partition that this
// host leads.
func (c *Controller) place(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, placement.Tick)
		c.mu.Lock()
		for _, p := range c.partitions {
			if p.leader != nil {
				c.placePartition(p)
				c.count(p)
			}
		}
		c.mu.Unlock()
		c.reportGauges()
	}
}

// reportGauges updates the values that operators watch.
func (c *Controller) reportGauges() {
	c.opts.Metrics.SetGauge("records_unknown", float64(c.unknownRecords()))
	c.mu.RLock()
	defer c.mu.RUnlock()
	led := 0
	for _, p := range c.partitions {
		if p.leader != nil {
			led++
		}
	}
	c.opts.Metrics.SetGauge("partitions_led", float64(led))
	c.opts.Metrics.SetGauge("config_revision", float64(c.revision))
	c.opts.Metrics.SetGauge("log_age_seconds", c.node.Status(c.clock.Now()).LogAge.Seconds())
}

func (c *Controller) placePartition(p *partition) {
	now := c.clock.Now()
	s := &p.placing
	s.ticks++
	in := placement.Input{Settings: placementSettings(c.config, p, c.opts.DataCentre), Seed: s.ticks}
	shards, servers := p.load.read()
	mean := s.smooth(shards, servers, in.Settings.Smoothing)
	for _, e := range p.load.hot(placement.Tick) {
		in.HotKeys = append(in.HotKeys, placement.HotKey{Ref: e.Key, Load: e.Rate * mean, Error: e.Error * mean})
	}
	for len(s.recent) > 0 && now-s.recent[0] > in.Settings.ChangeInterval {
		s.recent = s.recent[1:]
	}
	in.RecentChanges = len(s.recent)
	for _, sh := range p.leader.Shards() {
		if sh.State != grant.Owned {
			continue // package grant places shards without an owner itself
		}
		in.Assignments = append(in.Assignments, placement.Assignment{
			Ref: sh.Ref, Server: sh.Server, OwnedFor: now - s.since[sh.Ref], Load: s.loads[sh.Ref],
		})
	}
	for _, srv := range p.leader.Servers(now) {
		in.Servers = append(in.Servers, s.server(srv, c.config.Services[p.service], servers[srv.ID], now))
	}
	plan := placement.Decide(in)
	for _, m := range plan.Moves {
		if m.Reason == placement.ReasonBalance && p.leader.Move(m.Ref, m.To, now) == nil {
			s.planned(m.Ref, "moved to balance load", now)
		}
	}
	for _, sp := range plan.Splits {
		if p.leader.Split(sp.Key, sp.To, now) == nil {
			s.planned(sp.Key, "split off its shard because it is hot", now)
		}
	}
	for _, j := range plan.Joins {
		if p.leader.Join(j.Key, now) == nil {
			s.planned(j.Key, "joined with its shard again", now)
		}
	}
}

// planned notes a planned change and its reason.
func (s *placementState) planned(ref topology.ShardRef, reason string, now time.Duration) {
	s.recent = append(s.recent, now)
	if s.reasons == nil {
		s.reasons = make(map[topology.ShardRef]string)
	}
	s.reasons[ref] = reason
}

// smooth updates the loads of shards: the request rate times the mean service
// time of the partition, which it returns in seconds.
func (s *placementState) smooth(shards map[topology.ShardRef]float64, servers map[topology.ServerID]*usage, constant time.Duration) float64 {
	var requests int
	var busy time.Duration
	for _, u := range servers {
		requests += u.requests
		busy += u.busy
	}
	if s.loads == nil {
		s.loads = make(map[topology.ShardRef]float64)
	}
	keep := math.Exp(-placement.Tick.Seconds() / constant.Seconds())
	for ref := range s.loads {
		s.loads[ref] *= keep
	}
	if requests == 0 {
		return 0
	}
	mean := busy.Seconds() / float64(requests)
	for ref, n := range shards {
		s.loads[ref] += (1 - keep) * n * mean / placement.Tick.Seconds()
	}
	return mean
}

func (s *placementState) server(srv grant.ServerStatus, cfg config.Service, u *usage, now time.Duration) placement.Server {
	if s.started == nil {
		s.started = make(map[topology.ServerID]time.Duration)
	}
	if _, ok := s.started[srv.ID]; !ok {
		s.started[srv.ID] = now
	}
	out := placement.Server{ID: srv.ID, Slots: cfg.Slots, StateAge: now - s.started[srv.ID]}
	switch {
	case srv.Draining:
		out.State = placement.Draining
	case !srv.Responsive:
		out.State = placement.Lost
	}
	if u != nil {
		out.BusySlots = u.busy.Seconds() / placement.Tick.Seconds()
		out.NominalLoad = out.BusySlots
	}
	out.Reports = []placement.Report{{BusySlots: srv.Load.Utilisation * float64(cfg.Slots)}}
	return out
}

// placementSettings returns the settings of a deployment: the common ones with
// the operators' weights.
func placementSettings(doc *config.Document, p *partition, dc topology.DataCentre) placement.Settings {
	fleet := doc.Effective(config.Target{Service: p.service, Partition: p.id, DataCentre: dc}, time.Now()).Fleet
	s := placement.KingstonSettings()
	if fleet.WeightImbalance > fleet.WeightUnavailable {
		s = placement.HrJadranSettings()
	}
	if w := (placement.Weights{Imbalance: fleet.WeightImbalance, Churn: fleet.WeightChurn, Unavailable: fleet.WeightUnavailable}); w.Churn > 0 {
		s.Weights = w
	}
	return s
}

// Share returns the weight of a customer in the queues of servers.
func (c *Controller) Share(customer topology.Customer) float64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.config == nil {
		return 1
	}
	return c.config.Customers[customer].Share
}
