package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// candidacyTimeout is the time after which a candidate without a majority
// gives up its term.
const candidacyTimeout = 300 * time.Millisecond

// candidacyRetryDelay is the delay before the next candidacy after one that was
// given up, in addition to the stagger.
const candidacyRetryDelay = 100 * time.Millisecond

// candidateRoundInterval is the interval of support requests of a candidate. It
// is shorter than Params.RoundInterval, because a member that reads a new list a
// little later than the candidate refuses the first request.
const candidateRoundInterval = 50 * time.Millisecond

// promise is this member's promise to support one host and no other.
type promise struct {
	listVersion uint32
	term        uint32
	to          topology.Member
	until       time.Duration
}

// ownTerm is a term that this host leads or asks support for.
type ownTerm struct {
	listVersion    uint32
	term           uint32
	started        time.Duration
	promiseEnds    map[topology.HostID]time.Duration // per supporter
	supportedUntil time.Duration                     // end of the majority's support
}

// partition is the state of one partition: the promise of this host as a member
// of the list, and its own leadership or candidacy.
type partition struct {
	index   int
	promise promise
	// maxSupported and maxReleased are the newest supported and the newest
	// released term of the current list; -1 if there is none.
	maxSupported int64
	maxReleased  int64

	// releasedPromisesUntil is the latest original end of the promises of this
	// member that a release ended early. earlierLeadersUntil is the latest such
	// end that supporters of this host have reported.
	releasedPromisesUntil time.Duration
	earlierLeadersUntil   time.Duration

	hasLastLeader bool // lastLeader is set
	lastLeader    topology.Member
	// successor is the first candidate if lastLeader is not set.
	successor topology.Member
	// handedOver is true if lastLeader released its term.
	handedOver           bool
	leaderSupportedUntil time.Duration // end of the last known support for a leader
	retryAt              time.Duration // no candidacy before

	leadership *ownTerm // may still be of an earlier list
	candidacy  *ownTerm
	// supportedIn is, per member, the version of the newest list under which it
	// supported this host. The member has no unexpired promise to another host
	// under earlier lists.
	supportedIn map[topology.Member]uint32
}

func newPartition(index int) *partition {
	return &partition{index: index, maxSupported: -1, maxReleased: -1, supportedIn: make(map[topology.Member]uint32)}
}

// applyList resets the state that belongs to the old list.
func (p *partition) applyList(old, l MemberList, now time.Duration) {
	p.maxSupported, p.maxReleased, p.candidacy = -1, -1, nil
	p.handedOver = false
	p.leaderSupportedUntil = max(now, p.promise.until)
	p.successor = l.Leader(p.index, 0)
	if !p.hasLastLeader || l.index(p.lastLeader) >= 0 {
		return
	}
	// The last leader was dropped from the list. The next remaining member of
	// the old list succeeds it, not an earlier leader that handed the partition
	// over.
	p.hasLastLeader = false
	lastIndex := old.index(p.lastLeader)
	for i := range old.Members {
		if m := old.Members[(lastIndex+1+i)%len(old.Members)]; l.index(m) >= 0 {
			p.successor = m
			return
		}
	}
}

// ownTerm returns the leadership or candidacy of this host in a term of a list,
// or nil.
func (p *partition) ownTerm(list, term uint32) *ownTerm {
	for _, o := range []*ownTerm{p.leadership, p.candidacy} {
		if o != nil && o.listVersion == list && o.term == term {
			return o
		}
	}
	return nil
}

// dropExpiredLeadership ends a leadership whose support has ended. The term is
// never resumed, so that an epoch identifies one uninterrupted leadership.
func (p *partition) dropExpiredLeadership(now time.Duration) {
	if p.leadership != nil && now >= p.leadership.supportedUntil {
		p.leadership = nil
	}
}

// promiseUntil returns the end of a promise that is given now. If it is not
// later than now, no promise can be given.
func (n *Node) promiseUntil(now time.Duration) time.Duration {
	until := now + n.cfg.Params.PromiseDuration
	if !n.hasLogRead {
		return 0
	}
	if n.allRecordedLost() || n.unsafe.ignoreLogReadAge {
		return until
	}
	return min(until, n.lastLogRead+n.cfg.Params.LogReadValidity)
}

