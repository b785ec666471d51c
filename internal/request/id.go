package request

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// IDWindow is the age up to which the outcome of a request id is kept.
	// Older ids are refused because they may have run.
	IDWindow = 120 * time.Second
	// MaxIDAhead is how far a request id may be dated in the future.
	MaxIDAhead = 500 * time.Millisecond
	idLength   = 36
	idVersion  = 7
)

// ID is a parsed request id.
type ID struct {
	UUID uuid.UUID
	// Created is the time in the id, in milliseconds.
	Created time.Time
}

// ParseID reads a UUIDv7 in its canonical form.
func ParseID(s string) (ID, error) {
	if len(s) != idLength {
		return ID{}, fmt.Errorf("request id %q is not a UUID of %d characters", s, idLength)
	}
	u, err := uuid.Parse(s)
	if err != nil {
		return ID{}, fmt.Errorf("request id %q is not a UUID", s)
	}
	if u.Version() != idVersion || u.Variant() != uuid.RFC4122 {
		return ID{}, fmt.Errorf("request id %q is not a UUID of version %d", s, idVersion)
	}
	ms := binary.BigEndian.Uint64(u[:8]) >> 16
	return ID{UUID: u, Created: time.UnixMilli(int64(ms))}, nil
}

// Digest identifies the content of a request: equal digests mean the same
// service, customer, key, method, path and body.
type Digest [16]byte

// Digest returns the digest of the request with the given body.
func (r *Request) Digest(body []byte) Digest {
	head := make([]byte, 0, 256)
	for _, s := range [...]string{string(r.Service), string(r.Customer), r.Key, r.Method, r.Path} {
		head = binary.AppendUvarint(head, uint64(len(s)))
		head = append(head, s...)
	}
	h := sha256.New()
	h.Write(head)
	h.Write(body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:16])
}
