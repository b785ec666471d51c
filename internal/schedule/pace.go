package schedule

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// maxPaceAge is the age at which a pace counts no longer: servers are slow for about
	// 400 ms, and a server with requests states its pace several times in that time.
	maxPaceAge = 250 * time.Millisecond
	// paceRest is the time for which a slow server is expected to remain slow: half of
	// the 400 ms that such times last.
	paceRest = 200 * time.Millisecond
	// maxPace and minPace bound the effect of a wrong value.
	maxPace = 10
	minPace = 0.2
	// usualPaceDifference is the difference from 1 below which a pace is the usual one:
	// it is less than the deviation of processing times, and the leader is not told.
	usualPaceDifference = 0.2
)

// IsUsualPace reports whether a pace has no effect on decisions.
func IsUsualPace(pace float64) bool {
	return pace > 1-usualPaceDifference && pace < 1+usualPaceDifference
}

// pace is the time that work takes at a server relative to its usual time. It addresses
// machines that are 3 times slower for 400 ms at a time.
type pace struct {
	value float64 // 1 is usual; zero if none was stated
	at    time.Duration
	// slowest is the highest value since the server last had the usual pace, slowUntil
	// the time of the last response with such a value.
	slowest   float64
	slowUntil time.Duration
}

// now returns the pace, 1 if it is not known or too old.
func (p *pace) now(now time.Duration) float64 {
	if p.value == 0 || now-p.at > maxPaceAge {
		return 1
	}
	return p.value
}

// state takes note of the pace that a response states.
func (p *pace) state(value float64, now time.Duration) {
	if value <= 0 {
		return
	}
	if IsUsualPace(value) {
		value = 1
	}
	value = min(max(value, minPace), maxPace)
	if value > 1 {
		if now-p.slowUntil > maxPaceAge {
			p.slowest = 0
		}
		p.slowest, p.slowUntil = max(p.slowest, value), now
	}
	p.value, p.at = value, now
}

// usualDuration returns the time that an exchange of the given duration, which has just
// ended, would have taken at the usual pace of the server. A response tells the pace of
// its end only. So the duration is divided by at most the highest pace that was stated
// while it ran, and by no more than makes it the expected one.
func (p *pace) usualDuration(duration, expected, now time.Duration) time.Duration {
	if p.slowest <= 1 || p.slowUntil < now-duration || duration <= expected {
		return duration
	}
	return max(expected, time.Duration(float64(duration)/p.slowest))
}

// SetPace takes note of the pace that a response of a server states.
func (s *Scheduler) SetPace(id topology.ServerID, value float64, now time.Duration) {
	srv, ok := s.servers[id]
	if !ok {
		return
	}
	before := srv.pace.now(now)
	srv.pace.state(value, now)
	if srv.pace.now(now) != before {
		s.markDirty(srv)
	}
}

// paceDelay returns by how much later than usual work ends that a server of the present
// pace starts now. The pace lasts for paceRest more: after that the rest of the work takes
// its usual time.
func (srv *server) paceDelay(now time.Duration) time.Duration {
	value := srv.pace.now(now)
	if value <= 1 {
		return 0
	}
	return time.Duration((1 - 1/value) * float64(paceRest))
}
