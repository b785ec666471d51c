package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedConn is a connection of which the response and the end are read after the first
// write. Later writes wait until the end was read, and then for writeTime; they return
// writeErr.
type scriptedConn struct {
	net.Conn
	response  io.Reader
	sent      chan struct{} // closed at the first write
	ended     chan struct{} // closed once the end was read
	closed    chan struct{}
	writes    int
	writeTime time.Duration
	writeErr  error
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.sent
	n, err := c.response.Read(p)
	if err == io.EOF {
		close(c.ended)
	}
	return n, err
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		close(c.sent)
		return len(p), nil
	}
	select {
	case <-c.ended:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	select {
	case <-time.After(c.writeTime):
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return len(p), nil
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against the part of a response without a length that is returned as complete
// because the write of the request has taken the reset of the connection, and against whole
// responses that are lost beside it.
func TestConnectionEndsDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, response string
		size           int
		writeTime      time.Duration
		writeErr       error
		broken         bool
	}{
		{name: "write takes the reset", response: head + "\r\nbody", size: 8 << 20, writeErr: net.ErrClosed, broken: true},
		{name: "write takes the reset, returns later", response: head + "\r\nbody", size: 8 << 20, writeTime: 30 * time.Millisecond, writeErr: net.ErrClosed, broken: true},
		{name: "server reads nothing", response: head + "\r\nbody", size: 8 << 20, writeTime: time.Hour, broken: true},
		{name: "server reads on", response: head + "\r\nbody", size: 256 << 10, writeTime: 60 * time.Millisecond},
		{name: "request written", response: head + "\r\nbody", size: 10},
		{name: "with length", response: head + "Content-Length: 4\r\n\r\nbody", size: 8 << 20, writeErr: net.ErrClosed},
		{name: "in chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", size: 8 << 20, writeErr: net.ErrClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			nc := &scriptedConn{
				response: strings.NewReader(c.response), sent: make(chan struct{}), ended: make(chan struct{}), closed: make(chan struct{}), writeTime: c.writeTime, writeErr: c.writeErr,
			}
			client := &http.Client{Transport: Transport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return nc, nil }})}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://store/", strings.NewReader(strings.Repeat("x", c.size)))
			g.Expect(err).NotTo(HaveOccurred())
			start := time.Now()
			resp, err := client.Do(r)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
			if c.broken {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("body"))
		})
	}
}

// Guards against a broken head that the scanner doesn't see, as its bytes are encrypted.
func TestBrokenHeadsOverTLS(t *testing.T) {
	for head, cause := range map[string]error{"200 OK\r\nX-Note: a": nil, "600 High\r\nX-Note: a": ErrStatusCode, "200 OK\r\nX Note: a": ErrFieldName} {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if nc, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(nc, "HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n")
				_ = nc.Close()
			}
		}))
		transport := server.Client().Transport.(*http.Transport).Clone()
		transport.DialContext = (&net.Dialer{}).DialContext
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		resp, err := Transport(transport).RoundTrip(r)
		if cause == nil {
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
		} else {
			NewWithT(t).Expect(err).To(MatchError(cause))
		}
		server.Close()
	}
}
