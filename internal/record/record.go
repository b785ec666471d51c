// Package record defines the records in the streams of the platform's log. Any
// change to a body or to the rules that accept it needs a new Version, because
// hosts of different releases must derive the same state from a stream.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Version is the format version of the envelope and of all bodies that this
// package writes.
const Version = 1

// Limits of envelope fields in bytes.
const (
	maxIDBytes     = 64
	maxWriterBytes = 128
)

// NoBase is the Base of a record that depends on no other record.
const NoBase int64 = -1

// Streams of the log.
const (
	StreamConfig     = "config"
	StreamMembers    = "members"
	StreamQuarantine = "quarantine"
)

// StreamAssign returns the name of the assignment stream of a cell.
func StreamAssign(cell topology.CellID) string { return "assign." + string(cell) }

// Kind names the type of a record's body.
type Kind string

// Kinds of records, with the type of the body and the stream.
const (
	KindConfig       Kind = "config"        // config.Document, config
	KindConfigChange Kind = "config-change" // config.Change, config
	KindMembers      Kind = "members"       // MemberList, members
	KindHostsStopped Kind = "hosts-stopped" // HostsStopped, members
	KindRelease      Kind = "release"       // Release, members
	KindTakeOver     Kind = "take-over"     // TakeOver, members
	KindAssign       Kind = "assign"        // Assignments, assign.<cell>
	KindCrashes      Kind = "crashes"       // Crashes, quarantine
	KindQuarantine   Kind = "quarantine"    // Quarantine, quarantine
	KindSnapshot     Kind = "snapshot"      // SnapshotPart, every stream
	KindMarker       Kind = "marker"        // Marker, every stream
)

// ErrUnknownVersion means that a later release wrote the record. Decode then
// returns the fields that it could read.
var ErrUnknownVersion = eris.New("record has an unknown version")

// Envelope is one record of the log. Records of an unknown version or kind do
// not change the state, but readers report them.
type Envelope struct {
	Version int    `json:"version"`
	Kind    Kind   `json:"kind"`
	ID      string `json:"id"`
	// Base is the offset of the last record that this one depends on, or
	// NoBase.
	Base   int64           `json:"base"`
	Writer string          `json:"writer"`
	Body   json.RawMessage `json:"body"`
}

// New returns an envelope of the current version with a random id.
func New(kind Kind, base int64, writer string, body any) (Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, eris.Wrapf(err, "encode %s record", kind)
	}
	return Envelope{Version: Version, Kind: kind, ID: uuid.NewString(), Base: base, Writer: writer, Body: raw}, nil
}

// Encode returns the JSON encoding that is appended to the log.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, eris.Wrap(err, "encode record")
}

// Decode decodes one record. It returns ErrUnknownVersion for a version that
// this release does not know, and another error for malformed data.
func Decode(data []byte) (Envelope, error) {
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record")
	}
	if header.Version < 1 {
		return Envelope{}, eris.Errorf("record has no valid version: %d", header.Version)
	}
	if header.Version != Version {
		return decodeUnknown(data, header.Version), ErrUnknownVersion
	}
	var e Envelope
	if err := config.DecodeStrict(data, &e); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record")
	}
	return e, e.check()
}

// decodeUnknown decodes a record of an unknown version. It decodes each field
// on its own, because a later version may give any of them another type.
func decodeUnknown(data []byte, version int) Envelope {
	e := Envelope{Version: version, Base: NoBase}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return e
	}
	for name, target := range map[string]any{"kind": &e.Kind, "id": &e.ID, "writer": &e.Writer} {
		_ = json.Unmarshal(fields[name], target)
	}
	e.Body = fields["body"]
	return e
}

func (e Envelope) check() error {
	switch {
	case e.Kind == "":
		return eris.New("record has no kind")
	case e.ID == "" || len(e.ID) > maxIDBytes:
		return eris.Errorf("record id %.80q is empty or longer than %d bytes", e.ID, maxIDBytes)
	case e.Writer == "" || len(e.Writer) > maxWriterBytes:
		return eris.Errorf("writer %.150q of the record is empty or longer than %d bytes", e.Writer, maxWriterBytes)
	case e.Base < NoBase:
		return eris.Errorf("record base %d is not valid", e.Base)
	case len(e.Body) == 0:
		return eris.New("record has no body")
	}
	return nil
}

// checker is implemented by bodies that validate their own fields.
type checker interface{ Check() error }

// Body decodes the body of a record of the current version into T. It rejects
// unknown fields and, if T has a method Check, malformed bodies.
func Body[T any](e Envelope) (T, error) {
	var body T
	if err := config.DecodeStrict(e.Body, &body); err != nil {
		return body, fmt.Errorf("body of %s record: %w", e.Kind, err)
	}
	if c, ok := any(body).(checker); ok {
		if err := c.Check(); err != nil {
			return body, fmt.Errorf("body of %s record: %w", e.Kind, err)
		}
	}
	return body, nil
}
