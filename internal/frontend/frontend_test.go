package frontend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

var now = time.UnixMilli(1_700_000_000_000)

// idAt returns a UUIDv7 with the creation time now plus ahead.
func idAt(ahead time.Duration) string {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	ms := now.Add(ahead).UnixMilli()
	for i := 5; i >= 0; i-- {
		u[i] = byte(ms)
		ms >>= 8
	}
	return u.String()
}

// handler returns the caller interface in front of next and stores each request
// in got. If next is nil, it responds with status 200.
func handler(got **request.Request, next request.DoerFunc) http.Handler {
	return frontend.HandlerWithOptions(request.DoerFunc(func(ctx context.Context, req *request.Request) (*request.Response, error) {
		*got = req
		if next != nil {
			return next(ctx, req)
		}
		return (&request.Response{Status: 200, Server: "s1"}).WithBody([]byte("ok")), nil
	}), frontend.Options{Wall: func() time.Time { return now }})
}

func headers(extra ...string) http.Header {
	h := http.Header{"Lyr-Customer": {"pewright"}, "Lyr-Key": {"job 7 ü"}, "Lyr-Request-Id": {idAt(0)}}
	for i := 0; i < len(extra); i += 2 {
		h.Del(extra[i])
		if extra[i+1] != "" {
			h.Set(extra[i], extra[i+1])
		}
	}
	return h
}

// Guards against an invalid request that is passed on, and against a refusal
// without the verdict that the request was not run.
func TestValidation(t *testing.T) {
	repeatedKey := headers()
	repeatedKey["Lyr-Key"] = []string{"a", "b"}
	for _, c := range []struct {
		name    string
		path    string
		header  http.Header
		body    string
		code    verdict.Code // empty: accepted
		message string       // substring of the error message
	}{
		{name: "complete"},
		{name: "no customer", header: headers("Lyr-Customer", ""), code: verdict.CodeBadRequest, message: "Lyr-Customer"},
		{name: "customer with other characters", header: headers("Lyr-Customer", "a/b"), code: verdict.CodeBadRequest, message: "Lyr-Customer"},
		{name: "no key", header: headers("Lyr-Key", ""), code: verdict.CodeBadRequest, message: "Lyr-Key"},
		{name: "repeated key", header: repeatedKey, code: verdict.CodeBadRequest, message: "once"},
		{name: "key too long", header: headers("Lyr-Key", strings.Repeat("k", 513)), code: verdict.CodeBadRequest, message: "512"},
		{name: "key is not UTF-8", header: headers("Lyr-Key", "\xff"), code: verdict.CodeBadRequest, message: "UTF-8"},
		{name: "key with control character", header: headers("Lyr-Key", "a\x01"), code: verdict.CodeBadRequest, message: "printable"},
		{name: "class", header: headers("Lyr-Class", "background")},
		{name: "unknown class", header: headers("Lyr-Class", "urgent"), code: verdict.CodeBadRequest, message: "interactive or background"},
		{name: "unknown repeatable", header: headers("Lyr-Repeatable", "yes"), code: verdict.CodeBadRequest, message: "false or true"},
		{name: "timeout not a number", header: headers("Lyr-Timeout", "1s"), code: verdict.CodeBadRequest, message: "30000"},
		{name: "timeout zero", header: headers("Lyr-Timeout", "0"), code: verdict.CodeBadRequest, message: "30000"},
		{name: "timeout negative", header: headers("Lyr-Timeout", "-5"), code: verdict.CodeBadRequest, message: "30000"},
		{name: "timeout at the limit", header: headers("Lyr-Timeout", "30000")},
		{name: "timeout over the limit", header: headers("Lyr-Timeout", "30001"), code: verdict.CodeBadRequest, message: "30000"},
		{name: "no id", header: headers("Lyr-Request-Id", ""), code: verdict.CodeBadRequest, message: "not repeatable"},
		{name: "no id, repeatable", header: headers("Lyr-Request-Id", "", "Lyr-Repeatable", "true")},
		{name: "id is not a UUID", header: headers("Lyr-Request-Id", strings.Repeat("z", 36)), code: verdict.CodeBadRequest, message: "not a UUID"},
		{name: "id in another form", header: headers("Lyr-Request-Id", "{"+idAt(0)+"}"), code: verdict.CodeBadRequest, message: "36 characters"},
		{name: "id of version 4", header: headers("Lyr-Request-Id", uuid.NewString()), code: verdict.CodeBadRequest, message: "version 7"},
		{name: "invalid id of a repeatable request", header: headers("Lyr-Request-Id", "x", "Lyr-Repeatable", "true"), code: verdict.CodeBadRequest, message: "Lyr-Request-Id"},
		{name: "id 500 ms ahead", header: headers("Lyr-Request-Id", idAt(500*time.Millisecond))},
		{name: "id 501 ms ahead", header: headers("Lyr-Request-Id", idAt(501*time.Millisecond)), code: verdict.CodeClock, message: "501ms"},
		{name: "content type too long", header: headers("Content-Type", strings.Repeat("x", 257)), code: verdict.CodeBadRequest, message: "Content-Type"},
		{name: "head at the limit", header: headers("X-Fill", strings.Repeat("x", 15<<10))},
		{name: "head over the limit", header: headers("X-Fill", strings.Repeat("x", 16<<10)), code: verdict.CodeTooLarge, message: "head"},
		{name: "body at the limit", body: strings.Repeat("x", 1<<20)},
		{name: "body over the limit", body: strings.Repeat("x", 1<<20+1), code: verdict.CodeTooLarge, message: "body"},
		{name: "path with another prefix", path: "/v2/booking/x", code: verdict.CodeBadRequest, message: "/v1/"},
		{name: "no service", path: "/v1//x", code: verdict.CodeBadRequest, message: "/v1/"},
		{name: "no path", path: "/v1/booking", code: verdict.CodeBadRequest, message: "/v1/"},
		{name: "relative path", path: "/v1/booking/../../v1/lease", code: verdict.CodeBadRequest, message: "segment"},
		{name: "escaped relative path", path: "/v1/booking/%2e%2e/lease", code: verdict.CodeBadRequest, message: "segment"},
		{name: "empty segment", path: "/v1/booking/a//b", code: verdict.CodeBadRequest, message: "segment"},
		{name: "escaped slash and query", path: "/v1/booking/a%2Fb%3Fc/?d=e%20f"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var got *request.Request
			if c.path == "" {
				c.path = "/v1/booking/sheet"
			}
			if c.header == nil {
				c.header = headers()
			}
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
			r.Header = c.header
			w := httptest.NewRecorder()
			handler(&got, nil).ServeHTTP(w, r)
			g.Expect(w.Header().Get("Lyr-Time")).To(Equal("1700000000000"))
			if c.code == "" {
				g.Expect(w.Code).To(Equal(200), w.Body.String())
				g.Expect(got.Path).To(Equal(strings.TrimPrefix(c.path, "/v1/booking")))
				g.Expect(got.Size).To(BeEquivalentTo(len(c.body)))
				return
			}
			g.Expect(got).To(BeNil())
			expectError(g, w.Result(), c.code, verdict.NotRun, c.message)
		})
	}
}

