// Package dispatch forwards a request to the host that leads its partition. It
// retries only requests that were not run, and makes requests wait while a
// partition has no leader.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/admission"
	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// A failover takes up to 0.91 s. A stale route is corrected within a few ms.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// maxWaiting limits the requests that wait between attempts.
	maxWaiting = 4096
	// refusalPause is the time after which a request may be sent again, without
	// use of the retry budget, to a host that refused it. With maxWaiting requests
	// that is at most 14,000 attempts per second.
	refusalPause = 300 * time.Millisecond
)

// Route is the destination of a request.
type Route struct {
	// Local is true if this host leads the partition.
	Local bool
	// Address is the peer address of the leader host if Local is false.
	Address string
}

// Routes finds the leader of a request's partition. Errors are of type
// *verdict.Error with verdict NotRun.
type Routes interface {
	Route(req *request.Request) (Route, error)
}

// Learner is implemented by Routes that store which host responded for a
// partition, so that later requests are sent there directly. An empty address
// means that the stored host was wrong.
type Learner interface {
	Learn(req *request.Request, address string)
}

// Peer forwards requests to one host.
type Peer interface {
	request.Doer
	Close() error
}

// Options configure a Dispatcher. Routes and Local are required.
type Options struct {
	Routes Routes
	// Local executes the requests of partitions that this host leads.
	Local request.Doer
	// OnRetry, if set, is called with the error code after each failed attempt
	// that may be retried.
	OnRetry func(req *request.Request, code verdict.Code)
	// Dial returns the client of a host; the default is peer.Dial.
	Dial func(address string) (Peer, error)
	// Clock measures time for the retry budget and refusalPause; the default is
	// clock.BootTime.
	Clock clock.Clock
}

// Dispatcher sends requests of callers to the leader of their partition. It
// implements request.Doer.
type Dispatcher struct {
	opts    Options
	budget  *admission.RetryBudget
	waiting atomic.Int64

	mu    sync.Mutex
	peers map[string]Peer
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Clock == nil {
		opts.Clock = clock.BootTime{}
	}
	if opts.Dial == nil {
		opts.Dial = func(address string) (Peer, error) { return peer.Dial(address) }
	}
	return &Dispatcher{opts: opts, budget: admission.NewRetryBudget(opts.Clock), peers: make(map[string]Peer)}
}

// Close closes the connections to other hosts.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.peers {
		_ = p.Close()
		delete(d.peers, address)
	}
}

// attemptState is the state of one request between its attempts.
type attemptState struct {
	// refusedAt maps host addresses to the times at which they refused an attempt.
	refusedAt map[string]time.Duration
	// hint is the leader that the refusal named. Only the first hint is followed
	// without a wait, because two hosts can name each other.
	hint         string
	hintFollowed bool
	// lastErr is the reason why the request has not been run yet.
	lastErr *verdict.Error
}

// Do implements request.Doer.
func (d *Dispatcher) Do(ctx context.Context, req *request.Request) (*request.Response, error) {
	if _, err := req.ReadBody(); err != nil { // each attempt needs the whole body
		return nil, err
	}
	d.budget.CountRequest(req.Service)
	a := &attemptState{}
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		resp, done, err := d.try(ctx, req, a)
		if done {
			return resp, err
		}
		if a.hint != "" && !a.hintFollowed {
			a.hintFollowed = true
			continue // the refusal named the leader, so no wait is needed
		}
		if err := d.backOff(ctx, wait/2+rand.N(wait), a); err != nil {
			return nil, err
		}
	}
}

