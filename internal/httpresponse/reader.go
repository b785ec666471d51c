// Package httpresponse reads HTTP/1.1 responses more strictly than the standard library, and
// rejects broken ones as soon as the bytes that show it have arrived.
//
// The standard library accepts any three characters that form a number as a status code: it
// takes 199 for an interim response and waits for the next one, and returns 099, 999 and +20
// to the caller. It also accepts blanks in names of fields and keeps such names as they are,
// so a length with the name "Content-Length " is not the length of the body.
package httpresponse

import (
	"bufio"
	"io"
	"net/http"
)

// Reader is a buffered reader of the responses on one connection. It is not safe for
// concurrent use.
type Reader struct {
	*bufio.Reader
	checked *checkedReader
}

// NewReader returns a reader of the responses that r contains, with a buffer of size bytes.
func NewReader(r io.Reader, size int) *Reader {
	checked := &checkedReader{r: r}
	return &Reader{Reader: bufio.NewReaderSize(checked, size), checked: checked}
}

// ReadResponse reads the next response to a request, or an interim one, like
// http.ReadResponse. It returns an error if the head is broken, and doesn't wait for the
// rest of such a head; the body ends with an error if the fields after it are broken. After
// an error, the connection must not be used again.
func (r *Reader) ReadResponse(req *http.Request) (*http.Response, error) {
	r.checked.scanner.expect()
	// What was read together with the response before has not been checked.
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return nil, err
	}
	if _, err := r.checked.scanner.scan(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r.Reader, req)
	if r.checked.err != nil { // the parser takes a line that ends with an error for a whole one
		return nil, r.checked.err
	}
	if err != nil {
		return nil, err
	}
	checkTrailer(resp, nil)
	return resp, nil
}

// checkedReader returns the bytes of r up to one that its scanner rejects, and after them
// an error. That error must not come with the first byte of a response: http.Transport
// sends some requests again if reading fails there.
type checkedReader struct {
	r       io.Reader
	scanner scanner
	err     error // of the next read
}

// Read implements io.Reader.
func (c *checkedReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(p)
	if sound, invalid := c.scanner.scan(p[:n]); invalid != nil {
		c.err = invalid
		if sound > 0 {
			return sound, nil
		}
		return 0, invalid
	}
	return n, err
}
