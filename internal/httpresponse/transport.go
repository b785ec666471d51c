package httpresponse

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// Transport returns a RoundTripper that carries out requests with t, without HTTP/2 and
// TLS, and fails those whose response has a broken head. The connection of such a
// response is closed before t can use it again. The body ends with an error if the fields
// after it are broken. Transport replaces the DialContext of t.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, checked: checkedReader{r: nc}}, nil
	}
	return transport{t}
}

type transport struct{ *http.Transport }

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A connection gets a request only once the response to the one before is complete.
	var nc net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		nc = info.Conn
		if c, ok := nc.(*conn); ok {
			c.checked.scanner.expect()
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	// An interim head that the transport ends elsewhere than scanner would hide the code.
	code, _, _ := strings.Cut(resp.Status, " ")
	if err := checkCode([]byte(code)); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	checkTrailer(resp, func() { _ = nc.Close() })
	return resp, nil
}

// conn checks the heads of the responses that are read from it.
type conn struct {
	net.Conn
	checked checkedReader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.checked.Read(p) }
