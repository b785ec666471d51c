// Package logstream maintains a host's replicas of the streams of the log. A
// Replica holds the state of one stream. A Reader updates it from the log, and
// package relay updates it from other hosts. A Writer appends records to the
// stream, and a Snapshotter appends snapshots of the state.
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

// Limits of the recent records that a Replica keeps for subscribers. A
// subscriber that needs older records gets a snapshot.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 4 << 20
)

// Replica is a host's replica of one stream. It is safe for concurrent use; the
// lock is held while at most one batch of records is applied.
type Replica struct {
	clock  clock.Clock
	logger logging.Logger

	mu             sync.Mutex
	fold           *state.Fold
	recentRecords  []platformlog.Record // contiguous, ends before fold.NextOffset()
	recentBytes    int
	confirmedAt    time.Duration
	isConfirmed    bool
	logNextOffset  int64 // end of the stream at the last confirmed read
	changed        chan struct{}
	waiters        map[string]chan state.Outcome
	snapshotParts  record.SnapshotAssembler
	createdAt      time.Duration
	pollTimeout    time.Duration
	pendingMarkers []pendingMarker
}

// Timeouts of the long polls. Without new records, the age of the last
// confirmed read grows to twice the poll timeout before the next one.
const (
	// ShortPollTimeout is for the stream members: leaders need an age well
	// below the 1.5 s after which the log counts as unreachable.
	ShortPollTimeout = 400 * time.Millisecond
	// DefaultPollTimeout is for all other streams. A subscription to three
	// streams with ShortPollTimeout costs 1.4 KB/s, and a host has up to six
	// subscriptions.
	DefaultPollTimeout = 2 * time.Second
)

// NewReplica returns a Replica whose state is fold, which must only be used
// inside View afterwards. pollTimeout is ShortPollTimeout or
// DefaultPollTimeout.
func NewReplica(fold *state.Fold, c clock.Clock, pollTimeout time.Duration) *Replica {
	return &Replica{
		clock: c, pollTimeout: pollTimeout, createdAt: c.Now(), logger: logging.For(logging.State).With("stream", fold.Stream()), fold: fold,
		changed: make(chan struct{}), waiters: make(map[string]chan state.Outcome),
	}
}

// PollTimeout returns the timeout of the long polls.
func (r *Replica) PollTimeout() time.Duration { return r.pollTimeout }

// Stale reports whether the last confirmed read is older than three poll
// timeouts, which does not happen while the log and the relay work.
func (r *Replica) Stale() bool {
	age, ok := r.Age()
	return !ok || age > 3*r.pollTimeout
}

// View calls fn with the lock held, so that the state does not change meanwhile.
func (r *Replica) View(fn func(*state.Fold)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.fold)
}

// Name returns the name of the stream.
func (r *Replica) Name() string { return r.fold.Stream() }

// NextOffset returns the offset of the first record that has not been applied.
func (r *Replica) NextOffset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fold.NextOffset()
}

// ConfirmedAt returns the time, on the host's clock, at which the last confirmed
// read was sent: a read that showed no records after the applied ones. It is
// false before the first confirmed read.
func (r *Replica) ConfirmedAt() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt, r.isConfirmed
}

// Age returns the time since ConfirmedAt.
func (r *Replica) Age() (time.Duration, bool) {
	at, ok := r.ConfirmedAt()
	return r.clock.Now() - at, ok
}

// ConfirmedSinceStart reports whether a confirmed read was sent after the
// Replica was created. Until then the state may be an old one of another host,
// and this host must not become a member of a member list.
func (r *Replica) ConfirmedSinceStart() bool {
	at, ok := r.ConfirmedAt()
	return ok && at >= r.createdAt
}

// Changed returns a channel that is closed at the next change of the state or
// of ConfirmedAt.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply applies records in order and returns how many it used. It stops after a
// record that restored a snapshot, because the records between the state of the
// snapshot and that record must be read again.
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

// RestorePart adds one part of another host's snapshot and restores the snapshot
// once it is complete.
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
	snapshot, err := r.snapshotParts.Add(part)
	r.mu.Unlock()
	if err != nil || snapshot == nil {
		return err
	}
	return r.Restore(snapshot)
}

// Restore replaces the state with a snapshot of another host. It returns
// state.ErrNotNewer if the snapshot is not newer than the state.
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

// RecordConfirmedRead records that a read of the log, sent at sentAt on the
// host's clock, found the end of the stream at next. It has no effect if records
// before next have not been applied, because the read then does not confirm the
// state, or if a later read has been confirmed.
func (r *Replica) RecordConfirmedRead(next int64, sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(next, sentAt)
}

func (r *Replica) confirm(next int64, sentAt time.Duration) {
	if next > r.fold.NextOffset() || r.isConfirmed && sentAt <= r.confirmedAt {
		return
	}
	r.confirmedAt, r.isConfirmed, r.logNextOffset = sentAt, true, next
	r.notifyChange()
}

// notifyChange closes the channel of Changed and sends outcomes that a restored
// snapshot contains.
func (r *Replica) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
	for id := range r.waiters {
		if first, ok := r.fold.Find(id); ok {
			r.sendOutcome(earlierOutcome(id, first))
		}
	}
}

// AwaitOutcome returns a channel that receives the outcome of the record with the
// given id. The caller must call cancel.
func (r *Replica) AwaitOutcome(id string) (outcome <-chan state.Outcome, cancel func()) {
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

// earlierOutcome returns the outcome of a record that has been applied, possibly
// by another host whose snapshot was restored.
func earlierOutcome(id string, first state.FirstOccurrence) state.Outcome {
	out := state.Outcome{Kind: state.Applied, Offset: first.Offset, ID: id}
	if !first.Accepted {
		out.Kind, out.Err = state.Rejected, ErrRejected
	}
	return out
}

// sendOutcome sends the outcome of a record to the caller that awaits it.
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
		log.Error("record was rejected", out.Err)
	case state.Unknown:
		log.Warn("record has an unknown version or kind and was not applied")
	case state.Restored:
		log.Info("state was restored from a snapshot in the stream")
	default:
	}
}

// Page contains what a subscriber needs to continue from an offset.
type Page struct {
	// Snapshot is set if the Replica no longer keeps the records.
	Snapshot []byte
	Records  []platformlog.Record
	// NextOffset is the offset at which the next page starts.
	NextOffset int64
	// LogNextOffset, ConfirmedAt and IsConfirmed describe the last confirmed
	// read.
	LogNextOffset int64
	ConfirmedAt   time.Duration
	IsConfirmed   bool
}

// PageFrom returns a page with the records from an offset on, or with a
// snapshot, and a channel that is closed at the next change. The page contains
// neither if the offset is not before NextOffset.
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
