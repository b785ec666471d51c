package upstream_test

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

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// respondBeforeBody reads the head of a request, writes text and runs then, which may read
// the body and decides how the connection ends.
func respondBeforeBody(text string, then func(c *net.TCPConn, body io.Reader)) script {
	return func(c net.Conn, br *bufio.Reader) bool {
		r, err := http.ReadRequest(br)
		if err != nil {
			return false
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
		then(c.(*net.TCPConn), r.Body)
		return false
	}
}

// longBody is the longest body of the requests below. It is no garbage, and this file comes
// after endless_test.go: memory that is left by tests before makes the peaks there larger.
var longBody [8 << 20]byte

// upload sends a request with a body of size bytes to a server with the script.
func upload(t *testing.T, size int, s script) (upstream.Outcome, time.Duration) {
	t.Helper()
	address, _ := startServer(t, s)
	client := upstream.New(headers, membudget.New(testMemory))
	r := request("x", "")
	r.Body = pieces.Body{longBody[:size]}
	start := time.Now()
	out := client.Do(t.Context(), "s", address, start.Add(5*time.Second), r)
	return out, time.Since(start)
}

func resetConn(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

// Guards against the part of a response that arrived before a reset and is returned as
// complete: the write of the request may take the reset, and the read then sees the end of
// the connection.
func TestConnectionEndsDuringUpload(t *testing.T) {
	const tries = 4
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		for end, then := range map[string]func(*net.TCPConn, io.Reader){
			"reset":       resetConn,
			"reset later": func(c *net.TCPConn, body io.Reader) { time.Sleep(20 * time.Millisecond); resetConn(c, body) },
			"closed":      func(*net.TCPConn, io.Reader) {},
			"half-closed, reset later": func(c *net.TCPConn, body io.Reader) {
				_ = c.CloseWrite()
				time.Sleep(20 * time.Millisecond)
				resetConn(c, body)
			},
			"half-closed, never read": func(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite(); time.Sleep(3 * time.Second) },
		} {
			for _, size := range []int{8 << 10, 256 << 10, 1 << 20, 8 << 20} {
				if strings.HasPrefix(end, "half-closed") && size < 8<<20 {
					continue // the connection accepts the whole body at once
				}
				t.Run(fmt.Sprint(status, ", ", end, ", ", size), func(t *testing.T) {
					t.Parallel()
					text := "HTTP/1.1 " + status + "\r\nX-Id: ID\r\nX-Signature: s\r\n\r\npart"
					for range tries {
						out, took := upload(t, size, respondBeforeBody(text, then))
						g := NewWithT(t)
						g.Expect(out.Result).To(Equal(schedule.Broken), "%v", out.Cause)
						g.Expect(out.Response).To(BeNil())
						g.Expect(out.NotRun).To(BeFalse())
						g.Expect(took).To(BeNumerically("<", 2*time.Second))
					}
				})
			}
		}
	}
}

// Guards against complete responses that are lost beside the broken ones: those whose
// server has read the request, or reads on after it has ended the response, and those with
// a length.
func TestWholeResponseToUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"
	for name, s := range map[string]script{
		"read, closed": respond(head+"\r\nok", false),
		"half-closed, then read": respondBeforeBody(head+"\r\nok", func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, body)
		}),
		"with length, reset": respondBeforeBody(head+"Content-Length: 2\r\n\r\nok", resetConn),
		"in chunks, reset":   respondBeforeBody(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", resetConn),
		"no content, reset":  respondBeforeBody(strings.Replace(head, "200 OK", "204 No Content", 1)+"\r\n", resetConn),
	} {
		for _, size := range []int{0, 8 << 10, 256 << 10, 1 << 20, 8 << 20} {
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				t.Parallel()
				out, _ := upload(t, size, s)
				NewWithT(t).Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
				if !strings.HasPrefix(name, "no content") {
					NewWithT(t).Expect(string(out.Response.Body)).To(Equal("ok"))
				}
			})
		}
	}
}

// resetInWrite is a connection whose reset is reported to a write that began before the
// end of the connection was read, and returns after it.
type resetInWrite struct {
	net.Conn
	response io.Reader
	ended    chan struct{} // closed once the end was read
}

func (c *resetInWrite) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err == io.EOF {
		close(c.ended)
	}
	return n, err
}

func (c *resetInWrite) Write([]byte) (int, error) {
	<-c.ended
	time.Sleep(20 * time.Millisecond)
	return 100, net.ErrClosed
}

// Guards against a response that is accepted while the write that has taken the reset has
// not returned yet.
func TestWriteTakesReset(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := &resetInWrite{Conn: local, response: strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: x\r\nX-Signature: s\r\n\r\npart"), ended: make(chan struct{})}
	client := upstream.NewWithDialer(headers, membudget.New(testMemory), func(context.Context, string) (net.Conn, error) { return c, nil })
	out := client.Do(t.Context(), "s", "a:1", time.Now().Add(5*time.Second), request("x", strings.Repeat("x", 8<<10)))
	g.Expect(out.Result).To(Equal(schedule.Broken), "%v", out.Cause)
	g.Expect(out.Response).To(BeNil())
}

// halfClosed is a connection of which a response and the end are read. Writes go on.
type halfClosed struct {
	net.Conn
	response io.Reader
}

func (c halfClosed) Read(p []byte) (int, error) { return c.response.Read(p) }

// Guards against a response that is lost because its server, which has ended it, takes long
// to read the rest of the request.
func TestServerReadsOnSlowly(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	go func() {
		for _, err := io.CopyN(io.Discard, remote, 1<<10); err == nil; _, err = io.CopyN(io.Discard, remote, 1<<10) {
			time.Sleep(100 * time.Millisecond)
		}
	}()
	c := halfClosed{Conn: local, response: strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: x\r\nX-Signature: s\r\n\r\nok")}
	client := upstream.NewWithDialer(headers, membudget.New(testMemory), func(context.Context, string) (net.Conn, error) { return c, nil })
	out := client.Do(t.Context(), "s", "a:1", time.Now().Add(5*time.Second), request("x", strings.Repeat("x", 8<<10)))
	g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
}
