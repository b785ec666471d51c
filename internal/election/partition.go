package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// candidateTimeout is the time after which a candidate without a majority
// gives up its term.
const candidateTimeout = 300 * time.Millisecond

// candidateRetry is the pause after a refused term, plus the stagger.
const candidateRetry = 100 * time.Millisecond

// candidateRound is the interval of support requests of a candidate. It is
// shorter than Params.Round, because a member that reads a new list a little
// later than the candidate refuses the first request.
const candidateRound = 50 * time.Millisecond

// promise is the support that this member gives to one host.
type promise struct {
	list  uint32
	term  uint32
	to    topology.Member
	until time.Duration
}

// ownTerm is a term that this host leads or asks support for.
type ownTerm struct {
	list    uint32
	term    uint32
	started time.Duration
	support map[topology.HostID]time.Duration // ends of the promises
	until   time.Duration                     // end of the majority's support
}

// partition is the state of one partition index: what this host promised as a
// member, and what it leads.
type partition struct {
	index   int
	promise promise
	// maxTerm and released are the newest supported and the newest released
	// term of the current list; -1 if there is none.
	maxTerm  int64
	released int64

	// releasedUntil is the latest end of a promise of this member that ended
	// early by a release; earlierUntil is that of all supporters of this host.
	releasedUntil time.Duration
	earlierUntil  time.Duration

	known      bool // lastLeader is set
	lastLeader topology.Member
	// successor leads first if lastLeader is not known.
	successor topology.Member
	// handedOver is true if lastLeader released its term.
	handedOver bool
	quietUntil time.Duration // a leader is supported until then
	retryAt    time.Duration

	lead *ownTerm // may still be of an earlier list
	cand *ownTerm
	// granted is, per member, the newest list under which it supported this
	// host. It has no unexpired promise to another host under earlier lists.
	granted map[topology.Member]uint32
}

func newPartition(index int) *partition {
	return &partition{index: index, maxTerm: -1, released: -1, granted: make(map[topology.Member]uint32)}
}

func (p *partition) newList(old, l MemberList, now time.Duration) {
	p.maxTerm, p.released, p.cand = -1, -1, nil
	p.handedOver = false
	p.quietUntil = max(now, p.promise.until)
	p.successor = l.Leader(p.index, 0)
	if !p.known || l.index(p.lastLeader) >= 0 {
		return
	}
	// The last leader was dropped: the next member of the old list follows it,
	// and not an earlier leader that handed the partition over.
	p.known = false
	at := old.index(p.lastLeader)
	for i := range old.Members {
		if m := old.Members[(at+1+i)%len(old.Members)]; l.index(m) >= 0 {
			p.successor = m
			return
		}
	}
}

// own returns the own term that a message is about.
func (p *partition) own(list, term uint32) *ownTerm {
	for _, o := range []*ownTerm{p.lead, p.cand} {
		if o != nil && o.list == list && o.term == term {
			return o
		}
	}
	return nil
}

// dropLapsed ends a leadership whose support has ended. The term is never
// resumed, so that an epoch names one unbroken leadership.
func (p *partition) dropLapsed(now time.Duration) {
	if p.lead != nil && now >= p.lead.until {
		p.lead = nil
	}
}

// promiseUntil returns the end of a promise that is given now; a value that is
// not later than now means that none can be given.
func (n *Node) promiseUntil(now time.Duration) time.Duration {
	until := now + n.cfg.Params.Promise
	if !n.hasRead {
		return 0
	}
	if n.allLost() || n.unsafe.ignoreLogBound {
		return until
	}
	return min(until, n.lastRead+n.cfg.Params.LogBound)
}

// tickPartition starts or gives up a candidacy. It returns true if a support
// round must start now.
func (n *Node) tickPartition(p *partition, now time.Duration) bool {
	p.dropLapsed(now)
	if p.cand != nil {
		n.evaluate(p, p.cand, now)
	}
	if p.cand != nil && now >= p.cand.until && now-p.cand.started >= candidateTimeout {
		n.dropCandidate(p, now)
	}
	if p.cand != nil || n.leaving || now < p.retryAt || now < n.candidateAt(p) {
		return false
	}
	if p.lead != nil && p.lead.list == n.list.Version {
		return false
	}
	return n.startCandidate(p, now)
}

// candidateAt returns the time from which on this host asks for support if it
// sees no leader.
func (n *Node) candidateAt(p *partition) time.Duration {
	if p.lead != nil {
		return 0 // continues its own leadership under the new list
	}
	last := p.lastLeader
	if !p.known {
		last = p.successor
	}
	count := len(n.list.Members)
	distance := (n.list.index(n.self) - n.list.index(last) + count) % count
	if p.handedOver && distance > 0 {
		distance--
	}
	return p.quietUntil + time.Duration(distance)*n.cfg.Params.Stagger
}

