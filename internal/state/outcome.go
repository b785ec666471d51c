package state

import (
	"errors"
	"fmt"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

// Kind is the kind of an Outcome.
type Kind uint8

// Kinds of outcomes.
const (
	// Applied records have changed the state.
	Applied Kind = iota + 1
	// Duplicate records repeat a recent id; First is the first record with it.
	Duplicate
	// Rejected records did not change the state; Err is a *Conflict or an
	// *Invalid.
	Rejected
	// Unknown records have an unknown version or kind and did not change the
	// state.
	Unknown
	// SnapshotPartRead is a part of a snapshot. It did not change the state,
	// which already includes all earlier records.
	SnapshotPartRead
	// PastOffset means that the offset is before NextOffset; the record was
	// skipped.
	PastOffset
	// Gap means that records before the offset are missing and that the record
	// did not complete a usable snapshot.
	Gap
	// Restored means that the record completed a snapshot that replaced the
	// state.
	Restored
	// MarkerRead is a marker. It does not change the state.
	MarkerRead
)

var kindNames = [...]string{"none", "applied", "duplicate", "rejected", "unknown", "snapshot", "seen", "gap", "restored", "marker"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "none"
}

// FirstOccurrence is the first record with an id, and whether it was accepted.
type FirstOccurrence struct {
	Offset   int64 `json:"offset"`
	Accepted bool  `json:"accepted"`
}

// Outcome is the result of Fold.Apply for one record.
type Outcome struct {
	Kind       Kind
	Offset     int64
	ID         string
	Writer     string
	RecordKind record.Kind
	// Err is set for Rejected.
	Err error
	// First is set for Duplicate.
	First *FirstOccurrence
}

func (o Outcome) reject(err error) Outcome {
	o.Kind, o.Err = Rejected, err
	return o
}

// Conflict is the error of a record whose base is older than the newest accepted
// record of its subject, the winner. The writer must read the winner before it
// writes again.
type Conflict struct {
	Subject string
	Base    int64
	Winner  Revision
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s: base %d is older than revision %d of writer %q", c.Subject, c.Base, c.Winner.Offset, c.Winner.Writer)
}

// Invalid is the error of a record that is malformed or breaks a rule of its
// stream.
type Invalid struct{ Reason error }

// Error implements error.
func (i *Invalid) Error() string { return "invalid record: " + i.Reason.Error() }

// Unwrap returns the reason.
func (i *Invalid) Unwrap() error { return i.Reason }

var (
	errBaseInFuture     = errors.New("base is not older than the record")
	errSnapshotInFuture = errors.New("snapshot claims to include records after itself")
)

// ErrNotNewer means that Fold.Restore did not replace the state, because the
// snapshot is not newer.
var ErrNotNewer = errors.New("state: snapshot is not newer than the state")
