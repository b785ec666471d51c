package schedule

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// WarmupTerms say how many requests a server of a service tolerates while it is cold,
// that is, for some time after its start. The zero value is that of a service whose
// servers need no warm-up.
type WarmupTerms struct {
	// PerSecond is the rate in requests a second that a cold server tolerates; zero
	// for no limit.
	PerSecond float64
	// Excess and Slack bound what a cold server receives from all hosts in any
	// second: PerSecond x Excess + Slack.
	Excess, Slack float64
	// Duration is how long a server is cold.
	Duration time.Duration
}

// WarmupRole says which other schedulers may send requests to the same servers.
type WarmupRole uint8

// Roles of a scheduler.
const (
	// SoleLeader places the requests of all hosts that are in contact with it; no
	// other leader acts.
	SoleLeader WarmupRole = iota
	// RivalLeader is a leader beside which another may act: an earlier one that has
	// not ended, or a later one that this leader has not heard of.
	RivalLeader
	// StartingLeader has just become the leader: an earlier one may have sent its
	// full share within the last second.
	StartingLeader
	// AloneHost is a host that places its own requests without a leader.
	AloneHost
)

// WarmupShare says which part of the bound of cold servers a scheduler uses.
type WarmupShare struct {
	Role WarmupRole
	// Hosts and Phase are those of LimitShare, for an AloneHost.
	Hosts int
	Phase float64
	// ListReadAt is the time at which the list of servers was read, MaxListAge the
	// age up to which it counts as fresh.
	ListReadAt, MaxListAge time.Duration
}

const (
	// warmupWindow is the length of the window of the bound.
	warmupWindow = time.Second
	// delaySpread is the largest difference of the times that two decisions need to
	// become requests at a server: a lost decision is asked for again after 45 ms,
	// and a host without a decision acts alone after 140 ms.
	delaySpread = 150 * time.Millisecond
	// linkMargin bounds the time from the send of a request to its arrival where no
	// message is lost: some round trips between data centres of 0.4 to 2.8 ms.
	linkMargin = 10 * time.Millisecond
	// maxAloneRetry bounds the Retry-After of a host that acts alone: another host
	// leads after about two seconds, and its share is larger.
	maxAloneRetry = 2 * time.Second
)

// parts are the numbers of requests that the schedulers may send to a cold server in one
// window. Those of all schedulers that act at the same time are below the bound.
type parts struct {
	leader, rival, starting, alone int
	cold                           int // of a server that is known to be cold
}

// divide splits the bound: two thirteenths each for hosts that act alone and for the
// first seconds of a new leader, the rest for the leader, half of it while there may be
// another. With a rate of 3.9 a second these are 2, 2, 9 and 5 of 13.
func (t WarmupTerms) divide() parts {
	total := int(math.Floor(t.PerSecond*t.Excess + t.Slack))
	p := parts{alone: total * 2 / 13}
	p.starting = p.alone
	p.leader = max(1, total-p.alone-p.starting)
	p.rival = max(1, (total-p.alone)/2)
	p.cold = max(1, min(p.rival, int(t.PerSecond*t.Excess)))
	return p
}

// warmupLimits holds what the warm-up limits of all servers of a service share.
type warmupLimits struct {
	terms WarmupTerms
	parts parts
	share WarmupShare
	times []time.Duration // memory that counted uses again
}

// warmup bounds the requests to one server while it is cold or may be. Its registration
// says up to 1.3 s late that it has started again, so each sign of a restart counts until a
// registration that was written later: an exchange that failed, and a request whose key the
// server did not own. Without such a sign a server counts as warm.
type warmup struct {
	*warmupLimits
	// sends holds the requests that were sent within the last window.
	sends []*Job
	// coldUntil is the end of the known warm-up, reportedCold whether its begin was
	// passed on by TakeWarmupChanges.
	coldUntil    time.Duration
	reportedCold bool
	// left is the last warm-up time in a registration, leftAt its ConfirmedAt.
	left, leftAt time.Duration
	// confirmedAt is the time after which the last registration was written, doubtAt
	// that of the last sign of a restart, and backAt that of the first response after
	// doubtAt; zero if there is none.
	confirmedAt, doubtAt, backAt time.Duration
	// endedAt is the time of the first exchange that failed since the server last counted
	// as warm. Requests with a response before it did not reach a later process.
	endedAt time.Duration
	// offset sets the turns of different servers apart, from 0 to 1, for an AloneHost;
	// lastTurn is the last turn that was used.
	offset   float64
	lastTurn int64
}

