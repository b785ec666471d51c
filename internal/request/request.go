// Package request defines the caller's request and its answer as they pass
// through the parts of the router.
package request

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Limits of one request.
const (
	MaxBodyBytes         = 1 << 20
	MaxResponseBodyBytes = 8 << 20
	MaxTimeout           = 30 * time.Second
	MaxHeaderBytes       = 16 << 10
)

// Class is the urgency of a request.
type Class string

// Classes of requests.
const (
	Interactive Class = "interactive"
	Background  Class = "background"
)

// Request is one caller request. Its deadline is that of the context.
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
	// Body is read at most once and to its end.
	Body io.Reader
	// Size is the length of Body, or -1 if it is not known.
	Size int64
	// content is the body if buffered is true.
	content  []byte
	buffered bool
}

// Timing is the time that a request spent in the parts.
type Timing struct {
	Queue  time.Duration
	Server time.Duration
}

// Response is a server's answer: its verdict is Ran. The reader of Body must
// treat any error but io.EOF as a truncated answer.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
	// Size is the length of Body, or -1 if it is not known.
	Size   int64
	Server topology.ServerID
	Fence  topology.Fence
	Timing Timing
	// content is the complete body if buffered is true.
	content  []byte
	buffered bool
}

// BufferedBody returns the body if it is complete in memory. The reader of Body then
// need not be used.
func (a *Response) BufferedBody() ([]byte, bool) { return a.content, a.buffered }

// WithBody replaces the body by complete content and returns the answer.
func (a *Response) WithBody(body []byte) *Response {
	a.content, a.buffered = body, true
	a.Body, a.Size = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return a
}

// Doer executes a request. Its error is always a *verdict.Error; with a nil
// error the caller must close the answer's body.
type Doer interface {
	Do(ctx context.Context, req *Request) (*Response, error)
}

// DoerFunc is a function that implements Doer.
type DoerFunc func(ctx context.Context, req *Request) (*Response, error)

// Do implements Doer.
func (f DoerFunc) Do(ctx context.Context, req *Request) (*Response, error) { return f(ctx, req) }

// ReadBody returns the whole body, or an error with verdict NotRun if it is
// broken or larger than MaxBodyBytes. It can be called again; the body must not
// be changed.
func (r *Request) ReadBody() ([]byte, error) {
	if r.buffered || r.Body == nil {
		return r.content, nil
	}
	if r.Size == 0 {
		r.SetBody(nil)
		return nil, nil
	}
	if r.Size > MaxBodyBytes {
		return nil, tooLarge()
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
		return nil, tooLarge()
	}
	r.SetBody(body)
	return body, nil
}

func tooLarge() error {
	return verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request body exceeds %d bytes", MaxBodyBytes)
}

// SetBody replaces the body by content that is complete.
func (r *Request) SetBody(body []byte) {
	r.content, r.buffered = body, true
	r.Body, r.Size = bytes.NewReader(body), int64(len(body))
}
