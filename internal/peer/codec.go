// Package peer implements the gRPC interface between entry hosts: it forwards
// requests to the leader host and carries the control messages of leader election.
package peer

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

func encodeRequest(req *request.Request, timeout time.Duration, body []byte) *peerpb.Request {
	return &peerpb.Request{
		Service: string(req.Service), Customer: string(req.Customer), Key: req.Key,
		Class: string(req.Class), RequestId: req.ID, Repeatable: req.Repeatable,
		TimeoutUs: timeout.Microseconds(), Method: req.Method, Path: req.Path,
		ContentType: req.ContentType, Body: body,
	}
}

func decodeRequest(p *peerpb.Request, body []byte) *request.Request {
	req := &request.Request{
		Service: topology.Service(p.Service), Customer: topology.Customer(p.Customer), Key: p.Key,
		Class: request.Class(p.Class), ID: p.RequestId, Repeatable: p.Repeatable,
		Method: p.Method, Path: p.Path, ContentType: p.ContentType,
	}
	req.SetBody(body)
	return req
}

func encodeError(err error) *peerpb.Response {
	e := verdict.From(err)
	return &peerpb.Response{
		Verdict: uint32(e.Verdict), Code: string(e.Code), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(), LeaderHint: e.Leader,
	}
}

func encodeResponse(resp *request.Response, body []byte) *peerpb.Response {
	return &peerpb.Response{
		Verdict: uint32(verdict.Ran), Status: int32(resp.Status), ContentType: resp.ContentType, Body: body,
		Server: string(resp.Server), Fence: resp.Fence.String(),
		QueueUs: resp.Timing.Queue.Microseconds(), ServerUs: resp.Timing.Server.Microseconds(),
	}
}

// decodeVerdict decodes a verdict from the wire. An unknown number is
// decoded as MayHaveRun, because it does not show whether the request ran.
func decodeVerdict(n uint32) verdict.Verdict {
	switch n {
	case uint32(verdict.NotRun):
		return verdict.NotRun
	case uint32(verdict.Ran):
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// decodeResponse decodes the result of a forwarded request: a response without
// its body, or the error that the leader host reported.
func decodeResponse(p *peerpb.Response) (*request.Response, error) {
	v := decodeVerdict(p.Verdict)
	if p.Code == "" && v != verdict.Ran {
		return nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "leader host sent neither a response nor an error")
	}
	if p.Code != "" {
		e := verdict.New(verdict.Code(p.Code), v, "%s", p.Message)
		e.RetryAfter, e.Leader = time.Duration(p.RetryAfterMs)*time.Millisecond, p.LeaderHint
		return nil, e
	}
	fence, err := topology.ParseFence(p.Fence)
	if err != nil {
		return nil, verdict.New(verdict.CodeInternal, verdict.Ran, "leader host sent an invalid fence: %v", err)
	}
	return &request.Response{
		Status: int(p.Status), ContentType: p.ContentType, Server: topology.ServerID(p.Server), Fence: fence,
		Timing: request.Timing{
			Queue:  time.Duration(p.QueueUs) * time.Microsecond,
			Server: time.Duration(p.ServerUs) * time.Microsecond,
		},
	}, nil
}
