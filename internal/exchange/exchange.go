package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// Larger bodies are written while the response is read, because a server may
	// respond before it has read the body.
	maxInlineBody = 16 << 10
	// lateWriteTimeout bounds the rest of the write of a request whose response is
	// already complete.
	lateWriteTimeout = 100 * time.Millisecond
	maxHeads         = 5       // heads read per exchange: interim (1xx) responses and the final one
	maxMessage       = 1 << 10 // bytes of a refusal's body that are copied into the error
)

// headRequest makes ReadResponse parse a response without a body.
var headRequest = &http.Request{Method: http.MethodHead}

// exchange is one request on one connection.
type exchange struct {
	ctx    context.Context
	target Target
	id     string
	pool   *pool
	conn   *conn
	start  time.Time
	// stop undoes the context.AfterFunc that interrupts the connection. It returns
	// false if the context has already ended and the connection was interrupted.
	stop func() bool
	// written receives the result of writing the request. It is nil if the request
	// was written before the response was read.
	written chan error
}

func (e *exchange) run(req *request.Request, body []byte) (*request.Response, error) {
	if len(body) > maxInlineBody {
		e.written = make(chan error, 1)
		go func() { e.written <- e.write(req, body) }()
	} else if err := e.write(req, body); err != nil && e.conn.sent.Load() == 0 {
		return nil, e.fail(err)
	}
	// After a failed write the server may still have responded, for example with
	// a refusal that it sent before it read the body.
	resp, err := e.readHead(req.Method) //nolint:bodyclose // the reader of the body ends the exchange
	if err != nil {
		return nil, e.fail(err)
	}
	return e.handleHead(resp)
}

func (e *exchange) write(req *request.Request, body []byte) error {
	e.writeHead(req, len(body))
	_, _ = e.conn.bw.Write(body)
	return e.conn.bw.Flush() // returns the first error of all writes
}

// readHead reads the head of the final response.
func (e *exchange) readHead(method string) (*http.Response, error) {
	var hreq *http.Request // nil means GET; all methods but HEAD are parsed alike
	if method == http.MethodHead {
		hreq = headRequest
	}
	for range maxHeads {
		resp, err := e.conn.br.ReadResponse(hreq)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			e.conn.headDone = true
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// handleHead determines the verdict from the head of the response.
func (e *exchange) handleHead(resp *http.Response) (*request.Response, error) {
	t := e.target
	if got := resp.Header.Get(serverapi.HeaderExchange); got != e.id {
		e.end(false)
		return nil, verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun,
			"server %s sent a response to exchange %q instead of %q, status %d", t.Server, got, e.id, resp.StatusCode)
	}
	switch verdict.Parse(resp.Header.Get(serverapi.HeaderVerdict)) {
	case verdict.Ran:
		return e.newAnswer(resp)
	case verdict.NotRun:
		code := verdict.Code(resp.Header.Get(serverapi.HeaderError))
		b := &body{rc: resp.Body, ex: e, reusable: !resp.Close}
		msg, _ := io.ReadAll(io.LimitReader(b, maxMessage))
		_ = b.Close()
		return nil, verdict.New(code, verdict.NotRun, "server %s refused the request: %s", t.Server, strings.TrimSpace(string(msg)))
	default:
		e.end(false)
		return nil, verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun, "server %s sent a response without a verdict, status %d", t.Server, resp.StatusCode)
	}
}

// newAnswer returns the response of a server that ran the request. Its body is not
// read yet.
func (e *exchange) newAnswer(resp *http.Response) (*request.Response, error) {
	size := resp.ContentLength
	broken := func(reason string) error {
		e.end(false)
		return verdict.New(verdict.CodeBadResponse, verdict.Ran, "response of server %s %s", e.target.Server, reason)
	}
	switch {
	case resp.Request == headRequest || resp.Body == http.NoBody:
		size = 0
	case size > request.MaxResponseBodyBytes:
		return nil, broken("is too large")
	case size < 0 && len(resp.TransferEncoding) == 0:
		// The end of such a body looks the same as a lost connection.
		return nil, broken("has no length")
	}
	return &request.Response{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: &body{rc: resp.Body, ex: e, reusable: !resp.Close}, Size: size,
		Server: e.target.Server, Fence: e.target.Fence, Timing: request.Timing{Server: time.Since(e.start)},
	}, nil
}

// end returns the connection to the pool. The connection is reused only if the
// request and the response are complete, no bytes follow the response, and the
// connection was not interrupted.
func (e *exchange) end(complete bool) {
	if !e.stop() || !complete || e.conn.br.Buffered() > 0 {
		e.pool.discard(e.conn)
		return
	}
	if e.written == nil {
		e.pool.put(e.conn)
		return
	}
	go e.awaitWrite()
}

// awaitWrite waits until the request is written, although its response is already
// complete. The write blocks if the server responded without reading the whole
// request.
func (e *exchange) awaitWrite() {
	_ = e.conn.SetWriteDeadline(time.Now().Add(lateWriteTimeout))
	if err := <-e.written; err != nil {
		e.pool.discard(e.conn)
		return
	}
	_ = e.conn.SetWriteDeadline(time.Time{})
	e.pool.put(e.conn)
}

// fail ends an exchange that failed before the head of the response was read. It
// returns the error with the verdict.
func (e *exchange) fail(err error) error {
	v := verdict.MayHaveRun
	if e.conn.sent.Load() == 0 && e.written == nil {
		v = verdict.NotRun
	}
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	e.end(false)
	if e.ctx.Err() != nil {
		return contextError(e.ctx, e.target, v)
	}
	f := verdict.New(verdict.CodeServerFailed, v, "exchange with server %s failed: %v", e.target.Server, err)
	f.ConnectionLost = v == verdict.MayHaveRun && !interrupted
	return f
}

// contextError returns the error of an exchange whose context has ended.
func contextError(ctx context.Context, t Target, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.CodeDeadline, v, "deadline passed during the exchange with server %s", t.Server)
	}
	return verdict.New(verdict.CodeCancelled, v, "cancelled during the exchange with server %s", t.Server)
}

// body reads the body of a response. It ends the exchange at the end of the body
// or at Close.
type body struct {
	rc       io.ReadCloser
	ex       *exchange
	read     int64
	reusable bool
	result   error // returned by Read once the exchange has ended
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.result != nil {
		return 0, b.result
	}
	n, err := b.rc.Read(p)
	b.read += int64(n)
	switch {
	case b.read > request.MaxResponseBodyBytes:
		return 0, b.fail("is too large", nil)
	case err == io.EOF:
		b.result = io.EOF
		b.ex.end(b.reusable)
	case err != nil:
		return n, b.fail("is incomplete", err)
	}
	return n, err
}

func (b *body) fail(reason string, err error) error {
	b.ex.end(false)
	if b.ex.ctx.Err() != nil {
		b.result = contextError(b.ex.ctx, b.ex.target, verdict.Ran)
		return b.result
	}
	e := verdict.New(verdict.CodeBadResponse, verdict.Ran, "response of server %s %s", b.ex.target.Server, reason)
	if err != nil {
		e.Message += ": " + err.Error()
		e.ConnectionLost = true
	}
	b.result = e
	return e
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.result == nil {
		b.result = verdict.New(verdict.CodeCancelled, verdict.Ran, "response of server %s was not read completely", b.ex.target.Server)
		b.ex.end(false)
	}
	return nil
}
