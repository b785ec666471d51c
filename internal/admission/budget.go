package admission

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// One retry for ten requests keeps the extra load of a failing host below
	// what the queues absorb.
	requestsPerRetry = 10
)

// Budget limits the retries of each service to 10% of its requests over 10 s.
type Budget struct {
	clk clock.Clock

	mu       sync.Mutex
	services map[topology.Service]*counts
}

type counts struct {
	requests, retries [budgetBuckets]int
	last              int64 // number of the newest bucket
}

// NewBudget returns an empty Budget.
func NewBudget(clk clock.Clock) *Budget {
	return &Budget{clk: clk, services: make(map[topology.Service]*counts)}
}

// Request counts a request.
func (b *Budget) Request(s topology.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(s)
	c.requests[c.last%budgetBuckets]++
}

// Retry counts a retry and reports true if the budget permits it.
func (b *Budget) Retry(s topology.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(s)
	var requests, retries int
	for i := range budgetBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if (retries+1)*requestsPerRetry > requests {
		return false
	}
	c.retries[c.last%budgetBuckets]++
	return true
}

// current returns the counts of a service after clearing outdated buckets.
func (b *Budget) current(s topology.Service) *counts {
	n := int64(b.clk.Now() / (budgetWindow / budgetBuckets))
	c, ok := b.services[s]
	if !ok {
		c = &counts{last: n}
		b.services[s] = c
	}
	for i := max(c.last+1, n-budgetBuckets+1); i <= n; i++ {
		c.requests[i%budgetBuckets], c.retries[i%budgetBuckets] = 0, 0
	}
	c.last = max(c.last, n)
	return c
}
