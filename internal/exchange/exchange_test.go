package exchange_test

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
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// peer is the server's side of one connection.
type peer struct {
	net.Conn
	br     *bufio.Reader
	cancel context.CancelFunc // cancels the caller of the first exchange
}

// read reads one request and returns the head lines that a correct answer has.
func (p *peer) read() (path, head string) {
	r, err := http.ReadRequest(p.br)
	if err != nil {
		return "", ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.URL.Path, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: ran\r\n",
		serverapi.HeaderExchange, r.Header.Get(serverapi.HeaderExchange), serverapi.HeaderVerdict)
}

func (p *peer) send(parts ...string) { _, _ = io.WriteString(p, strings.Join(parts, "")) }

// serve answers each request with its path.
func (p *peer) serve() {
	for {
		path, head := p.read()
		if path == "" {
			_ = p.Close()
			return
		}
		p.send(head, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(path), path))
	}
}

// answerWith reads a request, sends parts after the correct head lines, and
// then closes or serves on.
func answerWith(serveOn bool, parts ...string) func(*peer) {
	return func(p *peer) {
		_, head := p.read()
		p.send(append([]string{head}, parts...)...)
		if !serveOn {
			_ = p.Close()
		}
	}
}

// replaceHead answers with a head that lacks or falsifies a header.
func replaceHead(from, to string) func(*peer) {
	return func(p *peer) {
		_, head := p.read()
		p.send(strings.Replace(head, from, to, 1), "Content-Length: 2\r\n\r\nok")
	}
}

const stall = 5 * time.Second // longer than the deadline of the first exchange

func silent(read bool, parts ...string) func(*peer) {
	return func(p *peer) {
		if read {
			_, head := p.read()
			if len(parts) > 0 {
				p.send(append([]string{head}, parts...)...)
			}
		}
		time.Sleep(stall)
	}
}

func cancelAfter(read bool, parts ...string) func(*peer) {
	return func(p *peer) {
		if read {
			_, head := p.read()
			if len(parts) > 0 {
				p.send(append([]string{head}, parts...)...)
			}
		}
		p.cancel()
		time.Sleep(stall)
	}
}

type faultCase struct {
	name    string
	dial    func(ctx context.Context) error // fault of the first dial
	fault   func(*peer)                     // on the first connection
	size    int                             // of the request body
	code    verdict.Code                    // empty: complete answer
	verdict verdict.Verdict
	inBody  bool // the error is that of the answer's reader
	reused  bool // the next exchange uses the same connection
}

const (
	notRun     = verdict.NotRun
	mayHaveRun = verdict.MayHaveRun
	ran        = verdict.Ran
	failed     = verdict.CodeServerFailed
	broken     = verdict.CodeAnswerBroken
	deadline   = verdict.CodeDeadline
	cancelled  = verdict.CodeCancelled
)

