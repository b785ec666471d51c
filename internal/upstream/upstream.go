// Package upstream carries out single HTTP/1.1 exchanges with servers that repeat
// the id of the request in their responses. It manages its own connections
// because http.Transport retries some requests by itself.
//
// Guarantees: a request is written at most once. A response is returned only if
// it is complete and has the id of the request; one that only the end of its connection
// completes, only if the whole request was written. A connection is reused only after
// a complete exchange without unread bytes, and never for the same request. What a
// server sends without end is cut: a head at a fixed size, a body when the memory that
// all exchanges share is used up.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Headers holds the names of the headers that the protocol with servers uses.
type Headers struct {
	RequestID   string
	TimeLeft    string // time until the deadline in milliseconds
	Target      string
	Signature   string
	NotExecuted string
	// ServerLoad names the header with running, waiting and slots, and on some servers the
	// percentage of the usual time that work takes at present, separated by commas.
	ServerLoad  string
	ServerLimit string // requests a second that the server accepts from all hosts
	Leaving     string // set in all responses of a server that shuts down
}

// Request is a complete request of a caller.
type Request struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   pieces.Body
	// carriedBy holds the kept connections on which the request was sent.
	carriedBy []*conn
}

// Copy returns a copy of the request that can be sent while r is. Both use the same header
// and body, which no exchange changes.
func (r *Request) Copy() *Request {
	second := *r
	second.carriedBy = slices.Clone(r.carriedBy)
	return &second
}

// AddConnsOf keeps r from being sent on a connection on which a copy of it was sent. Both
// must not be in use.
func (r *Request) AddConnsOf(second *Request) {
	r.carriedBy = append(r.carriedBy, second.carriedBy...)
}

// Response is a complete response of a server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// memory holds the bytes of Body in the client's budget.
	memory *membudget.Holder
}

// Release returns the memory of the response to the client's budget. The body must
// not be used after that.
func (r *Response) Release() { r.memory.Release() }

// Outcome is the result of an exchange. Response is nil unless the server's
// response is complete and shows that the request ran.
type Outcome struct {
	Result schedule.Result
	// NotRun is true if it is certain that the server has not run the request and
	// will not run it.
	NotRun   bool
	Response *Response
	Report   schedule.Report
	// Limit is what the response says of the rate that the server accepts. If the
	// response states it in a way that cannot be read, LimitError is set.
	Limit      schedule.Limit
	LimitError error
	// Leaving is true if the response announces the shutdown of the server.
	Leaving bool
	// Pause is the time for which the server wants no further request from this host,
	// zero if it states none. If it is stated in a way that cannot be read, PauseError
	// is set.
	Pause      time.Duration
	PauseError error
	Cause      error
}

const (
	// dialTimeout is shorter than the time to the first retransmission of a SYN,
	// which is one second or more.
	dialTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from the keep-alive timeout of a server, so that an
	// idle connection is closed here before the server closes it.
	idleMargin = 1500 * time.Millisecond
	// defaultIdle is the idle timeout for servers that state no keep-alive timeout.
	defaultIdle = 4 * time.Second
	// maxHeadBytes bounds the status line and the headers of a response: four times
	// what callers may send by default.
	maxHeadBytes = 64 << 10
	// firstBodyBytes is the memory that a body gets before any of it has arrived; it
	// doubles as more arrives. A stated length is no reason to hold more.
	firstBodyBytes = 16 << 10
	// maxResponses bounds the responses that are read in one exchange, with interim
	// responses and late responses to earlier requests.
	maxResponses = 3
	// While a response waits for others to give up their memory, it tries again at this
	// interval, and so many times: 100 ms, a fifth of the strictest objective for latency.
	roomInterval   = 5 * time.Millisecond
	roomTries      = 20
	readBufferSize = 4 << 10
)

// Client sends requests to servers and keeps idle connections for reuse. It is
// safe for concurrent use.
type Client struct {
	headers Headers
	memory  *membudget.Budget
	// makeRoom, if set, makes a response that its caller reads slowly give up its memory. It
	// returns false if there is none.
	makeRoom func() bool
	dial     func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
	// idleCount is the number of connections in idle, maxIdle the limit on it; zero for none.
	idleCount, maxIdle int
}

type conn struct {
	net.Conn
	limited *io.LimitedReader    // reads from Conn
	br      *httpresponse.Reader // reads from limited
	expires time.Time            // end of reuse: the server may close the idle connection later
}

// New returns a client that opens TCP connections. The bodies of responses that are
// being received or were not released hold at most the memory of the budget.
func New(headers Headers, memory *membudget.Budget) *Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return NewWithDialer(headers, memory, func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	})
}

