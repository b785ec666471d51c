package schedule

import (
	"time"
)

func (s *Scheduler) runUnkeyed(now time.Duration, out []Decision) []Decision {
	s.waiting = s.live(s.waiting)
	for len(s.waiting) > 0 {
		i := s.best(s.waiting, now, 1)
		j := s.waiting[i]
		srv := s.pick(j, now)
		if srv == nil {
			break
		}
		s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
		out = append(out, s.start(j, srv))
	}
	if len(s.waiting) == 0 {
		return out
	}
	slots, running := 0, 0
	for _, srv := range s.order {
		slots += srv.Slots
		running += len(srv.running)
	}
	backlog := s.wait(s.waiting, running, slots, 1)
	keep := s.waiting[:0]
	for _, j := range s.waiting {
		work := s.expected(j, 1)
		switch {
		case slots == 0 && now-j.arrived > unownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second))
		case now+work/2 > j.Deadline, j.arrived == now && slots > 0 && now+backlog+work > j.Deadline:
			out = append(out, s.refuse(j, Overloaded, max(minRetryAfter, backlog/2)))
		default:
			keep = append(keep, j)
		}
	}
	s.waiting = keep
	return out
}

// pick returns the free server with the least expected time for the job.
func (s *Scheduler) pick(j *Job, now time.Duration) *server {
	var best *server
	var bestCost float64
	for _, srv := range s.order {
		if now < srv.fullUntil || len(srv.running) >= srv.Slots {
			continue
		}
		cost := srv.slowness * (1 + 0.25*float64(len(srv.running))/float64(srv.Slots))
		if srv.DataCentre != j.DataCentre {
			cost *= s.set.RemoteCost
		}
		cost *= 1 + 4*srv.failing
		if now < srv.avoid {
			cost += 100
		}
		for _, t := range j.Tried {
			if t == srv.id {
				cost += 1000
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}
