package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
)

// Refusal says why the server refuses a request itself. The request has not run.
type Refusal struct {
	Status int
	Reason string
}

// Refusals by the server itself.
var (
	// NoMemory is for a request for which there is no room.
	NoMemory = Refusal{http.StatusServiceUnavailable, "no-memory"}
	// Evicted is for a request that was told to yield before it was complete.
	Evicted = Refusal{http.StatusServiceUnavailable, "evicted"}
	// BodyTooLarge is for a body over Limits.BodyBytes.
	BodyTooLarge = Refusal{http.StatusRequestEntityTooLarge, "body-too-large"}
)

const (
	// connBytes is the memory that a connection counts for: its buffer, the stacks of its
	// goroutines and its queue of responses.
	connBytes = 16 << 10
	// requestBytes is the memory that a request counts for beside its head and its body: the
	// goroutine of its handler and the context.
	requestBytes = 4 << 10
	// headCopies is the number of times that a head is held: as text, and in the headers that
	// are passed on.
	headCopies = 2
)

// refuse returns the response to a request that the server refuses itself; r is nil if its
// head is incomplete.
func (c *conn) refuse(r *http.Request, why Refusal) *Response {
	if r == nil {
		r = &http.Request{Header: make(http.Header)}
	}
	if c.server.onRefusal != nil {
		return c.server.onRefusal(r, why)
	}
	return &Response{Status: why.Status}
}

// readRequest reads one request with its body, and returns it with the memory that it holds.
// If the request is rejected, it returns the response.
func (c *conn) readRequest(limits Limits) (*Request, *membudget.Upload, *Response) {
	memory := c.server.memory.Upload(c.unanswered.Load() > 1, c.server.clk.Now())
	memory.Receive(func() { _ = c.SetReadDeadline(past) })
	hr, status := c.readHead(memory)
	switch {
	case c.refused && status == 0:
		memory.Complete()
		return &Request{Request: hr}, memory, nil // the body of a request that does not run is not read
	case memory.Yielding():
		return nil, memory, c.refuse(hr, Evicted)
	case c.noHeadMemory:
		return nil, memory, c.refuse(hr, NoMemory)
	case status != 0:
		return nil, memory, &Response{Status: status}
	}
	r := &Request{Request: hr}
	if hr.ContentLength == 0 {
		if !memory.Complete() {
			return nil, memory, c.refuse(hr, Evicted)
		}
		return r, memory, nil
	}
	response := c.refuseUnread(hr, limits, memory)
	if response == nil {
		response = c.readBody(r, limits, memory)
	}
	return r, memory, response
}

// refuseUnread returns the response to a request whose body is refused before it is read; nil
// if the body is to be read.
func (c *conn) refuseUnread(hr *http.Request, limits Limits, memory *membudget.Upload) *Response {
	switch {
	case hr.ContentLength > limits.BodyBytes:
		return c.refuse(hr, BodyTooLarge)
	case !memory.CouldHold(hr.ContentLength):
		return c.refuse(hr, NoMemory)
	}
	return nil
}

// readBody reads the body of a request. If the request is rejected, it returns the response.
func (c *conn) readBody(r *Request, limits Limits, memory *membudget.Upload) *Response {
	if r.Header.Get("Expect") != "" && c.unanswered.Load() == 1 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &Response{Status: http.StatusBadRequest}
		}
	}
	c.limited.N = 1 << 62
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if memory.Yielding() { // the deadline above may have replaced that of yield
		return c.refuse(r.Request, Evicted)
	}
	var err error
	r.Content, err = pieces.Receive(r.Body, r.ContentLength, limits.BodyBytes, memory, c.server.clk)
	switch {
	case errors.Is(err, pieces.ErrTooLarge):
		return c.refuse(r.Request, BodyTooLarge)
	case errors.Is(err, pieces.ErrNoMemory):
		return c.refuse(r.Request, NoMemory)
	case errors.Is(err, pieces.ErrEvicted):
		return c.refuse(r.Request, Evicted)
	case err != nil:
		return &Response{Status: http.StatusBadRequest}
	}
	return nil
}

// readHead reads a head into memory. If it returns a status other than zero, the request is
// rejected with that status.
func (c *conn) readHead(memory *membudget.Upload) (*http.Request, int) {
	if !c.refused {
		c.noHeadMemory = !pieces.Grow(memory, requestBytes+headCopies*int64(c.br.Buffered()), c.server.clk)
		c.headMemory = memory
		defer func() { c.headMemory = nil }()
	}
	if c.noHeadMemory {
		return nil, http.StatusServiceUnavailable
	}
	hr, err := http.ReadRequest(c.br)
	switch {
	case err == nil && hr.Host == "" && hr.ProtoAtLeast(1, 1):
		return hr, http.StatusBadRequest
	case err == nil:
		return hr, 0
	case c.limited.N <= 0:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return nil, http.StatusRequestTimeout
	}
	return nil, http.StatusBadRequest
}

// headReader reads from a connection and makes headMemory, if there is one, hold what is read.
type headReader struct{ c *conn }

func (r headReader) Read(b []byte) (int, error) {
	n, err := r.c.Read(b)
	if memory := r.c.headMemory; memory != nil && n > 0 && !pieces.Grow(memory, headCopies*int64(n), r.c.server.clk) {
		r.c.noHeadMemory = true
		return 0, errNoHeadMemory
	}
	return n, err
}

var errNoHeadMemory = errors.New("no memory for the head of a request")
