package gateway

import (
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/window"
)

// retryBudget bounds the repeated attempts that each service receives. The
// bound holds over all hosts without coordination: each host uses the retry
// ratio of its own requests and its share of the slack.
//
// It limits load on a service that fails or refuses many requests while its
// load is highest, when each retry takes the place of a first attempt.
type retryBudget struct {
	clk    clock.Clock
	active *activeBounds

	mu       sync.Mutex
	services map[uint32]*window.Counts
}

// budgetShare is the fraction of the bound that is used: windows slide, and
// hosts do not learn a new number of hosts at the same time.
const budgetShare = 0.7

func newRetryBudget(clk clock.Clock, active *activeBounds) *retryBudget {
	return &retryBudget{clk: clk, active: active, services: make(map[uint32]*window.Counts)}
}

// countRequest counts a first attempt.
func (b *retryBudget) countRequest(serviceHash uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(serviceHash).CountRequest()
}

// allowRetry reports whether the budget permits a retry, and counts it if so.
func (b *retryBudget) allowRetry(serviceHash uint32, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(serviceHash)
	requests, retries := c.Sums()
	bounds := b.active.bounds.Load()
	if retries+1 > budgetShare*(bounds.RetryRatio*requests+bounds.RetrySlack/float64(max(1, hosts))) {
		return false
	}
	c.CountRetry()
	return true
}

// counts returns the counts of a service, advanced to the present window.
func (b *retryBudget) counts(serviceHash uint32) *window.Counts {
	c, ok := b.services[serviceHash]
	if !ok {
		c = new(window.Counts)
		b.services[serviceHash] = c
	}
	c.Advance(b.clk.Now(), b.active.bounds.Load().RetryWindow)
	return c
}
