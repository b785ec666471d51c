package state

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/record"
)

// encodedFold is the encoded form of a Fold.
type encodedFold struct {
	Version      int             `json:"version"`
	Stream       string          `json:"stream"`
	NextOffset   int64           `json:"next"`
	IDs          []idEntry       `json:"ids,omitempty"`
	Unknown      []UnknownRecord `json:"unknown,omitempty"`
	UnknownCount int64           `json:"unknown_count,omitempty"`
	State        json.RawMessage `json:"state"`
}

// Snapshot returns the encoding of the complete state. Equal states have equal
// encodings.
func (f *Fold) Snapshot() ([]byte, error) {
	state, err := json.Marshal(f.machine.snapshot())
	if err != nil {
		return nil, eris.Wrapf(err, "encode state of stream %s", f.stream)
	}
	data, err := json.Marshal(encodedFold{
		Version: record.Version, Stream: f.stream, NextOffset: f.nextOffset, IDs: f.ids.order,
		Unknown: f.unknown, UnknownCount: f.unknownCount, State: state,
	})
	return data, eris.Wrapf(err, "encode state of stream %s", f.stream)
}

// Restore replaces the state by a snapshot. It returns ErrNotNewer if the
// snapshot is not newer than the state, and another error if the snapshot is
// malformed or of another stream or version. On an error the state does not
// change.
func (f *Fold) Restore(data []byte) error {
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if header.Version != record.Version {
		return eris.Errorf("snapshot has the unknown version %d", header.Version)
	}
	var d encodedFold
	if err := config.DecodeStrict(data, &d); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	if d.Stream != f.stream {
		return eris.Errorf("snapshot is of stream %q, not %q", d.Stream, f.stream)
	}
	if d.NextOffset <= f.nextOffset {
		return ErrNotNewer
	}
	recent, err := restoreRecentIDs(d.IDs, d.NextOffset)
	if err != nil {
		return err
	}
	m, err := f.machine.restore(d.State)
	if err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	f.nextOffset, f.ids, f.machine = d.NextOffset, recent, m
	f.unknown, f.unknownCount = d.Unknown, d.UnknownCount
	return nil
}

func restoreRecentIDs(entries []idEntry, next int64) (recentIDs, error) {
	s := newRecentIDs()
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
func (f *Fold) NextOffset() int64 { return f.nextOffset }

// LatestSnapshot describes the newest complete snapshot that this reader has read
// from the stream.
func (f *Fold) LatestSnapshot() SnapshotInfo { return f.latestSnapshot }

// Find returns the first record with an id, if it is among the last idWindow
// offsets.
func (f *Fold) Find(id string) (FirstOccurrence, bool) { return f.ids.get(id) }

// UnknownRecords returns the stored unknown records, and the number of all
// unknown records.
func (f *Fold) UnknownRecords() ([]UnknownRecord, int64) { return f.unknown, f.unknownCount }

// decodeState decodes the state of a stateMachine from a snapshot.
func decodeState[T any](data json.RawMessage) (T, error) {
	var s T
	err := config.DecodeStrict(data, &s)
	return s, err
}
