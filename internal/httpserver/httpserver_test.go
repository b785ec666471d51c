package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/httpserver"
)

var limits = httpserver.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 2 * time.Second}

// serve starts a server whose handler responds to /N after N milliseconds with the
// path and body of the request. The paths of cancelled requests are sent on
// cancelled.
func serve(t *testing.T, cancelled chan<- string) (*httpserver.Server, string) {
	s := httpserver.New(func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		var ms int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &ms)
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-ctx.Done():
			if cancelled != nil {
				cancelled <- r.URL.Path
			}
			return nil
		}
		return &httpserver.Response{Status: 200, Header: http.Header{"X-Path": {r.URL.Path}}, Body: append([]byte(r.URL.Path), r.Content.Bytes()...)}
	}, func() httpserver.Limits { return limits })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), l) }()
	return s, l.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c, bufio.NewReader(c)
}

// readResponse reads one response. It returns its status, its body and whether the
// server closes the connection.
func readResponse(br *bufio.Reader) (int, string, bool) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), true
	}
	return resp.StatusCode, string(body), resp.Close
}

// Sends several pipelined requests. Guards against a request that waits for the
// response to the one before it, and against responses out of order.
func TestPipelinedRequestsRunInParallel(t *testing.T) {
	g := NewWithT(t)
	_, address := serve(t, nil)
	c, br := dial(t, address)
	start := time.Now()
	_, err := io.WriteString(c, "GET /200 HTTP/1.1\r\nHost: h\r\n\r\nGET /190 HTTP/1.1\r\nHost: h\r\n\r\nPOST /10 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxyGET /180 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	for _, want := range []string{"/200", "/190", "/10xy", "/180"} {
		status, body, _ := readResponse(br)
		g.Expect(status).To(Equal(200))
		g.Expect(body).To(Equal(want))
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
}

// Guards against requests that run on after their caller has disconnected.
func TestDisconnectCancelsRequests(t *testing.T) {
	g := NewWithT(t)
	cancelled := make(chan string, 2)
	_, address := serve(t, cancelled)
	c, _ := dial(t, address)
	_, err := io.WriteString(c, "GET /5000 HTTP/1.1\r\nHost: h\r\n\r\nGET /4000 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	g.Eventually(cancelled, time.Second).Should(Receive())
	g.Eventually(cancelled, time.Second).Should(Receive())
}

// Guards against a graceful shutdown that drops pending responses, and against one
// that keeps connections open: the last response must announce the close.
func TestShutdown(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, nil)
	idle, _ := dial(t, address)
	busy, br := dial(t, address)
	_, err := io.WriteString(busy, "GET /150 HTTP/1.1\r\nHost: h\r\n\r\nGET /100 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(30 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	status, body, closes := readResponse(br)
	g.Expect([]any{status, body, closes}).To(Equal([]any{200, "/150", false}))
	status, body, closes = readResponse(br)
	g.Expect([]any{status, body, closes}).To(Equal([]any{200, "/100", true}))
	g.Eventually(done, time.Second).Should(Receive(BeNil()))
	_, err = idle.Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF))
}

// Guards against request smuggling: an invalid request must be rejected, and
// nothing after it may be read as a request.
func TestInvalidRequests(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		status      int
	}{
		{"not HTTP", "hello\r\n\r\n", 400},
		{"no host", "GET /1 HTTP/1.1\r\n\r\n", 400},
		{"header too large", "GET /1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
		{"body too large", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413},
		{"chunked body too large", "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		{"incomplete head", "GET /1 HTTP/1.1\r\nHost: h\r\n", 408},
		{"two lengths", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, address := serve(t, nil)
			conn, br := dial(t, address)
			smuggled := "GET /7 HTTP/1.1\r\nHost: h\r\n\r\n"
			if c.status == 408 {
				smuggled = ""
			}
			_, err := io.WriteString(conn, c.bytes+smuggled)
			g.Expect(err).NotTo(HaveOccurred())
			status, _, closes := readResponse(br)
			g.Expect(status).To(Equal(c.status))
			g.Expect(closes).To(BeTrue())
			status, _, _ = readResponse(br)
			g.Expect(status).To(BeZero(), "a second response")
		})
	}
}

// Guards against a response to a request that follows one with Connection: close.
// Such requests must be ignored.
func TestNoRequestsAfterConnectionClose(t *testing.T) {
	g := NewWithT(t)
	_, address := serve(t, nil)
	c, br := dial(t, address)
	_, err := io.WriteString(c, "GET /50 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	status, body, closes := readResponse(br)
	g.Expect([]any{status, body, closes}).To(Equal([]any{200, "/50", true}))
	status, _, _ = readResponse(br)
	g.Expect(status).To(BeZero())
}

// Guards against idle connections that are closed before the idle timeout or kept
// longer.
func TestIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	_, address := serve(t, nil)
	c, br := dial(t, address)
	for range 2 {
		time.Sleep(limits.IdleTimeout * 8 / 10)
		_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		status, _, _ := readResponse(br)
		g.Expect(status).To(Equal(200))
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	start := time.Now()
	_, err := br.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(time.Since(start)).To(BeNumerically("~", limits.IdleTimeout, 500*time.Millisecond))
}

// The caller half-closes the connection while a slow request runs and the next one
// has finished. Guards against a response that the caller would match with the
// wrong request: the slow request gets none, so no other response may be written.
func TestNoResponseAfterAMissingOne(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := httpserver.New(func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		if r.URL.Path == "/slow" {
			<-ctx.Done()
			return nil
		}
		return &httpserver.Response{Status: http.StatusOK, Header: make(http.Header), Body: []byte("fast")}
	}, func() httpserver.Limits { return limits })
	go func() { _ = s.Serve(t.Context(), l) }()
	c, br := dial(t, l.Addr().String())
	_, err = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /fast HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	data, _ := io.ReadAll(br)
	g.Expect(string(data)).To(BeEmpty())
}
