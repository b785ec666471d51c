package gateway

import (
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/window"
)

// retryBudget bounds the repeated attempts that each service receives. The
// bound holds over all hosts without coordination: each host uses the retry
// ratio of its own requests and its share of the slack. A host whose number of
// peers is not known for a whole window uses no slack: it may be one of many, and
// its predecessor may have used its share.
//
// It limits load on a service that fails or refuses many requests while its
// load is highest, when each retry takes the place of a first attempt.
type retryBudget struct {
	clk    clock.Clock
	active *activeBounds

	mu       sync.Mutex
	services map[uint32]*serviceRetries
	// recent holds the decisions on each service since the last log line.
	recent map[uint32]*recentRetries
	// maxHosts is the largest number of hosts that a leader told this process, zero
	// if none did. A smaller one may be that of a new leader or of one side of a
	// partition. hostsKnownAt is the time of the first.
	maxHosts     int
	hostsKnownAt time.Duration
}

// serviceRetries holds the counts of one service.
type serviceRetries struct {
	window.Counts
	// waiting counts the retries that were allowed and wait for a server. They enter
	// the window when the wait ends: it moves on meanwhile.
	waiting int
}

// recentRetries counts decisions on retries of one service.
type recentRetries struct {
	allowed, denied int
	last            retryDecision
}

const (
	// ratioShare is the fraction of the retry ratio that is used: the newest bucket
	// of a window is incomplete, and retries arrive later than they are decided on.
	ratioShare = 0.7
	// slackShare is the fraction of the slack that is used: hosts that start while
	// they are cut off count the hosts of their side only, and three sides may
	// each use the share of all.
	slackShare = 1.0 / 3
)

func newRetryBudget(clk clock.Clock, active *activeBounds) *retryBudget {
	return &retryBudget{clk: clk, active: active, services: make(map[uint32]*serviceRetries), recent: make(map[uint32]*recentRetries)}
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
	requests, retries float64 // in the window, without the retry in question; retries that wait are included
	limit             float64 // retries in the window that the budget permits
	hosts             int     // that share the slack; zero if their number is not known for long enough
}

// logFields adds the decision to a log line.
func (d retryDecision) logFields(l logging.Logger) logging.Logger {
	if d == (retryDecision{}) {
		return l
	}
	return l.With("window_requests", d.requests).With("window_retries", d.retries).With("retry_limit", d.limit).With("hosts", d.hosts)
}

// decideRetry decides whether the budget permits a retry. If so, the caller must
// call endRetryWait once the retry has a server or is refused. Hosts is the number
// of hosts that the leader told last, zero if none did.
func (b *retryBudget) decideRetry(serviceHash uint32, hosts int) retryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(serviceHash)
	b.learnHosts(hosts)
	d := retryDecision{hosts: b.sharingHosts()}
	d.requests, d.retries = c.Sums()
	d.retries += float64(c.waiting)
	bounds := b.active.bounds.Load()
	d.limit = ratioShare * bounds.RetryRatio * d.requests
	if d.hosts > 0 {
		d.limit += slackShare * bounds.RetrySlack / float64(d.hosts)
	}
	d.denied = d.retries+1 > d.limit
	if !d.denied {
		c.waiting++
	}
	b.countDecision(serviceHash, d)
	return d
}

// endRetryWait counts an allowed retry that is sent now or was refused in the queue.
// One that was refused counts as well: it took a place in the queue of a service
// that is short of room.
func (b *retryBudget) endRetryWait(serviceHash uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(serviceHash)
	c.waiting--
	c.CountRetry()
}

// dropRetryWait ends the wait of an allowed retry that is not sent because its server
// wants no requests from this host: nothing reaches the service.
func (b *retryBudget) dropRetryWait(serviceHash uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(serviceHash).waiting--
}

// setHosts takes note of the number of hosts that the leader told last, zero if none
// did.
func (b *retryBudget) setHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learnHosts(hosts)
}

// learnHosts is setHosts for a caller that holds the lock.
func (b *retryBudget) learnHosts(hosts int) {
	if hosts > 0 && b.maxHosts == 0 {
		b.hostsKnownAt = b.clk.Now()
	}
	b.maxHosts = max(b.maxHosts, hosts)
}

// sharingHosts returns the number of hosts that share the slack, zero if it is not
// known for a whole window. The caller holds the lock.
func (b *retryBudget) sharingHosts() int {
	if b.maxHosts == 0 || b.clk.Now()-b.hostsKnownAt < b.active.bounds.Load().RetryWindow {
		return 0
	}
	return b.maxHosts
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

// counts returns the counts of a service, advanced to the present window.
func (b *retryBudget) counts(serviceHash uint32) *serviceRetries {
	c, ok := b.services[serviceHash]
	if !ok {
		c = new(serviceRetries)
		b.services[serviceHash] = c
	}
	c.Advance(b.clk.Now(), b.active.bounds.Load().RetryWindow)
	return c
}
