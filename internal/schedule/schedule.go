// Package schedule assigns the waiting requests of one service to servers and
// refuses requests that no server can complete in time.
//
// It is designed for servers with a few slots each, near saturation, that are
// called through many hosts. A single queue in front of all slots keeps every
// slot busy while any request waits. Requests wait at the router, where they can
// still be reordered, cancelled or refused, and not at a server.
//
// The package performs no I/O and reads no clock; times are durations since an
// arbitrary origin. A Scheduler is not safe for concurrent use.
package schedule

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// JobID identifies a request by the incarnation of the host that received it from
// the caller and the number that this host gave it.
type JobID struct {
	HostIncarnation uint64
	Number          uint32
}

// NoKey is the key of a request to a service without keys.
const NoKey = -1

// Job is a request that waits for a server or is assigned to one.
type Job struct {
	ID JobID
	// Class groups requests with similar processing times.
	Class uint32
	// ContentHash is a hash of the request without its ID; retries of a request
	// have the same value.
	ContentHash uint64
	Key         int
	Priority    int
	DataCentre  topology.DataCentre
	// Target is the time until which a response has its full value, Deadline the
	// time after which it has none.
	Target, Deadline time.Duration
	// Tried lists the servers at which earlier attempts failed.
	Tried []topology.ServerID

	arrived, assignedAt time.Duration
	// respondedAt is the time of the response; zero if there is none.
	respondedAt time.Duration
	// returned is true if the request was refused before and came back.
	returned bool
	// estimate is the processing time of its class.
	estimate *durationEstimate
	// hedged is true if a second copy of the job was sent, or if it is that copy.
	hedged bool
	// finished is true once the job is neither waiting nor running. Queues drop
	// finished jobs when they are next processed.
	finished bool
}

// durationEstimate is the expected processing time of the jobs of a class.
type durationEstimate struct {
	seconds  float64
	observed bool // at least one job has succeeded
	spread   spread
}

// observe adds an observation in seconds to the moving average.
func (e *durationEstimate) observe(seconds float64) {
	if !e.observed {
		e.seconds, e.observed = seconds, true
	}
	e.seconds += classWeight * (seconds - e.seconds)
}

// expectedSeconds returns the expected processing time at a server of mean speed.
func (e *durationEstimate) expectedSeconds() float64 {
	if !e.observed {
		return defaultProcessingTime.Seconds()
	}
	return max(e.seconds, minProcessingTime.Seconds())
}

// Decision assigns a job to a server, or refuses it and states after which time
// another attempt may succeed.
type Decision struct {
	Job        *Job
	Server     topology.ServerID
	Address    string
	Refused    bool
	Reason     Reason
	RetryAfter time.Duration
	// Limited is true if the server named a limit of its requests: the host then
	// reports what the response says of it.
	Limited bool
}

// Reason is the reason for a refusal.
type Reason uint8

// Reasons for a refusal.
const (
	// NoReason: the job was not refused.
	NoReason Reason = iota
	// Overloaded: the expected wait exceeds the time left.
	Overloaded
	// NoOwner: no server will own the key in time.
	NoOwner
	// NoServer: no server of the service is available.
	NoServer
	// Harmful: the request has crashed several servers.
	Harmful
	// HostStops: the host of the request stops before a server is free.
	HostStops
	// Paused: the server wants no requests from the host of the request for now.
	Paused
	// Cold: the server warms up, and its rate leaves no time for the request.
	Cold
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	names := [...]string{"none", "overloaded", "no-owner", "no-server", "harmful", "host-stops", "paused", "cold"}
	if int(r) >= len(names) {
		return "unknown" // sent by a later release
	}
	return names[r]
}

// Server describes a server to which jobs may be assigned.
type Server struct {
	Address     string
	DataCentre  topology.DataCentre
	Slots       int
	Incarnation int64
	// WarmupLeft is the remaining time of the warm-up, during which the server is
	// slow.
	WarmupLeft time.Duration
	// ConfirmedAt is the time after which the registration was written; zero if it is
	// not known.
	ConfirmedAt time.Duration
}

