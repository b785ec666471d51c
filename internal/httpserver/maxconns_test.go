package httpserver_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/httpserver"
)

// serveFew returns a server with a limit of four connections that refuses the requests of
// connections beyond it. Requests to /N take N milliseconds.
func serveFew(t *testing.T) (*httpserver.Server, string) {
	s := httpserver.New(func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		if r.TooManyConns {
			return &httpserver.Response{Status: http.StatusServiceUnavailable}
		}
		var ms int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &ms)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return &httpserver.Response{Status: http.StatusOK}
	}, func() httpserver.Limits {
		l := limits
		l.MaxConns = 4
		return l
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), l) }()
	return s, l.Addr().String()
}

// Guards against callers without a connection while others hold idle ones: the one that has
// been idle for the longest time is closed.
func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	g := NewWithT(t)
	s, address := serveFew(t)
	var conns []net.Conn
	for range 4 {
		c, br := dial(t, address)
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, _ := readResponse(br)
		g.Expect(status).To(Equal(http.StatusOK))
		conns = append(conns, c)
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(s.Accepting()).To(BeFalse())
	c, br := dial(t, address)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, closes := readResponse(br)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(closes).To(BeFalse())
	_, err := conns[0].Read(make([]byte, 1))
	g.Expect(err).To(Equal(io.EOF), "the first one was idle for the longest time")
	_ = conns[1].SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err = conns[1].Read(make([]byte, 1))
	var ne net.Error
	g.Expect(errors.As(err, &ne) && ne.Timeout()).To(BeTrue(), "the others stay open")
}

// Guards against connections without a bound, and against callers beyond it that learn nothing:
// they get a refusal and are disconnected. Far beyond the bound connections are closed.
func TestTooManyBusyConnections(t *testing.T) {
	g := NewWithT(t)
	s, address := serveFew(t)
	for range 4 {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "GET /1500 HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	g.Eventually(s.ConnCount).Should(Equal(4))
	time.Sleep(50 * time.Millisecond) // the requests are read
	g.Expect(s.Accepting()).To(BeFalse())
	refused, br := dial(t, address)
	g.Eventually(s.ConnCount).Should(Equal(5))
	closed, _ := dial(t, address)
	_, err := closed.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(s.ConnCount()).To(Equal(5))
	_, _ = io.WriteString(refused, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, closes := readResponse(br)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(closes).To(BeTrue())
	g.Eventually(s.Accepting, 4*time.Second).Should(BeTrue())
}

// failingListener fails to accept while failing is set.
type failingListener struct {
	net.Listener
	failing atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that counts as accepting while it has no descriptor left.
func TestAcceptFails(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	l := &failingListener{Listener: inner}
	l.failing.Store(true)
	var failures atomic.Int32
	s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response { return nil }, func() httpserver.Limits { return limits })
	s.OnAcceptError(func(error) { failures.Add(1) })
	t.Cleanup(func() { _ = inner.Close() })
	g.Expect(s.Accepting()).To(BeTrue())
	go func() { _ = s.Serve(context.Background(), l) }()
	g.Eventually(failures.Load).Should(BeNumerically(">", 2))
	g.Expect(s.Accepting()).To(BeFalse())
	l.failing.Store(false)
	_, _ = dial(t, inner.Addr().String())
	g.Eventually(s.Accepting, 500*time.Millisecond).Should(BeTrue(), "at once with the next connection")
}

// Guards against a server that counts as not accepting for as long as the time of day was set
// back, or as accepting at once when it was set forward: only the monotonic clock counts.
func TestAcceptFailureEndsByMonotonicClock(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = inner.Close() })
	l := &failingListener{Listener: inner}
	l.failing.Store(true)
	s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response { return nil }, func() httpserver.Limits { return limits })
	var clk clock.Manual
	s.SetClock(&clk)
	failed := make(chan struct{})
	s.OnAcceptError(func(error) {
		failed <- struct{}{}
		<-failed // no further error until the end of the test
	})
	go func() { _ = s.Serve(context.Background(), l) }()
	<-failed
	clk.Advance(999 * time.Millisecond)
	time.Sleep(1100 * time.Millisecond) // the time of day goes on
	g.Expect(s.Accepting()).To(BeFalse())
	clk.Advance(time.Millisecond)
	g.Expect(s.Accepting()).To(BeTrue())
	close(failed)
	l.failing.Store(false)
}