// tickPartition starts or gives up a candidacy if it is time to. It returns true
// if a support round must start now.
func (n *Node) tickPartition(p *partition, now time.Duration) bool {
	p.dropExpiredLeadership(now)
	if p.candidacy != nil {
		n.updateSupportEnd(p, p.candidacy, now)
	}
	if p.candidacy != nil && now >= p.candidacy.supportedUntil && now-p.candidacy.started >= candidacyTimeout {
		n.dropCandidacy(p, now)
	}
	if p.candidacy != nil || n.leaving || now < p.retryAt || now < n.candidacyStart(p) {
		return false
	}
	if p.leadership != nil && p.leadership.listVersion == n.list.Version {
		return false
	}
	return n.startCandidacy(p, now)
}

// candidacyStart returns the time at which this host becomes a candidate if it
// sees no new support for a leader by then.
func (n *Node) candidacyStart(p *partition) time.Duration {
	if p.leadership != nil {
		return 0 // continues its own leadership under the new list
	}
	last := p.lastLeader
	if !p.hasLastLeader {
		last = p.successor
	}
	count := len(n.list.Members)
	distance := (n.list.index(n.self) - n.list.index(last) + count) % count
	if p.handedOver && distance > 0 {
		distance--
	}
	return p.leaderSupportedUntil + time.Duration(distance)*n.cfg.Params.CandidateStagger
}

// startCandidacy makes this host a candidate for the smallest term above all
// known ones that it may lead. It returns false if this host cannot support
// itself now.
func (n *Node) startCandidacy(p *partition, now time.Duration) bool {
	if promisedToOther := p.promise.to != n.self && now < p.promise.until; promisedToOther && !n.unsafe.ignorePromises {
		return false
	}
	if n.promiseUntil(now) <= now {
		return false
	}
	term := uint32(max(p.maxSupported, p.maxReleased) + 1)
	for n.list.Leader(p.index, term) != n.self {
		term++
	}
	p.candidacy = &ownTerm{listVersion: n.list.Version, term: term, started: now, promiseEnds: make(map[topology.HostID]time.Duration)}
	return true
}

// dropCandidacy gives up a term that has no majority. Its supporters are
// released from their promises, unless this host still leads in an earlier
// term: then the promises cover that one as well.
func (n *Node) dropCandidacy(p *partition, now time.Duration) {
	candidacy := p.candidacy
	p.candidacy = nil
	p.retryAt = now + candidacyRetryDelay + time.Duration(n.list.index(n.self))*n.cfg.Params.CandidateStagger
	if p.leadership != nil {
		return
	}
	n.releaseTerm(p, TermRequest{Partition: p.index, Term: candidacy.term, Release: true, Unused: true}, now)
}

// releaseTerm ends this host's promise to itself and sends the release to the
// other members in the next support round.
func (n *Node) releaseTerm(p *partition, req TermRequest, now time.Duration) {
	p.maxReleased = max(p.maxReleased, int64(req.Term))
	if p.promise.to == n.self {
		p.endPromise(req, now)
	}
	n.pendingReleases = append(n.pendingReleases, req)
}

// endPromise ends the promise early. Unless the term was never led, it keeps the
// original end, because grants of the leader may last until then.
func (p *partition) endPromise(req TermRequest, now time.Duration) {
	if !req.Unused {
		p.releasedPromisesUntil = max(p.releasedPromisesUntil, p.promise.until)
	}
	p.promise.until = now
}

// Release ends the leadership of a partition at once, so that the next member
// can lead it without a delay. The caller must have stopped acting as leader.
func (n *Node) Release(partition int, now time.Duration) {
	p := n.partitions[partition]
	p.dropExpiredLeadership(now)
	leadership := p.leadership
	p.leadership, p.candidacy = nil, nil
	p.retryAt = now + releaseCooldown
	if leadership != nil && leadership.listVersion == n.list.Version {
		n.releaseTerm(p, TermRequest{Partition: p.index, Term: leadership.term, Release: true}, now)
		p.leaderSupportedUntil = now
	}
}

// Leave releases all partitions. From then on this host proposes a list without
// itself and starts no candidacy.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, p := range n.partitions {
		n.Release(p.index, now)
	}
}

