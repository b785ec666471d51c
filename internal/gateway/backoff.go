package gateway

import (
	"math/rand/v2"
	"time"
)

// backoff computes the pause before a failed call to the store is repeated. It
// doubles with each consecutive failure.
//
// During an outage the store refuses all hosts for seconds. Each refused call
// costs as much as a successful one, and without growing pauses the hosts
// together would exceed the call rate that the store permits once it is back.
type backoff struct {
	pause time.Duration
}

const (
	// minRetryPause is the pause after the first failure.
	minRetryPause = 150 * time.Millisecond
	// maxLeaderRetryPause is the longest pause of a leader, which reads for all
	// hosts.
	maxLeaderRetryPause = 300 * time.Millisecond
	// maxHostRetryPause is the longest pause of the other hosts. It is short
	// enough for a host to read the configuration and the servers well before
	// it is expected to have recovered from an outage of the store.
	maxHostRetryPause = 1200 * time.Millisecond
	// retryPausePerHost bounds the rate at which the hosts of a leader that has lost the
	// store together try whether they reach it: 70 hosts made 117 calls a second in an
	// outage. At 25 a second, one of them notices its return after 40 ms.
	retryPausePerHost = 40 * time.Millisecond
	// maxSharedRetryPause bounds these pauses. It is below 2 * storeTimeout, for which a
	// failed read shows that the store was asked in vain, should the leader end meanwhile.
	maxSharedRetryPause = 2 * time.Second
	// retryJitter is the fraction by which a pause is shortened at random, so
	// that hosts that lost the store together do not return together.
	retryJitter = 0.25
)

// next returns the pause after another failure, at most limit.
func (b *backoff) next(limit time.Duration) time.Duration {
	b.pause = min(limit, max(minRetryPause, 2*b.pause))
	return time.Duration(float64(b.pause) * (1 - retryJitter*rand.Float64()))
}

// reset records a success.
func (b *backoff) reset() { b.pause = 0 }