var faultCases = []faultCase{
	{name: "dial refused", dial: func(context.Context) error { return unix.ECONNREFUSED }, code: failed, verdict: notRun},
	{name: "deadline while dialling", dial: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, code: deadline, verdict: notRun},
	{name: "closed before the request is written", fault: func(p *peer) { _ = p.Close() }, code: failed, verdict: notRun},
	{name: "server does not read, deadline", fault: silent(false), code: deadline, verdict: notRun},
	{name: "server does not read, cancel", fault: cancelAfter(false), code: cancelled, verdict: notRun},
	{name: "closed while the head is written", fault: func(p *peer) { _, _ = io.ReadFull(p, make([]byte, 20)); _ = p.Close() }, code: failed, verdict: mayHaveRun},
	{name: "closed while the body is written", size: 100 << 10, fault: func(p *peer) { _, _ = io.ReadFull(p, make([]byte, 9000)); _ = p.Close() }, code: failed, verdict: mayHaveRun},
	{name: "closed after the request is written", fault: func(p *peer) { p.read(); _ = p.Close() }, code: failed, verdict: mayHaveRun},
	{name: "no answer, deadline", fault: silent(true), code: deadline, verdict: mayHaveRun},
	{name: "no answer, cancel", fault: cancelAfter(true), code: cancelled, verdict: mayHaveRun},
	{name: "partial head, closed", fault: answerWith(false, "Content-Le"), code: failed, verdict: mayHaveRun},
	{name: "partial head, deadline", fault: silent(true, "Content-Le"), code: deadline, verdict: mayHaveRun},
	{name: "partial head, cancel", fault: cancelAfter(true, "Content-Le"), code: cancelled, verdict: mayHaveRun},
	{name: "head over the limit", fault: answerWith(false, "X: ", strings.Repeat("x", 20<<10), "\r\n\r\n"), code: failed, verdict: mayHaveRun},
	{name: "not HTTP", fault: func(p *peer) { p.read(); p.send("hello\r\n\r\n") }, code: failed, verdict: mayHaveRun},
	{name: "only interim answers", fault: func(p *peer) { p.read(); p.send(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9)) }, code: failed, verdict: mayHaveRun},
	{name: "interim answer first", fault: func(p *peer) {
		_, head := p.read()
		p.send("HTTP/1.1 103 Early Hints\r\n\r\n", head, "Content-Length: 2\r\n\r\nok")
	}, reused: true},
	{name: "no verdict header", fault: replaceHead(serverapi.HeaderVerdict, "X"), code: failed, verdict: mayHaveRun},
	{name: "unknown verdict", fault: replaceHead(": ran", ": perhaps"), code: failed, verdict: mayHaveRun},
	{name: "answer without exchange id", fault: replaceHead(serverapi.HeaderExchange, "X"), code: failed, verdict: mayHaveRun},
	{name: "answer of another exchange", fault: replaceHead(serverapi.HeaderExchange+": ", serverapi.HeaderExchange+": 1"), code: failed, verdict: mayHaveRun},
	{name: "refusal by the server", fault: func(p *peer) {
		_, head := p.read()
		p.send(strings.Replace(head, "ran\r\n", "not-run\r\nLyr-Error: fence\r\n", 1), "Content-Length: 2\r\n\r\nno")
	}, code: verdict.CodeFence, verdict: notRun, reused: true},
	{name: "refusal before the body is read", size: 100 << 10, fault: func(p *peer) {
		r, _ := http.ReadRequest(p.br)
		p.send("HTTP/1.1 503 X\r\nLyr-Verdict: not-run\r\nLyr-Error: fence\r\nLyr-Exchange: ", r.Header.Get(serverapi.HeaderExchange), "\r\nContent-Length: 0\r\n\r\n")
		_ = p.Close()
	}, code: verdict.CodeFence, verdict: notRun},
	{name: "complete, with length", fault: answerWith(true, "Content-Length: 2\r\n\r\nok"), reused: true},
	{name: "complete, large request", size: 1 << 20, fault: answerWith(true, "Content-Length: 2\r\n\r\nok"), reused: true},
	{name: "complete, chunked", fault: answerWith(true, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), reused: true},
	{name: "complete, server closes", fault: answerWith(false, "Connection: close\r\nContent-Length: 2\r\n\r\nok")},
	{name: "bytes after the answer", fault: answerWith(true, "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")},
	{name: "truncated, with length", fault: answerWith(false, "Content-Length: 9\r\n\r\nok"), code: broken, verdict: ran, inBody: true},
	{name: "truncated, chunked", fault: answerWith(false, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), code: broken, verdict: ran, inBody: true},
	{name: "body without length", fault: answerWith(false, "\r\nok"), code: broken, verdict: ran},
	{name: "over 8 MiB, with length", fault: answerWith(false, "Content-Length: 8388609\r\n\r\nok"), code: broken, verdict: ran},
	{name: "over 8 MiB, chunked", fault: answerWith(false, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", 9), "0\r\n\r\n"), code: broken, verdict: ran, inBody: true},
	{name: "exactly 8 MiB, chunked", fault: answerWith(true, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", 8), "0\r\n\r\n"), reused: true},
	{name: "body stalls, deadline", fault: silent(true, "Content-Length: 9\r\n\r\nok"), code: deadline, verdict: ran, inBody: true},
	{name: "body stalls, cancel", fault: cancelAfter(true, "Content-Length: 9\r\n\r\nok"), code: cancelled, verdict: ran, inBody: true},
}

// Guards against a wrong verdict at each point of the exchange, and against the
// reuse of a connection on which an exchange was abandoned: the exchange after
// the fault must get its own answer.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFault(t, c) })
		})
	}
}

func runFault(t *testing.T, c faultCase) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	dials := 0
	client := exchange.NewClientWithDialer(1, func(ctx context.Context, _, _ string) (net.Conn, error) {
		dials++
		if dials == 1 && c.dial != nil {
			return nil, c.dial(ctx)
		}
		ours, theirs := net.Pipe()
		p := &peer{Conn: theirs, br: bufio.NewReader(theirs), cancel: cancel}
		first := dials == 1
		go func() {
			if first {
				c.fault(p)
			}
			p.serve()
		}()
		return ours, nil
	})

	code, v, inBody := attempt(ctx, client, "/first", strings.Repeat("x", c.size), "")
	g.Expect(code).To(Equal(c.code))
	if c.code != "" {
		g.Expect(v).To(Equal(c.verdict), "verdict %s", v)
	}
	g.Expect(inBody).To(Equal(c.inBody))

	code, _, _ = attempt(t.Context(), client, "/second", "", "/v1/run/second")
	g.Expect(code).To(BeEmpty())
	g.Expect(dials == 1).To(Equal(c.reused), "dials: %d", dials)
	client.Close()
	time.Sleep(stall) // ends the scripts
}

