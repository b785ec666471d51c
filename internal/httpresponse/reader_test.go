package httpresponse

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// Guards against a scanner that depends on how the bytes of a response are divided, that
// looks for status lines in a body, or that misses the one after an interim response.
func TestStatusLinesInPieces(t *testing.T) {
	for text, rest := range map[string]string{ // from the byte that shows the invalid code
		"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 999 X\r\n":    "",
		"HTTP/1.1 200\r\n\r\n":                         "",
		"HTTP/1.1  204 X\n\n":                          "",
		"hello\r\n":                                    "",
		"HTTP/1.1 099 X\r\n":                           "9 X\r\n",
		"HTTP/1.1 2000 X\r\n":                          "0 X\r\n",
		"HTTP/1.1 20\r\n":                              "\r\n",
		"HTTP/1.1" + strings.Repeat(" ", 40) + "999 X": strings.Repeat(" ", 17) + "999 X",
		"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 X\r\n\r\nHTTP/1.1 999 X": "",
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 102\n\nHTTP/1.1 199 X":                    "9 X",
	} {
		for _, size := range []int{1, 2, 7, len(text)} {
			var s scanner
			s.expect()
			read, err := 0, error(nil)
			for part := text; len(part) > 0 && err == nil; part = part[min(size, len(part)):] {
				var n int
				n, err = s.scan([]byte(part[:min(size, len(part))]))
				read += n
			}
			NewWithT(t).Expect(text[read:]).To(Equal(rest), "%q in pieces of %d", text, size)
			NewWithT(t).Expect(err != nil).To(Equal(rest != ""), "%q in pieces of %d: %v", text, size, err)
		}
		if !strings.HasPrefix(text, "HTTP/1.1 10") {
			r := NewReader(iotest.OneByteReader(strings.NewReader(text)), 16)
			resp, err := r.ReadResponse(nil)
			if err == nil {
				_ = resp.Body.Close()
			}
			NewWithT(t).Expect(errors.Is(err, ErrStatusCode)).To(Equal(rest != ""), "%q: %v", text, err)
		}
	}
}
