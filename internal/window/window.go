// Package window counts requests and their repetitions over a sliding time. It
// reads no clock; times are durations since an arbitrary origin.
package window

import "time"

// buckets is the number of parts of a window: the sums leave out at most a
// tenth of it.
const buckets = 10

// Counts are the counts of one service. The zero value is empty.
type Counts struct {
	requests, retries [buckets]float64
	last              int64 // number of the newest bucket
}

// Advance drops what is older than length at the given time.
func (c *Counts) Advance(now, length time.Duration) {
	n := int64(now / max(1, length/buckets))
	for i := max(c.last+1, n-buckets+1); i <= n; i++ {
		c.requests[i%buckets], c.retries[i%buckets] = 0, 0
	}
	c.last = max(c.last, n)
}

// CountRequest counts a first attempt at the time of the last Advance.
func (c *Counts) CountRequest() { c.requests[c.last%buckets]++ }

// CountRetry counts a repetition.
func (c *Counts) CountRetry() { c.retries[c.last%buckets]++ }

// Sums returns the first attempts and the repetitions in the window.
func (c *Counts) Sums() (requests, retries float64) {
	for i := range buckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return requests, retries
}
