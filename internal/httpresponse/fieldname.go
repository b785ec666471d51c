package httpresponse

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrFieldName is the cause of the error for a response with an invalid field name.
var ErrFieldName = errors.New("invalid field name")

// checkFieldNameByte returns an error unless a field name may contain b. A line that begins
// with a blank could also go on with the value of the field before (obs-fold); a gateway may
// reject such a response (RFC 9112, section 5.2).
func checkFieldNameByte(b byte) error {
	if !httpguts.IsTokenRune(rune(b)) {
		return errFieldNameByte(b)
	}
	return nil
}

func errFieldNameByte(b byte) error { return fmt.Errorf("%w: it contains %q", ErrFieldName, b) }

// checkFieldNames returns an error if the name of a field is invalid.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w %.40q", ErrFieldName, name)
		}
	}
	return nil
}
