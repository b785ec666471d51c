package metrics_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Guards against output that a Prometheus scraper rejects, and against series
// that mix customers or classes.
func TestTextFormat(t *testing.T) {
	g := NewWithT(t)
	s := metrics.NewSet()
	s.ObserveRequest("pewright", request.Interactive, 3*time.Millisecond, request.Timing{Server: 2 * time.Millisecond}, nil)
	s.ObserveRequest("sejk-kombi", request.Background, time.Millisecond, request.Timing{}, verdict.New(verdict.CodeOverload, verdict.NotRun, "full"))
	s.CountRetry("pewright", request.Interactive, verdict.CodeNotLeader)
	s.Count(metrics.Moves, 2)
	s.SetGauge("log_age_seconds", 0.5)

	var b bytes.Buffer
	_, err := s.WriteTo(&b)
	g.Expect(err).NotTo(HaveOccurred())
	for _, line := range []string{
		`# TYPE lycheerudder_request_microseconds summary`,
		`lycheerudder_request_microseconds{customer="pewright",class="interactive",part="server",quantile="0.5"} 2000`,
		`lycheerudder_requests_total{customer="sejk-kombi",class="background",verdict="not-run",code="overload"} 1`,
		`lycheerudder_retries_total{customer="pewright",class="interactive",code="not-leader"} 1`,
		`lycheerudder_moves_total 2`,
		`lycheerudder_log_age_seconds 0.5`,
	} {
		g.Expect(b.String()).To(ContainSubstring(line + "\n"))
	}
}

// Guards against memory use that grows without limit with the number of customers.
func TestSeriesLimit(t *testing.T) {
	g := NewWithT(t)
	s := metrics.NewSet()
	for i := range 3000 {
		s.ObserveRequest(topology.Customer(fmt.Sprint(i)), request.Interactive, 0, request.Timing{}, nil)
	}
	var b bytes.Buffer
	_, err := s.WriteTo(&b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.String()).To(ContainSubstring(`customer="other"`))
	g.Expect(bytes.Count(b.Bytes(), []byte("request_microseconds_count"))).To(BeNumerically("<=", 3*1001))
}
