package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

var headers = upstream.Headers{
	RequestID: "X-Id", TimeLeft: "X-Left", Target: "X-Target", Signature: "X-Signature", NotExecuted: "X-Not-Executed", ServerLoad: "X-Load",
}

// script is what a server does with the first exchange on a connection; it
// returns false if it closes the connection.
type script func(c net.Conn, br *bufio.Reader) bool

// peer is a server whose first connection follows a script and which answers all
// other exchanges with their path.
func peer(t *testing.T, first script) (address string, requests *atomic.Int32) {
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

// answer reads a request and writes the lines, in which ID stands for its id.
func answer(text string, open bool) script {
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

func reset(s script) script {
	return func(c net.Conn, br *bufio.Reader) bool {
		s(c, br)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func request(id, body string) *upstream.Request {
	return &upstream.Request{ID: id, Method: "POST", URI: "/" + id, Host: "h", Header: http.Header{}, Body: []byte(body)}
}

const good = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok"

// Guards, at each point of the exchange, against a verdict that is not true, an
// answer that is not whole or belongs to another request, and the reuse of a
// connection with bytes left over: the second exchange must get its own answer.
func TestFaults(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for _, c := range []struct {
		name   string
		first  script
		body   string
		result schedule.Result
		notRun bool
		answer string // empty: none is passed on
	}{
		{name: "complete", first: answer(good, true), result: schedule.Answered, answer: "ok"},
		{name: "complete, chunked", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true), result: schedule.Answered, answer: "ok"},
		{name: "interim answer first", first: answer("HTTP/1.1 103 Early Hints\r\n\r\n"+good, true), result: schedule.Answered, answer: "ok"},
		{name: "late answer of another request first", first: answer(strings.ReplaceAll(good, "ID", "other")+good, true), result: schedule.Answered, answer: "ok"},
		{name: "extra answer after it", first: answer(good+good, true), result: schedule.Answered, answer: "ok"},
		{name: "bytes after it", first: answer(good+"xx", true), result: schedule.Answered, answer: "ok"},
		{name: "without length, ends", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nok", false), result: schedule.Answered, answer: "ok"},
		{name: "without length, reset", first: reset(answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nok", false)), result: schedule.Broken},
		{name: "truncated", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nok", false), result: schedule.Broken},
		{name: "truncated, chunked", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false), result: schedule.Broken},
		{name: "without signature", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "without id", first: answer("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "encoded", first: answer("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", true), result: schedule.Broken},
		{name: "no HTTP", first: answer("hello hello\r\n\r\n", true), result: schedule.Broken},
		{name: "closed without answer", first: answer("", false), result: schedule.Broken},
		{name: "reset without answer", first: reset(answer("", false)), result: schedule.Broken},
		{name: "closed before it is read", first: func(net.Conn, *bufio.Reader) bool { return false }, result: schedule.Broken},
		{name: "failure of the server", first: answer("HTTP/1.1 500 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", true), result: schedule.Failed, answer: "no"},
		{name: "refusal with statement", first: answer("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true), result: schedule.Full, notRun: true},
		{name: "refusal without statement", first: answer("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno", true), result: schedule.Failed},
		{name: "too many requests, without statement", first: answer("HTTP/1.1 429 X\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", true), result: schedule.Failed},
		{name: "another server has the address", first: answer("HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", true), result: schedule.Elsewhere, notRun: true},
		{name: "silence until the deadline", first: func(_ net.Conn, br *bufio.Reader) bool { _, _ = io.Copy(io.Discard, br); return false }, result: schedule.TimedOut},
		{name: "answer before a long body is read", body: long, first: func(c net.Conn, br *bufio.Reader) bool {
			r, err := http.ReadRequest(br)
			if err != nil {
				return false
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(good, "ID", r.Header.Get("X-Id")))
			time.Sleep(50 * time.Millisecond)
			// What is read now must be the rest of that body: a request in its
			// place would be taken for it, and the next one would not be found.
			n, err := io.Copy(io.Discard, r.Body)
			return err == nil && n == int64(len(long))
		}, result: schedule.Answered, answer: "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := peer(t, c.first)
			client := upstream.New(headers)
			deadline := time.Now().Add(400 * time.Millisecond)
			ctx, cancel := context.WithDeadline(t.Context(), deadline)
			defer cancel()
			out := client.Do(ctx, "s", address, deadline, request("first", c.body))
			g.Expect(out.Result.String()).To(Equal(c.result.String()), "%v", out.Cause)
			g.Expect(out.NotRun).To(Equal(c.notRun))
			if c.answer == "" {
				g.Expect(out.Response).To(BeNil())
			} else {
				g.Expect(string(out.Response.Body)).To(Equal(c.answer))
			}
			deadline = time.Now().Add(2 * time.Second)
			out = client.Do(t.Context(), "s", address, deadline, request("second", ""))
			g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
			g.Expect(string(out.Response.Body)).To(Equal("/second"))
		})
	}
}

// Guards against a request that is counted as possibly run although no
// connection was made, and against one that is written twice: the standard
// transport repeats some requests when a kept connection ends.
func TestNothingIsRepeated(t *testing.T) {
	g := NewWithT(t)
	client := upstream.New(headers)
	deadline := time.Now().Add(time.Second)
	out := client.Do(t.Context(), "s", "127.0.0.1:1", deadline, request("x", ""))
	g.Expect([]any{out.Result, out.NotRun}).To(Equal([]any{schedule.Unreached, true}))

	var seen atomic.Int32
	address, others := peer(t, func(c net.Conn, br *bufio.Reader) bool {
		answer(good, true)(c, br)
		if _, err := http.ReadRequest(br); err == nil {
			seen.Add(1)
		}
		return false // closes the kept connection without an answer
	})
	out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("x", ""))
	g.Expect(out.Result).To(Equal(schedule.Answered))
	r := request("y", "")
	r.Header.Set("Idempotency-Key", "1")
	out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), r)
	g.Expect([]any{out.Result, out.NotRun}).To(Equal([]any{schedule.Broken, false}))
	g.Expect(seen.Load() + others.Load()).To(Equal(int32(1)))
}

// Guards against a server that is told more time than the caller has left.
func TestTimeLeft(t *testing.T) {
	g := NewWithT(t)
	got := make(chan string, 1)
	address, _ := peer(t, func(_ net.Conn, br *bufio.Reader) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		got <- r.Header.Get("X-Left") + " " + r.Header.Get("X-Target")
		return false
	})
	upstream.New(headers).Do(t.Context(), "s-7", address, time.Now().Add(250*time.Millisecond), request("x", ""))
	var left int
	var target string
	_, err := fmt.Sscanf(<-got, "%d %s", &left, &target)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("~", 235, 16))
	g.Expect(target).To(Equal("s-7"))
}
