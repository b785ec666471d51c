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

// serverConn is the server's end of one connection.
type serverConn struct {
	net.Conn
	br     *bufio.Reader
	cancel context.CancelFunc // cancels the context of the first exchange
}

// readRequest reads one request and returns its path and the status line and
// headers of a correct response.
func (s *serverConn) readRequest() (path, head string) {
	r, err := http.ReadRequest(s.br)
	if err != nil {
		return "", ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.URL.Path, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: ran\r\n",
		serverapi.HeaderExchange, r.Header.Get(serverapi.HeaderExchange), serverapi.HeaderVerdict)
}

func (s *serverConn) send(parts ...string) { _, _ = io.WriteString(s, strings.Join(parts, "")) }

// serve responds to each request with its path.
func (s *serverConn) serve() {
	for {
		path, head := s.readRequest()
		if path == "" {
			_ = s.Close()
			return
		}
		s.send(head, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(path), path))
	}
}

// respondWith reads a request, sends parts after the correct headers, and then
// closes the connection or serves more requests.
func respondWith(serveOn bool, parts ...string) func(*serverConn) {
	return func(s *serverConn) {
		_, head := s.readRequest()
		s.send(append([]string{head}, parts...)...)
		if !serveOn {
			_ = s.Close()
		}
	}
}

// replaceInHead responds with a head in which a header is missing or wrong.
func replaceInHead(from, to string) func(*serverConn) {
	return func(s *serverConn) {
		_, head := s.readRequest()
		s.send(strings.Replace(head, from, to, 1), "Content-Length: 2\r\n\r\nok")
	}
}

const stallTime = 5 * time.Second // longer than the deadline of the first exchange

// stallAfter reads a request if read is true, sends the correct headers and parts
// if there are parts, and then sends nothing more.
func stallAfter(read bool, parts ...string) func(*serverConn) {
	return func(s *serverConn) {
		if read {
			_, head := s.readRequest()
			if len(parts) > 0 {
				s.send(append([]string{head}, parts...)...)
			}
		}
		time.Sleep(stallTime)
	}
}

// cancelAfter does the same as stallAfter and cancels the exchange.
func cancelAfter(read bool, parts ...string) func(*serverConn) {
	return func(s *serverConn) {
		if read {
			_, head := s.readRequest()
			if len(parts) > 0 {
				s.send(append([]string{head}, parts...)...)
			}
		}
		s.cancel()
		time.Sleep(stallTime)
	}
}

type faultCase struct {
	name    string
	dial    func(ctx context.Context) error // fault of the first dial
	fault   func(*serverConn)               // on the first connection
	size    int                             // of the request body
	code    verdict.Code                    // empty: complete response
	verdict verdict.Verdict
	inBody  bool // the reader of the response body returns the error
	reused  bool // the next exchange uses the same connection
}

const (
	notRun     = verdict.NotRun
	mayHaveRun = verdict.MayHaveRun
	ran        = verdict.Ran
	failed     = verdict.CodeServerFailed
	broken     = verdict.CodeBadResponse
	deadline   = verdict.CodeDeadline
	cancelled  = verdict.CodeCancelled
)

