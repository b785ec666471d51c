// Package platformlog is a client of the platform's append-only log service.
package platformlog

import (
	"context"
	"errors"
	"time"
)

// Errors of Log. Other errors mean that the call had no effect.
var (
	// ErrOutcomeUnknown means that an append may or may not have taken effect. The
	// writer must read the stream to learn the outcome.
	ErrOutcomeUnknown = errors.New("platformlog: append outcome unknown")
	// ErrUnavailable means that the call had no effect, because the service
	// could not be reached or refused it.
	ErrUnavailable = errors.New("platformlog: service unavailable")
	// ErrTooLarge means that the record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("platformlog: record too large")
)

// MaxRecordBytes is the largest record that the service accepts.
const MaxRecordBytes = 1 << 20

// Record is one entry of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// First is the offset of the oldest record that has not expired.
	First int64 `json:"first"`
	// Next is the offset of the next append.
	Next int64 `json:"next"`
	// Records are the records from the requested offset on, in order of their
	// offsets. If the requested record has expired, they start at First.
	Records []Record `json:"records"`
}

// Log is the platform's log service. Offsets of a stream start at 0 and grow
// by one per record. A read returns every append that was acknowledged before
// the read was sent.
type Log interface {
	// Append adds one record and returns its offset, or ErrOutcomeUnknown,
	// ErrUnavailable or ErrTooLarge.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records, starting at offset from. If there is
	// none, it waits for the next append, for at most wait.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
