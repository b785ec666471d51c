// Package frontend is the caller interface: HTTP requests of the form
// /v1/{service}/{path} with the headers below. Every answer that the handler
// sends has the headers Lyr-Verdict and Lyr-Time. An answer that breaks off ends
// the caller's connection.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Headers of requests and answers.
const (
	HeaderCustomer   = "Lyr-Customer"
	HeaderKey        = "Lyr-Key"
	HeaderTimeout    = "Lyr-Timeout"
	HeaderClass      = "Lyr-Class"
	HeaderRepeatable = "Lyr-Repeatable"
	HeaderRequestID  = "Lyr-Request-Id"
	HeaderVerdict    = "Lyr-Verdict"
	HeaderError      = "Lyr-Error"
	// HeaderTime is the router's wall clock in Unix milliseconds.
	HeaderTime = "Lyr-Time"
	// HeaderServer, HeaderFence and HeaderTiming explain where an answer comes
	// from and where its time went.
	HeaderServer = "Lyr-Server"
	HeaderFence  = "Lyr-Fence"
	HeaderTiming = "Lyr-Timing"
)

const (
	defaultTimeout    = 5 * time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// net/http refuses larger heads with status 431 and without a verdict. The
	// value is above request.MaxHeaderBytes, so that the handler can answer
	// most heads that are too large itself.
	maxHeadBytes = 4 * request.MaxHeaderBytes
	// maxBodies bounds the request bodies that one host holds.
	maxBodies = 256 << 20
	// writeGrace is the time after the deadline in which a caller may read the
	// rest of a large answer.
	writeGrace = time.Second
	// Larger answers can fill the socket buffer of a caller that does not read.
	largeAnswer = 64 << 10
)

// Options configure the handler.
type Options struct {
	// Middleware wraps the execution of requests, the first one outermost. The
	// request is a *request.Request and the response a *request.Response.
	Middleware []endpoint.Middleware
	// Wall is the clock that dates of request ids are compared with; the
	// default is time.Now.
	Wall func() time.Time
}

type handler struct {
	run    endpoint.Endpoint
	wall   func() time.Time
	bodies atomic.Int64 // bytes of request bodies, as announced
}

// Handler returns the caller interface in front of next.
func Handler(next request.Doer) http.Handler { return HandlerWith(next, Options{}) }

// HandlerWith returns the caller interface in front of next.
func HandlerWith(next request.Doer, opts Options) http.Handler {
	h := &handler{wall: opts.Wall, run: MakeEndpoint(next)}
	if h.wall == nil {
		h.wall = time.Now
	}
	if len(opts.Middleware) > 0 {
		h.run = endpoint.Chain(opts.Middleware[0], opts.Middleware[1:]...)(h.run)
	}
	return h
}

// MakeEndpoint returns next as an endpoint.
func MakeEndpoint(next request.Doer) endpoint.Endpoint {
	return func(ctx context.Context, req any) (any, error) { return next.Do(ctx, req.(*request.Request)) }
}

// Observe returns a middleware that reports the end of each request. The time
// is that until the head of the answer.
func Observe(report func(req *request.Request, t request.Timing, err error, took time.Duration)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, req any) (any, error) {
			start := time.Now()
			ans, err := next(ctx, req)
			var t request.Timing
			if err == nil {
				t = ans.(*request.Response).Timing
			}
			report(req.(*request.Request), t, err, time.Since(start))
			return ans, err
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
	req, timeout, err := parse(r, start)
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
	ans, err := h.run(ctx, req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, ans.(*request.Response), deadline, timeout-time.Until(deadline))
}

// readBody reads the whole body before the request goes on: a body that breaks
// off has not been run, and a request that was not run can be sent again.
func (h *handler) readBody(ctx context.Context, w http.ResponseWriter, req *request.Request) (release func(), err error) {
	size := req.Size
	if size == 0 {
		req.SetBody(nil)
		return func() {}, nil
	}
	if size < 0 {
		size = request.MaxBodyBytes
	}
	release = func() { h.bodies.Add(-size) }
	if h.bodies.Add(size) > maxBodies {
		return release, verdict.New(verdict.CodeOverload, verdict.NotRun, "host holds too many request bodies").WithRetry(time.Second)
	}
	defer interruptRead(ctx, w)()
	if _, err := req.ReadBody(); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			err = verdict.New(verdict.CodeDeadline, verdict.NotRun, "deadline passed before the request body was complete")
		}
		return release, err
	}
	return release, nil
}

// interruptRead ends a read of the body when the context ends. The function that
// it returns ends the watch: from then on the HTTP server reads from the
// connection to notice that the caller goes away, and must not be interrupted.
func interruptRead(ctx context.Context, w http.ResponseWriter) (end func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // recorders of tests have none
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// ErrorBody is the JSON body of a failed request.
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

func writeAnswer(w http.ResponseWriter, ans *request.Response, deadline time.Time, took time.Duration) {
	defer func() { _ = ans.Body.Close() }()
	h := w.Header()
	if ans.ContentType != "" {
		h.Set("Content-Type", ans.ContentType)
	} else {
		h["Content-Type"] = nil // the server did not say, so do not guess
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderServer, string(ans.Server))
	h.Set(HeaderFence, ans.Fence.String())
	h.Set(HeaderTiming, timing(ans.Timing, took))
	if ans.Size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(ans.Size, 10))
	}
	if body, ok := ans.BufferedBody(); ok && len(body) <= largeAnswer {
		w.WriteHeader(ans.Status)
		_, _ = w.Write(body) // an error means that the caller has gone
		return
	}
	large := ans.Size < 0 || ans.Size > largeAnswer
	rc := http.NewResponseController(w)
	if large {
		_ = rc.SetWriteDeadline(deadline.Add(writeGrace))
	}
	w.WriteHeader(ans.Status)
	if _, err := io.Copy(w, ans.Body); err != nil {
		// Breaking the connection is the only way to show the caller that an
		// answer whose head was sent is incomplete.
		panic(http.ErrAbortHandler)
	}
	if large {
		_ = rc.SetWriteDeadline(time.Time{})
	}
}

func timing(t request.Timing, total time.Duration) string {
	b := make([]byte, 0, 64)
	b = append(append(b, "total="...), total.String()...)
	b = append(append(b, " queue="...), t.Queue.String()...)
	b = append(append(b, " server="...), t.Server.String()...)
	return string(b)
}