// try makes one attempt if the request can be sent to a host. done is false if
// the request has not been run and another attempt can succeed.
func (d *Dispatcher) try(ctx context.Context, req *request.Request, a *attemptState) (resp *request.Response, done bool, err error) {
	route, send, err := d.route(req, a)
	if err != nil {
		return nil, true, err
	}
	if !send {
		return nil, false, nil
	}
	if route.Local {
		resp, err = d.opts.Local.Do(ctx, req)
	} else {
		resp, err = d.forward(ctx, route.Address, req)
	}
	if err == nil {
		if !route.Local {
			d.learn(req, route.Address)
		}
		return resp, true, nil
	}
	e := verdict.From(err)
	if !route.Local && (e.Code == verdict.CodeNotLeader || e.Code == verdict.CodeNoLeader) {
		// The routes to other cells follow the hint. Otherwise each attempt to
		// reach a cell with a new leader would need retry budget, and a service
		// with few requests has none.
		d.learn(req, e.Leader)
	}
	if !retryable(e) {
		return nil, true, e
	}
	if d.opts.OnRetry != nil {
		d.opts.OnRetry(req, e.Code)
	}
	a.lastErr, a.hint = e, ""
	if e.Code != verdict.CodeNoLeader { // NoLeader means that there was no connection to the host
		if a.refusedAt == nil {
			a.refusedAt = make(map[string]time.Duration)
		}
		a.refusedAt[route.Address] = d.opts.Clock.Now()
	}
	if e.Leader != route.Address {
		a.hint = e.Leader
	}
	return nil, false, nil
}

func (d *Dispatcher) learn(req *request.Request, address string) {
	if l, ok := d.opts.Routes.(Learner); ok {
		l.Learn(req, address)
	}
}

// route chooses the host of the next attempt. send is false if there is none
// yet. When the routes show a new leader, the wait for a move or failover is
// over. Sending to a host that has recently refused the request, or to a host
// that only the refusal named, is a retry and needs retry budget.
func (d *Dispatcher) route(req *request.Request, a *attemptState) (r Route, send bool, err error) {
	if hint := a.hint; hint != "" {
		a.hint = ""
		if d.budget.AllowRetry(req.Service) {
			return Route{Address: hint}, true, nil
		}
	}
	r, err = d.opts.Routes.Route(req)
	if err != nil {
		e := verdict.From(err)
		if e.Verdict != verdict.NotRun { // nothing was sent
			e = verdict.New(e.Code, verdict.NotRun, "%s", e.Message)
		}
		a.lastErr = e
		if retryable(e) {
			return r, false, nil
		}
		return r, false, e
	}
	if !r.Local && d.recentlyRefused(a, r.Address) && !d.budget.AllowRetry(req.Service) {
		return r, false, nil
	}
	return r, true, nil
}

// recentlyRefused reports whether the host refused the request less than
// refusalPause ago. After that the host may lead again. Without this limit, a
// request that arrived between two leaderships of the same host waited until its
// deadline, because a service with few requests has no retry budget.
func (d *Dispatcher) recentlyRefused(a *attemptState, address string) bool {
	at, ok := a.refusedAt[address]
	return ok && d.opts.Clock.Now()-at < refusalPause
}

// retryable reports whether another attempt is safe and can succeed.
func retryable(e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun {
		return false
	}
	switch e.Code {
	case verdict.CodeNotLeader, verdict.CodeNoLeader, verdict.CodeNoOwner, verdict.CodeFence, verdict.CodeShuttingDown:
		return true
	case verdict.CodeServerFailed: // the server refuses connections until its grants end
		return true
	}
	return false
}

// backOff waits before the next attempt. If the deadline passes, it returns the
// error of the last attempt.
func (d *Dispatcher) backOff(ctx context.Context, wait time.Duration, a *attemptState) error {
	if d.waiting.Add(1) > maxWaiting {
		d.waiting.Add(-1)
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "too many requests wait for a leader of their partition").WithRetry(time.Second)
	}
	defer d.waiting.Add(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.CodeCancelled, verdict.NotRun, "cancelled while waiting for the next attempt: %s", a.lastErr.Message)
	}
	return a.lastErr
}

func (d *Dispatcher) forward(ctx context.Context, address string, req *request.Request) (*request.Response, error) {
	p, err := d.peer(address)
	if err != nil {
		return nil, verdict.New(verdict.CodeNoLeader, verdict.NotRun, "leader host %s: %v", address, err)
	}
	return p.Do(ctx, req)
}

func (d *Dispatcher) peer(address string) (Peer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[address]; ok {
		return p, nil
	}
	p, err := d.opts.Dial(address)
	if err != nil {
		return nil, err
	}
	d.peers[address] = p
	return p, nil
}
