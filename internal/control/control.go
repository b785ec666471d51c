// Package control is the runtime of the control path of an entry host. It
// follows the streams of the log, drives the decision packages lead, grant and
// placement with the clock and with I/O, and holds the tables that the request
// path reads.
//
// Locks: Controller.mu is taken before the locks of streams and of the load
// meter, and never held during I/O.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/relay"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// tickInterval is the longest time between two ticks of the decision
	// packages; their delays are multiples of 10 ms.
	tickInterval  = 10 * time.Millisecond
	hostsInterval = time.Second
	// messageTimeout bounds a control message to another host or a server. The
	// next one follows before that.
	messageTimeout = 400 * time.Millisecond
	// leadSlots is the number of leaderships of a cell. A partition uses the
	// slot that its name hashes to. The slot must not depend on configuration:
	// hosts that have applied different revisions would disagree on it and
	// could lead the same partition at the same time. Partitions that share a
	// slot have the same leader.
	leadSlots = 8
)

// Executor is the request path of this host as a leader.
type Executor interface {
	HandOver(p topology.PartitionID, epoch topology.Fence) (dedup.HandOver, bool)
	TakeOver(p topology.PartitionID, epoch topology.Fence, h dedup.HandOver) bool
	Continue(p topology.PartitionID, from, to topology.Fence) bool
	ServerDied(server topology.ServerID)
	StartWarmup(t exchange.Target)
	// Queued returns the number of requests that wait for a slot of a server.
	Queued(server topology.ServerID) int
	Quarantine() *quarantine.Table
}

// Options configure a Controller.
type Options struct {
	Self       topology.Member
	DataCentre topology.DataCentre
	Cell       topology.CellID
	Log        platformlog.Log
	Hosts      hostlist.Source
	Metrics    *metrics.Set
	Clock      clock.Clock
	// Retention is the time for which the log keeps records.
	Retention time.Duration
}

// Controller holds the control state of one entry host. It is safe for
// concurrent use.
type Controller struct {
	opts  Options
	log   logging.Logger
	clock clock.Clock
	peers *peer.Pool
	exec  Executor

	streams streams
	ready   atomic.Bool // configuration is known
	closing atomic.Bool // the host is shutting down
	crashes chan quarantine.Crash

	mu         sync.RWMutex
	node       *election.Node
	config     *config.Document
	revision   int64
	lists      map[topology.DataCentre][]state.MemberList
	hosts      []hostlist.Host
	addresses  map[topology.HostID]string // newest known
	platform   map[topology.HostID]string // as the platform's list has them
	partitions map[topology.PartitionID]*partition
	learned    leaderCache
	proposing  string // id of the proposal that is being appended
}

// New returns a Controller that has read nothing. SetExecutor and
// SetAddress must be called before Run.
func New(opts Options) *Controller {
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Clock == nil {
		opts.Clock = clock.BootTime{}
	}
	c := &Controller{
		opts: opts, log: logging.For(logging.Control), clock: opts.Clock,
		node: election.NewNode(election.Config{
			Self: opts.Self, Cell: opts.Cell, Partitions: leadSlots, Params: election.DefaultParams(),
		}),
		revision: -1, crashes: make(chan quarantine.Crash, maxPendingCrashes),
		lists:     make(map[topology.DataCentre][]state.MemberList),
		addresses: make(map[topology.HostID]string), platform: make(map[topology.HostID]string), partitions: make(map[topology.PartitionID]*partition),
		learned: newLeaderCache(),
	}
	c.streams = newStreams(opts.Cell, opts.Clock)
	return c
}

// SetExecutor connects the request path.
func (c *Controller) SetExecutor(e Executor) { c.exec = e }

// SetAddress sets the address of this host's peer interface. It must be called
// before Run.
func (c *Controller) SetAddress(address string) { c.peers = peer.NewPool(address) }

// Seen implements peer.Control.
func (c *Controller) Seen(host topology.HostID, address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[host] = address
}

// Run runs the loops until the context ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.peers.Close()
	var wg sync.WaitGroup
	loops := []func(context.Context){
		c.watchConfig, c.watchMembers, c.watchQuarantine, c.watchHosts, c.tick, c.place, c.publishCrashes,
	}
	shared := relay.NewClient(c.opts.Self.Host, c.clock, c.opts.Log, c.dialRelay, c.upstreams, c.streams.shared()...)
	loops = append(loops, shared.Run, logstream.NewReader(c.opts.Log, c.streams.assign).Run)
	for _, s := range c.streams.all() {
		loops = append(loops, logstream.NewSnapshotter(c.opts.Log, s, c.opts.Retention, string(c.opts.Self.Host)).Run)
	}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Relay returns the server of the streams that this host relays.
func (c *Controller) Relay() *relay.Server {
	return relay.NewServer(string(c.opts.Self.Host), c.clock, c.streams.shared()...)
}

func (c *Controller) dialRelay(host topology.HostID) (peerpb.PeerClient, func(), error) {
	client, ok := c.peerOf(host)
	if !ok {
		return nil, nil, eris.Errorf("the address of host %s is not known", host)
	}
	return client.RPC(), func() {}, nil // the pool closes the connection
}

// upstreams returns the hosts to follow the log from. A host that is on no list
// starts with any listed host of its data centre.
func (c *Controller) upstreams() []topology.HostID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	lists := c.lists[c.opts.DataCentre]
	hosts := relay.Upstreams(lists, c.opts.DataCentre, c.opts.Cell, c.opts.Self.Host)
	if len(lists) > 0 {
		return hosts
	}
	for _, h := range c.hosts {
		if h.Role == hostlist.RoleEntry && h.DataCentre == c.opts.DataCentre && h.ID != string(c.opts.Self.Host) {
			hosts = append(hosts, topology.HostID(h.ID))
		}
	}
	return hosts
}

func (c *Controller) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.step(ctx, func(now time.Duration) election.Actions { return c.node.Tick(now) })
		}
	}
}

// step runs one event of the leadership under the lock, brings the partitions
// in line with it, and sends the messages that result.
func (c *Controller) step(ctx context.Context, event func(now time.Duration) election.Actions) {
	c.mu.Lock()
	now := c.clock.Now()
	actions := event(now)
	c.syncPartitions(ctx, now)
	orders := c.tickPartitions(now)
	c.mu.Unlock()
	c.sendLead(ctx, actions, now)
	c.sendOrders(ctx, orders)
}

func (c *Controller) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if hosts, err := c.opts.Hosts.Hosts(ctx); err == nil {
			c.applyHosts(hosts)
		}
		clock.Sleep(ctx, hostsInterval)
	}
}

// applyHosts takes over the platform's list. Addresses of hosts that are no
// longer listed are kept, and an unchanged entry does not replace the address
// that the host has named since, because the list lags.
func (c *Controller) applyHosts(hosts []hostlist.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	for _, h := range hosts {
		id := topology.HostID(h.ID)
		if h.Role == hostlist.RoleEntry && c.platform[id] != h.Address {
			c.platform[id], c.addresses[id] = h.Address, h.Address
		}
	}
	for _, p := range c.partitions {
		p.setServers(c.serversOf(p.service))
	}
}