var faultCases = []faultCase{
	{name: "dial refused", dial: func(context.Context) error { return unix.ECONNREFUSED }, code: failed, verdict: notRun},
	{name: "deadline while dialling", dial: func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, code: deadline, verdict: notRun},
	{name: "closed before the request is written", fault: func(s *serverConn) { _ = s.Close() }, code: failed, verdict: notRun},
	{name: "server does not read, deadline", fault: stallAfter(false), code: deadline, verdict: notRun},
	{name: "server does not read, cancel", fault: cancelAfter(false), code: cancelled, verdict: notRun},
	{name: "closed while the head is written", fault: func(s *serverConn) { _, _ = io.ReadFull(s, make([]byte, 20)); _ = s.Close() }, code: failed, verdict: mayHaveRun},
	{name: "closed while the body is written", size: 100 << 10, fault: func(s *serverConn) { _, _ = io.ReadFull(s, make([]byte, 9000)); _ = s.Close() }, code: failed, verdict: mayHaveRun},
	{name: "closed after the request is written", fault: func(s *serverConn) { s.readRequest(); _ = s.Close() }, code: failed, verdict: mayHaveRun},
	{name: "no response, deadline", fault: stallAfter(true), code: deadline, verdict: mayHaveRun},
	{name: "no response, cancel", fault: cancelAfter(true), code: cancelled, verdict: mayHaveRun},
	{name: "partial head, closed", fault: respondWith(false, "Content-Le"), code: failed, verdict: mayHaveRun},
	{name: "partial head, deadline", fault: stallAfter(true, "Content-Le"), code: deadline, verdict: mayHaveRun},
	{name: "partial head, cancel", fault: cancelAfter(true, "Content-Le"), code: cancelled, verdict: mayHaveRun},
	{name: "head over the limit", fault: respondWith(false, "X: ", strings.Repeat("x", 20<<10), "\r\n\r\n"), code: failed, verdict: mayHaveRun},
	{name: "not HTTP", fault: func(s *serverConn) { s.readRequest(); s.send("hello\r\n\r\n") }, code: failed, verdict: mayHaveRun},
	{name: "invalid status, head open", fault: func(s *serverConn) { s.readRequest(); s.send("HTTP/1.1 000 Zero\r\nX-Note: a\r\n") }, code: failed, verdict: mayHaveRun},
	{name: "status 000", fault: replaceInHead("200 OK", "000 Zero"), code: failed, verdict: mayHaveRun},
	{name: "status +20", fault: replaceInHead("200 OK", "+20 Sign"), code: failed, verdict: mayHaveRun},
	{name: "status 199", fault: replaceInHead("200 OK", "199 Misc"), code: failed, verdict: mayHaveRun},
	{name: "status 600", fault: replaceInHead("200 OK", "600 High"), code: failed, verdict: mayHaveRun},
	{name: "status 999", fault: replaceInHead("200 OK", "999 High"), code: failed, verdict: mayHaveRun},
	{name: "invalid field name, head open", fault: respondWith(true, "X-Note : a\r\n"), code: failed, verdict: mayHaveRun},
	{name: "blank in a field name", fault: respondWith(true, "X Note: a\r\nContent-Length: 2\r\n\r\nok"), code: failed, verdict: mayHaveRun},
	{name: "blank before a colon", fault: respondWith(true, "X-Note : a\r\nContent-Length: 2\r\n\r\nok"), code: failed, verdict: mayHaveRun},
	{name: "blank in the name of the length", fault: respondWith(true, "Content-Length : 2\r\n\r\nok"), code: failed, verdict: mayHaveRun},
	{name: "blank in the name of the encoding, closed", fault: respondWith(false, "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), code: failed, verdict: mayHaveRun},
	{name: "blank in the name of the encoding beside a length", fault: respondWith(true, "Content-Length: 12\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), code: failed, verdict: mayHaveRun},
	{name: "folded line", fault: respondWith(true, "X-Note: a\r\n b\r\nContent-Length: 2\r\n\r\nok"), code: failed, verdict: mayHaveRun},
	{name: "control byte in a field name", fault: respondWith(true, "X-\x01Note: a\r\nContent-Length: 2\r\n\r\nok"), code: failed, verdict: mayHaveRun},
	{name: "blank in a field name of an interim response", fault: func(s *serverConn) {
		_, head := s.readRequest()
		s.send("HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n", head, "Content-Length: 2\r\n\r\nok")
	}, code: failed, verdict: mayHaveRun},
	{name: "only interim responses", fault: func(s *serverConn) { s.readRequest(); s.send(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9)) }, code: failed, verdict: mayHaveRun},
	{name: "interim response first", fault: func(s *serverConn) {
		_, head := s.readRequest()
		s.send("HTTP/1.1 103 Early Hints\r\n\r\n", head, "Content-Length: 2\r\n\r\nok")
	}, reused: true},
	{name: "no verdict header", fault: replaceInHead(serverapi.HeaderVerdict, "X"), code: failed, verdict: mayHaveRun},
	{name: "unknown verdict", fault: replaceInHead(": ran", ": perhaps"), code: failed, verdict: mayHaveRun},
	{name: "response without exchange id", fault: replaceInHead(serverapi.HeaderExchange, "X"), code: failed, verdict: mayHaveRun},
	{name: "response to another exchange", fault: replaceInHead(serverapi.HeaderExchange+": ", serverapi.HeaderExchange+": 1"), code: failed, verdict: mayHaveRun},
	{name: "refusal by the server", fault: func(s *serverConn) {
		_, head := s.readRequest()
		s.send(strings.Replace(head, "ran\r\n", "not-run\r\nLyr-Error: fence\r\n", 1), "Content-Length: 2\r\n\r\nno")
	}, code: verdict.CodeFence, verdict: notRun, reused: true},
	{name: "refusal before the body is read", size: 100 << 10, fault: func(s *serverConn) {
		r, _ := http.ReadRequest(s.br)
		s.send("HTTP/1.1 503 X\r\nLyr-Verdict: not-run\r\nLyr-Error: fence\r\nLyr-Exchange: ", r.Header.Get(serverapi.HeaderExchange), "\r\nContent-Length: 0\r\n\r\n")
		_ = s.Close()
	}, code: verdict.CodeFence, verdict: notRun},
	{name: "complete, with length", fault: respondWith(true, "Content-Length: 2\r\n\r\nok"), reused: true},
	{name: "complete, large request", size: 1 << 20, fault: respondWith(true, "Content-Length: 2\r\n\r\nok"), reused: true},
	{name: "complete, chunked", fault: respondWith(true, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), reused: true},
	{name: "complete, server closes", fault: respondWith(false, "Connection: close\r\nContent-Length: 2\r\n\r\nok")},
	{name: "bytes after the response", fault: respondWith(true, "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")},
	{name: "truncated, with length", fault: respondWith(false, "Content-Length: 9\r\n\r\nok"), code: broken, verdict: ran, inBody: true},
	{name: "truncated, chunked", fault: respondWith(false, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), code: broken, verdict: ran, inBody: true},
	{name: "body without length", fault: respondWith(false, "\r\nok"), code: broken, verdict: ran},
	{name: "over 8 MiB, with length", fault: respondWith(false, "Content-Length: 8388609\r\n\r\nok"), code: broken, verdict: ran},
	{name: "over 8 MiB, chunked", fault: respondWith(false, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", 9), "0\r\n\r\n"), code: broken, verdict: ran, inBody: true},
	{name: "exactly 8 MiB, chunked", fault: respondWith(true, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", 8), "0\r\n\r\n"), reused: true},
	{name: "blank in a field name after the body", fault: respondWith(true, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Note: a\r\n\r\n"), code: broken, verdict: ran, inBody: true},
	{name: "without length, reset while a long request is written", size: 1 << 20, fault: func(s *serverConn) {
		r, _ := http.ReadRequest(s.br)
		s.send("HTTP/1.1 200 OK\r\nLyr-Verdict: ran\r\nLyr-Exchange: ", r.Header.Get(serverapi.HeaderExchange), "\r\n\r\npart")
		_ = s.Close()
	}, code: broken, verdict: ran},
	{name: "body stalls, deadline", fault: stallAfter(true, "Content-Length: 9\r\n\r\nok"), code: deadline, verdict: ran, inBody: true},
	{name: "body stalls, cancel", fault: cancelAfter(true, "Content-Length: 9\r\n\r\nok"), code: cancelled, verdict: ran, inBody: true},
}

// Guards against a wrong verdict after a fault at each point of an exchange, and
// against the reuse of a connection with an incomplete exchange: the next exchange
// must get its own response.
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
		clientEnd, serverEnd := net.Pipe()
		s := &serverConn{Conn: serverEnd, br: bufio.NewReader(serverEnd), cancel: cancel}
		first := dials == 1
		go func() {
			if first {
				c.fault(s)
			}
			s.serve()
		}()
		return clientEnd, nil
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
	time.Sleep(stallTime) // until the server goroutines have ended
}

// attempt carries out one exchange and reads the response. If want is not empty
// and differs from the body, it returns an error code with the body.
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
		return verdict.Code("response " + string(got)), ran, true
	}
	return "", ran, false
}

// Guards against a request that is sent twice. http.Transport retries a POST with
// an Idempotency-Key header and without a body when the server closes a reused
// connection; the exchange client must not.
func TestRequestIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(baseURL string) error
		want int32
	}{
		{"http.Transport retries", func(baseURL string) error {
			req, err := http.NewRequest(http.MethodPost, baseURL+"/v1/run/x", nil)
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
		{"exchange does not retry", func() func(string) error {
			client := exchange.NewClient(4)
			return func(baseURL string) error {
				req := &request.Request{Method: http.MethodPost, Path: "/x", ID: "1"}
				ans, err := client.Do(context.Background(), exchange.Target{Server: "s1", BaseURL: baseURL}, req)
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
			baseURL, requests := closeOnSecondRequest(t)
			g.Expect(c.send(baseURL)).To(Succeed())
			err := c.send(baseURL)
			if c.want == 2 {
				g.Expect(verdict.From(err).Verdict).To(Equal(mayHaveRun))
			}
			g.Expect(requests.Load()).To(Equal(c.want))
		})
	}
}

// closeOnSecondRequest starts a server that closes the connection after it has
// read the second request, and counts the requests.
func closeOnSecondRequest(t *testing.T) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				s := &serverConn{Conn: conn, br: bufio.NewReader(conn)}
				for {
					path, head := s.readRequest()
					if path == "" || requests.Add(1) == 2 {
						return
					}
					s.send(head, "Content-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

// Guards against more open connections to a server than its limit.
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
				clientEnd, serverEnd := net.Pipe()
				go func() {
					s := &serverConn{Conn: serverEnd, br: bufio.NewReader(serverEnd)}
					_, head := s.readRequest()
					<-release
					s.send(head, "Content-Length: 0\r\n\r\n")
					s.serve()
					open.Add(-1)
				}()
				return clientEnd, nil
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

// Guards against a request that fails because the server has closed an idle
// connection: the connection must be checked before it is reused.
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
			s := &serverConn{Conn: conn, br: bufio.NewReader(conn)}
			_, head := s.readRequest()
			s.send(head, "Content-Length: 0\r\n\r\n")
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
