// Package schedule decides which waiting request of one service goes to which
// server next, and which requests are refused because no server can answer them
// in time.
//
// The load pattern that it answers: servers with a few slots each, near
// saturation, that are called through many hosts. A single queue in front of
// all slots keeps every slot busy while a request waits, and a request waits at
// the router, where it can still be reordered, cancelled or refused, instead of
// at a server.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin. A Service is not safe for concurrent use.
package schedule

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// JobID identifies a request: the incarnation of the host that took it from its
// caller, and the number that this host gave it.
type JobID struct {
	HostIncarnation uint64
	Number          uint32
}

// NoKey is the key of a request to a service that is not divided by key.
const NoKey = -1

// Job is a request that waits for a server.
type Job struct {
	ID JobID
	// Class groups requests with similar work.
	Class uint32
	// Content identifies the request apart from its id.
	Content    uint64
	Key        int
	Priority   int
	DataCentre topology.DataCentre
	// Target is the time within which an answer has its full value, Deadline
	// the time after which it has none.
	Target, Deadline time.Duration
	// Tried lists the servers that failed the request before.
	Tried []topology.ServerID

	arrived time.Duration
	// mean is that of the work of its class.
	mean *classMean
	// over is true once the job is neither waiting nor running. Queues drop it
	// when they are looked at next.
	over bool
}

// classMean is the expected work of the jobs of a class.
type classMean struct {
	seconds float64
	known   bool // an answer was observed
}

// work returns the expected work in seconds at a server of mean speed.
func (m *classMean) work() float64 {
	if !m.known {
		return defaultWork.Seconds()
	}
	return max(m.seconds, minWork.Seconds())
}

// Decision is the result for one job: the server that it goes to, or a refusal
// with the time after which another attempt can succeed.
type Decision struct {
	Job        *Job
	Server     topology.ServerID
	Address    string
	Refused    bool
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a job is refused.
type Reason uint8

// Reasons of a refusal.
const (
	// NoReason stands for a job that was not refused.
	NoReason Reason = iota
	// Overloaded: the expected wait exceeds the time left.
	Overloaded
	// NoOwner: no server will hold the key in time.
	NoOwner
	// NoServer: no server of the service is available.
	NoServer
	// Harmful: the request has crashed several servers.
	Harmful
)

// String returns the word for logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "overloaded", "no-owner", "no-server", "harmful"}[r]
}

// Server describes a server that may be sent requests.
type Server struct {
	Address     string
	DataCentre  topology.DataCentre
	Slots       int
	Incarnation int64
	// WarmupLeft is the time for which the server remains slow.
	WarmupLeft time.Duration
}

// Owner is the state of a key.
type Owner struct {
	Server topology.ServerID
	// Granted is true if the server can be sent requests on the key.
	Granted bool
	// FreeAt is the time at which the key can be held again at the latest; zero
	// if it is not known.
	FreeAt time.Duration
}

// Settings of a Service.
type Settings struct {
	// RemoteCost is the factor by which a server in another data centre must be
	// faster to be preferred, since bytes between data centres are dear.
	RemoteCost float64
	// Prefetch is the number of requests that a keyed server is sent beyond its
	// slots. It hides the way of the answer and of the next request.
	Prefetch int
}

const (
	// defaultWork is the expected work of a class before its first answer.
	defaultWork = 100 * time.Millisecond
	// minWork is the resolution of reports.
	minWork = time.Millisecond
	// classWeight and serverWeight are the weights of a new observation in the
	// means: a class has many observations, a server must be judged after few.
	classWeight  = 0.02
	serverWeight = 0.15
	// priorityBonus is the time by which a request goes before another one that
	// is one rank less urgent.
	priorityBonus = 60 * time.Millisecond
	// inflightGrace is the time after its deadline at which a job without a
	// report counts as ended: its host may have been lost.
	inflightGrace = 400 * time.Millisecond
	// expireInterval is the interval between checks for such jobs.
	expireInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which all servers are looked at, for what
	// becomes due by time alone.
	sweepInterval = 20 * time.Millisecond
	// unownedWait is the longest time for which a request waits for the owner of
	// its key if the end of the gap is not known.
	unownedWait = 1200 * time.Millisecond
	// harmfulRetry tells callers of a harmful request to stay away.
	harmfulRetry = 5 * time.Second
	// minRetryAfter keeps refused callers from returning at once.
	minRetryAfter = 50 * time.Millisecond
)