// NewWithDialer returns a client that opens connections with dial.
func NewWithDialer(headers Headers, memory *membudget.Budget, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{headers: headers, memory: memory, dial: dial, idle: make(map[string][]*conn)}
}

// get returns an idle connection or a new one, and whether it was used before. It returns
// none that has carried r: all sends of a request have the same id, so a late copy of the
// response to an earlier send would pass for that to the present one.
func (c *Client) get(ctx context.Context, address string, r *Request) (*conn, bool, error) {
	now := time.Now()
	for {
		cn := c.takeIdle(address, r.carriedBy)
		if cn == nil {
			break
		}
		if now.Before(cn.expires) && Reusable(cn.Conn) {
			return cn, true, nil
		}
		_ = cn.Close()
	}
	nc, err := c.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	limited := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limited: limited, br: httpresponse.NewReader(limited, readBufferSize)}, false, nil
}

// takeIdle removes the idle connection to address that was used last and is not in
// except, and returns it; nil if there is none.
func (c *Client) takeIdle(address string, except []*conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, cn := range slices.Backward(list) {
		if !slices.Contains(except, cn) {
			c.idle[address] = slices.Delete(list, i, i+1)
			c.idleCount--
			return cn
		}
	}
	return nil
}

func (c *Client) put(address string, cn *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		_ = cn.Close()
		return
	}
	cn.expires = time.Now().Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxIdle > 0 && c.idleCount >= c.maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
	c.idleCount++
}

// SetMaxIdle bounds the idle connections that are kept; zero for no limit.
func (c *Client) SetMaxIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = n
}

// SetMakeRoom sets a function that makes a response give up its memory, which happens soon
// after; it returns false if none can. It must be set before the first request.
func (c *Client) SetMakeRoom(f func() bool) { c.makeRoom = f }

// IdleCount returns the number of idle connections.
func (c *Client) IdleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleCount
}

// CloseIdle closes all idle connections and returns their number.
func (c *Client) CloseIdle() int {
	return c.closeIdle(func(*conn) bool { return true })
}

// CloseExpired closes the connections whose idle timeout has passed.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.closeIdle(func(cn *conn) bool { return !now.Before(cn.expires) })
}

// closeIdle closes the idle connections that match and returns their number.
func (c *Client) closeIdle(match func(*conn) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for address, list := range c.idle {
		keep := list[:0]
		for _, cn := range list {
			if !match(cn) {
				keep = append(keep, cn)
				continue
			}
			_ = cn.Close()
			closed++
		}
		if len(keep) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = keep
	}
	c.idleCount -= closed
	return closed
}

// Do sends the request to a server once, with the time left until deadline in a
// header. The context must end when the caller disconnects or the deadline passes.
func (c *Client) Do(ctx context.Context, server topology.ServerID, address string, deadline time.Time, r *Request) Outcome {
	start := time.Now()
	outcome := c.exchange(ctx, server, address, deadline, r)
	outcome.Report.Result = outcome.Result
	outcome.Report.Duration = time.Since(start)
	return outcome
}

func (c *Client) exchange(ctx context.Context, server topology.ServerID, address string, deadline time.Time, r *Request) Outcome {
	cn, reused, err := c.get(ctx, address, r)
	if err != nil {
		if ctx.Err() != nil {
			return Outcome{Result: contextResult(ctx), NotRun: true, Cause: err}
		}
		return Outcome{Result: schedule.ConnectFailed, NotRun: true, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { interrupt(cn) })
	head := c.encodeHead(server, deadline, r)
	write := &requestWrite{conn: cn, done: make(chan struct{})}
	if r.Body.Len() <= readBufferSize {
		write.run(ctx, net.Buffers{append(head, r.Body.Bytes()...)})
	} else {
		// A server may respond before it has read a long body.
		go write.run(ctx, append(net.Buffers{head}, r.Body...))
	}
	outcome, idleTimeout := c.readResponse(ctx, cn, r, write)
	interrupted := !stop()
	if idleTimeout <= 0 || interrupted || cn.br.Buffered() > 0 {
		reset(cn.Conn)
	} else {
		r.carriedBy = append(r.carriedBy, cn)
		c.put(address, cn, idleTimeout)
	}
	if outcome.Result == schedule.Broken && reused && outcome.NotRun {
		outcome.Result = schedule.ConnectFailed
	}
	return outcome
}

// interrupt makes all blocked and later reads and writes fail.
func interrupt(nc net.Conn) { _ = nc.SetDeadline(time.Unix(1, 0)) }

// reset closes a connection with a TCP reset, so that unsent bytes of the request
// do not reach the server.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = nc.Close()
}

