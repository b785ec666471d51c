// Package pieces receives bodies of messages as lists of pieces. A body that grows piece by
// piece is never copied, so that it needs no second buffer and leaves no garbage, and holds no
// more memory than has arrived, whatever length was announced.
package pieces

import (
	"errors"
	"io"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
)

// Body is the content of a message. Its pieces are not modified once it is complete.
type Body [][]byte

const (
	// firstPiece is the size of the first piece of a body in bytes; it holds most requests.
	firstPiece = 4 << 10
	// largestPiece bounds what a caller that stops sending has for nothing: with it, a body
	// of 64 MiB has about 1,000 pieces, which one call to writev takes.
	largestPiece = 64 << 10
	// memoryWait bounds the time for which a request waits for others to yield. They do so
	// as soon as their goroutines run.
	memoryWait = time.Second
)

// SlowAfter is the time after which a body counts as slow if the last piece is not full: less
// than 64 KiB/s, a twentieth of the slowest link of a host (10 Mbit/s).
const SlowAfter = time.Second

// nextPiece returns the size of the next piece of a body that holds so many bytes and ends at
// limit: as much again, so that the unused rest is at most half.
func nextPiece(held, limit int64) int64 {
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

// Errors of Receive. The request is to be refused.
var (
	ErrTooLarge = errors.New("body is too large")
	ErrNoMemory = errors.New("no memory for the body")
	ErrEvicted  = errors.New("body yielded to others")
)

// Receive reads a body into memory, which the caller has told that the request is being
// received, and completes it there. The length is -1 if it is not announced; a body longer
// than limit is too large.
func Receive(r io.Reader, length, limit int64, memory *membudget.Upload, clk clock.Clock) (Body, error) {
	body, err := receive(r, length, limit, memory, clk)
	if !memory.Complete() {
		return nil, ErrEvicted
	}
	return body, err
}

func receive(r io.Reader, length, limit int64, memory *membudget.Upload, clk clock.Clock) (Body, error) {
	end := length
	if end < 0 {
		end = limit + 1 // with one byte more, the body is too large
	}
	var body Body
	for held := int64(0); held < end; {
		size := nextPiece(held, end)
		if !Grow(memory, size, clk) {
			return nil, ErrNoMemory
		}
		piece := make([]byte, size)
		n, err := readFull(r, piece)
		held += int64(n)
		body = append(body, piece[:n])
		switch {
		case errors.Is(err, io.EOF) && length < 0 && held <= limit:
			return body, nil
		case err != nil && held < end:
			return nil, err
		}
	}
	if length < 0 {
		return nil, ErrTooLarge
	}
	return body, nil
}

// readFull reads until b is full or an error occurs. Unlike io.ReadFull it returns the error of
// the reader, which tells the end of a chunked body from a connection that is cut off.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

// Grow makes a request hold n bytes more, and waits for others that yield to it. It returns
// false if there is no room.
func Grow(memory *membudget.Upload, n int64, clk clock.Clock) bool {
	var timeout <-chan time.Time
	for {
		ok, retry := memory.Grow(n, clk.Now())
		if retry == nil {
			return ok
		}
		if timeout == nil {
			timer := time.NewTimer(memoryWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-retry:
		case <-timeout:
			return false
		}
	}
}
