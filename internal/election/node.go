package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Params are the durations of the protocol. All hosts of a cell must use the
// same values, except for MaxAutonomy.
type Params struct {
	// PromiseDuration is the duration of a promise of support.
	PromiseDuration time.Duration
	// LogReadValidity is the time after the send of the last confirmed log read
	// at which promises end at the latest.
	LogReadValidity time.Duration
	// LostAfter is the age of the last confirmed log read at which a member
	// records ModeLost.
	LostAfter time.Duration
	// RoundInterval is the interval of support requests.
	RoundInterval time.Duration
	// CandidateStagger is the delay of a candidacy for each position between
	// the last leader and the candidate in the member list.
	CandidateStagger time.Duration
	// DeadAfter is the time without a reply after which a member counts as dead
	// and is dropped from the list.
	DeadAfter time.Duration
	// LogRecoveryTime is how long the log must have been readable before a list
	// whose members recorded ModeLost is replaced.
	LogRecoveryTime time.Duration
	// MaxAutonomy is the time without a confirmed log read after which the host
	// stops leading, because the data centre may have been replaced.
	MaxAutonomy time.Duration
}

// DefaultParams returns the parameters for production.
//
// CandidateStagger is 80 ms, because grants of a failed leader end 900 ms after
// its last support request and the successor must extend them before that.
func DefaultParams() Params {
	return Params{
		PromiseDuration: 800 * time.Millisecond, LogReadValidity: 3 * time.Second, LostAfter: 1500 * time.Millisecond,
		RoundInterval: 200 * time.Millisecond, CandidateStagger: 80 * time.Millisecond, DeadAfter: 800 * time.Millisecond,
		LogRecoveryTime: 5 * time.Second, MaxAutonomy: 12 * time.Hour,
	}
}

const (
	// driftMargin covers a clock rate error of 0.1% on both hosts over the
	// longest interval that two hosts measure (LogReadValidity, 3 s): 6 ms.
	driftMargin = 6 * time.Millisecond
	// promiseMargin covers the same error over PromiseDuration.
	promiseMargin = 2 * time.Millisecond
	// maxReadAgeToPropose is the age of the last confirmed log read up to which
	// a host proposes lists and pledges.
	maxReadAgeToPropose = time.Second
	// pauseThreshold is the time between two ticks above which the host assumes
	// that it was paused and does not count its peers' missing replies.
	pauseThreshold = 150 * time.Millisecond
	// proposalStagger is the delay between the proposals of two live members.
	proposalStagger = 200 * time.Millisecond
	// minorityDelay lets the larger side of a network partition propose first.
	minorityDelay = 500 * time.Millisecond
	// proposalInterval is the interval of repeated proposals and log probes.
	proposalInterval = time.Second
	// minJoinInterval and maxJoinInterval bound the interval of join attempts,
	// which doubles each time the host is dropped from the list.
	minJoinInterval = 300 * time.Millisecond
	maxJoinInterval = time.Minute
	// pledgeTimeout is the time after a pledge at which the member itself
	// proposes a list if none has followed.
	pledgeTimeout = time.Second
	// releaseCooldown keeps a host that released a partition from leading it
	// again at once.
	releaseCooldown = 2 * time.Second
)

// Config describes a Node.
type Config struct {
	Self topology.Member
	Cell topology.CellID
	// Partitions is the number of partitions that the cell leads; they are
	// identified by their index.
	Partitions int
	Params     Params
}

// earlierList is a replaced list under which a host may still lead.
type earlierList struct {
	MemberList
	// replacedAt is the time at which this host applied the next list.
	replacedAt time.Duration
}

// peerState is what this host knows about another member of the newest list.
type peerState struct {
	// lastReply is the time of the last reply, initially the time at which the
	// list was applied.
	lastReply    time.Duration
	recordedLost bool // the peer recorded ModeLost
}

