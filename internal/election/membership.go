package election

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// listChange is the state of a list change that this member works on.
type listChange struct {
	active            bool
	neededSince       time.Duration // a change has been needed since then
	reason            string
	pledges           map[topology.HostID]Pledge
	nextPledgeRequest time.Duration
	nextProposal      time.Duration
	nextProbe         time.Duration
}

// joinState is the state of the join attempts of a host that is not a member.
type joinState struct {
	interval    time.Duration
	nextAttempt time.Duration
	listVersion uint32
	pledges     map[topology.HostID]Pledge
}

// handleListChange delays the next join attempt if the new list dropped this
// host.
func (j *joinState) handleListChange(dropped bool, now time.Duration) {
	j.pledges = nil
	if !dropped {
		return
	}
	// A host that cannot reach every member is dropped after each join, so the
	// interval grows.
	j.interval = min(max(2*j.interval, minJoinInterval), maxJoinInterval)
	j.nextAttempt = now + j.interval
}

// tickMembership changes the member list or joins it, if the last log read is
// recent enough.
func (n *Node) tickMembership(now time.Duration, a *Actions) {
	switch {
	case !n.hasLogRead || now-n.lastLogRead > maxReadAgeToPropose:
	case n.isMember():
		n.tickChange(now, a)
	case !n.leaving:
		n.tickJoin(now, a)
	}
}

// dead reports whether a member has not replied for Params.DeadAfter.
func (n *Node) dead(m topology.Member, now time.Duration) bool {
	if m == n.self {
		return false
	}
	p := n.peers[m.Host]
	return now-p.lastReply >= n.cfg.Params.DeadAfter
}

func (n *Node) recordPeerMode(from topology.Member, m Mode) {
	if m == ModeLost {
		n.peers[from.Host].recordedLost = true
	}
}

