// Package admission limits the concurrent requests of each server and the
// retries of each service. Each server has one Queue with a fixed number of
// slots. Within a flow (a customer and a request class) the earliest deadline
// goes first, and start-time fair queueing divides the slots among the flows by
// weight. A request that is expected to miss its deadline is refused early, so
// that it does not waste a slot.
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
	// ownerCheckInterval is the time between two checks of a waiting request
	// whether the server still owns its shard. A shard moves within 5 ms to
	// 1.31 s.
	ownerCheckInterval = 100 * time.Millisecond
	// DefaultSlots is the default of Options.Slots.
	DefaultSlots = 2
	// maxWaiting bounds the memory of one queue: 1024 requests with bodies of
	// 64 KiB take 64 MiB.
	maxWaiting = 1024
	// During the warm-up of a server the number of usable slots grows in
	// warmupSteps steps of equal length.
	warmupDuration = 10 * time.Second
	warmupSteps    = 4
	// The service time is estimated as mean + devFactor * mean deviation.
	// About 4% of exponentially distributed service times exceed this estimate.
	// For constant service times it equals the mean.
	devFactor  = 3
	ewmaWeight = 0.1 // of a new measurement in the moving averages
	// interactiveWeight is the weight of interactive requests relative to
	// background requests of the same customer.
	interactiveWeight = 4
	// A flow without waiting requests is kept, because its start tag accounts for
	// the service that it has received. With more than maxIdleFlows of them, those
	// whose start tag has been reached are removed.
	maxIdleFlows = 256
)

// Flow identifies the requests that share one queue of waiting requests and one
// weight.
type Flow struct {
	Customer topology.Customer
	Class    request.Class
}

// Options configure a Queue.
type Options struct {
	Clock clock.Clock
	// Slots is the number of requests that the server runs at the same time. The
	// default is DefaultSlots.
	Slots int
	// Weight returns the weight of a customer. If it is nil, all customers have
	// the same weight.
	Weight func(topology.Customer) float64
}

type waiter struct {
	deadline time.Duration
	flow     *flow
	index    int           // in the heap of the flow; -1 after removal
	ready    chan struct{} // closed when a slot was assigned or err was set
	err      *verdict.Error
}

type flow struct {
	id     Flow
	weight float64
	// startTag is the virtual time at which the next request of the flow starts.
	startTag float64
	waiters  waiters
}

// Queue assigns the slots of one server to requests. It is safe for concurrent
// use.
type Queue struct {
	opts Options

	mu              sync.Mutex
	slots           int
	busy            int // slots in use
	waiting         int // waiters in the queue
	warmingUp       bool
	warmupStart     time.Duration
	flows           map[Flow]*flow
	active          []*flow // flows with waiting requests
	virtualTime     float64 // start tag of the flow that received a slot last
	meanServiceTime float64 // exponentially weighted, in seconds
	meanDeviation   float64 // of the service time from its mean, in seconds
	hasMeasurement  bool    // of the service time
}

// NewQueue returns a Queue with all slots free.
func NewQueue(opts Options) *Queue {
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	return &Queue{opts: opts, slots: opts.Slots, flows: make(map[Flow]*flow)}
}

// StartWarmup limits the slots in use to a quarter of all slots, rounded up, and
// raises the limit in steps until it reaches all of them after 10 s.
func (q *Queue) StartWarmup() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.warmingUp, q.warmupStart = true, q.opts.Clock.Now()
}

// Load returns the number of slots in use and of waiting requests.
func (q *Queue) Load() (busy, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy, q.waiting
}

// slotLimit returns the number of slots that may be in use now.
func (q *Queue) slotLimit(now time.Duration) int {
	if !q.warmingUp {
		return q.slots
	}
	step := int((now - q.warmupStart) * warmupSteps / warmupDuration)
	if step >= warmupSteps {
		q.warmingUp = false
		return q.slots
	}
	return max(1, (q.slots*(step+1)+warmupSteps-1)/warmupSteps)
}

