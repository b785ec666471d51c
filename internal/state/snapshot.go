package state

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/record"
)

// document is the encoded form of a Fold.
type document struct {
	Version      int             `json:"version"`
	Stream       string          `json:"stream"`
	Next         int64           `json:"next"`
	IDs          []idEntry       `json:"ids,omitempty"`
	Unknown      []UnknownRecord `json:"unknown,omitempty"`
	UnknownCount int64           `json:"unknown_count,omitempty"`
	State        json.RawMessage `json:"state"`
}

// Snapshot returns the complete state. Equal states have equal bytes.
func (f *Fold) Snapshot() ([]byte, error) {
	state, err := json.Marshal(f.machine.snapshot())
	if err != nil {
		return nil, eris.Wrapf(err, "encode state of stream %s", f.stream)
	}
	data, err := json.Marshal(document{
		Version: record.Version, Stream: f.stream, Next: f.next, IDs: f.ids.order,
		Unknown: f.unknown, UnknownCount: f.unknownCount, State: state,
	})
	return data, eris.Wrapf(err, "encode state of stream %s", f.stream)
}

// Restore replaces the state by a snapshot. It returns ErrNotNewer if the
// snapshot is not newer than the state, and another error for a snapshot that
// is damaged or of another stream or version. The state is unchanged then.
func (f *Fold) Restore(data []byte) error {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if head.Version != record.Version {
		return eris.Errorf("snapshot has the unknown version %d", head.Version)
	}
	var d document
	if err := config.DecodeStrict(data, &d); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if d.Stream != f.stream {
		return eris.Errorf("snapshot is of stream %q, not %q", d.Stream, f.stream)
	}
	if d.Next <= f.next {
		return ErrNotNewer
	}
	remembered, err := restoreIDs(d.IDs, d.Next)
	if err != nil {
		return err
	}
	m, err := f.machine.restore(d.State)
	if err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	f.next, f.ids, f.machine = d.Next, remembered, m
	f.unknown, f.unknownCount = d.Unknown, d.UnknownCount
	return nil
}

func restoreIDs(entries []idEntry, next int64) (ids, error) {
	s := newIDs()
	last := int64(-1)
	for _, e := range entries {
		if e.ID == "" || e.Offset <= last || e.Offset >= next {
			return s, eris.Errorf("snapshot has an invalid id entry at offset %d", e.Offset)
		}
		last = e.Offset
		s.add(e.ID, e.FirstOccurrence)
	}
	if len(s.byID) != len(s.order) {
		return s, eris.New("snapshot repeats an id")
	}
	return s, nil
}

// Stream returns the name of the stream.
func (f *Fold) Stream() string { return f.stream }

// NextOffset returns the offset of the first record that is not folded yet.
func (f *Fold) NextOffset() int64 { return f.next }

// LatestSnapshot returns what this reader knows of the snapshots in the stream.
func (f *Fold) LatestSnapshot() SnapshotInfo { return f.snapshots }

// Find returns the result of a record with an id among the last records.
func (f *Fold) Find(id string) (FirstOccurrence, bool) { return f.ids.get(id) }

// UnknownRecords returns the unknown records that were kept, and the number of all.
func (f *Fold) UnknownRecords() ([]UnknownRecord, int64) { return f.unknown, f.unknownCount }

// decodeState reads the state part of a snapshot.
func decodeState[T any](data json.RawMessage) (T, error) {
	var s T
	err := config.DecodeStrict(data, &s)
	return s, err
}
