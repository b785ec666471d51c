package httpresponse

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrStatusCode is the cause of the error for a response with an invalid status code.
var ErrStatusCode = errors.New("invalid status code")

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
	return fmt.Errorf("%w %.8q", ErrStatusCode, code)
}

func isInterim(code []byte) bool {
	switch string(code) {
	case "100", "102", "103":
		return true
	}
	return false
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// parseStatusLine checks the beginning of a response. It returns the code of its status
// line, and done once no more bytes are needed. What is no status line has no code and no
// error: the parser of the head rejects it.
func parseStatusLine(text []byte) (code []byte, done bool, err error) {
	version, rest, found := bytes.Cut(text, []byte(" "))
	if bytes.IndexByte(version, '\n') >= 0 {
		return nil, true, nil
	}
	rest = bytes.TrimLeft(rest, " ")
	switch {
	case !found:
		return nil, len(text) >= maxVersionLen, nil
	case len(rest) == 0 && len(text) >= maxVersionLen:
		return nil, false, ErrStatusCode
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
