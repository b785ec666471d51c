// Package pieces holds bodies of messages as lists of pieces. A body that grows piece by
// piece is never copied, so that it needs no second buffer and leaves no garbage.
package pieces

import "time"

// Body is the content of a message. Its pieces are not modified once it is complete.
type Body [][]byte

const (
	// firstPiece is the size of the first piece of a body in bytes; it holds most requests.
	firstPiece = 4 << 10
	// largestPiece bounds what a caller that stops sending has for nothing: with it, a body
	// of 64 MiB has about 1,000 pieces, which one call to writev takes.
	largestPiece = 64 << 10
)

// SlowAfter is the time after which a body counts as slow if the last piece is not full: less
// than 64 KiB/s, a twentieth of the slowest link of a host (10 Mbit/s).
const SlowAfter = time.Second

// NextPiece returns the size of the next piece of a body that holds so many bytes and ends at
// limit: as much again, so that the unused rest is at most half.
func NextPiece(held, limit int64) int64 {
	return min(max(firstPiece, held), largestPiece, limit-held)
}

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, p := range b {
		n += len(p)
	}
	return n
}

// Bytes returns a copy of the content.
func (b Body) Bytes() []byte {
	out := make([]byte, 0, b.Len())
	for _, p := range b {
		out = append(out, p...)
	}
	return out
}
