package control

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// proposeTimeout limits the append of a member list. Afterwards the proposal is
// repeated with the same record id.
const proposeTimeout = 3 * time.Second

// Support implements peer.Control. It handles a support request of another
// member of the cell.
func (c *Controller) Support(req election.SupportRequest) (reply election.SupportReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.HandleSupport(req, c.clock.Now())
}

// Pledge implements peer.Control. It handles a request of another host for this
// member's pledge.
func (c *Controller) Pledge(req election.PledgeRequest) election.PledgeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.HandlePledge(req, c.clock.Now())
}

// sendElectionMessages starts the actions that an election event at sentAt
// returned. It does not wait for them.
func (c *Controller) sendElectionMessages(ctx context.Context, a election.Actions, sentAt time.Duration) {
	for _, m := range a.Support {
		go c.sendSupport(ctx, m, sentAt)
	}
	for _, m := range a.Pledge {
		go c.sendPledge(ctx, m)
	}
	if a.Proposal != nil {
		go c.propose(ctx, *a.Proposal)
	}
	if a.ProbeLog {
		go c.probeLog(ctx)
	}
}

func (c *Controller) peerOf(host topology.HostID) (*peer.Client, bool) {
	c.mu.RLock()
	address, ok := c.addresses[host]
	c.mu.RUnlock()
	if !ok {
		return nil, false
	}
	client, err := c.peers.Client(host, address)
	return client, err == nil
}

// callPeer sends one control message to a host and passes the reply to event. It
// ignores errors, because the message is repeated, and a member without replies
// counts as dead after election.Params.DeadAfter.
func callPeer[R any](ctx context.Context, c *Controller, to topology.Member, send func(context.Context, *peer.Client) (R, error), event func(reply R, now time.Duration) election.Actions) {
	client, ok := c.peerOf(to.Host)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := send(call, client)
	if err != nil {
		return
	}
	c.handleElectionEvent(ctx, func(now time.Duration) election.Actions { return event(reply, now) })
}

func (c *Controller) sendSupport(ctx context.Context, m election.OutgoingSupport, sentAt time.Duration) {
	callPeer(ctx, c, m.To, func(ctx context.Context, p *peer.Client) (election.SupportReply, error) {
		return p.Support(ctx, m.Request)
	}, func(reply election.SupportReply, now time.Duration) election.Actions {
		c.node.HandleSupportReply(reply, sentAt, now)
		return election.Actions{}
	})
}

func (c *Controller) sendPledge(ctx context.Context, m election.OutgoingPledge) {
	callPeer(ctx, c, m.To, func(ctx context.Context, p *peer.Client) (election.PledgeReply, error) {
		return p.Pledge(ctx, m.Request)
	}, c.node.HandlePledgeReply)
}

// propose appends a proposed member list to the log. It does nothing while
// another proposal of this host is being appended.
func (c *Controller) propose(ctx context.Context, p election.Proposal) {
	e, err := c.listRecord(p)
	if err != nil {
		c.log.Error("cannot encode the proposed member list", err)
		return
	}
	c.mu.Lock()
	if c.pendingProposalID != "" || !c.mayPropose() {
		c.mu.Unlock()
		return
	}
	c.pendingProposalID = e.ID
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	log := c.log.With("list", p.Version).With("reason", p.Reason)
	sentAt := c.clock.Now()
	_, err = logstream.NewWriter(c.opts.Log, c.streams.members).Append(ctx, e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingProposalID = ""
	if err != nil {
		log.Error("cannot append the proposed member list", err)
		return
	}
	c.node.AppendConfirmed(sentAt)
	log.Info("the proposed member list was accepted")
}

// mayPropose reports whether this release understands all records that may
// concern the cell. Otherwise the host must not propose a member list. c.mu must
// be held.
func (c *Controller) mayPropose() (ok bool) {
	// View acquires the lock of the stream, which is allowed while c.mu is held.
	c.streams.members.View(func(*state.Fold) { ok = c.streams.membersFold.MayPropose(c.opts.Cell) })
	return ok
}

// listRecord returns the log record of a proposal. Equal proposals of this host
// have the same record id, so that readers ignore a repeated append.
func (c *Controller) listRecord(p election.Proposal) (record.Envelope, error) {
	body := record.MemberList{Cell: p.Cell, DataCentre: c.opts.DataCentre, Version: p.Version, Members: p.Members}
	for _, pl := range p.Pledges {
		mode := record.ModeNormal
		if pl.Mode == election.ModeLost {
			mode = record.ModeLost
		}
		body.Pledges = append(body.Pledges, record.Pledge{
			ListVersion: pl.ListVersion, Host: pl.Member.Host, Incarnation: pl.Member.Incarnation, Mode: mode,
		})
	}
	e, err := record.New(record.KindMembers, p.Base, string(c.opts.Self.Host), body)
	if err != nil {
		return e, err
	}
	key, err := json.Marshal(struct {
		Self topology.Member
		Base int64
		Body json.RawMessage
	}{c.opts.Self, p.Base, e.Body})
	e.ID = uuid.NewSHA1(uuid.NameSpaceOID, key).String()
	return e, err
}

// probeLog appends a marker to the probe stream of the cell and reads it back.
// Success shows that the log accepts appends again, before members are asked for
// pledges.
func (c *Controller) probeLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	stream := "probe." + string(c.opts.Cell)
	marker := []byte(uuid.NewString())
	sentAt := c.clock.Now()
	offset, err := c.opts.Log.Append(ctx, stream, marker)
	if err != nil {
		return
	}
	b, err := c.opts.Log.Read(ctx, stream, offset, 1, 0)
	if err != nil || len(b.Records) == 0 || !bytes.Equal(b.Records[0].Data, marker) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.AppendConfirmed(sentAt)
}
