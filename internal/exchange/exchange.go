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
	// Larger bodies are written while the answer is read, because a server may
	// answer before it has read the body.
	maxInlineBody = 16 << 10
	// Time for the rest of a request whose answer is complete.
	settleTimeout = 100 * time.Millisecond
	maxInterim    = 5 // interim (1xx) answers accepted before the final one
	maxMessage    = 1 << 10
)

// headRequest tells the parser of answers that no body follows.
var headRequest = &http.Request{Method: http.MethodHead}

// exchange is one request on one connection.
type exchange struct {
	ctx    context.Context
	target Target
	id     string
	pool   *pool
	conn   *conn
	start  time.Time
	// stop ends the watch over the context; it returns false if the context
	// ended first and the connection was interrupted.
	stop func() bool
	// written receives the result of writing the request. It is nil if the
	// request was written before the answer was read.
	written chan error
}

func (e *exchange) run(req *request.Request, body []byte) (*request.Answer, error) {
	if len(body) > maxInlineBody {
		e.written = make(chan error, 1)
		go func() { e.written <- e.write(req, body) }()
	} else if err := e.write(req, body); err != nil && e.conn.sent.Load() == 0 {
		return nil, e.fail(err)
	}
	// After a failed write the server may still have answered, for example
	// with a refusal that it sent before it read the body.
	resp, err := e.readHead(req.Method) //nolint:bodyclose // the answer's reader ends the exchange
	if err != nil {
		return nil, e.fail(err)
	}
	return e.answer(resp)
}

func (e *exchange) write(req *request.Request, body []byte) error {
	e.writeHead(req, len(body))
	_, _ = e.conn.bw.Write(body)
	return e.conn.bw.Flush() // returns the first error of all writes
}

// readHead reads the head of the final answer.
func (e *exchange) readHead(method string) (*http.Response, error) {
	var hreq *http.Request // nil stands for GET, which has the same rules as the rest
	if method == http.MethodHead {
		hreq = headRequest
	}
	for range maxInterim {
		resp, err := http.ReadResponse(e.conn.br, hreq)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			e.conn.unlimited = true
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// answer judges the head of an answer.
func (e *exchange) answer(resp *http.Response) (*request.Answer, error) {
	t := e.target
	if got := resp.Header.Get(serverapi.HeaderExchange); got != e.id {
		e.end(false)
		return nil, verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun,
			"server %s sent the answer of exchange %q instead of %q, status %d", t.Server, got, e.id, resp.StatusCode)
	}
	switch verdict.Parse(resp.Header.Get(serverapi.HeaderVerdict)) {
	case verdict.Ran:
		return e.ran(resp)
	case verdict.NotRun:
		code := verdict.Code(resp.Header.Get(serverapi.HeaderError))
		b := &body{rc: resp.Body, ex: e, reusable: !resp.Close}
		msg, _ := io.ReadAll(io.LimitReader(b, maxMessage))
		_ = b.Close()
		return nil, verdict.New(code, verdict.NotRun, "server %s refused the request: %s", t.Server, strings.TrimSpace(string(msg)))
	default:
		e.end(false)
		return nil, verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun, "server %s answered without a verdict, status %d", t.Server, resp.StatusCode)
	}
}

func (e *exchange) ran(resp *http.Response) (*request.Answer, error) {
	size := resp.ContentLength
	broken := func(reason string) error {
		e.end(false)
		return verdict.New(verdict.CodeAnswerBroken, verdict.Ran, "answer of server %s %s", e.target.Server, reason)
	}
	switch {
	case resp.Request == headRequest || resp.Body == http.NoBody:
		size = 0
	case size > request.MaxAnswerBytes:
		return nil, broken("is too large")
	case size < 0 && len(resp.TransferEncoding) == 0:
		// The end of such an answer cannot be told from a lost connection.
		return nil, broken("has no length")
	}
	return &request.Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"),
		Body: &body{rc: resp.Body, ex: e, reusable: !resp.Close}, Size: size,
		Server: e.target.Server, Fence: e.target.Fence, Timing: request.Timing{Server: time.Since(e.start)},
	}, nil
}

// end gives the connection back. It is reused only if the exchange is complete
// in both directions, nothing follows the answer, and nobody interrupted it.
func (e *exchange) end(complete bool) {
	if !e.stop() || !complete || e.conn.br.Buffered() > 0 {
		e.pool.discard(e.conn)
		return
	}
	if e.written == nil {
		e.pool.put(e.conn)
		return
	}
	go e.settle()
}

// settle waits until the request of a complete answer is written. A server that
// answered without reading the request to its end leaves the write blocked.
func (e *exchange) settle() {
	_ = e.conn.SetWriteDeadline(time.Now().Add(settleTimeout))
	if err := <-e.written; err != nil {
		e.pool.discard(e.conn)
		return
	}
	_ = e.conn.SetWriteDeadline(time.Time{})
	e.pool.put(e.conn)
}

// fail ends an exchange without the head of an answer.
func (e *exchange) fail(err error) error {
	v := verdict.MayHaveRun
	if e.conn.sent.Load() == 0 && e.written == nil {
		v = verdict.NotRun
	}
	interrupted := errors.Is(err, os.ErrDeadlineExceeded)
	e.end(false)
	if e.ctx.Err() != nil {
		return ended(e.ctx, e.target, v)
	}
	f := verdict.New(verdict.CodeServerFailed, v, "exchange with server %s failed: %v", e.target.Server, err)
	f.ServerLost = v == verdict.MayHaveRun && !interrupted
	return f
}

// ended describes the end of the context.
func ended(ctx context.Context, t Target, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.CodeDeadline, v, "deadline passed in the exchange with server %s", t.Server)
	}
	return verdict.New(verdict.CodeCancelled, v, "cancelled in the exchange with server %s", t.Server)
}

// body is the body of an answer. It ends the exchange at the end of the answer
// or at Close.
type body struct {
	rc       io.ReadCloser
	ex       *exchange
	read     int64
	reusable bool
	result   error // set when the exchange has ended
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.result != nil {
		return 0, b.result
	}
	n, err := b.rc.Read(p)
	b.read += int64(n)
	switch {
	case b.read > request.MaxAnswerBytes:
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
		b.result = ended(b.ex.ctx, b.ex.target, verdict.Ran)
		return b.result
	}
	e := verdict.New(verdict.CodeAnswerBroken, verdict.Ran, "answer of server %s %s", b.ex.target.Server, reason)
	if err != nil {
		e.Message += ": " + err.Error()
		e.ServerLost = true
	}
	b.result = e
	return e
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.result == nil {
		b.result = verdict.New(verdict.CodeCancelled, verdict.Ran, "answer of server %s was not read to its end", b.ex.target.Server)
		b.ex.end(false)
	}
	return nil
}
