package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// HandOver is the state of a partition that a leader transfers to the next
// leader.
type HandOver struct {
	Partition topology.PartitionID
	// Epoch identifies the leadership that ends.
	Epoch   topology.Fence
	IDs     dedup.HandOver
	Crashes []quarantine.Crash
}

// Control handles the control messages of other entry hosts.
type Control interface {
	// RecordAddress records the peer address that another host sent with a control
	// message. It is newer than the address in the platform's host list, which
	// lags behind.
	RecordAddress(host topology.HostID, address string)
	Support(req election.SupportRequest) election.SupportReply
	Pledge(req election.PledgeRequest) election.PledgeReply
	// HandOver returns false if the receiver is not the next leader.
	HandOver(h HandOver) bool
}

// Support implements peerpb.PeerServer.
func (s *Server) Support(_ context.Context, p *peerpb.SupportRequest) (*peerpb.SupportResponse, error) {
	s.control.RecordAddress(topology.HostID(p.Host), p.Address)
	req := election.SupportRequest{
		Cell: topology.CellID(p.Cell), From: member(p.Host, p.Incarnation), ListVersion: p.List, Mode: election.Mode(p.Mode),
	}
	for _, t := range p.Terms {
		req.Terms = append(req.Terms, election.TermRequest{Partition: int(t.PartitionIndex), Term: t.Term, Release: t.Release, Unused: t.Unused})
	}
	reply := s.control.Support(req)
	resp := &peerpb.SupportResponse{
		Host: string(reply.From.Host), Incarnation: uint64(reply.From.Incarnation), List: reply.ListVersion, Mode: uint32(reply.Mode), LogAgeUs: -1,
	}
	if reply.LogAge >= 0 {
		resp.LogAgeUs = ceilMicros(reply.LogAge)
	}
	for _, t := range reply.Terms {
		resp.Terms = append(resp.Terms, &peerpb.TermReply{
			PartitionIndex: uint32(t.Partition), Term: t.Term, Granted: t.Granted, SupportedTerm: t.SupportedTerm,
			ForUs: t.Remaining.Microseconds(), EarlierUs: ceilMicros(t.ReleasedRemaining),
		})
	}
	return resp, nil
}

// ceilMicros converts d to microseconds and rounds up, because neither the age
// of a log read nor the remaining time of a released promise may be understated.
func ceilMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Pledge implements peerpb.PeerServer.
func (s *Server) Pledge(_ context.Context, p *peerpb.PledgeRequest) (*peerpb.PledgeResponse, error) {
	s.control.RecordAddress(topology.HostID(p.Host), p.Address)
	reply := s.control.Pledge(election.PledgeRequest{Cell: topology.CellID(p.Cell), From: member(p.Host, p.Incarnation), ListVersion: p.List})
	return &peerpb.PledgeResponse{
		Pledged: reply.Pledged, Host: string(reply.Pledge.Member.Host), Incarnation: uint64(reply.Pledge.Member.Incarnation),
		List: reply.Pledge.ListVersion, Mode: uint32(reply.Pledge.Mode),
	}, nil
}

// HandOver implements peerpb.PeerServer.
func (s *Server) HandOver(_ context.Context, p *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	h, err := decodeHandOver(p)
	if err != nil {
		return &peerpb.HandOverResponse{}, nil //nolint:nilerr // a malformed handover is reported as not accepted
	}
	return &peerpb.HandOverResponse{Accepted: s.control.HandOver(h)}, nil
}

// Support requests, renews or releases the support of the host for leader terms.
func (c *Client) Support(ctx context.Context, req election.SupportRequest) (election.SupportReply, error) {
	p := &peerpb.SupportRequest{
		Cell: string(req.Cell), Host: string(req.From.Host), Incarnation: uint64(req.From.Incarnation), List: req.ListVersion, Mode: uint32(req.Mode),
		Address: c.selfAddress,
	}
	for _, t := range req.Terms {
		p.Terms = append(p.Terms, &peerpb.TermRequest{PartitionIndex: uint32(t.Partition), Term: t.Term, Release: t.Release, Unused: t.Unused})
	}
	resp, err := c.rpc.Support(ctx, p)
	if err != nil {
		return election.SupportReply{}, eris.Wrap(err, "support")
	}
	reply := election.SupportReply{From: member(resp.Host, resp.Incarnation), ListVersion: resp.List, Mode: election.Mode(resp.Mode), LogAge: -1}
	if resp.LogAgeUs >= 0 {
		reply.LogAge = time.Duration(resp.LogAgeUs) * time.Microsecond
	}
	for _, t := range resp.Terms {
		reply.Terms = append(reply.Terms, election.TermReply{
			Partition: int(t.PartitionIndex), Term: t.Term, Granted: t.Granted, SupportedTerm: t.SupportedTerm,
			Remaining: time.Duration(t.ForUs) * time.Microsecond, ReleasedRemaining: time.Duration(t.EarlierUs) * time.Microsecond,
		})
	}
	return reply, nil
}