// Owner is the server that owns a key, and whether it may be sent requests.
type Owner struct {
	Server topology.ServerID
	// Granted is true if a grant for the key is in force, so that requests can be
	// sent to the server.
	Granted bool
	// FreeAt is the latest time at which the key can be granted again; zero if
	// it is not known.
	FreeAt time.Duration
}

// Settings of a Scheduler.
type Settings struct {
	// RemoteCost is the factor by which a server in another data centre must be
	// faster to be preferred, since traffic between data centres is expensive.
	RemoteCost float64
	// Prefetch is the number of requests that a server of a keyed service is sent
	// beyond its slots. It hides the network latency between a response and the
	// next request.
	Prefetch int
}

const (
	// defaultProcessingTime is the expected processing time of a class before
	// its first success.
	defaultProcessingTime = 100 * time.Millisecond
	// minProcessingTime is the resolution of the reported durations.
	minProcessingTime = time.Millisecond
	// classWeight and serverWeight are the weights of a new observation in the
	// moving averages. A class has many observations; the average of a server
	// must follow a change after a few.
	classWeight  = 0.02
	serverWeight = 0.15
	// priorityStep is the time that each step of Job.Priority adds to the target
	// of a job when jobs are ordered; lower values are more urgent.
	priorityStep = 60 * time.Millisecond
	// inflightGrace is the time after its deadline at which an assigned job
	// without a report is removed: its host may have failed.
	inflightGrace = 400 * time.Millisecond
	// expireInterval is the interval between checks for such jobs.
	expireInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which all servers are checked for
	// decisions that become due by the passage of time alone.
	sweepInterval = 20 * time.Millisecond
	// maxUnownedWait is the longest time for which a job waits for an owner of
	// its key if it is not known when the key can be granted again.
	maxUnownedWait = 1200 * time.Millisecond
	// harmfulRetryAfter is the retry delay that the callers of a harmful request
	// are given.
	harmfulRetryAfter = 5 * time.Second
	// minRetryAfter keeps the callers of refused requests from retrying at once.
	minRetryAfter = 50 * time.Millisecond
)

// Scheduler assigns the requests of one service to its servers.
type Scheduler struct {
	settings      Settings
	keyed         bool
	servers       map[topology.ServerID]*server
	sortedServers []*server // sorted by ID, so that equal inputs give equal results
	ownerOf       func(key int) Owner
	ownersVersion int
	// waiting holds the jobs of an unkeyed service, unowned the jobs of a keyed
	// service whose keys have no owner with a grant.
	waiting, unowned []*Job
	demand           demand // of the jobs of an unkeyed service
	assigned         map[JobID]*server
	jobs             map[JobID]*Job
	estimates        map[uint32]*durationEstimate
	// meanWork is the mean of the expected processing times of the jobs.
	meanWork durationEstimate
	limits   map[topology.ServerID]*rateLimit
	// warmupLimits is nil if the servers need no warm-up; listed is true once there
	// was a list of servers.
	warmupLimits *warmupLimits
	warmups      map[topology.ServerID]*warmup
	listed       bool
	// pausedHosts holds the hosts with pauses in force by incarnation, freeHostNumbers
	// the numbers of former ones.
	pausedHosts     map[uint64]*pausedHost
	freeHostNumbers []int
	lastLookup      hostLookup
	lastExpiry      time.Duration // time of the last check of assigned
	// dirty lists the servers whose state has changed since the last Decide.
	dirty        []*server
	crashTracker *crashTracker
	returns      *returnTracker
	// pendingRefusals holds the refusals of jobs that were refused on arrival.
	pendingRefusals []Decision
	// unownedChanged is true if unowned has jobs that were added since the last
	// Decide.
	unownedChanged bool
	lastSweep      time.Duration // time of the last Decide that checked all servers
	lastSplit      time.Duration // time of the last splitServable of waiting
}