// contextResult returns the result of an exchange whose context has ended.
func contextResult(ctx context.Context) schedule.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schedule.TimedOut
	}
	return schedule.CallerDisconnected
}

// encodeHead returns the request line and the headers.
func (c *Client) encodeHead(server topology.ServerID, deadline time.Time, r *Request) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	left := max(1, time.Until(deadline).Milliseconds())
	b = appendHeader(b, c.headers.RequestID, r.ID)
	b = appendHeader(b, c.headers.TimeLeft, strconv.FormatInt(left, 10))
	b = appendHeader(b, c.headers.Target, string(server))
	if length := r.Body.Len(); length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = appendHeader(b, "Content-Length", strconv.Itoa(length))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// readResponse reads the response to r and returns the idle timeout of the
// connection, which is zero if the connection must not be reused.
func (c *Client) readResponse(ctx context.Context, cn *conn, r *Request, write *requestWrite) (Outcome, time.Duration) {
	fail := func(err error) (Outcome, time.Duration) {
		outcome := Outcome{Result: schedule.Broken, Cause: err}
		if ctx.Err() != nil {
			outcome.Result = contextResult(ctx)
		}
		// The request has not run if the connection accepted no byte of it.
		outcome.NotRun = write.ended() && write.err != nil && write.n == 0
		return outcome, 0
	}
	method := &http.Request{Method: r.Method}
	for range maxResponses {
		cn.limited.N = maxHeadBytes
		resp, err := cn.br.ReadResponse(method)
		if err != nil {
			if cn.limited.N <= 0 {
				err = errors.New("response head is too large")
			}
			return fail(err)
		}
		if err := checkHead(resp); err != nil {
			return fail(err)
		}
		cn.limited.N = math.MaxInt64 // the body is limited by the budget
		if resp.StatusCode < 200 {
			_ = resp.Body.Close()
			continue
		}
		memory := c.memory.Holder()
		body, err := c.readBody(resp, memory)
		if err == nil && endsWithConnection(resp) {
			err = checkEnd(ctx, write)
		}
		if err != nil {
			memory.Release()
			return fail(err)
		}
		if id := resp.Header.Get(c.headers.RequestID); id != r.ID {
			memory.Release()
			if id == "" {
				return fail(errors.New("response has no request id"))
			}
			continue // a late or duplicate response to an earlier request
		}
		outcome := c.classify(resp)
		if outcome.Response == nil {
			memory.Release()
		} else {
			outcome.Response.Body, outcome.Response.memory = body, memory
		}
		return outcome, c.idleTimeout(resp, write)
	}
	return fail(errors.New("too many interim responses or responses to other requests"))
}

// checkHead returns an error if the head of a response contains another status line. A
// server that breaks off in a head and then writes the next response on the connection
// leaves one head with the fields of both.
func checkHead(resp *http.Response) error {
	if containsStatusLine(resp.Status) {
		return errSplicedHead
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return errSplicedHead
		}
	}
	return nil
}

var errSplicedHead = errors.New("response head contains the beginning of another response")

