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
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
)

// Limits holds limits for the connections and requests of callers.
type Limits struct {
	// MaxConns is the number of connections from which on idle ones are closed for new ones,
	// and new ones get a refusal if none is idle; zero for no limit.
	MaxConns      int
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a complete request of a caller.
type Request struct {
	*http.Request
	Content pieces.Body // the whole body; empty if TooManyConns is true
	// Arrived is the time at which the first byte of the request was read.
	Arrived time.Time
	// TooManyConns is true if the connection exceeds Limits.MaxConns. It is closed after the
	// response.
	TooManyConns bool
}

// Response is the complete response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Done, if set, is called once the response is written or dropped.
	Done func()
}

// Handler returns the response to a request. If it returns nil, the connection is
// closed. The context ends when the caller disconnects or the context of Serve ends.
type Handler func(ctx context.Context, r *Request) *Response

const (
	// maxPipelined bounds the requests of one connection that run at the same time
	// as the first of them.
	maxPipelined = 32
	// writeTimeout bounds the write of one response to a caller that does not read.
	writeTimeout = 10 * time.Second
	bodyTimeout  = 30 * time.Second
	bufferSize   = 4 << 10
	// shutdownLinger is the time for which Shutdown still accepts connections and
	// keeps idle ones open. Requests that were sent before their callers could know
	// of the shutdown arrive in this time.
	shutdownLinger = 500 * time.Millisecond
	// finalReadTimeout is the time in which the bytes are read that arrived on an
	// idle connection before it is closed.
	finalReadTimeout = 50 * time.Millisecond
	// closeLinger is the time after the last response in which a caller has to read it
	// and close a connection that the server has closed for writing: on a link with a
	// small window a long response takes tens of round trips.
	closeLinger = 800 * time.Millisecond
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Server accepts connections and runs a handler for each request.
//
// Lock order: Server.mu before conn.mu and before the lock of memory.
type Server struct {
	handler Handler
	limits  func() Limits
	// closing is set when Shutdown begins, lingered when it closes the listener and
	// the idle connections.
	closing, lingered atomic.Bool
	// onAcceptError, if set, is called with each error of Accept.
	onAcceptError func(error)
	// onRefusal, if set, returns the response to a refused request.
	onRefusal func(*http.Request, Refusal) *Response
	// memory is what connections and requests hold until their handlers return.
	memory *membudget.RequestBudget
	// clk is monotonic: the time of day may jump.
	clk clock.Clock
	// failedUntil is the time by clk until which the server counts as not accepting; zero
	// once a connection was accepted after the last error of Accept.
	failedUntil       atomic.Int64
	slowReadersClosed atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	// stopped is closed when the listener is closed and conns is empty.
	stopped chan struct{}
}

// New returns a server. It calls limits for each request, so that the limits can
// change.
func New(handler Handler, limits func() Limits) *Server {
	unlimited := membudget.NewRequestBudget(math.MaxInt64, pieces.SlowAfter)
	return &Server{handler: handler, limits: limits, memory: unlimited, clk: clock.BootTime{}, conns: make(map[*conn]bool), stopped: make(chan struct{})}
}

// OnAcceptError sets a function that is called with each error of Accept, before connections
// are accepted again. It must be set before Serve.
func (s *Server) OnAcceptError(f func(error)) { s.onAcceptError = f }

// SetMemory bounds the memory that connections and requests hold together. It must be set
// before Serve.
func (s *Server) SetMemory(memory *membudget.RequestBudget) { s.memory = memory }

// OnRefusal sets a function that returns the response to a request that the server refuses
// itself with a Refusal; its head is empty if it was not read. It must be set before Serve.
func (s *Server) OnRefusal(f func(*http.Request, Refusal) *Response) { s.onRefusal = f }

// acceptFailureMemory is the time for which a server whose Accept has failed counts as not
// accepting, unless it has accepted a connection since: without new connections nothing
// tells whether the cause has gone.
const acceptFailureMemory = time.Second

// Accepting reports whether a new connection would be served: Accept has not failed lately,
// and the number of connections is below the limit.
func (s *Server) Accepting() bool {
	if until := s.failedUntil.Load(); until != 0 && s.clk.Now() < time.Duration(until) {
		return false
	}
	limit := s.limits().MaxConns
	return limit <= 0 || s.ConnCount() < limit
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts connections until the listener is closed. The contexts of requests
// derive from ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				// The process may temporarily have too many open files.
				s.acceptFailed(err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		s.failedUntil.Store(0)
		c := &conn{Conn: nc, server: s, responses: make(chan *pendingResponse, maxPipelined), idleFrom: time.Now()}
		c.limited = &io.LimitedReader{R: headReader{c}}
		c.br = bufio.NewReaderSize(c.limited, bufferSize)
		if !s.addConn(c) {
			_ = nc.Close()
			continue
		}
		s.memory.Hold(connBytes)
		go c.serve(ctx)
	}
}

// acceptFailed records an error of Accept, and closes idle connections to free descriptors.
func (s *Server) acceptFailed(err error) {
	s.failedUntil.Store(int64(s.clk.Now() + acceptFailureMemory))
	if s.onAcceptError != nil {
		s.onAcceptError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle(idleClosedPerFailure)
}

const (
	// idleClosedPerFailure is the number of idle connections that are closed when Accept
	// fails: the connections that wait to be accepted are as many at most.
	idleClosedPerFailure = 16
	// refusedShare is the number of connections beyond the limit that get a refusal, as a
	// share of the limit. Further ones are closed at once.
	refusedShare = 0.25
)

// addConn registers a connection. It returns false once Shutdown has closed the
// listener, and if there are far too many connections. If there are too many, it closes an
// idle one or one whose request arrives slowly, or else marks the connection for a refusal.
func (s *Server) addConn(c *conn) bool {
	limit := s.limits().MaxConns
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lingered.Load() {
		return false
	}
	if open := len(s.conns); limit > 0 && open >= limit {
		c.refused = s.closeIdle(1) == 0 && !s.memory.YieldSlow(s.clk.Now())
		if float64(open) >= float64(limit)*(1+refusedShare) {
			return false
		}
	}
	s.conns[c] = true
	return true
}

// closeIdle closes those n connections that have been idle for the longest time, and returns
// their number. The caller holds the lock.
func (s *Server) closeIdle(n int) int {
	type idleConn struct {
		*conn
		since time.Time
	}
	var idle []idleConn
	for c := range s.conns {
		if since, ok := c.idleSince(); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	idle = idle[:min(n, len(idle))]
	for _, c := range idle {
		c.closeUnlessBusy()
	}
	return len(idle)
}

// removeConn removes a connection that is closed.
func (s *Server) removeConn(c *conn) {
	s.memory.Hold(-connBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.lingered.Load() && len(s.conns) == 0 {
		close(s.stopped)
	}
}

const acceptRetryDelay = 20 * time.Millisecond

// Shutdown stops the server without ending a request that was read. From now on
// each connection is closed after its next response, or after the responses to the
// requests that were read, if there are several. Connections are accepted and
// idle ones kept open for shutdownLinger. Shutdown returns when all are closed, or
// the context's error if that ends first. It must be called once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	select {
	case <-time.After(shutdownLinger):
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.lingered.Store(true)
	if s.listener != nil {
		_ = s.listener.Close() // fails only if it is closed already
	}
	for c := range s.conns {
		c.wake()
	}
	if len(s.conns) == 0 {
		close(s.stopped)
	}
	s.mu.Unlock()
	select {
	case <-s.stopped:
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
	mu         sync.Mutex // held while the connection becomes idle, busy or closed
	closed     bool       // no further request is read
	finalRead  bool       // set by requestArrived and finish: their deadline is kept
	// callerClosed is set by the reader goroutine when the caller has closed the
	// connection.
	callerClosed bool
	lastWrite    time.Time // of a response; set by the writer goroutine
	// refused is true if the first request is refused because there are too many connections.
	refused bool
	// writing is true while a response is written, writeFrom the time at which that began, and
	// writeEnded true if it was ended for a slow caller. All are guarded by mu.
	writing, writeEnded bool
	writeFrom           time.Duration
	// headMemory, if set, holds what is read. It is set by the reader goroutine while it reads
	// a head; noHeadMemory is true if there was no room for one.
	headMemory   *membudget.Upload
	noHeadMemory bool
	// evicted is true if the connection is closed unless a request has arrived, to make room
	// for others. idleFrom is the time since which there is no unanswered request.
	evicted  atomic.Bool
	idleFrom time.Time // guarded by mu
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
	c.finish()
	c.server.removeConn(c)
}

// finish closes the connection. Unless the caller has closed it or had time to read the
// last response, the connection is first closed for writing, and what still arrives is
// discarded: a request that is on its way would meet a closed socket, whose reset makes
// the caller lose the responses that it has not read yet.
func (c *conn) finish() {
	defer func() { _ = c.Close() }()
	deadline := c.lastWrite.Add(closeLinger)
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if c.callerClosed || time.Now().After(deadline) || !ok || w.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	c.finalRead = true
	_ = c.SetReadDeadline(deadline)
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.Conn) // ends when the caller closes, or with the deadline
}

// wake makes the reader goroutine of an idle connection check whether the
// connection is to be closed.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered.Load() == 0 && !c.finalRead {
		_ = c.SetReadDeadline(past)
	}
}

// idleSince returns the time since which the connection has had no request that was not
// answered. It returns false if it has one, or is about to be closed.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, c.unanswered.Load() == 0 && !c.closed && !c.finalRead && !c.evicted.Load() && !c.idleFrom.IsZero()
}

