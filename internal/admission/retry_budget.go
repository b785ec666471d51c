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
	// One retry per ten requests limits the extra load of a failing host to what
	// the queues can absorb.
	requestsPerRetry = 10
)

// RetryBudget limits the retries of each service to 10% of its requests in a
// sliding window of 10 s. It is safe for concurrent use.
type RetryBudget struct {
	clk clock.Clock

	mu       sync.Mutex
	services map[topology.Service]*window.Counts
}

// NewRetryBudget returns a RetryBudget without counts.
func NewRetryBudget(clk clock.Clock) *RetryBudget {
	return &RetryBudget{clk: clk, services: make(map[topology.Service]*window.Counts)}
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudget) CountRequest(s topology.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentCounts(s).CountRequest()
}

// AllowRetry reports whether the budget permits a retry, and counts the retry if
// so.
func (b *RetryBudget) AllowRetry(s topology.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(s)
	requests, retries := c.Sums()
	if (retries+1)*requestsPerRetry > requests {
		return false
	}
	c.CountRetry()
	return true
}

// currentCounts returns the counts of a service after it has dropped those from
// before the window.
func (b *RetryBudget) currentCounts(s topology.Service) *window.Counts {
	c, ok := b.services[s]
	if !ok {
		c = new(window.Counts)
		b.services[s] = c
	}
	c.Advance(b.clk.Now(), budgetWindow)
	return c
}
