package schedule

import (
	"time"
)

// decideUnkeyed assigns waiting jobs to free servers and refuses the jobs that
// cannot be completed in time.
func (s *Scheduler) decideUnkeyed(now time.Duration, out []Decision) []Decision {
	s.waiting = s.dropFinished(s.waiting)
	for len(s.waiting) > 0 {
		i := s.nextJob(s.waiting, now, 1)
		j := s.waiting[i]
		srv := s.pickServer(j, now)
		if srv == nil {
			break
		}
		s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
		out = append(out, s.assign(j, srv))
	}
	if len(s.waiting) == 0 {
		return out
	}
	slots, running := 0, 0
	for _, srv := range s.sortedServers {
		slots += srv.Slots
		running += len(srv.running)
	}
	backlog := s.expectedWait(s.waiting, running, slots, 1)
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		work := s.expectedTime(j, 1)
		switch {
		case slots == 0 && now-j.arrived > maxUnownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second))
		case now+work/2 > j.Deadline, j.arrived == now && slots > 0 && now+backlog+work > j.Deadline:
			out = append(out, s.refuse(j, Overloaded, max(minRetryAfter, backlog/2)))
		default:
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	return out
}

// pickServer returns the server with a free slot and the least cost for the
// job, or nil if no server has a free slot.
func (s *Scheduler) pickServer(j *Job, now time.Duration) *server {
	var best *server
	var bestCost float64
	for _, srv := range s.sortedServers {
		if now < srv.fullUntil || len(srv.running) >= srv.Slots {
			continue
		}
		cost := srv.slowness * (1 + 0.25*float64(len(srv.running))/float64(srv.Slots))
		if srv.DataCentre != j.DataCentre {
			cost *= s.settings.RemoteCost
		}
		cost *= 1 + 4*srv.failureRate
		// These penalties outweigh the usual differences in cost.
		if now < srv.avoidUntil {
			cost += 100
		}
		for _, tried := range j.Tried {
			if tried == srv.id {
				cost += 1000
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}