// attempt carries out one exchange and reads the answer.
func attempt(ctx context.Context, client *exchange.Client, path, body, want string) (code verdict.Code, v verdict.Verdict, inBody bool) {
	req := &request.Request{Service: "booking", Customer: "pewright", Key: "k", ID: "1", Method: http.MethodPost, Path: path}
	req.SetBody([]byte(body))
	ans, err := client.Do(ctx, exchange.Target{Server: "s1", BaseURL: "http://127.0.0.1:1"}, req)
	if err != nil {
		e := verdict.From(err)
		return e.Code, e.Verdict, false
	}
	defer func() { _ = ans.Body.Close() }()
	got, err := io.ReadAll(ans.Body)
	if err != nil {
		e := verdict.From(err)
		return e.Code, e.Verdict, true
	}
	if want != "" && string(got) != want {
		return verdict.Code("answer " + string(got)), ran, true
	}
	return "", ran, false
}

// Guards against a request that reaches a server twice. The standard transport
// repeats a POST without body and with an Idempotency-Key header when the
// server closes a reused connection; the exchange client must not.
func TestNoRepetition(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(base string) error
		want int32
	}{
		{"http.Transport repeats", func(base string) error {
			req, err := http.NewRequest(http.MethodPost, base+"/v1/run/x", nil)
			if err != nil {
				return err
			}
			req.Header.Set("Idempotency-Key", "1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.Body.Close()
		}, 3},
		{"exchange does not repeat", func() func(string) error {
			client := exchange.NewClient(4)
			return func(base string) error {
				req := &request.Request{Method: http.MethodPost, Path: "/x", ID: "1"}
				ans, err := client.Do(context.Background(), exchange.Target{Server: "s1", BaseURL: base}, req)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, ans.Body)
				return ans.Body.Close()
			}
		}(), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			base, seen := closeSecond(t)
			g.Expect(c.send(base)).To(Succeed())
			err := c.send(base)
			if c.want == 2 {
				g.Expect(verdict.From(err).Verdict).To(Equal(mayHaveRun))
			}
			g.Expect(seen.Load()).To(Equal(c.want))
		})
	}
}

// closeSecond starts a server that closes the connection after it has read the
// second request, and counts the requests.
func closeSecond(t *testing.T) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var seen atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				p := &peer{Conn: conn, br: bufio.NewReader(conn)}
				for {
					path, head := p.read()
					if path == "" || seen.Add(1) == 2 {
						return
					}
					p.send(head, "Content-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), &seen
}

// Guards against more connections to a server than it takes.
func TestConnectionLimit(t *testing.T) {
	for _, limit := range []int{45, 130} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var open, most atomic.Int32
			release := make(chan struct{})
			client := exchange.NewClientWithDialer(1, func(context.Context, string, string) (net.Conn, error) {
				for n, m := open.Add(1), most.Load(); n > m && !most.CompareAndSwap(m, n); {
					m = most.Load()
				}
				ours, theirs := net.Pipe()
				go func() {
					p := &peer{Conn: theirs, br: bufio.NewReader(theirs)}
					_, head := p.read()
					<-release
					p.send(head, "Content-Length: 0\r\n\r\n")
					p.serve()
					open.Add(-1)
				}()
				return ours, nil
			})
			var done atomic.Int32
			for range 3 * limit {
				go func() {
					req := &request.Request{Method: http.MethodGet, Path: "/x"}
					ans, err := client.Do(t.Context(), exchange.Target{BaseURL: "http://127.0.0.1:1", MaxConns: limit}, req)
					if err == nil {
						_, _ = io.Copy(io.Discard, ans.Body)
						done.Add(1)
					}
				}()
			}
			synctest.Wait()
			g.Expect(open.Load()).To(BeEquivalentTo(limit))
			close(release)
			synctest.Wait()
			g.Expect(done.Load()).To(BeEquivalentTo(3 * limit))
			g.Expect(most.Load()).To(BeEquivalentTo(limit))
			client.Close()
		})
	}
}

// Guards against a request that fails because the server closed an idle
// connection: the connection is checked before it is used again.
func TestIdleConnectionClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	closed := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p := &peer{Conn: conn, br: bufio.NewReader(conn)}
			_, head := p.read()
			p.send(head, "Content-Length: 0\r\n\r\n")
			_ = conn.Close()
			closed <- struct{}{}
		}
	}()
	client := exchange.NewClient(2)
	for range 2 {
		req := &request.Request{Method: http.MethodPost, Path: "/x"}
		ans, err := client.Do(t.Context(), exchange.Target{BaseURL: "http://" + l.Addr().String()}, req)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, ans.Body)
		g.Expect(err).NotTo(HaveOccurred())
		<-closed
	}
}
