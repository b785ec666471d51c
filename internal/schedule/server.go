package schedule

import (
	"math"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

type server struct {
	id topology.ServerID
	Server
	running map[JobID]bool
	// slowness is the mean time of a request relative to the mean of its class.
	slowness float64
	// failing is the share of failures among recent requests.
	failing float64
	// fullUntil is the time until which the server is taken to be full because
	// it refused a request.
	fullUntil time.Duration
	avoid     time.Duration // until this time other servers are preferred
	waiting   []*Job        // jobs on keys of this server
	// dirty is true if the queue or the running jobs have changed since the last
	// decisions.
	dirty bool
	// demand is the mean number of busy slots that arriving jobs ask for.
	demand   float64
	demanded time.Duration // time of the last update of demand
}

// demandMemory is the time constant of the demand: a queue that grows for longer
// does not empty by itself before its jobs are late.
const demandMemory = 700 * time.Millisecond

// ask adds the work of a job to the demand.
func (srv *server) ask(work float64, now time.Duration) {
	srv.decay(now)
	srv.demand += work / demandMemory.Seconds()
}

func (srv *server) decay(now time.Duration) {
	srv.demand *= math.Exp(-float64(now-srv.demanded) / float64(demandMemory))
	srv.demanded = now
}

// saturated reports whether more work arrives than the server can do.
func (srv *server) saturated(now time.Duration) bool {
	srv.decay(now)
	return srv.demand*srv.slowness > saturation*float64(srv.Slots)
}

// margin is the factor on the expected work that a job must still have before its
// target to count as one that can meet it. At a saturated server there are always
// others with more time left, so jobs on the edge are not worth a slot.
func (srv *server) margin(now time.Duration) float64 {
	if srv.saturated(now) {
		return saturatedMargin
	}
	return usualMargin
}

const (
	usualMargin     = 0.8
	saturatedMargin = 1.1
)

// saturation is the part of the slots that the demand must exceed.
const saturation = 1.25
