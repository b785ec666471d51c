package request

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// IDWindow is the age up to which the outcome of a request id is kept.
	// Older ids are refused because their requests may have run.
	IDWindow = 120 * time.Second
	// MaxIDAhead is how far the creation time in a request id may lie in the
	// future.
	MaxIDAhead = 500 * time.Millisecond
	idLength   = 36
	idVersion  = 7
)

// ID is a parsed request id.
type ID struct {
	UUID uuid.UUID
	// Created is the creation time in the id, with a resolution of 1 ms.
	Created time.Time
}

// ParseID parses a UUIDv7 in its canonical form.
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

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of Digest.String.
func ParseDigest(s string) (Digest, bool) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(Digest{}) {
		return Digest{}, false
	}
	return Digest(raw), true
}

// Digest returns the digest of the request with the given body.
func (r *Request) Digest(body []byte) Digest {
	fields := make([]byte, 0, 256)
	for _, s := range [...]string{string(r.Service), string(r.Customer), r.Key, r.Method, r.Path} {
		fields = binary.AppendUvarint(fields, uint64(len(s)))
		fields = append(fields, s...)
	}
	h := sha256.New()
	h.Write(fields)
	h.Write(body)
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:16])
}
