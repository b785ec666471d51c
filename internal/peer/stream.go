package peer

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// DoStream implements peerpb.PeerServer. It executes a forwarded request whose
// body arrives in chunks, and only after the last chunk has arrived.
func (s *Server) DoStream(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk]) error {
	head, body, err := receiveRequest(st)
	if err != nil {
		return st.Send(&peerpb.ResponseChunk{Head: encodeError(err), Last: true})
	}
	ctx, cancel := withRequestDeadline(st.Context(), head)
	defer cancel()
	resp, err := s.doer.Do(ctx, decodeRequest(head, body))
	if err != nil {
		return st.Send(&peerpb.ResponseChunk{Head: encodeError(err), Last: true})
	}
	defer func() { _ = resp.Body.Close() }()
	if err := st.Send(&peerpb.ResponseChunk{Head: encodeResponse(resp, nil)}); err != nil {
		return err
	}
	return sendBody(st, resp)
}

// receiveRequest reads the chunks of a request and returns its head and its
// complete body.
func receiveRequest(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk]) (*peerpb.Request, []byte, error) {
	var head *peerpb.Request
	var body []byte
	for {
		c, err := st.Recv()
		if err != nil {
			return nil, nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "forwarded request is incomplete: %v", err)
		}
		if head == nil {
			if head = c.Head; head == nil {
				return nil, nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "forwarded request has no head")
			}
		}
		if body = append(body, c.Body...); len(body) > request.MaxBodyBytes {
			return nil, nil, verdict.New(verdict.CodeTooLarge, verdict.NotRun, "request body exceeds %d bytes", request.MaxBodyBytes)
		}
		if c.Last {
			return head, body, nil
		}
	}
}

func sendBody(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk], resp *request.Response) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(resp.Body, buf)
		c := &peerpb.ResponseChunk{Body: buf[:n]}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			c.Last = true
		case err != nil:
			c.Last, c.Code = true, string(verdict.From(bodyError(resp, err)).Code)
		}
		// Send serialises the chunk before it returns, so the buffer can be reused.
		if err := st.Send(c); err != nil || c.Last {
			return err
		}
	}
}

// doStream sends a request in chunks. The body of the response reads the chunks
// that the host sends.
func (c *Client) doStream(ctx context.Context, head *peerpb.Request, body []byte) (*request.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	st, err := c.rpc.DoStream(ctx)
	if err != nil {
		cancel()
		return nil, callError(err, verdict.MayHaveRun)
	}
	if err := sendRequest(st, head, body); err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, callError(err, verdict.MayHaveRun)
	}
	// If Send returned io.EOF, the host has ended the call, and Recv returns its
	// response or its error.
	first, err := st.Recv()
	if err != nil {
		cancel()
		return nil, callError(err, verdict.MayHaveRun)
	}
	if first.Head == nil {
		cancel()
		return nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "leader host sent a response without a head")
	}
	resp, err := decodeResponse(first.Head)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body, resp.Size = &chunkReader{st: st, cancel: cancel, chunk: first.Body, last: first.Last}, -1
	return resp, nil
}

func sendRequest(st grpc.BidiStreamingClient[peerpb.RequestChunk, peerpb.ResponseChunk], head *peerpb.Request, body []byte) error {
	for first := true; first || len(body) > 0; first = false {
		n := min(len(body), chunkBytes)
		c := &peerpb.RequestChunk{Body: body[:n], Last: n == len(body)}
		if first {
			c.Head = head
		}
		if err := st.Send(c); err != nil {
			return err
		}
		body = body[n:]
	}
	return st.CloseSend()
}

// chunkReader reads the body of a streamed response. The body is complete only
// after the chunk that is marked as the last; if the stream ends without it, the
// response is truncated.
type chunkReader struct {
	st     grpc.BidiStreamingClient[peerpb.RequestChunk, peerpb.ResponseChunk]
	cancel context.CancelFunc
	chunk  []byte
	last   bool
	err    error
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	for len(r.chunk) == 0 {
		if r.err == nil && r.last {
			r.err = io.EOF
			r.cancel()
		}
		if r.err != nil {
			return 0, r.err
		}
		r.receiveChunk()
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

func (r *chunkReader) receiveChunk() {
	c, err := r.st.Recv()
	switch {
	case err != nil:
		r.err = verdict.New(verdict.CodeBadResponse, verdict.Ran, "response of the leader host is incomplete: %v", err)
		r.cancel()
	case c.Code != "":
		r.err = verdict.New(verdict.Code(c.Code), verdict.Ran, "leader host could not read the rest of the response")
		r.cancel()
	default:
		r.chunk, r.last = c.Body, c.Last
	}
}

// Close implements io.Closer. It cancels the call if the body was not read to its
// end.
func (r *chunkReader) Close() error {
	r.cancel()
	return nil
}
