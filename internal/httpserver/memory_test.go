package httpserver_test

import (
	"bufio"
	"bytes"
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

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/httpserver"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
)

// serveWithMemory starts a server with so much memory whose handler returns the length of the
// body, counts its requests, and takes as long as the query says.
func serveWithMemory(t *testing.T, total int64) (*membudget.RequestBudget, *atomic.Int32, string) {
	memory, runs := membudget.NewRequestBudget(total, pieces.SlowAfter), new(atomic.Int32)
	s := httpserver.New(func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		runs.Add(1)
		if d, err := time.ParseDuration(r.URL.RawQuery); err == nil {
			time.Sleep(d)
		}
		return &httpserver.Response{Status: http.StatusOK, Body: fmt.Append(nil, r.Content.Len())}
	}, func() httpserver.Limits {
		l := limits
		l.BodyBytes, l.HeaderBytes, l.HeaderTimeout = 4<<20, 16<<10, 10*time.Second
		return l
	})
	s.SetMemory(memory)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), l) }()
	return memory, runs, l.Addr().String()
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// Guards against incomplete requests that keep their memory while an ordinary one finds none,
// against one that yields and runs, or whose caller learns nothing, and against memory that
// is not returned.
func TestIncompleteRequestGivesWay(t *testing.T) {
	for name, incomplete := range map[string]string{
		"body":         post("/", 850<<10) + strings.Repeat("x", 800<<10),
		"chunked body": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8000\r\n" + strings.Repeat("x", 800<<10),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			memory, runs, address := serveWithMemory(t, 1<<20)
			first, firstBr := dial(t, address)
			_, err := io.WriteString(first, incomplete)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(memory.Used).Should(BeNumerically(">", 800<<10))
			second, br := dial(t, address)
			_, err = io.WriteString(second, post("/", 300<<10)+strings.Repeat("x", 300<<10))
			g.Expect(err).NotTo(HaveOccurred())
			status, body, _ := readResponse(br)
			g.Expect([]any{status, body}).To(Equal([]any{http.StatusOK, fmt.Sprint(300 << 10)}))
			status, _, closes := readResponse(firstBr)
			g.Expect([]any{status, closes}).To(Equal([]any{http.StatusServiceUnavailable, true}))
			g.Expect(runs.Load()).To(BeEquivalentTo(1))
			_, _ = first.Close(), second.Close()
			g.Eventually(memory.Used).Should(BeZero())
		})
	}
}

// Guards against heads that are not counted: many callers that each send most of a head.
func TestIncompleteHeadsAreCounted(t *testing.T) {
	g := NewWithT(t)
	memory, runs, address := serveWithMemory(t, 1<<20)
	const callers, head = 20, 12 << 10
	for range callers {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", head))
	}
	// Beside its head, each counts for its connection.
	g.Eventually(memory.Used).Should(BeNumerically(">", callers*(16<<10+2*head)))
	c, br := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, _ := readResponse(br)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(runs.Load()).To(BeEquivalentTo(1))
}

// Guards against bodies that are read although there will be no room for them, and against
// pipelined requests that take the room of others.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	g := NewWithT(t)
	memory, runs, address := serveWithMemory(t, 1<<20)
	c, _ := dial(t, address)
	one := []byte(post("/?1s", 100<<10) + strings.Repeat("x", 100<<10))
	go func() { _, _ = c.Write(bytes.Repeat(one, 30)) }()
	g.Eventually(runs.Load).Should(BeNumerically(">=", 6))
	time.Sleep(50 * time.Millisecond)
	g.Expect(memory.Used()).To(BeNumerically("<=", 1<<20))
	g.Expect(runs.Load()).To(BeNumerically("<=", 10))
	announced, br := dial(t, address)
	_, _ = io.WriteString(announced, post("/", 500<<10))
	status, _, _ := readResponse(br)
	g.Expect(status).To(Equal(http.StatusServiceUnavailable), "before its body was sent")
	small, br := dial(t, address)
	_, _ = io.WriteString(small, post("/", 2)+"xx")
	status, _, _ = readResponse(br)
	g.Expect(status).To(Equal(http.StatusOK))
}

