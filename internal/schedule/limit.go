package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Limit is what a response of a server says of the rate of requests that the server
// accepts. The zero value says nothing.
type Limit struct {
	// Stated is true if a response of the server was read.
	Stated bool
	// PerSecond is the rate in requests a second from all hosts together; infinite
	// if the response names no limit.
	PerSecond float64
}

// NoLimit returns what a response without a limit says.
func NoLimit() Limit { return Limit{Stated: true, PerSecond: math.Inf(1)} }

// Limited reports whether the server named a limit.
func (l Limit) Limited() bool { return l.Stated && !math.IsInf(l.PerSecond, 1) }

const (
	// MaxLimitAge is the age at which a limit without a further response of its
	// server is forgotten: a server without requests cannot say that it ended.
	MaxLimitAge = 30 * time.Second
	// minLimitRate is the least rate in requests a second. It keeps a server that
	// accepts none able to say that its limit has changed.
	minLimitRate = 0.2
	// limitBurst bounds the time for which a request that was not sent when its
	// turn came can still be sent.
	limitBurst = 500 * time.Millisecond
	// uncoordinatedShare is the fraction of a limit that hosts use together while
	// each places requests by itself: their requests can coincide.
	uncoordinatedShare = 0.5
)

// LimitShare says how a scheduler shares the limits of servers with those of other
// hosts. The zero value is that of a scheduler that places the requests of all hosts.
type LimitShare struct {
	// Hosts is the number of hosts that place requests by themselves.
	Hosts int
	// Phase, from 0 to 1, sets hosts apart that learn of a limit at the same time.
	Phase float64
}

// rate returns the rate in requests a second that the share permits.
func (s LimitShare) rate(limit Limit) float64 {
	perSecond := max(limit.PerSecond, minLimitRate)
	if s.Hosts == 0 {
		return perSecond
	}
	return uncoordinatedShare * perSecond / float64(s.Hosts)
}

// rateLimit spaces the requests to a server that named a limit. It answers a server
// in need whose keys or slots attract more requests than it accepts: it would take
// them all, and fail under them.
type rateLimit struct {
	perSecond float64 // of this scheduler; zero if there is no limit
	statedAt  time.Duration
	// nextAt is the time from which the next request may be sent.
	nextAt time.Duration
}

// state takes note of a limit, of which the scheduler uses a share.
func (l *rateLimit) state(limit Limit, share LimitShare, now time.Duration) {
	if !limit.Limited() {
		*l = rateLimit{}
		return
	}
	known := l.inForce(now)
	l.statedAt = now
	l.perSecond = share.rate(limit)
	next := now + l.interval()
	if !known {
		l.nextAt = next - time.Duration(share.Phase*float64(l.interval()))
		return
	}
	l.nextAt = min(l.nextAt, next)
}

// inForce reports whether there is a limit that is not out of date. A small share may
// have its next turn only after MaxLimitAge.
func (l *rateLimit) inForce(now time.Duration) bool {
	return l != nil && l.perSecond > 0 && now-l.statedAt <= MaxLimitAge+l.interval()
}

func (l *rateLimit) interval() time.Duration {
	return max(1, time.Duration(float64(time.Second)/l.perSecond))
}

// admits reports whether a request may be sent now.
func (l *rateLimit) admits(now time.Duration) bool {
	if !l.inForce(now) {
		return true
	}
	if late := now - l.nextAt - limitBurst; late > 0 {
		// Turns that were not used lapse: those of many hosts would otherwise add up.
		interval := l.interval()
		l.nextAt += (late + interval - 1) / interval * interval
	}
	return now >= l.nextAt
}

// take counts a request that is sent.
func (l *rateLimit) take(now time.Duration) {
	if l.inForce(now) {
		l.nextAt += l.interval()
	}
}

// wait returns the time until the last of a number of waiting requests is sent.
func (l *rateLimit) wait(requests int, now time.Duration) time.Duration {
	if !l.inForce(now) || requests == 0 {
		return 0
	}
	return max(0, l.nextAt-now) + time.Duration(requests-1)*l.interval()
}

// SetLimit takes note of what a response of a server says of its limit, of which
// this scheduler uses a share.
func (s *Scheduler) SetLimit(id topology.ServerID, limit Limit, share LimitShare, now time.Duration) {
	if !limit.Stated {
		return
	}
	l, ok := s.limits[id]
	if !ok {
		if !limit.Limited() {
			return
		}
		l = new(rateLimit)
		s.limits[id] = l
	}
	l.state(limit, share, now)
	if srv, ok := s.servers[id]; ok {
		srv.limit = l
		s.markDirty(srv)
	}
}

// dropLimits forgets the limits that are out of date.
func (s *Scheduler) dropLimits(now time.Duration) {
	for id, l := range s.limits {
		if !l.inForce(now) {
			delete(s.limits, id)
			if srv, ok := s.servers[id]; ok {
				srv.limit = nil
			}
		}
	}
}

// refuseBeyondLimit refuses the waiting jobs of a server that its limit leaves no
// time for. The more urgent jobs are kept.
func (s *Scheduler) refuseBeyondLimit(srv *server, now time.Duration, out []Decision) []Decision {
	limited, cold := srv.limit.inForce(now), srv.warmup.restricts(now)
	if !limited && !cold {
		return out
	}
	saturated := s.saturated(srv, now)
	latest := func(j *Job) time.Duration {
		if saturated { // late jobs would not get a turn
			return j.Target - time.Duration(saturatedMargin*float64(s.expectedTime(j, srv.slowness)))
		}
		return j.Deadline - s.expectedTime(j, srv.slowness)
	}
	slices.SortStableFunc(srv.waiting, func(a, b *Job) int {
		return cmp.Compare(latest(a)+time.Duration(a.Priority)*priorityStep, latest(b)+time.Duration(b.Priority)*priorityStep)
	})
	kept := srv.waiting[:0]
	for _, j := range srv.waiting {
		wait, reason := srv.limit.wait(len(kept)+1, now), Overloaded
		if cold {
			if w := srv.warmup.wait(len(kept)+1, now); w > wait {
				wait, reason = w, Cold
			}
		}
		if now+wait > latest(j) {
			out = append(out, s.refuse(j, reason, max(minRetryAfter, srv.warmup.retryAfter(wait)), now))
			continue
		}
		kept = append(kept, j)
	}
	srv.waiting = kept
	return out
}

// Capacity returns the number of slots of a server, scaled by its speed relative to
// the mean of the servers, or the slots that the requests of its limit keep busy if
// these are fewer; zero if the server is not known.
func (s *Scheduler) Capacity(id topology.ServerID, now time.Duration) float64 {
	srv, ok := s.servers[id]
	if !ok {
		return 0
	}
	return s.capacity(srv, now)
}

func (s *Scheduler) capacity(srv *server, now time.Duration) float64 {
	capacity := float64(srv.Slots) / srv.slowness
	if srv.limit.inForce(now) {
		capacity = min(capacity, srv.limit.perSecond*s.meanWork.expectedSeconds())
	}
	return min(capacity, srv.warmup.rate(now)*s.meanWork.expectedSeconds())
}

// usableSlots returns the slots of a server, or those that the requests of its limit
// keep busy if these are fewer.
func (s *Scheduler) usableSlots(srv *server, now time.Duration) float64 {
	slots := float64(srv.Slots)
	if srv.limit.inForce(now) {
		slots = min(slots, srv.limit.perSecond*s.meanWork.expectedSeconds())
	}
	return min(slots, srv.warmup.rate(now)*s.meanWork.expectedSeconds())
}
