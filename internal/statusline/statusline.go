// Package statusline rejects responses with an invalid status code as soon as the code
// has arrived. The standard library accepts any three characters that form a number: it
// takes 199 for an interim response and waits for the next one, and returns 099, 999 and
// +20 to the caller.
package statusline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
)

// ErrInvalid is the cause of the error for a response with an invalid status code.
var ErrInvalid = errors.New("invalid status code")

const (
	// codeLen is the number of digits of a status code.
	codeLen = 3
	// maxVersionLen is more than the length of HTTP/1.1 and the space after it. It bounds
	// what is kept of a beginning without a code.
	maxVersionLen = 32
)

// checkCode returns an error unless code is that of a final response (200 to 599) or of
// one of the interim responses 100, 102 and 103. Other interim responses, such as 101,
// are never asked for.
func checkCode(code []byte) error {
	if len(code) == codeLen && code[0] >= '2' && code[0] <= '5' && isDigit(code[1]) && isDigit(code[2]) {
		return nil
	}
	if isInterim(code) {
		return nil
	}
	return fmt.Errorf("%w %.8q", ErrInvalid, code)
}

func isInterim(code []byte) bool {
	switch string(code) {
	case "100", "102", "103":
		return true
	}
	return false
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// parse checks the beginning of a response. It returns the code of its status line, and
// done once no more bytes are needed. What is no status line has no code and no error: the
// parser of the head rejects it.
func parse(text []byte) (code []byte, done bool, err error) {
	version, rest, found := bytes.Cut(text, []byte(" "))
	if bytes.IndexByte(version, '\n') >= 0 {
		return nil, true, nil
	}
	rest = bytes.TrimLeft(rest, " ")
	switch {
	case !found:
		return nil, len(text) >= maxVersionLen, nil
	case len(rest) == 0 && len(text) >= maxVersionLen:
		return nil, false, ErrInvalid
	case len(rest) == 0:
		return nil, false, nil
	}
	end := bytes.IndexAny(rest, " \r\n")
	if end >= 0 {
		return rest[:end], true, checkCode(rest[:end])
	}
	if len(rest) < codeLen {
		return nil, false, nil
	}
	// The code is longer or complete: it is wrong now, or the next byte decides.
	return nil, false, checkCode(rest)
}

// Await waits for the status code of the response that comes next from br. It returns an
// error if the code is invalid or reading fails, and consumes nothing.
func Await(br *bufio.Reader) error {
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		text, err := br.Peek(br.Buffered())
		if err != nil {
			return err
		}
		if _, done, err := parse(text); done || err != nil {
			return err
		}
	}
}

// Transport returns a RoundTripper that carries out requests with t, without HTTP/2 and
// TLS, and fails those whose response has an invalid status code. The connection of such a
// response is closed before t can use it again. It replaces the DialContext of t.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
	return transport{t}
}

type transport struct{ *http.Transport }

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// A connection gets a request only once the response to the one before is complete.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.scanner.expect()
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
	return resp, nil
}

// conn checks the status lines of the responses that are read from it.
type conn struct {
	net.Conn
	scanner scanner
	err     error // of the next read
}

// Read returns the bytes before an invalid status code, and after them an error. The
// transport sends some requests again if reading fails at the first byte of a response, so
// the error must come later than that.
func (c *conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if sound, invalid := c.scanner.scan(p[:n]); invalid != nil {
		c.err = invalid
		if sound > 0 {
			return sound, nil
		}
		return 0, invalid
	}
	return n, err
}

// scanner finds the status lines of one response and of the interim ones before it in the
// bytes of a connection.
type scanner struct {
	mu    sync.Mutex
	state scannerState
	line  []byte // beginning of the response, in state inStatusLine
	// emptyLine is true if no byte but a carriage return follows the last line feed, in
	// state inInterimHead.
	emptyLine bool
}

type scannerState uint8

const (
	inRest scannerState = iota // nothing is checked
	inStatusLine
	inInterimHead
)

// expect says that the next byte is the first one of a response.
func (s *scanner) expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.line = inStatusLine, s.line[:0]
}

// scan checks the next bytes of the connection. If a status code is invalid, it returns an
// error and the number of bytes before the one that shows it.
func (s *scanner) scan(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range data {
		switch s.state {
		case inRest:
			return len(data), nil
		case inStatusLine:
			s.line = append(s.line, b)
			code, done, err := parse(s.line)
			if err != nil {
				return i, err
			}
			if done {
				s.state, s.emptyLine = inRest, b == '\n'
				if isInterim(code) {
					s.state = inInterimHead
				}
			}
		case inInterimHead:
			switch {
			case b == '\n' && s.emptyLine:
				s.state, s.line = inStatusLine, s.line[:0]
			case b == '\n':
				s.emptyLine = true
			case b != '\r':
				s.emptyLine = false
			}
		}
	}
	return len(data), nil
}