// Scheduler schedules the requests of one service.
type Scheduler struct {
	set     Settings
	keyed   bool
	servers map[topology.ServerID]*server
	order   []*server // in a fixed order, so that equal inputs give equal results
	owner   func(key int) Owner
	version int
	// waiting holds the jobs of an unkeyed service, unowned those of a keyed
	// service whose key has no owner.
	waiting, unowned []*Job
	flights          map[JobID]*server
	jobs             map[JobID]*Job
	classes          map[uint32]*classMean
	expired          time.Duration // time of the last check of flights
	// dirty lists the servers whose state has changed since the last Run.
	dirty []*server
	harm  *harm
	// refused holds jobs that were refused when they came.
	refused []Decision
	// unownedNew is true if unowned has jobs that the last Run did not see.
	unownedNew bool
	swept      time.Duration // time of the last Run that looked at all servers
}

// New returns a Service without servers. A keyed service gets the owners of its
// keys from SetOwners.
func New(keyed bool, set Settings) *Scheduler {
	return &Scheduler{
		set: set, keyed: keyed,
		servers: make(map[topology.ServerID]*server),
		flights: make(map[JobID]*server),
		jobs:    make(map[JobID]*Job),
		classes: make(map[uint32]*classMean),
		harm:    newHarm(),
		owner:   func(int) Owner { return Owner{} },
	}
}

// Contains reports whether the job waits or runs.
func (s *Scheduler) Contains(id JobID) bool {
	_, ok := s.jobs[id]
	return ok
}

// IsQueued reports whether the job has not been sent to a server.
func (s *Scheduler) IsQueued(id JobID) bool { return s.jobs[id] != nil && s.flights[id] == nil }

// ExpectedSeconds returns the expected work of a class in seconds at a server of mean
// speed.
func (s *Scheduler) ExpectedSeconds(class uint32) float64 {
	return s.class(class).work()
}

func (s *Scheduler) class(class uint32) *classMean {
	m, ok := s.classes[class]
	if !ok {
		m = new(classMean)
		s.classes[class] = m
	}
	return m
}

// Slowness returns the time that a server takes relative to the mean; 1 if it is
// not known.
func (s *Scheduler) Slowness(id topology.ServerID) float64 {
	if srv, ok := s.servers[id]; ok {
		return srv.slowness
	}
	return 1
}

// Add takes a job.
func (s *Scheduler) Add(j *Job, now time.Duration) {
	j.arrived, j.mean, j.over = now, s.class(j.Class), false
	if s.harm.harmful(j.Content, now) {
		s.refused = append(s.refused, Decision{Job: j, Refused: true, Reason: Harmful, RetryAfter: harmfulRetry})
		return
	}
	s.jobs[j.ID] = j
	if s.keyed {
		if srv := s.servers[s.owner(j.Key).Server]; srv != nil {
			srv.ask(j.mean.work(), now)
		}
	}
	s.enqueue(j)
}

func (s *Scheduler) enqueue(j *Job) {
	if !s.keyed {
		s.waiting = append(s.waiting, j)
		return
	}
	o := s.owner(j.Key)
	if srv, ok := s.servers[o.Server]; ok && o.Granted {
		srv.waiting = append(srv.waiting, j)
		s.touch(srv)
		return
	}
	s.unowned = append(s.unowned, j)
	s.unownedNew = true
}

// touch makes the next Run look at a server.
func (s *Scheduler) touch(srv *server) {
	if !srv.dirty {
		srv.dirty = true
		s.dirty = append(s.dirty, srv)
	}
}

// Remove drops a job that waits or runs: its caller has left or its host has
// given up.
func (s *Scheduler) Remove(id JobID) {
	if j, ok := s.jobs[id]; ok {
		j.over = true
		delete(s.jobs, id)
	}
	if srv, ok := s.flights[id]; ok {
		delete(srv.running, id)
		delete(s.flights, id)
		s.touch(srv)
	}
}

// wait returns the expected time until a slot is free for a job that joins the
// queue.
func (s *Scheduler) wait(queue []*Job, running, slots int, slowness float64) time.Duration {
	if slots == 0 {
		return 0
	}
	var work float64
	for _, j := range queue {
		work += j.mean.work()
	}
	if running >= slots {
		// A running request has half of its work before it on average.
		work += float64(running-slots+1) * defaultWork.Seconds() / 2
	}
	return time.Duration(work * slowness / float64(slots) * float64(time.Second))
}

// Decide returns the decisions that are due.
func (s *Scheduler) Decide(now time.Duration) []Decision {
	s.expire(now)
	out := s.refused
	s.refused = nil
	if s.keyed {
		out = s.runKeyed(now, out)
	} else {
		out = s.runUnkeyed(now, out)
	}
	return out
}

// expire ends flights whose host has not reported.
func (s *Scheduler) expire(now time.Duration) {
	if now-s.expired < expireInterval {
		return
	}
	s.expired = now
	for id := range s.flights {
		if now > s.jobs[id].Deadline+inflightGrace {
			s.Remove(id)
		}
	}
}

