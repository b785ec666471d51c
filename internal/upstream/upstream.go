// Package upstream carries out single HTTP/1.1 exchanges with servers that
// identify their answers by the id of the request. It holds its own
// connections: http.Transport repeats some requests on its own.
//
// Guarantees: a request is written at most once. An answer is returned only if
// it is complete and bears the id of the request. A connection is used again
// only after a complete exchange with no byte left over.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Headers are the header names of the exchange.
type Headers struct {
	RequestID   string
	TimeLeft    string // in milliseconds
	Target      string
	Signature   string
	NotExecuted string
	ServerLoad  string // running, waiting and slots, separated by commas
}

// Request is a complete request of a caller.
type Request struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the complete answer of a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome is the end of an exchange. Answer is nil unless the server's answer
// is complete and states that the request ran.
type Outcome struct {
	Result schedule.Result
	// NotRun is true if the server cannot have run the request and will not.
	NotRun   bool
	Response *Response
	Report   schedule.Report
	Cause    error
}

const (
	// dialTimeout ends a dial before the first repetition of its opening
	// packet, which comes after a second or more.
	dialTimeout = 400 * time.Millisecond
	// idleMargin is kept from the time for which a server keeps idle
	// connections.
	idleMargin = 1500 * time.Millisecond
	// defaultIdle is used for servers that do not state that time.
	defaultIdle = 4 * time.Second
	// maxAnswer bounds the memory of one answer.
	maxAnswer = 64 << 20
	// maxStrays bounds the answers of other requests that are skipped.
	maxStrays  = 3
	readBuffer = 4 << 10
)

// Client holds connections to servers. It is safe for concurrent use.
type Client struct {
	headers Headers
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	br    *bufio.Reader
	until time.Time // the server may close the idle connection afterwards
}

// New returns a client without connections.
func New(headers Headers) *Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return NewWithDialer(headers, func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	})
}

// NewWithDialer returns a client that opens connections with dial.
func NewWithDialer(headers Headers, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{headers: headers, dial: dial, idle: make(map[string][]*conn)}
}

// get returns an idle connection or a new one.
func (c *Client) get(ctx context.Context, address string) (*conn, bool, error) {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		cn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(cn.until) && Reusable(cn.Conn) {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	nc, err := c.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer)}, false, nil
}

func (c *Client) put(address string, cn *conn, keep time.Duration) {
	if keep <= 0 {
		_ = cn.Close()
		return
	}
	cn.until = time.Now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], cn)
}

// CloseExpired closes idle connections that are past their time.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		keep := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				keep = append(keep, cn)
				continue
			}
			_ = cn.Close()
		}
		if len(keep) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = keep
	}
}

// Do sends the request to a server once, with the time left until deadline.
// The context ends when the caller leaves or the deadline passes.
func (c *Client) Do(ctx context.Context, server topology.ServerID, address string, deadline time.Time, r *Request) Outcome {
	start := time.Now()
	out := c.exchange(ctx, server, address, deadline, r)
	out.Report.Result = out.Result
	out.Report.Took = time.Since(start)
	return out
}

func (c *Client) exchange(ctx context.Context, server topology.ServerID, address string, deadline time.Time, r *Request) Outcome {
	cn, reused, err := c.get(ctx, address)
	if err != nil {
		if ctx.Err() != nil {
			return Outcome{Result: ended(ctx), NotRun: true, Cause: err}
		}
		return Outcome{Result: schedule.Unreached, NotRun: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	head := c.head(server, deadline, r)
	sent := make(chan sendResult, 1)
	if len(r.Body) <= readBuffer {
		n, err := cn.Write(append(head, r.Body...))
		sent <- sendResult{n: n, err: err}
	} else {
		// A server may answer before it has read a long body.
		go func() {
			bufs := net.Buffers{head, r.Body}
			n, err := bufs.WriteTo(cn.Conn)
			sent <- sendResult{n: int(n), err: err}
		}()
	}
	out, keep := c.receive(ctx, cn, r, sent)
	interrupted := !stop()
	if keep <= 0 || interrupted || cn.br.Buffered() > 0 {
		abandon(cn.Conn)
	} else {
		c.put(address, cn, keep)
	}
	if out.Result == schedule.Broken && reused && out.NotRun {
		out.Result = schedule.Unreached
	}
	return out
}

type sendResult struct {
	n   int
	err error
}

// abandon resets a connection, so that bytes that are still under way do not
// reach the server.
func abandon(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}

func ended(ctx context.Context) schedule.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schedule.TimedOut
	}
	return schedule.Left
}

