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

// appendTimeout bounds one append. The outcome of an append that exceeds it is
// unknown.
const appendTimeout = time.Second

var (
	// ErrOutcomeUnknown means that the context ended before the record was read
	// from the stream. The record may still be applied.
	ErrOutcomeUnknown = eris.New("the record was not read from the stream; it may still be applied")
	// ErrRejected means that the record was rejected and that the reason is not
	// known, because another host applied the record.
	ErrRejected = eris.New("the record was rejected")
)

// Writer appends records to one stream and takes their outcomes from the stream
// only: neither the reply to an append nor a lost reply shows whether the record
// is accepted when it is applied. A Reader or package relay must keep the replica
// up to date meanwhile.
type Writer struct {
	log     platformlog.Log
	replica *Replica
	logger  logging.Logger
}

// NewWriter returns a Writer for the stream of r.
func NewWriter(log platformlog.Log, r *Replica) *Writer {
	return &Writer{log: log, replica: r, logger: logging.For(logging.State).With("stream", r.Name())}
}

// Append appends a record, retries until the record is read from the stream, and
// returns its outcome. Every attempt sends the same bytes, and the state ignores
// duplicates. The error is nil if the record was applied. It is or wraps
// *state.Conflict, *state.Invalid or ErrRejected if the record was rejected,
// platformlog.ErrTooLarge if the record is too large, and ErrOutcomeUnknown if
// the context ended before the outcome was known.
func (w *Writer) Append(ctx context.Context, e record.Envelope) (state.Outcome, error) {
	data, err := e.Encode()
	if err != nil {
		return state.Outcome{}, err
	}
	outcome, cancel := w.replica.AwaitOutcome(e.ID)
	defer cancel()
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := w.tryAppend(ctx, data)
		if errors.Is(err, platformlog.ErrTooLarge) {
			return state.Outcome{}, eris.Wrapf(err, "append %d bytes to stream %s", len(data), w.replica.Name())
		}
		// The record is missing only if a read that was sent after the attempt
		// shows the end of the stream without it.
		if out, ok := w.awaitAttempt(ctx, outcome, w.replica.clock.Now(), err); ok {
			if out.Err == nil && out.Kind != state.Applied {
				out.Err = ErrRejected
			}
			return out, out.Err
		}
		if ctx.Err() != nil {
			return state.Outcome{}, eris.Wrapf(ErrOutcomeUnknown, "append record %s to stream %s", e.ID, w.replica.Name())
		}
		w.logger.With("id", e.ID).Warn("append was not confirmed by a read; retrying")
		clock.Sleep(ctx, jitter(backoff))
	}
}

func (w *Writer) tryAppend(ctx context.Context, data []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(callCtx, w.replica.Name(), data)
	return err
}

// awaitAttempt waits for the outcome until a read that was sent after
// attemptedAt is confirmed. It does not wait if err shows that the attempt had no
// effect.
func (w *Writer) awaitAttempt(ctx context.Context, outcome <-chan state.Outcome, attemptedAt time.Duration, err error) (state.Outcome, bool) {
	for {
		changed := w.replica.Changed()
		confirmedAt, ok := w.replica.ConfirmedAt()
		select {
		case out := <-outcome:
			return out, true
		default:
		}
		if ok && confirmedAt > attemptedAt || errors.Is(err, platformlog.ErrUnavailable) || ctx.Err() != nil {
			return state.Outcome{}, false
		}
		select {
		case out := <-outcome:
			return out, true
		case <-changed:
		case <-ctx.Done():
		}
	}
}