func newWarmup(l *warmupLimits, id topology.ServerID) *warmup {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return &warmup{warmupLimits: l, offset: float64(h.Sum32()) / math.MaxUint32, lastTurn: math.MinInt64}
}

// register takes note of a registration of the server.
func (w *warmup) register(desc Server, now time.Duration) {
	if w == nil {
		return
	}
	if desc.WarmupLeft > 0 {
		until := w.share.ListReadAt + desc.WarmupLeft
		if desc.WarmupLeft == w.left && desc.ConfirmedAt == w.leftAt { // read again
			until = min(until, w.coldUntil)
		}
		w.coldUntil, w.left, w.leftAt = until, desc.WarmupLeft, desc.ConfirmedAt
		return
	}
	if desc.ConfirmedAt <= w.confirmedAt {
		return
	}
	w.confirmedAt = desc.ConfirmedAt
	if w.confirmedAt > w.doubtAt {
		w.coldUntil = min(w.coldUntil, now)
	}
}

// restart takes note of another incarnation of the server, or of its return to the list.
// It is cold until a registration that was written later says otherwise.
func (w *warmup) restart(now time.Duration) {
	if w == nil {
		return
	}
	// The process started at some time before its registration was read, so all requests
	// of the window count that came after an exchange that failed.
	w.doubtAt, w.backAt = now, 0
	w.coldUntil = now + w.terms.Duration
}

// doubt takes note of an exchange that a restart may have ended.
func (w *warmup) doubt(now time.Duration) {
	if w.trusted(now) {
		w.endedAt = now
	}
	w.doubtAt, w.backAt = now, 0
}

// observe takes note of the end of an exchange.
func (w *warmup) observe(j *Job, r Report, now time.Duration) {
	if w == nil {
		return
	}
	switch r.Result {
	case Broken, ConnectFailed, WrongServer:
		w.doubt(now)
		if r.Result != Broken { // not received, or answered with 421, which does not count
			w.sends = slices.DeleteFunc(w.sends, func(sent *Job) bool { return sent == j })
		}
	case Succeeded, Failed, ServerFull:
		j.respondedAt = now
		switch {
		case now-r.Duration < w.doubtAt-linkMargin && !w.cold(now):
			w.doubtAt = 0 // the process that answers has run since before the sign
		case w.backAt == 0:
			w.backAt = now
		}
	}
}

// cold reports whether the server is known or assumed to be cold.
func (w *warmup) cold(now time.Duration) bool { return w != nil && now < w.coldUntil }

// trusted reports whether the server counts as warm: it is not known to be cold, and there
// was no sign of a restart since its last registration, or its warm-up has passed since it
// was back. A scheduler beside which others act also needs a fresh list of servers: each of
// them sees few exchanges with a server.
func (w *warmup) trusted(now time.Duration) bool {
	stale := now-w.share.ListReadAt > w.share.MaxListAge
	switch {
	case w.cold(now), stale && w.share.Role != SoleLeader:
		return false
	case w.doubtAt == 0, w.doubtAt < w.confirmedAt:
		return true
	default:
		return w.backAt > 0 && now > w.backAt+w.terms.Duration
	}
}

// doubtful reports whether the server is cold or may be.
func (w *warmup) doubtful(now time.Duration) bool { return w != nil && !w.trusted(now) }

// restricts reports whether requests for which the limit leaves no time are to be refused
// at once. After a mere sign of a restart the limit may end with the next response.
func (w *warmup) restricts(now time.Duration) bool {
	return w != nil && (w.cold(now) || (w.share.Role == AloneHost && !w.trusted(now)))
}

