// Package control runs the control plane of an entry host. It follows the
// streams of the log and calls the decision packages election, grant and
// placement on timers and incoming messages. It sends the messages that these
// return, and provides the routing state that the request path reads.
//
// Locks: Controller.mu is acquired before the locks of log streams, of the load
// meter and of the leader cache. It is never held during I/O.
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
	// Packages election and grant require a tick at least every 10 ms; their
	// delays are multiples of it.
	tickInterval     = 10 * time.Millisecond
	hostListInterval = time.Second
	// callTimeout limits a control call to another host or to a server. The
	// next call follows within this time.
	callTimeout = 400 * time.Millisecond
	// leadershipSlots is the number of leaderships that a cell elects
	// separately. A partition uses the slot that its name hashes to; partitions
	// in the same slot have the same leader. The slot must not depend on
	// configuration: hosts that have applied different revisions would disagree
	// on it and could lead the same partition at the same time.
	leadershipSlots = 8
)

// Executor executes requests while this host leads their partition.
type Executor interface {
	// HandOver closes the deduplication table of a partition and returns its
	// content for the next leader. It returns false if there is no table with
	// the epoch.
	HandOver(p topology.PartitionID, epoch topology.Fence) (dedup.HandOver, bool)
	// TakeOver starts a leadership with the deduplication table of the preceding
	// leader. It returns false if the table cannot be used.
	TakeOver(p topology.PartitionID, epoch topology.Fence, h dedup.HandOver) bool
	// Continue keeps the deduplication table for a later epoch of this host. No
	// other host may have led in between.
	Continue(p topology.PartitionID, from, to topology.Fence) bool
	// ServerDied counts a crash for each request that was in flight at the
	// server.
	ServerDied(server topology.ServerID)
	// StartWarmup starts the warm-up of a server that has restarted.
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
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// Controller runs the control plane of one entry host. It is safe for
// concurrent use.
type Controller struct {
	opts  Options
	log   logging.Logger
	clock clock.Clock
	peers *peer.Pool
	exec  Executor

	streams      streams
	ready        atomic.Bool // a configuration has been applied
	shuttingDown atomic.Bool
	crashes      chan quarantine.Crash

	mu                sync.RWMutex
	node              *election.Node
	config            *config.Document
	configRevision    int64
	memberLists       map[topology.DataCentre][]state.MemberList
	hosts             []hostlist.Host
	addresses         map[topology.HostID]string // newest known address of each entry host
	listedAddresses   map[topology.HostID]string // address of each entry host in the host list
	partitions        map[topology.PartitionID]*partition
	leaders           leaderCache
	pendingProposalID string // record id of the member list that is being appended, or empty
}

// New returns a Controller without configuration and member lists, which Run
// reads from the log. SetExecutor and SetAddress must be called before Run.
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
			Self: opts.Self, Cell: opts.Cell, Partitions: leadershipSlots, Params: election.DefaultParams(),
		}),
		configRevision: -1, crashes: make(chan quarantine.Crash, maxPendingCrashes),
		memberLists: make(map[topology.DataCentre][]state.MemberList),
		addresses:   make(map[topology.HostID]string), listedAddresses: make(map[topology.HostID]string), partitions: make(map[topology.PartitionID]*partition),
		leaders: newLeaderCache(),
	}
	c.streams = newStreams(opts.Cell, opts.Clock)
	return c
}

// SetExecutor sets the Executor of this host. It must be called before Run.
func (c *Controller) SetExecutor(e Executor) { c.exec = e }

// SetAddress sets the address at which other hosts reach this host. It must be
// called before Run.
func (c *Controller) SetAddress(address string) { c.peers = peer.NewPool(address) }

// RecordAddress implements peer.Control. It stores the address that another host sent
// with a control message.
func (c *Controller) RecordAddress(host topology.HostID, address string) {
	if address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[host] = address
}

// Run runs the background loops until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	defer c.peers.Close()
	var wg sync.WaitGroup
	loops := []func(context.Context){
		c.watchConfig, c.watchMembers, c.watchQuarantine, c.watchHosts, c.tick, c.runPlacement, c.publishCrashes,
	}
	relayClient := relay.NewClient(c.opts.Self.Host, c.clock, c.opts.Log, c.dialRelay, c.upstreams, c.streams.shared()...)
	loops = append(loops, relayClient.Run, logstream.NewReader(c.opts.Log, c.streams.assignments).Run)
	for _, s := range c.streams.all() {
		loops = append(loops, logstream.NewSnapshotter(c.opts.Log, s, c.opts.Retention, string(c.opts.Self.Host)).Run)
	}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Relay returns a server that relays the shared streams to other hosts.
func (c *Controller) Relay() *relay.Server {
	return relay.NewServer(string(c.opts.Self.Host), c.clock, c.streams.shared()...)
}

func (c *Controller) dialRelay(host topology.HostID) (peerpb.PeerClient, func(), error) {
	client, ok := c.peerOf(host)
	if !ok {
		return nil, nil, eris.Errorf("the address of host %s is not known", host)
	}
	return client.RPC(), func() {}, nil // c.peers closes the connection
}

// upstreams returns the hosts whose relayed log streams this host may follow.
// Until it has read a member list of its data centre, these are all other entry
// hosts of the data centre in the host list.
func (c *Controller) upstreams() []topology.HostID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	lists := c.memberLists[c.opts.DataCentre]
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
			c.handleElectionEvent(ctx, func(now time.Duration) election.Actions { return c.node.Tick(now) })
		}
	}
}

// handleElectionEvent calls event with c.mu held, starts and ends leaderships
// accordingly, and sends the messages that result.
func (c *Controller) handleElectionEvent(ctx context.Context, event func(now time.Duration) election.Actions) {
	c.mu.Lock()
	now := c.clock.Now()
	actions := event(now)
	c.syncPartitions(ctx, now)
	calls := c.tickPartitions(now)
	c.mu.Unlock()
	c.sendElectionMessages(ctx, actions, now)
	c.sendLeaseCalls(ctx, calls)
}

func (c *Controller) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if hosts, err := c.opts.Hosts.Hosts(ctx); err == nil {
			c.applyHosts(hosts)
		}
		clock.Sleep(ctx, hostListInterval)
	}
}

// applyHosts applies the platform's host list. It keeps the addresses of hosts
// that are no longer listed. The list lags behind, so an entry replaces the
// address that a host itself has reported only if the entry has changed.
func (c *Controller) applyHosts(hosts []hostlist.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	for _, h := range hosts {
		id := topology.HostID(h.ID)
		if h.Role == hostlist.RoleEntry && c.listedAddresses[id] != h.Address {
			c.listedAddresses[id], c.addresses[id] = h.Address, h.Address
		}
	}
	for _, p := range c.partitions {
		p.setServers(c.serversOf(p.service))
	}
}
