// Package election decides which host of a cell leads a partition. It holds the
// decision logic only: a runtime passes in events with the current monotonic
// time and sends the messages that are returned. The package starts no
// goroutine, performs no I/O and reads no clock.
//
// Guarantee: if all hosts of a cell run this package, every fold of the log
// accepts the same lists, and clock rates differ by at most 0.1%, then at any
// moment at most one host leads a partition, that is, Node.Leads returns true
// on at most one host. Leads must be called again before every action.
package election

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Mode is the state of one member with regard to one list.
type Mode uint8

// Modes. A member moves from normal to lost, and from either to pledged; only
// a new list returns it to normal.
const (
	// ModeNormal limits promises by the age of the last confirmed log read.
	ModeNormal Mode = iota
	// ModeLost records that the log could not be read for Params.LostAfter.
	ModeLost
	// ModePledged records the consent to a new list.
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
	// Offset is the offset of its record in the log.
	Offset int64
}

// Majority returns the number of supporters that a leader needs.
func (l MemberList) Majority() int { return len(l.Members)/2 + 1 }

// Blocking returns the size of a set that shares a member with every majority.
func (l MemberList) BlockingSize() int { return len(l.Members) - l.Majority() + 1 }

// Leader returns the member that leads a term of a partition index.
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

// TermRequest asks for support of one term, or gives the support back.
type TermRequest struct {
	Partition int
	Term      uint32
	// Release ends the support. The sender never asks for this term again.
	Release bool
	// Unused is true if the sender never led the released term.
	Unused bool
}

// SupportRequest is sent to every other member in every round, with no terms
// if the sender leads nothing.
type SupportRequest struct {
	Cell topology.CellID
	From topology.Member
	// ListVersion is the version of the newest list that the sender has applied.
	ListVersion uint32
	Mode        Mode
	Terms       []TermRequest
}

// TermReply answers one TermRequest.
type TermReply struct {
	Partition int
	Term      uint32
	Granted   bool
	// SupportedTerm is the term that the member supports, if not granted.
	SupportedTerm uint32
	// Remaining is the length of the promise, counted from the receipt of the
	// request. If not granted, it is the remaining time of the promise that
	// prevents the support.
	Remaining time.Duration
	// ReleasedRemaining is the remaining time of a promise to another host that ended
	// early by a release; zero if there is none. Grants of that host are still
	// limited by the end that it had counted on.
	ReleasedRemaining time.Duration
}

// SupportReply answers a SupportRequest.
type SupportReply struct {
	From        topology.Member
	ListVersion uint32
	Mode        Mode
	Terms       []TermReply
	// LogAge is the time since the send of the last confirmed log read that
	// showed List as the newest list; -1 if there was none. The receiver
	// counts it from the send of its own request, because the transit time of
	// a message has no bound.
	LogAge time.Duration
}

// Pledge is the consent of one member to the replacement of a list. After a
// pledge the member never records ModeLost for the list.
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

// PledgeReply answers a PledgeRequest.
type PledgeReply struct {
	Pledged bool
	Pledge  Pledge
}

// Proposal is a new list to append to the members stream. The fold accepts it
// if Base is the offset of the last accepted list of the cell and the pledges
// hold one of mode normal, or a set of members that shares a member with every
// majority. The first list of a cell has Base -1 and no pledges.
type Proposal struct {
	Cell    topology.CellID
	Version uint32
	Base    int64
	Members []topology.Member
	Pledges []Pledge
	// Reason is for operators.
	Reason string
}

// Next returns the list that follows l if the proposal is appended at an
// offset, or false if the rules of the members stream reject it.
func (l MemberList) Next(p Proposal, offset int64) (MemberList, bool) {
	next := MemberList{Version: p.Version, Members: p.Members, Offset: offset}
	if l.Version == 0 {
		return next, p.Version == 1 && p.Base == -1 && len(p.Members) > 0
	}
	if p.Base != l.Offset || p.Version != l.Version+1 || len(p.Members) == 0 {
		return MemberList{}, false
	}
	pledged := make(map[topology.Member]bool)
	for _, x := range p.Pledges {
		if x.ListVersion != l.Version || l.index(x.Member) < 0 {
			return MemberList{}, false
		}
		if x.Mode == ModeNormal {
			return next, true
		}
		pledged[x.Member] = true
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

// Actions are the messages to send after an event. They must be sent at once
// or dropped. The runtime passes the time of the call that returned them as
// sentAt to HandleSupportReply.
type Actions struct {
	Support []OutgoingSupport
	Pledge  []OutgoingPledge
	// Proposal is a list to append. It is repeated until the list changes;
	// equal proposals must be appended under the same record id.
	Proposal *Proposal
	// ProbeLog asks for an append of a marker record to a stream of this
	// host; AppendConfirmed reports its success.
	ProbeLog bool
}

// PartitionStatus describes one partition for operators.
type PartitionStatus struct {
	Partition int
	// Supports is the host that this member supports, if any.
	Supports topology.HostID
	Term     uint32
	// SupportLeft is the remaining time of that promise.
	PromiseLeft time.Duration
	Leads       bool
	// LeadLeft is the remaining time of the own leadership.
	LeadershipLeft time.Duration
}

// Status describes a Node for operators.
type Status struct {
	List   MemberList
	Member bool
	Mode   Mode
	// AllLost is true if all members recorded ModeLost, so that promises are
	// not limited by the log.
	AllLost    bool
	LogAge     time.Duration // -1 if the log was never read
	Dead       []topology.HostID
	Partitions []PartitionStatus
}
