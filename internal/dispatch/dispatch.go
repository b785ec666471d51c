// Package dispatch passes a request to the host that leads its partition. It
// repeats only requests that were not run, and holds requests while a
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
	// A failover takes up to 0.91 s; a stale route is corrected within a few ms.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// maxHeld bounds the requests that wait between attempts.
	maxHeld = 4096
	// refusedPause is the time after which a host that refused a request may be
	// asked again without budget. With maxHeld requests that is at most 14,000
	// attempts per second.
	refusedPause = 300 * time.Millisecond
)

// Route says where a request goes.
type Route struct {
	// Local is true if this host leads the partition.
	Local bool
	// Address is the peer address of the leader host otherwise.
	Address string
}

// Routes finds the leader of a request's partition. Errors are of type
// *verdict.Error with verdict NotRun.
type Routes interface {
	Route(req *request.Request) (Route, error)
}

// Learner is implemented by Routes that remember which host answered for a
// partition, so that later requests do not follow a hint again. An empty
// address means that the last remembered host was wrong.
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
	// Repeated, if set, is told why an attempt is followed by another one.
	Repeated func(req *request.Request, code verdict.Code)
	// Dial returns the client of a host; the default is peer.Dial.
	Dial func(address string) (Peer, error)
	// Clock is the clock of the retry budget; the default is clock.BootTime.
	Clock clock.Clock
}

// Dispatcher implements request.Doer for requests of callers.
type Dispatcher struct {
	opts   Options
	budget *admission.RetryBudget
	held   atomic.Int64

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

// attempts is the state of one request between its attempts.
type attempts struct {
	// refused holds the times at which hosts refused an attempt, by address.
	refused map[string]time.Duration
	// hint is the leader that the refusal named. Only the first one is followed
	// without a wait, because two hosts can name each other.
	hint   string
	hinted bool
	// last is the reason why the request has not been run yet.
	last *verdict.Error
}

// Do implements request.Doer.
func (d *Dispatcher) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	if _, err := req.ReadBody(); err != nil { // each attempt needs the whole body
		return nil, err
	}
	d.budget.CountRequest(req.Service)
	a := &attempts{}
	for wait := minBackoff; ; wait = min(2*wait, maxBackoff) {
		ans, done, err := d.try(ctx, req, a)
		if done {
			return ans, err
		}
		if a.hint != "" && !a.hinted {
			a.hinted = true
			continue // the refusal named the leader, so there is nothing to wait for
		}
		if err := d.hold(ctx, wait/2+rand.N(wait), a); err != nil {
			return nil, err
		}
	}
}

// try makes one attempt if there is a host to send to. It returns done unless
// the request has not been run and another attempt may help.
func (d *Dispatcher) try(ctx context.Context, req *request.Request, a *attempts) (ans *request.Answer, done bool, err error) {
	route, send, err := d.route(req, a)
	if err != nil {
		return nil, true, err
	}
	if !send {
		return nil, false, nil
	}
	if route.Local {
		ans, err = d.opts.Local.Do(ctx, req)
	} else {
		ans, err = d.forward(ctx, route.Address, req)
	}
	if err == nil {
		if !route.Local {
			d.learn(req, route.Address)
		}
		return ans, true, nil
	}
	e := verdict.From(err)
	if !route.Local && (e.Code == verdict.CodeNotLeader || e.Code == verdict.CodeNoLeader) {
		// The routes of other cells follow the hint. Without that a request to a
		// cell with a new leader would need budget for each attempt, and a
		// service with few requests has none.
		d.learn(req, e.Leader)
	}
	if !repeatable(e) {
		return nil, true, e
	}
	if d.opts.Repeated != nil {
		d.opts.Repeated(req, e.Code)
	}
	a.last, a.hint = e, ""
	if e.Code != verdict.CodeNoLeader { // which means no connection to the host
		if a.refused == nil {
			a.refused = make(map[string]time.Duration)
		}
		a.refused[route.Address] = d.opts.Clock.Now()
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

// route chooses the host of the next attempt; send is false if there is none
// yet. A new leader in the routes ends the wait for a move or failover. Sending
// to a host that refused already, or to a host that only the refusal named, is
// a retry and needs budget.
func (d *Dispatcher) route(req *request.Request, a *attempts) (r Route, send bool, err error) {
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
		a.last = e
		if repeatable(e) {
			return r, false, nil
		}
		return r, false, e
	}
	if !r.Local && d.refusedLately(a, r.Address) && !d.budget.AllowRetry(req.Service) {
		return r, false, nil
	}
	return r, true, nil
}

// refusedLately reports whether the host refused the request less than
// refusedPause ago. After that it may lead again: without this, a request that
// met the gap between two terms of the same host waited for its deadline,
// because a service with few requests has no budget.
func (d *Dispatcher) refusedLately(a *attempts, address string) bool {
	at, ok := a.refused[address]
	return ok && d.opts.Clock.Now()-at < refusedPause
}

// repeatable reports whether another attempt can succeed and is safe.
func repeatable(e *verdict.Error) bool {
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

// hold waits before the next attempt. It returns the reason of the last failure
// if the deadline passes.
func (d *Dispatcher) hold(ctx context.Context, wait time.Duration, a *attempts) error {
	if d.held.Add(1) > maxHeld {
		d.held.Add(-1)
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "too many requests wait for a leader").WithRetry(time.Second)
	}
	defer d.held.Add(-1)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.CodeCancelled, verdict.NotRun, "cancelled while the request waited: %s", a.last.Message)
	}
	return a.last
}

func (d *Dispatcher) forward(ctx context.Context, address string, req *request.Request) (*request.Answer, error) {
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
