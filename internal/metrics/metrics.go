// Package metrics counts and times what the router does, per customer and
// class where a request is concerned, and writes the result in the text format
// that Prometheus-compatible scrapers read.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Stage is a part of the request path whose time is measured.
type Stage string

// Parts of the request path.
const (
	StageTotal  Stage = "total"
	StageQueue  Stage = "queue"
	StageServer Stage = "server"
)

// Counter names an event that is counted without labels.
type Counter string

// Counters.
const (
	LeaseRenewals     Counter = "lease_renewals"
	LeaseFailures     Counter = "lease_failures"
	Grants            Counter = "grants"
	Moves             Counter = "moves"
	Revokes           Counter = "revokes"
	LeadershipsGained Counter = "leaderships_gained"
	LeadershipsLost   Counter = "leaderships_lost"
	LogAppends        Counter = "log_appends"
)

const (
	// maxSeries bounds the number of customers with series of their own; the
	// others share the series of customer "other".
	maxSeries   = 1000
	sampleSize  = 1028 // size and decay of the reservoir as go-metrics recommends
	sampleDecay = 0.015
)

type seriesKey struct {
	customer topology.Customer
	class    request.Class
}

// series holds the metrics of one customer and class.
type series struct {
	parts    map[Stage]gometrics.Histogram
	mu       sync.Mutex
	outcomes map[outcome]int64
	retries  map[verdict.Code]int64
}

type outcome struct {
	verdict verdict.Verdict
	code    verdict.Code
}

// Set holds all metrics of a process. It is safe for concurrent use.
type Set struct {
	series   sync.Map // seriesKey -> *series
	size     atomic.Int64
	counters gometrics.Registry
	gauges   gometrics.Registry
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{counters: gometrics.NewRegistry(), gauges: gometrics.NewRegistry()}
}

// ObserveRequest records the outcome of one request. A nil error means that the
// server's answer was passed on.
func (s *Set) ObserveRequest(customer topology.Customer, class request.Class, total time.Duration, t request.Timing, err error) {
	sr := s.seriesOf(customer, class)
	sr.parts[StageTotal].Update(total.Microseconds())
	o := outcome{verdict: verdict.Ran}
	if err != nil {
		e := verdict.From(err)
		o = outcome{verdict: e.Verdict, code: e.Code}
	} else {
		sr.parts[StageQueue].Update(t.Queue.Microseconds())
		sr.parts[StageServer].Update(t.Server.Microseconds())
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.outcomes[o]++
}

// CountRetry counts one more attempt of a request that failed with code.
func (s *Set) CountRetry(customer topology.Customer, class request.Class, code verdict.Code) {
	sr := s.seriesOf(customer, class)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.retries[code]++
}

// Count adds n to a counter.
func (s *Set) Count(c Counter, n int64) {
	gometrics.GetOrRegisterCounter(string(c), s.counters).Inc(n)
}

// SetGauge sets a named value.
func (s *Set) SetGauge(name string, v float64) {
	gometrics.GetOrRegisterGaugeFloat64(name, s.gauges).Update(v)
}

func (s *Set) seriesOf(customer topology.Customer, class request.Class) *series {
	key := seriesKey{customer: customer, class: class}
	if v, ok := s.series.Load(key); ok {
		return v.(*series)
	}
	if s.size.Load() >= maxSeries {
		key.customer = "other"
	}
	v, loaded := s.series.LoadOrStore(key, newSeries())
	if !loaded {
		s.size.Add(1)
	}
	return v.(*series)
}

func newSeries() *series {
	sr := &series{
		parts:    make(map[Stage]gometrics.Histogram),
		outcomes: make(map[outcome]int64),
		retries:  make(map[verdict.Code]int64),
	}
	for _, p := range []Stage{StageTotal, StageQueue, StageServer} {
		sr.parts[p] = gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return sr
}
