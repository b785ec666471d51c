package membudget

import (
	"sync"
	"time"
)

// RequestBudget is the memory that the requests of callers hold together. It is made for many
// callers that send large bodies at once, and of which most stop before the end and keep
// their connections open. While a request is received it yields to others: first those
// that are slow, then those that hold the most. A request that was received completely
// keeps its memory. The reserve is left for small requests, so that these always find room.
// It is safe for concurrent use.
type RequestBudget struct {
	mu             sync.Mutex
	total, reserve int64
	slowAfter      time.Duration
	used           int64
	// large is the part of used that requests hold which may not use the reserve,
	// receivingPart that of receiving and yieldingPart that of yielding.
	large, receivingPart, yieldingPart int64
	// receiving holds the requests that are being received, yielding those that were told to
	// yield and have not released their memory.
	receiving, yielding map[*Upload]bool
	changed             chan struct{} // closed when waiting requests are to try again; nil if none waits
}

const (
	// reserveShare is the share of the budget that large and pipelined requests leave for
	// small ones. On the smallest host (144 MB, budget of 76 MB) the rest holds the largest
	// body that callers may send (64 MiB).
	reserveShare = 0.12
	// SmallRequest is the largest request in bytes that may use the reserve: the largest head
	// (16 KiB), counted twice since it is held as text and in its fields, or a body as large.
	SmallRequest = 40 << 10
)

// NewRequestBudget returns a request budget of total bytes. A request counts as slow if it has not grown for
// slowAfter.
func NewRequestBudget(total int64, slowAfter time.Duration) *RequestBudget {
	return &RequestBudget{
		total: total, reserve: int64(reserveShare * float64(total)), slowAfter: slowAfter,
		receiving: make(map[*Upload]bool), yielding: make(map[*Upload]bool),
	}
}

// Used returns the number of bytes that are held.
func (in *RequestBudget) Used() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used
}

// Hold makes the budget hold n bytes more, whether there is room or not, or fewer if n is
// negative. It is for what is bounded elsewhere.
func (in *RequestBudget) Hold(n int64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.used += n
	if n < 0 {
		in.wakeWaiting()
	}
}

// wakeWaiting lets waiting requests try again. The caller holds the lock.
func (in *RequestBudget) wakeWaiting() {
	if in.changed != nil {
		close(in.changed)
		in.changed = nil
	}
}

// Upload is the share of one request.
type Upload struct {
	budget    *RequestBudget
	pipelined bool
	held      int64
	grownAt   time.Duration
	yield     func()
}

// Upload returns the share of a request, which holds nothing yet. A request that is pipelined
// behind another of its connection may not use the reserve.
func (in *RequestBudget) Upload(pipelined bool, now time.Duration) *Upload {
	return &Upload{budget: in, pipelined: pipelined, grownAt: now}
}

// largePart returns how much of held bytes counts as large.
func (u *Upload) largePart(held int64) int64 {
	if u.pipelined || held > SmallRequest {
		return held
	}
	return 0
}

// missing returns how many bytes must be released before u can hold n more, if the given
// number of bytes is released anyway.
func (u *Upload) missing(n, released int64) int64 {
	in := u.budget
	lacking := in.used + n - in.total
	if part := u.largePart(u.held + n); part > 0 {
		lacking = max(lacking, in.large-u.largePart(u.held)+part-(in.total-in.reserve))
	}
	return lacking - released
}

// Grow makes the request hold n bytes more. If there is no room now but others yield, it
// returns a channel that is closed when the request is to try again. If it returns neither,
// the request is to be refused.
func (u *Upload) Grow(n int64, now time.Duration) (ok bool, retry <-chan struct{}) {
	in := u.budget
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.yielding[u] {
		return false, nil
	}
	if u.missing(n, 0) <= 0 {
		u.setHeld(u.held + n)
		u.grownAt = now
		return true, nil
	}
	missing := u.missing(n, in.yieldingPart)
	if missing > 0 && !in.makeRoom(u, n, missing, now) {
		return false, nil
	}
	if in.changed == nil {
		in.changed = make(chan struct{})
	}
	return false, in.changed
}

