// Package httpserver serves HTTP/1.1 connections with pipelined requests.
//
// It exists for callers that send several requests on one connection, each with
// its own deadline. The server of net/http reads the second request only after
// its response to the first, when much of the second request's time has passed.
// This server runs pipelined requests concurrently and writes their responses in
// the order of the requests.
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

// Limits holds size and time limits for the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a complete request of a caller.
type Request struct {
	*http.Request
	Content []byte // the whole body
	// Arrived is the time at which the first byte of the request was read.
	Arrived time.Time
}

// Response is the complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler returns the response to a request. If it returns nil, the connection is
// closed. The context ends when the caller disconnects.
type Handler func(ctx context.Context, r *Request) *Response

const (
	// maxPipelined bounds the requests of one connection that run at the same time
	// as the first of them.
	maxPipelined = 32
	// writeTimeout bounds the write of one response to a caller that does not read.
	writeTimeout = 10 * time.Second
	bodyTimeout  = 30 * time.Second
	bufferSize   = 4 << 10
)

// Server accepts connections and runs a handler for each request.
type Server struct {
	handler Handler
	limits  func() Limits
	closing atomic.Bool // set by Shutdown

	mu      sync.Mutex
	conns   map[*conn]bool
	serving sync.WaitGroup // counts conns
}

// New returns a server. It calls limits for each request, so that the limits can
// change.
func New(handler Handler, limits func() Limits) *Server {
	return &Server{handler: handler, limits: limits, conns: make(map[*conn]bool)}
}

// Serve accepts connections until the listener is closed. The contexts of requests
// derive from ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				// The process may temporarily have too many open files.
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		c := &conn{Conn: nc, server: s, responses: make(chan *pendingResponse, maxPipelined)}
		c.limited = &io.LimitedReader{R: nc}
		c.br = bufio.NewReaderSize(c.limited, bufferSize)
		if !s.addConn(c) {
			_ = nc.Close()
			continue
		}
		go c.serve(ctx)
	}
}

// addConn registers a connection. It returns false once Shutdown was called.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.conns[c] = true
	s.serving.Add(1)
	return true
}

const acceptRetryDelay = 20 * time.Millisecond

// Shutdown closes idle connections at once and the others after their last
// response. It returns when all are closed, or the context's error if that ends
// first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing.Store(true)
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pendingResponse is the response to a request that was read. Its handler sends
// the response on ready.
type pendingResponse struct {
	ready chan *Response
	// last is true if the connection is closed after this response.
	last   bool
	isHead bool // whether the request's method is HEAD
}

// conn is one connection. The reader goroutine reads requests and starts their
// handlers; the writer goroutine writes the responses in order.
type conn struct {
	net.Conn
	server    *Server
	br        *bufio.Reader
	limited   *io.LimitedReader
	responses chan *pendingResponse
	// unanswered counts the requests without a written response, including the one
	// that is being read.
	unanswered atomic.Int32
	mu         sync.Mutex // held while the connection becomes busy or closed
	closed     bool       // no further request is read
}

func (c *conn) serve(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeResponses()
	}()
	c.readRequests(ctx)
	cancel()
	close(c.responses)
	<-written
	_ = c.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.server.serving.Done()
}

// closeIfIdle ends the reader goroutine if the connection has no requests.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered.Load() == 0 && c.br.Buffered() == 0 {
		c.closed = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// beginRequest counts a request that is about to be read. It returns false if the
// connection is closed.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.unanswered.Add(1)
	return true
}

// readRequests reads requests and starts their handlers until the caller
// disconnects or the connection is closed.
func (c *conn) readRequests(ctx context.Context) {
	for {
		limits := c.server.limits()
		c.limited.N = int64(limits.HeaderBytes) + bufferSize
		if c.unanswered.Load() == 0 {
			_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
			if c.server.closing.Load() {
				c.closeIfIdle()
			}
		} else {
			_ = c.SetReadDeadline(time.Time{})
		}
		if c.isClosed() {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			if errors.Is(err, io.EOF) || !isTimeout(err) {
				return // the caller has disconnected; its requests are cancelled
			}
			if c.unanswered.Load() == 0 {
				return
			}
			continue
		}
		if !c.beginRequest() {
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
		p := &pendingResponse{ready: make(chan *Response, 1), last: r.Close, isHead: r.Method == http.MethodHead}
		r.Arrived = arrived
		c.responses <- p
		go func() { p.ready <- c.server.handler(ctx, r) }()
		if r.Close {
			c.drain(ctx)
			return
		}
	}
}

// drain waits until the pending responses are written or the caller disconnects.
// It discards all bytes after the last request.
func (c *conn) drain(ctx context.Context) {
	_ = c.SetReadDeadline(time.Time{})
	c.limited.N = 1 << 62
	for c.unanswered.Load() > 0 && ctx.Err() == nil {
		if _, err := c.br.Discard(1); err != nil {
			if isTimeout(err) {
				return
			}
			if c.unanswered.Load() > 0 {
				return
			}
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readRequest reads one request with its body. If it returns a status other than
// zero, the request is rejected with that status.
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
	if hr.Header.Get("Expect") != "" && c.unanswered.Load() == 1 {
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

// reject queues the last response of the connection, with an error status.
func (c *conn) reject(status int) {
	p := &pendingResponse{ready: make(chan *Response, 1), last: true}
	p.ready <- &Response{Status: status}
	c.responses <- p
}

// writeResponses writes the responses in the order of their requests.
func (c *conn) writeResponses() {
	failed := false
	for p := range c.responses {
		r := <-p.ready
		remaining := c.unanswered.Load()
		last := p.last || (c.server.closing.Load() && remaining == 1)
		if !failed && r != nil {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err := c.Write(encode(r, last, p.isHead))
			failed = err != nil
		}
		// If this response is missing, the caller would read the next one as the
		// response to this request.
		failed = failed || r == nil
		if c.unanswered.Add(-1) == 0 && !last {
			_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
		}
		if last || failed {
			// Ends the reader goroutine, after which the connection is closed.
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// encode returns the bytes of a response. A response to a HEAD request has no body.
func encode(r *Response, last, isHead bool) []byte {
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
	if isHead {
		return b
	}
	return append(b, r.Body...)
}