// closeUnlessBusy makes the reader goroutine close the connection, unless a request arrives
// meanwhile; the connection is then closed after its response.
func (c *conn) closeUnlessBusy() {
	c.evicted.Store(true)
	c.wake()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// beginRequest counts a request that is about to be read. It returns false if the
// connection is closed, or the server stops and an earlier request has no response yet.
// The response to a further one could be ready in time and still wait for the earlier one
// when the process ends; its caller sends a request that is not read to another host.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.closing.Load() && c.unanswered.Load() > 0 {
		c.closed = true
	}
	if c.closed {
		return false
	}
	c.unanswered.Add(1)
	return true
}

// awaitRequest waits for the first byte of a request. It returns false if no
// further request is to be read: the caller has disconnected, the connection was
// idle for too long, or the server stops and no request has arrived.
func (c *conn) awaitRequest(idleTimeout time.Duration) bool {
	for !c.isClosed() {
		switch {
		case c.unanswered.Load() > 0:
			_ = c.SetReadDeadline(time.Time{})
			if c.unanswered.Load() == 0 {
				continue // the writer set a deadline that was replaced above
			}
		case c.isEnding():
			return c.requestArrived()
		default:
			_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
			if c.isEnding() {
				continue // as above
			}
		}
		if c.isClosed() {
			return false
		}
		if _, err := c.br.Peek(1); err == nil || !isTimeout(err) {
			c.callerClosed = err != nil
			return err == nil // after an error, the requests of the caller are cancelled
		}
		if c.unanswered.Load() == 0 && !c.isEnding() {
			return false
		}
	}
	return false
}

