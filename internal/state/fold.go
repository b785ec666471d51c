// Package state derives the replicated state of the hosts by folding the records
// of the log's streams. The result depends only on the records and their order:
// hosts that folded the same records, directly or through snapshots, have
// byte-identical snapshots. The package has no clock and no I/O, and its types
// are not safe for concurrent use.
package state

import (
	"encoding/json"
	"errors"

	"github.com/lycheerudder/lycheerudder/internal/record"
)

const (
	// SnapshotInterval is the number of records after which a snapshot is due.
	SnapshotInterval = 1000
	// idWindow is the number of offsets for which the id of a record is
	// remembered. Correctness does not depend on it: the base of an accepted
	// record is older than the record itself, so a later repeat conflicts with
	// it, and a later repeat of a rejected record is checked against the
	// state again. See Fold.
	idWindow = SnapshotInterval
	// maxUnknown is the number of unknown records that are stored.
	maxUnknown = 32
	// maxUnknownBytes is the size of the largest unknown record that is stored
	// with its data.
	maxUnknownBytes = 16 << 10
)

// Revision identifies an accepted record.
type Revision struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Writer string `json:"writer"`
}

// noRevision is the revision of a subject without records.
var noRevision = Revision{Offset: record.NoBase}

// UnknownRecord is a record of a version or kind that this release does not
// know.
type UnknownRecord struct {
	Offset  int64       `json:"offset"`
	Version int         `json:"version"`
	Kind    record.Kind `json:"kind"`
	ID      string      `json:"id"`
	Writer  string      `json:"writer"`
	// Cell is the field cell of the body, if there is one.
	Cell string `json:"cell,omitempty"`
	// Data is the encoded record; empty if it exceeds maxUnknownBytes.
	Data []byte `json:"data,omitempty"`
}

// stateMachine holds the state of one stream and applies its records.
type stateMachine interface {
	// prepare decodes and validates the body of a record without changing the
	// state. It is only called for known kinds.
	prepare(e record.Envelope) (change, error)
	// known reports whether the stream can contain records of the kind.
	known(k record.Kind) bool
	// snapshot returns a value whose JSON encoding is the state.
	snapshot() any
	// restore returns a state machine with the state that data encodes.
	restore(data json.RawMessage) (stateMachine, error)
}

// change is a decoded record that is not applied yet.
type change struct {
	// subject names what the record changes, for error messages.
	subject string
	// latest is the newest revision of all subjects of the record. If it is
	// nil, the base rule does not apply.
	latest *Revision
	// check returns an error if the record is not valid in the current state.
	// It is called after the base rule has been checked, and may be nil.
	check func() error
	// commit applies the record to the state.
	commit func(Revision)
}

// Fold folds the records of one stream into a state.
//
// Base rule: a record is accepted only if its base is not older than the newest
// accepted record of its subject (optimistic concurrency control).
//
// Duplicate rule: a record is ignored if its id occurred in the last idWindow
// offsets. Later repeats of an accepted record fail the base rule, because the
// record itself is newer than their base. The records of streams without the
// base rule (quarantine) must be idempotent.
type Fold struct {
	stream     string
	nextOffset int64
	ids        recentIDs
	unknown    []UnknownRecord
	// unknownCount counts all unknown records, including those not stored.
	unknownCount int64
	machine      stateMachine

	// The fields below are not part of the state: they depend on which
	// snapshots in the stream this reader has read.
	assembler      record.SnapshotAssembler
	latestSnapshot SnapshotInfo
}

// SnapshotInfo describes the newest complete snapshot that a reader has read
// from the stream.
type SnapshotInfo struct {
	// NextOffset is the offset of the first record that the snapshot does not
	// include; 0 if no snapshot was read.
	NextOffset int64
	// WrittenAt is the wall clock time of the writer in Unix milliseconds.
	WrittenAt int64
	// RecordsSince counts the records from NextOffset on, without snapshot parts
	// and the markers in MarkersSince.
	RecordsSince int64
	// MarkersSince counts the markers that were read after the snapshot was
	// complete.
	MarkersSince int64
}

func newFold(stream string, m stateMachine) *Fold {
	return &Fold{stream: stream, ids: newRecentIDs(), machine: m}
}

