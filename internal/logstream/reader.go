package logstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
)

const (
	maxReadRecords = 500
	// readTimeoutMargin is added to the long-poll time for a slow log.
	readTimeoutMargin = 2 * time.Second
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
)

// ErrNoSnapshot means that records have expired that were not folded, and that
// the stream has no complete snapshot behind the folded position.
var ErrNoSnapshot = eris.New("records have expired and the stream has no newer snapshot")

// ErrLogReset means that the stream ends before the folded position. The log
// has lost records, and nothing that it shows is trusted.
var ErrLogReset = eris.New("the stream ends before the folded position")

// Reader reads a stream from the log into a Stream.
type Reader struct {
	log     platformlog.Log
	replica *Replica
	// markers, if set, confirms the state by markers instead of plain reads.
	markers *markerSettings
	// searchOffset is the offset from which the search for a snapshot goes on while
	// records are missing.
	searchOffset int64
}

// NewReader returns a Follower that starts at the stream's position.
func NewReader(log platformlog.Log, r *Replica) *Reader { return &Reader{log: log, replica: r} }

// Run reads until the context ends. Failed reads are retried after a random
// delay that doubles up to 2 s.
func (r *Reader) Run(ctx context.Context) {
	if r.markers != nil {
		go r.appendMarkers(ctx)
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := r.Poll(ctx); err != nil && ctx.Err() == nil {
			r.replica.logger.Error("Stream cannot be read.", err)
			clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// Poll sends one read and folds its records.
func (r *Reader) Poll(ctx context.Context) error {
	next := r.replica.NextOffset()
	wait := r.replica.pollTimeout
	if age, ok := r.replica.Age(); !ok || age > 2*wait {
		wait = 0 // confirm the state at once after a start or an outage
	}
	sent := r.replica.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	b, err := r.log.Read(callCtx, r.replica.Name(), max(next, r.searchOffset), maxReadRecords, wait)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	if b.Next < next {
		return eris.Wrapf(ErrLogReset, "folded %d records, the stream has %d", next, b.Next)
	}
	used := r.replica.Apply(b.Records)
	after := r.replica.NextOffset()
	switch {
	case after == b.Next:
		r.searchOffset = 0
		if r.markers == nil {
			r.replica.RecordConfirmedRead(b.Next, sent)
		}
	case after >= b.First:
		r.searchOffset = 0 // contiguous, or restored with all later records kept
	case used > 0:
		r.searchOffset = b.Records[used-1].Offset + 1
	default:
		r.searchOffset = max(r.searchOffset, b.First)
		return eris.Wrapf(ErrNoSnapshot, "folded %d records, the stream starts at %d", after, b.First)
	}
	return nil
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // spreads load, needs no secrecy
}
