package schedule

import "time"

const (
	// returnTolerance is the largest difference between the deadlines of a request and
	// of its return: what the two take between caller, host and leader differs by some
	// milliseconds.
	returnTolerance = 25 * time.Millisecond
	// minReturnDelay is the least time between a refusal and the return, a little less
	// than minRetryAfter. It is longer than returnTolerance: another request with the
	// same content and about the same deadline arrives at about the same time.
	minReturnDelay = 40 * time.Millisecond
	// maxRefusedJobs bounds the refused jobs that are remembered, at some hundred bytes
	// each. It is above what a service refuses within the longest usual deadline.
	maxRefusedJobs = 16384
)

// refusedJob is what is remembered of a refused job until its deadline.
type refusedJob struct {
	target, deadline, refusedAt time.Duration
}

// returnTracker recognises requests that were refused and come back. They have the same
// content, another ID and what was left of their deadline. Requests of several callers
// may have the same content; their deadlines differ.
type returnTracker struct {
	refused map[uint64][]refusedJob
	count   int
	sweptAt time.Duration
}

func newReturnTracker() *returnTracker { return &returnTracker{refused: make(map[uint64][]refusedJob)} }

// recordRefusal remembers a refused job.
func (t *returnTracker) recordRefusal(j *Job, now time.Duration) {
	if t.count >= maxRefusedJobs || now-t.sweptAt > time.Second {
		t.sweep(now)
	}
	if t.count < maxRefusedJobs {
		t.refused[j.ContentHash] = append(t.refused[j.ContentHash], refusedJob{j.Target, j.Deadline, now})
		t.count++
	}
}

// recognise forgets the refused job that comes back as j and returns it.
func (t *returnTracker) recognise(j *Job, now time.Duration) (refusedJob, bool) {
	list := t.refused[j.ContentHash]
	for i, r := range list {
		if (r.deadline-j.Deadline).Abs() > returnTolerance || now-r.refusedAt < minReturnDelay {
			continue
		}
		t.count--
		if len(list) == 1 {
			delete(t.refused, j.ContentHash)
		} else {
			t.refused[j.ContentHash] = append(list[:i], list[i+1:]...)
		}
		return r, true
	}
	return refusedJob{}, false
}

// sweep forgets the jobs whose deadline has passed.
func (t *returnTracker) sweep(now time.Duration) {
	t.sweptAt = now
	for hash, list := range t.refused {
		kept := list[:0]
		for _, r := range list {
			if now < r.deadline {
				kept = append(kept, r)
			}
		}
		t.count -= len(list) - len(kept)
		if len(kept) == 0 {
			delete(t.refused, hash)
			continue
		}
		t.refused[hash] = kept
	}
}
