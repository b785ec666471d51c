// Package record defines the records that the streams of the platform's log
// hold.
package record

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Version is the version of the envelope and of all bodies that this package
// writes.
const Version = 1

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
	KindConfig   Kind = "config"
	KindMembers  Kind = "members"
	KindSnapshot Kind = "snapshot"
)

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

// MemberList is the body of a KindMembers record.
type MemberList struct {
	Cell       topology.CellID     `json:"cell"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Version    uint32              `json:"version"`
	Members    []topology.Member   `json:"members"`
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

// Decode reads one record.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, eris.Wrap(err, "decode record")
	}
	return e, nil
}
