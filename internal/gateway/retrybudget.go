package gateway

import (
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
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
	// recent holds the decisions on each service since the last log line.
	recent map[uint32]*recentRetries
}

// recentRetries counts decisions on retries of one service.
type recentRetries struct {
	allowed, denied int
	last            retryDecision
}

// budgetShare is the fraction of the bound that is used: windows slide, and
// hosts do not learn a new number of hosts at the same time.
const budgetShare = 0.7

func newRetryBudget(clk clock.Clock, active *activeBounds) *retryBudget {
	return &retryBudget{clk: clk, active: active, services: make(map[uint32]*window.Counts), recent: make(map[uint32]*recentRetries)}
}

// countRequest counts a first attempt.
func (b *retryBudget) countRequest(serviceHash uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(serviceHash).CountRequest()
}

// retryDecision is a decision of the budget, with the counts and the number of
// hosts that it follows from. The zero value is a retry that no budget decided on.
type retryDecision struct {
	denied            bool
	requests, retries float64 // in the window, without the retry in question
	limit             float64 // retries in the window that the budget permits
	hosts             int
}

// logFields adds the decision to a log line.
func (d retryDecision) logFields(l logging.Logger) logging.Logger {
	if d.hosts == 0 {
		return l
	}
	return l.With("window_requests", d.requests).With("window_retries", d.retries).With("retry_limit", d.limit).With("hosts", d.hosts)
}

// decideRetry decides whether the budget permits a retry, and counts it if so.
func (b *retryBudget) decideRetry(serviceHash uint32, hosts int) retryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(serviceHash)
	d := retryDecision{hosts: max(1, hosts)}
	d.requests, d.retries = c.Sums()
	bounds := b.active.bounds.Load()
	d.limit = budgetShare * (bounds.RetryRatio*d.requests + bounds.RetrySlack/float64(d.hosts))
	d.denied = d.retries+1 > d.limit
	if !d.denied {
		c.CountRetry()
	}
	b.countDecision(serviceHash, d)
	return d
}

// countDecision counts a decision for the log. The caller holds the lock.
func (b *retryBudget) countDecision(serviceHash uint32, d retryDecision) {
	r, ok := b.recent[serviceHash]
	if !ok {
		r = new(recentRetries)
		b.recent[serviceHash] = r
	}
	r.last = d
	if d.denied {
		r.denied++
		return
	}
	r.allowed++
}

// logRecent writes one line for each service whose retries were decided on since
// the last call.
func (b *retryBudget) logRecent(log logging.Logger, serviceName func(uint32) string) {
	b.mu.Lock()
	recent := b.recent
	b.recent = make(map[uint32]*recentRetries)
	b.mu.Unlock()
	for service, r := range recent {
		r.last.logFields(log.With("service", serviceName(service)).With("allowed", r.allowed).With("denied", r.denied)).
			Info("retries of the service")
	}
}

// allowRetry reports whether the budget permits a retry, and counts it if so.
func (b *retryBudget) allowRetry(serviceHash uint32, hosts int) bool {
	return !b.decideRetry(serviceHash, hosts).denied
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