// Node runs the protocol for one host of a cell. It is not safe for concurrent
// use.
type Node struct {
	cfg  Config
	self topology.Member

	list         MemberList
	earlierLists []earlierList
	// skippedListsUntil is the time until which a host may lead under a list
	// that this host has not applied.
	skippedListsUntil time.Duration
	mode              Mode
	// modeBeforePledge is the mode before the first pledge for the list.
	modeBeforePledge Mode
	pledgedAt        time.Duration
	peers            map[topology.HostID]*peerState

	hasLogRead       bool
	lastLogRead      time.Duration // send of the last confirmed read, by this host or a peer
	logReadableSince time.Duration // first of the reads of this host without a gap above LostAfter
	lastOwnRead      time.Duration // send of the last confirmed read of this host
	lastAppend       time.Duration // send of the last confirmed append of this host; -1 if none

	partitions      []*partition
	pendingReleases []TermRequest

	lastTick  time.Duration
	nextRound time.Duration
	leaving   bool
	change    listChange
	join      joinState
	// unsafe disables safety mechanisms in tests that show that the checks
	// detect the consequences.
	unsafe unsafeSwitches
}

// unsafeSwitches disable safety mechanisms. Only tests set them.
type unsafeSwitches struct {
	ignorePromises     bool // support any term at once
	ignoreLogReadAge   bool // do not limit promises by the age of the last log read
	ignoreEarlierLists bool // lead under a new list without waiting for earlier ones
	countFromReceipt   bool // count promises from the receipt of the reply, not from the send of the request
}

// NewNode returns a Node without a member list. The incarnation of cfg.Self
// must be new for every start of the process.
func NewNode(cfg Config) *Node {
	n := &Node{cfg: cfg, self: cfg.Self, lastAppend: -1, peers: make(map[topology.HostID]*peerState)}
	n.SetPartitions(cfg.Partitions)
	return n
}

// SetPartitions changes the number of partitions. Promises for partitions that
// are no longer used stay recorded.
func (n *Node) SetPartitions(count int) {
	for len(n.partitions) < count {
		p := newPartition(len(n.partitions))
		if len(n.list.Members) > 0 {
			p.applyList(n.list, n.list, 0)
		}
		n.partitions = append(n.partitions, p)
	}
	n.cfg.Partitions = count
}

// SetMaxAutonomy changes Params.MaxAutonomy. Hosts of a cell may use different
// values, because it only limits the host's own leaderships.
func (n *Node) SetMaxAutonomy(d time.Duration) { n.cfg.Params.MaxAutonomy = d }

// ApplyList applies an accepted list of the cell that was read from the log.
// The runtime passes every accepted list in order. If it skips one, because the
// log no longer contains it, this host does not lead under the new list before
// Params.LogReadValidity has passed. Older lists are ignored.
func (n *Node) ApplyList(l MemberList, now time.Duration) {
	if l.Version <= n.list.Version || len(l.Members) == 0 {
		return
	}
	if n.list.Version > 0 {
		n.earlierLists = append(n.earlierLists, earlierList{MemberList: n.list, replacedAt: now})
	}
	if l.Version != n.list.Version+1 {
		// Lists in between, or before the first one, were skipped.
		n.skippedListsUntil = now + n.cfg.Params.LogReadValidity + driftMargin
	}
	wasMember := n.isMember()
	old := n.list
	l.Members = slices.Clone(l.Members)
	n.list, n.mode, n.modeBeforePledge = l, ModeNormal, ModeNormal
	n.change, n.pendingReleases = listChange{}, nil
	n.peers = make(map[topology.HostID]*peerState, len(l.Members))
	for _, m := range l.Members {
		n.peers[m.Host] = &peerState{lastReply: now}
	}
	for _, p := range n.partitions {
		p.applyList(old, l, now)
	}
	n.join.handleListChange(wasMember && !n.isMember(), now)
	n.nextRound = now
}

// LogRead reports a confirmed read of the members stream that was sent at
// sentAt or later and whose lists were passed to ApplyList. If a peer relayed
// the records, sentAt must be a time of the local clock that is not later than
// the send of the read, for example the send of the request to the peer minus
// the age in its reply.
func (n *Node) LogRead(sentAt, now time.Duration) {
	if !n.hasLogRead || sentAt-n.lastOwnRead > n.cfg.Params.LostAfter {
		n.logReadableSince = sentAt
	}
	n.lastOwnRead = max(n.lastOwnRead, sentAt)
	n.recordLogRead(sentAt, now)
}

// recordLogRead records a confirmed read of this host or of a peer.
func (n *Node) recordLogRead(sentAt, now time.Duration) {
	sentAt = min(sentAt, now)
	if !n.hasLogRead || sentAt > n.lastLogRead {
		n.hasLogRead, n.lastLogRead = true, sentAt
	}
}

