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

// partition is a partition of this host's cell. The fields from leader on are
// set while this host leads it.
type partition struct {
	id      topology.PartitionID
	service topology.Service
	servers map[topology.ServerID]*serverConn
	// handOver is the memory that the leader of the preceding term sent.
	handOver *pendingHandOver

	leader   *grant.Manager
	epoch    topology.Fence
	until    time.Duration // end of the leadership as last known
	since    time.Time     // wall clock of the start of the leadership
	reported grant.Counters
	writer   *logstream.AssignmentWriter
	stop     context.CancelFunc // ends the writer
	load     *loadMeter
	placing  placementState
}

// serverConn is the control connection to one server.
type serverConn struct {
	address     string
	client      *serverapi.Client
	leaving     bool
	incarnation topology.Incarnation
}

// order is a lease request to send to a server.
type order struct {
	p      *partition
	leader *grant.Manager
	client *serverapi.Client
	out    grant.Outgoing
}

// setServers takes over the servers of the host list.
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
		s.leaving = h.Leaving
		list = append(list, grant.Server{ID: id, Draining: h.Leaving})
	}
	for id, s := range p.servers {
		s.leaving = s.leaving || !listed[id]
	}
	if p.leader != nil {
		p.leader.SetServers(list)
	}
}

// syncPartitions starts and ends leaderships as the node says. c.mu must be
// held.
func (c *Controller) syncPartitions(ctx context.Context, now time.Duration) {
	if c.config == nil {
		return
	}
	l, ok := cellOf(c.lists[c.opts.DataCentre], c.opts.DataCentre)
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
		if p.leader != nil {
			c.endLeadership(p, "Leadership has ended.")
		}
		return
	case p.leader != nil && epoch == p.epoch:
		p.leader.SetSupport(until, now)
	case p.leader != nil && p.leader.Continue(epoch, until, now):
		// The same host leads without a break, so nobody else ran requests.
		c.exec.Continue(p.id, p.epoch, epoch)
		c.startWriter(ctx, p, epoch)
	default:
		if p.leader != nil {
			c.endLeadership(p, "Leadership was interrupted.")
		}
		c.startLeadership(ctx, p, epoch, until, now)
	}
	p.epoch, p.until = epoch, until
	if p.leader.LaterLeaderSeen() || p.leader.ServersUnreachable(now) {
		c.log.With("partition", p.id).Warn("Partition is released, because its servers do not answer this host.")
		c.endLeadership(p, "Leadership is released.")
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
	c.streams.assign.View(func(*state.Fold) {
		owners, _ := c.streams.assignFold.Owners(p.id)
		for k, o := range owners {
			cfg.Preferred[topology.ShardRef{Service: p.service, Shard: k.Shard, Key: k.Key}] = o.Server
		}
	})
	p.leader = grant.New(cfg, until, now)
	p.since, p.reported, p.load = time.Now(), grant.Counters{}, newLoadMeter()
	p.placing = placementState{}
	c.acceptHandOver(p, epoch)
	p.setServers(c.serversOf(p.service))
	c.startWriter(ctx, p, epoch)
	c.opts.Metrics.Count(metrics.LeadershipsGained, 1)
	c.log.With("partition", p.id).With("epoch", epoch.String()).Info("This host leads the partition.")
}

// startWriter records the assignments of a leadership in the log.
func (c *Controller) startWriter(ctx context.Context, p *partition, epoch topology.Fence) {
	if p.stop != nil {
		p.stop()
	}
	ctx, p.stop = context.WithCancel(ctx)
	leader := p.leader
	p.writer = logstream.NewAssignmentWriter(
		logstream.NewWriter(c.opts.Log, c.streams.assign), c.streams.assignFold, p.id, p.service, c.opts.Self.Host, epoch,
		func(a record.Assignments) { c.recorded(leader, p.service, a) })
	w := p.writer
	go func() {
		if err := w.Run(ctx, logstream.MaxStartDelay); err != nil && ctx.Err() == nil {
			c.log.With("partition", p.id).Error("Assignments are not recorded.", err)
		}
	}()
}

// recorded marks assignments as in place after they were read back.
func (c *Controller) recorded(leader *grant.Manager, service topology.Service, a record.Assignments) {
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
	leader.AssignmentsRecorded(changes)
	c.opts.Metrics.Count(metrics.LogAppends, 1)
}

func (c *Controller) endLeadership(p *partition, reason string) {
	c.log.With("partition", p.id).With("epoch", p.epoch.String()).Info(reason)
	c.opts.Metrics.Count(metrics.LeadershipsLost, 1)
	c.count(p)
	if p.stop != nil {
		p.stop()
	}
	p.leader, p.writer, p.stop = nil, nil, nil
}

// tickPartitions advances all leaderships of this host. c.mu must be held.
func (c *Controller) tickPartitions(now time.Duration) []order {
	var orders []order
	for _, p := range c.partitions {
		if p.leader == nil {
			continue
		}
		orders = p.appendOrders(orders, p.leader.Tick(now))
		c.record(p)
	}
	return orders
}

