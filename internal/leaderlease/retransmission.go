package leaderlease

import (
	"math"
	"time"
)

// RetransmissionMonitor judges by the questions of other hosts whether a leader answers them in
// time. A host repeats a question that is not answered within a few round trips,
// and then gives it up and decides for itself.
//
// The load pattern that it answers: the host of the leader is slowed down in the
// middle of a burst. Its datagrams queue before it reads them, so its own timers
// are hardly late, while the hosts give up on it and decide for themselves. Loss
// on the links makes hosts repeat some questions; a leader that is too slow makes
// them repeat or give up most.
type RetransmissionMonitor struct {
	first, again float64
	at           time.Duration
}

const (
	// repeatsMemory is the time over which questions are counted.
	repeatsMemory = 400 * time.Millisecond
	// maxRepeats is the part of the first questions that may be repeated. One
	// datagram in ten lost each way stays below half of it.
	maxRepeats = 0.4
	// repeatsChance is the number of standard deviations by which a count may be
	// higher by chance.
	repeatsChance = 3
	// fewQuestions is the number of questions below which nothing is judged.
	fewQuestions = 40
)

// Observe records questions that came for the first time, and questions that came
// again although they had been answered or that were given up. It reports whether
// the leader is too slow.
func (r *RetransmissionMonitor) Observe(first, again int, now time.Duration) bool {
	keep := max(0, 1-float64(now-r.at)/float64(repeatsMemory))
	r.at = now
	r.first = r.first*keep + float64(first)
	r.again = r.again*keep + float64(again)
	return r.first+r.again >= fewQuestions && r.again > maxRepeats*r.first+repeatsChance*math.Sqrt(r.first)
}

// Ratio returns the repeated part of the questions of late.
func (r *RetransmissionMonitor) Ratio() float64 { return r.again / max(1, r.first) }
