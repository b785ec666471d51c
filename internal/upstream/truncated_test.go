package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// Ends a valid response after each byte, with the end of the connection and with a reset,
// on a new and on a kept connection. Guards against a response without its rest that is
// returned as complete: a success with an empty or a short body, or a refusal.
func TestTruncatedResponses(t *testing.T) {
	for _, c := range []struct {
		name, method, text string
		// complete is the shortest part that is a complete response if the connection
		// ends after it; zero if only the whole response is.
		complete int
	}{
		{name: "length", text: okHead + "Content-Length: 12\r\n\r\nabcdefghijkl"},
		{name: "length first", text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nabcdefghijkl"},
		{name: "no body", text: okHead + "Content-Length: 0\r\n\r\n"},
		{name: "chunks", text: okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n7\r\nfghijkl\r\n0\r\n\r\n"},
		{name: "chunks and trailer", text: okHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nabcde\r\n0\r\nX-T: 1\r\n\r\n"},
		{name: "no length", text: okHead + "\r\nabcdefghijkl", complete: len(okHead) + 2},
		{name: "HTTP/1.0, no length", text: "HTTP/1.0 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\nabc", complete: len("HTTP/1.0 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n")},
		{name: "no content", text: "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nX-Signature: s\r\n\r\n"},
		{name: "HEAD", method: "HEAD", text: okHead + "Content-Length: 12\r\n\r\n"},
		{name: "refusal", text: "HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
		{name: "misdirected", text: "HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"},
		{name: "interim response", text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okResponse},
	} {
		for _, how := range []string{"closed", "reset", "closed, kept connection"} {
			t.Run(c.name+", "+how, func(t *testing.T) {
				// The id has the length of its placeholder, so that the cuts are those of text.
				const id = "x1"
				text := strings.ReplaceAll(c.text, "ID", id)
				var wrong []string
				for cut := range len(text) {
					if cut >= c.complete && c.complete > 0 && how != "reset" {
						break
					}
					out := truncatedExchange(t, text[:cut], how, c.method, id)
					if out.Response != nil || out.NotRun {
						wrong = append(wrong, fmt.Sprintf("cut after %q: %+v", text[:cut], out))
					}
				}
				g := NewWithT(t)
				g.Expect(wrong).To(BeEmpty())
				if how != "reset" {
					whole := truncatedExchange(t, text, how, c.method, id)
					g.Expect(whole.Response != nil || whole.NotRun).To(BeTrue(), "the whole response: %v", whole.Cause)
				}
			})
		}
	}
}

// truncatedExchange sends a request to a server that responds with text and then ends
// the connection.
func truncatedExchange(t *testing.T, text, how, method, id string) upstream.Outcome {
	t.Helper()
	first := respond(text, false)
	if how == "reset" {
		first = thenReset(first)
	}
	kept := strings.Contains(how, "kept")
	if kept {
		last := first
		first = func(c net.Conn, br *bufio.Reader) bool {
			return respond(okResponse, true)(c, br) && last(c, br)
		}
	}
	address, _ := startServer(t, first)
	client := upstream.New(headers, membudget.New(testMemory))
	if kept {
		out := client.Do(t.Context(), "s", address, time.Now().Add(5*time.Second), request("before", ""))
		NewWithT(t).Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
	}
	r := request(id, "")
	if method != "" {
		r.Method = method
	}
	return client.Do(t.Context(), "s", address, time.Now().Add(5*time.Second), r)
}
