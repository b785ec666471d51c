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
	// readTimeoutMargin is added to the poll timeout, because the log may be slow.
	readTimeoutMargin = 2 * time.Second
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
)

// ErrNoSnapshot means that records have expired before they were applied, and
// that the stream has no later snapshot that is complete.
var ErrNoSnapshot = eris.New("records have expired and the stream has no newer snapshot")

// ErrLogReset means that the stream ends before the offset up to which the
// replica has applied it. The log has lost records, so its content is not used.
var ErrLogReset = eris.New("the stream ends before the last applied record")

// Reader reads a stream of the log into a Replica.
type Reader struct {
	log     platformlog.Log
	replica *Replica
	// markers is set if markers confirm the state instead of plain reads.
	markers *markerSettings
	// searchOffset is the offset at which the search for a snapshot continues
	// while records are missing; 0 if none are.
	searchOffset int64
}

// NewReader returns a Reader that starts at the next offset of r.
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
			r.replica.logger.Error("failed to read the stream", err)
			clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

// Poll sends one read and applies its records to the replica.
func (r *Reader) Poll(ctx context.Context) error {
	next := r.replica.NextOffset()
	wait := r.replica.pollTimeout
	if age, ok := r.replica.Age(); !ok || age > 2*wait {
		wait = 0 // confirms the state at once after a start or an outage
	}
	sent := r.replica.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	b, err := r.log.Read(callCtx, r.replica.Name(), max(next, r.searchOffset), maxReadRecords, wait)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	if b.Next < next {
		return eris.Wrapf(ErrLogReset, "the replica is at offset %d, the stream ends at %d", next, b.Next)
	}
	applied := r.replica.Apply(b.Records)
	after := r.replica.NextOffset()
	switch {
	case after == b.Next:
		r.searchOffset = 0
		if r.markers == nil {
			r.replica.RecordConfirmedRead(b.Next, sent)
		}
	case after >= b.First:
		r.searchOffset = 0 // no record is missing, or none after the restored snapshot
	case applied > 0:
		r.searchOffset = b.Records[applied-1].Offset + 1
	default:
		r.searchOffset = max(r.searchOffset, b.First)
		return eris.Wrapf(ErrNoSnapshot, "the replica is at offset %d, the stream starts at %d", after, b.First)
	}
	return nil
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // spreads load, needs no secrecy
}
