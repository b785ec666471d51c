package schedule

import (
	"math"
	"time"
)

const (
	// poolSaturation is the ratio of demand to slots above which a service without
	// keys counts as saturated. Its queue grows at any ratio above one.
	poolSaturation = 1.2
	// poolMargin is the multiple of its expected time that a job must have left
	// before its target to be expected to meet it: of the processing times, nine in
	// ten are below twice the mean.
	poolMargin = 2
)

// decideUnkeyed assigns waiting jobs to free servers and refuses the jobs that
// cannot be completed in time.
func (s *Scheduler) decideUnkeyed(now time.Duration, out []Decision) []Decision {
	s.waiting = s.dropFinished(s.waiting)
	usable, running := 0.0, 0
	for _, srv := range s.sortedServers {
		usable += s.usableSlots(srv, now)
		running += len(srv.running)
	}
	slots := int(math.Ceil(usable))
	saturated := slots > 0 && s.demand.at(now) > poolSaturation*float64(slots)
	var held []*Job // their hosts are paused by all free servers
	for len(s.waiting) > 0 {
		i := s.nextJob(s.waiting, now, poolMargin)
		j := s.waiting[i]
		srv := s.pickServer(j, now)
		if srv == nil && s.pausedHostNumber(j) != noPausedHost && s.hasFreeServer(now) {
			held = s.holdBack(j.ID.HostIncarnation, held)
			continue
		}
		if srv == nil {
			break
		}
		s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
		out = append(out, s.assign(j, srv, now))
		running++
	}
	s.waiting = append(s.waiting, held...)
	out = s.refuseBeyondWarmup(now, out)
	if len(s.waiting) > 0 {
		out = s.refuseUnkeyed(now, slots, running, saturated, out)
	}
	return out
}

// refuseUnkeyed refuses the waiting jobs of an unkeyed service that cannot be
// completed in time.
func (s *Scheduler) refuseUnkeyed(now time.Duration, slots, running int, saturated bool, out []Decision) []Decision {
	late := func(j *Job) bool { return saturated && now+poolMargin*s.expectedTime(j, 1) > j.Target }
	// Late jobs get only the slots that no other job can use. The youngest are kept,
	// enough for half of the slots; the others would wait until their deadline and
	// then be refused.
	excess := -slots / 2
	for _, j := range s.waiting {
		if late(j) {
			excess++
		}
	}
	backlog := s.expectedWait(s.waiting, running, slots, 1)
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		work := s.expectedTime(j, 1)
		surplus := excess > 0 && late(j)
		if surplus {
			excess--
		}
		pause := s.pauseOfAll(s.pausedHostNumber(j), now)
		switch {
		case pause > 0 && !j.MayAwait(pause, now):
			out = append(out, s.refuse(j, Paused, max(minRetryAfter, pause)))
		case slots == 0 && now-j.arrived > maxUnownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second))
		case surplus, now+work/2 > j.Deadline, j.arrived == now && slots > 0 && now+backlog+work > j.Deadline:
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
	host := s.pausedHostNumber(j)
	for _, srv := range s.sortedServers {
		if host != noPausedHost && srv.pauseLeft(host, now) > 0 {
			continue
		}
		if !srv.accepts(now) || len(srv.running) >= srv.Slots {
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