// AppendConfirmed reports that an append of this host was sent at sentAt and
// read back.
func (n *Node) AppendConfirmed(sentAt time.Duration) { n.lastAppend = max(n.lastAppend, sentAt) }

// isMember reports whether the newest list contains this incarnation of the
// host.
func (n *Node) isMember() bool { return n.list.index(n.self) >= 0 }

// Tick handles all timers that have expired. It must be called at least every
// 10 ms; a longer gap delays the protocol but breaks no guarantee.
func (n *Node) Tick(now time.Duration) Actions {
	if now-n.lastTick > pauseThreshold {
		for _, p := range n.peers {
			p.lastReply = max(p.lastReply, now)
		}
	}
	n.lastTick = now
	n.updateMode(now)
	n.earlierLists = slices.DeleteFunc(n.earlierLists, func(e earlierList) bool {
		return now >= e.replacedAt+n.cfg.Params.LogReadValidity+driftMargin
	})
	var a Actions
	if n.isMember() {
		start := false
		for _, p := range n.partitions[:n.cfg.Partitions] {
			start = n.tickPartition(p, now) || start
		}
		if start || now >= n.nextRound || len(n.pendingReleases) > 0 {
			a.Support = n.startSupportRound(now)
		}
	}
	n.tickMembership(now, &a)
	return a
}

func (n *Node) updateMode(now time.Duration) {
	if n.mode == ModeNormal && n.isMember() && n.hasLogRead && now-n.lastLogRead > n.cfg.Params.LostAfter {
		n.mode = ModeLost
	}
}

// allRecordedLost reports whether all members recorded ModeLost for the list.
func (n *Node) allRecordedLost() bool {
	if n.mode != ModeLost {
		return false
	}
	for h, p := range n.peers {
		if h != n.self.Host && !p.recordedLost {
			return false
		}
	}
	return true
}

// Mode returns the mode of this member.
func (n *Node) Mode() Mode { return n.mode }

// Leads reports whether this host leads the partition now, and until when. The
// epoch identifies one leadership: no two leaderships have the same epoch, even
// of the same host. Its Home is zero; the caller sets it.
func (n *Node) Leads(partition int, now time.Duration) (epoch topology.Fence, until time.Duration, ok bool) {
	if partition < 0 || partition >= n.cfg.Partitions {
		return topology.Fence{}, 0, false
	}
	o := n.partitions[partition].leadership
	if o == nil || now >= o.supportedUntil {
		return topology.Fence{}, 0, false
	}
	return topology.Fence{List: o.listVersion, Term: o.term}, o.supportedUntil, true
}

// EarlierLeadersUntil returns the latest end of the support that an earlier
// leader of the partition released early. Grants of earlier leaders are limited
// by that time, or by the start of this leadership if that is later.
func (n *Node) EarlierLeadersUntil(partition int) time.Duration {
	return n.partitions[partition].earlierLeadersUntil
}

// Leader returns the host that probably leads the partition. The information
// may be out of date.
func (n *Node) Leader(partition int) (topology.Member, bool) {
	if partition < 0 || partition >= n.cfg.Partitions || len(n.list.Members) == 0 {
		return topology.Member{}, false
	}
	p := n.partitions[partition]
	if p.hasLastLeader {
		return p.lastLeader, true
	}
	return p.successor, true
}

// Status describes the node for operators.
func (n *Node) Status(now time.Duration) Status {
	s := Status{List: n.list, Member: n.isMember(), Mode: n.mode, AllLost: n.allRecordedLost(), LogAge: n.logAge(now)}
	for _, m := range n.list.Members {
		if n.dead(m, now) {
			s.Dead = append(s.Dead, m.Host)
		}
	}
	for _, p := range n.partitions[:n.cfg.Partitions] {
		ps := PartitionStatus{Partition: p.index, Term: p.promise.term}
		if now < p.promise.until {
			ps.Supports, ps.PromiseLeft = p.promise.to.Host, p.promise.until-now
		}
		if _, until, ok := n.Leads(p.index, now); ok {
			ps.Leads, ps.LeadershipLeft = true, until-now
		}
		s.Partitions = append(s.Partitions, ps)
	}
	return s
}

// logAge returns the time since the last confirmed log read; -1 if there was
// none.
func (n *Node) logAge(now time.Duration) time.Duration {
	if !n.hasLogRead {
		return -1
	}
	return max(0, now-n.lastLogRead)
}
