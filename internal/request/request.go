// Package request defines the request of a caller and the response to it, as the
// packages of the router pass them on.
package request

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Limits of a request and of its response. MaxBodyBytes limits the body of the
// request, MaxHeaderBytes its request line and header fields.
const (
	MaxBodyBytes         = 1 << 20
	MaxResponseBodyBytes = 8 << 20
	MaxTimeout           = 30 * time.Second
	MaxHeaderBytes       = 16 << 10
)

// Class is the scheduling class of a request.
type Class string

// Classes of requests.
const (
	Interactive Class = "interactive"
	Background  Class = "background"
)

// Request is the request of a caller. Its deadline is that of the context that
// is passed with it.
type Request struct {
	Service    topology.Service
	Customer   topology.Customer
	Key        string
	Class      Class
	ID         string
	Repeatable bool
	Method     string
	// Path is the path at the server, with a leading slash and the query.
	Path        string
	ContentType string
	// Body can be read only once; ReadBody buffers it.
	Body io.Reader
	// Size is the length of Body in bytes, or -1 if it is unknown.
	Size int64
	// bufferedBody is the complete body if buffered is true.
	bufferedBody []byte
	buffered     bool
}

// Timing is the time that a request spent in the queue and at the server.
type Timing struct {
	Queue  time.Duration
	Server time.Duration
}

// Response is the response of a server. Its verdict is verdict.Ran. The reader of
// Body must treat any error except io.EOF as a truncated response.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
	// Size is the length of Body in bytes, or -1 if it is unknown.
	Size   int64
	Server topology.ServerID
	Fence  topology.Fence
	Timing Timing
	// bufferedBody is the complete body if buffered is true.
	bufferedBody []byte
	buffered     bool
}

// BufferedBody returns the body and true if the whole body is in memory. Body
// need not be read then.
func (r *Response) BufferedBody() ([]byte, bool) { return r.bufferedBody, r.buffered }

// WithBody sets body as the whole body of r and returns r.
func (r *Response) WithBody(body []byte) *Response {
	r.bufferedBody, r.buffered = body, true
	r.Body, r.Size = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return r
}

// Doer executes a request. Its error is always a *verdict.Error; with a nil
// error the caller must close the body of the response.
type Doer interface {
	Do(ctx context.Context, req *Request) (*Response, error)
}

// DoerFunc is a function that implements Doer.
type DoerFunc func(ctx context.Context, req *Request) (*Response, error)

// Do implements Doer.
func (f DoerFunc) Do(ctx context.Context, req *Request) (*Response, error) { return f(ctx, req) }

// ReadBody returns the whole body, or an error with verdict NotRun if the body is
// incomplete or larger than MaxBodyBytes. Further calls return the same slice,
// which must not be modified.
func (r *Request) ReadBody() ([]byte, error) {
	if r.buffered || r.Body == nil {
		return r.bufferedBody, nil
	}
	if r.Size == 0 {
		r.SetBody(nil)
		return nil, nil
	}
	if r.Size > MaxBodyBytes {
		return nil, bodyTooLargeError()
	}
	var body []byte
	var err error
	if r.Size >= 0 {
		body = make([]byte, r.Size)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, MaxBodyBytes+1))
	}
	if err != nil {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request body is incomplete: %v", err)
	}
	if len(body) > MaxBodyBytes {
		return nil, bodyTooLargeError()
	}
	r.SetBody(body)
	return body, nil
}

func bodyTooLargeError() error {
	return verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request body exceeds %d bytes", MaxBodyBytes)
}

// SetBody sets body as the whole body of the request.
func (r *Request) SetBody(body []byte) {
	r.bufferedBody, r.buffered = body, true
	r.Body, r.Size = bytes.NewReader(body), int64(len(body))
}
