package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// leader grants the shards of one partition.
type leader struct {
	servers map[topology.ServerID]*serverState
	owners  map[topology.ShardRef]ownership
	seq     uint64
	since   time.Time // start of the leadership
}

type serverState struct {
	host        hostlist.Host
	client      *serverapi.Client
	incarnation topology.Incarnation
	tick        time.Duration
	until       time.Time // end of the lease on this host's clock
}

type ownership struct {
	server topology.ServerID
	fence  topology.Fence
}

// leaderOf returns the member that leads the partition of a service.
func leaderOf(list record.MemberList, index int) topology.Member {
	return list.Members[index%len(list.Members)]
}

// partitionIndex numbers the partitions of a data centre by service name.
func partitionIndex(doc *config.Document, service topology.Service) int {
	names := make([]string, 0, len(doc.Services))
	for name := range doc.Services {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return slices.Index(names, string(service))
}

func (c *Controller) lead(ctx context.Context) {
	for ctx.Err() == nil {
		for service := range c.ledServices() {
			c.renew(ctx, service)
		}
		sleep(ctx, renewInterval)
	}
}

func (c *Controller) ledServices() map[topology.Service]config.Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	led := make(map[topology.Service]config.Service)
	list := c.lists[c.opts.DataCentre]
	if c.config == nil || len(list.Members) == 0 {
		return led
	}
	for name, s := range c.config.Services {
		if leaderOf(list, partitionIndex(c.config, name)).Host == c.opts.Self.Host && slices.Contains(s.DataCentres, c.opts.DataCentre) {
			led[name] = s
		}
	}
	return led
}

// renew renews the leases of all servers of a partition and grants shards that
// have no owner.
func (c *Controller) renew(ctx context.Context, service topology.Service) {
	c.mu.Lock()
	id := topology.PartitionName(service, c.opts.DataCentre, 0)
	l, ok := c.leaders[id]
	if !ok {
		l = &leader{servers: make(map[topology.ServerID]*serverState), owners: make(map[topology.ShardRef]ownership), since: time.Now()}
		c.leaders[id] = l
	}
	epoch := topology.Fence{List: c.lists[c.opts.DataCentre].Version}
	l.addServers(c.hosts, service, c.opts.DataCentre)
	l.dropLapsed(time.Now())
	orders := l.assign(c.config, service, c.opts.DataCentre, epoch)
	c.mu.Unlock()

	var wg sync.WaitGroup
	for sid, s := range l.servers {
		wg.Go(func() { c.renewServer(ctx, l, sid, s, id, epoch, orders[sid]) })
	}
	wg.Wait()
}

func (c *Controller) renewServer(ctx context.Context, l *leader, sid topology.ServerID, s *serverState, id topology.PartitionID, epoch topology.Fence, grants []serverapi.GrantOrder) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := serverapi.LeaseRequest{
		Partition: id, Epoch: epoch, Incarnation: s.incarnation, Tick: s.tick, Duration: grantDuration, Grant: grants,
	}
	start := s.until
	reply, err := s.client.UpdateLease(ctx, req)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		return
	}
	if reply.Refused != "" {
		s.incarnation, s.tick = reply.Incarnation, reply.Tick
		return
	}
	for _, g := range grants {
		l.owners[g.Ref] = ownership{server: sid, fence: g.Fence}
	}
	for _, r := range reply.Refusals {
		delete(l.owners, r.Ref)
	}
	s.tick = reply.Tick
	s.until = maxTime(start, now.Add(reply.Remaining))
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *leader) addServers(hosts []hostlist.Host, service topology.Service, dc topology.DataCentre) {
	for _, h := range hosts {
		if h.Role != hostlist.RoleServer || h.Service != service || h.DataCentre != dc {
			continue
		}
		if _, ok := l.servers[topology.ServerID(h.ID)]; !ok {
			l.servers[topology.ServerID(h.ID)] = &serverState{host: h, client: serverapi.NewClient("http://" + h.Address)}
		}
	}
}

// dropLapsed frees the shards of servers whose lease has ended.
func (l *leader) dropLapsed(now time.Time) {
	for ref, o := range l.owners {
		if s := l.servers[o.server]; !s.until.IsZero() && now.After(s.until) {
			delete(l.owners, ref)
		}
	}
}

func (l *leader) assign(doc *config.Document, service topology.Service, dc topology.DataCentre, epoch topology.Fence) map[topology.ServerID][]serverapi.GrantOrder {
	orders := make(map[topology.ServerID][]serverapi.GrantOrder)
	ready := l.readyServers()
	if len(ready) == 0 {
		return orders
	}
	for shard := topology.ShardID(0); uint32(shard) < doc.Services[service].Shards; shard++ {
		ref := topology.ShardRef{Service: service, Shard: shard}
		if _, home, _ := doc.PartitionOf(service, shard); home != dc {
			continue
		}
		if _, ok := l.owners[ref]; ok {
			continue
		}
		l.seq++
		fence := epoch
		fence.Seq = l.seq
		sid := ready[int(shard)%len(ready)]
		orders[sid] = append(orders[sid], serverapi.GrantOrder{Ref: ref, Fence: fence})
	}
	return orders
}

func (l *leader) readyServers() []topology.ServerID {
	var ready []topology.ServerID
	now := time.Now()
	for sid, s := range l.servers {
		if s.incarnation != 0 && (s.until.IsZero() || now.Before(s.until)) {
			ready = append(ready, sid)
		}
	}
	slices.SortFunc(ready, func(a, b topology.ServerID) int { return strings.Compare(string(a), string(b)) })
	return ready
}

// Owner implements execute.Owners.
func (c *Controller) Owner(req *request.Request) (exchange.Target, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	ref, id, _, err := c.locate(req)
	if err != nil {
		return exchange.Target{}, err
	}
	l, ok := c.leaders[id]
	if !ok {
		return exchange.Target{}, verdict.New(verdict.CodeNotLeader, verdict.NotRun, "this host does not lead %s", id)
	}
	o, ok := l.owners[ref]
	if !ok || time.Now().After(l.servers[o.server].until) {
		return exchange.Target{}, verdict.New(verdict.CodeNoOwner, verdict.NotRun, "shard %s has no owner", ref).WithRetry(renewInterval)
	}
	return exchange.Target{Server: o.server, Base: "http://" + l.servers[o.server].host.Address, Ref: ref, Fence: o.fence, Partition: id, Since: l.since}, nil
}

// Route implements dispatch.Routes.
func (c *Controller) Route(req *request.Request) (dispatch.Route, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, _, dc, err := c.locate(req)
	if err != nil {
		return dispatch.Route{}, err
	}
	list := c.lists[dc]
	if len(list.Members) == 0 {
		return dispatch.Route{}, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "data centre %s has no entry host", dc)
	}
	m := leaderOf(list, partitionIndex(c.config, req.Service))
	if m.Host == c.opts.Self.Host {
		return dispatch.Route{Local: true}, nil
	}
	for _, h := range c.hosts {
		if h.Role == hostlist.RoleEntry && h.ID == string(m.Host) {
			return dispatch.Route{Address: h.Address}, nil
		}
	}
	return dispatch.Route{}, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "address of host %s is not known", m.Host)
}

func (c *Controller) locate(req *request.Request) (topology.ShardRef, topology.PartitionID, topology.DataCentre, error) {
	if c.config == nil {
		return topology.ShardRef{}, "", "", verdict.New(verdict.CodeNoLeader, verdict.NotRun, "configuration is not known yet")
	}
	if _, ok := c.config.Customers[req.Customer]; !ok {
		return topology.ShardRef{}, "", "", verdict.New(verdict.CodeUnknownCustomer, verdict.NotRun, "customer %q is not configured", req.Customer)
	}
	s, ok := c.config.Services[req.Service]
	if !ok {
		return topology.ShardRef{}, "", "", verdict.New(verdict.CodeUnknownService, verdict.NotRun, "service %q is not configured", req.Service)
	}
	ref := topology.ShardRef{Service: req.Service, Shard: topology.ShardOf(req.Customer, req.Service, req.Key, s.Shards)}
	id, dc, err := c.config.PartitionOf(req.Service, ref.Shard)
	return ref, id, dc, err
}
