package frontend

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	pathPrefix = "/v1/"
	// Customer and service names are limited because metrics and logs contain
	// them.
	maxNameBytes        = 64
	maxKeyBytes         = 512
	maxContentTypeBytes = 256
)

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.CodeBadRequest, verdict.NotRun, format, args...)
}

// parseRequest validates a request and returns it with its timeout. now is the
// wall clock time.
func parseRequest(r *http.Request, now time.Time) (*request.Request, time.Duration, error) {
	if headBytes(r) > request.MaxHeaderBytes {
		return nil, 0, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request head exceeds %d bytes", request.MaxHeaderBytes)
	}
	if r.ContentLength > request.MaxBodyBytes {
		return nil, 0, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request body exceeds %d bytes", request.MaxBodyBytes)
	}
	req := &request.Request{Method: r.Method, ContentType: r.Header.Get("Content-Type"), Body: r.Body, Size: r.ContentLength}
	p := &headerParser{header: r.Header}
	if err := parsePath(r.URL, req); err != nil {
		return nil, 0, err
	}
	req.Customer = topology.Customer(p.name(HeaderCustomer))
	req.Key = p.value(HeaderKey, maxKeyBytes)
	if req.Key == "" {
		p.fail("header %s is required", HeaderKey)
	}
	if len(req.ContentType) > maxContentTypeBytes || !printable(req.ContentType) {
		p.fail("header Content-Type must be printable and at most %d bytes", maxContentTypeBytes)
	}
	req.Class = request.Class(p.oneOf(HeaderClass, string(request.Interactive), string(request.Background)))
	req.Repeatable = p.oneOf(HeaderRepeatable, "false", "true") == "true"
	timeout := p.timeout()
	req.ID = p.requestID(req.Repeatable, now)
	if p.err != nil {
		return nil, 0, p.err
	}
	return req, timeout, nil
}

// headBytes returns the size of the request line and the headers.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// parsePath splits /v1/{service}/{path} into the service and the path at the
// server. The path stays escaped, so that an escaped slash or question mark keeps
// its meaning.
func parsePath(u *url.URL, req *request.Request) error {
	rest, ok := strings.CutPrefix(u.EscapedPath(), pathPrefix)
	service, path, slash := strings.Cut(rest, "/")
	if !ok || !slash || !isName(service) {
		return badRequest("path must be %s{service}/{path}", pathPrefix)
	}
	for i, segment := range strings.Split(path, "/") {
		unescaped, err := url.PathUnescape(segment)
		last := i == strings.Count(path, "/")
		if err != nil || unescaped == "." || unescaped == ".." || unescaped == "" && !last {
			return badRequest("path of the request has an empty or relative segment")
		}
	}
	req.Service = topology.Service(service)
	req.Path = "/" + path
	if u.RawQuery != "" {
		req.Path += "?" + u.RawQuery
	}
	return nil
}

func isName(s string) bool {
	allowed := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
	}
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, func(r rune) bool { return !allowed(r) }) < 0
}

// printable reports whether s has no control characters and is valid UTF-8, which
// the message encoding between hosts requires.
func printable(s string) bool {
	return utf8.ValidString(s) && strings.IndexFunc(s, unicode.IsControl) < 0
}

// headerParser parses header values and keeps the first error.
type headerParser struct {
	header http.Header
	err    error
}

func (p *headerParser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = badRequest(format, args...)
	}
}

func (p *headerParser) value(name string, limit int) string {
	values := p.header[name]
	if len(values) == 0 {
		return ""
	}
	if len(values) > 1 {
		p.fail("header %s must be sent once", name)
	}
	if len(values[0]) > limit || !printable(values[0]) {
		p.fail("header %s must be printable UTF-8 of at most %d bytes", name, limit)
	}
	return values[0]
}

func (p *headerParser) name(name string) string {
	s := p.value(name, maxNameBytes)
	if !isName(s) {
		p.fail("header %s is required: letters, digits, '-', '_' and '.', at most %d bytes", name, maxNameBytes)
	}
	return s
}

// oneOf returns the value of a header with two values; the first is the default.
func (p *headerParser) oneOf(name, first, second string) string {
	s := p.value(name, maxNameBytes)
	switch s {
	case "":
		return first
	case first, second:
		return s
	}
	p.fail("header %s must be %s or %s, not %q", name, first, second, s)
	return first
}

func (p *headerParser) timeout() time.Duration {
	s := p.value(HeaderTimeout, maxNameBytes)
	if s == "" {
		return defaultTimeout
	}
	ms, err := strconv.ParseUint(s, 10, 32)
	if err != nil || ms == 0 || ms > uint64(request.MaxTimeout.Milliseconds()) {
		p.fail("header %s must be 1 to %d ms, not %q", HeaderTimeout, request.MaxTimeout.Milliseconds(), s)
	}
	return time.Duration(ms) * time.Millisecond
}

func (p *headerParser) requestID(repeatable bool, now time.Time) string {
	s := p.value(HeaderRequestID, maxNameBytes)
	if s == "" {
		if !repeatable {
			p.fail("header %s is required for a request that is not repeatable", HeaderRequestID)
		}
		return ""
	}
	id, err := request.ParseID(s)
	switch {
	case err != nil:
		p.fail("header %s: %v", HeaderRequestID, err)
	case id.Created.Sub(now) > request.MaxIDAhead && p.err == nil:
		p.err = verdict.New(verdict.CodeClock, verdict.NotRun, "creation time in header %s is %s in the future; see header %s",
			HeaderRequestID, id.Created.Sub(now).Round(time.Millisecond), HeaderTime)
	}
	return s
}
