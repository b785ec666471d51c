package control

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// replaceStoppedList appends a member list that contains only this host if a
// hosts-stopped record states that all members of the present list have stopped.
// These members cannot give the pledges that a join needs.
func (c *Controller) replaceStoppedList(ctx context.Context) {
	e, ok := c.replacementRecord()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := logstream.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e); err != nil {
		c.log.Error("cannot append the member list that replaces the stopped members", err)
		return
	}
	c.log.Info("the member list was replaced, because a hosts-stopped record states that all its members have stopped")
}

// replacementRecord returns the log record of a member list that contains only
// this host, or false if the present list must not be replaced.
func (c *Controller) replacementRecord() (record.Envelope, bool) {
	var list state.MemberList
	var found bool
	var stopped []state.HostsStopped
	c.streams.members.View(func(*state.Fold) {
		list, found = c.streams.membersFold.List(c.opts.Cell)
		found = found && c.streams.membersFold.MayPropose(c.opts.Cell)
		stopped = slices.Clone(c.streams.membersFold.StoppedHosts())
	})
	if !found || slices.Contains(list.Members, c.opts.Self) {
		return record.Envelope{}, false
	}
	for _, s := range stopped {
		if !allStopped(list.Members, s.Members) {
			continue
		}
		e, err := record.New(record.KindMembers, list.Revision.Offset, string(c.opts.Self.Host), record.MemberList{
			Cell: c.opts.Cell, DataCentre: c.opts.DataCentre, Version: list.Version + 1,
			Members: []topology.Member{c.opts.Self}, HostsStoppedID: s.Revision.ID,
		})
		// Equal records have the same id, so readers ignore a repeated append.
		e.ID = uuid.NewSHA1(uuid.NameSpaceOID, e.Body).String()
		return e, err == nil
	}
	return record.Envelope{}, false
}

// declareSelfStopped appends a hosts-stopped record for this incarnation, the only
// member of its cell's list. No member remains that could pledge for a new list,
// so without the record the next host of the cell would have to wait for an
// operator. This host must not lead any more.
func (c *Controller) declareSelfStopped(ctx context.Context) {
	var base int64
	c.streams.members.View(func(*state.Fold) { base = c.streams.membersFold.StoppedRevision().Offset })
	e, err := record.New(record.KindHostsStopped, base, string(c.opts.Self.Host), record.HostsStopped{
		Members: []topology.Member{c.opts.Self}, Reason: "graceful stop of the last member of cell " + string(c.opts.Cell),
	})
	if err != nil {
		c.log.Error("cannot encode the hosts-stopped record of this host", err)
		return
	}
	if _, err := logstream.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e); err != nil {
		c.log.Error("cannot append the hosts-stopped record of this host; an operator must state that it has stopped before the next host can join", err)
	}
}

// allStopped reports whether all members have stopped. While one of them runs, the
// members replace the list themselves.
func allStopped(members, stopped []topology.Member) bool {
	return !slices.ContainsFunc(members, func(m topology.Member) bool { return !slices.Contains(stopped, m) })
}
