package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

var headers = upstream.Headers{
	RequestID: "X-Id", TimeLeft: "X-Left", Target: "X-Target", Signature: "X-Signature", NotExecuted: "X-Not-Executed", ServerLoad: "X-Load",
	ServerLimit: "X-Limit",
}

// testMemory is the budget of the clients in these tests in bytes.
const testMemory = 16 << 20

// script handles the first exchange on a connection. It returns whether the
// connection stays open.
type script func(c net.Conn, br *bufio.Reader) bool

// startServer starts a server whose first connection begins with a script. The
// server responds to all other requests with their path and counts them.
func startServer(t *testing.T, first script) (address string, requests *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int32)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				if n == 0 && first != nil && !first(c, br) {
					return
				}
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(r.URL.Path), r.URL.Path)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// respond reads a request and writes text with ID replaced by the request's id.
func respond(text string, open bool) script {
	return func(c net.Conn, br *bufio.Reader) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
		return open
	}
}

// thenReset runs a script and resets the connection.
func thenReset(s script) script {
	return func(c net.Conn, br *bufio.Reader) bool {
		s(c, br)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func request(id, body string) *upstream.Request {
	return &upstream.Request{ID: id, Method: "POST", URI: "/" + id, Host: "h", Header: http.Header{}, Body: pieces.Body{[]byte(body)}}
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"

// Guards against wrong results after a fault at each point of an exchange, against
// incomplete responses and those to other requests, and against the reuse of a
// connection with unread bytes: the second request must get its own response.
func TestFaults(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name     string
		first    script
		body     string
		result   schedule.Result
		notRun   bool
		response string // empty: no response is returned
	}{
		{name: "complete", first: respond(okResponse, true), result: schedule.Succeeded, response: "ok"},
		{name: "complete, chunked", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true), result: schedule.Succeeded, response: "ok"},
		{name: "interim response first", first: respond("HTTP/1.1 103 Early Hints\r\n\r\n"+okResponse, true), result: schedule.Succeeded, response: "ok"},
		{name: "late response to another request first", first: respond(strings.ReplaceAll(okResponse, "ID", "other")+okResponse, true), result: schedule.Succeeded, response: "ok"},
		{name: "followed by a second response", first: respond(okResponse+okResponse, true), result: schedule.Succeeded, response: "ok"},
		{name: "followed by more bytes", first: respond(okResponse+"xx", true), result: schedule.Succeeded, response: "ok"},
		{name: "without length, closed", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nok", false), result: schedule.Succeeded, response: "ok"},
		{name: "without length, reset", first: thenReset(respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nok", false)), result: schedule.Broken},
		{name: "truncated", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nok", false), result: schedule.Broken},
		{name: "truncated, chunked", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false), result: schedule.Broken},
		{name: "without signature", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "without id", first: respond("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "with content encoding", first: respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "not HTTP", first: respond("hello hello\r\n\r\n", true), result: schedule.Broken},
		{name: "closed without response", first: respond("", false), result: schedule.Broken},
		{name: "reset without response", first: thenReset(respond("", false)), result: schedule.Broken},
		{name: "closed before the request is read", first: func(net.Conn, *bufio.Reader) bool { return false }, result: schedule.Broken},
		{name: "server error", first: respond("HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", true), result: schedule.Failed, response: "no"},
		{name: "refusal, confirmed as not executed", first: respond("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true), result: schedule.ServerFull, notRun: true},
		{name: "refusal, not confirmed", first: respond("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", true), result: schedule.Failed},
		{name: "too many requests, not confirmed", first: respond("HTTP/1.1 429 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", true), result: schedule.Failed},
		{name: "another server has the address", first: respond("HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", true), result: schedule.WrongServer, notRun: true},
		{name: "no response until the deadline", first: func(_ net.Conn, br *bufio.Reader) bool { _, _ = io.Copy(io.Discard, br); return false }, result: schedule.TimedOut},
		{name: "answer before a long body is read", body: long, first: func(c net.Conn, br *bufio.Reader) bool {
			r, err := http.ReadRequest(br)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(okResponse, "ID", r.Header.Get("X-Id")))
			time.Sleep(50 * time.Millisecond)
			// The rest of the body must follow. A new request on this connection
			// would be read as part of the body.
			n, err := io.Copy(io.Discard, r.Body)
			return err == nil && n == int64(len(long))
		}, result: schedule.Succeeded, response: "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, c.first)
			client := upstream.New(headers, membudget.New(testMemory))
			deadline := time.Now().Add(400 * time.Millisecond)
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			out := client.Do(ctx, "s", address, deadline, request("first", c.body))
			g.Expect(out.Result.String()).To(Equal(c.result.String()), "%v", out.Cause)
			g.Expect(out.NotRun).To(Equal(c.notRun))
			if c.response == "" {
				g.Expect(out.Response).To(BeNil())
			} else {
				g.Expect(string(out.Response.Body)).To(Equal(c.response))
			}
			deadline = time.Now().Add(2 * time.Second)
			out = client.Do(t.Context(), "s", address, deadline, request("second", ""))
			g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
			g.Expect(string(out.Response.Body)).To(Equal("/second"))
		})
	}
}

// Guards against a request that is reported as possibly run although no
// connection was made, and against one that is written twice: http.Transport
// retries some requests when a reused connection is closed.
func TestRequestIsWrittenOnce(t *testing.T) {
	g := NewWithT(t)
	client := upstream.New(headers, membudget.New(testMemory))
	deadline := time.Now().Add(time.Second)
	out := client.Do(t.Context(), "s", "127.0.0.1:1", deadline, request("x", ""))
	g.Expect([]any{out.Result, out.NotRun}).To(Equal([]any{schedule.ConnectFailed, true}))

	var onReused atomic.Int32
	address, onOthers := startServer(t, func(c net.Conn, br *bufio.Reader) bool {
		respond(okResponse, true)(c, br)
		if _, err := http.ReadRequest(br); err == nil {
			onReused.Add(1)
		}
		return false // closes the reused connection without a response
	})
	out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("x", ""))
	g.Expect(out.Result).To(Equal(schedule.Succeeded))
	r := request("y", "")
	r.Header.Set("Idempotency-Key", "1")
	out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), r)
	g.Expect([]any{out.Result, out.NotRun}).To(Equal([]any{schedule.Broken, false}))
	g.Expect(onReused.Load() + onOthers.Load()).To(Equal(int32(1)))
}

// Guards against a limit that is not read from a response of any status, against the
// limit of another server that has the address, and against a value that is no rate.
func TestServerLimit(t *testing.T) {
	named := func(status, limit string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: ID\r\nX-Signature: s\r\nX-Limit: " + limit + "\r\nContent-Length: 2\r\n\r\nok"
	}
	rate := func(perSecond float64) schedule.Limit { return schedule.Limit{Stated: true, PerSecond: perSecond} }
	for _, c := range []struct {
		name, response string
		limit          schedule.Limit
		invalid        bool
	}{
		{name: "no limit", response: okResponse, limit: schedule.NoLimit()},
		{name: "limit with a success", response: named("200 OK", "2.3"), limit: rate(2.3)},
		{name: "limit with a failure", response: named("500 X", "0.5"), limit: rate(0.5)},
		{name: "limit with a refusal", response: named("503 X", "4"), limit: rate(4)},
		{name: "no requests at all", response: named("503 X", "0"), limit: rate(0)},
		{name: "another server has the address", response: named("421 X", "4")},
		{name: "no response", response: ""},
		{name: "truncated response", response: strings.TrimSuffix(named("200 OK", "2.3"), "ok")},
		{name: "not a number", response: named("200 OK", "few"), invalid: true},
		{name: "not finite", response: named("200 OK", "NaN"), invalid: true},
		{name: "negative", response: named("200 OK", "-1"), invalid: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, respond(c.response, false))
			client := upstream.New(headers, membudget.New(testMemory))
			out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("x", ""))
			g.Expect(out.Limit).To(Equal(c.limit))
			g.Expect(out.LimitError != nil).To(Equal(c.invalid))
		})
	}
}

