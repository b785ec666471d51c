package record

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// snapshotPartBytes is the largest payload of one part. Encoded as base64
	// in JSON it takes 700 KB, which is below the record limit of the log.
	snapshotPartBytes = 512 << 10
	maxSnapshotParts  = 64
	// maxSnapshotBytes limits the size after decompression, so that a malformed
	// snapshot cannot exhaust the memory.
	maxSnapshotBytes = 256 << 20
	// maxPartialSnapshots is the number of incomplete snapshots that a
	// SnapshotAssembler keeps; it discards the oldest.
	maxPartialSnapshots = 4
)

// SnapshotPart is the body of a KindSnapshot record: a part of the compressed
// state that was derived from a stream. All parts of one snapshot have the same
// digest.
type SnapshotPart struct {
	// NextOffset is the offset of the first record that the state does not
	// include.
	NextOffset int64 `json:"next"`
	// WrittenAt is the wall clock of the writer in Unix milliseconds.
	WrittenAt int64  `json:"written_ms"`
	Index     int    `json:"part"`
	PartCount int    `json:"parts"`
	Digest    string `json:"digest"` // SHA-256 of the data of all parts, in hexadecimal
	Data      []byte `json:"data"`
}

// Check returns an error if the body is malformed.
func (p SnapshotPart) Check() error {
	switch {
	case p.NextOffset < 1:
		return errors.New("snapshot includes no records")
	case p.PartCount < 1 || p.PartCount > maxSnapshotParts || p.Index < 0 || p.Index >= p.PartCount:
		return fmt.Errorf("part %d of %d is not valid", p.Index, p.PartCount)
	case len(p.Data) == 0 || len(p.Data) > snapshotPartBytes:
		return fmt.Errorf("part has %d bytes", len(p.Data))
	case len(p.Digest) != 2*sha256.Size:
		return errors.New("digest is not valid")
	}
	return nil
}

// SplitSnapshot compresses a state and splits it into snapshot records.
// nextOffset is the offset of the first record that the state does not include,
// writtenAt the wall clock time in Unix milliseconds.
func SplitSnapshot(state []byte, nextOffset, writtenAt int64, writer string) ([]Envelope, error) {
	var b bytes.Buffer
	zw := gzip.NewWriter(&b)
	if _, err := zw.Write(state); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	if err := zw.Close(); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	data := b.Bytes()
	sum := sha256.Sum256(data)
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	if parts > maxSnapshotParts {
		return nil, eris.Errorf("snapshot of %d compressed bytes is too large", len(data))
	}
	records := make([]Envelope, 0, parts)
	for i := range parts {
		body := SnapshotPart{
			NextOffset: nextOffset, WrittenAt: writtenAt, Index: i, PartCount: parts, Digest: hex.EncodeToString(sum[:]),
			Data: data[i*snapshotPartBytes : min(len(data), (i+1)*snapshotPartBytes)],
		}
		e, err := New(KindSnapshot, NoBase, writer, body)
		if err != nil {
			return nil, err
		}
		records = append(records, e)
	}
	return records, nil
}

// Marker is the body of a KindMarker record. It does not change the state. Once
// its writer reads the marker back, it has seen all earlier appends.
type Marker struct{}

type partialSnapshot struct {
	key     string
	parts   [][]byte
	missing int
}

// SnapshotAssembler assembles snapshots from their parts. It combines parts from
// different writers if their snapshots have the same content.
type SnapshotAssembler struct{ partial []*partialSnapshot }

// Add adds one part. It returns the state if the part completes a snapshot, and
// nil otherwise.
func (a *SnapshotAssembler) Add(p SnapshotPart) ([]byte, error) {
	key := fmt.Sprintf("%d/%d/%s", p.NextOffset, p.PartCount, p.Digest)
	s := a.findOrAdd(key, p.PartCount)
	if s.parts[p.Index] == nil {
		s.parts[p.Index] = p.Data
		s.missing--
	}
	if s.missing > 0 {
		return nil, nil
	}
	a.remove(key)
	return decodeSnapshot(s.parts, p.Digest)
}

func (a *SnapshotAssembler) findOrAdd(key string, parts int) *partialSnapshot {
	for _, s := range a.partial {
		if s.key == key {
			return s
		}
	}
	s := &partialSnapshot{key: key, parts: make([][]byte, parts), missing: parts}
	a.partial = append(a.partial, s)
	if len(a.partial) > maxPartialSnapshots {
		a.partial = a.partial[1:]
	}
	return s
}

func (a *SnapshotAssembler) remove(key string) {
	for i, s := range a.partial {
		if s.key == key {
			a.partial = append(a.partial[:i], a.partial[i+1:]...)
			return
		}
	}
}

func decodeSnapshot(parts [][]byte, digest string) ([]byte, error) {
	data := bytes.Join(parts, nil)
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != digest {
		return nil, eris.New("snapshot does not match its digest")
	}
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	state, err := io.ReadAll(io.LimitReader(zr, maxSnapshotBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	if len(state) > maxSnapshotBytes {
		return nil, eris.New("snapshot is too large")
	}
	return state, nil
}