// New returns a Scheduler without servers. For a keyed service, SetOwners sets
// the owners of the keys.
func New(keyed bool, settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings, keyed: keyed,
		servers:      make(map[topology.ServerID]*server),
		assigned:     make(map[JobID]*server),
		jobs:         make(map[JobID]*Job),
		estimates:    make(map[uint32]*durationEstimate),
		limits:       make(map[topology.ServerID]*rateLimit),
		pausedHosts:  make(map[uint64]*pausedHost),
		crashTracker: newCrashTracker(),
		returns:      newReturnTracker(),
		ownerOf:      func(int) Owner { return Owner{} },
	}
}

// Contains reports whether the job is waiting or running.
func (s *Scheduler) Contains(id JobID) bool {
	_, ok := s.jobs[id]
	return ok
}

// IsQueued reports whether the job is waiting and not yet assigned to a server.
func (s *Scheduler) IsQueued(id JobID) bool { return s.jobs[id] != nil && s.assigned[id] == nil }

// ExpectedSeconds returns the expected processing time of a class in seconds at a
// server of mean speed.
func (s *Scheduler) ExpectedSeconds(class uint32) float64 {
	return s.estimateFor(class).expectedSeconds()
}

// estimateFor returns the estimate of a class and adds it if it is missing.
func (s *Scheduler) estimateFor(class uint32) *durationEstimate {
	estimate, ok := s.estimates[class]
	if !ok {
		estimate = new(durationEstimate)
		s.estimates[class] = estimate
	}
	return estimate
}

// Slowness returns the processing time of a server relative to the mean of the
// servers; 1 if the server is not known.
func (s *Scheduler) Slowness(id topology.ServerID) float64 {
	if srv, ok := s.servers[id]; ok {
		return srv.slowness
	}
	return 1
}

// Add queues a job, or refuses it at the next Decide if its content is harmful.
func (s *Scheduler) Add(j *Job, now time.Duration) {
	j.arrived, j.estimate, j.finished = now, s.estimateFor(j.Class), false
	if s.crashTracker.isHarmful(j.ContentHash, now) {
		s.pendingRefusals = append(s.pendingRefusals, Decision{Job: j, Refused: true, Reason: Harmful, RetryAfter: harmfulRetryAfter})
		return
	}
	if refused, ok := s.returns.recognise(j, now); ok {
		// The caller has waited since its first attempt.
		j.returned, j.Target = true, min(j.Target, refused.target)
	}
	s.jobs[j.ID] = j
	s.meanWork.observe(j.estimate.expectedSeconds())
	if s.keyed {
		if srv := s.servers[s.ownerOf(j.Key).Server]; srv != nil && srv.pauseLeft(s.pausedHostNumber(j), now) == 0 {
			srv.demand.add(j.estimate.expectedSeconds(), now)
		}
	} else {
		s.demand.add(j.estimate.expectedSeconds(), now)
	}
	s.enqueue(j)
}

// enqueue adds a job to the queue of the service or, if the service is keyed,
// to the queue of the owner of its key.
func (s *Scheduler) enqueue(j *Job) {
	if !s.keyed {
		s.waiting = append(s.waiting, j)
		return
	}
	owner := s.ownerOf(j.Key)
	if srv, ok := s.servers[owner.Server]; ok && owner.Granted {
		srv.waiting = append(srv.waiting, j)
		s.markDirty(srv)
		return
	}
	s.unowned = append(s.unowned, j)
	s.unownedChanged = true
}

// markDirty makes the next Decide check a server.
func (s *Scheduler) markDirty(srv *server) {
	if !srv.dirty {
		srv.dirty = true
		s.dirty = append(s.dirty, srv)
	}
}

// Remove removes a waiting or running job, because its caller has
// disconnected, its host no longer waits for a decision, or the exchange has
// ended.
func (s *Scheduler) Remove(id JobID) {
	if j, ok := s.jobs[id]; ok {
		j.finished = true
		delete(s.jobs, id)
	}
	if srv, ok := s.assigned[id]; ok {
		delete(srv.running, id)
		delete(s.assigned, id)
		s.markDirty(srv)
	}
}

