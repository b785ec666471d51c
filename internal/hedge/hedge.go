// Package hedge decides whether and when a second copy of a request, a hedge, is sent to
// another server.
//
// It addresses a load in which few responses take much longer than the others of their
// route, because of one slow server or of short pauses of all, while slots are free. It
// does not address overload: extra work makes that worse.
//
// The package performs no I/O and reads no clock; times are durations since an arbitrary
// origin.
package hedge

import (
	"sync"
	"time"
)

const (
	// leastQuantile is the least share of the response times of a class that are shorter
	// than the delay of a hedge: earlier hedges are mostly for requests that need none. If
	// the share of extra work is smaller than what is beyond it, the delay is longer, so
	// that the hedges are left for the slowest requests.
	leastQuantile = 0.95
	// minBeyond is the weight of the observations that are expected beyond a delay before
	// it is used: with fewer the quantile is that of single responses.
	minBeyond = 2
	// minDelay is the least delay of a hedge. The way to the leader and back takes up to
	// 2.8 ms; a hedge must gain several times that.
	minDelay = 15 * time.Millisecond
	// burst bounds the hedges that a host may save up for one service.
	burst = 3
	// maxClasses bounds the memory of a Policy to 0.3 MB. Requests of further classes are
	// not hedged.
	maxClasses = 500
	// forgetAfter is the time without observations after which a class makes room for
	// others.
	forgetAfter = 10 * time.Minute
	// rounding is what sums of weights may lack.
	rounding = 1e-6
	// MaxShare is the largest share of extra work that a Policy accepts: the usual ratio
	// of the retry budget, which hedges use as well.
	MaxShare = 0.2
)

// Denial is the reason why a hedge is not sent.
type Denial string

// Reasons why a hedge is not sent. Those after NoTime are decided outside of this package.
const (
	Allowed Denial = ""
	// FewObservations: the response times of the class are not known well enough.
	FewObservations Denial = "few-observations"
	// Share: the share of extra work is used up.
	Share Denial = "share"
	// Attempts: the route or the host permits no further attempt.
	Attempts Denial = "attempts"
	// NoLeader: the leader does not respond.
	NoLeader Denial = "no-leader"
	// NoTime: the time left is too short for a response.
	NoTime Denial = "no-time"
	// RetryBudget: the retry budget of the service is used up.
	RetryBudget Denial = "retry-budget"
	// NoServer: the leader has no free server that is as good as the first, or requests
	// of the service wait.
	NoServer Denial = "no-server"
	// Answered: the first copy had its response, or the caller disconnected, before the
	// hedge could be sent.
	Answered Denial = "answered"
	// NoDecision: the leader did not decide in time.
	NoDecision Denial = "no-decision"
	// ServerHeld: the host knows that the server of the hedge wants no requests.
	ServerHeld Denial = "server-held"
)

// Request describes a request whose first copy has run for the delay of its class.
type Request struct {
	Service, Class uint32
	// Sends and PossibleRuns count the servers that the request was sent to and that may
	// have run it, the present one included.
	Sends, MaxSends           int
	PossibleRuns, MaxAttempts int
	Left                      time.Duration // until the deadline
	LeaderResponds            bool
}

// Policy decides on the hedges of one host. It is safe for concurrent use.
type Policy struct {
	share, quantile float64

	mu      sync.Mutex
	classes map[uint32]*durations
	tokens  map[uint32]float64 // by service
}

// New returns a Policy that permits hedges for at most the given share of the requests to
// each service.
func New(share float64) *Policy {
	share = min(max(0, share), MaxShare)
	return &Policy{share: share, quantile: max(leastQuantile, 1-share), classes: make(map[uint32]*durations), tokens: make(map[uint32]float64)}
}

// Enabled reports whether any hedges are permitted.
func (p *Policy) Enabled() bool { return p.share > 0 }

// CountRequest counts a request to a service. The tokens for hedges start at zero, so the
// hedges of a host never exceed the share of its requests.
func (p *Policy) CountRequest(service uint32) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens[service] = min(p.tokens[service]+p.share, burst)
}

// Observe adds the response time of the first copy of a request. That of a copy that was
// given up is the time until then: it exceeds the delay, so the quantile holds.
func (p *Policy) Observe(class uint32, took, now time.Duration) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.classes[class]
	if !ok {
		if len(p.classes) >= maxClasses && !p.forget(now) {
			return
		}
		d = &durations{decayed: now}
		p.classes[class] = d
	}
	d.add(took, now)
}

// forget removes the classes without recent observations, and reports whether there were
// any.
func (p *Policy) forget(now time.Duration) bool {
	found := false
	for class, d := range p.classes {
		if now-d.decayed > forgetAfter {
			delete(p.classes, class)
			found = true
		}
	}
	return found
}

// Delay returns the time after which a hedge of a request of the class may be sent. It
// returns false if that is not known.
func (p *Policy) Delay(class uint32, now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.classes[class]
	if !ok {
		return 0, false
	}
	d.decay(now)
	if d.total*(1-p.quantile) < minBeyond-rounding {
		return 0, false
	}
	return max(minDelay, d.quantile(p.quantile)), true
}

// Decide decides whether a hedge may be sent. If so, the share counts it as sent; the
// caller must call Return if it is not.
func (p *Policy) Decide(r Request, now time.Duration) Denial {
	delay, known := p.Delay(r.Class, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !known:
		return FewObservations
	case r.Sends >= r.MaxSends, r.PossibleRuns >= r.MaxAttempts:
		return Attempts
	case r.Left < delay:
		// Most responses would come too late.
		return NoTime
	case !r.LeaderResponds:
		return NoLeader
	case p.tokens[r.Service] < 1:
		return Share
	}
	p.tokens[r.Service]--
	return Allowed
}

// Return takes back a hedge that was permitted and not sent.
func (p *Policy) Return(service uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens[service] = min(p.tokens[service]+1, burst)
}
