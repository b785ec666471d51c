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
// after it are broken, or if the connection ends it before the request is written; only
// requests that state the length of their body are followed. Transport replaces the
// DialContext of t.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(nc), nil
	}
	return transport{t}
}

type transport struct{ *http.Transport }

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A connection gets a request only once the response to the one before is complete.
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used = c
			c.expect(r.ContentLength)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkParsedHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	checkTrailer(resp, func() {
		if used != nil {
			_ = used.Close()
		}
	})
	return resp, nil
}

// checkParsedHead checks a head that the scanner may not have seen, as the transport ended
// an interim one elsewhere than the scanner, or the connection is encrypted.
func checkParsedHead(resp *http.Response) error {
	code, _, _ := strings.Cut(resp.Status, " ")
	if err := checkCode([]byte(code)); err != nil {
		return err
	}
	return checkFieldNames(resp.Header)
}