func (p *partition) appendOrders(orders []order, out []grant.Outgoing) []order {
	for _, o := range out {
		if s, ok := p.servers[o.Server]; ok {
			orders = append(orders, order{p: p, leader: p.leader, client: s.client, out: o})
		}
	}
	return orders
}

// record passes acknowledged assignments to the writer of the log.
func (c *Controller) record(p *partition) {
	for _, ch := range p.leader.TakeAssignments() {
		g := record.Grant{Server: ch.Server, Fence: ch.Fence, Since: time.Now().UnixMilli(), Reason: p.placing.reason(ch.Ref)}
		if ch.Ref.Key == "" {
			g.Shards = []topology.ShardID{ch.Ref.Shard}
		} else {
			g.Keys = []record.SplitKey{{Shard: ch.Ref.Shard, Key: ch.Ref.Key}}
		}
		p.writer.Grant(g)
		p.placing.moved(ch.Ref, c.clock.Now())
	}
	for _, ref := range p.leader.TakeJoinedKeys() {
		p.writer.Remove(record.SplitKey{Shard: ref.Shard, Key: ref.Key})
	}
}

func (c *Controller) sendOrders(ctx context.Context, orders []order) {
	for _, o := range orders {
		go c.sendOrder(ctx, o)
	}
}

// sendOrder sends one lease request and passes its outcome on.
func (c *Controller) sendOrder(ctx context.Context, o order) {
	call, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err := o.client.UpdateLease(call, o.out.Request)
	c.mu.Lock()
	now := c.clock.Now()
	if err != nil {
		o.leader.HandleFailure(o.out.Server, o.out.ID)
		c.mu.Unlock()
		c.opts.Metrics.Count(metrics.LeaseFailures, 1)
		return
	}
	died := o.p.noteIncarnation(o.out.Server, reply.Incarnation)
	if died {
		// The suspects must be counted before the shards are granted again.
		c.exec.ServerDied(o.out.Server)
		c.exec.StartWarmup(exchange.Target{Server: o.out.Server, Slots: c.config.Services[o.p.service].Slots})
	}
	next := o.leader.HandleReply(o.out.Server, o.out.ID, reply, now)
	var orders []order
	if o.p.leader == o.leader {
		orders = o.p.appendOrders(orders, next)
		c.record(o.p)
	}
	c.mu.Unlock()
	c.opts.Metrics.Count(metrics.LeaseRenewals, 1)
	c.sendOrders(ctx, orders)
}

// noteIncarnation reports whether a server has a new incarnation.
func (p *partition) noteIncarnation(id topology.ServerID, inc topology.Incarnation) bool {
	s, ok := p.servers[id]
	if !ok {
		return false
	}
	died := s.incarnation != 0 && s.incarnation != inc
	if died {
		delete(p.placing.started, id) // the new process starts cold
	}
	s.incarnation = inc
	return died
}

// Owner implements execute.Owners. It is called before every send, so it only
// reads tables.
func (c *Controller) Owner(req *request.Request) (exchange.Target, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	if err != nil {
		return exchange.Target{}, err
	}
	p, ok := c.partitions[l.partition]
	now := c.clock.Now()
	if !ok || p.leader == nil || now >= p.until {
		return exchange.Target{}, c.notLeader(l)
	}
	if epoch, _, leads := c.node.Leads(slotOf(p.id), now); !leads || epoch != p.epoch {
		return exchange.Target{}, c.notLeader(l)
	}
	ref := p.leader.Unit(l.ref, req.Key)
	id, fence, until, ok := p.leader.Owner(ref, now)
	if !ok {
		return exchange.Target{}, verdict.New(verdict.CodeNoOwner, verdict.NotRun, "shard %s has no owner at present", ref).WithRetry(grant.RenewInterval)
	}
	s := p.servers[id]
	t := exchange.Target{
		Server: id, Incarnation: s.incarnation, BaseURL: "http://" + s.address, Shard: ref, Fence: fence, Partition: p.id,
		LeaderSince: p.since, Leadership: p.epoch, Slots: l.service.Slots, MaxConns: l.service.MaxConns,
	}
	if !l.service.ChecksFences {
		t.NotAfter = time.Now().Add(min(until-now, l.service.MaxExchange))
	}
	return t, nil
}

// notLeader names the host that leads the partition, if it is known.
func (c *Controller) notLeader(l location) error {
	err := verdict.New(verdict.CodeNotLeader, verdict.NotRun, "this host does not lead partition %s", l.partition)
	if host, ok := c.leaderOf(l); ok && host != c.opts.Self.Host {
		err.Leader = c.addresses[host]
	}
	return err
}

// count adds what a leadership has done to the metrics.
func (c *Controller) count(p *partition) {
	n, old := p.leader.Counters(), p.reported
	p.reported = n
	c.opts.Metrics.Count(metrics.Grants, int64(n.Grants-old.Grants))
	c.opts.Metrics.Count(metrics.Moves, int64(n.Moves-old.Moves))
	c.opts.Metrics.Count(metrics.Revokes, int64(n.Revokes-old.Revokes))
}
