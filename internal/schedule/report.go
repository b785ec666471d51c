package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Result says how an exchange with a server ended.
type Result uint8

// Results of an exchange.
const (
	// Succeeded: the server ran the request and its response is complete.
	Succeeded Result = iota
	// Failed: the server ran the request and responded with an error.
	Failed
	// ServerFull: the server refused the request because it has no free slot.
	ServerFull
	// WrongServer: the server does not own the key, or another server has the
	// address.
	WrongServer
	// Broken: the connection failed or the response was invalid.
	Broken
	// ConnectFailed: no connection to the server could be established.
	ConnectFailed
	// TimedOut: the server did not respond before the deadline.
	TimedOut
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"answered", "failed", "full", "elsewhere", "broken", "unreached", "timed-out", "left"}[r]
}

// Report is the report of a host on a finished exchange with a server.
type Report struct {
	ID       JobID
	Result   Result
	Duration time.Duration
	// Running and Waiting are the numbers of requests at the server that its
	// response states; LoadKnown is false if it states none.
	Running, Waiting int
	LoadKnown        bool
	// Pace is the time that work takes at the server at the time of the response,
	// relative to its usual time; zero if the response does not state it.
	Pace float64
}

const (
	// fullBackoff is how long a server that refused a request for lack of a free
	// slot is sent no further one: about the time until a slot becomes free. It does
	// not apply to a server that refuses requests although it reports free slots: a
	// pause would leave these slots idle while requests for its keys wait.
	fullBackoff = 30 * time.Millisecond
	// connectBackoff is how long other servers are preferred after a connection
	// could not be established.
	connectBackoff = 600 * time.Millisecond
	// maxFailureRate is the failure rate above which other servers are preferred
	// for failureBackoff.
	maxFailureRate = 0.35
	failureBackoff = 1500 * time.Millisecond
	// maxSlowness limits the effect of a few slow responses.
	maxSlowness = 20
	minSlowness = 0.2
	// coldSlowness is the initial slowness of a server that is still warming up.
	coldSlowness = 1.6
)

// HandleReport records the end of an exchange and returns its job and server. The
// job is nil if it is unknown, and the server is empty if none was assigned.
func (s *Scheduler) HandleReport(r Report, now time.Duration) (*Job, topology.ServerID) {
	j, ok := s.jobs[r.ID]
	if !ok {
		return nil, ""
	}
	srv := s.assigned[r.ID]
	s.Remove(r.ID)
	if srv == nil {
		return j, ""
	}
	srv.warmup.observe(j, r, now)
	srv.pace.state(r.Pace, now)
	r.Duration = srv.pace.usualDuration(r.Duration, s.expectedTime(j, srv.slowness), now)
	if r.Result == Succeeded && j.estimate.observed {
		j.estimate.spread.observe(r.Duration.Seconds() / (j.estimate.expectedSeconds() * srv.slowness))
	}
	srv.observeResult(r, s.ExpectedSeconds(j.Class), now)
	if j.hedged && r.Result == CallerDisconnected {
		srv.observeLostRace(r.Duration, s.ExpectedSeconds(j.Class))
	}
	if r.Result == Broken {
		s.crashTracker.recordBroken(srv.id, j.ContentHash, now)
	}
	if r.Result == Succeeded {
		s.observeProcessingTime(j.Class, r.Duration)
	}
	return j, srv.id
}

// observeProcessingTime updates the estimate of a class after a success.
func (s *Scheduler) observeProcessingTime(class uint32, duration time.Duration) {
	s.estimateFor(class).observe(duration.Seconds())
}

// observeResult updates the slowness and the failure rate of a server after an
// exchange whose request had the given expected processing time in seconds.
func (srv *server) observeResult(r Report, expectedSeconds float64, now time.Duration) {
	failed := 0.0
	switch r.Result {
	case Succeeded:
		srv.updateSlowness(r.Duration.Seconds()/expectedSeconds, serverWeight)
	case TimedOut:
		failed = 1
		if observed := r.Duration.Seconds() / expectedSeconds; observed > srv.slowness {
			srv.updateSlowness(observed, serverWeight)
		}
	case Failed:
		failed = 1
	case ServerFull:
		failed = 0.5
		if !r.LoadKnown || r.Running >= srv.Slots {
			srv.fullUntil = now + fullBackoff
		}
	case Broken, ConnectFailed:
		failed = 1
		if r.Result == ConnectFailed {
			srv.avoidUntil = now + connectBackoff
		}
	case CallerDisconnected, WrongServer:
		return
	}
	srv.failureRate += serverWeight * (failed - srv.failureRate)
	if srv.failureRate > maxFailureRate {
		srv.avoidUntil = max(srv.avoidUntil, now+failureBackoff)
		srv.failureRate = maxFailureRate / 2
	}
}

// updateSlowness adds an observation to the moving average. One observation
// counts at most as four times the present value.
func (srv *server) updateSlowness(observed, weight float64) {
	srv.slowness += weight * (min(observed, 4*max(srv.slowness, 1)) - srv.slowness)
	srv.slowness = min(max(srv.slowness, minSlowness), maxSlowness)
}

// SetServers replaces the servers to which jobs may be assigned. A server that is
// missing or has another incarnation than before counts as crashed.
func (s *Scheduler) SetServers(servers map[topology.ServerID]Server, now time.Duration) {
	for id, desc := range servers {
		srv, ok := s.servers[id]
		if ok && srv.Incarnation != desc.Incarnation {
			s.crashTracker.recordCrash(id, now)
		}
		if !ok || srv.Incarnation != desc.Incarnation {
			if ok {
				delete(s.limits, id) // named by the earlier incarnation
			}
			srv = &server{id: id, running: make(map[JobID]bool), slowness: 1, limit: s.limits[id]}
			if desc.WarmupLeft > 0 {
				srv.slowness = coldSlowness
			}
		}
		srv.warmup = s.registerWarmup(id, desc, srv != s.servers[id], now)
		if old := s.servers[id]; old != nil && old != srv {
			s.releaseQueue(old)
		}
		srv.Server = desc
		s.servers[id] = srv
	}
	for id, srv := range s.servers {
		if _, ok := servers[id]; !ok {
			delete(s.servers, id)
			delete(s.limits, id)
			s.releaseQueue(srv)
			s.crashTracker.recordCrash(id, now)
		}
	}
	s.listed = s.listed || len(servers) > 0
	s.sortedServers = s.sortedServers[:0]
	for _, srv := range s.servers {
		s.sortedServers = append(s.sortedServers, srv)
	}
	slices.SortFunc(s.sortedServers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	s.requeue()
}

// releaseQueue moves the waiting jobs of a removed server to the jobs without an
// owner. Its running jobs stay assigned.
func (s *Scheduler) releaseQueue(srv *server) {
	s.unowned = append(s.unowned, srv.waiting...)
	srv.waiting = nil
}

// SetOwners replaces the function that returns the owner of a key. Waiting
// jobs are queued again if the version differs from the previous one.
func (s *Scheduler) SetOwners(version int, ownerOf func(key int) Owner) {
	s.ownerOf = ownerOf
	if version != s.ownersVersion {
		s.ownersVersion = version
		s.requeue()
	}
}

// requeue moves each waiting job of a keyed service to the queue of the current
// owner of its key.
func (s *Scheduler) requeue() {
	if !s.keyed {
		return
	}
	jobs := s.unowned
	s.unowned = nil
	for _, srv := range s.sortedServers {
		jobs = append(jobs, srv.waiting...)
		srv.waiting = nil
	}
	for _, j := range s.dropFinished(jobs) {
		s.enqueue(j)
	}
}
