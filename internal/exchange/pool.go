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

	"github.com/lycheerudder/lycheerudder/internal/request"
)

const idleTimeout = 60 * time.Second

var errHeadTooLarge = errors.New("head of the answer is too large")

// conn is one connection to a server.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// sent counts the bytes that the kernel accepted for the current exchange.
	sent atomic.Int64
	// unlimited is set after the head of an answer was read; before that, head
	// counts down the bytes that the head may still take.
	unlimited bool
	head      int
	idleSince time.Time
	// raw is nil if the connection has no file descriptor. The check of an idle
	// connection, peek, stores its result in peeked.
	raw    syscall.RawConn
	peeked error
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.br, c.bw = bufio.NewReader(c), bufio.NewWriter(c)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// begin prepares the connection for an exchange.
func (c *conn) begin() {
	c.sent.Store(0)
	c.unlimited, c.head = false, request.MaxHeaderBytes
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.unlimited {
		return c.Conn.Read(p)
	}
	if c.head <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.head)])
	c.head -= n
	return n, err
}

// interrupt ends every blocked read and write.
func (c *conn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// usable reports whether an idle connection can carry another exchange: the
// server has neither closed it nor sent anything unasked. Connections without
// a file descriptor cannot be checked.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	err := c.raw.Read(c.peek)
	return err == nil && errors.Is(c.peeked, unix.EAGAIN)
}

func (c *conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, c.peeked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return true
}

// pool holds the connections to one server. A connection is open only while it
// is idle or its user holds a place; a new one is dialled only if none is idle,
// and a connection becomes idle before its place is given up. The number of
// open connections therefore never exceeds the number of places.
type pool struct {
	address string
	dial    Dialer
	places  chan struct{}

	mu   sync.Mutex
	idle []*conn
}

func newPool(address string, limit int, dial Dialer) *pool {
	return &pool{address: address, dial: dial, places: make(chan struct{}, max(1, limit))}
}

// get returns a connection on which no exchange is open. It waits while the
// limit is reached.
func (p *pool) get(ctx context.Context) (*conn, error) {
	select {
	case p.places <- struct{}{}:
	default:
		select {
		case p.places <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		if c.usable() {
			c.begin()
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		<-p.places
		return nil, err
	}
	c := newConn(nc)
	c.begin()
	return c, nil
}

// popIdle returns the connection that was used last, or nil.
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

// put returns a connection whose exchange is complete.
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
	<-p.places
}

// discard closes a connection whose exchange is not complete.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	<-p.places
}

func (p *pool) closeIdle() {
	for c := p.popIdle(); c != nil; c = p.popIdle() {
		_ = c.Close()
	}
}

// address returns the host and port of a base URL.
func address(base string) string {
	return strings.TrimSuffix(strings.TrimPrefix(base, "http://"), "/")
}

func isRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }
