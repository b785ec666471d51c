// Package logstream keeps a host's copy of the log's streams up to date. A Stream
// is the shared copy; a Follower feeds it from the log, and package relay
// feeds it from other hosts. A Writer appends to the log, and a Snapshotter
// keeps snapshots in the stream.
package logstream

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

// Limits of the records that a Stream keeps for subscribers. A subscriber that
// is further behind gets a snapshot.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 4 << 20
)

// Replica is a host's copy of one stream. It is safe for concurrent use; the
// lock is held for the fold of one batch at most.
type Replica struct {
	clock  clock.Clock
	logger logging.Logger

	mu             sync.Mutex
	fold           *state.Fold
	recentRecords  []platformlog.Record // contiguous, up to fold.NextOffset()
	recentBytes    int
	confirmedAt    time.Duration
	isConfirmed    bool
	logNextOffset  int64 // end of the stream at the confirmed read
	changed        chan struct{}
	waiters        map[string]chan state.Outcome
	snapshotParts  record.SnapshotAssembler
	createdAt      time.Duration
	pollTimeout    time.Duration
	pendingMarkers []pendingMarker
}

// Long-poll times. Without new records the age of the last confirmed read grows
// to twice the poll time before it is renewed.
const (
	// ShortPollTimeout is for the stream members: leaders need an age well below the
	// 1.5 s after which the log counts as lost.
	ShortPollTimeout = 400 * time.Millisecond
	// DefaultPollTimeout is for all other streams. With FastWait for three streams a
	// subscription cost 1.4 KB/s, and a host has up to six.
	DefaultPollTimeout = 2 * time.Second
)

// NewReplica returns a Stream on a fold, which must only be used inside View
// from then on. wait is the long-poll time, FastWait or SlowWait.
func NewReplica(fold *state.Fold, c clock.Clock, wait time.Duration) *Replica {
	return &Replica{
		clock: c, pollTimeout: wait, createdAt: c.Now(), logger: logging.For(logging.State).With("stream", fold.Stream()), fold: fold,
		changed: make(chan struct{}), waiters: make(map[string]chan state.Outcome),
	}
}

// PollTimeout returns the long-poll time.
func (r *Replica) PollTimeout() time.Duration { return r.pollTimeout }

// Stale reports whether the last confirmed read is older than three long
// polls, which is more than a working log and relay need.
func (r *Replica) Stale() bool {
	age, ok := r.Age()
	return !ok || age > 3*r.pollTimeout
}

// View calls fn while no other goroutine changes the state.
func (r *Replica) View(fn func(*state.Fold)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.fold)
}

// Name returns the name of the stream.
func (r *Replica) Name() string { return r.fold.Stream() }

// NextOffset returns the offset of the first record that is not folded yet.
func (r *Replica) NextOffset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.NextOffset()
}

// ConfirmedAt returns when the last read was sent that showed the stream's end
// at the folded position, on the host's clock. It is false before the first.
func (r *Replica) ConfirmedAt() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt, r.isConfirmed
}

// Age returns the time since Confirmed.
func (r *Replica) Age() (time.Duration, bool) {
	at, ok := r.ConfirmedAt()
	return r.clock.Now() - at, ok
}

// ConfirmedSinceStart reports whether a read of the log was confirmed that was sent after
// the Stream was made. Before that the host only knows what other hosts knew,
// and must not become a member of a list.
func (r *Replica) ConfirmedSinceStart() bool {
	at, ok := r.ConfirmedAt()
	return ok && at >= r.createdAt
}

// Changed returns a channel that is closed at the next change of the state or
// of Confirmed.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply folds records in order. It stops after a record that restored a
// snapshot, because the records before it must be read again, and reports the
// number of records used.
func (r *Replica) Apply(records []platformlog.Record) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.notifyChange()
	for i, rec := range records {
		out := r.fold.Apply(rec.Offset, rec.Data)
		r.logOutcome(out)
		switch out.Kind {
		case state.PastOffset, state.Gap:
		case state.Restored:
			r.clearRecent()
			return i + 1
		default:
			if rec.Offset == r.fold.NextOffset()-1 {
				r.keepRecent(rec)
			}
			r.sendOutcome(out)
			if out.Kind == state.MarkerRead {
				r.confirmMarker(out.ID, out.Offset)
			}
		}
	}
	return len(records)
}

// RestorePart takes one part of another host's snapshot and restores the
// snapshot when it is complete.
func (r *Replica) RestorePart(data []byte) error {
	e, err := record.Decode(data)
	if err != nil {
		return err
	}
	part, err := record.Body[record.SnapshotPart](e)
	if err != nil {
		return eris.Wrap(err, "snapshot of another host")
	}
	r.mu.Lock()
	whole, err := r.snapshotParts.Add(part)
	r.mu.Unlock()
	if err != nil || whole == nil {
		return err
	}
	return r.Restore(whole)
}

// Restore replaces the state by a snapshot of another host. It returns
// state.ErrNotNewer if the state is as new.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fold.Restore(data); err != nil {
		return err
	}
	r.clearRecent()
	r.notifyChange()
	return nil
}

// RecordConfirmedRead records that a read of the log, sent at a time on the host's clock,
// found the end of the stream at next. It has no effect while the state ends
// elsewhere: the read says nothing about this state then.
func (r *Replica) RecordConfirmedRead(next int64, sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(next, sent)
}

func (r *Replica) confirm(next int64, sent time.Duration) {
	if next > r.fold.NextOffset() || r.isConfirmed && sent <= r.confirmedAt {
		return
	}
	r.confirmedAt, r.isConfirmed, r.logNextOffset = sent, true, next
	r.notifyChange()
}

func (r *Replica) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
	for id := range r.waiters {
		if first, ok := r.fold.Find(id); ok {
			r.sendOutcome(earlierOutcome(id, first))
		}
	}
}

// AwaitOutcome returns a channel that receives the result of the record with an id.
// cancel must be called.
func (r *Replica) AwaitOutcome(id string) (result <-chan state.Outcome, cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan state.Outcome, 1)
	r.waiters[id] = c
	if first, ok := r.fold.Find(id); ok {
		r.sendOutcome(earlierOutcome(id, first))
	}
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.waiters, id)
	}
}

// earlierOutcome returns the result of a record that was folded before, possibly by
// another host whose snapshot was restored.
func earlierOutcome(id string, first state.FirstOccurrence) state.Outcome {
	out := state.Outcome{Kind: state.Applied, Offset: first.Offset, ID: id}
	if !first.Accepted {
		out.Kind, out.Err = state.Rejected, ErrRejected
	}
	return out
}

func (r *Replica) sendOutcome(out state.Outcome) {
	c, ok := r.waiters[out.ID]
	if !ok {
		return
	}
	delete(r.waiters, out.ID)
	c <- out
}

func (r *Replica) keepRecent(rec platformlog.Record) {
	r.recentRecords = append(r.recentRecords, rec)
	r.recentBytes += len(rec.Data)
	for len(r.recentRecords) > maxRecentRecords || r.recentBytes > maxRecentBytes {
		r.recentBytes -= len(r.recentRecords[0].Data)
		r.recentRecords = r.recentRecords[1:]
	}
}

func (r *Replica) clearRecent() { r.recentRecords, r.recentBytes = nil, 0 }

func (r *Replica) logOutcome(out state.Outcome) {
	log := r.logger.With("offset", out.Offset).With("writer", out.Writer)
	switch out.Kind {
	case state.Rejected:
		log.Error("Record is rejected.", out.Err)
	case state.Unknown:
		log.Warn("Record has an unknown version or kind.")
	case state.Restored:
		log.Info("State is restored from a snapshot in the stream.")
	default:
	}
}

// Page is what a subscriber at some offset needs next.
type Page struct {
	// Snapshot is set if the records are no longer kept.
	Snapshot []byte
	Records  []platformlog.Record
	// NextOffset is the offset after the snapshot and the records.
	NextOffset int64
	// LogNextOffset, Confirmed and IsConfirmed describe the last confirmed read.
	LogNextOffset int64
	ConfirmedAt   time.Duration
	IsConfirmed   bool
}

// PageFrom returns the records from an offset on, or a snapshot, and a channel
// that is closed at the next change. A subscriber that is ahead gets neither.
func (r *Replica) PageFrom(from int64) (Page, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Page{NextOffset: from, LogNextOffset: r.logNextOffset, ConfirmedAt: r.confirmedAt, IsConfirmed: r.isConfirmed}
	next := r.fold.NextOffset()
	switch first := next - int64(len(r.recentRecords)); {
	case from >= next:
	case from >= first:
		p.Records = append(p.Records, r.recentRecords[from-first:]...)
		p.NextOffset = next
	default:
		data, err := r.fold.Snapshot()
		if err != nil {
			return p, r.changed, err
		}
		p.Snapshot, p.NextOffset = data, next
	}
	return p, r.changed, nil
}