// rate returns the requests a second that a server which is cold gets from this scheduler;
// infinite if it is not cold.
func (w *warmup) rate(now time.Duration) float64 {
	switch {
	case !w.restricts(now):
		return math.Inf(1)
	case w.share.Role == AloneHost:
		return float64(w.parts.alone) / float64(max(1, w.share.Hosts))
	default:
		return w.terms.PerSecond
	}
}

// allowance returns the number of requests that this scheduler may send in a window.
func (w *warmup) allowance(now time.Duration) int {
	n := w.parts.leader
	switch w.share.Role {
	case StartingLeader:
		n = w.parts.starting
	case RivalLeader:
		n = w.parts.rival
	}
	if w.cold(now) {
		n = min(n, w.parts.cold)
	}
	return n
}

// admits reports whether a request may be sent now.
func (w *warmup) admits(now time.Duration) bool { return w.wait(1, now) == 0 }

// take counts a request that is sent.
func (w *warmup) take(j *Job, now time.Duration) {
	if w == nil {
		return
	}
	w.prune(now)
	w.sends = append(w.sends, j)
	if w.share.Role == AloneHost {
		w.lastTurn, _ = w.turn(now)
	}
}

// counted returns the times of the requests that count towards the limit: those that may
// have reached the server after the last sign of a restart.
func (w *warmup) counted() []time.Duration {
	w.times = w.times[:0]
	for _, j := range w.sends {
		if j.respondedAt == 0 || j.respondedAt > w.endedAt {
			w.times = append(w.times, j.assignedAt)
		}
	}
	return w.times
}

func (w *warmup) prune(now time.Duration) {
	w.sends = slices.DeleteFunc(w.sends, func(j *Job) bool { return j.assignedAt <= now-warmupWindow-delaySpread })
}

// wait returns the time until the last of a number of waiting requests may be sent.
func (w *warmup) wait(requests int, now time.Duration) time.Duration {
	if w == nil || requests == 0 || w.trusted(now) {
		return 0
	}
	if w.share.Role == AloneHost {
		return w.waitForTurn(requests, now)
	}
	const window = warmupWindow + delaySpread
	allowed := w.allowance(now)
	if allowed == 0 {
		return window
	}
	w.prune(now)
	counted := w.counted()
	// The n-th request from now on needs the end of the window of the send that is
	// allowed places before it.
	n := len(counted) + requests - 1 - allowed
	var wait time.Duration
	for ; n >= len(counted) && n >= 0; n -= allowed { // that place is one of the waiting requests
		wait += window
	}
	if n >= 0 {
		return wait + counted[n] + window - now
	}
	return wait
}

// turnInterval returns the interval of the turns of a host that acts alone; zero if it has
// none.
func (w *warmup) turnInterval() time.Duration {
	if w.parts.alone == 0 {
		return 0
	}
	return time.Duration(float64(max(1, w.share.Hosts)) / float64(w.parts.alone) * float64(warmupWindow+delaySpread))
}

// turn returns the number of the turn at the given time, and its begin. Turns follow the
// clock, so that their times do not depend on when hosts begin to act alone.
func (w *warmup) turn(now time.Duration) (number int64, begin time.Duration) {
	interval := w.turnInterval()
	if interval == 0 {
		return 0, now
	}
	phase := time.Duration(math.Mod(w.share.Phase+w.offset, 1) * float64(interval))
	number = int64(math.Floor(float64(now-phase) / float64(interval)))
	return number, phase + time.Duration(number)*interval
}

// waitForTurn is wait for a host that acts alone. One request is sent in each turn, in its
// first half second or quarter.
func (w *warmup) waitForTurn(requests int, now time.Duration) time.Duration {
	interval := w.turnInterval()
	if interval == 0 {
		return maxAloneRetry
	}
	number, begin := w.turn(now)
	if number > w.lastTurn && now-begin <= min(limitBurst, interval/4) {
		requests--
		if requests == 0 {
			return 0
		}
	}
	return begin - now + time.Duration(requests)*interval
}

