package httpresponse

import (
	"io"
	"net/http"
)

// trailerChecker is the body of a response. It returns an error at the end if the fields that
// follow the body are broken.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
	// onError, if set, is called before the error is returned.
	onError func()
}

// checkTrailer makes the body of resp end with an error if the fields after it are broken.
// Only a body in chunks has such fields.
func checkTrailer(resp *http.Response, onError func()) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp, onError: onError}
	}
}

// Read implements io.Reader.
func (t *trailerChecker) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if broken := checkFieldNames(t.resp.Trailer); broken != nil {
		if t.onError != nil {
			t.onError()
		}
		return n, broken
	}
	return n, io.EOF
}
