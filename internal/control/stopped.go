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

// replaceStopped proposes a list of this host alone if an operator stated that
// enough members of its cell's list run no longer. No member can pledge then,
// so that the usual way to join does not work.
func (c *Controller) replaceStopped(ctx context.Context) {
	e, ok := c.stoppedProposal()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := logstream.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e); err != nil {
		c.log.Error("List after stopped hosts is not accepted.", err)
		return
	}
	c.log.Info("List is replaced, because an operator stated that its members are stopped.")
}

func (c *Controller) stoppedProposal() (record.Envelope, bool) {
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
		// The same proposal has the same id, so that a repeat is a duplicate.
		e.ID = uuid.NewSHA1(uuid.NameSpaceOID, e.Body).String()
		return e, err == nil
	}
	return record.Envelope{}, false
}

// declareSelfStopped states that this incarnation, the only member of its list,
// runs no longer. Nobody is left who could consent to a new list, so
// that the next host of the cell would wait for an operator. The host must have
// stopped to lead for good.
func (c *Controller) declareSelfStopped(ctx context.Context) {
	var base int64
	c.streams.members.View(func(*state.Fold) { base = c.streams.membersFold.StoppedRevision().Offset })
	e, err := record.New(record.KindHostsStopped, base, string(c.opts.Self.Host), record.HostsStopped{
		Members: []topology.Member{c.opts.Self}, Reason: "graceful stop of the last member of cell " + string(c.opts.Cell),
	})
	if err != nil {
		c.log.Error("Own stop cannot be encoded.", err)
		return
	}
	if _, err := logstream.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e); err != nil {
		c.log.Error("Own stop cannot be recorded; the next host needs a hosts-stopped statement.", err)
	}
}

// allStopped requires every member: while one of them runs, the cell replaces
// its list by itself.
func allStopped(members, stopped []topology.Member) bool {
	return !slices.ContainsFunc(members, func(m topology.Member) bool { return !slices.Contains(stopped, m) })
}
