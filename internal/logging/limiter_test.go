package logging_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// Guards against lines without a bound, and against omitted lines that nothing tells of.
func TestLimiter(t *testing.T) {
	g := NewWithT(t)
	l := logging.Limiter{PerSecond: 3}
	written := 0
	for i := range 100 {
		if ok, omitted := l.Allow(time.Duration(i) * time.Millisecond); ok {
			written++
			g.Expect(omitted).To(BeZero())
		}
	}
	g.Expect(written).To(Equal(3))
	ok, omitted := l.Allow(time.Second)
	g.Expect(ok).To(BeTrue())
	g.Expect(omitted).To(Equal(97))
	_, omitted = l.Allow(time.Second)
	g.Expect(omitted).To(BeZero(), "told once")
}
