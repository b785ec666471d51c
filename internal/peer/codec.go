// Package peer is the gRPC interface between entry hosts.
package peer

import (
	"bytes"
	"io"
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

func decodeRequest(p *peerpb.Request) *request.Request {
	req := &request.Request{
		Service: topology.Service(p.Service), Customer: topology.Customer(p.Customer), Key: p.Key,
		Class: request.Class(p.Class), ID: p.RequestId, Repeatable: p.Repeatable,
		Method: p.Method, Path: p.Path, ContentType: p.ContentType,
	}
	req.SetBody(p.Body)
	return req
}

func encodeError(err error) *peerpb.Response {
	e := verdict.From(err)
	return &peerpb.Response{
		Verdict: uint32(e.Verdict), Code: string(e.Code), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func encodeAnswer(ans *request.Answer, body []byte) *peerpb.Response {
	return &peerpb.Response{
		Verdict: uint32(verdict.Ran), Status: int32(ans.Status), ContentType: ans.ContentType, Body: body,
		Server: string(ans.Server), Fence: ans.Fence.String(),
		QueueUs: ans.Timing.Queue.Microseconds(), ServerUs: ans.Timing.Server.Microseconds(),
	}
}

func decodeResponse(p *peerpb.Response) (*request.Answer, error) {
	if p.Code != "" || verdict.Verdict(p.Verdict) != verdict.Ran {
		return nil, verdict.New(verdict.Code(p.Code), verdict.Verdict(p.Verdict), "%s", p.Message).
			WithRetry(time.Duration(p.RetryAfterMs) * time.Millisecond)
	}
	fence, err := topology.ParseFence(p.Fence)
	if err != nil {
		return nil, verdict.New(verdict.CodeInternal, verdict.Ran, "peer sent %v", err)
	}
	return &request.Answer{
		Status: int(p.Status), ContentType: p.ContentType,
		Body: io.NopCloser(bytes.NewReader(p.Body)), Size: int64(len(p.Body)),
		Server: topology.ServerID(p.Server), Fence: fence,
		Timing: request.Timing{
			Queue:  time.Duration(p.QueueUs) * time.Microsecond,
			Server: time.Duration(p.ServerUs) * time.Microsecond,
		},
	}, nil
}
