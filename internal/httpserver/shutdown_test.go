package httpserver_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/httpserver"
)

const getRequest = "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n"

// slowConn is a connection of a process that is slow: the result of a read reaches
// its caller only once gate is closed.
type slowConn struct {
	net.Conn
	gate chan struct{}
	// beforeWake is called when a read deadline in the past is set for the first
	// time.
	beforeWake func()
	once       sync.Once
	waitFirst  bool // whether a read waits for gate before it begins
}

func (c *slowConn) Read(b []byte) (int, error) {
	if c.waitFirst {
		<-c.gate
	}
	n, err := c.Conn.Read(b)
	<-c.gate
	return n, err
}

func (c *slowConn) SetReadDeadline(t time.Time) error {
	if c.beforeWake != nil && !t.IsZero() && t.Before(time.Now().Add(-time.Hour)) {
		c.once.Do(c.beforeWake)
	}
	return c.Conn.SetReadDeadline(t)
}

// slowListener returns its connections as slowConn.
type slowListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// serveSlowly starts a server on slow connections.
func serveSlowly(t *testing.T, wrap func(net.Conn) net.Conn) (*httpserver.Server, string) {
	s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: http.StatusOK}
	}, func() httpserver.Limits { return limits })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), slowListener{Listener: l, wrap: wrap}) }()
	return s, l.Addr().String()
}

// Guards against a request that the process has read from an idle connection and
// that ends without a response, because the shutdown closes the connection while
// the reader waits for the processor.
func TestShutdownAnswersRequestThatWasRead(t *testing.T) {
	g := NewWithT(t)
	gate := make(chan struct{})
	s, address := serveSlowly(t, func(c net.Conn) net.Conn { return &slowConn{Conn: c, gate: gate} })
	c, br := dial(t, address)
	_, err := io.WriteString(c, getRequest)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond) // the read returns, its result waits for gate
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	time.Sleep(700 * time.Millisecond)
	close(gate)
	status, _, closes := readResponse(br)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(closes).To(BeTrue())
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

