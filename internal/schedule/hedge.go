package schedule

import "time"

const (
	// hedgeReserve is the share of the slots that stays free when a hedge gets one, so
	// that the next request does not wait because of it.
	hedgeReserve = 0.1
	// minorFailureRate is a failure rate that counts as none: that of a server whose last
	// failure was 13 successes ago.
	minorFailureRate = 0.02
)

// Hedge decides on a second copy of a running job. The copy gets a free slot of a server
// that is no worse than that of the first copy, or is refused at once: it never waits.
func (s *Scheduler) Hedge(j *Job, first JobID, now time.Duration) Decision {
	refused := func(reason Reason) Decision {
		return Decision{Job: j, Refused: true, Reason: reason, RetryAfter: minRetryAfter}
	}
	running, firstServer := s.jobs[first], s.assigned[first]
	switch {
	case s.keyed, running == nil, firstServer == nil, s.servers[firstServer.id] != firstServer:
		// The first copy has ended, another scheduler assigned it, or its server is gone.
		return refused(NoServer)
	case s.crashTracker.isHarmful(j.ContentHash, now):
		return refused(Harmful)
	}
	s.waiting = s.dropFinished(s.waiting)
	if len(s.waiting) > 0 {
		return refused(Overloaded)
	}
	// The time that the first copy has taken by now counts as if it had ended: a server
	// that begins to be slow would seem to be fast until its first response.
	slowness := firstServer.slownessAfter((now - running.assignedAt).Seconds() / s.ExpectedSeconds(running.Class))
	free, slots := 0, 0
	var best *server
	for _, srv := range s.sortedServers {
		slots += srv.Slots
		if !srv.accepts(now) || len(srv.running) >= srv.Slots {
			continue
		}
		free += srv.Slots - len(srv.running)
		if srv.mayHedge(j, firstServer, slowness, now) && (best == nil || srv.slowness < best.slowness) {
			best = srv
		}
	}
	switch {
	case best == nil:
		return refused(NoServer)
	case float64(free-1) < hedgeReserve*float64(slots):
		return refused(Overloaded)
	}
	j.arrived, j.estimate, j.finished = now, s.estimateFor(j.Class), false
	j.hedged, running.hedged = true, true
	s.jobs[j.ID] = j
	return s.assign(j, best, now)
}

// mayHedge reports whether a server with a free slot is no worse than the server of the
// first copy of a job, which has the given slowness by now.
func (srv *server) mayHedge(j *Job, first *server, slowness float64, now time.Duration) bool {
	for _, tried := range j.Tried {
		if tried == srv.id {
			return false
		}
	}
	switch {
	case srv == first,
		srv.slowness > slowness,
		srv.failureRate > max(first.failureRate, minorFailureRate),
		now < srv.avoidUntil,
		now < srv.lastPauseEnd, // it asked some host for a pause
		srv.WarmupLeft > 0, srv.warmup.doubtful(now),
		srv.limit.inForce(now),
		srv.DataCentre != j.DataCentre && first.DataCentre == j.DataCentre:
		return false
	}
	return true
}

// slownessAfter returns the slowness after an exchange that takes at least the given
// multiple of its expected time.
func (srv *server) slownessAfter(observed float64) float64 {
	after := *srv
	if observed > after.slowness {
		after.updateSlowness(observed, serverWeight)
	}
	return after.slowness
}

// observeLostRace takes note of the copy of a job that was given up because the other one
// had its response: the server would have taken longer. Without this a server that loses
// each race would never count as slow.
func (srv *server) observeLostRace(took time.Duration, expectedSeconds float64) {
	srv.slowness = srv.slownessAfter(took.Seconds() / expectedSeconds)
}