// expectedWait returns the expected time until a slot is free for a job at the
// end of the queue.
func (s *Scheduler) expectedWait(queue []*Job, running, slots int, slowness float64) time.Duration {
	if slots == 0 {
		return 0
	}
	var work float64
	for _, j := range queue {
		work += j.estimate.expectedSeconds()
	}
	if running >= slots {
		// On average, half of the work of a running job is left.
		work += float64(running-slots+1) * defaultProcessingTime.Seconds() / 2
	}
	return time.Duration(work * slowness / float64(slots) * float64(time.Second))
}

// Decide returns the assignments and refusals that are due.
func (s *Scheduler) Decide(now time.Duration) []Decision {
	s.expireAssigned(now)
	out := s.pendingRefusals
	s.pendingRefusals = nil
	if s.keyed {
		out = s.decideKeyed(now, out)
	} else {
		out = s.decideUnkeyed(now, out)
	}
	return out
}

// expireAssigned removes assigned jobs whose host has sent no report in time.
func (s *Scheduler) expireAssigned(now time.Duration) {
	if now-s.lastExpiry < expireInterval {
		return
	}
	s.lastExpiry = now
	s.dropLimits(now)
	s.dropWarmups(now)
	s.dropPauses(now)
	for id := range s.assigned {
		if now > s.jobs[id].Deadline+inflightGrace {
			s.Remove(id)
		}
	}
}

// decideKeyed assigns waiting jobs to the owners of their keys and refuses the
// jobs that cannot be completed in time.
func (s *Scheduler) decideKeyed(now time.Duration, out []Decision) []Decision {
	servers := s.dirty
	if now-s.lastSweep >= sweepInterval {
		s.lastSweep = now
		servers = s.sortedServers
		s.unownedChanged = true
	}
	if s.unownedChanged {
		s.unownedChanged = false
		out = s.refuseUnowned(now, out)
	}
	for _, srv := range s.dirty {
		srv.dirty = false
	}
	s.dirty = nil
	for _, srv := range servers {
		srv.waiting = s.dropFinished(srv.waiting)
		var held []*Job
		held, out = s.separatePaused(srv, now, out)
		for len(srv.waiting) > 0 && srv.accepts(now) && len(srv.running) < srv.Slots+s.settings.Prefetch {
			i := s.nextOf(srv, now)
			j := srv.waiting[i]
			srv.waiting = append(srv.waiting[:i], srv.waiting[i+1:]...)
			out = append(out, s.assign(j, srv, now))
		}
		srv.waiting = append(srv.waiting, held...)
		out = s.refuseBeyondLimit(srv, now, out)
		out = s.refuseLate(srv, now, out)
	}
	return out
}

// refuseUnowned refuses the jobs whose key will have no owner with a grant in
// time.
func (s *Scheduler) refuseUnowned(now time.Duration, out []Decision) []Decision {
	kept := s.unowned[:0]
	for _, j := range s.dropFinished(s.unowned) {
		owner := s.ownerOf(j.Key)
		latest := j.Deadline - s.expectedTime(j, 1)
		freeAt := owner.FreeAt
		if freeAt == 0 {
			freeAt = j.arrived + maxUnownedWait
		}
		switch {
		case len(s.servers) == 0 && now-j.arrived > maxUnownedWait/2:
			out = append(out, s.refuse(j, NoServer, time.Second, now))
		case now >= latest || (owner.FreeAt > now && owner.FreeAt > latest) || now-j.arrived > maxUnownedWait:
			out = append(out, s.refuse(j, NoOwner, max(minRetryAfter, freeAt-now), now))
		default:
			kept = append(kept, j)
		}
	}
	s.unowned = kept
	return out
}

