// Package httpserver serves HTTP/1.1 connections of callers that may send further
// requests before the first one is answered.
//
// The load pattern that it answers: a caller that sends several requests on one
// connection, each with a time of its own. The standard server reads the second
// request after the answer to the first, when much of its time is gone; here all
// are run at the same time, and answered in their order.
package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a complete request of a caller.
type Request struct {
	*http.Request
	Content []byte
	// Arrived is the time at which its first byte was read.
	Arrived time.Time
}

// Response is the complete answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests. The context ends when the caller leaves.
type Handler func(ctx context.Context, r *Request) *Response

const (
	// maxPipelined bounds the requests of one connection that run at the same
	// time.
	maxPipelined = 32
	// writeTimeout ends the wait for a caller that does not read.
	writeTimeout = 10 * time.Second
	bodyTimeout  = 30 * time.Second
	bufferSize   = 4 << 10
)

// Server serves connections.
type Server struct {
	handler Handler
	limits  func() Limits
	closing atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	open  sync.WaitGroup
}

// New returns a server. The limits function is called for each request.
func New(handler Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: make(map[*conn]bool)}
}

// Serve accepts connections until the listener is closed. Requests get contexts
// that derive from ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				// Descriptors may have run out for the moment.
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		c := &conn{Conn: nc, server: s, answers: make(chan *pending, maxPipelined)}
		c.limited = &io.LimitedReader{R: nc}
		c.br = bufio.NewReaderSize(c.limited, bufferSize)
		if !s.begin(c) {
			_ = nc.Close()
			continue
		}
		go c.serve(ctx)
	}
}

// begin counts a connection. It returns false once the server shuts down.
func (s *Server) begin(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.conns[c] = true
	s.open.Add(1)
	return true
}

const acceptPause = 20 * time.Millisecond

// Shutdown closes idle connections at once and the others after their last
// answer. It returns when all are closed, or with the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing.Store(true)
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pending is a request that was read and waits for its answer.
type pending struct {
	ready chan *Response
	// last is true if the caller asked to close the connection afterwards.
	last bool
	head bool
}

// conn is one connection. The reader goroutine reads requests and starts their
// handlers; the writer goroutine writes the answers in order.
type conn struct {
	net.Conn
	server  *Server
	br      *bufio.Reader
	limited *io.LimitedReader
	answers chan *pending
	// open counts the requests that are read or being read and not answered.
	open atomic.Int32
	mu   sync.Mutex // held while the connection goes from idle to busy or closed
	shut bool
}

func (c *conn) serve(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read(ctx)
	cancel()
	close(c.answers)
	<-written
	_ = c.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.server.open.Done()
}

// closeIfIdle closes a connection without requests.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open.Load() == 0 && c.br.Buffered() == 0 {
		c.shut = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) isShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// begin marks the connection as busy. It returns false if it is closed.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return false
	}
	c.open.Add(1)
	return true
}

// read reads requests until the caller leaves or the connection is to be closed.
func (c *conn) read(ctx context.Context) {
	for {
		limits := c.server.limits()
		c.limited.N = int64(limits.HeaderBytes) + bufferSize
		if c.open.Load() == 0 {
			_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
			if c.server.closing.Load() {
				c.closeIfIdle()
			}
		} else {
			_ = c.SetReadDeadline(time.Time{})
		}
		if c.isShut() {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			if errors.Is(err, io.EOF) || !isTimeout(err) {
				return // the caller has left; its requests are cancelled
			}
			if c.open.Load() == 0 {
				return
			}
			continue
		}
		if !c.begin() {
			return
		}
		arrived := time.Now()
		_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
		r, status := c.readRequest(limits)
		if status != 0 {
			c.reject(status)
			c.drain(ctx)
			return
		}
		p := &pending{ready: make(chan *Response, 1), last: r.Close, head: r.Method == http.MethodHead}
		r.Arrived = arrived
		c.answers <- p
		go func() { p.ready <- c.server.handler(ctx, r) }()
		if r.Close {
			c.drain(ctx)
			return
		}
	}
}

// drain waits until the answers that are due are written or the caller leaves.
// Bytes that arrive behind the last request are not read as requests.
func (c *conn) drain(ctx context.Context) {
	_ = c.SetReadDeadline(time.Time{})
	c.limited.N = 1 << 62
	for c.open.Load() > 0 && ctx.Err() == nil {
		if _, err := c.br.Discard(1); err != nil {
			if isTimeout(err) {
				return
			}
			if c.open.Load() > 0 {
				return
			}
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readRequest reads one request with its body. A status other than zero refuses
// it.
func (c *conn) readRequest(limits Limits) (*Request, int) {
	hr, err := http.ReadRequest(c.br)
	if err != nil {
		if c.limited.N <= 0 {
			return nil, http.StatusRequestHeaderFieldsTooLarge
		}
		if isTimeout(err) {
			return nil, http.StatusRequestTimeout
		}
		return nil, http.StatusBadRequest
	}
	if hr.Host == "" && hr.ProtoAtLeast(1, 1) {
		return nil, http.StatusBadRequest
	}
	r := &Request{Request: hr}
	if hr.ContentLength == 0 {
		return r, 0
	}
	if hr.ContentLength > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if hr.Header.Get("Expect") != "" && c.open.Load() == 1 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, http.StatusBadRequest
		}
	}
	c.limited.N = 1 << 62
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if hr.ContentLength > 0 {
		r.Content = make([]byte, hr.ContentLength)
		_, err = io.ReadFull(hr.Body, r.Content)
	} else {
		r.Content, err = io.ReadAll(io.LimitReader(hr.Body, limits.BodyBytes+1))
		if err == nil && int64(len(r.Content)) > limits.BodyBytes {
			return nil, http.StatusRequestEntityTooLarge
		}
	}
	if err != nil {
		return nil, http.StatusBadRequest
	}
	return r, 0
}

// reject answers a request that cannot be read and ends the connection.
func (c *conn) reject(status int) {
	p := &pending{ready: make(chan *Response, 1), last: true}
	p.ready <- &Response{Status: status}
	c.answers <- p
}

// write writes the answers in the order of their requests.
func (c *conn) write() {
	failed := false
	for p := range c.answers {
		r := <-p.ready
		left := c.open.Load()
		last := p.last || (c.server.closing.Load() && left == 1)
		if !failed && r != nil {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.Write(encode(r, last, p.head))
			failed = err != nil
		}
		// Without this answer, the next one would be taken for it.
		failed = failed || r == nil
		if c.open.Add(-1) == 0 && !last {
			_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
		}
		if last || failed {
			// Ends the reader, which ends the connection.
			c.mu.Lock()
			c.shut = true
			c.mu.Unlock()
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// encode returns the bytes of an answer.
func encode(r *Response, last, head bool) []byte {
	b := make([]byte, 0, 256+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		return append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	if head {
		return b
	}
	return append(b, r.Body...)
}
