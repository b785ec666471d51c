// Package admission decides when a request may use a slot of its server. Each
// server has one Queue with a fixed number of slots. Waiting requests are
// ordered by deadline within a flow (customer and class), and the flows share
// the slots by weight. A request that would miss its deadline is refused early,
// so that no slot is spent on it.
package admission

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// recheckInterval is the interval at which a waiting request asks whether
	// its shard is still here. A move takes at least 5 ms and at most 1.31 s.
	recheckInterval = 100 * time.Millisecond
	// DefaultSlots is the number of requests that a server runs at once.
	DefaultSlots = 2
	// maxWaiting bounds one queue: with 64 KiB of body each, the bodies of a
	// full queue take 64 MiB.
	maxWaiting = 1024
	// Cold servers take load in steps over this time.
	rampTime  = 10 * time.Second
	rampSteps = 4
	// The estimate of the service time is mean + devFactor * mean deviation:
	// about 4% of exponentially distributed service times exceed it, and it is
	// the mean for constant ones.
	devFactor = 3
	gain      = 0.1 // weight of a new measurement
	// interactiveWeight is the weight of interactive requests relative to
	// background requests of the same customer.
	interactiveWeight = 4
	// Flows without waiting requests are kept for their debt until there are
	// this many of them.
	maxIdleFlows = 256
)

// Flow is the unit of fair sharing.
type Flow struct {
	Customer topology.Customer
	Class    request.Class
}

// Options configure a Queue.
type Options struct {
	Clock clock.Clock
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Weight returns the weight of a customer; nil gives each the same weight.
	Weight func(topology.Customer) float64
}

type waiter struct {
	deadline time.Duration
	flow     *flow
	index    int           // in the flow's heap; -1 when removed
	ready    chan struct{} // closed when err or the slot is set
	err      *verdict.Error
}

type flow struct {
	id     Flow
	weight float64
	// start is the virtual time at which the flow may use its next slot.
	start   float64
	waiters waiters
}

// Queue is the admission of one server. It is safe for concurrent use.
type Queue struct {
	opts Options

	mu       sync.Mutex
	slots    int
	busy     int
	waiting  int
	cold     bool
	coldAt   time.Duration
	flows    map[Flow]*flow
	active   []*flow // flows with waiting requests
	virtual  float64 // start of the flow that was served last
	mean     float64 // of the service time, in seconds
	dev      float64
	measured bool
}

// NewQueue returns a Queue with all slots free.
func NewQueue(opts Options) *Queue {
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	return &Queue{opts: opts, slots: opts.Slots, flows: make(map[Flow]*flow)}
}

// StartWarmup makes the queue raise the load in steps over 10 s from now.
func (q *Queue) StartWarmup() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cold, q.coldAt = true, q.opts.Clock.Now()
}

// Load returns the slots in use and the requests that wait.
func (q *Queue) Load() (busy, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy, q.waiting
}

// limit returns the number of slots that may be in use now.
func (q *Queue) limit(now time.Duration) int {
	if !q.cold {
		return q.slots
	}
	step := int((now - q.coldAt) * rampSteps / rampTime)
	if step >= rampSteps {
		q.cold = false
		return q.slots
	}
	return max(1, (q.slots*(step+1)+rampSteps-1)/rampSteps)
}

// Acquire waits for a slot. Its errors have verdict NotRun: overload if the
// expected wait exceeds the remaining time, deadline-exceeded and cancelled if
// the context ended while the request waited.
func (q *Queue) Acquire(ctx context.Context, id Flow) (*Slot, *verdict.Error) {
	return q.AcquireWhile(ctx, id, nil)
}

// AcquireWhile is Acquire for a request that this queue is right for only while
// still returns true. It is asked every recheckInterval and must be cheap. The
// error is no-owner when it returns false: the slots of a frozen server can stay
// taken for longer than the time in which its shards move.
func (q *Queue) AcquireWhile(ctx context.Context, id Flow, still func() bool) (*Slot, *verdict.Error) {
	remaining := request.MaxTimeout
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d)
	}
	if ctx.Err() != nil || remaining <= 0 {
		return nil, waitEnded(ctx)
	}
	q.mu.Lock()
	now := q.opts.Clock.Now()
	f := q.flow(id)
	if q.waiting == 0 && q.busy < q.limit(now) {
		s := q.grant(f, now)
		q.mu.Unlock()
		return s, nil
	}
	w := &waiter{deadline: now + remaining, flow: f, ready: make(chan struct{})}
	if err := q.refuse(w, now, remaining); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.push(w)
	q.mu.Unlock()
	return q.wait(ctx, w, still)
}

func (q *Queue) wait(ctx context.Context, w *waiter, still func() bool) (*Slot, *verdict.Error) {
	var recheck <-chan time.Time
	if still != nil {
		t := time.NewTicker(recheckInterval)
		defer t.Stop()
		recheck = t.C
	}
	for waiting := true; waiting; {
		select {
		case <-w.ready:
			waiting = false
		case <-ctx.Done():
			if q.giveUp(w) {
				return nil, waitEnded(ctx)
			}
			waiting = false
		case <-recheck:
			if !still() && q.giveUp(w) {
				return nil, verdict.New(verdict.CodeNoOwner, verdict.NotRun, "the shard moved while the request waited")
			}
		}
	}
	return q.taken(ctx, w)
}