// head returns the request line and the headers.
func (c *Client) head(server topology.ServerID, deadline time.Time, r *Request) []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	left := max(1, time.Until(deadline).Milliseconds())
	b = field(b, c.headers.RequestID, r.ID)
	b = field(b, c.headers.TimeLeft, strconv.FormatInt(left, 10))
	b = field(b, c.headers.Target, string(server))
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = field(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// receive reads the answer and returns the time for which the connection may be
// kept.
func (c *Client) receive(ctx context.Context, cn *conn, r *Request, sent chan sendResult) (Outcome, time.Duration) {
	fail := func(err error) (Outcome, time.Duration) {
		out := Outcome{Result: schedule.Broken, Cause: err}
		if ctx.Err() != nil {
			out.Result = ended(ctx)
		}
		select {
		case s := <-sent:
			// Nothing of the request was accepted by the connection.
			out.NotRun = s.err != nil && s.n == 0
		default:
		}
		return out, 0
	}
	method := &http.Request{Method: r.Method}
	for range maxStrays {
		resp, err := http.ReadResponse(cn.br, method)
		if err != nil {
			return fail(err)
		}
		if resp.StatusCode < 200 {
			_ = resp.Body.Close()
			continue
		}
		body, err := readBody(resp)
		_ = resp.Body.Close()
		if err != nil {
			return fail(err)
		}
		if id := resp.Header.Get(c.headers.RequestID); id != r.ID {
			if id == "" {
				return fail(errors.New("answer without the id of a request"))
			}
			continue // a late extra answer of an earlier request
		}
		out := c.judge(resp, body)
		return out, c.keep(resp, sent)
	}
	return fail(errors.New("too many answers of other requests"))
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.Request.Method == http.MethodHead {
		return nil, nil
	}
	if resp.ContentLength > maxAnswer {
		return nil, errors.New("answer is too large")
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.New("answer is too large")
	}
	return body, err
}

// judge determines what a complete answer says of the request.
func (c *Client) judge(resp *http.Response, body []byte) Outcome {
	out := Outcome{Result: schedule.Answered}
	out.Report.Running, out.Report.Waiting, out.Report.Known = load(resp.Header.Get(c.headers.ServerLoad))
	status := resp.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		out.Result, out.NotRun = schedule.Elsewhere, true
		return out
	case resp.Header.Get(c.headers.NotExecuted) != "":
		out.Result, out.NotRun = schedule.Full, true
		return out
	case resp.Header.Get("Content-Encoding") != "":
		out.Result, out.Cause = schedule.Broken, errors.New("answer has an encoding")
		return out
	case status < 300 && resp.Header.Get(c.headers.Signature) == "":
		out.Result, out.Cause = schedule.Broken, errors.New("answer has no signature")
		return out
	}
	if status >= 500 {
		out.Result = schedule.Failed
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// To a caller these promise that the request has not run, which the
		// server does not state.
		out.Result, out.Cause = schedule.Failed, errors.New("server refused without stating that it did not run the request")
		return out
	}
	out.Response = &Response{Status: status, Header: resp.Header, Body: body}
	return out
}

// keep returns the time for which the connection may stay idle; zero if it must
// not be used again.
func (c *Client) keep(resp *http.Response, sent chan sendResult) time.Duration {
	select {
	case s := <-sent:
		if s.err != nil {
			return 0
		}
	default:
		return 0 // the server has not read the whole body
	}
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return 0
	}
	idle := defaultIdle
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				idle = time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return idle
}

// load reads the numbers of running and waiting requests.
func load(value string) (running, waiting int, ok bool) {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return 0, 0, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	return running, waiting, err1 == nil && err2 == nil
}
