// Package window counts requests and retries in a sliding time window. It
// reads no clock; times are durations since an arbitrary origin.
package window

import "time"

// buckets is the number of buckets of a window. A sum covers at least nine tenths
// of the window, since the newest bucket is incomplete.
const buckets = 10

// Counts holds the counts of one service. The zero value is empty.
type Counts struct {
	requests, retries [buckets]float64
	newest            int64 // number of the newest bucket
}

// Advance moves the window, which has the given length, to the given time and
// drops older counts.
func (c *Counts) Advance(now, length time.Duration) {
	current := int64(now / max(1, length/buckets))
	for i := max(c.newest+1, current-buckets+1); i <= current; i++ {
		c.requests[i%buckets], c.retries[i%buckets] = 0, 0
	}
	c.newest = max(c.newest, current)
}

// CountRequest counts the first attempt of a request at the time of the last
// Advance.
func (c *Counts) CountRequest() { c.requests[c.newest%buckets]++ }

// CountRetry counts a retry at the time of the last Advance.
func (c *Counts) CountRetry() { c.retries[c.newest%buckets]++ }

// Sums returns the numbers of first attempts and of retries in the window.
func (c *Counts) Sums() (requests, retries float64) {
	for i := range buckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	return requests, retries
}
