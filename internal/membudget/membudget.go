// Package membudget limits the memory that all exchanges of a process hold
// together.
//
// It is made for peers that send without end. A limit for each exchange would have
// to be so low that it harms proper responses, or so high that a few exchanges
// exhaust the memory. Here each exchange may hold at most as much as is free, so one
// gets at most half of the budget, two a third each, and others always find a rest.
package membudget

import "sync"

// Budget is the memory that its holders may hold together. It is safe for concurrent
// use.
type Budget struct {
	mu          sync.Mutex
	total, used int64 // in bytes
}

// New returns a budget of total bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder is the share of one exchange. It is not safe for concurrent use.
type Holder struct {
	budget *Budget
	held   int64
}

// Holder returns a holder of no bytes.
func (b *Budget) Holder() *Holder { return &Holder{budget: b} }

// Grow makes the holder hold n bytes more. It returns false, and changes nothing, if
// the holder would then hold more than is left for others.
func (h *Holder) Grow(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.held+n > b.total-b.used-n {
		return false
	}
	h.held += n
	b.used += n
	return true
}

// ordinaryShare is the share of a budget that one holder may hold and still count as ordinary.
const ordinaryShare = 0.125

// IsOrdinary reports whether the holder would hold a small share of the budget with n bytes
// more, so that others are to make room for it.
func (h *Holder) IsOrdinary(n int64) bool {
	return float64(h.held+n) <= ordinaryShare*float64(h.budget.total)
}

// Shrink returns n of the bytes of the holder to the budget.
func (h *Holder) Shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	n = min(n, h.held)
	h.budget.used -= n
	h.held -= n
}

// Release returns all bytes of the holder to the budget.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.held
	h.held = 0
}