// startSupportRound returns one request to each other member, with all terms in
// which this host leads or is a candidate and all pending releases. It also
// renews this host's promises to itself.
func (n *Node) startSupportRound(now time.Duration) []OutgoingSupport {
	terms := n.pendingReleases
	n.pendingReleases = nil
	next := now + n.cfg.Params.RoundInterval
	for _, p := range n.partitions[:n.cfg.Partitions] {
		for _, o := range []*ownTerm{p.leadership, p.candidacy} {
			if o == nil || o.listVersion != n.list.Version {
				continue
			}
			n.supportSelf(p, o, now)
			if o == p.candidacy {
				next = now + candidateRoundInterval
			}
			terms = append(terms, TermRequest{Partition: p.index, Term: o.term})
		}
	}
	n.nextRound = next
	var out []OutgoingSupport
	for _, m := range n.list.Members {
		if m == n.self {
			continue
		}
		out = append(out, OutgoingSupport{To: m, Request: SupportRequest{
			Cell: n.cfg.Cell, From: n.self, ListVersion: n.list.Version, Mode: n.mode, Terms: slices.Clone(terms),
		}})
	}
	return out
}

// supportSelf counts this host's own promise for a term, if it can be given.
func (n *Node) supportSelf(p *partition, o *ownTerm, now time.Duration) {
	until, ok := n.support(p, n.self, o.term, now)
	if !ok {
		return
	}
	o.promiseEnds[n.self.Host] = max(o.promiseEnds[n.self.Host], until)
	p.earlierLeadersUntil = max(p.earlierLeadersUntil, p.releasedPromisesUntil)
	p.supportedIn[n.self] = n.list.Version
	n.updateSupportEnd(p, o, now)
}

// support records a promise if the rules allow it, and returns its end. If not,
// it returns false and the end of the promise to another host that prevents it,
// or now if there is no such promise.
func (n *Node) support(p *partition, to topology.Member, term uint32, now time.Duration) (time.Duration, bool) {
	until := n.promiseUntil(now)
	promisedToOther := p.promise.to != to && now < p.promise.until
	if promisedToOther && !n.unsafe.ignorePromises {
		return p.promise.until, false
	}
	if int64(term) < p.maxSupported || int64(term) <= p.maxReleased || until <= now {
		return now, false
	}
	if p.promise.to == to {
		// The host may still lead under an earlier promise for another term or
		// list.
		until = max(until, p.promise.until)
	}
	p.promise = promise{listVersion: n.list.Version, term: term, to: to, until: until}
	p.maxSupported = int64(term)
	p.hasLastLeader, p.lastLeader, p.handedOver = true, to, false
	p.leaderSupportedUntil = until
	return until, true
}

// HandleSupport handles a request of another member.
func (n *Node) HandleSupport(req SupportRequest, now time.Duration) SupportReply {
	reply := SupportReply{From: n.self, ListVersion: n.list.Version, Mode: n.mode, LogAge: n.logAge(now)}
	current := req.Cell == n.cfg.Cell && req.ListVersion == n.list.Version && n.isMember() && n.list.index(req.From) >= 0
	if current {
		n.recordPeerMode(req.From, req.Mode)
	}
	for _, t := range req.Terms {
		r := TermReply{Partition: t.Partition, Term: t.Term}
		if current && t.Partition >= 0 && t.Partition < len(n.partitions) {
			r = n.handleTermRequest(n.partitions[t.Partition], req.From, t, now)
		}
		reply.Terms = append(reply.Terms, r)
	}
	return reply
}

// handleTermRequest gives or refuses a promise for one term, or handles its
// release.
func (n *Node) handleTermRequest(p *partition, from topology.Member, req TermRequest, now time.Duration) TermReply {
	reply := TermReply{Partition: req.Partition, Term: req.Term}
	if n.list.Leader(p.index, req.Term) != from {
		return reply
	}
	if req.Release {
		n.handleRelease(p, from, req, now)
		return reply
	}
	until, ok := n.support(p, from, req.Term, now)
	reply.Granted = ok
	reply.Remaining = max(0, until-now)
	reply.ReleasedRemaining = max(0, p.releasedPromisesUntil-now)
	if !ok {
		reply.SupportedTerm = uint32(max(0, p.maxSupported))
	}
	return reply
}

// handleRelease ends the promise for a term that its leader or candidate has
// released.
func (n *Node) handleRelease(p *partition, from topology.Member, req TermRequest, now time.Duration) {
	p.maxReleased = max(p.maxReleased, int64(req.Term))
	if p.promise.to != from || p.promise.listVersion != n.list.Version || p.promise.term != req.Term {
		return
	}
	p.endPromise(req, now)
	p.leaderSupportedUntil = now
	p.hasLastLeader, p.lastLeader, p.handedOver = true, from, true
}

