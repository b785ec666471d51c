package logstream

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

// appendTimeout bounds one attempt; its outcome is unknown afterwards.
const appendTimeout = time.Second

var (
	// ErrOutcomeUnknown means that the writer gave up before it saw its record.
	// The record may still take effect.
	ErrOutcomeUnknown = eris.New("the record was not seen in the stream; it may still take effect")
	// ErrRejected means that the fold rejected the record and that the reason
	// is not known here, because another host folded it.
	ErrRejected = eris.New("the record was rejected")
)

// Writer appends records to one stream and learns the outcome only from the
// stream: neither a reply nor its loss says whether the fold accepted a
// record. The stream must be kept up to date meanwhile, by a Follower or by
// package relay.
type Writer struct {
	log     platformlog.Log
	replica *Replica
	logger  logging.Logger
}

// NewWriter returns a Writer.
func NewWriter(log platformlog.Log, r *Replica) *Writer {
	return &Writer{log: log, replica: r, logger: logging.For(logging.State).With("stream", r.Name())}
}

// Append appends a record until it is seen in the stream, and returns the
// fold's outcome. Every attempt sends the same bytes, and the fold drops
// repeats. The error is nil if the record was applied; *state.Conflict or
// *state.Invalid if the fold rejected it, also wrapped; ErrRejected; a
// platformlog.ErrTooLarge; or ErrOutcomeUnknown once the context ends.
func (w *Writer) Append(ctx context.Context, e record.Envelope) (state.Outcome, error) {
	data, err := e.Encode()
	if err != nil {
		return state.Outcome{}, err
	}
	result, cancel := w.replica.AwaitOutcome(e.ID)
	defer cancel()
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := w.tryAppend(ctx, data)
		if errors.Is(err, platformlog.ErrTooLarge) {
			return state.Outcome{}, eris.Wrapf(err, "append %d bytes to stream %s", len(data), w.replica.Name())
		}
		// The record can only be missing for good if a read that was sent after
		// the attempt shows the end of the stream without it.
		if out, ok := w.awaitAttempt(ctx, result, w.replica.clock.Now(), err); ok {
			if out.Err == nil && out.Kind != state.Applied {
				out.Err = ErrRejected
			}
			return out, out.Err
		}
		if ctx.Err() != nil {
			return state.Outcome{}, eris.Wrapf(ErrOutcomeUnknown, "append record %s to stream %s", e.ID, w.replica.Name())
		}
		w.logger.With("id", e.ID).Warn("Append is repeated.")
		clock.Sleep(ctx, jitter(backoff))
	}
}

func (w *Writer) tryAppend(ctx context.Context, data []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(callCtx, w.replica.Name(), data)
	return err
}

// awaitAttempt waits for the outcome until a read sent after the attempt is
// confirmed. After an attempt without effect it does not wait.
func (w *Writer) awaitAttempt(ctx context.Context, result <-chan state.Outcome, attempted time.Duration, err error) (state.Outcome, bool) {
	for {
		changed := w.replica.Changed()
		confirmed, ok := w.replica.ConfirmedAt()
		select {
		case out := <-result:
			return out, true
		default:
		}
		if ok && confirmed > attempted || errors.Is(err, platformlog.ErrUnavailable) || ctx.Err() != nil {
			return state.Outcome{}, false
		}
		select {
		case out := <-result:
			return out, true
		case <-changed:
		case <-ctx.Done():
		}
	}
}
