package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// candidateTimeout is the time after which a candidate without a majority
// gives up its term.
const candidacyTimeout = 300 * time.Millisecond

// candidateRetry is the pause after a refused term, plus the stagger.
const candidacyRetryDelay = 100 * time.Millisecond

// candidateRound is the interval of support requests of a candidate. It is
// shorter than Params.Round, because a member that reads a new list a little
// later than the candidate refuses the first request.
const candidateRoundInterval = 50 * time.Millisecond

// promise is the support that this member gives to one host.
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
	promiseEnds    map[topology.HostID]time.Duration // ends of the promises
	supportedUntil time.Duration                     // end of the majority's support
}

// partition is the state of one partition index: what this host promised as a
// member, and what it leads.
type partition struct {
	index   int
	promise promise
	// maxTerm and released are the newest supported and the newest released
	// term of the current list; -1 if there is none.
	maxSupported int64
	maxReleased  int64

	// releasedUntil is the latest end of a promise of this member that ended
	// early by a release; earlierUntil is that of all supporters of this host.
	releasedPromisesUntil time.Duration
	earlierLeadersUntil   time.Duration

	hasLastLeader bool // lastLeader is set
	lastLeader    topology.Member
	// successor leads first if lastLeader is not known.
	successor topology.Member
	// handedOver is true if lastLeader released its term.
	handedOver           bool
	leaderSupportedUntil time.Duration // a leader is supported until then
	retryAt              time.Duration

	leadership *ownTerm // may still be of an earlier list
	candidacy  *ownTerm
	// granted is, per member, the newest list under which it supported this
	// host. It has no unexpired promise to another host under earlier lists.
	supportedIn map[topology.Member]uint32
}

func newPartition(index int) *partition {
	return &partition{index: index, maxSupported: -1, maxReleased: -1, supportedIn: make(map[topology.Member]uint32)}
}

func (p *partition) applyList(old, l MemberList, now time.Duration) {
	p.maxSupported, p.maxReleased, p.candidacy = -1, -1, nil
	p.handedOver = false
	p.leaderSupportedUntil = max(now, p.promise.until)
	p.successor = l.Leader(p.index, 0)
	if !p.hasLastLeader || l.index(p.lastLeader) >= 0 {
		return
	}
	// The last leader was dropped: the next member of the old list follows it,
	// and not an earlier leader that handed the partition over.
	p.hasLastLeader = false
	lastIndex := old.index(p.lastLeader)
	for i := range old.Members {
		if m := old.Members[(lastIndex+1+i)%len(old.Members)]; l.index(m) >= 0 {
			p.successor = m
			return
		}
	}
}

// own returns the own term that a message is about.
func (p *partition) ownTerm(list, term uint32) *ownTerm {
	for _, o := range []*ownTerm{p.leadership, p.candidacy} {
		if o != nil && o.listVersion == list && o.term == term {
			return o
		}
	}
	return nil
}

// dropLapsed ends a leadership whose support has ended. The term is never
// resumed, so that an epoch names one unbroken leadership.
func (p *partition) dropExpiredLeadership(now time.Duration) {
	if p.leadership != nil && now >= p.leadership.supportedUntil {
		p.leadership = nil
	}
}

// promiseUntil returns the end of a promise that is given now; a value that is
// not later than now means that none can be given.
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

// tickPartition starts or gives up a candidacy. It returns true if a support
// round must start now.
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

// candidateAt returns the time from which on this host asks for support if it
// sees no leader.
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

