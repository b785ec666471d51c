package control

import (
	"context"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/grant"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// partition is a partition that this host's cell leads. The fields from grants on
// describe the current or last leadership of this host; grants is nil while the
// host does not lead.
type partition struct {
	id      topology.PartitionID
	service topology.Service
	servers map[topology.ServerID]*serverConn
	// handOver is the state that the previous leader sent, until it is used.
	handOver *pendingHandOver

	grants           *grant.Manager
	epoch            topology.Fence
	leadsUntil       time.Duration  // currently known end of the leadership
	leadsSince       time.Time      // wall clock time at which the leadership started
	reportedCounters grant.Counters // already added to the metrics
	writer           *logstream.AssignmentWriter
	stopWriter       context.CancelFunc
	load             *loadMeter
	placement        placementState
}

// serverConn holds the client and the state of one server.
type serverConn struct {
	address     string
	client      *serverapi.Client
	draining    bool
	incarnation topology.Incarnation
}

// leaseCall is a lease request that is to be sent to a server.
type leaseCall struct {
	p      *partition
	grants *grant.Manager
	client *serverapi.Client
	out    grant.Outgoing
}

// setServers updates the servers of the partition from the host list. Servers
// that are no longer listed count as draining.
func (p *partition) setServers(hosts []hostlist.Host) {
	list := make([]grant.Server, 0, len(hosts))
	listed := make(map[topology.ServerID]bool)
	for _, h := range hosts {
		id := topology.ServerID(h.ID)
		listed[id] = true
		s, ok := p.servers[id]
		if !ok || s.address != h.Address {
			if ok {
				s.client.Close()
			}
			s = &serverConn{address: h.Address, client: serverapi.NewClient("http://" + h.Address)}
			p.servers[id] = s
		}
		s.draining = h.Leaving
		list = append(list, grant.Server{ID: id, Draining: h.Leaving})
	}
	for id, s := range p.servers {
		s.draining = s.draining || !listed[id]
	}
	if p.grants != nil {
		p.grants.SetServers(list)
	}
}

// syncPartitions starts and ends leaderships according to c.node. c.mu must be
// held.
func (c *Controller) syncPartitions(ctx context.Context, now time.Duration) {
	if c.config == nil {
		return
	}
	l, ok := leadingCellList(c.memberLists[c.opts.DataCentre], c.opts.DataCentre)
	if !ok || l.Cell != c.opts.Cell {
		return
	}
	for name, s := range c.config.Services {
		if !slices.Contains(s.DataCentres, c.opts.DataCentre) {
			continue
		}
		id := topology.PartitionName(name, c.opts.DataCentre, 0)
		p, ok := c.partitions[id]
		if !ok {
			p = &partition{id: id, service: name, servers: make(map[topology.ServerID]*serverConn)}
			c.partitions[id] = p
		}
		c.syncPartition(ctx, p, now)
	}
}

func (c *Controller) syncPartition(ctx context.Context, p *partition, now time.Duration) {
	epoch, until, leads := c.node.Leads(slotOf(p.id), now)
	switch {
	case !leads:
		if p.grants != nil {
			c.endLeadership(p, "the leadership has ended")
		}
		return
	case p.grants != nil && epoch == p.epoch:
		p.grants.SetSupport(until, now)
	case p.grants != nil && p.grants.Continue(epoch, until, now):
		// This host led without interruption, so no other host ran requests.
		c.exec.Continue(p.id, p.epoch, epoch)
		c.startWriter(ctx, p, epoch)
	default:
		if p.grants != nil {
			c.endLeadership(p, "the leadership was interrupted")
		}
		c.startLeadership(ctx, p, epoch, until, now)
	}
	p.epoch, p.leadsUntil = epoch, until
	if p.grants.LaterLeaderSeen() || p.grants.ServersUnreachable(now) {
		c.log.With("partition", p.id).Warn("releasing the partition: its servers are unreachable or know a later leader")
		c.endLeadership(p, "the leadership was released")
		c.node.Release(slotOf(p.id), now)
	}
}

func (c *Controller) startLeadership(ctx context.Context, p *partition, epoch topology.Fence, until, now time.Duration) {
	s := c.config.Services[p.service]
	cfg := grant.Config{
		Partition: p.id, Epoch: epoch, ChecksFences: s.ChecksFences, MaxExchange: s.MaxExchange,
		Preferred:           make(map[topology.ShardRef]topology.ServerID),
		EarlierLeadersUntil: c.node.EarlierLeadersUntil(slotOf(p.id)),
	}
	for shard := range topology.ShardID(s.Shards) {
		if id, _, err := c.config.PartitionOf(p.service, shard); err == nil && id == p.id {
			cfg.Shards = append(cfg.Shards, topology.ShardRef{Service: p.service, Shard: shard})
		}
	}
	c.streams.assignments.View(func(*state.Fold) {
		owners, _ := c.streams.assignmentsFold.Owners(p.id)
		for k, o := range owners {
			cfg.Preferred[topology.ShardRef{Service: p.service, Shard: k.Shard, Key: k.Key}] = o.Server
		}
	})
	p.grants = grant.New(cfg, until, now)
	p.leadsSince, p.reportedCounters, p.load = time.Now(), grant.Counters{}, newLoadMeter()
	p.placement = placementState{}
	c.importHandOver(p, epoch)
	p.setServers(c.serversOf(p.service))
	c.startWriter(ctx, p, epoch)
	c.opts.Metrics.Count(metrics.LeadershipsGained, 1)
	c.log.With("partition", p.id).With("epoch", epoch.String()).Info("this host now leads the partition")
}

// startWriter replaces the assignment writer of the partition by one for the
// given epoch and starts it.
func (c *Controller) startWriter(ctx context.Context, p *partition, epoch topology.Fence) {
	if p.stopWriter != nil {
		p.stopWriter()
	}
	ctx, p.stopWriter = context.WithCancel(ctx)
	grants := p.grants
	p.writer = logstream.NewAssignmentWriter(
		logstream.NewWriter(c.opts.Log, c.streams.assignments), c.streams.assignmentsFold, p.id, p.service, c.opts.Self.Host, epoch,
		func(a record.Assignments) { c.assignmentsRecorded(grants, p.service, a) })
	w := p.writer
	go func() {
		if err := w.Run(ctx, logstream.MaxStartDelay); err != nil && ctx.Err() == nil {
			c.log.With("partition", p.id).Error("the assignment writer failed; assignments are no longer written to the log", err)
		}
	}()
}

// assignmentsRecorded reports to the grant manager that assignments were read
// back from the log.
func (c *Controller) assignmentsRecorded(grants *grant.Manager, service topology.Service, a record.Assignments) {
	var changes []grant.Assignment
	for _, g := range a.Grants {
		for _, k := range g.Keys {
			changes = append(changes, grant.Assignment{Ref: topology.ShardRef{Service: service, Shard: k.Shard, Key: k.Key}, Server: g.Server, Fence: g.Fence})
		}
		for _, shard := range g.Shards {
			changes = append(changes, grant.Assignment{Ref: topology.ShardRef{Service: service, Shard: shard}, Server: g.Server, Fence: g.Fence})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	grants.AssignmentsRecorded(changes)
	c.opts.Metrics.Count(metrics.LogAppends, 1)
}

func (c *Controller) endLeadership(p *partition, reason string) {
	c.log.With("partition", p.id).With("epoch", p.epoch.String()).Info(reason)
	c.opts.Metrics.Count(metrics.LeadershipsLost, 1)
	c.reportCounters(p)
	if p.stopWriter != nil {
		p.stopWriter()
	}
	p.grants, p.writer, p.stopWriter = nil, nil, nil
}

// tickPartitions advances the grant managers of all partitions that this host
// leads and returns the lease requests to send. c.mu must be held.
func (c *Controller) tickPartitions(now time.Duration) []leaseCall {
	var calls []leaseCall
	for _, p := range c.partitions {
		if p.grants == nil {
			continue
		}
		calls = p.appendLeaseCalls(calls, p.grants.Tick(now))
		c.recordAssignments(p)
	}
	return calls
}

func (p *partition) appendLeaseCalls(calls []leaseCall, out []grant.Outgoing) []leaseCall {
	for _, o := range out {
		if s, ok := p.servers[o.Server]; ok {
			calls = append(calls, leaseCall{p: p, grants: p.grants, client: s.client, out: o})
		}
	}
	return calls
}

// recordAssignments passes acknowledged assignments and joined keys to the
// assignment writer. c.mu must be held.
func (c *Controller) recordAssignments(p *partition) {
	for _, ch := range p.grants.TakeAssignments() {
		g := record.Grant{Server: ch.Server, Fence: ch.Fence, Since: time.Now().UnixMilli(), Reason: p.placement.reason(ch.Ref)}
		if ch.Ref.Key == "" {
			g.Shards = []topology.ShardID{ch.Ref.Shard}
		} else {
			g.Keys = []record.SplitKey{{Shard: ch.Ref.Shard, Key: ch.Ref.Key}}
		}
		p.writer.Grant(g)
		p.placement.setAssigned(ch.Ref, c.clock.Now())
	}
	for _, ref := range p.grants.TakeJoinedKeys() {
		p.writer.Remove(record.SplitKey{Shard: ref.Shard, Key: ref.Key})
	}
}

func (c *Controller) sendLeaseCalls(ctx context.Context, calls []leaseCall) {
	for _, lc := range calls {
		go c.sendLeaseCall(ctx, lc)
	}
}

// sendLeaseCall sends one lease request, passes the outcome to the grant manager
// and sends the requests that follow from it.
func (c *Controller) sendLeaseCall(ctx context.Context, lc leaseCall) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := lc.client.UpdateLease(call, lc.out.Request)
	c.mu.Lock()
	now := c.clock.Now()
	if err != nil {
		lc.grants.HandleFailure(lc.out.Server, lc.out.ID)
		c.mu.Unlock()
		c.opts.Metrics.Count(metrics.LeaseFailures, 1)
		return
	}
	restarted := lc.p.updateIncarnation(lc.out.Server, reply.Incarnation)
	if restarted {
		// Crashes must be counted for the requests in flight before the shards
		// are granted again.
		c.exec.ServerDied(lc.out.Server)
		c.exec.StartWarmup(exchange.Target{Server: lc.out.Server, Slots: c.config.Services[lc.p.service].Slots})
	}
	next := lc.grants.HandleReply(lc.out.Server, lc.out.ID, reply, now)
	var calls []leaseCall
	if lc.p.grants == lc.grants {
		calls = lc.p.appendLeaseCalls(calls, next)
		c.recordAssignments(lc.p)
	}
	c.mu.Unlock()
	c.opts.Metrics.Count(metrics.LeaseRenewals, 1)
	c.sendLeaseCalls(ctx, calls)
}

// updateIncarnation stores the incarnation of a server and reports whether the
// server has restarted since the last call.
func (p *partition) updateIncarnation(id topology.ServerID, inc topology.Incarnation) bool {
	s, ok := p.servers[id]
	if !ok {
		return false
	}
	restarted := s.incarnation != 0 && s.incarnation != inc
	if restarted {
		delete(p.placement.startedAt, id) // restarts the warm-up
	}
	s.incarnation = inc
	return restarted
}

// Owner implements execute.Owners. It is called before every request is sent to
// a server and performs no I/O.
func (c *Controller) Owner(req *request.Request) (exchange.Target, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	if err != nil {
		return exchange.Target{}, err
	}
	p, ok := c.partitions[l.partition]
	now := c.clock.Now()
	if !ok || p.grants == nil || now >= p.leadsUntil {
		return exchange.Target{}, c.notLeaderError(l)
	}
	if epoch, _, leads := c.node.Leads(slotOf(p.id), now); !leads || epoch != p.epoch {
		return exchange.Target{}, c.notLeaderError(l)
	}
	ref := p.grants.Unit(l.ref, req.Key)
	id, fence, until, ok := p.grants.Owner(ref, now)
	if !ok {
		return exchange.Target{}, verdict.New(verdict.CodeNoOwner, verdict.NotRun, "shard %s has no owner at present", ref).WithRetry(grant.RenewInterval)
	}
	s := p.servers[id]
	t := exchange.Target{
		Server: id, Incarnation: s.incarnation, BaseURL: "http://" + s.address, Shard: ref, Fence: fence, Partition: p.id,
		LeaderSince: p.leadsSince, Leadership: p.epoch, Slots: l.service.Slots, MaxConns: l.service.MaxConns,
	}
	if !l.service.ChecksFences {
		t.NotAfter = time.Now().Add(min(until-now, l.service.MaxExchange))
	}
	return t, nil
}

// notLeaderError returns the error for a request whose partition this host does
// not lead. It contains the address of the leader if that is known.
func (c *Controller) notLeaderError(l location) error {
	err := verdict.New(verdict.CodeNotLeader, verdict.NotRun, "this host does not lead partition %s", l.partition)
	if host, ok := c.leaderOf(l); ok && host != c.opts.Self.Host {
		err.Leader = c.addresses[host]
	}
	return err
}

// reportCounters adds the events since the last call to the metrics.
func (c *Controller) reportCounters(p *partition) {
	n, old := p.grants.Counters(), p.reportedCounters
	p.reportedCounters = n
	c.opts.Metrics.Count(metrics.Grants, int64(n.Grants-old.Grants))
	c.opts.Metrics.Count(metrics.Moves, int64(n.Moves-old.Moves))
	c.opts.Metrics.Count(metrics.Revokes, int64(n.Revokes-old.Revokes))
}