func expectError(g *WithT, resp *http.Response, code verdict.Code, v verdict.Verdict, message string) {
	var body frontend.ErrorBody
	g.Expect(json.NewDecoder(resp.Body).Decode(&body)).To(Succeed())
	g.Expect(body.Code).To(Equal(code))
	g.Expect(body.Verdict).To(Equal(v.String()))
	g.Expect(body.Message).To(ContainSubstring(message))
	g.Expect(resp.Header.Get("Lyr-Error")).To(Equal(string(code)))
	g.Expect(resp.Header.Get("Lyr-Verdict")).To(Equal(v.String()))
	g.Expect(resp.StatusCode).To(Equal(verdict.New(code, v, "").Status()))
}

// Guards against error responses that do not have the code and the verdict of
// the error.
func TestErrorResponses(t *testing.T) {
	for _, c := range []struct {
		err     error
		code    verdict.Code
		verdict verdict.Verdict
	}{
		{verdict.New(verdict.CodeUnknownService, verdict.NotRun, "x"), verdict.CodeUnknownService, verdict.NotRun},
		{verdict.New(verdict.CodeUnknownCustomer, verdict.NotRun, "x"), verdict.CodeUnknownCustomer, verdict.NotRun},
		{verdict.New(verdict.CodeBadResponse, verdict.Ran, "x"), verdict.CodeBadResponse, verdict.Ran},
		{verdict.New(verdict.CodeDeadline, verdict.MayHaveRun, "x"), verdict.CodeDeadline, verdict.MayHaveRun},
		{fmt.Errorf("wrapped: %w", verdict.New(verdict.CodeFence, verdict.NotRun, "x")), verdict.CodeFence, verdict.NotRun},
		{errors.New("x"), verdict.CodeInternal, verdict.MayHaveRun},
	} {
		t.Run(string(c.code), func(t *testing.T) {
			var got *request.Request
			r := httptest.NewRequest(http.MethodGet, "/v1/booking/sheet", nil)
			r.Header = headers()
			w := httptest.NewRecorder()
			handler(&got, func(context.Context, *request.Request) (*request.Response, error) { return nil, c.err }).ServeHTTP(w, r)
			expectError(NewWithT(t), w.Result(), c.code, c.verdict, "x")
		})
	}
}

// truncatedReader returns an error at the end of its input.
type truncatedReader struct{ io.Reader }

func (r truncatedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = verdict.New(verdict.CodeBadResponse, verdict.Ran, "truncated")
	}
	return n, err
}

