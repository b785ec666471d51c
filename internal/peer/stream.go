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

// DoStream implements the forward call for large bodies. The request is run
// only after its last chunk has arrived.
func (s *Server) DoStream(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk]) error {
	head, body, err := receive(st)
	if err != nil {
		return st.Send(&peerpb.ResponseChunk{Head: encodeError(err), Last: true})
	}
	ctx, cancel := bound(st.Context(), head)
	defer cancel()
	ans, err := s.doer.Do(ctx, decodeRequest(head, body))
	if err != nil {
		return st.Send(&peerpb.ResponseChunk{Head: encodeError(err), Last: true})
	}
	defer func() { _ = ans.Body.Close() }()
	if err := st.Send(&peerpb.ResponseChunk{Head: encodeAnswer(ans, nil)}); err != nil {
		return err
	}
	return sendBody(st, ans)
}

// receive collects the request.
func receive(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk]) (*peerpb.Request, []byte, error) {
	var head *peerpb.Request
	var body []byte
	for {
		c, err := st.Recv()
		if err != nil {
			return nil, nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request from another host is incomplete: %v", err)
		}
		if head == nil {
			if head = c.Head; head == nil {
				return nil, nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "request from another host has no head")
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

func sendBody(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk], ans *request.Answer) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(ans.Body, buf)
		c := &peerpb.ResponseChunk{Body: buf[:n]}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			c.Last = true
		case err != nil:
			c.Last, c.Code = true, string(verdict.From(broken(ans, err)).Code)
		}
		// Send serialises the chunk, so the buffer can be used again.
		if err := st.Send(c); err != nil || c.Last {
			return err
		}
	}
}

// stream sends a request in chunks and returns its answer as a stream.
func (c *Client) stream(ctx context.Context, head *peerpb.Request, body []byte) (*request.Answer, error) {
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
	// After io.EOF the host has ended the call, and Recv returns the reason.
	first, err := st.Recv()
	if err != nil {
		cancel()
		return nil, callError(err, verdict.MayHaveRun)
	}
	if first.Head == nil {
		cancel()
		return nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "leader host sent an answer without a head")
	}
	ans, err := decodeResponse(first.Head)
	if err != nil {
		cancel()
		return nil, err
	}
	ans.Body, ans.Size = &chunkReader{st: st, cancel: cancel, chunk: first.Body, last: first.Last}, -1
	return ans, nil
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

// chunkReader reads the body of a streamed answer. Only the chunk marked last
// ends it; any other end is a truncated answer.
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
		r.next()
	}
	n := copy(p, r.chunk)
	r.chunk = r.chunk[n:]
	return n, nil
}

func (r *chunkReader) next() {
	c, err := r.st.Recv()
	switch {
	case err != nil:
		r.err = verdict.New(verdict.CodeAnswerBroken, verdict.Ran, "answer from the leader host is incomplete: %v", err)
		r.cancel()
	case c.Code != "":
		r.err = verdict.New(verdict.Code(c.Code), verdict.Ran, "answer broke at the leader host")
		r.cancel()
	default:
		r.chunk, r.last = c.Body, c.Last
	}
}

// Close implements io.Closer. It ends the exchange if the answer was not read
// to its end.
func (r *chunkReader) Close() error {
	r.cancel()
	return nil
}