// makeRoom tells requests to yield to u, which wants n bytes, until the missing bytes are
// about to be released. It returns false, and tells none, if that is not enough.
func (in *RequestBudget) makeRoom(u *Upload, n, missing int64, now time.Duration) bool {
	if in.isSlow(u, now) {
		return false
	}
	givesWay := func(v *Upload) bool {
		return v != u && !in.yielding[v] && v.held > 0 && (in.isSlow(v, now) || v.held > u.held+n)
	}
	available := int64(0)
	for v := range in.receiving {
		if givesWay(v) {
			available += v.held
		}
	}
	if available < missing {
		return false
	}
	for missing > 0 {
		var first *Upload
		for v := range in.receiving {
			if givesWay(v) && (first == nil || in.before(v, first, now)) {
				first = v
			}
		}
		missing -= first.held
		in.tellToYield(first)
	}
	return true
}

func (in *RequestBudget) isSlow(u *Upload, now time.Duration) bool {
	return now-u.grownAt >= in.slowAfter
}

// before reports whether a yields before b: slow requests first, then those that hold more.
func (in *RequestBudget) before(a, b *Upload, now time.Duration) bool {
	if slow := in.isSlow(a, now); slow != in.isSlow(b, now) {
		return slow
	}
	return a.held > b.held
}

// tellToYield tells a request that is being received to yield. The caller holds the lock.
func (in *RequestBudget) tellToYield(v *Upload) {
	in.yielding[v] = true
	in.yieldingPart += v.held
	v.yield()
	in.wakeWaiting() // v may wait itself
}

// YieldSlow tells the request that has been slow for the longest time to yield. It returns
// false if none is slow.
func (in *RequestBudget) YieldSlow(now time.Duration) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	var slowest *Upload
	for v := range in.receiving {
		if !in.yielding[v] && in.isSlow(v, now) && (slowest == nil || v.grownAt < slowest.grownAt) {
			slowest = v
		}
	}
	if slowest == nil {
		return false
	}
	in.tellToYield(slowest)
	return true
}

// CouldHold reports whether there would be room for n bytes more if all other requests that
// are being received yielded.
func (u *Upload) CouldHold(n int64) bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	others := u.budget.receivingPart
	if u.budget.receiving[u] {
		others -= u.held
	}
	return u.missing(n, others) <= 0
}

// Receive says that the request is being received from now on. Until Complete the
// request may be told to yield by yield, once; yield must not call the budget.
func (u *Upload) Receive(yield func()) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.yield = yield
	u.budget.receiving[u] = true
	u.budget.receivingPart += u.held
}

// Complete says that the whole request was received. It returns false if the request gives
// way: it must be refused.
func (u *Upload) Complete() bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.stopReceiving()
	return !u.budget.yielding[u]
}

// Yielding reports whether the request was told to yield.
func (u *Upload) Yielding() bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.budget.yielding[u]
}

func (u *Upload) stopReceiving() {
	if u.budget.receiving[u] {
		delete(u.budget.receiving, u)
		u.budget.receivingPart -= u.held
	}
}

func (u *Upload) setHeld(held int64) {
	in := u.budget
	in.used += held - u.held
	in.large += u.largePart(held) - u.largePart(u.held)
	if in.receiving[u] {
		in.receivingPart += held - u.held
	}
	if in.yielding[u] {
		in.yieldingPart += held - u.held
	}
	u.held = held
}

// Release returns all bytes of the request to the budget.
func (u *Upload) Release() {
	in := u.budget
	in.mu.Lock()
	defer in.mu.Unlock()
	u.stopReceiving()
	u.setHeld(0)
	delete(in.yielding, u)
	in.wakeWaiting()
}