// Acquire waits for a slot. Its errors have the verdict NotRun: overload if the
// queue is full or the remaining time does not suffice for the expected wait and
// service time, deadline-exceeded or cancelled if the context ended first.
func (q *Queue) Acquire(ctx context.Context, id Flow) (*Slot, *verdict.Error) {
	return q.AcquireWhile(ctx, id, nil)
}

// AcquireWhile is like Acquire, but returns the error no-owner (not run) if
// ownsShard returns false during the wait. The slots of a server that hangs can
// stay in use for longer than it takes to move its shards to another server.
// ownsShard is called every ownerCheckInterval by each waiting request, so it
// must be cheap.
func (q *Queue) AcquireWhile(ctx context.Context, id Flow, ownsShard func() bool) (*Slot, *verdict.Error) {
	remaining := request.MaxTimeout
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d)
	}
	if ctx.Err() != nil || remaining <= 0 {
		return nil, contextError(ctx)
	}
	q.mu.Lock()
	now := q.opts.Clock.Now()
	f := q.flow(id)
	if q.waiting == 0 && q.busy < q.slotLimit(now) {
		s := q.takeSlot(f, now)
		q.mu.Unlock()
		return s, nil
	}
	w := &waiter{deadline: now + remaining, flow: f, ready: make(chan struct{})}
	if err := q.overloadError(w, now, remaining); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.push(w)
	q.mu.Unlock()
	return q.wait(ctx, w, ownsShard)
}

func (q *Queue) wait(ctx context.Context, w *waiter, ownsShard func() bool) (*Slot, *verdict.Error) {
	var ownerCheck <-chan time.Time
	if ownsShard != nil {
		t := time.NewTicker(ownerCheckInterval)
		defer t.Stop()
		ownerCheck = t.C
	}
	for waiting := true; waiting; {
		select {
		case <-w.ready:
			waiting = false
		case <-ctx.Done():
			if q.removeIfQueued(w) {
				return nil, contextError(ctx)
			}
			waiting = false
		case <-ownerCheck:
			if !ownsShard() && q.removeIfQueued(w) {
				return nil, verdict.New(verdict.CodeNoOwner, verdict.NotRun, "the shard moved while the request waited in the queue of its server")
			}
		}
	}
	return q.waitResult(ctx, w)
}

// removeIfQueued removes a waiter from the queue. It returns false if the waiter
// already has a slot or an error.
func (q *Queue) removeIfQueued(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return false
	}
	q.remove(w)
	return true
}

// waitResult returns the slot or the error of a waiter that has left the queue. If
// the context has ended, it releases the slot.
func (q *Queue) waitResult(ctx context.Context, w *waiter) (*Slot, *verdict.Error) {
	<-w.ready
	if w.err != nil {
		return nil, w.err
	}
	s := &Slot{q: q, flow: w.flow, start: q.opts.Clock.Now()}
	if ctx.Err() != nil {
		s.Release(false)
		return nil, contextError(ctx)
	}
	return s, nil
}

// contextError returns the error for a request whose context ended before it was
// sent.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.New(verdict.CodeCancelled, verdict.NotRun, "cancelled before the request was sent")
	}
	return verdict.New(verdict.CodeDeadline, verdict.NotRun, "deadline passed before the request was sent")
}

// serviceTimeEstimate returns a conservative estimate of the service time of a
// request in seconds.
func (q *Queue) serviceTimeEstimate() float64 { return q.meanServiceTime + devFactor*q.meanDeviation }

