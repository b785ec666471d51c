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
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// exchanges sends the requests one after the other over one connection in memory. The
// server writes the text of the same index after it has read each request, and closes the
// connection after the last one. It returns the outcome of the last request.
func exchanges(t *testing.T, requests []*upstream.Request, texts []string) upstream.Outcome {
	t.Helper()
	local, remote := net.Pipe()
	dialled := false
	client := upstream.NewWithDialer(headers, membudget.New(testMemory), func(context.Context, string) (net.Conn, error) {
		if dialled {
			return nil, net.ErrClosed
		}
		dialled = true
		return local, nil
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		defer func() { _ = remote.Close() }()
		br := bufio.NewReader(remote)
		for _, text := range texts {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if _, err := io.WriteString(remote, text); err != nil {
				return
			}
		}
	}()
	var out upstream.Outcome
	for _, r := range requests {
		out = client.Do(t.Context(), "s", "a:1", time.Now().Add(5*time.Second), r)
	}
	<-served
	return out
}

func withMethod(method, id string) *upstream.Request {
	r := request(id, "")
	r.Method = method
	return r
}

// Writes the response to an earlier request once more, cut after each byte, before the
// response to the present one. Guards against an outcome that is composed of both: a
// request that ran must not count as refused, and no response may have another status
// or body than that of its server.
func TestCopyOfEarlierResponse(t *testing.T) {
	copies := map[string]string{
		"refusal":                  "HTTP/1.1 503 Service Unavailable\r\nX-Id: first\r\nX-Not-Executed: full\r\nContent-Length: 4\r\n\r\nfull",
		"refusal with the id last": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nX-Not-Executed: full\r\nX-Id: first\r\n\r\nfull",
		"refusal without id":       "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
		"too many requests":        "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: limit\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n",
		"another server":           "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: other\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n",
		"refusal in chunks":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"refusal without length":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nX-Id: first\r\n\r\n",
		"error":                    "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: first\r\nContent-Length: 2\r\n\r\nno",
		"success":                  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: first\r\nContent-Length: 4\r\n\r\nold.",
		"success without body":     "HTTP/1.1 204 No Content\r\nX-Signature: s\r\nX-Id: first\r\n\r\n",
	}
	answers := []struct {
		name, method, text, body string
		status                   int
		notRun                   bool
	}{
		{name: "success", method: "POST", text: "HTTP/1.1 200 OK\r\nX-Id: second\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nnew", body: "new", status: 200},
		{name: "error", method: "POST", text: "HTTP/1.1 500 Internal Server Error\r\nX-Id: second\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad", body: "bad", status: 500},
		{name: "success without body", method: "POST", text: "HTTP/1.1 204 No Content\r\nX-Id: second\r\nX-Signature: s\r\n\r\n", status: 204},
		{name: "success of HEAD", method: "HEAD", text: "HTTP/1.1 200 OK\r\nX-Id: second\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\n", status: 200},
		{name: "refusal", method: "POST", text: "HTTP/1.1 503 Service Unavailable\r\nX-Id: second\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n", notRun: true},
	}
	for name, earlier := range copies {
		for _, a := range answers {
			t.Run(name+" before "+a.name, func(t *testing.T) {
				var wrong []string
				for cut := range len(earlier) + 1 {
					out := exchanges(t, []*upstream.Request{request("first", ""), withMethod(a.method, "second")},
						[]string{strings.ReplaceAll(okResponse, "ID", "first"), earlier[:cut] + a.text})
					switch {
					case out.NotRun && !a.notRun:
						wrong = append(wrong, fmt.Sprintf("cut after %q: counts as not run", earlier[:cut]))
					case out.Response != nil && (out.Response.Status != a.status || string(out.Response.Body) != a.body):
						wrong = append(wrong, fmt.Sprintf("cut after %q: status %d with body %q", earlier[:cut], out.Response.Status, out.Response.Body))
					}
				}
				NewWithT(t).Expect(wrong).To(BeEmpty())
			})
		}
	}
}

// Guards against a copy of a refusal that arrives while its connection is idle and is then
// read as the response to the next request, and against the loss of that request.
func TestCopyOfRefusalOnIdleConnection(t *testing.T) {
	g := NewWithT(t)
	const refusal = "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	for _, after := range []string{refusal, refusal[:40], "f"} {
		address, runs := startServer(t, func(c net.Conn, br *bufio.Reader) bool {
			respond(refusal, true)(c, br)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, strings.ReplaceAll(after, "ID", "first"))
			return true
		})
		client := upstream.New(headers, membudget.New(testMemory))
		out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("first", ""))
		g.Expect(out.NotRun).To(BeTrue())
		time.Sleep(60 * time.Millisecond)
		out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("second", ""))
		g.Expect(out.Result).To(Equal(schedule.Succeeded), "%v", out.Cause)
		g.Expect(string(out.Response.Body)).To(Equal("/second"))
		g.Expect(runs.Load()).To(Equal(int32(1)))
	}
}