// startCandidate asks for the smallest term above all known ones that this
// host would lead.
func (n *Node) startCandidate(p *partition, now time.Duration) bool {
	if other := p.promise.to != n.self && now < p.promise.until; other && !n.unsafe.ignorePromises {
		return false
	}
	if n.promiseUntil(now) <= now {
		return false
	}
	term := uint32(max(p.maxTerm, p.released) + 1)
	for n.list.Leader(p.index, term) != n.self {
		term++
	}
	p.cand = &ownTerm{list: n.list.Version, term: term, started: now, support: make(map[topology.HostID]time.Duration)}
	return true
}

// dropCandidate gives up a term that has no majority. Its supporters are
// released, unless this host still acts on an earlier term: then their promise
// covers that one as well.
func (n *Node) dropCandidate(p *partition, now time.Duration) {
	c := p.cand
	p.cand = nil
	p.retryAt = now + candidateRetry + time.Duration(n.list.index(n.self))*n.cfg.Params.Stagger
	if p.lead != nil {
		return
	}
	n.releaseTerm(p, TermRequest{Partition: p.index, Term: c.term, Release: true, Unused: true}, now)
}

func (n *Node) releaseTerm(p *partition, t TermRequest, now time.Duration) {
	p.released = max(p.released, int64(t.Term))
	if p.promise.to == n.self {
		p.endPromise(t, now)
	}
	n.releases = append(n.releases, t)
}

// endPromise ends the promise early.
func (p *partition) endPromise(t TermRequest, now time.Duration) {
	if !t.Unused {
		p.releasedUntil = max(p.releasedUntil, p.promise.until)
	}
	p.promise.until = now
}

// Release ends the leadership of a partition at once, so that the next member
// can lead it without waiting. The caller must have stopped acting as leader.
func (n *Node) Release(partition int, now time.Duration) {
	p := n.parts[partition]
	p.dropLapsed(now)
	lead := p.lead
	p.lead, p.cand = nil, nil
	p.retryAt = now + releasePause
	if lead != nil && lead.list == n.list.Version {
		n.releaseTerm(p, TermRequest{Partition: p.index, Term: lead.term, Release: true}, now)
		p.quietUntil = now
	}
}

// Leave releases all partitions and proposes a list without this host. The
// host never leads again.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, p := range n.parts {
		n.Release(p.index, now)
	}
}

