package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
	"github.com/lycheerudder/lycheerudder/internal/request"
)

const (
	idleTimeout    = 60 * time.Second
	readBufferSize = 4 << 10
)

var errHeadTooLarge = errors.New("head of the response is too large")

// conn is one connection to a server.
type conn struct {
	net.Conn
	br *httpresponse.Reader
	bw *bufio.Writer
	// sent counts the bytes of the current request that the kernel has accepted.
	sent atomic.Int64
	// headDone is set after the head of the final response was read. Before that,
	// headLeft is the number of bytes that may still be read.
	headDone  bool
	headLeft  int
	idleSince time.Time
	// raw is nil if the connection has no file descriptor. peek stores its result
	// in peekErr.
	raw     syscall.RawConn
	peekErr error
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.br, c.bw = httpresponse.NewReader(c, readBufferSize), bufio.NewWriter(c)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// startExchange resets the byte counters of the connection.
func (c *conn) startExchange() {
	c.sent.Store(0)
	c.headDone, c.headLeft = false, request.MaxHeaderBytes
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headDone {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// interrupt makes all blocked and later reads and writes fail.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// reusable reports whether an idle connection is open and has no unread bytes.
// Connections without a file descriptor cannot be checked and count as reusable.
func (c *conn) reusable() bool {
	if c.raw == nil {
		return true
	}
	err := c.raw.Read(c.peek)
	return err == nil && errors.Is(c.peekErr, unix.EAGAIN)
}

// peek tries to read one byte without blocking or consuming it.
func (c *conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, c.peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return true
}

// pool manages the connections to one server. Each exchange needs a permit. A new
// connection is dialled only if none is idle, and a connection becomes idle or is
// closed before its permit is released. The number of open connections therefore
// never exceeds the number of permits.
type pool struct {
	address string
	dial    Dialer
	permits chan struct{} // a semaphore: its elements are permits in use

	mu   sync.Mutex
	idle []*conn
}

func newPool(address string, limit int, dial Dialer) *pool {
	return &pool{address: address, dial: dial, permits: make(chan struct{}, max(1, limit))}
}

// get returns an idle or new connection. It waits while all permits are in use.
func (p *pool) get(ctx context.Context) (*conn, error) {
	select {
	case p.permits <- struct{}{}:
	default:
		select {
		case p.permits <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if c.reusable() {
			c.startExchange()
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		<-p.permits
		return nil, err
	}
	c := newConn(nc)
	c.startExchange()
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put keeps the connection of a complete exchange for reuse and releases the
// permit. It closes connections that were idle for longer than idleTimeout.
func (p *pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	stale := 0
	for stale < len(p.idle) && now.Sub(p.idle[stale].idleSince) > idleTimeout {
		_ = p.idle[stale].Close()
		stale++
	}
	p.idle = append(p.idle[stale:], c)
	p.mu.Unlock()
	<-p.permits
}

// discard closes a connection that must not be reused and releases the permit.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	<-p.permits
}

func (p *pool) closeIdle() {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		_ = c.Close()
	}
}

// address returns the host and port of a base URL.
func address(baseURL string) string {
	return strings.TrimSuffix(strings.TrimPrefix(baseURL, "http://"), "/")
}

func isRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }
