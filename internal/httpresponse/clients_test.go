package httpresponse_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
)

// startServer starts a server that responds to each request with text and keeps the
// connection open. It returns its base URL.
func startServer(t *testing.T, text string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
			t.Cleanup(func() { _ = nc.Close() })
			_, _ = io.WriteString(nc, text)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against broken responses that the clients of lyrouter use or wait for.
func TestClientsRejectBrokenHeads(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, baseURL string) (string, error){
		"log, append": func(ctx context.Context, baseURL string) (string, error) {
			_, err := platformlog.NewClient(baseURL).Append(ctx, "s", []byte("x"))
			return `{"offset":1}`, err
		},
		"log, read": func(ctx context.Context, baseURL string) (string, error) {
			_, err := platformlog.NewClient(baseURL).Read(ctx, "s", 0, 1, 0)
			return `{}`, err
		},
		"host list": func(ctx context.Context, baseURL string) (string, error) {
			_, err := hostlist.NewClient(baseURL).Hosts(ctx)
			return `[]`, err
		},
		"leases of a server": func(ctx context.Context, baseURL string) (string, error) {
			_, err := serverapi.NewClient(baseURL).UpdateLease(ctx, serverapi.LeaseRequest{})
			return `{}`, err
		},
	} {
		for _, c := range []struct {
			name, head string
			valid      bool
		}{
			{name: "whole", head: "200 OK\r\nX-Note: a", valid: true},
			{name: "status 000", head: "000 Zero\r\nX-Note: a"},
			{name: "blank in a name", head: "200 OK\r\nX Note: a"},
			{name: "blank before a colon", head: "200 OK\r\nX-Note : a"},
			{name: "blank before the colon of another length", head: "200 OK\r\nContent-Length : 1"},
		} {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				body, _ := call(t.Context(), "http://127.0.0.1:1")
				text := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", c.head, len(body), body)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := call(ctx, startServer(t, text))
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "held to the deadline")
				g.Expect(err == nil).To(Equal(c.valid), "%v", err)
			})
		}
	}
}