// Guards against a pause that a server asks for and that is not read, or is read from a
// value or a response that states none.
func TestPauseThatServerAsksFor(t *testing.T) {
	asks := func(status, after string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: ID\r\nX-Signature: s\r\nRetry-After: " + after + "\r\nContent-Length: 2\r\n\r\nok"
	}
	for _, c := range []struct {
		name, response string
		pause          time.Duration
		invalid        bool
	}{
		{name: "none", response: strings.Replace(okResponse, "200 OK", "503 X", 1)},
		{name: "whole seconds", response: asks("503 X", "4"), pause: 4 * time.Second},
		{name: "fraction and spaces", response: asks("503 X", " 0.25 "), pause: 250 * time.Millisecond},
		{name: "zero", response: asks("503 X", "0")},
		{name: "huge", response: asks("503 X", "18446744073709551616"), pause: schedule.MaxPause},
		{name: "more digits than a number holds", response: asks("503 X", strings.Repeat("9", 400)), pause: schedule.MaxPause},
		{name: "success", response: asks("200 OK", "4")},
		{name: "another status", response: asks("429 X", "4")},
		{name: "another server has the address", response: asks("421 X", "4")},
		{name: "truncated response", response: strings.TrimSuffix(asks("503 X", "4"), "ok")},
		{name: "date", response: asks("503 X", "Wed, 21 Oct 2026 07:28:00 GMT"), invalid: true},
		{name: "text", response: asks("503 X", "soon"), invalid: true},
		{name: "not finite", response: asks("503 X", "NaN"), invalid: true},
		{name: "infinite", response: asks("503 X", "Inf"), invalid: true},
		{name: "negative", response: asks("503 X", "-1"), invalid: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, respond(c.response, false))
			client := upstream.New(headers, membudget.New(testMemory))
			out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("x", ""))
			g.Expect(out.Pause).To(Equal(c.pause))
			g.Expect(out.PauseError != nil).To(Equal(c.invalid))
		})
	}
}

