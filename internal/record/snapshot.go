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
	// snapshotPartBytes is the payload of one part. In base64, as JSON, it
	// needs 700 KB, which is below the record limit of the log.
	snapshotPartBytes = 512 << 10
	maxSnapshotParts  = 64
	// maxSnapshotBytes bounds the memory that a broken snapshot can claim.
	maxSnapshotBytes = 256 << 20
	// maxOpenSnapshots is the number of incomplete snapshots that a Collector
	// keeps.
	maxOpenSnapshots = 4
)

// SnapshotPart is the body of a KindSnapshot record: a part of the compressed
// state of a stream. All parts of one snapshot have the same digest.
type SnapshotPart struct {
	// NextOffset is the offset of the first record that the state does not include.
	NextOffset int64 `json:"next"`
	// WrittenAt is the wall clock of the writer in Unix milliseconds.
	WrittenAt int64  `json:"written_ms"`
	Index     int    `json:"part"`
	PartCount int    `json:"parts"`
	Digest    string `json:"digest"` // SHA-256 of all parts together
	Data      []byte `json:"data"`
}

// Check returns an error if the body is malformed.
func (p SnapshotPart) Check() error {
	switch {
	case p.NextOffset < 1:
		return errors.New("snapshot holds no record")
	case p.PartCount < 1 || p.PartCount > maxSnapshotParts || p.Index < 0 || p.Index >= p.PartCount:
		return fmt.Errorf("part %d of %d is not valid", p.Index, p.PartCount)
	case len(p.Data) == 0 || len(p.Data) > snapshotPartBytes:
		return fmt.Errorf("part has %d bytes", len(p.Data))
	case len(p.Digest) != 2*sha256.Size:
		return errors.New("digest is not valid")
	}
	return nil
}

// SplitSnapshot returns the records of a snapshot. next is the offset of the
// first record that the state does not include.
func SplitSnapshot(state []byte, next, writtenAt int64, writer string) ([]Envelope, error) {
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
			NextOffset: next, WrittenAt: writtenAt, Index: i, PartCount: parts, Digest: hex.EncodeToString(sum[:]),
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

// Marker is the body of a KindMarker record. It changes nothing. Its writer
// reads it back to confirm that a read shows all earlier appends.
type Marker struct{}

type openSnapshot struct {
	key   string
	parts [][]byte
	left  int
}

// SnapshotAssembler joins the parts of snapshots. Parts of the same content that
// different writers appended complete each other.
type SnapshotAssembler struct{ open []*openSnapshot }

// Add takes one part. When the snapshot is complete it returns its state;
// otherwise the state is nil.
func (c *SnapshotAssembler) Add(p SnapshotPart) ([]byte, error) {
	key := fmt.Sprintf("%d/%d/%s", p.NextOffset, p.PartCount, p.Digest)
	s := c.find(key, p.PartCount)
	if s.parts[p.Index] == nil {
		s.parts[p.Index] = p.Data
		s.left--
	}
	if s.left > 0 {
		return nil, nil
	}
	c.remove(key)
	return joinSnapshot(s.parts, p.Digest)
}

func (c *SnapshotAssembler) find(key string, parts int) *openSnapshot {
	for _, s := range c.open {
		if s.key == key {
			return s
		}
	}
	s := &openSnapshot{key: key, parts: make([][]byte, parts), left: parts}
	c.open = append(c.open, s)
	if len(c.open) > maxOpenSnapshots {
		c.open = c.open[1:]
	}
	return s
}

func (c *SnapshotAssembler) remove(key string) {
	for i, s := range c.open {
		if s.key == key {
			c.open = append(c.open[:i], c.open[i+1:]...)
			return
		}
	}
}

func joinSnapshot(parts [][]byte, digest string) ([]byte, error) {
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