// retryAfter returns the Retry-After of a request that would have to wait for the given
// time.
func (w *warmup) retryAfter(wait time.Duration) time.Duration {
	if w != nil && w.share.Role == AloneHost {
		return min(wait, maxAloneRetry)
	}
	return wait
}

// SetWarmup sets what a cold server tolerates and the share of it that this scheduler
// uses. It must be called before SetServers, which says which servers are cold.
func (s *Scheduler) SetWarmup(terms WarmupTerms, share WarmupShare) {
	if terms.PerSecond <= 0 {
		s.warmupLimits, s.warmups = nil, nil
		for _, srv := range s.servers {
			srv.warmup = nil
		}
		return
	}
	if s.warmupLimits == nil {
		s.warmupLimits = new(warmupLimits)
		s.warmups = make(map[topology.ServerID]*warmup)
		for id, srv := range s.servers {
			s.warmups[id] = newWarmup(s.warmupLimits, id)
			srv.warmup = s.warmups[id]
		}
	}
	l := s.warmupLimits
	l.terms, l.parts, l.share = terms, terms.divide(), share
}

// registerWarmup returns the limit of a server that is on the list. Other is true if the
// list did not have this incarnation before.
func (s *Scheduler) registerWarmup(id topology.ServerID, desc Server, other bool, now time.Duration) *warmup {
	if s.warmupLimits == nil {
		return nil
	}
	w, known := s.warmups[id]
	if !known {
		w = newWarmup(s.warmupLimits, id)
		s.warmups[id] = w
	}
	if other && s.listed { // a scheduler without servers has seen none of them start
		w.restart(now)
	}
	w.register(desc, now)
	return w
}

// dropWarmups forgets the servers that are not on the list and were sent no request within
// the last window.
func (s *Scheduler) dropWarmups(now time.Duration) {
	for id, w := range s.warmups {
		if _, ok := s.servers[id]; !ok {
			if w.prune(now); len(w.sends) == 0 && !w.reportedCold {
				delete(s.warmups, id)
			}
		}
	}
}

// refuseBeyondWarmup refuses the waiting jobs of a service without keys for which the rates
// of its servers leave no time, if all of them are cold. The more urgent jobs are kept.
func (s *Scheduler) refuseBeyondWarmup(now time.Duration, out []Decision) []Decision {
	if len(s.waiting) == 0 || len(s.sortedServers) == 0 {
		return out
	}
	rate, first := 0.0, time.Duration(math.MaxInt64)
	for _, srv := range s.sortedServers {
		if !srv.warmup.restricts(now) {
			return out
		}
		rate += srv.warmup.rate(now)
		first = min(first, srv.warmup.wait(1, now))
	}
	latest := func(j *Job) time.Duration { return j.Deadline - s.expectedTime(j, 1) }
	order := func(j *Job) time.Duration { return latest(j) + time.Duration(j.Priority)*priorityStep }
	slices.SortStableFunc(s.waiting, func(a, b *Job) int { return cmp.Compare(order(a), order(b)) })
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		wait := first + time.Duration(float64(len(kept))/max(rate, minLimitRate)*float64(time.Second))
		if now+wait > latest(j) {
			out = append(out, s.refuse(j, Cold, max(minRetryAfter, s.sortedServers[0].warmup.retryAfter(wait)), now))
			continue
		}
		kept = append(kept, j)
	}
	s.waiting = kept
	return out
}

// WarmupChange is the begin or the end of the time in which a server is cold.
type WarmupChange struct {
	Server topology.ServerID
	Cold   bool
}

// TakeWarmupChanges returns the servers that have become cold or warm since the last call,
// and the number of cold servers.
func (s *Scheduler) TakeWarmupChanges(now time.Duration) (changes []WarmupChange, cold int) {
	for id, w := range s.warmups {
		_, listed := s.servers[id]
		isCold := listed && w.cold(now)
		if isCold {
			cold++
		}
		if isCold != w.reportedCold {
			w.reportedCold = isCold
			changes = append(changes, WarmupChange{Server: id, Cold: isCold})
		}
	}
	slices.SortFunc(changes, func(a, b WarmupChange) int { return cmp.Compare(a.Server, b.Server) })
	return changes, cold
}