// refuseLate refuses the jobs of a server that it cannot complete in time,
// given the work ahead of them.
func (s *Scheduler) refuseLate(srv *server, now time.Duration, out []Decision) []Decision {
	if len(srv.waiting) == 0 {
		return out
	}
	delay := srv.paceDelay(now)
	backlog := delay + s.expectedWait(srv.waiting, len(srv.running), srv.Slots, srv.slowness)
	saturated := s.saturated(srv, now)
	if saturated {
		var left []*Job
		srv.waiting, left = splitServable(srv.waiting, now+delay, s.capacity(srv, now), srv.slowness)
		for _, j := range left {
			out = append(out, s.refuse(j, Overloaded, saturatedRetryAfter(j, now), now))
		}
	}
	kept := srv.waiting[:0]
	for _, j := range srv.waiting {
		work := s.expectedTime(j, srv.slowness)
		tooLate := now+work/2 > j.Deadline
		// New arrivals are refused while the backlog leaves too little time. At a
		// saturated server the backlog includes late jobs, which delay no other.
		if !tooLate && !saturated && j.arrived == now && now+backlog+work > j.Deadline {
			tooLate = true
		}
		if tooLate {
			out = append(out, s.refuse(j, Overloaded, max(minRetryAfter, backlog/2), now))
			continue
		}
		kept = append(kept, j)
	}
	srv.waiting = kept
	return out
}

// dropFinished returns the queue without finished jobs. It reuses the memory
// of the queue.
func (s *Scheduler) dropFinished(queue []*Job) []*Job {
	kept := queue[:0]
	for _, j := range queue {
		if !j.finished {
			kept = append(kept, j)
		}
	}
	return kept
}

// nextOf returns the index of the next job of a server.
func (s *Scheduler) nextOf(srv *server, now time.Duration) int {
	if s.saturated(srv, now) {
		return nextSaturated(srv.waiting, now+srv.paceDelay(now), srv.slowness)
	}
	return s.nextJob(srv.waiting, now+srv.paceDelay(now), srv.slowness*normalMargin)
}

// nextJob returns the index of the next job: of those that can still meet
// their target, the one with the earliest target after adjustment for its
// priority. Jobs that cannot meet their target come after them, by deadline.
func (s *Scheduler) nextJob(queue []*Job, now time.Duration, slowness float64) int {
	best, bestLate, bestTime := -1, false, time.Duration(0)
	for i, j := range queue {
		late := now+s.expectedTime(j, slowness) > j.Target
		at := j.Target
		if late {
			at = j.Deadline
		}
		at += time.Duration(j.Priority) * priorityStep
		if best < 0 || (bestLate && !late) || (bestLate == late && at < bestTime) {
			best, bestLate, bestTime = i, late, at
		}
	}
	return best
}

// expectedTime returns the expected processing time of a job at a server of
// the given slowness.
func (s *Scheduler) expectedTime(j *Job, slowness float64) time.Duration {
	return time.Duration(j.estimate.expectedSeconds() * slowness * float64(time.Second))
}

func (s *Scheduler) assign(j *Job, srv *server, now time.Duration) Decision {
	srv.running[j.ID] = true
	s.assigned[j.ID] = srv
	srv.limit.take(now)
	j.assignedAt = now
	srv.warmup.take(j, now)
	return Decision{Job: j, Server: srv.id, Address: srv.Address, Limited: srv.limit.inForce(now)}
}

func (s *Scheduler) refuse(j *Job, reason Reason, after, now time.Duration) Decision {
	if !j.returned {
		s.returns.recordRefusal(j, now)
	}
	j.finished = true
	delete(s.jobs, j.ID)
	return Decision{Job: j, Refused: true, Reason: reason, RetryAfter: after}
}

// Counts returns the numbers of waiting jobs, running jobs and slots.
func (s *Scheduler) Counts() (waiting, running, slots int) {
	waiting = len(s.waiting) + len(s.unowned)
	for _, srv := range s.sortedServers {
		waiting += len(srv.waiting)
		running += len(srv.running)
		slots += srv.Slots
	}
	return waiting, running, slots
}
