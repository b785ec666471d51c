// Package exchange carries out one HTTP/1.1 exchange with a backend server and
// determines its verdict. It holds its own connections: http.Transport repeats
// a request without a body on a new connection when the method or an
// Idempotency-Key header suggests that this is safe, and it does not report
// whether any byte left the host.
package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const dialTimeout = time.Second

// Target is the server that a request is sent to, and the grant that it holds.
type Target struct {
	Server topology.ServerID
	// Incarnation is the server's process; zero if it is not known.
	Incarnation topology.Incarnation
	BaseURL     string
	Shard       topology.ShardRef
	Fence       topology.Fence
	// NotAfter is the wall clock time after which the server must not start
	// the request; zero if the service checks fences.
	NotAfter time.Time
	// Partition is the partition of Ref.
	Partition topology.PartitionID
	// LeaderSince is the wall clock time at which this host began to lead the
	// partition in the term of Fence; zero if it is not known.
	LeaderSince time.Time
	// Leadership identifies the leader term, if the grants of one term can have
	// fences of several epochs; zero stands for the epoch of Fence.
	Leadership topology.Fence
	// Slots is the number of requests that the server runs at the same time;
	// zero selects the default.
	Slots int
	// MaxConns limits the connections to the server; zero selects the limit of
	// the client.
	MaxConns int
}

// Dialer opens a connection to a server.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client holds the connections to the servers of one partition. It never sends
// a request twice.
type Client struct {
	maxConns int
	dial     Dialer
	ids      atomic.Uint64

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client that opens at most maxConns connections to each
// server.
func NewClient(maxConns int) *Client {
	return NewClientWithDialer(maxConns, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWithDialer returns a client that opens connections with dial.
func NewClientWithDialer(maxConns int, dial Dialer) *Client {
	c := &Client{maxConns: maxConns, dial: dial, pools: make(map[string]*pool)}
	// A random start keeps the ids of successive router processes apart.
	c.ids.Store(rand.Uint64())
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
	}
}

// Forget closes the idle connections to the server at base.
func (c *Client) Forget(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[base]; ok {
		p.closeIdle()
		delete(c.pools, base)
	}
}

// Refused reports whether the server at t refuses connections, which shows
// that its process has ended. A server that does not answer in time is not
// reported: it may be frozen.
func (c *Client) Refused(ctx context.Context, t Target) bool {
	conn, err := c.dial(ctx, "tcp", address(t.BaseURL))
	if err != nil {
		return isRefused(err)
	}
	_ = conn.Close()
	return false
}

func (c *Client) pool(t Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[t.BaseURL]
	if !ok {
		limit := t.MaxConns
		if limit <= 0 {
			limit = c.maxConns
		}
		p = newPool(address(t.BaseURL), limit, c.dial)
		c.pools[t.BaseURL] = p
	}
	return p
}

// Do sends the request once, after its body is complete. A nil error means that the server ran it and that
// the head of the answer arrived; a broken body is reported by the reader as a
// *verdict.Error.
func (c *Client) Do(ctx context.Context, t Target, req *request.Request) (*request.Answer, error) {
	if ctx.Err() != nil {
		return nil, ended(ctx, t, verdict.NotRun)
	}
	id := strconv.FormatUint(c.ids.Add(1), 36)
	if !valid(req) || !plain(t.Shard.String(), false) {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request has control characters")
	}
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	p := c.pool(t)
	conn, err := p.get(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ended(ctx, t, verdict.NotRun)
		}
		return nil, verdict.New(verdict.CodeServerFailed, verdict.NotRun, "server %s cannot be reached: %v", t.Server, err)
	}
	ex := &exchange{ctx: ctx, target: t, id: id, pool: p, conn: conn, start: time.Now()}
	ex.stop = context.AfterFunc(ctx, conn.interrupt)
	return ex.run(req, body)
}
