package control

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// location is the shard and the partition of a key.
type location struct {
	ref       topology.ShardRef
	partition topology.PartitionID
	dc        topology.DataCentre
	service   config.Service
}

// slotOf returns the leadership slot of a partition.
func slotOf(p topology.PartitionID) int { return int(xxhash.Sum64String(string(p)) % leadershipSlots) }

// leadingCellList returns the member list of the cell that leads the partitions
// of a data centre: the cell with the data centre's name. The choice must not
// depend on which other cells exist. Hosts that know different lists would
// disagree on it, and two cells, whose elections are independent, could lead the
// same partition at the same time.
func leadingCellList(lists []state.MemberList, dc topology.DataCentre) (state.MemberList, bool) {
	i := slices.IndexFunc(lists, func(l state.MemberList) bool { return l.Cell == topology.CellID(dc) })
	if i < 0 {
		return state.MemberList{}, false
	}
	return lists[i], true
}

// locate returns the shard and the partition of a request's key. c.mu must be
// held.
func (c *Controller) locate(service topology.Service, customer topology.Customer, key string) (location, error) {
	if c.config == nil {
		return location{}, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "configuration is not known yet")
	}
	if _, ok := c.config.Customers[customer]; !ok {
		return location{}, verdict.New(verdict.CodeUnknownCustomer, verdict.NotRun, "customer %q is not configured", customer)
	}
	s, ok := c.config.Services[service]
	if !ok {
		return location{}, verdict.New(verdict.CodeUnknownService, verdict.NotRun, "service %q is not configured", service)
	}
	ref := topology.ShardRef{Service: service, Shard: topology.ShardOf(customer, service, key, s.Shards)}
	id, dc, err := c.config.PartitionOf(service, ref.Shard)
	if err != nil {
		return location{}, verdict.New(verdict.CodeUnknownService, verdict.NotRun, "%v", err)
	}
	return location{ref: ref, partition: id, dc: dc, service: s}, nil
}

// leaderOf returns the host that probably leads a partition. For a partition of
// this host's cell it is the leader that c.node knows. For other cells it is any
// member of the cell, which names the leader in its refusal. After each attempt
// that found no leader the next member is returned, because a dead host stays on
// the list while the log is down. c.mu must be held.
func (c *Controller) leaderOf(l location) (topology.HostID, bool) {
	list, ok := leadingCellList(c.memberLists[l.dc], l.dc)
	if !ok {
		return "", false
	}
	if list.Cell == c.opts.Cell {
		m, known := c.node.Leader(slotOf(l.partition))
		return m.Host, known
	}
	return list.Members[(slotOf(l.partition)+c.leaders.failureCount(l.partition))%len(list.Members)].Host, true
}

// Route implements dispatch.Routes. It returns the host that probably leads the
// partition of the request.
func (c *Controller) Route(req *request.Request) (dispatch.Route, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	if err != nil {
		return dispatch.Route{}, err
	}
	if address, ok := c.leaders.get(l.partition); ok && !c.ledByOwnCell(l) && c.isListed(l, address) {
		return dispatch.Route{Address: address}, nil
	}
	host, ok := c.leaderOf(l)
	if !ok {
		return dispatch.Route{}, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "no entry host is known for data centre %s", l.dc)
	}
	if host == c.opts.Self.Host {
		return dispatch.Route{Local: true}, nil
	}
	address, ok := c.addresses[host]
	if !ok {
		return dispatch.Route{}, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "the address of host %s is not known", host)
	}
	return dispatch.Route{Address: address}, nil
}

// ledByOwnCell reports whether this host's cell leads the partition.
func (c *Controller) ledByOwnCell(l location) bool {
	list, ok := leadingCellList(c.memberLists[l.dc], l.dc)
	return ok && list.Cell == c.opts.Cell
}

// isListed reports whether the host with the address is a member of the cell that
// leads the partition. A frozen host refuses no requests, so only its removal
// from the member list shows that the cached address is out of date.
func (c *Controller) isListed(l location, address string) bool {
	list, ok := leadingCellList(c.memberLists[l.dc], l.dc)
	return ok && slices.ContainsFunc(list.Members, func(m topology.Member) bool { return c.addresses[m.Host] == address })
}

// Learn implements dispatch.Learner. It caches the address of the leader of the
// request's partition; an empty address removes the cached one.
func (c *Controller) Learn(req *request.Request, address string) {
	c.mu.RLock()
	l, err := c.locate(req.Service, req.Customer, req.Key)
	c.mu.RUnlock()
	if err == nil {
		c.leaders.set(l.partition, address)
	}
}

// leaderCache caches the addresses of the leaders of partitions, for partitions
// of other cells. Its lock may be acquired while Controller.mu is held.
type leaderCache struct {
	mu        sync.RWMutex
	addresses map[topology.PartitionID]string
	failures  map[topology.PartitionID]int
}

func newLeaderCache() leaderCache {
	return leaderCache{addresses: make(map[topology.PartitionID]string), failures: make(map[topology.PartitionID]int)}
}

// failureCount returns the number of attempts that found no leader of the
// partition.
func (l *leaderCache) failureCount(p topology.PartitionID) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.failures[p]
}

func (l *leaderCache) get(p topology.PartitionID) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	a, ok := l.addresses[p]
	return a, ok
}

// set stores the address of the leader of a partition. An empty address removes
// the entry and counts an attempt that found no leader.
func (l *leaderCache) set(p topology.PartitionID, address string) {
	if old, ok := l.get(p); ok && old == address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == "" {
		delete(l.addresses, p)
		l.failures[p]++
		return
	}
	l.addresses[p] = address
}

// serversOf returns the servers of a service in this data centre from the host
// list, sorted by id. c.mu must be held.
func (c *Controller) serversOf(service topology.Service) []hostlist.Host {
	var servers []hostlist.Host
	for _, h := range c.hosts {
		if h.Role == hostlist.RoleServer && h.Service == service && h.DataCentre == c.opts.DataCentre {
			servers = append(servers, h)
		}
	}
	slices.SortFunc(servers, func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
	return servers
}
