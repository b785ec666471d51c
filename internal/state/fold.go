// Package state folds the records of the log's streams into the agreed state.
// The result depends only on the records and their order: hosts that folded
// the same records, directly or through snapshots, have byte-identical
// snapshots. The package has no clock and no I/O, and its types are not safe
// for concurrent use.
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
	// remembered. It must not be a bound on correctness: a later repeat of an
	// accepted record has a base older than the record itself and is therefore
	// stale, and a repeat of a rejected record is judged by the same subject
	// state again. See Fold.
	idWindow = SnapshotInterval
	// maxUnknown is the number of unknown records that are kept in full.
	maxUnknown = 32
	// maxUnknownBytes is the largest unknown record that is kept in full.
	maxUnknownBytes = 16 << 10
)

// Revision names an accepted record.
type Revision struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Writer string `json:"writer"`
}

// none is the revision of a subject without records.
var none = Revision{Offset: record.NoBase}

// UnknownRecord is a record of a version or kind that this release does not know.
type UnknownRecord struct {
	Offset  int64       `json:"offset"`
	Version int         `json:"version"`
	Kind    record.Kind `json:"kind"`
	ID      string      `json:"id"`
	Writer  string      `json:"writer"`
	// Cell is the body's cell, if it has one.
	Cell string `json:"cell,omitempty"`
	// Data is the record; empty if it is too large to be kept.
	Data []byte `json:"data,omitempty"`
}

// machine holds the state of one kind of stream.
type machine interface {
	// prepare checks a record against the state without changing it. It returns
	// the newest revision of the record's subjects, and commit, which applies
	// the record. It is only called for known kinds.
	prepare(e record.Envelope) (change, error)
	// known reports whether the stream holds records of the kind.
	known(k record.Kind) bool
	// snapshot returns the state for encoding as JSON.
	snapshot() any
	// restore returns a machine with a state that snapshot returned.
	restore(data json.RawMessage) (machine, error)
}

// change is a record that is ready to be applied.
type change struct {
	subject string
	// latest is the newest revision of all subjects of the record. The base
	// rule does not hold if it is nil.
	latest *Revision
	// check returns why the record is not valid in the current state, after
	// the base rule.
	check  func() error
	commit func(Revision)
}

// Fold folds one stream.
//
// Duplicate rule: ids are remembered for idWindow offsets. After that the base
// rule takes over: a record is only accepted if its base is not older than the
// newest record of its subject, so an accepted record makes its own repeats
// stale. Streams without the base rule (quarantine) must have idempotent
// records.
type Fold struct {
	stream  string
	next    int64
	ids     ids
	unknown []UnknownRecord
	// unknownCount counts all unknown records, including those not kept.
	unknownCount int64
	machine      machine

	// The fields below are not part of the state: they depend on what this
	// reader has seen of the snapshots in the stream.
	parts     record.SnapshotAssembler
	snapshots SnapshotInfo
}

// SnapshotInfo describes the newest complete snapshot that a reader has seen
// in the stream.
type SnapshotInfo struct {
	// NextOffset is the offset of the first record that the snapshot does not
	// include; 0 if there was no snapshot.
	NextOffset int64
	// WrittenAt is the wall clock of its writer in Unix milliseconds.
	WrittenAt int64
	// RecordsSince counts the records after Next, without the parts of snapshots.
	RecordsSince int64
	// MarkersSince counts the markers after Next.
	MarkersSince int64
}

func newFold(stream string, m machine) *Fold {
	return &Fold{stream: stream, ids: newIDs(), machine: m}
}

// Apply folds the record at an offset. Records must be passed in the order of
// their offsets. Repeated offsets and gaps are allowed: a record behind a gap
// is only used if it completes a snapshot. After Restored and Gap the reader
// continues at Next. Apply never panics and never fails: what is wrong with a
// record is in its outcome.
func (f *Fold) Apply(offset int64, data []byte) Outcome {
	if offset < f.next {
		return Outcome{Kind: PastOffset, Offset: offset}
	}
	e, err := record.Decode(data)
	out := Outcome{Offset: offset, ID: e.ID, Writer: e.Writer, RecordKind: e.Kind}
	isSnapshot := err == nil && e.Kind == record.KindSnapshot
	if offset > f.next {
		if !isSnapshot {
			out.Kind = Gap
			return out
		}
		return f.applySnapshot(out, e, true)
	}
	f.next = offset + 1
	f.ids.expire(offset)
	if isSnapshot {
		return f.applySnapshot(out, e, false)
	}
	if err == nil && e.Kind == record.KindMarker {
		// Markers are frequent and have no effect, so their ids are not kept.
		f.snapshots.MarkersSince++
		out.Kind = MarkerRead
		return out
	}
	f.snapshots.RecordsSince++
	switch {
	case errors.Is(err, record.ErrUnknownVersion):
		return f.keepUnknown(out, e, data)
	case err != nil:
		return out.reject(&Invalid{Reason: err})
	}
	return f.applyKnown(out, e, data)
}

func (f *Fold) applyKnown(out Outcome, e record.Envelope, data []byte) Outcome {
	if first, ok := f.ids.get(e.ID); ok {
		out.Kind, out.First = Duplicate, &first
		return out
	}
	if !f.machine.known(e.Kind) {
		return f.keepUnknown(out, e, data)
	}
	err := f.accept(e, Revision{Offset: out.Offset, ID: e.ID, Writer: e.Writer})
	f.ids.add(e.ID, FirstOccurrence{Offset: out.Offset, Accepted: err == nil})
	if err != nil {
		return out.reject(err)
	}
	out.Kind = Applied
	return out
}

// accept applies the base rule and the rules of the stream.
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

func (f *Fold) keepUnknown(out Outcome, e record.Envelope, data []byte) Outcome {
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
		// The names of a record of a later version have no limit here.
		u.Kind, u.ID, u.Writer, u.Cell = "", "", "", ""
	}
	if len(f.unknown) < maxUnknown {
		f.unknown = append(f.unknown, u)
	}
	return out
}

// applySnapshot takes a part of a snapshot. Only a reader behind a gap uses
// the state: a reader without a gap has folded all records itself.
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
	state, err := f.parts.Add(p)
	if err != nil {
		return out.reject(&Invalid{Reason: err})
	}
	if state == nil {
		return out
	}
	if gap && p.NextOffset > f.next {
		if err := f.Restore(state); err != nil {
			return out.reject(&Invalid{Reason: err})
		}
		out.Kind = Restored
	}
	if p.NextOffset > f.snapshots.NextOffset {
		f.snapshots = SnapshotInfo{NextOffset: p.NextOffset, WrittenAt: p.WrittenAt, RecordsSince: max(0, f.next-p.NextOffset-int64(p.PartCount))}
	}
	return out
}
