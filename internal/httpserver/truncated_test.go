package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/httpserver"
)

// Cuts responses to callers after each byte. Guards against a response whose rest is
// lost on the way and that the caller takes for complete.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	for name, r := range map[string]httpserver.Response{
		"body":       {Status: http.StatusOK, Header: http.Header{"X-Signature": {"s"}}, Body: []byte("abcdefghijkl")},
		"no body":    {Status: http.StatusOK, Header: http.Header{"X-Signature": {"s"}}},
		"no content": {Status: http.StatusNoContent, Header: http.Header{"X-Signature": {"s"}}},
		"failure":    {Status: http.StatusBadGateway},
	} {
		for _, connection := range []string{"keep-alive", "close"} {
			t.Run(name+", "+connection, func(t *testing.T) {
				g := NewWithT(t)
				s := httpserver.New(func(context.Context, *httpserver.Request) *httpserver.Response { return &r }, func() httpserver.Limits { return limits })
				l, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = l.Close() }()
				go func() { _ = s.Serve(context.Background(), l) }()
				c, _ := dial(t, l.Addr().String())
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: "+connection+"\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				if connection != "close" {
					g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
				}
				data, err := io.ReadAll(c)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(data).NotTo(BeEmpty())
				for cut := range len(data) + 1 {
					local, remote := net.Pipe()
					go func() {
						_, _ = remote.Write(data[:cut])
						_ = remote.Close()
					}()
					status, body, _ := readResponse(bufio.NewReader(local))
					if cut < len(data) {
						g.Expect(status).To(BeZero(), "cut after %q: status %d with body %q", data[:cut], status, body)
						continue
					}
					g.Expect([]any{status, body}).To(Equal([]any{r.Status, string(r.Body)}))
				}
			})
		}
	}
}
