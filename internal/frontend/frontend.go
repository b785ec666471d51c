// Package frontend serves the HTTP interface for callers: requests to
// /v1/{service}/{path} with the headers below. Every response of the handler has
// the headers Lyr-Verdict and Lyr-Time. If a response cannot be completed, the
// handler closes the caller's connection.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Headers of requests and responses.
const (
	HeaderCustomer   = "Lyr-Customer"
	HeaderKey        = "Lyr-Key"
	HeaderTimeout    = "Lyr-Timeout"
	HeaderClass      = "Lyr-Class"
	HeaderRepeatable = "Lyr-Repeatable"
	HeaderRequestID  = "Lyr-Request-Id"
	HeaderVerdict    = "Lyr-Verdict"
	HeaderError      = "Lyr-Error"
	// HeaderTime is the time at which the host received the request, by its
	// wall clock, in Unix milliseconds.
	HeaderTime = "Lyr-Time"
	// HeaderServer and HeaderFence are the server that executed the request and
	// the fence that was sent to it. HeaderTiming is the time in total, in the
	// queue and at the server.
	HeaderServer = "Lyr-Server"
	HeaderFence  = "Lyr-Fence"
	HeaderTiming = "Lyr-Timing"
)

const (
	defaultTimeout    = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// net/http refuses larger heads with status 431 and without a verdict. The
	// limit is above request.MaxHeaderBytes, so that the handler itself refuses
	// most heads that are too large, with a verdict.
	maxHeadBytes = 4 * request.MaxHeaderBytes
	// defaultBodyMemory bounds the memory of all request bodies, in bytes, if the options state
	// no other.
	defaultBodyMemory = 256 << 20
	// writeGracePeriod is how long after the deadline a caller may still read
	// the rest of a large response.
	writeGracePeriod = time.Second
	// Responses above this size get a write deadline, because they can fill the
	// socket buffer of a caller that does not read.
	largeResponseBytes = 64 << 10
)

// Options configures the handler.
type Options struct {
	// Middleware wraps the execution of requests, the first one outermost. The
	// request is a *request.Request and the response a *request.Response.
	Middleware []endpoint.Middleware
	// Wall is the wall clock that the creation times of request ids are
	// compared with; the default is time.Now.
	Wall func() time.Time
	// Memory bounds the memory of all request bodies together; the default is 256 MiB.
	Memory *membudget.RequestBudget
	// Refused, if set, is called with the reason for each body that is refused for lack of
	// memory.
	Refused func(reason error)
}

type handler struct {
	execute endpoint.Endpoint
	wall    func() time.Time
	clk     clock.Clock
	// memory holds all request bodies.
	memory  *membudget.RequestBudget
	refused func(reason error)
}

// Handler returns the handler of the caller interface with default options. It
// passes valid requests to next.
func Handler(next request.Doer) http.Handler { return HandlerWithOptions(next, Options{}) }

// HandlerWithOptions returns the handler of the caller interface. It passes valid
// requests to next.
func HandlerWithOptions(next request.Doer, opts Options) http.Handler {
	h := &handler{wall: opts.Wall, clk: clock.BootTime{}, memory: opts.Memory, refused: opts.Refused, execute: MakeEndpoint(next)}
	if h.memory == nil {
		h.memory = NewBodyMemory(defaultBodyMemory)
	}
	if h.wall == nil {
		h.wall = time.Now
	}
	if len(opts.Middleware) > 0 {
		h.execute = endpoint.Chain(opts.Middleware[0], opts.Middleware[1:]...)(h.execute)
	}
	return h
}

// NewBodyMemory returns memory of so many bytes for request bodies.
func NewBodyMemory(total int64) *membudget.RequestBudget {
	return membudget.NewRequestBudget(total, pieces.SlowAfter)
}

// MakeEndpoint adapts next to a go-kit endpoint.
func MakeEndpoint(next request.Doer) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) { return next.Do(ctx, req.(*request.Request)) }
}

// Observe returns a middleware that calls report at the end of each request.
// elapsed is the time until the head of the response or the error was available.
func Observe(report func(req *request.Request, t request.Timing, err error, elapsed time.Duration)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, req any) (any, error) {
			start := time.Now()
			resp, err := next(ctx, req)
			var t request.Timing
			if err == nil {
				t = resp.(*request.Response).Timing
			}
			report(req.(*request.Request), t, err, time.Since(start))
			return resp, err
		}
	}
}

// NewServer returns an HTTP server with the limits of the caller interface.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.wall()
	w.Header().Set(HeaderTime, strconv.FormatInt(start.UnixMilli(), 10))
	req, timeout, err := parseRequest(r, start)
	if err != nil {
		writeError(w, err)
		return
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	release, err := h.readBody(ctx, w, req)
	defer release()
	if err != nil {
		writeError(w, err)
		return
	}
	resp, err := h.execute(ctx, req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, resp.(*request.Response), deadline, timeout-time.Until(deadline))
}

