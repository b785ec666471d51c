package gateway

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

// requestLog writes one line for each unusual result of a request. Lines beyond
// maxLinesPerSecond are counted, not written.
type requestLog struct {
	log     logging.Logger
	clk     clock.Clock
	limiter logging.Limiter
}

const maxLinesPerSecond = 40

// maxLoggedID bounds the bytes of a request id in a log line. A caller may send one as long as
// a head, and up to 512 lines wait in memory to be written.
const maxLoggedID = 128

func newRequestLog(clk clock.Clock) *requestLog {
	return &requestLog{log: logging.For(logging.Frontend), clk: clk, limiter: logging.Limiter{PerSecond: maxLinesPerSecond}}
}

func (l *requestLog) event(c *callerRequest, message, server, outcome string, cause error) {
	ok, omitted := l.limiter.Allow(l.clk.Now())
	if omitted > 0 {
		l.log.With("lines", omitted).Warn("request log lines were dropped because there were too many")
	}
	if !ok {
		return
	}
	id := c.request.ID
	e := l.log.With("id", id[:min(len(id), maxLoggedID)]).With("config", c.configVersion).With("epoch", c.epoch).With("route", c.route.Name).With("outcome", outcome).
		With("sends", c.sends).With("may_have_run", c.mayHaveRun).
		With("took_ms", time.Since(c.startedAt).Milliseconds()).With("left_ms", time.Until(c.deadline).Milliseconds())
	if c.job.Key >= 0 {
		e = e.With("key", c.job.Key)
	}
	if server != "" {
		e = e.With("server", server)
	}
	if cause != nil {
		e = e.With("cause", cause.Error())
	}
	e = c.retry.logFields(e)
	e.Info(message)
}

// metrics holds counters, functions that compute a value, and latency
// histograms per route.
type metrics struct {
	counters   sync.Map // string -> *atomic.Int64
	storeCalls sync.Map // kind of call to the store -> *atomic.Int64
	funcs      sync.Map // string -> func() float64
	latencies  sync.Map // string -> gometrics.Histogram
	routeCount atomic.Int64
}

// latencySampleSize is the number of latencies that a histogram keeps.
const latencySampleSize = 256

// maxRouteHistograms bounds the latency histograms; further routes share one.
const maxRouteHistograms = 500

// otherRoutesLabel is the route label of the shared histogram.
const otherRoutesLabel = "other"

func (m *metrics) inc(name string) { add(&m.counters, name) }

// add adds one to the counter with the given name.
func add(counters *sync.Map, name string) {
	v, ok := counters.Load(name)
	if !ok {
		v, _ = counters.LoadOrStore(name, new(atomic.Int64))
	}
	v.(*atomic.Int64).Add(1)
}

// counterValues returns the values of the counters by name.
func (m *metrics) counterValues() map[string]int64 {
	out := make(map[string]int64)
	m.counters.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}

func (m *metrics) observeLatency(route string, took time.Duration) {
	v, ok := m.latencies.Load(route)
	if !ok && m.routeCount.Load() >= maxRouteHistograms {
		route = otherRoutesLabel
		v, ok = m.latencies.Load(route)
	}
	if !ok {
		m.routeCount.Add(1)
		v, _ = m.latencies.LoadOrStore(route, gometrics.NewHistogram(gometrics.NewUniformSample(latencySampleSize)))
	}
	v.(gometrics.Histogram).Update(took.Microseconds())
}

// RegisterFunc registers a metric whose value is computed when the metrics are
// written.
func (m *metrics) RegisterFunc(name string, f func() float64) { m.funcs.Store(name, f) }

// write writes all metrics as text, one value a line.
func (m *metrics) write(w io.Writer) {
	var lines []string
	m.counters.Range(func(k, v any) bool {
		lines = append(lines, fmt.Sprintf("lygate_events_total{event=%q} %d", k, v.(*atomic.Int64).Load()))
		return true
	})
	m.storeCalls.Range(func(k, v any) bool {
		lines = append(lines, fmt.Sprintf("lygate_store_calls_total{kind=%q} %d", k, v.(*atomic.Int64).Load()))
		return true
	})
	m.funcs.Range(func(k, v any) bool {
		lines = append(lines, fmt.Sprintf("lygate_%s %g", k, v.(func() float64)()))
		return true
	})
	m.latencies.Range(func(k, v any) bool {
		h := v.(gometrics.Histogram).Snapshot()
		for _, q := range []float64{0.5, 0.9, 0.99} {
			lines = append(lines, fmt.Sprintf("lygate_latency_us{route=%q,quantile=\"%g\"} %.0f", k, q, h.Percentile(q)))
		}
		lines = append(lines, fmt.Sprintf("lygate_latency_us_count{route=%q} %d", k, h.Count()))
		return true
	})
	slices.Sort(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}
