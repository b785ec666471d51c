// Package hotkey finds the most requested keys of a partition in bounded
// memory.
//
// Sketch is the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005)
// with exponential decay. It holds a fixed number of counters. A key without a
// counter replaces the key with the smallest count, and that count becomes the
// error of the new key.
//
// Bounds, with W the decayed weight of all requests and m the number of
// counters:
//
//   - every key with a decayed weight over W/m has a counter;
//   - the true decayed weight of a key lies between Count-Error and Count;
//   - Error is at most W/m.
//
// Decay multiplies all counts, errors and W by the same factor, so it keeps
// these bounds.
package hotkey

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// DefaultCounters is the number of counters per partition. Errors are then
// under 0.1% of the partition's request rate.
const DefaultCounters = 1024

// DefaultHalfLife is the half-life of the counts: a request from a minute ago
// counts 1/16 of a current one.
const DefaultHalfLife = 15 * time.Second

// Entry is one key with its estimated request weight per second. The true
// rate lies between Rate-Error and Rate.
type Entry[K comparable] struct {
	Key         K
	Rate, Error float64
}

// counter is the decayed count of one key.
type counter[K comparable] struct {
	key          K
	count, error float64
	heapIndex    int32
}

// Sketch counts keys of type K. It is not safe for concurrent use.
type Sketch[K comparable] struct {
	halfLife time.Duration
	counters []counter[K]
	// heap orders the counters by count, smallest first.
	heap  []int32
	index map[K]int32 // index in counters by key
	total float64     // decayed weight of all requests
	// seconds is the decayed time that the counts cover.
	seconds float64
}

// New returns an empty sketch with the given number of counters. Both
// arguments must be positive.
func New[K comparable](counters int, halfLife time.Duration) *Sketch[K] {
	return &Sketch[K]{
		halfLife: halfLife,
		counters: make([]counter[K], 0, counters),
		heap:     make([]int32, 0, counters),
		index:    make(map[K]int32, counters),
	}
}

// Add counts a request of the given positive weight. It allocates nothing
// once all counters are in use.
func (s *Sketch[K]) Add(key K, weight float64) {
	s.total += weight
	if i, ok := s.index[key]; ok {
		s.counters[i].count += weight
		s.siftDown(int(s.counters[i].heapIndex))
		return
	}
	if n := len(s.counters); n < cap(s.counters) {
		s.counters = append(s.counters, counter[K]{key: key, count: weight, heapIndex: int32(n)})
		s.heap = append(s.heap, int32(n))
		s.index[key] = int32(n)
		s.siftUp(n)
		return
	}
	i := s.heap[0]
	c := &s.counters[i]
	delete(s.index, c.key)
	s.index[key] = i
	c.key, c.error = key, c.count
	c.count += weight
	s.siftDown(0)
}

// Advance decays all counts by the given elapsed time. The requests of that
// time must have been added before.
func (s *Sketch[K]) Advance(elapsed time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(s.halfLife))
	for i := range s.counters {
		s.counters[i].count *= factor
		s.counters[i].error *= factor
	}
	s.total *= factor
	s.seconds = (s.seconds + elapsed.Seconds()) * factor
}

// Len returns the number of keys that have a counter.
func (s *Sketch[K]) Len() int { return len(s.counters) }

// Top returns up to n keys with the highest rates, highest first. It returns nil
// before the first call of Advance.
func (s *Sketch[K]) Top(n int) []Entry[K] {
	if s.seconds <= 0 {
		return nil
	}
	order := slices.Clone(s.heap)
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(cmp.Compare(s.counters[b].count, s.counters[a].count), cmp.Compare(a, b))
	})
	top := make([]Entry[K], min(n, len(order)))
	for i := range top {
		c := s.counters[order[i]]
		top[i] = Entry[K]{Key: c.key, Rate: c.count / s.seconds, Error: c.error / s.seconds}
	}
	return top
}

// Total returns the request weight per second of all keys, 0 before the first
// call of Advance.
func (s *Sketch[K]) Total() float64 {
	if s.seconds <= 0 {
		return 0
	}
	return s.total / s.seconds
}

func (s *Sketch[K]) less(a, b int) bool {
	return s.counters[s.heap[a]].count < s.counters[s.heap[b]].count
}

func (s *Sketch[K]) swap(a, b int) {
	s.heap[a], s.heap[b] = s.heap[b], s.heap[a]
	s.counters[s.heap[a]].heapIndex, s.counters[s.heap[b]].heapIndex = int32(a), int32(b)
}

// siftUp moves an entry of the heap up to its position.
func (s *Sketch[K]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !s.less(i, parent) {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

// siftDown moves an entry of the heap down to its position.
func (s *Sketch[K]) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(s.heap) {
			return
		}
		if child+1 < len(s.heap) && s.less(child+1, child) {
			child++
		}
		if !s.less(child, i) {
			return
		}
		s.swap(i, child)
		i = child
	}
}