// Pledge asks the host to consent to a new member list.
func (c *Client) Pledge(ctx context.Context, req election.PledgeRequest) (election.PledgeReply, error) {
	resp, err := c.rpc.Pledge(ctx, &peerpb.PledgeRequest{
		Cell: string(req.Cell), List: req.ListVersion, Host: string(req.From.Host), Incarnation: uint64(req.From.Incarnation),
		Address: c.selfAddress,
	})
	if err != nil {
		return election.PledgeReply{}, eris.Wrap(err, "pledge")
	}
	return election.PledgeReply{Pledged: resp.Pledged, Pledge: election.Pledge{
		ListVersion: resp.List, Member: member(resp.Host, resp.Incarnation), Mode: election.Mode(resp.Mode),
	}}, nil
}

// HandOver transfers the state of a partition to the host. It returns false if
// the host did not accept it.
func (c *Client) HandOver(ctx context.Context, h HandOver) (bool, error) {
	p, err := encodeHandOver(h)
	if err != nil {
		return false, err
	}
	resp, err := c.rpc.HandOver(ctx, p)
	if err != nil {
		return false, eris.Wrap(err, "hand-over")
	}
	return resp.Accepted, nil
}

func member(host string, incarnation uint64) topology.Member {
	return topology.Member{Host: topology.HostID(host), Incarnation: topology.Incarnation(incarnation)}
}

func encodeHandOver(h HandOver) (*peerpb.HandOverRequest, error) {
	crashes, err := json.Marshal(h.Crashes)
	if err != nil {
		return nil, eris.Wrap(err, "encode crash records")
	}
	p := &peerpb.HandOverRequest{
		Partition: string(h.Partition), Epoch: h.Epoch.String(), SinceUs: h.IDs.CompleteSince.UnixMicro(), Crashes: crashes,
	}
	for _, r := range h.IDs.Entries {
		o := r.Outcome
		p.Ids = append(p.Ids, &peerpb.IDRecord{
			Id: r.ID, Digest: r.Digest[:], Verdict: uint32(o.Verdict), Status: int32(o.Status), ContentType: o.ContentType,
			Server: string(o.Server), Fence: o.Fence.String(), Stored: o.BodyStored, Body: o.Body, AgeUs: r.Age.Microseconds(),
		})
	}
	return p, nil
}

func decodeHandOver(p *peerpb.HandOverRequest) (HandOver, error) {
	epoch, err := topology.ParseFence(p.Epoch)
	if err != nil {
		return HandOver{}, err
	}
	h := HandOver{
		Partition: topology.PartitionID(p.Partition), Epoch: epoch,
		IDs: dedup.HandOver{CompleteSince: time.UnixMicro(p.SinceUs), Entries: make([]dedup.HandOverEntry, 0, len(p.Ids))},
	}
	if err := json.Unmarshal(p.Crashes, &h.Crashes); err != nil {
		return HandOver{}, eris.Wrap(err, "decode crash records")
	}
	for _, r := range p.Ids {
		fence, err := topology.ParseFence(r.Fence)
		if err != nil {
			return HandOver{}, err
		}
		entry := dedup.HandOverEntry{ID: r.Id, Age: time.Duration(r.AgeUs) * time.Microsecond, Outcome: dedup.Outcome{
			Verdict: verdict.Verdict(r.Verdict), Status: int(r.Status), ContentType: r.ContentType,
			Server: topology.ServerID(r.Server), Fence: fence, BodyStored: r.Stored, Body: r.Body,
		}}
		if copy(entry.Digest[:], r.Digest) != len(entry.Digest) {
			return HandOver{}, eris.New("digest of a request id has the wrong length")
		}
		h.IDs.Entries = append(h.IDs.Entries, entry)
	}
	return h, nil
}