// giveUp takes a waiter off the queue. It returns false if the waiter has got a
// slot or an error already.
func (q *Queue) giveUp(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue) taken(ctx context.Context, w *waiter) (*Slot, *verdict.Error) {
	<-w.ready
	if w.err != nil {
		return nil, w.err
	}
	s := &Slot{q: q, flow: w.flow, start: q.opts.Clock.Now()}
	if ctx.Err() != nil {
		s.Release(false)
		return nil, waitEnded(ctx)
	}
	return s, nil
}

func waitEnded(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.CodeCancelled, verdict.NotRun, "cancelled before the request was sent")
	}
	return verdict.New(verdict.CodeDeadline, verdict.NotRun, "deadline passed before the request was sent")
}

// estimate returns the time that a request takes at the server, in seconds, at
// the safe side.
func (q *Queue) estimate() float64 { return q.mean + devFactor*q.dev }

// refuse returns an error if w cannot be served in time. The wait is the
// smaller of two bounds: the whole queue ahead of w, and the requests of its own
// flow ahead of w at the flow's share of the slots.
func (q *Queue) refuse(w *waiter, now, remaining time.Duration) *verdict.Error {
	if q.waiting >= maxWaiting {
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "queue of the server is full").WithRetry(time.Second)
	}
	perSlot := q.mean / float64(q.limit(now))
	total := float64(q.waiting+1) * perSlot
	ahead, weights := 1, w.flow.weight
	for _, o := range w.flow.waiters {
		if o.deadline <= w.deadline {
			ahead++
		}
	}
	for _, f := range q.active {
		if f != w.flow {
			weights += f.weight
		}
	}
	fair := float64(ahead) * perSlot * weights / w.flow.weight
	wait := min(total, fair)
	if wait+q.estimate() <= remaining.Seconds() {
		return nil
	}
	expected := time.Duration(wait * float64(time.Second))
	return verdict.New(verdict.CodeOverload, verdict.NotRun, "expected wait of %s does not fit into the remaining %s",
		expected.Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetry(expected)
}

// next gives free slots to waiting requests.
func (q *Queue) next() {
	now := q.opts.Clock.Now()
	for q.waiting > 0 && q.busy < q.limit(now) {
		f := q.active[0]
		for _, o := range q.active[1:] {
			if o.start < f.start {
				f = o
			}
		}
		w := f.waiters[0]
		q.remove(w)
		if left := w.deadline - now; left <= 0 || q.busy > 0 && left.Seconds() < q.estimate() {
			w.err = verdict.New(verdict.CodeOverload, verdict.NotRun, "remaining %s is too short for the request", left.Round(time.Millisecond)).WithRetry(time.Second)
			close(w.ready)
			continue
		}
		q.grant(f, now)
		close(w.ready)
	}
}

// grant takes a slot for the flow and charges the flow the mean service time.
func (q *Queue) grant(f *flow, now time.Duration) *Slot {
	q.busy++
	f.start = max(f.start, q.virtual)
	q.virtual = f.start
	f.start += q.cost() / f.weight
	return &Slot{q: q, flow: f, start: now}
}

// cost is the charge for one request before its service time is known. Before
// the first measurement every request costs the same.
func (q *Queue) cost() float64 {
	if !q.measured {
		return 1e-3
	}
	return q.mean
}

func (q *Queue) flow(id Flow) *flow {
	f, ok := q.flows[id]
	if ok {
		return f
	}
	if len(q.flows) > len(q.active)+maxIdleFlows {
		for key, o := range q.flows {
			if len(o.waiters) == 0 && o.start <= q.virtual {
				delete(q.flows, key)
			}
		}
	}
	f = &flow{id: id, weight: 1, start: q.virtual}
	if q.opts.Weight != nil {
		if share := q.opts.Weight(id.Customer); share > 0 {
			f.weight = share
		}
	}
	if id.Class != request.Background {
		f.weight *= interactiveWeight
	}
	q.flows[id] = f
	return f
}

func (q *Queue) push(w *waiter) {
	if len(w.flow.waiters) == 0 {
		w.flow.start = max(w.flow.start, q.virtual)
		q.active = append(q.active, w.flow)
	}
	heap.Push(&w.flow.waiters, w)
	q.waiting++
}

func (q *Queue) remove(w *waiter) {
	heap.Remove(&w.flow.waiters, w.index)
	q.waiting--
	if len(w.flow.waiters) == 0 {
		q.active = slices.DeleteFunc(q.active, func(f *flow) bool { return f == w.flow })
	}
}

// Slot is the right to run one request at the server.
type Slot struct {
	q     *Queue
	flow  *flow
	start time.Duration
	once  sync.Once
}

// Release gives the slot back. If the request was served, its time enters the
// estimate and corrects the charge of its flow.
func (s *Slot) Release(served bool) {
	s.once.Do(func() { s.release(served) })
}

// ReleaseAfter gives the slot back after d. It is for a request that the server
// may still run although the exchange has ended.
func (s *Slot) ReleaseAfter(d time.Duration) {
	time.AfterFunc(d, func() { s.Release(false) })
}

func (s *Slot) release(served bool) {
	q := s.q
	q.mu.Lock()
	defer q.mu.Unlock()
	if took := (q.opts.Clock.Now() - s.start).Seconds(); served {
		if q.measured {
			s.flow.start += (took - q.mean) / s.flow.weight
			q.dev += gain * (max(took-q.mean, q.mean-took) - q.dev)
			q.mean += gain * (took - q.mean)
		} else {
			q.mean, q.dev, q.measured = took, took/2, true
		}
	}
	q.busy--
	q.next()
}

// waiters is a heap ordered by deadline.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