// Guards against a TimeLeft header with more time than the caller has left.
func TestTimeLeft(t *testing.T) {
	g := NewWithT(t)
	got := make(chan string, 1)
	address, _ := startServer(t, func(_ net.Conn, br *bufio.Reader) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		got <- r.Header.Get("X-Left") + " " + r.Header.Get("X-Target")
		return false
	})
	upstream.New(headers, membudget.New(testMemory)).Do(t.Context(), "s-7", address, time.Now().Add(250*time.Millisecond), request("x", ""))
	var left int
	var target string
	_, err := fmt.Sscanf(<-got, "%d %s", &left, &target)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("~", 235, 16))
	g.Expect(target).To(Equal("s-7"))
}

// Guards against idle connections that hold all sockets of a host.
func TestIdleConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
		w.Header().Set(headers.Signature, "s")
		time.Sleep(20 * time.Millisecond)
	}))
	defer server.Close()
	client := upstream.New(headers, membudget.New(testMemory))
	client.SetMaxIdle(3)
	var calls sync.WaitGroup
	for i := range 10 {
		calls.Go(func() {
			r := upstream.Request{ID: strconv.Itoa(i), Method: "GET", URI: "/", Host: "h"}
			client.Do(t.Context(), "s", server.Listener.Addr().String(), time.Now().Add(time.Second), &r)
		})
	}
	calls.Wait()
	g.Expect(client.IdleCount()).To(Equal(3))
	g.Expect(client.CloseIdle()).To(Equal(3))
	g.Expect(client.IdleCount()).To(BeZero())
}
