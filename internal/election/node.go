package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Params are the times of the protocol. All hosts of a cell must use the same
// values.
type Params struct {
	// Promise is the length of a promise.
	PromiseDuration time.Duration
	// LogBound limits a promise after the send of the last confirmed read.
	LogReadValidity time.Duration
	// LostAfter is the age of the last confirmed read from which on a member
	// records ModeLost.
	LostAfter time.Duration
	// Round is the interval of support requests.
	RoundInterval time.Duration
	// Stagger is the delay of a candidate per position after the last leader.
	CandidateStagger time.Duration
	// DeadAfter is the time without an answer after which a member is dropped.
	DeadAfter time.Duration
	// ReadsBack is the time of successful reads that is required before a list
	// that went through ModeLost is replaced.
	LogRecoveryTime time.Duration
	// MaxAutonomy is the time without a confirmed read after which the host
	// stops leading, because the data centre may have been replaced.
	MaxAutonomy time.Duration
}

// DefaultParams returns the values of the design.
//
// The stagger is 80 ms, because grants of a lost leader end 900 ms after its
// last support request and the successor must extend them before that.
func DefaultParams() Params {
	return Params{
		PromiseDuration: 800 * time.Millisecond, LogReadValidity: 3 * time.Second, LostAfter: 1500 * time.Millisecond,
		RoundInterval: 200 * time.Millisecond, CandidateStagger: 80 * time.Millisecond, DeadAfter: 800 * time.Millisecond,
		LogRecoveryTime: 5 * time.Second, MaxAutonomy: 12 * time.Hour,
	}
}

const (
	// driftMargin covers a clock rate error of 0.1% on both hosts over the
	// longest interval that two hosts measure (LogBound, 3 s): 6 ms.
	driftMargin = 6 * time.Millisecond
	// promiseMargin covers the same error over Promise.
	promiseMargin = 2 * time.Millisecond
	// freshRead is the age of the last read up to which a host proposes lists.
	maxReadAgeToPropose = time.Second
	// pauseGap is the time between two ticks from which on the host assumes
	// that it was paused and does not hold missing answers against its peers.
	pauseThreshold = 150 * time.Millisecond
	// proposeStagger separates the proposals of live members.
	proposalStagger = 200 * time.Millisecond
	// minorityDelay lets the larger side of a partition propose first.
	minorityDelay = 500 * time.Millisecond
	// proposeRepeat is the interval of repeated proposals.
	proposalInterval = time.Second
	// joinInterval and maxJoinInterval bound the interval of join attempts. It
	// doubles after each time the host was dropped from a list again.
	minJoinInterval = 300 * time.Millisecond
	maxJoinInterval = time.Minute
	// pledgeTimeout is the time after a pledge from which on the member itself
	// proposes a list.
	pledgeTimeout = time.Second
	// releasePause keeps a host that handed a partition over from leading it
	// again at once.
	releaseCooldown = 2 * time.Second
)

// Config describes a Node.
type Config struct {
	Self topology.Member
	Cell topology.CellID
	// Partitions is the number of partition indexes that the cell leads.
	Partitions int
	Params     Params
}

// earlierList is a list that may still have supported leaders.
type earlierList struct {
	MemberList
	// replaced is the time at which this host read the oldest later list.
	replacedAt time.Duration
}

type peerState struct {
	// answered is the time of the last answer; it starts at the first tick
	// after the list was applied.
	lastReply    time.Duration
	recordedLost bool // recorded ModeLost
}

// Node is the view of one host of one cell. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	self topology.Member

	list         MemberList
	earlierLists []earlierList
	// coldUntil is the end of the log bound of lists that this host has not
	// read.
	skippedListsUntil time.Duration
	mode              Mode
	// pledgedFrom is the mode before the first pledge.
	modeBeforePledge Mode
	pledgedAt        time.Duration
	peers            map[topology.HostID]*peerState

	hasLogRead       bool
	lastLogRead      time.Duration // send of the last confirmed read, own or relayed
	logReadableSince time.Duration // start of an unbroken row of own reads
	lastOwnRead      time.Duration // send of the last own read
	lastAppend       time.Duration // last confirmed append of this host; -1 if none

	partitions      []*partition
	pendingReleases []TermRequest

	lastTick  time.Duration
	nextRound time.Duration
	leaving   bool
	change    listChange
	join      joinState
	// unsafe switches mechanisms off in tests that show that the checks find
	// the consequence.
	unsafe unsafeSwitches
}