func (s *Scheduler) runKeyed(now time.Duration, out []Decision) []Decision {
	look := s.dirty
	if now-s.swept >= sweepInterval {
		s.swept = now
		look = s.order
		s.unownedNew = true
	}
	if s.unownedNew {
		s.unownedNew = false
		out = s.refuseUnowned(now, out)
	}
	for _, srv := range s.dirty {
		srv.dirty = false
	}
	s.dirty = nil
	for _, srv := range look {
		srv.waiting = s.live(srv.waiting)
		for len(srv.waiting) > 0 && now >= srv.fullUntil && len(srv.running) < srv.Slots+s.set.Prefetch {
			i := s.best(srv.waiting, now, srv.slowness*srv.margin(now))
			j := srv.waiting[i]
			srv.waiting = append(srv.waiting[:i], srv.waiting[i+1:]...)
			out = append(out, s.start(j, srv))
		}
		out = s.refuseLate(srv, now, out)
	}
	return out
}

// refuseUnowned refuses the jobs whose key will have no owner in time.
func (s *Scheduler) refuseUnowned(now time.Duration, out []Decision) []Decision {
	keep := s.unowned[:0]
	for _, j := range s.live(s.unowned) {
		o := s.owner(j.Key)
		latest := j.Deadline - s.expected(j, 1)
		free := o.FreeAt
		if free == 0 {
			free = j.arrived + unownedWait
		}
		switch {
		case len(s.servers) == 0 && now-j.arrived > unownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second))
		case now >= latest || (o.FreeAt > now && o.FreeAt > latest) || now-j.arrived > unownedWait:
			out = append(out, s.refuse(j, NoOwner, max(minRetryAfter, free-now)))
		default:
			keep = append(keep, j)
		}
	}
	s.unowned = keep
	return out
}

// refuseLate refuses the jobs that a server cannot answer in time, judged by
// the work before them.
func (s *Scheduler) refuseLate(srv *server, now time.Duration, out []Decision) []Decision {
	if len(srv.waiting) == 0 {
		return out
	}
	backlog := s.wait(srv.waiting, len(srv.running), srv.Slots, srv.slowness)
	saturated := srv.saturated(now)
	margin := srv.margin(now)
	keep := srv.waiting[:0]
	for _, j := range srv.waiting {
		work := s.expected(j, srv.slowness)
		hopeless := now+work/2 > j.Deadline
		// The latest arrivals are refused while the backlog does not fit.
		if !hopeless && j.arrived == now && now+backlog+work > j.Deadline {
			hopeless = true
		}
		// A late job of a saturated server waits in vain: there are always jobs
		// that can still meet their target.
		if saturated && now+time.Duration(float64(work)*margin) > j.Target {
			hopeless = true
		}
		if hopeless {
			out = append(out, s.refuse(j, Overloaded, max(minRetryAfter, backlog/2)))
			continue
		}
		keep = append(keep, j)
	}
	srv.waiting = keep
	return out
}

// live drops jobs that were removed.
func (s *Scheduler) live(queue []*Job) []*Job {
	keep := queue[:0]
	for _, j := range queue {
		if !j.over {
			keep = append(keep, j)
		}
	}
	return keep
}

// best returns the index of the job that goes next: among the jobs that can
// still meet their target the one whose target comes first, with a bonus for
// urgency. Jobs that are late come after them.
func (s *Scheduler) best(queue []*Job, now time.Duration, slowness float64) int {
	best, bestLate, bestTime := -1, false, time.Duration(0)
	for i, j := range queue {
		late := now+s.expected(j, slowness) > j.Target
		at := j.Target
		if late {
			at = j.Deadline
		}
		at += time.Duration(j.Priority) * priorityBonus
		if best < 0 || (bestLate && !late) || (bestLate == late && at < bestTime) {
			best, bestLate, bestTime = i, late, at
		}
	}
	return best
}

func (s *Scheduler) expected(j *Job, slowness float64) time.Duration {
	return time.Duration(j.mean.work() * slowness * float64(time.Second))
}

func (s *Scheduler) start(j *Job, srv *server) Decision {
	srv.running[j.ID] = true
	s.flights[j.ID] = srv
	return Decision{Job: j, Server: srv.id, Address: srv.Address}
}

func (s *Scheduler) refuse(j *Job, reason Reason, after time.Duration) Decision {
	j.over = true
	delete(s.jobs, j.ID)
	return Decision{Job: j, Refused: true, Reason: reason, RetryAfter: after}
}

// Counts returns the numbers of waiting jobs, of running jobs and of slots.
func (s *Scheduler) Counts() (waiting, running, slots int) {
	waiting = len(s.waiting) + len(s.unowned)
	for _, srv := range s.order {
		waiting += len(srv.waiting)
		running += len(srv.running)
		slots += srv.Slots
	}
	return waiting, running, slots
}
