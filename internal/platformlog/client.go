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

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
)

// Client implements Log over the HTTP protocol of the log service:
//
//	POST /streams/{stream}/records                     -> {"offset": n}
//	GET  /streams/{stream}/records?from=&limit=&wait=  -> Batch
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the service at baseURL, for example
// "http://127.0.0.1:7400". Only its context limits the duration of a call.
func NewClient(baseURL string) *Client { return NewClientWithTransport(baseURL, newTransport()) }

// NewClientWithTransport returns a client that uses the given transport, for
// example an in-memory one. The transport must not retry an append.
func NewClientWithTransport(baseURL string, transport http.RoundTripper) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport}}
}

// newTransport returns a transport that never retries an append: net/http
// retries only requests that it considers idempotent, and a POST with a body
// and without an Idempotency-Key header is not.
func newTransport() http.RoundTripper {
	return httpresponse.Transport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	})
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
		return 0, eris.Wrap(err, "create append request")
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

// appendError returns ErrUnavailable for a failed dial, which had no effect,
// and ErrOutcomeUnknown for a failure after which the request may have been
// sent.
func appendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func decodeReply(resp *http.Response, reply any) error {
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return ErrUnavailable
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
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
		return Batch{}, eris.Wrap(err, "create read request")
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
	u := c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	return u
}

// drainBody discards up to 64 KiB of a response, so that its connection can be
// reused.
func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	_ = resp.Body.Close()
}
