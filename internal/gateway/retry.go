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
	clk   clock.Clock
	terms *terms

	mu       sync.Mutex
	services map[uint32]*window.Counts
}

// retryShare is the part of the bound that is used: windows slide and hosts do
// not agree on their number at once.
const retryShare = 0.7

func newRetryBudget(clk clock.Clock, t *terms) *retryBudget {
	return &retryBudget{clk: clk, terms: t, services: make(map[uint32]*window.Counts)}
}

// request counts a request.
func (b *retryBudget) request(service uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(service).Request()
}

// retry counts a repetition and reports true if the budget permits it.
func (b *retryBudget) retry(service uint32, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	requests, retries := c.Sums()
	bounds := b.terms.bounds.Load()
	if retries+1 > retryShare*(bounds.RetryRatio*requests+bounds.RetrySlack/float64(max(1, hosts))) {
		return false
	}
	c.Retry()
	return true
}

// current returns the counts of a service in the present window.
func (b *retryBudget) current(service uint32) *window.Counts {
	c, ok := b.services[service]
	if !ok {
		c = new(window.Counts)
		b.services[service] = c
	}
	c.Advance(b.clk.Now(), b.terms.bounds.Load().RetryWindow)
	return c
}
