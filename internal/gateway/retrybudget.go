package gateway

import (
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/window"
)

// retryBudget bounds the repeated arrivals at each service. The bound holds over
// all hosts without a question to others: each host uses the ratio of its own
// requests and its share of the slack.
//
// The load pattern that it answers: a service that fails or refuses many
// requests while its load is at its highest, where each repetition takes the
// place of a first attempt.
type retryBudget struct {
	clk    clock.Clock
	active *activeBounds

	mu       sync.Mutex
	services map[uint32]*window.Counts
}

// retryShare is the part of the bound that is used: windows slide and hosts do
// not agree on their number at once.
const budgetShare = 0.7

func newRetryBudget(clk clock.Clock, active *activeBounds) *retryBudget {
	return &retryBudget{clk: clk, active: active, services: make(map[uint32]*window.Counts)}
}

// request counts a request.
func (b *retryBudget) countRequest(serviceHash uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(serviceHash).CountRequest()
}

// retry counts a repetition and reports true if the budget permits it.
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

// current returns the counts of a service in the present window.
func (b *retryBudget) counts(serviceHash uint32) *window.Counts {
	c, ok := b.services[serviceHash]
	if !ok {
		c = new(window.Counts)
		b.services[serviceHash] = c
	}
	c.Advance(b.clk.Now(), b.active.bounds.Load().RetryWindow)
	return c
}
