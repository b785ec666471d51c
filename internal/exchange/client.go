// Package exchange carries out one HTTP/1.1 exchange with a backend server and
// determines its verdict. It manages its own connections because http.Transport
// retries a request without a body on a new connection if its method or an
// Idempotency-Key header suggests that this is safe, and because it does not
// report whether any byte of the request was sent.
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

// Target is the server that a request is sent to, and its grant.
type Target struct {
	Server topology.ServerID
	// Incarnation identifies the server's process; zero if it is not known.
	Incarnation topology.Incarnation
	BaseURL     string
	Shard       topology.ShardRef
	Fence       topology.Fence
	// NotAfter is the wall clock time after which the server must not start
	// the request; zero if the service checks fences.
	NotAfter time.Time
	// Partition is the partition of Shard.
	Partition topology.PartitionID
	// LeaderSince is the wall clock time at which this host became leader of the
	// partition, in the leadership that issued Fence; zero if it is not known.
	LeaderSince time.Time
	// Leadership identifies the leadership if its grants can have fences of several
	// epochs; zero means that the epoch of Fence identifies it.
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

// Client sends requests to the servers of one partition and keeps idle connections
// for reuse. It never sends a request twice.
type Client struct {
	maxConns int
	dial     Dialer
	ids      atomic.Uint64

	mu    sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client that opens TCP connections, by default at most
// maxConns to each server.
func NewClient(maxConns int) *Client {
	return NewClientWithDialer(maxConns, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWithDialer returns a client that opens connections with dial.
func NewClientWithDialer(maxConns int, dial Dialer) *Client {
	c := &Client{maxConns: maxConns, dial: dial, pools: make(map[string]*pool)}
	// A random start makes it unlikely that successive router processes use the same
	// ids.
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

// Forget closes the idle connections to the server at baseURL and removes its
// pool.
func (c *Client) Forget(baseURL string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[baseURL]; ok {
		p.closeIdle()
		delete(c.pools, baseURL)
	}
}

// Refused reports whether the server at t refuses a TCP connection, which shows
// that its process has ended. It returns false for a dial that times out, because
// the process may only be suspended.
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

// Do reads the whole body of the request and sends the request once. A nil error
// means that the server ran the request and that the head of the response arrived.
// If the body of the response is incomplete, its reader returns a *verdict.Error.
func (c *Client) Do(ctx context.Context, t Target, req *request.Request) (*request.Response, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx, t, verdict.NotRun)
	}
	id := strconv.FormatUint(c.ids.Add(1), 36)
	if !validRequest(req) || !validText(t.Shard.String(), false) {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request has control characters or an invalid method or path")
	}
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	p := c.pool(t)
	conn, err := p.get(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil, contextError(ctx, t, verdict.NotRun)
		}
		return nil, verdict.New(verdict.CodeServerFailed, verdict.NotRun, "connecting to server %s failed: %v", t.Server, err)
	}
	ex := &exchange{ctx: ctx, target: t, id: id, pool: p, conn: conn, start: time.Now()}
	ex.stop = context.AfterFunc(ctx, conn.interrupt)
	return ex.run(req, body)
}
