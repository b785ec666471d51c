// Package record defines the records that the streams of the platform's log
// hold. Any change of a body or of the rules that accept it needs a new
// Version: hosts of different releases must fold a stream to the same result.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Version is the version of the envelope and of all bodies that this package
// writes.
const Version = 1

// Limits of envelope fields in bytes.
const (
	maxIDBytes     = 64
	maxWriterBytes = 128
)

// NoBase is the base of a record that depends on no other record.
const NoBase int64 = -1

// Streams of the log.
const (
	StreamConfig     = "config"
	StreamMembers    = "members"
	StreamQuarantine = "quarantine"
)

// StreamAssign returns the stream of assignments of a cell.
func StreamAssign(cell topology.CellID) string { return "assign." + string(cell) }

// Kind names the type of a record's body.
type Kind string

// Kinds of records.
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

// ErrUnknownVersion reports an envelope that a later release wrote. The
// returned envelope holds as much as could be read.
var ErrUnknownVersion = eris.New("record has an unknown version")

// Envelope is one record. A reader keeps and reports records of an unknown
// version or kind; they change nothing.
type Envelope struct {
	Version int    `json:"version"`
	Kind    Kind   `json:"kind"`
	ID      string `json:"id"`
	// Base is the offset of the last record that this one depends on; -1 if
	// there is none.
	Base   int64           `json:"base"`
	Writer string          `json:"writer"`
	Body   json.RawMessage `json:"body"`
}

// New returns an envelope of the current version with a fresh id.
func New(kind Kind, base int64, writer string, body any) (Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, eris.Wrapf(err, "encode %s record", kind)
	}
	return Envelope{Version: Version, Kind: kind, ID: uuid.NewString(), Base: base, Writer: writer, Body: raw}, nil
}

// Encode returns the bytes to append.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, eris.Wrap(err, "encode record")
}

// Decode reads one record. It returns ErrUnknownVersion for a version that
// this release does not know, and another error for garbage.
func Decode(data []byte) (Envelope, error) {
	var head struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record")
	}
	if head.Version < 1 {
		return Envelope{}, eris.Errorf("record has no valid version: %d", head.Version)
	}
	if head.Version != Version {
		return decodeUnknown(data, head.Version), ErrUnknownVersion
	}
	var e Envelope
	if err := config.DecodeStrict(data, &e); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record")
	}
	return e, e.check()
}

// decodeUnknown reads the fields of a later version one by one, because each
// of them may have another type there.
func decodeUnknown(data []byte, version int) Envelope {
	e := Envelope{Version: version, Base: NoBase}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return e
	}
	for name, into := range map[string]any{"kind": &e.Kind, "id": &e.ID, "writer": &e.Writer} {
		_ = json.Unmarshal(fields[name], into)
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

// checker is a body that can check its own fields.
type checker interface{ Check() error }

// Body decodes the body of a record of the current version into T. It rejects
// unknown fields and calls T's Check.
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
