package schedule

import (
	"cmp"
	"slices"
	"time"
)

// minCapacity is the least capacity in slots that is assumed of a server, against a
// division by zero.
const minCapacity = 0.01

// chance tells how likely it is that a job meets its target.
type chance uint8

const (
	safely chance = iota // nine in ten jobs of the class would
	evenly               // half of them would
	hardly
)

// chanceAt returns the chance of a job that starts at a time at a server of the given
// slowness.
func chanceAt(j *Job, start time.Duration, slowness float64) chance {
	left := (j.Target - start).Seconds() / (j.estimate.expectedSeconds() * slowness)
	switch {
	case left >= j.estimate.spread.safeRatio():
		return safely
	case left >= j.estimate.spread.medianRatio():
		return evenly
	}
	return hardly
}

// urgency orders jobs with the same chance: the target after adjustment for priority.
func urgency(j *Job) time.Duration { return j.Target + time.Duration(j.Priority)*priorityStep }

// nextSaturated returns the index of the next job of a saturated server or service: the
// most urgent of those that meet their target safely. Without such jobs it is the one
// with the most time left, since a job that has become late is worth little; of late
// jobs it is the one that ends first.
func nextSaturated(queue []*Job, now time.Duration, slowness float64) int {
	best, bestChance, bestOrder := -1, hardly, time.Duration(0)
	for i, j := range queue {
		c := chanceAt(j, now, slowness)
		order := urgency(j)
		switch c {
		case evenly:
			order = now - j.Target + time.Duration(j.Priority)*priorityStep
		case hardly:
			order = j.Deadline + time.Duration(j.Priority)*priorityStep
		}
		if best < 0 || c < bestChance || c == bestChance && order < bestOrder {
			best, bestChance, bestOrder = i, c, order
		}
	}
	return best
}

// splitServable returns the jobs that wait for slots of a total capacity (slots of mean
// speed) and can be served, the more urgent first, and the others. First come the jobs
// that meet their target; one that does not fit is left out and does not delay those
// behind it. Of the late jobs those are kept that were refused before and meet their
// deadline: they use slots that no job in time needs, and a second refusal is worse than
// a first.
func splitServable(queue []*Job, now time.Duration, capacity, slowness float64) (kept, left []*Job) {
	slices.SortStableFunc(queue, func(a, b *Job) int { return cmp.Compare(urgency(a), urgency(b)) })
	capacity = max(capacity, minCapacity)
	var ahead float64
	start := func() time.Duration { return now + time.Duration(ahead/capacity*float64(time.Second)) }
	var late []*Job
	for _, j := range queue {
		switch {
		case chanceAt(j, start(), slowness) != hardly:
			ahead += j.estimate.expectedSeconds()
			kept = append(kept, j)
		case j.returned:
			late = append(late, j)
		default:
			left = append(left, j)
		}
	}
	slices.SortStableFunc(late, func(a, b *Job) int { return cmp.Compare(a.Deadline, b.Deadline) })
	for _, j := range late {
		work := j.estimate.expectedSeconds()
		if start()+time.Duration(work*slowness*float64(time.Second)) > j.Deadline {
			left = append(left, j)
			continue
		}
		ahead += work
		kept = append(kept, j)
	}
	return kept, left
}

// saturatedRetryAfter returns the retry delay of a job that is refused because other jobs
// need all slots. No slot will be free for it in its time, so it is told to come back
// after that. Callers that come back sooner wait for a third of their time, so they are
// spread as they arrived, and come back when the overload may be over.
func saturatedRetryAfter(j *Job, now time.Duration) time.Duration {
	return max(minRetryAfter, j.Deadline-now)
}