// HandleSupportReply handles the reply of a member to the request that was
// returned at sentAt.
func (n *Node) HandleSupportReply(r SupportReply, sentAt, now time.Duration) {
	peer, ok := n.peers[r.From.Host]
	if !ok || n.list.index(r.From) < 0 {
		return
	}
	peer.lastReply = max(peer.lastReply, now)
	if r.ListVersion != n.list.Version {
		return
	}
	n.recordPeerMode(r.From, r.Mode)
	if r.LogAge >= 0 {
		n.recordLogRead(sentAt-r.LogAge, now)
	}
	for _, t := range r.Terms {
		if t.Partition >= 0 && t.Partition < len(n.partitions) {
			n.handleTermReply(n.partitions[t.Partition], r.From, t, sentAt, now)
		}
	}
}

// handleTermReply counts the promise of a member for a term, or its refusal.
func (n *Node) handleTermReply(p *partition, from topology.Member, reply TermReply, sentAt, now time.Duration) {
	p.dropExpiredLeadership(now)
	o := p.ownTerm(n.list.Version, reply.Term)
	if o == nil {
		return
	}
	if reply.Granted {
		start := sentAt
		if n.unsafe.countFromReceipt {
			start = now
		}
		until := start + reply.Remaining - promiseMargin
		o.promiseEnds[from.Host] = max(o.promiseEnds[from.Host], until)
		p.earlierLeadersUntil = max(p.earlierLeadersUntil, now+reply.ReleasedRemaining)
		p.supportedIn[from] = n.list.Version
		n.updateSupportEnd(p, o, now)
		return
	}
	n.handleRefusal(p, o, reply, now)
}

// handleRefusal gives up a candidacy that conflicts with another one. A leader
// asks for a higher term if a member has already supported a higher one and has
// no promise to another host left. It leads meanwhile, because its supporters
// may promise a higher term to the same host at once.
func (n *Node) handleRefusal(p *partition, o *ownTerm, reply TermReply, now time.Duration) {
	if reply.Remaining == 0 {
		p.maxSupported = max(p.maxSupported, int64(reply.SupportedTerm))
	}
	switch {
	case o == p.candidacy && (reply.Remaining > 0 || reply.SupportedTerm > reply.Term):
		if now >= o.supportedUntil {
			n.dropCandidacy(p, now)
		}
	case o == p.leadership && p.candidacy == nil && reply.Remaining == 0 && reply.SupportedTerm > reply.Term && now >= p.retryAt && !n.leaving:
		n.startCandidacy(p, now)
		n.nextRound = now
	}
}

// updateSupportEnd computes the end of the majority's support and makes a
// candidate with a majority the leader.
func (n *Node) updateSupportEnd(p *partition, o *ownTerm, now time.Duration) {
	ends := make([]time.Duration, 0, len(n.list.Members))
	for _, m := range n.list.Members {
		ends = append(ends, o.promiseEnds[m.Host])
	}
	slices.Sort(ends)
	until := ends[len(ends)-n.list.Majority()]
	o.supportedUntil = min(until, n.lastLogRead+n.cfg.Params.MaxAutonomy)
	if o == p.candidacy && now < o.supportedUntil && n.earlierListsEnded(p, now) {
		p.leadership, p.candidacy = o, nil
		p.hasLastLeader, p.lastLeader, p.handedOver = true, n.self, false
	}
}

// earlierListsEnded reports whether no other host can lead under an earlier
// list. For each list, either Params.LogReadValidity has passed since it was
// replaced, or a set of its members that shares a member with every majority
// supports this host under a later list. A member does that only when its
// promises to other hosts have ended, and it gives no more promises under the
// earlier list.
func (n *Node) earlierListsEnded(p *partition, now time.Duration) bool {
	if n.unsafe.ignoreEarlierLists {
		return true
	}
	if now < n.skippedListsUntil {
		return false
	}
	for _, e := range n.earlierLists {
		if now >= e.replacedAt+n.cfg.Params.LogReadValidity+driftMargin {
			continue
		}
		supporters := 0
		for _, m := range e.Members {
			if p.supportedIn[m] > e.Version {
				supporters++
			}
		}
		if supporters < e.BlockingSize() {
			return false
		}
	}
	return true
}