// supportRound returns one request per other member with all own terms, and
// renews the own promises.
func (n *Node) supportRound(now time.Duration) []OutgoingSupport {
	terms := n.releases
	n.releases = nil
	next := now + n.cfg.Params.Round
	for _, p := range n.parts[:n.cfg.Partitions] {
		for _, o := range []*ownTerm{p.lead, p.cand} {
			if o == nil || o.list != n.list.Version {
				continue
			}
			n.supportSelf(p, o, now)
			if o == p.cand {
				next = now + candidateRound
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
	o.support[n.self.Host] = max(o.support[n.self.Host], until)
	p.earlierUntil = max(p.earlierUntil, p.releasedUntil)
	p.granted[n.self] = n.list.Version
	n.evaluate(p, o, now)
}

// support records a promise if the rules allow it.
func (n *Node) support(p *partition, to topology.Member, term uint32, now time.Duration) (time.Duration, bool) {
	until := n.promiseUntil(now)
	other := p.promise.to != to && now < p.promise.until
	if other && !n.unsafe.ignorePromises {
		return p.promise.until, false
	}
	if int64(term) < p.maxTerm || int64(term) <= p.released || until <= now {
		return now, false
	}
	if p.promise.to == to {
		// The host may still act on a term or list that it was promised before.
		until = max(until, p.promise.until)
	}
	p.promise = promise{list: n.list.Version, term: term, to: to, until: until}
	p.maxTerm = int64(term)
	p.known, p.lastLeader, p.handedOver = true, to, false
	p.quietUntil = until
	return until, true
}

// HandleSupport answers a request of another member.
func (n *Node) HandleSupport(req SupportRequest, now time.Duration) SupportReply {
	reply := SupportReply{From: n.self, ListVersion: n.list.Version, Mode: n.mode, LogAge: n.logAge(now)}
	current := req.Cell == n.cfg.Cell && req.ListVersion == n.list.Version && n.member() && n.list.index(req.From) >= 0
	if current {
		n.noteMode(req.From, req.Mode)
	}
	for _, t := range req.Terms {
		r := TermReply{Partition: t.Partition, Term: t.Term}
		if current && t.Partition >= 0 && t.Partition < len(n.parts) {
			r = n.answerTerm(n.parts[t.Partition], req.From, t, now)
		}
		reply.Terms = append(reply.Terms, r)
	}
	return reply
}

func (n *Node) answerTerm(p *partition, from topology.Member, t TermRequest, now time.Duration) TermReply {
	r := TermReply{Partition: t.Partition, Term: t.Term}
	if n.list.Leader(p.index, t.Term) != from {
		return r
	}
	if t.Release {
		n.acceptRelease(p, from, t, now)
		return r
	}
	until, ok := n.support(p, from, t.Term, now)
	r.Granted = ok
	r.Remaining = max(0, until-now)
	r.ReleasedRemaining = max(0, p.releasedUntil-now)
	if !ok {
		r.SupportedTerm = uint32(max(0, p.maxTerm))
	}
	return r
}

func (n *Node) acceptRelease(p *partition, from topology.Member, t TermRequest, now time.Duration) {
	p.released = max(p.released, int64(t.Term))
	if p.promise.to != from || p.promise.list != n.list.Version || p.promise.term != t.Term {
		return
	}
	p.endPromise(t, now)
	p.quietUntil = now
	p.known, p.lastLeader, p.handedOver = true, from, true
}

// HandleSupportReply passes the answer of a member to the request that was
// returned at sentAt.
func (n *Node) HandleSupportReply(r SupportReply, sentAt, now time.Duration) {
	peer, ok := n.peers[r.From.Host]
	if !ok || n.list.index(r.From) < 0 {
		return
	}
	peer.answered = max(peer.answered, now)
	if r.ListVersion != n.list.Version {
		return
	}
	n.noteMode(r.From, r.Mode)
	if r.LogAge >= 0 {
		n.confirmRead(sentAt-r.LogAge, now)
	}
	for _, t := range r.Terms {
		if t.Partition >= 0 && t.Partition < len(n.parts) {
			n.termAnswered(n.parts[t.Partition], r.From, t, sentAt, now)
		}
	}
}

func (n *Node) termAnswered(p *partition, from topology.Member, t TermReply, sentAt, now time.Duration) {
	p.dropLapsed(now)
	o := p.own(n.list.Version, t.Term)
	if o == nil {
		return
	}
	if t.Granted {
		base := sentAt
		if n.unsafe.countReceipt {
			base = now
		}
		until := base + t.Remaining - promiseMargin
		o.support[from.Host] = max(o.support[from.Host], until)
		p.earlierUntil = max(p.earlierUntil, now+t.ReleasedRemaining)
		p.granted[from] = n.list.Version
		n.evaluate(p, o, now)
		return
	}
	n.termRefused(p, o, t, now)
}

// termRefused gives up a candidacy that collides with another one. A leader
// whose term a member has left behind asks for a higher term and leads on: its
// supporters may promise a higher term to the same host at once.
func (n *Node) termRefused(p *partition, o *ownTerm, t TermReply, now time.Duration) {
	if t.Remaining == 0 {
		p.maxTerm = max(p.maxTerm, int64(t.SupportedTerm))
	}
	switch {
	case o == p.cand && (t.Remaining > 0 || t.SupportedTerm > t.Term):
		if now >= o.until {
			n.dropCandidate(p, now)
		}
	case o == p.lead && p.cand == nil && t.Remaining == 0 && t.SupportedTerm > t.Term && now >= p.retryAt && !n.leaving:
		n.startCandidate(p, now)
		n.nextRound = now
	}
}

// evaluate computes the end of the majority's support and makes a candidate
// the leader.
func (n *Node) evaluate(p *partition, o *ownTerm, now time.Duration) {
	ends := make([]time.Duration, 0, len(n.list.Members))
	for _, m := range n.list.Members {
		ends = append(ends, o.support[m.Host])
	}
	slices.Sort(ends)
	until := ends[len(ends)-n.list.Majority()]
	o.until = min(until, n.lastRead+n.cfg.Params.MaxAutonomy)
	if o == p.cand && now < o.until && n.earlierEnded(p, now) {
		p.lead, p.cand = o, nil
		p.known, p.lastLeader, p.handedOver = true, n.self, false
	}
}

// earlierEnded reports whether no other host can lead under an earlier list:
// the log bound of the list has passed, or a set of its members that shares a
// member with every majority supports this host under a later list. A member
// does that only when its promises to other hosts have ended, and never again
// promises anything under the earlier list.
func (n *Node) earlierEnded(p *partition, now time.Duration) bool {
	if n.unsafe.ignoreEarlier {
		return true
	}
	if now < n.coldUntil {
		return false
	}
	for _, e := range n.earlier {
		if now >= e.replaced+n.cfg.Params.LogBound+driftMargin {
			continue
		}
		ended := 0
		for _, m := range e.Members {
			if p.granted[m] > e.Version {
				ended++
			}
		}
		if ended < e.Blocking() {
			return false
		}
	}
	return true
}
