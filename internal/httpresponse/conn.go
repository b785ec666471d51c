package httpresponse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// HalfClosedTimeout is the time after which a server that has closed its side of a connection
// counts as not reading the rest of the request: half of the strictest objective for latency.
const HalfClosedTimeout = 250 * time.Millisecond

var errRequestNotRead = errors.New("the server does not read the request")

// conn is a connection of an http.Transport. It checks the heads of the responses that are
// read from it, and reports its end only if that may complete a response.
//
// A socket reports a reset once. If the write of a request takes it, the read sees an orderly
// end, which would complete a body without a length. So the end of the connection is an error
// unless the request is written without one.
type conn struct {
	net.Conn
	checked checkedReader

	mu       sync.Mutex
	request  requestProgress
	written  chan struct{} // closed once the request is written or its write has failed
	writeErr error
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, written: make(chan struct{})}
	c.checked.r = endReader{c}
	close(c.written)
	return c
}

// expect says that a request with a body of length bytes is written next, and that the first
// byte that is read then belongs to its response.
func (c *conn) expect(length int64) {
	c.checked.scanner.expect()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = requestProgress{bodyLeft: length}
	c.written = make(chan struct{})
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.checked.Read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.add(p[:n])
	if err != nil || c.request.complete() {
		c.endWrite(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.endWrite(net.ErrClosed)
	c.mu.Unlock()
	return c.Conn.Close()
}

// endWrite ends the write of the request. The caller holds mu.
func (c *conn) endWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
	select {
	case <-c.written:
	default:
		close(c.written)
	}
}

// awaitWrite waits until the request is written, as long as the server reads it, and returns
// the error of the write.
func (c *conn) awaitWrite() error {
	for {
		c.mu.Lock()
		written, before := c.written, c.request
		c.mu.Unlock()
		select {
		case <-written:
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.writeErr
		case <-time.After(HalfClosedTimeout):
		}
		c.mu.Lock()
		stalled := c.request == before
		c.mu.Unlock()
		if stalled {
			return errRequestNotRead
		}
	}
}

// endReader reads from the connection below c, and checks its end.
type endReader struct{ c *conn }

// Read implements io.Reader.
func (r endReader) Read(p []byte) (int, error) {
	n, err := r.c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || r.c.checked.scanner.isFirst() {
		return n, err
	}
	if writeErr := r.c.awaitWrite(); writeErr != nil {
		return n, fmt.Errorf("connection ended before the request was written: %w", writeErr)
	}
	return n, err
}

// requestProgress is how much of a request is written.
type requestProgress struct {
	matched  int // bytes of endOfHead that were written last
	bodyLeft int64
}

const endOfHead = "\r\n\r\n"

// add adds the next bytes of the request.
func (p *requestProgress) add(data []byte) {
	for len(data) > 0 && p.matched < len(endOfHead) {
		switch data[0] {
		case endOfHead[p.matched]:
			p.matched++
		case endOfHead[0]:
			p.matched = 1
		default:
			p.matched = 0
		}
		data = data[1:]
	}
	p.bodyLeft -= int64(len(data))
}

func (p *requestProgress) complete() bool { return p.matched == len(endOfHead) && p.bodyLeft <= 0 }
