package admission

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/window"
)

const (
	budgetWindow = 10 * time.Second
	// One retry for ten requests keeps the extra load of a failing host below
	// what the queues absorb.
	requestsPerRetry = 10
)

// RetryBudget limits the retries of each service to 10% of its requests over 10 s.
type RetryBudget struct {
	clk clock.Clock

	mu       sync.Mutex
	services map[topology.Service]*window.Counts
}

// NewRetryBudget returns an empty Budget.
func NewRetryBudget(clk clock.Clock) *RetryBudget {
	return &RetryBudget{clk: clk, services: make(map[topology.Service]*window.Counts)}
}

// CountRequest counts a request.
func (b *RetryBudget) CountRequest(s topology.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(s).CountRequest()
}

// AllowRetry counts a retry and reports true if the budget permits it.
func (b *RetryBudget) AllowRetry(s topology.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(s)
	requests, retries := c.Sums()
	if (retries+1)*requestsPerRetry > requests {
		return false
	}
	c.CountRetry()
	return true
}

// current returns the counts of a service in the present window.
func (b *RetryBudget) current(s topology.Service) *window.Counts {
	c, ok := b.services[s]
	if !ok {
		c = new(window.Counts)
		b.services[s] = c
	}
	c.Advance(b.clk.Now(), budgetWindow)
	return c
}