// Guards against a request that has arrived when the shutdown closes its idle
// connection, and that ends with a reset because nobody has read it.
func TestShutdownAnswersRequestThatHasArrived(t *testing.T) {
	g := NewWithT(t)
	gate := make(chan struct{})
	arrives := make(chan struct{})
	s, address := serveSlowly(t, func(c net.Conn) net.Conn {
		return &slowConn{Conn: c, gate: gate, waitFirst: true, beforeWake: func() {
			close(arrives)
			time.Sleep(50 * time.Millisecond)
			time.AfterFunc(20*time.Millisecond, func() { close(gate) })
		}}
	})
	c, br := dial(t, address)
	go func() {
		<-arrives
		_, _ = io.WriteString(c, getRequest)
	}()
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	status, text, closes := readResponse(br)
	g.Expect(status).To(Equal(http.StatusOK), text)
	g.Expect(closes).To(BeTrue())
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

// Guards against connections that were accepted when the shutdown begins, or
// shortly after it, and are closed although their requests have been sent.
func TestShutdownServesNewConnections(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, nil)
	busy, busyReader := dial(t, address)
	_, err := io.WriteString(busy, "GET /300 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	for range 5 {
		c, br := dial(t, address)
		_, err := io.WriteString(c, getRequest)
		g.Expect(err).NotTo(HaveOccurred())
		status, text, closes := readResponse(br)
		g.Expect(status).To(Equal(http.StatusOK), text)
		g.Expect(closes).To(BeTrue())
	}
	status, _, closes := readResponse(busyReader)
	g.Expect([]any{status, closes}).To(Equal([]any{http.StatusOK, true}))
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

// Sends requests on open connections, each after the response to the one before,
// until the connection is closed. Guards against a request without a response
// around a planned stop: a connection may end only after a response that announces
// it, or before the request is written.
func TestShutdownUnderLoad(t *testing.T) {
	g := NewWithT(t)
	s, address := serve(t, nil)
	const callers = 40
	lost := make(chan string, callers)
	var wg sync.WaitGroup
	for n := range callers {
		c, br := dial(t, address)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				if _, err := io.WriteString(c, "GET /5 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					lost <- err.Error()
					return
				}
				status, text, closes := readResponse(br)
				if status != http.StatusOK {
					lost <- text
					return
				}
				if closes {
					return
				}
				time.Sleep(time.Duration(n%10) * 20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	g.Expect(s.Shutdown(context.Background())).To(Succeed())
	wg.Wait()
	g.Expect(lost).To(BeEmpty())
}

// Guards against responses that are ready and are lost when the process ends, because
// they wait for the one to a long request: while the server stops, nothing is read
// behind a request without a response.
func TestShutdownReadsNothingBehindUnansweredRequest(t *testing.T) {
	g := NewWithT(t)
	var begun atomic.Int32
	s := httpserver.New(func(ctx context.Context, r *httpserver.Request) *httpserver.Response {
		begun.Add(1)
		work := map[string]time.Duration{"/long": time.Second, "/longer": 1200 * time.Millisecond}[r.URL.Path]
		select {
		case <-time.After(work):
		case <-ctx.Done():
			return nil
		}
		return &httpserver.Response{Status: http.StatusOK, Body: []byte(r.URL.Path)}
	}, func() httpserver.Limits { return limits })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(context.Background(), l) }()
	c, br := dial(t, l.Addr().String())
	_, err = io.WriteString(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\nGET /longer HTTP/1.1\r\nHost: h\r\n\r\nGET /short HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(begun.Load, time.Second).Should(Equal(int32(3)))
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(c, "GET /after HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	for _, want := range []struct {
		path   string
		closes bool
	}{{"/long", false}, {"/longer", false}, {"/short", true}} {
		status, text, closes := readResponse(br)
		g.Expect([]any{status, text, closes}).To(Equal([]any{http.StatusOK, want.path, want.closes}))
	}
	_, err = br.ReadByte()
	g.Expect(err).To(HaveOccurred())
	g.Expect(begun.Load()).To(Equal(int32(3)), "requests that were begun")
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

// Guards against a response that is cut off because a further request was on its way when
// the server closed the connection: the closed socket answered it with a reset. The caller
// reads slowly, so the response is still in the buffers of the connection.
func TestCloseWhileRequestIsOnItsWay(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 256<<10)
	for _, test := range []struct {
		name     string
		request  string
		shutdown bool
		status   int
	}{
		{"planned stop", getRequest, true, http.StatusOK},
		{"caller asks for the close", "GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false, http.StatusOK},
		{"rejected request", "GET /0 HTTP/1.1\r\n\r\n", false, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response {
				time.Sleep(100 * time.Millisecond)
				return &httpserver.Response{Status: http.StatusOK, Body: body}
			}, func() httpserver.Limits { return limits })
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = l.Close() })
			go func() { _ = s.Serve(context.Background(), l) }()
			c, br := dial(t, l.Addr().String())
			_, err = io.WriteString(c, test.request)
			g.Expect(err).NotTo(HaveOccurred())
			done := make(chan error, 1)
			if test.shutdown {
				go func() { done <- s.Shutdown(context.Background()) }()
			}
			time.Sleep(300 * time.Millisecond) // the response is written
			for range 3 {
				_, err = io.WriteString(c, getRequest)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(20 * time.Millisecond)
			}
			status, text, closes := readResponse(br)
			g.Expect(status).To(Equal(test.status), text)
			g.Expect(closes).To(BeTrue())
			if status == http.StatusOK {
				g.Expect(text).To(HaveLen(len(body)))
			}
			if test.shutdown {
				_ = c.Close()
				g.Eventually(done, 2*time.Second).Should(Receive(BeNil()))
			}
		})
	}
}
