package loadgen

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Guards against a gap that late or missing answers hide.
func TestGap(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		successes []int
		want      time.Duration
	}{
		"between answers":        {[]int{0, 20, 920, 940}, 900 * time.Millisecond},
		"answers out of order":   {[]int{0, 500, 20, 520}, 500 * time.Millisecond},
		"until the end":          {[]int{0, 20}, 980 * time.Millisecond},
		"never served":           {nil, time.Second},
		"first answer came late": {[]int{400, 1000}, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var g gap
			for _, ms := range c.successes {
				g.success(at(ms))
			}
			g.end(start, at(1000))
			NewWithT(t).Expect(g.longest).To(Equal(c.want))
		})
	}
}

// Guards against a percentile that leaves the slowest request out.
func TestPercentile(t *testing.T) {
	g := NewWithT(t)
	g.Expect(percentile(nil, 99)).To(BeZero())
	g.Expect(percentile([]time.Duration{1, 2, 3, 4}, 50)).To(Equal(time.Duration(2)))
	g.Expect(percentile([]time.Duration{1, 2, 3, 4}, 99)).To(Equal(time.Duration(4)))
}

// Guards against a dead host that still gets requests, and against a loop when
// every host is down.
func TestHostsSkipRefused(t *testing.T) {
	g := NewWithT(t)
	h := NewHosts([]string{"a", "b"}, []string{"x", "y"})
	h.Refused("a")
	for range 3 {
		target, ok := h.Next()
		g.Expect(ok).To(BeTrue())
		g.Expect(target).To(Equal("b"))
	}
	h.Refused("b")
	_, ok := h.Next()
	g.Expect(ok).To(BeFalse())
}

// Guards against a request without an answer that counts as not run.
func TestNoAnswerMayHaveRun(t *testing.T) {
	v, code := outcome(nil, io.ErrUnexpectedEOF)
	NewWithT(t).Expect(v).To(Equal(verdict.MayHaveRun))
	NewWithT(t).Expect(code).To(Equal(codeTransport))
}