// desiredMembers returns the members that the next list should have, and the
// reason for the change; an empty reason means that no change is needed.
func (n *Node) desiredMembers(now time.Duration) ([]topology.Member, string) {
	reason := ""
	switch {
	case n.mode == ModeLost, n.mode == ModePledged && n.modeBeforePledge == ModeLost:
		reason = "the log is readable again"
	case n.mode == ModePledged && now-n.pledgedAt >= pledgeTimeout:
		// A pledged member never records ModeLost, so its partitions would stop
		// in the next outage of the log.
		reason = "no list followed a pledge"
	}
	var members []topology.Member
	for _, m := range n.list.Members {
		switch {
		case n.dead(m, now):
			reason = "member " + string(m.Host) + " does not reply"
		case m == n.self && n.leaving:
			reason = "member " + string(m.Host) + " leaves"
		default:
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return nil, ""
	}
	return members, reason
}

// tickChange proposes a new list if a member is dead or leaves, if this member
// recorded ModeLost, or if no list followed its pledge.
func (n *Node) tickChange(now time.Duration, a *Actions) {
	members, reason := n.desiredMembers(now)
	if reason == "" {
		n.change = listChange{}
		return
	}
	change := &n.change
	if !change.active {
		*change = listChange{active: true, neededSince: now, pledges: make(map[topology.HostID]Pledge)}
	}
	change.reason = reason
	recordedLost := n.mode == ModeLost || n.modeBeforePledge == ModeLost
	if now < change.neededSince+n.proposalDelay(members) || (recordedLost && !n.logRecovered(now, a)) {
		return
	}
	change.pledges[n.self.Host] = n.recordPledge(now)
	if !n.hasEnoughPledges(change.pledges) {
		n.requestPledges(now, a)
		return
	}
	if now < change.nextProposal {
		return
	}
	change.nextProposal = now + proposalInterval
	a.Proposal = n.newProposal(members, change.pledges, change.reason)
}

// proposalDelay lets one member propose first, and the larger side of a network
// partition before the smaller one.
func (n *Node) proposalDelay(live []topology.Member) time.Duration {
	rank := max(0, slices.Index(live, n.self))
	d := time.Duration(rank) * proposalStagger
	if 2*len(live) < len(n.list.Members) && !n.leaving {
		d += minorityDelay
	}
	return d
}

// logRecovered reports whether the log has been readable for
// Params.LogRecoveryTime and has accepted an append of this host in that time.
// A pledge before that could end the leaderships of the list if the log failed
// again.
func (n *Node) logRecovered(now time.Duration, actions *Actions) bool {
	if now-n.lastOwnRead > maxReadAgeToPropose || now-n.logReadableSince < n.cfg.Params.LogRecoveryTime {
		return false
	}
	if n.lastAppend >= n.logReadableSince {
		return true
	}
	if now >= n.change.nextProbe {
		n.change.nextProbe = now + proposalInterval
		actions.ProbeLog = true
	}
	return false
}

// recordPledge enters ModePledged and returns the pledge.
func (n *Node) recordPledge(now time.Duration) Pledge {
	if n.mode != ModePledged {
		n.modeBeforePledge, n.mode, n.pledgedAt = n.mode, ModePledged, now
	}
	return Pledge{ListVersion: n.list.Version, Member: n.self, Mode: n.modeBeforePledge}
}

// hasEnoughPledges reports whether the list can be replaced. That takes the
// pledge of one member that has never recorded ModeLost, or pledges of a set
// that shares a member with every majority. Either way the age of the log read
// limits the promises of every majority again.
func (n *Node) hasEnoughPledges(pledges map[topology.HostID]Pledge) bool {
	for _, p := range pledges {
		if p.Mode == ModeNormal {
			return true
		}
	}
	return len(pledges) >= n.list.BlockingSize()
}

// requestPledges asks all other members for a pledge.
func (n *Node) requestPledges(now time.Duration, a *Actions) {
	if now < n.change.nextPledgeRequest {
		return
	}
	n.change.nextPledgeRequest = now + minJoinInterval
	for _, m := range n.list.Members {
		if m != n.self {
			a.Pledge = append(a.Pledge, n.pledgeRequest(m))
		}
	}
}

func (n *Node) pledgeRequest(to topology.Member) OutgoingPledge {
	return OutgoingPledge{To: to, Request: PledgeRequest{Cell: n.cfg.Cell, From: n.self, ListVersion: n.list.Version}}
}

func (n *Node) newProposal(members []topology.Member, pledges map[topology.HostID]Pledge, reason string) *Proposal {
	p := &Proposal{
		Cell: n.cfg.Cell, Version: n.list.Version + 1, Base: n.list.Offset, Members: slices.Clone(members), Reason: reason,
	}
	for _, m := range n.list.Members {
		if pl, ok := pledges[m.Host]; ok {
			p.Pledges = append(p.Pledges, pl)
		}
	}
	return p
}

// tickJoin asks all members for a pledge. The proposal follows in
// HandlePledgeReply when all of them have pledged, so that a host that some
// members cannot reach does not join.
func (n *Node) tickJoin(now time.Duration, a *Actions) {
	j := &n.join
	if now < j.nextAttempt {
		return
	}
	j.nextAttempt = now + max(j.interval, minJoinInterval)
	if n.list.Version == 0 {
		a.Proposal = &Proposal{Cell: n.cfg.Cell, Version: 1, Base: -1, Members: []topology.Member{n.self}, Reason: "first list"}
		return
	}
	known := slices.ContainsFunc(n.list.Members, func(m topology.Member) bool { return m.Host == n.self.Host })
	if len(n.list.Members) >= topology.MaxMembers && !known {
		// The list would be rejected when the log is read, and members that
		// pledged for it could no longer lead without the log.
		return
	}
	j.listVersion, j.pledges = n.list.Version, make(map[topology.HostID]Pledge)
	for _, m := range n.list.Members {
		if m.Host != n.self.Host {
			a.Pledge = append(a.Pledge, n.pledgeRequest(m))
		}
	}
}

// HandlePledge handles a request for a pledge. A member that cannot read the
// log refuses, because after a pledge its promises end at the latest
// Params.LogReadValidity after its last log read.
func (n *Node) HandlePledge(req PledgeRequest, now time.Duration) PledgeReply {
	fresh := n.hasLogRead && now-n.lastLogRead <= maxReadAgeToPropose
	if req.Cell != n.cfg.Cell || req.ListVersion != n.list.Version || !n.isMember() || !fresh {
		return PledgeReply{}
	}
	return PledgeReply{Pledged: true, Pledge: n.recordPledge(now)}
}

// HandlePledgeReply handles the reply to a PledgeRequest. If it completes the
// pledges for a join, the returned actions contain the proposal.
func (n *Node) HandlePledgeReply(r PledgeReply, now time.Duration) Actions {
	var a Actions
	if !r.Pledged || r.Pledge.ListVersion != n.list.Version || n.list.index(r.Pledge.Member) < 0 {
		return a
	}
	if n.isMember() {
		if n.change.active {
			n.change.pledges[r.Pledge.Member.Host] = r.Pledge
		}
		return a // the next tick proposes
	}
	j := &n.join
	if j.listVersion != n.list.Version || j.pledges == nil {
		return a
	}
	j.pledges[r.Pledge.Member.Host] = r.Pledge
	members := slices.DeleteFunc(slices.Clone(n.list.Members), func(m topology.Member) bool { return m.Host == n.self.Host })
	if len(j.pledges) < len(members) || !n.hasEnoughPledges(j.pledges) {
		return a
	}
	a.Proposal = n.newProposal(append(members, n.self), j.pledges, "host "+string(n.self.Host)+" joins")
	j.pledges = nil
	j.nextAttempt = now + proposalInterval
	return a
}
