package gateway

import (
	"math/rand/v2"
	"time"
)

// backoff is the pause before a failed call to the store is repeated. It doubles
// with each failure in a row.
//
// The load pattern that it answers: the store turns all hosts away for seconds.
// Each refused call costs as much as one that is answered, and together the
// hosts would exceed the rate of calls that the store permits once it is back.
type backoff struct {
	pause time.Duration
}

const (
	// callRetry is the pause after the first failure.
	minRetryPause = 150 * time.Millisecond
	// leaderRetry is the longest pause of a leader, which reads for all hosts.
	maxLeaderRetryPause = 300 * time.Millisecond
	// hostRetry is the longest pause of the others. With it a host knows the
	// configuration and the servers well before it counts as in touch again.
	maxHostRetryPause = 1200 * time.Millisecond
	// retrySpread is the part of a pause by which it varies, so that hosts that
	// lost the store together do not return together.
	retryJitter = 0.25
)

// next returns the pause after another failure, at most limit.
func (b *backoff) next(limit time.Duration) time.Duration {
	b.pause = min(limit, max(minRetryPause, 2*b.pause))
	return time.Duration(float64(b.pause) * (1 - retryJitter*rand.Float64()))
}

// reset records a success.
func (b *backoff) reset() { b.pause = 0 }
