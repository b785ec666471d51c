// Package metrics collects the counters, gauges and request durations of the
// router and writes them in the Prometheus text format. Metrics of requests are
// kept per customer and class.
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

// Stage is a step of request processing whose duration is measured.
type Stage string

// Stages of request processing.
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
	// RefusedNoMemory and RefusedEvicted count requests whose bodies are refused for lack of
	// memory: those that found no room, and those that were told to make room.
	RefusedNoMemory Counter = "refused_no_memory"
	RefusedEvicted  Counter = "refused_evicted"
)

const (
	// maxSeries bounds the pairs of customer and class with series of their own. All
	// further customers share the series of customer "other".
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
	durations map[Stage]gometrics.Histogram // in microseconds
	mu        sync.Mutex
	outcomes  map[outcome]int64
	retries   map[verdict.Code]int64
}

type outcome struct {
	verdict verdict.Verdict
	code    verdict.Code
}

// Set holds all metrics of a process. It is safe for concurrent use.
type Set struct {
	series      sync.Map // seriesKey -> *series
	seriesCount atomic.Int64
	counters    gometrics.Registry
	gauges      gometrics.Registry
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{counters: gometrics.NewRegistry(), gauges: gometrics.NewRegistry()}
}

// ObserveRequest records the outcome and the durations of one request. A nil error
// means that the caller got the response of a server.
func (s *Set) ObserveRequest(customer topology.Customer, class request.Class, total time.Duration, t request.Timing, err error) {
	sr := s.getSeries(customer, class)
	sr.durations[StageTotal].Update(total.Microseconds())
	o := outcome{verdict: verdict.Ran}
	if err != nil {
		e := verdict.From(err)
		o = outcome{verdict: e.Verdict, code: e.Code}
	} else {
		sr.durations[StageQueue].Update(t.Queue.Microseconds())
		sr.durations[StageServer].Update(t.Server.Microseconds())
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.outcomes[o]++
}

// CountRetry counts one retry of a request whose last attempt failed with code.
func (s *Set) CountRetry(customer topology.Customer, class request.Class, code verdict.Code) {
	sr := s.getSeries(customer, class)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.retries[code]++
}

// Count adds n to a counter.
func (s *Set) Count(c Counter, n int64) {
	gometrics.GetOrRegisterCounter(string(c), s.counters).Inc(n)
}

// SetGauge sets the gauge of that name.
func (s *Set) SetGauge(name string, v float64) {
	gometrics.GetOrRegisterGaugeFloat64(name, s.gauges).Update(v)
}

// RegisterGauge registers a gauge whose value is computed when the metrics are written.
func (s *Set) RegisterGauge(name string, f func() float64) {
	_ = s.gauges.Register(name, gometrics.NewFunctionalGaugeFloat64(f)) // fails if it is registered already
}

// getSeries returns the series of a customer and class and creates it if needed.
func (s *Set) getSeries(customer topology.Customer, class request.Class) *series {
	key := seriesKey{customer: customer, class: class}
	if v, ok := s.series.Load(key); ok {
		return v.(*series)
	}
	if s.seriesCount.Load() >= maxSeries {
		key.customer = "other"
	}
	v, loaded := s.series.LoadOrStore(key, newSeries())
	if !loaded {
		s.seriesCount.Add(1)
	}
	return v.(*series)
}

func newSeries() *series {
	sr := &series{
		durations: make(map[Stage]gometrics.Histogram),
		outcomes:  make(map[outcome]int64),
		retries:   make(map[verdict.Code]int64),
	}
	for _, stage := range []Stage{StageTotal, StageQueue, StageServer} {
		sr.durations[stage] = gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return sr
}