// unsafeSwitches are only set by tests.
type unsafeSwitches struct {
	ignorePromises     bool // support any term at once
	ignoreLogReadAge   bool // do not limit promises by the log
	ignoreEarlierLists bool // lead under a new list without waiting for earlier ones
	countFromReceipt   bool // the leader counts promises from the reply
}

// NewNode returns a Node that has read no list. The incarnation of cfg.Self
// must be new for every start of the process.
func NewNode(cfg Config) *Node {
	n := &Node{cfg: cfg, self: cfg.Self, lastAppend: -1, peers: make(map[topology.HostID]*peerState)}
	n.SetPartitions(cfg.Partitions)
	return n
}

// SetPartitions changes the number of partition indexes. Promises for indexes
// that are no longer used stay recorded.
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
// values, because it only ends the host's own leadership.
func (n *Node) SetMaxAutonomy(d time.Duration) { n.cfg.Params.MaxAutonomy = d }

// ApplyList passes an accepted list of the cell after the log was read. The
// runtime passes every accepted list in order. If it leaves one out, because
// the log does not keep it any more, this host does not lead under the new list
// before Params.LogBound has passed. Older lists are ignored.
func (n *Node) ApplyList(l MemberList, now time.Duration) {
	if l.Version <= n.list.Version || len(l.Members) == 0 {
		return
	}
	if n.list.Version > 0 {
		n.earlierLists = append(n.earlierLists, earlierList{MemberList: n.list, replacedAt: now})
	}
	if l.Version != n.list.Version+1 {
		// Lists in between, or before the first one, were not read.
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

// LogRead reports a confirmed read of the members stream that this host sent
// at sentAt or later and whose lists were passed to ApplyList. For records
// that were relayed, sentAt must be a time on the local clock that is not
// later than the send of the read, for example the send of the request that
// the relay answered, minus the age in the answer.
func (n *Node) LogRead(sentAt, now time.Duration) {
	if !n.hasLogRead || sentAt-n.lastOwnRead > n.cfg.Params.LostAfter {
		n.logReadableSince = sentAt
	}
	n.lastOwnRead = max(n.lastOwnRead, sentAt)
	n.recordLogRead(sentAt, now)
}

func (n *Node) recordLogRead(sentAt, now time.Duration) {
	sentAt = min(sentAt, now)
	if !n.hasLogRead || sentAt > n.lastLogRead {
		n.hasLogRead, n.lastLogRead = true, sentAt
	}
}

// AppendConfirmed reports that an append of this host was sent at sentAt and
// read back.
func (n *Node) AppendConfirmed(sentAt time.Duration) { n.lastAppend = max(n.lastAppend, sentAt) }

// member reports whether the newest list names this incarnation.
func (n *Node) isMember() bool { return n.list.index(n.self) >= 0 }

// Tick advances timers. It must be called at least every 10 ms; a longer gap
// delays the protocol but breaks no guarantee.
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

// allLost reports whether all members recorded ModeLost for the list.
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
// epoch identifies the leadership: it never names two leaderships, also not
// two of the same host. Its Home is zero; the caller adds it.
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

// EarlierLeadersUntil returns the time until which an earlier leader of the partition
// may have counted on its support when it released it. Grants of earlier
// leaders are limited by that time, or by the start of this leadership if that
// is later.
func (n *Node) EarlierLeadersUntil(partition int) time.Duration {
	return n.partitions[partition].earlierLeadersUntil
}

// Leader returns the host that leads the partition as far as this host knows.
// It is a hint: it may be out of date.
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

func (n *Node) logAge(now time.Duration) time.Duration {
	if !n.hasLogRead {
		return -1
	}
	return max(0, now-n.lastLogRead)
}