// containsStatusLine reports whether text contains a protocol version that is followed
// by a status code.
func containsStatusLine(text string) bool {
	const version, rest = "HTTP/1.", "1 200"
	for {
		i := strings.Index(text, version)
		if i < 0 || len(text) < i+len(version)+len(rest) {
			return false
		}
		text = text[i+len(version):]
		if text[1] == ' ' && isDigit(text[0]) && isDigit(text[2]) && isDigit(text[3]) && isDigit(text[4]) {
			return true
		}
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// endsWithConnection reports whether the body of a response has no length and ends with
// its connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkEnd returns an error unless the end of the connection, which was read, completes a
// response. A socket reports a reset once: if the write of the request takes it, the read
// sees an orderly end. So the end proves nothing until the request is written without an
// error.
func checkEnd(ctx context.Context, write *requestWrite) error {
	if err := write.await(ctx); err != nil {
		return fmt.Errorf("connection ended before the request was written: %w", err)
	}
	return nil
}

// errNoMemory is returned for a response that the budget has no room for.
var errNoMemory = errors.New("response body is larger than the memory that is free")

// readBody reads the body of a response into memory of the holder.
func (c *Client) readBody(resp *http.Response, memory *membudget.Holder) ([]byte, error) {
	if resp.Request.Method == http.MethodHead || resp.ContentLength == 0 {
		return nil, nil
	}
	size := int64(firstBodyBytes)
	if resp.ContentLength > 0 {
		size = min(size, resp.ContentLength)
	}
	if !c.grow(memory, size) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		case int64(len(body)) == resp.ContentLength:
			return body, nil
		}
		size = 2 * int64(cap(body))
		if resp.ContentLength > 0 {
			size = min(size, resp.ContentLength)
		}
		// Both buffers exist while the body is copied.
		if !c.grow(memory, size) {
			return nil, errNoMemory
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		memory.Shrink(int64(cap(body)))
		body = grown
	}
}

// grow makes a response hold n bytes more. If there is no room for an ordinary one, it waits
// for responses that their callers read slowly to be given up.
func (c *Client) grow(memory *membudget.Holder, n int64) bool {
	for range roomTries {
		if memory.Grow(n) {
			return true
		}
		if c.makeRoom == nil || !memory.IsOrdinary(n) || !c.makeRoom() {
			return false
		}
		time.Sleep(roomInterval)
	}
	return memory.Grow(n)
}

// classify determines the outcome of a request from its complete response.
func (c *Client) classify(resp *http.Response) Outcome {
	// The header counts in a 421 too: if another server has the address, the intended one
	// has ended.
	outcome := Outcome{Result: schedule.Succeeded, Leaving: announcesLeaving(resp.Header.Get(c.headers.Leaving))}
	if resp.StatusCode != http.StatusMisdirectedRequest { // another server may have the address
		outcome.Limit, outcome.LimitError = parseLimit(resp.Header.Get(c.headers.ServerLimit))
	}
	parseLoad(resp.Header.Get(c.headers.ServerLoad), &outcome.Report)
	status := resp.StatusCode
	if status == http.StatusServiceUnavailable {
		outcome.Pause, outcome.PauseError = parsePause(resp.Header.Get("Retry-After"))
	}
	switch {
	case status == http.StatusMisdirectedRequest:
		outcome.Result, outcome.NotRun = schedule.WrongServer, true
		return outcome
	case resp.Header.Get(c.headers.NotExecuted) != "":
		outcome.Result, outcome.NotRun = schedule.ServerFull, true
		return outcome
	case resp.Header.Get("Content-Encoding") != "":
		outcome.Result, outcome.Cause = schedule.Broken, errors.New("response has a content encoding")
		return outcome
	case status < 300 && resp.Header.Get(c.headers.Signature) == "":
		outcome.Result, outcome.Cause = schedule.Broken, errors.New("response has no signature")
		return outcome
	}
	if status >= 500 {
		outcome.Result = schedule.Failed
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		// To a caller these statuses mean that the request has not run, but the
		// server did not confirm that.
		outcome.Result, outcome.Cause = schedule.Failed, errors.New("server refused the request without confirming that it did not run")
		return outcome
	}
	outcome.Response = &Response{Status: status, Header: resp.Header}
	return outcome
}

// idleTimeout returns the time for which the connection may stay idle, zero if it
// must not be reused.
func (c *Client) idleTimeout(resp *http.Response, write *requestWrite) time.Duration {
	if !write.ended() || write.err != nil {
		return 0 // the request is not completely written
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

// parseLimit parses the rate from the header ServerLimit.
func parseLimit(value string) (schedule.Limit, error) {
	if value == "" {
		return schedule.NoLimit(), nil
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return schedule.Limit{}, fmt.Errorf("limit of requests %q is not a rate", value)
	}
	return schedule.Limit{Stated: true, PerSecond: perSecond}, nil
}

// parsePause parses the seconds of the header Retry-After. A date, which HTTP permits as
// well, is not among the values that servers send.
func parsePause(value string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	if value == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if errors.Is(err, strconv.ErrRange) && seconds > 0 {
		err = nil // more digits than a number holds
	} else if math.IsInf(seconds, 0) {
		err = strconv.ErrSyntax
	}
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, fmt.Errorf("pause %q is not a number of seconds", value)
	}
	return time.Duration(min(seconds, schedule.MaxPause.Seconds()) * float64(time.Second)), nil
}

// announcesLeaving reports whether the value of the header Leaving announces a shutdown.
func announcesLeaving(value string) bool {
	value = strings.TrimSpace(value)
	return value != "" && value != "0"
}

// parseLoad parses the header ServerLoad, which has three or four figures, into a report.
func parseLoad(value string, report *schedule.Report) {
	parts := strings.Split(value, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err1 != nil || err2 != nil {
		return
	}
	report.Running, report.Waiting, report.LoadKnown = running, waiting, true
	if len(parts) == 4 {
		// A figure that is not a percentage leaves the others valid.
		if percent, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err == nil && percent > 0 && !math.IsInf(percent, 0) {
			report.Pace = percent / 100
		}
	}
}