// readBody reads the whole body before the request is executed. If the body is
// incomplete, the request has not run, and the caller can send it again. The
// caller of readBody must call release when the body is no longer needed.
func (h *handler) readBody(ctx context.Context, w http.ResponseWriter, req *request.Request) (release func(), err error) {
	if req.Size == 0 {
		req.SetBody(nil)
		return func() {}, nil
	}
	memory := h.memory.Upload(false, h.clk.Now())
	if req.Size > 0 && !memory.CouldHold(req.Size) {
		return memory.Release, h.refuse(w, pieces.ErrNoMemory)
	}
	rc := http.NewResponseController(w)
	memory.Receive(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	defer interruptRead(ctx, w)()
	body, err := pieces.Receive(req.Body, req.Size, request.MaxBodyBytes, memory, h.clk)
	switch {
	case errors.Is(err, pieces.ErrNoMemory), errors.Is(err, pieces.ErrEvicted):
		return memory.Release, h.refuse(w, err)
	case errors.Is(err, pieces.ErrTooLarge):
		return memory.Release, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request body exceeds %d bytes", request.MaxBodyBytes)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil:
		return memory.Release, verdict.New(verdict.CodeDeadline, verdict.NotRun, "deadline passed before the request body was complete")
	case err != nil:
		return memory.Release, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request body is incomplete: %v", err)
	}
	if len(body) == 1 {
		req.SetBody(body[0])
		return memory.Release, nil
	}
	// The body is passed on in one piece. Both copies exist for a moment.
	if !pieces.Grow(memory, int64(body.Len()), h.clk) {
		return memory.Release, h.refuse(w, pieces.ErrNoMemory)
	}
	req.SetBody(body.Bytes())
	return memory.Release, nil
}

// refuse returns the error of a request for whose body there is no memory. Its connection is
// closed.
func (h *handler) refuse(w http.ResponseWriter, reason error) error {
	if h.refused != nil {
		h.refused(reason)
	}
	w.Header().Set("Connection", "close")
	return verdict.New(verdict.CodeOverload, verdict.NotRun, "too many request bodies are in the memory of this host: %v", reason).WithRetry(time.Second)
}

// interruptRead makes reads of the request body fail when ctx ends. The returned
// function must be called after the body has been read: from then on the HTTP
// server reads from the connection to detect that the caller disconnects, and
// those reads must not be interrupted.
func interruptRead(ctx context.Context, w http.ResponseWriter) (cancel func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // httptest.ResponseRecorder does not support it
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// ErrorBody is the JSON body of the response to a failed request.
type ErrorBody struct {
	Code         verdict.Code `json:"code"`
	Verdict      string       `json:"verdict"`
	Message      string       `json:"message"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	e := verdict.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderVerdict, e.Verdict.String())
	w.Header().Set(HeaderError, string(e.Code))
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(ErrorBody{
		Code: e.Code, Verdict: e.Verdict.String(), Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

func writeResponse(w http.ResponseWriter, resp *request.Response, deadline time.Time, elapsed time.Duration) {
	defer func() { _ = resp.Body.Close() }()
	h := w.Header()
	if resp.ContentType != "" {
		h.Set("Content-Type", resp.ContentType)
	} else {
		h["Content-Type"] = nil // the server sent none, and net/http must not guess it
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderServer, string(resp.Server))
	h.Set(HeaderFence, resp.Fence.String())
	h.Set(HeaderTiming, formatTiming(resp.Timing, elapsed))
	if resp.Size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.Size, 10))
	}
	if body, ok := resp.BufferedBody(); ok && len(body) <= largeResponseBytes {
		w.WriteHeader(resp.Status)
		_, _ = w.Write(body) // an error means that the caller has disconnected
		return
	}
	large := resp.Size < 0 || resp.Size > largeResponseBytes
	rc := http.NewResponseController(w)
	if large {
		_ = rc.SetWriteDeadline(deadline.Add(writeGracePeriod))
	}
	w.WriteHeader(resp.Status)
	if _, err := io.Copy(w, resp.Body); err != nil {
		// The head has been sent, so closing the connection is the only way to
		// show the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	if large {
		_ = rc.SetWriteDeadline(time.Time{})
	}
}

// formatTiming returns the value of the Lyr-Timing header.
func formatTiming(t request.Timing, total time.Duration) string {
	b := make([]byte, 0, 64)
	b = append(append(b, "total="...), total.String()...)
	b = append(append(b, " queue="...), t.Queue.String()...)
	b = append(append(b, " server="...), t.Server.String()...)
	return string(b)
}