// startCandidate asks for the smallest term above all known ones that this
// host would lead.
func (n *Node) startCandidacy(p *partition, now time.Duration) bool {
	if other := p.promise.to != n.self && now < p.promise.until; other && !n.unsafe.ignorePromises {
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

// dropCandidate gives up a term that has no majority. Its supporters are
// released, unless this host still acts on an earlier term: then their promise
// covers that one as well.
func (n *Node) dropCandidacy(p *partition, now time.Duration) {
	candidacy := p.candidacy
	p.candidacy = nil
	p.retryAt = now + candidacyRetryDelay + time.Duration(n.list.index(n.self))*n.cfg.Params.CandidateStagger
	if p.leadership != nil {
		return
	}
	n.releaseTerm(p, TermRequest{Partition: p.index, Term: candidacy.term, Release: true, Unused: true}, now)
}

func (n *Node) releaseTerm(p *partition, req TermRequest, now time.Duration) {
	p.maxReleased = max(p.maxReleased, int64(req.Term))
	if p.promise.to == n.self {
		p.endPromise(req, now)
	}
	n.pendingReleases = append(n.pendingReleases, req)
}

// endPromise ends the promise early.
func (p *partition) endPromise(req TermRequest, now time.Duration) {
	if !req.Unused {
		p.releasedPromisesUntil = max(p.releasedPromisesUntil, p.promise.until)
	}
	p.promise.until = now
}

// Release ends the leadership of a partition at once, so that the next member
// can lead it without waiting. The caller must have stopped acting as leader.
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

// Leave releases all partitions and proposes a list without this host. The
// host never leads again.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, p := range n.partitions {
		n.Release(p.index, now)
	}
}

// supportRound returns one request per other member with all own terms, and
// renews the own promises.
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

// support records a promise if the rules allow it.
func (n *Node) support(p *partition, to topology.Member, term uint32, now time.Duration) (time.Duration, bool) {
	until := n.promiseUntil(now)
	other := p.promise.to != to && now < p.promise.until
	if other && !n.unsafe.ignorePromises {
		return p.promise.until, false
	}
	if int64(term) < p.maxSupported || int64(term) <= p.maxReleased || until <= now {
		return now, false
	}
	if p.promise.to == to {
		// The host may still act on a term or list that it was promised before.
		until = max(until, p.promise.until)
	}
	p.promise = promise{listVersion: n.list.Version, term: term, to: to, until: until}
	p.maxSupported = int64(term)
	p.hasLastLeader, p.lastLeader, p.handedOver = true, to, false
	p.leaderSupportedUntil = until
	return until, true
}

// HandleSupport answers a request of another member.
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

func (n *Node) handleRelease(p *partition, from topology.Member, req TermRequest, now time.Duration) {
	p.maxReleased = max(p.maxReleased, int64(req.Term))
	if p.promise.to != from || p.promise.listVersion != n.list.Version || p.promise.term != req.Term {
		return
	}
	p.endPromise(req, now)
	p.leaderSupportedUntil = now
	p.hasLastLeader, p.lastLeader, p.handedOver = true, from, true
}

// HandleSupportReply passes the answer of a member to the request that was
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

func (n *Node) handleTermReply(p *partition, from topology.Member, reply TermReply, sentAt, now time.Duration) {
	p.dropExpiredLeadership(now)
	o := p.ownTerm(n.list.Version, reply.Term)
	if o == nil {
		return
	}
	if reply.Granted {
		base := sentAt
		if n.unsafe.countFromReceipt {
			base = now
		}
		until := base + reply.Remaining - promiseMargin
		o.promiseEnds[from.Host] = max(o.promiseEnds[from.Host], until)
		p.earlierLeadersUntil = max(p.earlierLeadersUntil, now+reply.ReleasedRemaining)
		p.supportedIn[from] = n.list.Version
		n.updateSupportEnd(p, o, now)
		return
	}
	n.handleRefusal(p, o, reply, now)
}

// termRefused gives up a candidacy that collides with another one. A leader
// whose term a member has left behind asks for a higher term and leads on: its
// supporters may promise a higher term to the same host at once.
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

// evaluate computes the end of the majority's support and makes a candidate
// the leader.
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

// earlierEnded reports whether no other host can lead under an earlier list:
// the log bound of the list has passed, or a set of its members that shares a
// member with every majority supports this host under a later list. A member
// does that only when its promises to other hosts have ended, and never again
// promises anything under the earlier list.
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
		ended := 0
		for _, m := range e.Members {
			if p.supportedIn[m] > e.Version {
				ended++
			}
		}
		if ended < e.BlockingSize() {
			return false
		}
	}
	return true
}
