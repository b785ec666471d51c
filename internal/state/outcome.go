package state

import (
	"errors"
	"fmt"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

// Kind is the result of the fold of one record.
type Kind uint8

// Results.
const (
	// Applied records have changed the state.
	Applied Kind = iota + 1
	// Duplicate records repeat an id; First has the result of the first one.
	Duplicate
	// Rejected records changed nothing; Err is a *Conflict or an *Invalid.
	Rejected
	// Unknown records have an unknown version or kind and changed nothing.
	Unknown
	// SnapshotPartRead is a snapshot that is not newer than the state.
	SnapshotPartRead
	// PastOffset means that the offset was folded before.
	PastOffset
	// Gap means that records before the offset are missing.
	Gap
	// Restored means that the record completed a snapshot that replaced the
	// state.
	Restored
	// MarkerRead is a marker. It changes nothing.
	MarkerRead
)

var kindNames = [...]string{"none", "applied", "duplicate", "rejected", "unknown", "snapshot", "seen", "gap", "restored", "marker"}

// String returns the name of the result.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "none"
}

// FirstOccurrence is the result of the first record of an id.
type FirstOccurrence struct {
	Offset   int64 `json:"offset"`
	Accepted bool  `json:"accepted"`
}

// Outcome is the result of the fold of one record.
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

// Conflict rejects a record whose base is older than the newest accepted
// record of its subject. The writer reads the winner and decides anew.
type Conflict struct {
	Subject string
	Base    int64
	Winner  Revision
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s: base %d is older than revision %d of writer %q", c.Subject, c.Base, c.Winner.Offset, c.Winner.Writer)
}

// Invalid rejects a record that is malformed or breaks a rule of its stream.
type Invalid struct{ Reason error }

// Error implements error.
func (i *Invalid) Error() string { return "invalid record: " + i.Reason.Error() }

// Unwrap returns the reason.
func (i *Invalid) Unwrap() error { return i.Reason }

var (
	errBaseInFuture     = errors.New("base is not older than the record")
	errSnapshotInFuture = errors.New("snapshot claims to include records after itself")
)

// ErrNotNewer means that a snapshot is not newer than the state; the state is
// unchanged.
var ErrNotNewer = errors.New("state: snapshot is not newer than the state")
