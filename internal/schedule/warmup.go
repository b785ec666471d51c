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
	// linkMargin bounds the time from a decision to the arrival of its request, and
	// from a response to its end at the host, where messages are not lost: some
	// round trips between data centres of 0.4 to 2.8 ms.
	linkMargin = 10 * time.Millisecond
	// minRestart is the least time from the end of a process to the first request that
	// the next one accepts. It is assumed, not measured: a supervisor notices the end,
	// starts the program, and this opens its port. With 50 ms, warm servers without
	// requests for that long are limited: in trials they served a third of 25 requests
	// a second of 50 or 100 ms.
	minRestart = 250 * time.Millisecond
	// spreadRequests is the number of requests that are kept for the end of a window, and
	// spreadInterval their interval. It is less than minRestart, so that no restart fits
	// between them. In trials with 25 requests a second of 50 ms, a warm server with
	// four slots served 58 per cent with none, 85 with one and 98 with two.
	spreadRequests = 2
	spreadInterval = 200 * time.Millisecond
	// maxWarmTime is the multiple of its expected time above which a response is no
	// proof of a warm server: a cold one takes twice as long.
	maxWarmTime = 1.5
	// maxProofs and maxProofAge bound the exchanges that are kept as proofs: 25 a
	// second for a hot key, over the time in which a registration is read (870 ms
	// between two of them, 450 ms between two reads).
	maxProofs   = 48
	maxProofAge = 2 * time.Second
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

// warmup bounds the requests to one server while it may be cold. A server in use may
// start again at any moment, and its registration says so a second later. So requests
// count from the last moment at which the server is known to have been warm: that of its
// registration, or a later one up to which exchanges that overlap in time show that the
// process has not ended. The last requests that the limit permits are spread over time, so
// that such exchanges go on until the next registration is read.
type warmup struct {
	*warmupLimits
	// sends holds the requests that were sent within the last window.
	sends []*Job
	// warmAt is the last moment at which the server is known to have been warm; zero
	// if there is none.
	warmAt time.Duration
	proofs []proof
	// coldUntil is the end of the known warm-up, reportedCold whether its begin was
	// passed on by TakeWarmupChanges.
	coldUntil    time.Duration
	reportedCold bool
	// left is the last warm-up time in a registration, leftAt its ConfirmedAt.
	left, leftAt time.Duration
	// confirmedAt is the time after which the last registration was written, doubtAt
	// that of the last exchange that a restart may have ended.
	confirmedAt, doubtAt time.Duration
	// offset sets the turns of different servers apart, from 0 to 1, for an AloneHost;
	// lastTurn is the last turn that was used.
	offset   float64
	lastTurn int64
}

// proof is an exchange with a response: the server that answered ran from the arrival of
// the request to the response.
type proof struct{ from, to time.Duration }

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
		w.coldUntil, w.warmAt, w.left, w.leftAt = until, 0, desc.WarmupLeft, desc.ConfirmedAt
		return
	}
	if desc.ConfirmedAt <= w.confirmedAt {
		return
	}
	w.confirmedAt = desc.ConfirmedAt
	if w.confirmedAt <= w.doubtAt {
		return
	}
	w.coldUntil = min(w.coldUntil, now)
	// The state is that of the time at which the server began to write it.
	w.warmAt = max(w.warmAt, w.confirmedAt-delaySpread)
	w.extend()
}

// restart takes note of another incarnation of the server, or of its return to the list.
// It is cold until a registration that was written later says otherwise.
func (w *warmup) restart(now time.Duration) {
	if w == nil {
		return
	}
	w.warmAt, w.proofs, w.doubtAt = 0, nil, now
	w.coldUntil = now + w.terms.Duration
}

// observe takes note of the end of an exchange. Its request takes the expected time at this
// server while it is warm.
func (w *warmup) observe(j *Job, r Report, expected, now time.Duration) {
	if w == nil {
		return
	}
	switch r.Result {
	case Broken, ConnectFailed, WrongServer:
		w.doubtAt, w.warmAt, w.proofs = now, 0, nil
		if r.Result != Broken { // not received, or answered with 421, which does not count
			w.sends = slices.DeleteFunc(w.sends, func(sent *Job) bool { return sent == j })
		}
	case Succeeded, Failed:
		if float64(r.Duration) > maxWarmTime*float64(expected) {
			return
		}
		w.proofs = slices.DeleteFunc(w.proofs, func(p proof) bool { return p.to < now-maxProofAge })
		if len(w.proofs) >= maxProofs {
			w.proofs = w.proofs[1:]
		}
		j.respondedAt = min(now, j.assignedAt+r.Duration) - linkMargin
		w.proofs = append(w.proofs, proof{from: j.assignedAt + linkMargin, to: j.respondedAt})
		w.extend()
	}
}

// extend moves warmAt to the end of the exchanges that overlap since then, or leave too
// little time between them for a restart. No exchange with a response spans one.
func (w *warmup) extend() {
	if w.warmAt == 0 {
		return
	}
	for changed := true; changed; {
		changed = false
		for _, p := range w.proofs {
			if p.from <= w.warmAt+minRestart && p.to > w.warmAt {
				w.warmAt, changed = p.to, true
			}
		}
	}
}

// cold reports whether the server is known or assumed to be cold.
func (w *warmup) cold(now time.Duration) bool { return w != nil && now < w.coldUntil }

// trusted reports whether the server counts as warm by its registration alone, for hosts
// that act alone and see too few exchanges with it: the list of servers is fresh, the
// registration was renewed, and no exchange was broken since.
func (w *warmup) trusted(now time.Duration) bool {
	return !w.cold(now) && w.confirmedAt > 0 && w.doubtAt < w.confirmedAt && now-w.share.ListReadAt <= w.share.MaxListAge
}

// restricts reports whether requests for which the limit leaves no time are to be refused
// at once. The limit of a server that is not known to be cold ends with the next proof.
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
// reach the server after it was last known to be warm.
func (w *warmup) counted(now time.Duration) []time.Duration {
	w.times = w.times[:0]
	for _, j := range w.sends {
		if w.cold(now) || j.respondedAt == 0 || j.respondedAt > w.warmAt {
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
	if w == nil || requests == 0 {
		return 0
	}
	if w.share.Role == AloneHost {
		if w.trusted(now) {
			return 0
		}
		return w.waitForTurn(requests, now)
	}
	const window = warmupWindow + delaySpread
	allowed := w.allowance(now)
	if allowed == 0 {
		return window
	}
	atOnce := max(1, allowed-spreadRequests)
	if w.prune(now); len(w.sends)+requests <= atOnce {
		return 0
	}
	counted := w.counted(now)
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
	if later := len(counted) + requests - 1 - atOnce; wait == 0 && later >= 0 && len(counted) > 0 {
		return max(0, counted[len(counted)-1]+time.Duration(min(requests, later+1))*spreadInterval-now)
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
			out = append(out, s.refuse(j, Cold, max(minRetryAfter, s.sortedServers[0].warmup.retryAfter(wait))))
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
