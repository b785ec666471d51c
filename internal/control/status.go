package control

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/admin"
	"github.com/lycheerudder/lycheerudder/internal/grant"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

var (
	errNotConfigured = errors.New("configuration is not known yet")
	errShuttingDown  = errors.New("host is shutting down")
)

// Ready implements admin.Source. It returns nil while the host accepts requests.
func (c *Controller) Ready() error {
	switch {
	case c.shuttingDown.Load():
		return errShuttingDown
	case !c.ready.Load():
		return errNotConfigured
	}
	return nil
}

// MarkShuttingDown makes Ready report that the host is shutting down.
func (c *Controller) MarkShuttingDown() { c.shuttingDown.Store(true) }

// Status implements admin.Source. It describes this host and the partitions that it
// leads.
func (c *Controller) Status(time.Time) admin.Status {
	unknown := c.unknownRecords()
	c.mu.RLock()
	defer c.mu.RUnlock()
	now := c.clock.Now()
	n := c.node.Status(now)
	s := admin.Status{
		Host: c.opts.Self.Host, Incarnation: c.opts.Self.Incarnation, DataCentre: c.opts.DataCentre, Cell: c.opts.Cell,
		Version: settings.Version, Ready: c.Ready() == nil, ConfigRevision: c.configRevision,
		LogAgeMS: n.LogAge.Milliseconds(), Mode: n.Mode.String(), List: n.List.Version, Members: n.List.Members, UnknownRecords: unknown,
	}
	if n.LogAge < 0 {
		s.LogAgeMS = -1
	}
	for _, p := range c.partitions {
		if p.grants != nil {
			s.Partitions = append(s.Partitions, p.status(now, c.exec))
		}
	}
	slices.SortFunc(s.Partitions, func(a, b admin.Partition) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.Quarantined = quarantineStatus(c.exec.Quarantine())
	return s
}

func (p *partition) status(now time.Duration, exec Executor) admin.Partition {
	out := admin.Partition{ID: p.id, Epoch: p.epoch.String(), LeadMS: (p.leadsUntil - now).Milliseconds()}
	for _, s := range p.grants.Servers(now) {
		out.Servers = append(out.Servers, admin.Server{
			ID: s.ID, Shards: s.Shards, LeaseMS: s.LeaseLeft.Milliseconds(), InFlight: s.Load.InFlight, Queued: exec.Queued(s.ID), Draining: s.Draining,
		})
	}
	return out
}

// quarantineStatus returns the quarantined requests and their numbers of crashes,
// sorted by fingerprint.
func quarantineStatus(t *quarantine.Table) []admin.Quarantined {
	counts := make(map[string]*admin.Quarantined)
	var out []admin.Quarantined
	for _, cr := range t.Export() {
		fp := cr.Digest.String()
		q, ok := counts[fp]
		if !ok {
			q = &admin.Quarantined{Fingerprint: fp, LeftMS: t.BlockedFor(cr.Digest).Milliseconds()}
			counts[fp] = q
		}
		q.Crashes++
	}
	for _, q := range counts {
		if q.LeftMS > 0 {
			out = append(out, *q)
		}
	}
	slices.SortFunc(out, func(a, b admin.Quarantined) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// unknownRecords returns the number of log records that this release does not
// understand.
func (c *Controller) unknownRecords() int64 {
	var total int64
	for _, s := range c.streams.all() {
		s.View(func(f *state.Fold) {
			_, n := f.UnknownRecords()
			total += n
		})
	}
	return total
}

// Explain implements admin.Source. It describes where a key is routed and, if this
// host leads its partition, which server owns it and why.
func (c *Controller) Explain(service topology.Service, customer topology.Customer, key string) (admin.Explanation, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, err := c.locate(service, customer, key)
	if err != nil {
		return admin.Explanation{}, err
	}
	e := admin.Explanation{Shard: l.ref.String(), Partition: l.partition, DataCentre: l.dc}
	e.Leader, _ = c.leaderOf(l)
	p, ok := c.partitions[l.partition]
	if !ok || p.grants == nil {
		return e, nil
	}
	e.Leader = c.opts.Self.Host
	ref := p.grants.Unit(l.ref, key)
	e.Shard = ref.String()
	shards := p.grants.Shards()
	i := slices.IndexFunc(shards, func(s grant.ShardStatus) bool { return s.Ref == ref })
	if i < 0 {
		return e, nil
	}
	s := shards[i]
	e.Server, e.Fence, e.State, e.InPlace = s.Server, s.Fence.String(), s.State.String(), s.Recorded
	if at, ok := p.placement.assignedAt[ref]; ok {
		e.SinceMS = (c.clock.Now() - at).Milliseconds()
	}
	e.Reason = p.placement.reason(ref)
	return e, nil
}

// Streams returns the replicas of all log streams of this host.
func (c *Controller) Streams() []*logstream.Replica { return c.streams.all() }
