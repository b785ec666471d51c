package serverapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
)

const maxLeaseReplyBytes = 4 << 20

// Client implements LeaseAPI over HTTP for one server. It has one connection of
// its own, so that a full connection pool for requests does not delay renewals.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the server with the base URL, for example
// "http://127.0.0.1:7500".
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: httpresponse.Transport(&http.Transport{
		DialContext:     (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		MaxConnsPerHost: 1,
		IdleConnTimeout: 10 * time.Second,
	})}}
}

// Lease implements LeaseAPI.
func (c *Client) Lease(ctx context.Context) (LeaseReply, error) {
	return c.call(ctx, http.MethodGet, nil)
}

// UpdateLease implements LeaseAPI.
func (c *Client) UpdateLease(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return LeaseReply{}, eris.Wrap(err, "encode lease request")
	}
	return c.call(ctx, http.MethodPut, body)
}

// Close closes the idle connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method string, body []byte) (LeaseReply, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+"/v1/lease", bytes.NewReader(body))
	if err != nil {
		return LeaseReply{}, eris.Wrap(err, "create lease request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return LeaseReply{}, eris.Wrap(err, "send lease request")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return LeaseReply{}, eris.Errorf("lease request: server responded with status %d", resp.StatusCode)
	}
	var reply LeaseReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLeaseReplyBytes)).Decode(&reply); err != nil {
		return LeaseReply{}, eris.Wrap(err, "decode lease reply")
	}
	return reply, nil
}
