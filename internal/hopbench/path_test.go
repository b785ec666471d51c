package hopbench

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
)

// echo reads the request and answers as its query says: body size, status, with
// a length or chunked, and complete or broken off.
func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	if r.URL.Query().Get("length") != "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	if status, _ := strconv.Atoi(r.URL.Query().Get("status")); status != 0 {
		w.WriteHeader(status)
	}
	_, _ = fmt.Fprint(w, strings.Repeat("a", size))
	if r.URL.Query().Get("break") != "" {
		panic(http.ErrAbortHandler)
	}
}

// Guards against requests and answers that are changed, cut or left hanging on
// the whole way: caller, entry host, leader host and server over sockets, with
// each encoding of bodies.
func TestWholePath(t *testing.T) {
	f, err := NewFleet(true, http.HandlerFunc(echo))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	for _, base := range []string{f.Leader, f.Entry} {
		for _, c := range []struct {
			method  string
			query   string
			body    int
			chunked bool
			status  int
			answer  int
			broken  bool
			verdict string // if not ran
		}{
			{method: "GET", query: "size=10", status: 200, answer: 10},
			{method: "GET", query: "size=10&status=404", status: 404, answer: 10},
			{method: "GET", query: "status=204", status: 204},
			{method: "HEAD", query: "size=10", status: 200},
			{method: "DELETE", query: "size=0", status: 200},
			{method: "POST", query: "size=65536", body: 10, status: 200, answer: 64 << 10},
			{method: "POST", query: "size=65537", body: 64 << 10, status: 200, answer: 64<<10 + 1},
			{method: "POST", query: "size=8388608&length=1", body: 1 << 20, status: 200, answer: 8 << 20},
			{method: "PUT", query: "size=8388608", body: 1 << 20, chunked: true, status: 200, answer: 8 << 20},
			{method: "PUT", query: "size=8388609", body: 1 << 20, status: 200, broken: true},
			{method: "PUT", query: "size=8388609&length=1", body: 10, status: 502, broken: true},
			{method: "POST", query: "size=100&break=1", body: 10, status: 502, broken: true, verdict: "may-have-run"}, // no head was sent
			{method: "POST", query: "size=1000000&break=1", body: 1 << 20, status: 200, broken: true},
		} {
			name := fmt.Sprintf("%s %s, body %d", c.method, c.query, c.body)
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				var body io.Reader
				if c.body > 0 {
					body = strings.NewReader(strings.Repeat("q", c.body))
				}
				if c.chunked {
					body = io.MultiReader(body) // hides the length
				}
				req, err := http.NewRequest(c.method, base+"/v1/booking/a%2Fb?"+c.query, body)
				g.Expect(err).NotTo(HaveOccurred())
				req.Header.Set("Lyr-Customer", "pewright")
				req.Header.Set("Lyr-Key", "k")
				req.Header.Set("Lyr-Request-Id", uuid.Must(uuid.NewV7()).String())
				req.Header.Set("Content-Type", "text/x-test")
				resp, err := http.DefaultClient.Do(req)
				g.Expect(err).NotTo(HaveOccurred())
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if c.broken {
					// Either an error instead of an answer, or an answer that
					// visibly breaks off.
					g.Expect(err != nil || resp.StatusCode == http.StatusBadGateway).To(BeTrue())
					g.Expect(resp.StatusCode).To(Equal(c.status))
					g.Expect(resp.Header.Get("Lyr-Verdict")).To(Equal(cmp.Or(c.verdict, "ran")))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(c.status), string(got[:min(len(got), 300)]))
				g.Expect(got).To(HaveLen(c.answer))
				g.Expect(resp.Header.Get("Lyr-Verdict")).To(Equal("ran"))
				g.Expect(resp.Header.Get("Content-Type")).To(Equal("text/x-test"))
			})
		}
	}
}
