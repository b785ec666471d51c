// Package election elects the leader of each partition among the hosts of a
// cell. The members of an agreed list promise their support to one host for a
// short time; a host leads while a majority supports it. The members also
// replace the list, through a log, when a host fails, joins or leaves.
//
// The package contains the decision logic only: a runtime passes in events with
// the current monotonic time and sends the messages that are returned. The
// package starts no goroutine, performs no I/O and reads no clock.
//
// Guarantee: if all hosts of a cell run this package, every reader of the log
// accepts the same lists, and clock rates differ by at most 0.1%, then at any
// moment at most one host leads a partition, that is, Node.Leads returns true
// on at most one host. Leads must be called again before every action.
package election

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Mode is the state of a member with regard to the log, while one list is in
// force.
type Mode uint8

// A member moves from ModeNormal to ModeLost, and from either to ModePledged;
// only a new list returns it to ModeNormal.
const (
	// ModeNormal means that the age of the last confirmed log read limits the
	// promises of the member.
	ModeNormal Mode = iota
	// ModeLost means that the member could not read the log for
	// Params.LostAfter. When all members have recorded ModeLost, promises are
	// no longer limited by the log.
	ModeLost
	// ModePledged means that the member has consented to a new list.
	ModePledged
)

// String returns the name of the mode.
func (m Mode) String() string {
	return [...]string{"normal", "lost", "pledged"}[m]
}

// MemberList is an accepted member list of a cell.
type MemberList struct {
	Version uint32
	Members []topology.Member
	// Offset is the offset of the list's record in the log.
	Offset int64
}

// Majority returns the smallest number of members that is more than half.
func (l MemberList) Majority() int { return len(l.Members)/2 + 1 }

// BlockingSize returns the number of members at and above which a set of
// members shares a member with every majority.
func (l MemberList) BlockingSize() int { return len(l.Members) - l.Majority() + 1 }

// Leader returns the member that may lead a term of the partition with an
// index. Members take turns.
func (l MemberList) Leader(partition int, term uint32) topology.Member {
	n := uint64(len(l.Members))
	return l.Members[(uint64(partition)+uint64(term))%n]
}

// index returns the position of a member, or -1.
func (l MemberList) index(m topology.Member) int {
	for i, x := range l.Members {
		if x == m {
			return i
		}
	}
	return -1
}

// TermRequest asks for support in one term of a partition, or releases it.
type TermRequest struct {
	// Partition is the index of the partition in the cell.
	Partition int
	Term      uint32
	// Release ends the support. The sender never asks for this term again.
	// Otherwise the sender asks for support.
	Release bool
	// Unused is true if the sender never led the released term.
	Unused bool
}

// SupportRequest is sent to every other member in every round, even if the
// sender has no term to ask for or to release.
type SupportRequest struct {
	Cell topology.CellID
	From topology.Member
	// ListVersion is the version of the newest list that the sender has applied.
	ListVersion uint32
	Mode        Mode
	Terms       []TermRequest
}

// TermReply is the reply to one TermRequest.
type TermReply struct {
	Partition int
	Term      uint32
	Granted   bool
	// SupportedTerm is the newest term that the member has supported, if not
	// granted.
	SupportedTerm uint32
	// Remaining is the duration of the promise, counted from the receipt of the
	// request. If not granted, it is the remaining time of the promise that
	// prevents the support.
	Remaining time.Duration
	// ReleasedRemaining is the time until the original end of a promise that a
	// release ended early; zero if there is none. Grants of the host that
	// released it may last until that end.
	ReleasedRemaining time.Duration
}

// SupportReply is the reply to a SupportRequest.
type SupportReply struct {
	From        topology.Member
	ListVersion uint32
	Mode        Mode
	Terms       []TermReply
	// LogAge is the time since the send of the last confirmed log read in which
	// ListVersion was the newest list; -1 if there was none. The receiver counts
	// it from the send of its own request, because the transit time of a message
	// is unbounded.
	LogAge time.Duration
}

// Pledge is the consent of one member to the replacement of a list. After it
// the member never records ModeLost for the list.
type Pledge struct {
	ListVersion uint32
	Member      topology.Member
	// Mode is the mode before the member's first pledge for the list: normal
	// or lost.
	Mode Mode
}

// PledgeRequest asks a member for its pledge.
type PledgeRequest struct {
	Cell        topology.CellID
	From        topology.Member
	ListVersion uint32
}

// PledgeReply is the reply to a PledgeRequest. Pledge is only set if Pledged.
type PledgeReply struct {
	Pledged bool
	Pledge  Pledge
}

// Proposal is a new list to append to the members stream. Readers accept it if
// Base is the offset of the last accepted list of the cell and the pledges
// include one with ModeNormal, or come from a set of members that shares a
// member with every majority. The first list of a cell has Base -1 and no
// pledges.
type Proposal struct {
	Cell    topology.CellID
	Version uint32
	Base    int64
	Members []topology.Member
	Pledges []Pledge
	// Reason says to operators why the list changes.
	Reason string
}

// Next returns the list that results from a proposal appended at offset, or
// false if the rules of the members stream reject the proposal.
func (l MemberList) Next(p Proposal, offset int64) (MemberList, bool) {
	next := MemberList{Version: p.Version, Members: p.Members, Offset: offset}
	if l.Version == 0 {
		return next, p.Version == 1 && p.Base == -1 && len(p.Members) > 0
	}
	if p.Base != l.Offset || p.Version != l.Version+1 || len(p.Members) == 0 {
		return MemberList{}, false
	}
	pledged := make(map[topology.Member]bool)
	for _, pledge := range p.Pledges {
		if pledge.ListVersion != l.Version || l.index(pledge.Member) < 0 {
			return MemberList{}, false
		}
		if pledge.Mode == ModeNormal {
			return next, true
		}
		pledged[pledge.Member] = true
	}
	return next, len(pledged) >= l.BlockingSize()
}

// OutgoingSupport is a SupportRequest and its receiver.
type OutgoingSupport struct {
	To      topology.Member
	Request SupportRequest
}

// OutgoingPledge is a PledgeRequest and its receiver.
type OutgoingPledge struct {
	To      topology.Member
	Request PledgeRequest
}

// Actions are what the runtime must do after an event, at once or not at all.
// The time of the call that returned them is passed as sentAt to
// HandleSupportReply.
type Actions struct {
	Support []OutgoingSupport
	Pledge  []OutgoingPledge
	// Proposal is a list to append, or nil. It is repeated until the list
	// changes; equal proposals must be appended under the same record id.
	Proposal *Proposal
	// ProbeLog asks the runtime to append a marker record to a stream of this
	// host and to call AppendConfirmed on success.
	ProbeLog bool
}

// PartitionStatus describes one partition for operators.
type PartitionStatus struct {
	Partition int
	// Supports is the host to which this member has given an unexpired promise,
	// if any.
	Supports topology.HostID
	Term     uint32
	// PromiseLeft is the remaining time of that promise.
	PromiseLeft time.Duration
	Leads       bool
	// LeadershipLeft is the remaining time of this host's own leadership.
	LeadershipLeft time.Duration
}

// Status describes a Node for operators.
type Status struct {
	List   MemberList
	Member bool
	Mode   Mode
	// AllLost is true if all members recorded ModeLost, so that the age of the
	// log read does not limit promises.
	AllLost    bool
	LogAge     time.Duration // -1 if the log was never read
	Dead       []topology.HostID
	Partitions []PartitionStatus
}