// Guards against a truncated response that looks complete to the caller, and
// against a complete one whose body the caller reads with an error.
func TestResponses(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	for _, c := range []struct {
		name      string
		response  *request.Response
		truncated bool
	}{
		{"with length", &request.Response{Body: io.NopCloser(strings.NewReader("hello")), Size: 5}, false},
		{"without length", &request.Response{Body: io.NopCloser(strings.NewReader("hello")), Size: -1}, false},
		{"truncated, with length", &request.Response{Body: io.NopCloser(truncatedReader{strings.NewReader("hel")}), Size: 5}, true},
		{"truncated, without length", &request.Response{Body: io.NopCloser(truncatedReader{strings.NewReader("hello")}), Size: -1}, true},
		{"truncated, large", &request.Response{Body: io.NopCloser(truncatedReader{strings.NewReader(large)}), Size: -1}, true},
		{"shorter than its length", &request.Response{Body: io.NopCloser(strings.NewReader("hel")), Size: 5}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var got *request.Request
			c.response.Status = 200
			srv := httptest.NewServer(handler(&got, func(context.Context, *request.Request) (*request.Response, error) { return c.response, nil }))
			defer srv.Close()
			resp, err := do(t.Context(), srv.URL, nil)
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
			}
			g.Expect(err != nil).To(Equal(c.truncated), "%v", err)
		})
	}
}

func do(ctx context.Context, base string, body io.Reader, extra ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/booking/sheet", body)
	if err != nil {
		return nil, err
	}
	r.Header = headers(extra...)
	return http.DefaultClient.Do(r)
}

// Guards against a request whose context does not end when its caller disconnects
// or its deadline passes, and against the execution of a request whose body is
// incomplete.
func TestDisconnectAndDeadline(t *testing.T) {
	g := NewWithT(t)
	var got *request.Request
	ended := make(chan error, 1)
	started := make(chan struct{}, 1)
	srv := httptest.NewServer(handler(&got, func(ctx context.Context, _ *request.Request) (*request.Response, error) {
		started <- struct{}{}
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, verdict.New(verdict.CodeDeadline, verdict.MayHaveRun, "%v", ctx.Err())
	}))
	defer srv.Close()

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	resp, err := do(ctx, srv.URL, strings.NewReader("body"), "Lyr-Timeout", "30000")
	if err == nil {
		_ = resp.Body.Close()
	}
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(<-ended).To(MatchError(context.Canceled))

	resp, err = do(t.Context(), srv.URL, strings.NewReader("body"), "Lyr-Timeout", "1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-ended).To(MatchError(context.DeadlineExceeded))
	expectError(g, resp, verdict.CodeDeadline, verdict.MayHaveRun, "")
	_ = resp.Body.Close()

	got = nil
	conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /v1/booking/x HTTP/1.1\r\nHost: x\r\nLyr-Customer: c\r\nLyr-Key: k\r\nLyr-Request-Id: %s\r\nLyr-Timeout: 1\r\nContent-Length: 9\r\n\r\nbody", idAt(0))
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	expectError(g, resp, verdict.CodeDeadline, verdict.NotRun, "body")
	_ = resp.Body.Close()
	g.Expect(got).To(BeNil())
}

// Guards against an incomplete body that keeps its memory while a complete one finds none, and
// against one that yields and is executed, or whose caller does not learn that it was not.
func TestIncompleteBodyGivesWay(t *testing.T) {
	g := NewWithT(t)
	memory := frontend.NewBodyMemory(1 << 20)
	var runs atomic.Int32
	var refused error
	srv := httptest.NewServer(frontend.HandlerWithOptions(request.DoerFunc(func(context.Context, *request.Request) (*request.Response, error) {
		runs.Add(1)
		return &request.Response{Status: 200, Body: io.NopCloser(strings.NewReader("ok")), Size: 2}, nil
	}), frontend.Options{Memory: memory, Refused: func(reason error) { refused = reason }}))
	defer srv.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/booking/x HTTP/1.1\r\nHost: x\r\nLyr-Customer: c\r\nLyr-Key: k\r\nLyr-Request-Id: %s\r\nLyr-Timeout: 30000\r\nContent-Length: 870000\r\n\r\n%s",
		idAt(0), strings.Repeat("x", 800<<10))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(memory.Used).Should(BeNumerically(">=", 800<<10))
	resp, err := do(t.Context(), srv.URL, strings.NewReader(strings.Repeat("x", 300<<10)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	_ = resp.Body.Close()
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	expectError(g, resp, verdict.CodeOverload, verdict.NotRun, "yielded")
	g.Expect(resp.Close).To(BeTrue())
	_ = resp.Body.Close()
	g.Expect(refused).To(MatchError(pieces.ErrEvicted))
	g.Expect(runs.Load()).To(BeEquivalentTo(1))
	g.Eventually(memory.Used).Should(BeZero())
}
