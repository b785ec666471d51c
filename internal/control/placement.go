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

// placementState holds the inputs of the placement policy that last for one
// leadership.
type placementState struct {
	ticks uint64
	// loads are the smoothed loads of shards and split-off keys in busy slots.
	loads         map[topology.ShardRef]float64
	assignedAt    map[topology.ShardRef]time.Duration // time of the owner's acknowledgement
	reasons       map[topology.ShardRef]string
	recentChanges []time.Duration // times of rebalancing changes
	// startedAt is when the leader first saw each server's current incarnation.
	startedAt map[topology.ServerID]time.Duration
}

func (s *placementState) setAssigned(ref topology.ShardRef, now time.Duration) {
	if s.assignedAt == nil {
		s.assignedAt = make(map[topology.ShardRef]time.Duration)
	}
	s.assignedAt[ref] = now
}

func (s *placementState) reason(ref topology.ShardRef) string {
	if r, ok := s.reasons[ref]; ok {
		return r
	}
	return "placed by the leader"
}

// RecordLoad adds a completed request to the load of its key and server. It
// ignores requests of partitions that this host has not led.
func (c *Controller) RecordLoad(req *request.Request, ans *request.Response) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	if err != nil {
		return
	}
	if p, ok := c.partitions[l.partition]; ok && p.load != nil {
		unit := l.ref
		if p.grants != nil {
			unit = p.grants.Unit(l.ref, req.Key)
		}
		p.load.add(unit, req.Key, ans.Server, ans.Timing.Server)
	}
}

// runPlacement rebalances each partition that this host leads once per
// placement.Tick and updates the metrics.
func (c *Controller) runPlacement(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, placement.Tick)
		c.mu.Lock()
		for _, p := range c.partitions {
			if p.grants != nil {
				c.rebalance(p)
				c.reportCounters(p)
			}
		}
		c.mu.Unlock()
		c.reportGauges()
	}
}

// reportGauges updates the gauges of the control plane.
func (c *Controller) reportGauges() {
	c.opts.Metrics.SetGauge("records_unknown", float64(c.unknownRecords()))
	c.mu.RLock()
	defer c.mu.RUnlock()
	led := 0
	for _, p := range c.partitions {
		if p.grants != nil {
			led++
		}
	}
	c.opts.Metrics.SetGauge("partitions_led", float64(led))
	c.opts.Metrics.SetGauge("config_revision", float64(c.configRevision))
	c.opts.Metrics.SetGauge("log_age_seconds", c.node.Status(c.clock.Now()).LogAge.Seconds())
}

// rebalance calls the placement policy with the measured loads and starts the
// changes that it returns. c.mu must be held.
func (c *Controller) rebalance(p *partition) {
	now := c.clock.Now()
	s := &p.placement
	s.ticks++
	in := placement.Input{Settings: placementSettings(c.config, p, c.opts.DataCentre), Seed: s.ticks}
	shards, servers := p.load.takeSums()
	mean := s.updateLoads(shards, servers, in.Settings.Smoothing)
	for _, e := range p.load.hotKeys(placement.Tick) {
		in.HotKeys = append(in.HotKeys, placement.HotKey{Ref: e.Key, Load: e.Rate * mean, Error: e.Error * mean})
	}
	for len(s.recentChanges) > 0 && now-s.recentChanges[0] > in.Settings.ChangeInterval {
		s.recentChanges = s.recentChanges[1:]
	}
	in.RecentChanges = len(s.recentChanges)
	for _, sh := range p.grants.Shards() {
		if sh.State != grant.Owned {
			continue // package grant assigns shards without an owner
		}
		in.Assignments = append(in.Assignments, placement.Assignment{
			Ref: sh.Ref, Server: sh.Server, OwnedFor: now - s.assignedAt[sh.Ref], Load: s.loads[sh.Ref],
		})
	}
	for _, srv := range p.grants.Servers(now) {
		in.Servers = append(in.Servers, s.serverInput(srv, c.config.Services[p.service], servers[srv.ID], now))
	}
	plan := placement.Decide(in)
	for _, m := range plan.Moves {
		if m.Reason == placement.ReasonBalance && p.grants.Move(m.Ref, m.To, now) == nil {
			s.recordChange(m.Ref, "moved to balance load", now)
		}
	}
	for _, sp := range plan.Splits {
		if p.grants.Split(sp.Key, sp.To, now) == nil {
			s.recordChange(sp.Key, "split off its shard because it is hot", now)
		}
	}
	for _, j := range plan.Joins {
		if p.grants.Join(j.Key, now) == nil {
			s.recordChange(j.Key, "joined with its shard again", now)
		}
	}
}

// recordChange records the time of a rebalancing change and its reason.
func (s *placementState) recordChange(ref topology.ShardRef, reason string, now time.Duration) {
	s.recentChanges = append(s.recentChanges, now)
	if s.reasons == nil {
		s.reasons = make(map[topology.ShardRef]string)
	}
	s.reasons[ref] = reason
}

// updateLoads updates the smoothed loads of shards and returns the mean service
// time of the partition in seconds. The load of a shard is its request rate times
// this mean.
func (s *placementState) updateLoads(shards map[topology.ShardRef]float64, servers map[topology.ServerID]*serverUsage, timeConstant time.Duration) float64 {
	var requests int
	var busy time.Duration
	for _, u := range servers {
		requests += u.requests
		busy += u.busy
	}
	if s.loads == nil {
		s.loads = make(map[topology.ShardRef]float64)
	}
	decay := math.Exp(-placement.Tick.Seconds() / timeConstant.Seconds())
	for ref := range s.loads {
		s.loads[ref] *= decay
	}
	if requests == 0 {
		return 0
	}
	mean := busy.Seconds() / float64(requests)
	for ref, n := range shards {
		s.loads[ref] += (1 - decay) * n * mean / placement.Tick.Seconds()
	}
	return mean
}

// serverInput returns the state of a server for the placement policy.
func (s *placementState) serverInput(srv grant.ServerStatus, cfg config.Service, u *serverUsage, now time.Duration) placement.Server {
	if s.startedAt == nil {
		s.startedAt = make(map[topology.ServerID]time.Duration)
	}
	if _, ok := s.startedAt[srv.ID]; !ok {
		s.startedAt[srv.ID] = now
	}
	out := placement.Server{ID: srv.ID, Slots: cfg.Slots, StateAge: now - s.startedAt[srv.ID]}
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

// placementSettings returns the placement settings of a partition. They are those
// of hr-jadran if the configured weight of imbalance exceeds that of unavailable
// time, and those of Kingston otherwise. Configured weights replace their weights.
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

// CustomerWeight returns the weight of a customer in the fair queues of the
// servers.
func (c *Controller) CustomerWeight(customer topology.Customer) float64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.config == nil {
		return 1
	}
	return c.config.Customers[customer].Share
}