// overloadError returns an error if the queue is full or w is not expected to
// complete by its deadline. The expected wait is the smaller of two estimates:
// one assumes that all queued requests are served before w, the other that only
// the requests of its flow with an earlier deadline are, at the flow's share of
// the slots.
func (q *Queue) overloadError(w *waiter, now, remaining time.Duration) *verdict.Error {
	if q.waiting >= maxWaiting {
		return verdict.New(verdict.CodeOverload, verdict.NotRun, "the queue of the server is full").WithRetry(time.Second)
	}
	perRequest := q.meanServiceTime / float64(q.slotLimit(now))
	queueWait := float64(q.waiting+1) * perRequest
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
	flowWait := float64(ahead) * perRequest * weights / w.flow.weight
	wait := min(queueWait, flowWait)
	if wait+q.serviceTimeEstimate() <= remaining.Seconds() {
		return nil
	}
	expected := time.Duration(wait * float64(time.Second))
	return verdict.New(verdict.CodeOverload, verdict.NotRun, "expected wait of %s leaves too little of the remaining %s to serve the request",
		expected.Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetry(expected)
}

// assignFreeSlots assigns free slots to waiting requests, in the order of the
// start tags of their flows. It refuses a request whose remaining time is less
// than the estimated service time. If no slot is in use, it refuses only requests
// whose deadline has passed.
func (q *Queue) assignFreeSlots() {
	now := q.opts.Clock.Now()
	for q.waiting > 0 && q.busy < q.slotLimit(now) {
		f := q.active[0]
		for _, o := range q.active[1:] {
			if o.startTag < f.startTag {
				f = o
			}
		}
		w := f.waiters[0]
		q.remove(w)
		if left := w.deadline - now; left <= 0 || q.busy > 0 && left.Seconds() < q.serviceTimeEstimate() {
			w.err = verdict.New(verdict.CodeOverload, verdict.NotRun, "remaining time of %s is too short to serve the request", left.Round(time.Millisecond)).WithRetry(time.Second)
			close(w.ready)
			continue
		}
		q.takeSlot(f, now)
		close(w.ready)
	}
}

// takeSlot takes a slot for a request of the flow and advances the start tag of
// the flow by the cost of the request.
func (q *Queue) takeSlot(f *flow, now time.Duration) *Slot {
	q.busy++
	f.startTag = max(f.startTag, q.virtualTime)
	q.virtualTime = f.startTag
	f.startTag += q.requestCost() / f.weight
	return &Slot{q: q, flow: f, start: now}
}

// requestCost returns the expected service time of a request in seconds, which
// Slot.Release corrects with the measured one. Before the first measurement every
// request costs 1 ms.
func (q *Queue) requestCost() float64 {
	if !q.hasMeasurement {
		return 1e-3
	}
	return q.meanServiceTime
}

// flow returns the flow with the given id and creates it if necessary.
func (q *Queue) flow(id Flow) *flow {
	f, ok := q.flows[id]
	if ok {
		return f
	}
	if len(q.flows) > len(q.active)+maxIdleFlows {
		for key, o := range q.flows {
			if len(o.waiters) == 0 && o.startTag <= q.virtualTime {
				delete(q.flows, key)
			}
		}
	}
	f = &flow{id: id, weight: 1, startTag: q.virtualTime}
	if q.opts.Weight != nil {
		if customerWeight := q.opts.Weight(id.Customer); customerWeight > 0 {
			f.weight = customerWeight
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
		w.flow.startTag = max(w.flow.startTag, q.virtualTime)
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

// Release frees the slot. If the request was served, its service time updates the
// estimate and corrects the start tag of its flow. Only the first call has an
// effect.
func (s *Slot) Release(served bool) {
	s.once.Do(func() { s.release(served) })
}

// ReleaseAfter frees the slot after d. It is for a request that the server may
// still run although the exchange has ended.
func (s *Slot) ReleaseAfter(d time.Duration) {
	time.AfterFunc(d, func() { s.Release(false) })
}

func (s *Slot) release(served bool) {
	q := s.q
	q.mu.Lock()
	defer q.mu.Unlock()
	if took := (q.opts.Clock.Now() - s.start).Seconds(); served {
		if q.hasMeasurement {
			s.flow.startTag += (took - q.meanServiceTime) / s.flow.weight
			q.meanDeviation += ewmaWeight * (max(took-q.meanServiceTime, q.meanServiceTime-took) - q.meanDeviation)
			q.meanServiceTime += ewmaWeight * (took - q.meanServiceTime)
		} else {
			q.meanServiceTime, q.meanDeviation, q.hasMeasurement = took, took/2, true
		}
	}
	q.busy--
	q.assignFreeSlots()
}

// waiters is a min-heap ordered by deadline.
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