// Apply folds the record at an offset. Records must be passed in the order of
// their offsets. Offsets may repeat or be missing: a record after a gap is only
// used if it completes a snapshot. After the outcomes Restored and Gap the
// reader continues at NextOffset. Apply never panics; the outcome says if the
// record is not valid.
func (f *Fold) Apply(offset int64, data []byte) Outcome {
	if offset < f.nextOffset {
		return Outcome{Kind: PastOffset, Offset: offset}
	}
	e, err := record.Decode(data)
	out := Outcome{Offset: offset, ID: e.ID, Writer: e.Writer, RecordKind: e.Kind}
	isSnapshot := err == nil && e.Kind == record.KindSnapshot
	if offset > f.nextOffset {
		if !isSnapshot {
			out.Kind = Gap
			return out
		}
		return f.applySnapshot(out, e, true)
	}
	f.nextOffset = offset + 1
	f.ids.expire(offset)
	if isSnapshot {
		return f.applySnapshot(out, e, false)
	}
	if err == nil && e.Kind == record.KindMarker {
		// Markers are frequent and have no effect, so their ids are not stored.
		f.latestSnapshot.MarkersSince++
		out.Kind = MarkerRead
		return out
	}
	f.latestSnapshot.RecordsSince++
	switch {
	case errors.Is(err, record.ErrUnknownVersion):
		return f.applyUnknown(out, e, data)
	case err != nil:
		return out.reject(&Invalid{Reason: err})
	}
	return f.applyRecord(out, e, data)
}

func (f *Fold) applyRecord(out Outcome, e record.Envelope, data []byte) Outcome {
	if first, ok := f.ids.get(e.ID); ok {
		out.Kind, out.First = Duplicate, &first
		return out
	}
	if !f.machine.known(e.Kind) {
		return f.applyUnknown(out, e, data)
	}
	err := f.accept(e, Revision{Offset: out.Offset, ID: e.ID, Writer: e.Writer})
	f.ids.add(e.ID, FirstOccurrence{Offset: out.Offset, Accepted: err == nil})
	if err != nil {
		return out.reject(err)
	}
	out.Kind = Applied
	return out
}

// accept applies the record if the base rule and the rules of the stream allow
// it, and returns an error otherwise.
func (f *Fold) accept(e record.Envelope, rev Revision) error {
	if e.Base >= rev.Offset {
		return &Invalid{Reason: errBaseInFuture}
	}
	c, err := f.machine.prepare(e)
	if err != nil {
		return &Invalid{Reason: err}
	}
	if c.latest != nil && e.Base < c.latest.Offset {
		return &Conflict{Subject: c.subject, Base: e.Base, Winner: *c.latest}
	}
	if c.check != nil {
		if err := c.check(); err != nil {
			return &Invalid{Reason: err}
		}
	}
	c.commit(rev)
	return nil
}

func (f *Fold) applyUnknown(out Outcome, e record.Envelope, data []byte) Outcome {
	out.Kind = Unknown
	f.unknownCount++
	u := UnknownRecord{Offset: out.Offset, Version: e.Version, Kind: e.Kind, ID: e.ID, Writer: e.Writer}
	var body struct {
		Cell string `json:"cell"`
	}
	if json.Unmarshal(e.Body, &body) == nil {
		u.Cell = body.Cell
	}
	if len(data) <= maxUnknownBytes {
		u.Data = append([]byte(nil), data...)
	} else {
		// The fields of a record of a later version have no length limit.
		u.Kind, u.ID, u.Writer, u.Cell = "", "", "", ""
	}
	if len(f.unknown) < maxUnknown {
		f.unknown = append(f.unknown, u)
	}
	return out
}

// applySnapshot adds a part of a snapshot. gap means that records before the
// part are missing; only then the snapshot replaces the state, because without
// a gap this reader has folded all records itself.
func (f *Fold) applySnapshot(out Outcome, e record.Envelope, gap bool) Outcome {
	out.Kind = SnapshotPartRead
	if gap {
		out.Kind = Gap
	}
	p, err := record.Body[record.SnapshotPart](e)
	if err == nil && p.NextOffset > out.Offset {
		err = errSnapshotInFuture
	}
	if err != nil {
		return out.reject(&Invalid{Reason: err})
	}
	state, err := f.assembler.Add(p)
	if err != nil {
		return out.reject(&Invalid{Reason: err})
	}
	if state == nil {
		return out
	}
	if gap && p.NextOffset > f.nextOffset {
		if err := f.Restore(state); err != nil {
			return out.reject(&Invalid{Reason: err})
		}
		out.Kind = Restored
	}
	if p.NextOffset > f.latestSnapshot.NextOffset {
		f.latestSnapshot = SnapshotInfo{NextOffset: p.NextOffset, WrittenAt: p.WrittenAt, RecordsSince: max(0, f.nextOffset-p.NextOffset-int64(p.PartCount))}
	}
	return out
}
