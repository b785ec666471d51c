package schedule

import (
	"math"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// server is the state of a server to which jobs may be assigned.
type server struct {
	id topology.ServerID
	Server
	running map[JobID]bool
	// slowness is the mean processing time of jobs relative to the mean of their
	// classes.
	slowness float64
	// failureRate is the moving average of failures per request.
	failureRate float64
	// fullUntil is the time until which the server is considered full because it
	// refused a request.
	fullUntil  time.Duration
	avoidUntil time.Duration // other servers are preferred until this time
	waiting    []*Job        // jobs whose keys this server owns
	// dirty is true if the queue or the running jobs have changed since the last
	// call of Decide.
	dirty  bool
	demand demand     // of the jobs whose keys this server owns
	limit  *rateLimit // nil if the server named none
	warmup *warmup    // nil if servers of the service need no warm-up
	// pausedUntil holds the end of the pause of each host by its number, lastPauseEnd
	// the latest of them.
	pausedUntil  []time.Duration
	lastPauseEnd time.Duration
	pace         pace
}

// accepts reports whether the server may be sent a request now, if it has a free
// slot.
func (srv *server) accepts(now time.Duration) bool {
	return now >= srv.fullUntil && srv.limit.admits(now) && srv.warmup.admits(now)
}

// demand is the mean number of slots that arriving jobs would keep busy at a server
// of mean speed.
type demand struct {
	slots   float64
	updated time.Duration // time of the last update
}

// demandTimeConstant is the time constant of the decay of demand. A queue that
// grows for longer than this is not drained before its jobs are late.
const demandTimeConstant = 700 * time.Millisecond

// add adds the expected processing time of a job.
func (d *demand) add(expectedSeconds float64, now time.Duration) {
	d.slots = d.at(now) + expectedSeconds/demandTimeConstant.Seconds()
	d.updated = now
}

// at returns the demand after the decay since the last update.
func (d *demand) at(now time.Duration) float64 {
	return d.slots * math.Exp(-float64(now-d.updated)/float64(demandTimeConstant))
}

// saturated reports whether more work arrives for a server than it can process.
func (s *Scheduler) saturated(srv *server, now time.Duration) bool {
	return srv.demand.at(now) > saturationThreshold*s.capacity(srv, now)
}

const (
	// normalMargin is the multiple of its expected processing time that a job must have
	// left before its target to be expected to meet it.
	normalMargin = 0.8
	// saturatedMargin is that of a saturated server with a limit: it always has other
	// jobs with more time left.
	saturatedMargin = 1.1
)

// saturationThreshold is the ratio of demand to slots above which a server
// counts as saturated.
const saturationThreshold = 1.25
