// Package control runs the control loops of an entry host: it follows the log,
// leads partitions and grants shards to servers.
package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/follow"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	renewInterval  = 400 * time.Millisecond
	grantDuration  = 1300 * time.Millisecond
	readLimit      = 500
	readWait       = time.Second
	hostsInterval  = time.Second
	callTimeout    = 400 * time.Millisecond
	startupBackoff = 200 * time.Millisecond
)

// Options configure a Controller.
type Options struct {
	Self       topology.Member
	DataCentre topology.DataCentre
	Cell       topology.CellID
	Log        platformlog.Log
	Hosts      hostlist.Source
}

// Controller holds the control state of one entry host.
type Controller struct {
	opts Options
	log  logging.Logger

	mu      sync.RWMutex
	config  *config.Document
	lists   map[topology.DataCentre]record.MemberList
	hosts   []hostlist.Host
	leaders map[topology.PartitionID]*leader
}

// New returns a Controller that has read nothing.
func New(opts Options) *Controller {
	return &Controller{
		opts: opts, log: logging.For(logging.Control),
		lists:   make(map[topology.DataCentre]record.MemberList),
		leaders: make(map[topology.PartitionID]*leader),
	}
}

// Run runs the loops until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.followConfig, c.followMembers, c.followHosts, c.lead} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

func (c *Controller) followConfig(ctx context.Context) {
	fold := state.NewConfig()
	stream := follow.NewStream(fold.Fold, clock.Boot{}, follow.SlowWait)
	go follow.NewFollower(c.opts.Log, stream).Run(ctx)
	for ctx.Err() == nil {
		changed := stream.Changed()
		var doc *config.Document
		stream.View(func(*state.Fold) { doc, _ = fold.Document() })
		c.mu.Lock()
		c.config = doc
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (c *Controller) followMembers(ctx context.Context) {
	c.follow(ctx, record.StreamMembers, func(e record.Envelope) {
		if e.Kind != record.KindMembers {
			return
		}
		var list record.MemberList
		if err := json.Unmarshal(e.Body, &list); err != nil {
			c.log.Error("Member list record is invalid.", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if old, ok := c.lists[list.DataCentre]; !ok || list.Version == old.Version+1 {
			c.lists[list.DataCentre] = list
		}
	})
}

// follow reads a stream from its start and applies each record.
func (c *Controller) follow(ctx context.Context, stream string, apply func(record.Envelope)) {
	var next int64
	for ctx.Err() == nil {
		b, err := c.opts.Log.Read(ctx, stream, next, readLimit, readWait)
		if err != nil {
			sleep(ctx, startupBackoff)
			continue
		}
		for _, r := range b.Records {
			next = r.Offset + 1
			e, err := record.Decode(r.Data)
			if err != nil || e.Version != record.Version {
				c.log.With("offset", r.Offset).Warn("Record has an unknown version.")
				continue
			}
			apply(e)
		}
		if next >= b.Next && stream == record.StreamMembers {
			c.joinList(ctx)
		}
	}
}

// joinList adds this host to its data centre's list if it is missing.
func (c *Controller) joinList(ctx context.Context) {
	c.mu.RLock()
	list, ok := c.lists[c.opts.DataCentre]
	c.mu.RUnlock()
	if ok && slices.ContainsFunc(list.Members, func(m topology.Member) bool { return m.Host == c.opts.Self.Host }) {
		return
	}
	next := record.MemberList{
		Cell: c.opts.Cell, DataCentre: c.opts.DataCentre, Version: list.Version + 1,
		Members: append(slices.Clone(list.Members), c.opts.Self),
	}
	e, err := record.New(record.KindMembers, -1, string(c.opts.Self.Host), next)
	if err != nil {
		return
	}
	data, err := e.Encode()
	if err != nil {
		return
	}
	if _, err := c.opts.Log.Append(ctx, record.StreamMembers, data); err != nil {
		c.log.Error("Member list could not be appended.", eris.Wrap(err, "append"))
	}
}

func (c *Controller) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if hosts, err := c.opts.Hosts.Hosts(ctx); err == nil {
			c.mu.Lock()
			c.hosts = hosts
			c.mu.Unlock()
		}
		sleep(ctx, hostsInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
