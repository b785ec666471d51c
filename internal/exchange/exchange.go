// Package exchange carries out one HTTP exchange with a backend server and
// determines its verdict.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Target is the server that a request is sent to, and the grant that it holds.
type Target struct {
	Server topology.ServerID
	Base   string
	Ref    topology.ShardRef
	Fence  topology.Fence
	// NotAfter is the wall clock time after which the server must not start
	// the request; zero if the service checks fences.
	NotAfter time.Time
}

// Client holds the connections to the servers of one partition. It never sends
// a request twice.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client that opens at most maxConns connections to each
// server.
func NewClient(maxConns int) *Client {
	return &Client{transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        60 * time.Second,
		MaxResponseHeaderBytes: request.MaxHeaderBytes,
		DisableCompression:     true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends the request once. A nil error means that the server ran it and that
// the head of the answer arrived; a broken body is reported by the reader.
func (c *Client) Do(ctx context.Context, t Target, req *request.Request) (*request.Answer, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{
		// A connection was obtained, so bytes may have been written from here on.
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	}
	hreq, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, req)
	if err != nil {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request cannot be built: %v", err)
	}
	start := time.Now()
	resp, err := c.transport.RoundTrip(hreq)
	if err != nil {
		return nil, failure(ctx, t, err, wrote.Load())
	}
	return answer(resp, t, time.Since(start))
}

// unreplayable hides the type of a body from package http. The transport
// repeats a request on a new connection only if it has no body or knows how to
// get it again, so every request gets a body of this type.
type unreplayable struct{ io.Reader }

func newRequest(ctx context.Context, t Target, req *request.Request) (*http.Request, error) {
	var body io.Reader = strings.NewReader("")
	if req.Body != nil {
		body = req.Body
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, t.Base+"/v1/run"+req.Path, io.NopCloser(unreplayable{body}))
	if err != nil {
		return nil, err
	}
	r.ContentLength = -1
	if req.Size > 0 {
		r.ContentLength = req.Size
	}
	h := r.Header
	if req.ContentType != "" {
		h.Set("Content-Type", req.ContentType)
	}
	h.Set(serverapi.HeaderShard, t.Ref.String())
	h.Set(serverapi.HeaderFence, t.Fence.String())
	h.Set(serverapi.HeaderKey, req.Key)
	h.Set(serverapi.HeaderCustomer, string(req.Customer))
	if req.ID != "" {
		h.Set(serverapi.HeaderRequest, req.ID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(serverapi.HeaderTimeout, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if !t.NotAfter.IsZero() {
		h.Set(serverapi.HeaderNotAfter, strconv.FormatInt(t.NotAfter.UnixMilli(), 10))
	}
	return r, nil
}

func failure(ctx context.Context, t Target, err error, wrote bool) error {
	v := verdict.NotRun
	if wrote {
		v = verdict.MayHaveRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.CodeDeadline, v, "deadline passed in the exchange with server %s", t.Server)
	case ctx.Err() != nil:
		return verdict.New(verdict.CodeCancelled, v, "cancelled in the exchange with server %s", t.Server)
	}
	return verdict.New(verdict.CodeServerFailed, v, "exchange with server %s failed: %v", t.Server, err)
}

func answer(resp *http.Response, t Target, took time.Duration) (*request.Answer, error) {
	switch verdict.Parse(resp.Header.Get(serverapi.HeaderVerdict)) {
	case verdict.Ran:
		return &request.Answer{
			Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
			Body: resp.Body, Size: resp.ContentLength,
			Server: t.Server, Fence: t.Fence, Timing: request.Timing{Server: took},
		}, nil
	case verdict.NotRun:
		code := verdict.Code(resp.Header.Get(serverapi.HeaderError))
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		_ = resp.Body.Close()
		return nil, verdict.New(code, verdict.NotRun, "server %s refused the request: %s", t.Server, strings.TrimSpace(string(msg)))
	default:
		_ = resp.Body.Close()
		return nil, verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun, "server %s answered without a verdict, status %d", t.Server, resp.StatusCode)
	}
}