// isEnding reports whether the connection is closed once it is idle.
func (c *conn) isEnding() bool { return c.server.lingered.Load() || c.evicted.Load() }

// requestArrived reports whether the first byte of a request has arrived on a
// connection that is about to be closed.
func (c *conn) requestArrived() bool {
	c.mu.Lock()
	c.finalRead = true
	_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout))
	c.mu.Unlock()
	_, err := c.br.Peek(1)
	return err == nil
}

// readRequests reads requests and starts their handlers until the caller
// disconnects or the connection is closed.
func (c *conn) readRequests(ctx context.Context) {
	for {
		limits := c.server.limits()
		c.limited.N = int64(limits.HeaderBytes) + bufferSize
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		if !c.beginRequest() {
			c.drain(ctx)
			return
		}
		arrived := time.Now()
		_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
		r, memory, refused := c.readRequest(limits)
		if refused != nil {
			memory.Release()
			c.reject(refused)
			c.drain(ctx)
			return
		}
		last := r.Close || c.refused
		p := &pendingResponse{ready: make(chan *Response, 1), last: last, isHead: r.Method == http.MethodHead}
		r.Arrived, r.TooManyConns = arrived, c.refused
		c.responses <- p
		go func() {
			response := c.server.handler(ctx, r)
			memory.Release()
			p.ready <- response
		}()
		if last {
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
			c.callerClosed = true
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

// reject queues the last response of the connection.
func (c *conn) reject(r *Response) {
	p := &pendingResponse{ready: make(chan *Response, 1), last: true}
	p.ready <- r
	c.responses <- p
}

// writeResponses writes the responses in the order of their requests.
func (c *conn) writeResponses() {
	ended := false // no further response is written
	for p := range c.responses {
		r := <-p.ready
		last := c.closeAfter(p)
		if !ended && r != nil {
			c.beginWrite()
			ended = c.write(r, last, p.isHead) != nil
			c.endWrite()
			c.lastWrite = time.Now()
		}
		if r != nil && r.Done != nil {
			r.Done()
		}
		// If this response is missing, the caller would read the next one as the
		// response to this request.
		ended = ended || last || r == nil
		c.answered(ended)
	}
}

// closeAfter decides whether the response to a request is the last one of the
// connection, in which case no further request is read.
func (c *conn) closeAfter(p *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := p.last || ((c.server.closing.Load() || c.evicted.Load()) && c.unanswered.Load() == 1)
	c.closed = c.closed || last
	return last
}

// answered counts a request that was answered, and ends the reader goroutine if no
// further response is to be written. The connection is closed after that.
func (c *conn) answered(ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || ended
	idle := c.unanswered.Add(-1) == 0
	if idle {
		c.idleFrom = time.Now()
	}
	switch {
	case ended, idle && c.closed, idle && c.isEnding():
		_ = c.SetReadDeadline(past)
	case idle:
		_ = c.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
	}
}

// maxCopiedBody is the largest body that is copied to be written together with its head.
const maxCopiedBody = 4 << 10

// write writes a response. A response to a HEAD request has no body. A long body is not copied:
// its caller may read slowly.
func (c *conn) write(r *Response, last, isHead bool) error {
	hasBody := !isHead && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified
	head := encodeHead(r, last)
	if !hasBody || len(r.Body) <= maxCopiedBody {
		if hasBody {
			head = append(head, r.Body...)
		}
		_, err := c.Write(head)
		return err
	}
	bufs := net.Buffers{head, r.Body}
	_, err := bufs.WriteTo(c.Conn)
	return err
}

// encodeHead returns the bytes of a response up to its body.
func encodeHead(r *Response, last bool) []byte {
	b := make([]byte, 0, 512)
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
	return append(b, "\r\n\r\n"...)
}
