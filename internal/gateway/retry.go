package gateway

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
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
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	services map[uint32]*retryCounts
}

const retryBuckets = 10

// retryShare is the part of the bound that is used: windows slide and hosts do
// not agree on their number at once.
const retryShare = 0.7

type retryCounts struct {
	requests, retries [retryBuckets]float64
	last              int64
}

func newRetryBudget(clk clock.Clock, b Bounds) *retryBudget {
	return &retryBudget{
		clk: clk, ratio: b.RetryRatio, slack: b.RetrySlack, window: b.RetryWindow,
		services: make(map[uint32]*retryCounts),
	}
}

// request counts a request.
func (b *retryBudget) request(service uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	c.requests[c.last%retryBuckets]++
}

// retry counts a repetition and reports true if the budget permits it.
func (b *retryBudget) retry(service uint32, hosts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	var requests, retries float64
	for i := range retryBuckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if retries+1 > retryShare*(b.ratio*requests+b.slack/float64(max(1, hosts))) {
		return false
	}
	c.retries[c.last%retryBuckets]++
	return true
}

func (b *retryBudget) current(service uint32) *retryCounts {
	n := int64(b.clk.Now() / (b.window / retryBuckets))
	c, ok := b.services[service]
	if !ok {
		c = &retryCounts{last: n}
		b.services[service] = c
	}
	for i := max(c.last+1, n-retryBuckets+1); i <= n; i++ {
		c.requests[i%retryBuckets], c.retries[i%retryBuckets] = 0, 0
	}
	c.last = max(c.last, n)
	return c
}
