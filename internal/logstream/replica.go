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
	maxRecent      = 1024
	maxRecentBytes = 4 << 20
)

// Replica is a host's copy of one stream. It is safe for concurrent use; the
// lock is held for the fold of one batch at most.
type Replica struct {
	clock clock.Clock
	log   logging.Logger

	mu          sync.Mutex
	fold        *state.Fold
	recent      []platformlog.Record // contiguous, up to fold.NextOffset()
	recentBytes int
	confirmed   time.Duration
	isConfirmed bool
	logNext     int64 // end of the stream at the confirmed read
	changed     chan struct{}
	waiting     map[string]chan state.Outcome
	parts       record.SnapshotAssembler
	started     time.Duration
	wait        time.Duration
	markers     []sentMarker
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
		clock: c, wait: wait, started: c.Now(), log: logging.For(logging.State).With("stream", fold.Stream()), fold: fold,
		changed: make(chan struct{}), waiting: make(map[string]chan state.Outcome),
	}
}

// PollTimeout returns the long-poll time.
func (s *Replica) PollTimeout() time.Duration { return s.wait }

// Stale reports whether the last confirmed read is older than three long
// polls, which is more than a working log and relay need.
func (s *Replica) Stale() bool {
	age, ok := s.Age()
	return !ok || age > 3*s.wait
}

// View calls fn while no other goroutine changes the state.
func (s *Replica) View(fn func(*state.Fold)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.fold)
}

// Name returns the name of the stream.
func (s *Replica) Name() string { return s.fold.Stream() }

// Next returns the offset of the first record that is not folded yet.
func (s *Replica) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.NextOffset()
}

// ConfirmedAt returns when the last read was sent that showed the stream's end
// at the folded position, on the host's clock. It is false before the first.
func (s *Replica) ConfirmedAt() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed, s.isConfirmed
}

// Age returns the time since Confirmed.
func (s *Replica) Age() (time.Duration, bool) {
	at, ok := s.ConfirmedAt()
	return s.clock.Now() - at, ok
}

// ConfirmedSinceStart reports whether a read of the log was confirmed that was sent after
// the Stream was made. Before that the host only knows what other hosts knew,
// and must not become a member of a list.
func (s *Replica) ConfirmedSinceStart() bool {
	at, ok := s.ConfirmedAt()
	return ok && at >= s.started
}

// Changed returns a channel that is closed at the next change of the state or
// of Confirmed.
func (s *Replica) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply folds records in order. It stops after a record that restored a
// snapshot, because the records before it must be read again, and reports the
// number of records used.
func (s *Replica) Apply(records []platformlog.Record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notify()
	for i, r := range records {
		out := s.fold.Apply(r.Offset, r.Data)
		s.report(out)
		switch out.Kind {
		case state.PastOffset, state.Gap:
		case state.Restored:
			s.dropRecent()
			return i + 1
		default:
			if r.Offset == s.fold.NextOffset()-1 {
				s.keepRecent(r)
			}
			s.resolve(out)
			if out.Kind == state.MarkerRead {
				s.markerSeen(out.ID, out.Offset)
			}
		}
	}
	return len(records)
}

// RestorePart takes one part of another host's snapshot and restores the
// snapshot when it is complete.
func (s *Replica) RestorePart(data []byte) error {
	e, err := record.Decode(data)
	if err != nil {
		return err
	}
	part, err := record.Body[record.SnapshotPart](e)
	if err != nil {
		return eris.Wrap(err, "snapshot of another host")
	}
	s.mu.Lock()
	whole, err := s.parts.Add(part)
	s.mu.Unlock()
	if err != nil || whole == nil {
		return err
	}
	return s.Restore(whole)
}

// Restore replaces the state by a snapshot of another host. It returns
// state.ErrNotNewer if the state is as new.
func (s *Replica) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fold.Restore(data); err != nil {
		return err
	}
	s.dropRecent()
	s.notify()
	return nil
}

// RecordConfirmedRead records that a read of the log, sent at a time on the host's clock,
// found the end of the stream at next. It has no effect while the state ends
// elsewhere: the read says nothing about this state then.
func (s *Replica) RecordConfirmedRead(next int64, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(next, sent)
}

func (s *Replica) confirm(next int64, sent time.Duration) {
	if next > s.fold.NextOffset() || s.isConfirmed && sent <= s.confirmed {
		return
	}
	s.confirmed, s.isConfirmed, s.logNext = sent, true, next
	s.notify()
}

func (s *Replica) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	for id := range s.waiting {
		if first, ok := s.fold.Find(id); ok {
			s.resolve(outcomeOf(id, first))
		}
	}
}

// AwaitOutcome returns a channel that receives the result of the record with an id.
// cancel must be called.
func (s *Replica) AwaitOutcome(id string) (result <-chan state.Outcome, cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan state.Outcome, 1)
	s.waiting[id] = c
	if first, ok := s.fold.Find(id); ok {
		s.resolve(outcomeOf(id, first))
	}
	return c, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// outcomeOf returns the result of a record that was folded before, possibly by
// another host whose snapshot was restored.
func outcomeOf(id string, first state.FirstOccurrence) state.Outcome {
	out := state.Outcome{Kind: state.Applied, Offset: first.Offset, ID: id}
	if !first.Accepted {
		out.Kind, out.Err = state.Rejected, ErrRejected
	}
	return out
}

func (s *Replica) resolve(out state.Outcome) {
	c, ok := s.waiting[out.ID]
	if !ok {
		return
	}
	delete(s.waiting, out.ID)
	c <- out
}

func (s *Replica) keepRecent(r platformlog.Record) {
	s.recent = append(s.recent, r)
	s.recentBytes += len(r.Data)
	for len(s.recent) > maxRecent || s.recentBytes > maxRecentBytes {
		s.recentBytes -= len(s.recent[0].Data)
		s.recent = s.recent[1:]
	}
}

func (s *Replica) dropRecent() { s.recent, s.recentBytes = nil, 0 }

func (s *Replica) report(out state.Outcome) {
	log := s.log.With("offset", out.Offset).With("writer", out.Writer)
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
	// Next is the offset after the snapshot and the records.
	Next int64
	// LogNext, Confirmed and IsConfirmed describe the last confirmed read.
	LogNext     int64
	Confirmed   time.Duration
	IsConfirmed bool
}

// PageFrom returns the records from an offset on, or a snapshot, and a channel
// that is closed at the next change. A subscriber that is ahead gets neither.
func (s *Replica) PageFrom(from int64) (Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Next: from, LogNext: s.logNext, Confirmed: s.confirmed, IsConfirmed: s.isConfirmed}
	next := s.fold.NextOffset()
	switch first := next - int64(len(s.recent)); {
	case from >= next:
	case from >= first:
		p.Records = append(p.Records, s.recent[from-first:]...)
		p.Next = next
	default:
		data, err := s.fold.Snapshot()
		if err != nil {
			return p, s.changed, err
		}
		p.Snapshot, p.Next = data, next
	}
	return p, s.changed, nil
}
