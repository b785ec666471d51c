package control

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/follow"
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
	if _, err := follow.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e); err != nil {
		c.log.Error("List after stopped hosts is not accepted.", err)
		return
	}
	c.log.Info("List is replaced, because an operator stated that its members are stopped.")
}

func (c *Controller) stoppedProposal() (record.Envelope, bool) {
	var list state.List
	var found bool
	var stopped []state.Stopped
	c.streams.members.View(func(*state.Fold) {
		list, found = c.streams.membersFold.List(c.opts.Cell)
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
			Members: []topology.Member{c.opts.Self}, Stopped: s.Revision.ID,
		})
		// The same proposal has the same id, so that a repeat is a duplicate.
		e.ID = uuid.NewSHA1(uuid.NameSpaceOID, e.Body).String()
		return e, err == nil
	}
	return record.Envelope{}, false
}

// allStopped requires every member: while one of them runs, the cell replaces
// its list by itself.
func allStopped(members, stopped []topology.Member) bool {
	return !slices.ContainsFunc(members, func(m topology.Member) bool { return !slices.Contains(stopped, m) })
}
