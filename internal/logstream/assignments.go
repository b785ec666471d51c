package logstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// AppendInterval is the shortest time between two appends of a partition.
	AppendInterval = 500 * time.Millisecond
	// MaxStartDelay is the longest random delay before the first append of a
	// new leader. It keeps the many leaders that are elected after the loss of
	// a data centre within the budget for appends to the log.
	MaxStartDelay = 2 * time.Second
)

// AssignmentWriter appends the assignments of one partition to the log. It
// batches changes, so that at most one append is in flight and at most one is
// sent per AppendInterval.
type AssignmentWriter struct {
	writer      *Writer
	assignments *state.Assignments
	partition   topology.PartitionID
	service     topology.Service
	host        string
	epoch       topology.Fence
	// onRecorded is called with every batch that was read back from the log.
	onRecorded func(record.Assignments)

	mu      sync.Mutex
	pending map[record.SplitKey]pendingChange
	wake    chan struct{}
}

// pendingChange is the latest change of a shard or split key: its new owner, or
// its removal from the partition's assignments.
type pendingChange struct {
	owner   state.Owner
	removed bool
}

// NewAssignmentWriter returns a writer for the leadership with the given epoch.
// assignments must be the fold of the stream to which w appends.
func NewAssignmentWriter(w *Writer, assignments *state.Assignments, p topology.PartitionID, s topology.Service, host topology.HostID, epoch topology.Fence, onRecorded func(record.Assignments)) *AssignmentWriter {
	return &AssignmentWriter{
		writer: w, assignments: assignments, partition: p, service: s, host: string(host), epoch: epoch, onRecorded: onRecorded,
		pending: make(map[record.SplitKey]pendingChange), wake: make(chan struct{}, 1),
	}
}

// Grant adds a grant of shards and split keys to the next batch. It does not
// block.
func (a *AssignmentWriter) Grant(g record.Grant) {
	owner := state.Owner{Server: g.Server, Fence: g.Fence, Since: g.Since, Reason: g.Reason}
	keys := append([]record.SplitKey(nil), g.Keys...)
	for _, s := range g.Shards {
		keys = append(keys, record.SplitKey{Shard: s})
	}
	a.addPending(pendingChange{owner: owner}, keys)
}

// Remove adds the removal of shards, given with an empty key, and of split keys
// that were joined with their shard to the next batch. It does not block.
func (a *AssignmentWriter) Remove(keys ...record.SplitKey) {
	a.addPending(pendingChange{removed: true}, keys)
}

func (a *AssignmentWriter) addPending(c pendingChange, keys []record.SplitKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, k := range keys {
		a.pending[k] = c
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run appends batches until the context ends, after a random delay of up to
// maxDelay. It returns an error other than ErrOutcomeUnknown if a batch was
// rejected: another leader has recorded assignments since, and this one must
// stop.
func (a *AssignmentWriter) Run(ctx context.Context, maxDelay time.Duration) error {
	clock.Sleep(ctx, rand.N(maxDelay+1)) //nolint:gosec // spreads load, needs no secrecy
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		if err := a.flush(ctx); err != nil {
			return err
		}
		clock.Sleep(ctx, AppendInterval)
	}
}

func (a *AssignmentWriter) flush(ctx context.Context) error {
	batch, ok := a.takePending()
	if !ok {
		return nil
	}
	var revision state.Revision
	a.writer.replica.View(func(*state.Fold) { revision = a.assignments.Revision(a.partition) })
	e, err := record.New(record.KindAssign, revision.Offset, a.host, batch)
	if err != nil {
		return err
	}
	if _, err := a.writer.Append(ctx, e); err != nil {
		return err
	}
	a.onRecorded(batch)
	return nil
}

// takePending removes the pending changes and returns them as one batch, in no
// particular order.
func (a *AssignmentWriter) takePending() (record.Assignments, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := record.Assignments{Partition: a.partition, Service: a.service, ListVersion: a.epoch.List, Term: a.epoch.Term}
	groups := make(map[state.Owner]*record.Grant)
	for k, c := range a.pending {
		switch {
		case c.removed && k.Key == "":
			batch.Dropped = append(batch.Dropped, k.Shard)
		case c.removed:
			batch.Joined = append(batch.Joined, k)
		default:
			g, ok := groups[c.owner]
			if !ok {
				g = &record.Grant{Server: c.owner.Server, Fence: c.owner.Fence, Since: c.owner.Since, Reason: c.owner.Reason}
				groups[c.owner] = g
			}
			if k.Key == "" {
				g.Shards = append(g.Shards, k.Shard)
			} else {
				g.Keys = append(g.Keys, k)
			}
		}
	}
	for _, g := range groups {
		batch.Grants = append(batch.Grants, *g)
	}
	ok := len(a.pending) > 0
	a.pending = make(map[record.SplitKey]pendingChange)
	return batch, ok
}
