package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Client speaks the HTTP protocol of the log service:
//
//	POST /streams/{stream}/records                     -> {"offset": n}
//	GET  /streams/{stream}/records?from=&limit=&wait=  -> Batch
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, for example
// "http://127.0.0.1:7400". Calls are bounded by their context only.
func NewClient(base string) *Client { return NewClientWithTransport(base, newTransport()) }

// NewClientWithTransport returns a client that sends through a transport of the caller,
// for example an in-memory one. The transport must not repeat an append.
func NewClientWithTransport(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// newTransport returns a transport that never repeats an append by itself:
// the standard one repeats only requests that it deems idempotent, and a POST
// with a body and without an Idempotency-Key header is not.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}
}

type appendReply struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecordBytes {
		return 0, ErrTooLarge
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream, nil), bytes.NewReader(data))
	if err != nil {
		return 0, eris.Wrap(err, "append request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer drainBody(resp)
	var reply appendReply
	if err := decodeReply(resp, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// appendError separates a failed dial, which had no effect, from a failure
// after the request may have been sent.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func decodeReply(resp *http.Response, into any) error {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return ErrUnavailable
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait", wait.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream, q), nil)
	if err != nil {
		return Batch{}, eris.Wrap(err, "read request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainBody(resp)
	var b Batch
	if err := decodeReply(resp, &b); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return b, nil
}

func (c *Client) recordsURL(stream string, q url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream) + "/records"
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return u
}

func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	_ = resp.Body.Close()
}
