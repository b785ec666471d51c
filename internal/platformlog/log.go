// Package platformlog is the client side of the platform's append-only log
// service. The service belongs to the platform; this package only speaks its
// protocol.
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
	ErrOutcomeUnknown = errors.New("platformlog: append result unknown")
	// ErrUnavailable means that the service did not answer or refused the call
	// before it had any effect.
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
	// First is the offset of the oldest record that the stream still keeps.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// Records are the records from the requested offset on, in order. The
	// first one has a larger offset than requested if records have expired.
	Records []Record `json:"records"`
}

// Log is the platform's log service. Offsets of a stream start at 0 and grow
// by one per record. A read returns every append that was acknowledged before
// the read was sent.
type Log interface {
	// Append adds one record and returns its offset, or ErrOutcomeUnknown,
	// ErrUnavailable or ErrTooLarge.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit records from offset from on. If there is none
	// it waits up to wait for the next append.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error)
}