// Guards against pieces that are lost, repeated or counted twice at their borders.
func TestBodiesOfAllSizes(t *testing.T) {
	g := NewWithT(t)
	memory, _, address := serveWithMemory(t, 16<<20)
	c, br := dial(t, address)
	for _, size := range []int{1, 4095, 4096, 4097, 8192, 65536, 131071, 131072, 200000, 4 << 20} {
		_, err := io.WriteString(c, post("/", size)+strings.Repeat("x", size)+
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)))
		g.Expect(err).NotTo(HaveOccurred())
		for range 2 {
			status, body, _ := readResponse(br)
			g.Expect([]any{status, body}).To(Equal([]any{http.StatusOK, fmt.Sprint(size)}))
		}
	}
	_ = c.Close()
	g.Eventually(memory.Used).Should(BeZero())
}

// Guards against callers that do not read and keep the memory of their responses, against
// others that are cut off although they are not slow, and against a cut response that looks
// complete.
func TestSlowReaderGivesWay(t *testing.T) {
	g := NewWithT(t)
	const size = 16 << 20 // more than the kernel holds
	released := make(chan struct{}, 1)
	s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response {
		return &httpserver.Response{Status: http.StatusOK, Body: make([]byte, size), Done: func() { released <- struct{}{} }}
	}, func() httpserver.Limits { return limits })
	clk := new(clock.Manual)
	s.SetClock(clk)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), l) }()
	c, br := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, getRequest)
	_, err = br.Peek(1)
	g.Expect(err).NotTo(HaveOccurred())
	clk.Advance(999 * time.Millisecond)
	g.Expect(s.CloseSlowReader()).To(BeFalse())
	g.Expect(released).NotTo(Receive())
	clk.Advance(time.Millisecond)
	g.Expect(s.CloseSlowReader()).To(BeTrue())
	g.Eventually(released).Should(Receive())
	g.Eventually(s.CloseSlowReader).Should(BeFalse())
	g.Expect(s.SlowReadersClosed()).To(BeEquivalentTo(1))
	status, _, _ := readResponse(br)
	g.Expect(status).To(BeZero())
}

// Guards against callers that are refused because others, which stop before the end of their
// requests, hold all connections.
func TestSlowRequestMakesRoomForANewConnection(t *testing.T) {
	g := NewWithT(t)
	s := httpserver.New(func(_ context.Context, r *httpserver.Request) *httpserver.Response {
		if r.TooManyConns {
			return &httpserver.Response{Status: http.StatusServiceUnavailable}
		}
		return &httpserver.Response{Status: http.StatusOK}
	}, func() httpserver.Limits {
		l := limits
		l.MaxConns, l.HeaderTimeout = 4, 10*time.Second
		return l
	})
	clk := new(clock.Manual)
	s.SetClock(clk)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(context.Background(), l) }()
	var slow []*bufio.Reader
	for _, part := range []string{"GET / HTTP/1.1\r\n", post("/", 10), post("/", 10) + "x", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"} {
		c, br := dial(t, l.Addr().String())
		_, _ = io.WriteString(c, part)
		slow = append(slow, br)
	}
	g.Eventually(s.ConnCount).Should(Equal(4))
	time.Sleep(50 * time.Millisecond) // the parts are read
	newConn := func() int {
		c, br := dial(t, l.Addr().String())
		_, _ = io.WriteString(c, getRequest)
		status, _, _ := readResponse(br)
		return status
	}
	g.Expect(newConn()).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(s.ConnCount, 3*time.Second).Should(Equal(4))
	clk.Advance(pieces.SlowAfter)
	g.Expect(newConn()).To(Equal(http.StatusOK))
	refused := make(chan bool, len(slow))
	for _, br := range slow {
		go func() {
			status, _, closes := readResponse(br)
			refused <- status == http.StatusServiceUnavailable && closes
		}()
	}
	g.Eventually(refused).Should(Receive(BeTrue()), "one of the slow callers learns that its request has not run")
}
