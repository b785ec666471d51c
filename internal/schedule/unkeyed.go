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
	// splitInterval is the least interval at which the queue of a saturated service
	// without keys is cut to what can be served. This sorts the queue, which may have
	// some thousand jobs, and some thousand requests arrive in a second.
	splitInterval = 5 * time.Millisecond
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
		var i int
		if !saturated {
			i = s.nextJob(s.waiting, now, poolMargin)
		} else if i = s.nextOfPool(now); i < 0 {
			break
		}
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
	if len(s.waiting) > 0 && (!saturated || now-s.lastSplit >= splitInterval) {
		out = s.refuseUnkeyed(now, slots, running, saturated, out)
	}
	return out
}

// refuseUnkeyed refuses the waiting jobs of an unkeyed service that cannot be
// completed in time.
func (s *Scheduler) refuseUnkeyed(now time.Duration, slots, running int, saturated bool, out []Decision) []Decision {
	backlog := s.expectedWait(s.waiting, running, slots, 1)
	if saturated {
		s.lastSplit = now
		var left []*Job
		s.waiting, left = splitServable(s.waiting, now, s.poolCapacity(now), 1)
		for _, j := range left {
			out = append(out, s.refuse(j, Overloaded, saturatedRetryAfter(j, now), now))
		}
	}
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		work := s.expectedTime(j, 1)
		pause := s.pauseOfAll(s.pausedHostNumber(j), now)
		switch {
		case pause > 0 && !j.MayAwait(pause, now):
			out = append(out, s.refuse(j, Paused, max(minRetryAfter, pause), now))
		case slots == 0 && now-j.arrived > maxUnownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second, now))
		case now+work/2 > j.Deadline, !saturated && j.arrived == now && slots > 0 && now+backlog+work > j.Deadline:
			out = append(out, s.refuse(j, Overloaded, max(minRetryAfter, backlog/2), now))
		default:
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	return out
}

// poolCapacity returns the capacity of all servers in slots of mean speed.
func (s *Scheduler) poolCapacity(now time.Duration) float64 {
	var sum float64
	for _, srv := range s.sortedServers {
		sum += s.capacity(srv, now)
	}
	return sum
}

// nextOfPool returns the index of the next job of a saturated service: the one that suits
// the fastest server with a free slot, or -1 if there is no such server.
func (s *Scheduler) nextOfPool(now time.Duration) int {
	slowness, delay := 1.0, time.Duration(0)
	least := math.Inf(1)
	work := max(s.meanWork.expectedSeconds(), minProcessingTime.Seconds())
	for _, srv := range s.sortedServers {
		if len(srv.running) >= srv.Slots || !srv.accepts(now) {
			continue
		}
		d := srv.paceDelay(now)
		if cost := srv.slowness + d.Seconds()/work; cost < least {
			slowness, delay, least = srv.slowness, d, cost
		}
	}
	if math.IsInf(least, 1) {
		return -1
	}
	return nextSaturated(s.waiting, now+delay, slowness)
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
		cost := (srv.slowness + srv.paceDelay(now).Seconds()/j.estimate.expectedSeconds()) * (1 + 0.25*float64(len(srv.running))/float64(srv.Slots))
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
