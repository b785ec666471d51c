package execute

import (
	"context"
	"io"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/admission"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// Response bodies up to maxBufferedBytes are read completely before they are
	// forwarded, so that a slow caller does not occupy a slot of the server.
	maxBufferedBytes = 64 << 10
	// abandonedSlotDelay is how long a slot stays in use after its exchange was
	// abandoned. The server sees that the connection was closed only after the
	// transit time (up to 3 ms) and a short processing delay.
	abandonedSlotDelay = 10 * time.Millisecond
	// probeTimeout limits the check whether a server still accepts connections.
	probeTimeout = time.Second
)

// activeExchange is one exchange with a server and the resources that it uses.
type activeExchange struct {
	s       *Service
	target  exchange.Target
	slot    *admission.Slot
	request *inFlightRequest
	cancel  context.CancelFunc // releases the context that ends the exchange at target.NotAfter; nil without NotAfter
}

func (s *Service) send(ctx context.Context, c *call, t exchange.Target, slot *admission.Slot, permit *dedup.Permit) (*request.Response, error) {
	ex := &activeExchange{s: s, target: t, slot: slot, request: s.inFlight.add(t, c.digest)}
	if !t.NotAfter.IsZero() {
		// A server without fence checks must not run the request after its
		// shard may have moved.
		ctx, ex.cancel = context.WithDeadline(ctx, t.NotAfter)
	}
	queued := time.Since(c.received)
	resp, err := s.opts.Servers.Do(ctx, t, c.req)
	if err != nil {
		ex.release(ctx, err)
		finishPermit(permit, dedup.Outcome{Verdict: verdict.From(err).Verdict})
		return nil, err
	}
	resp.Timing.Queue = queued
	outcome := dedup.Outcome{
		Verdict: verdict.Ran, Status: resp.Status, ContentType: resp.ContentType, Server: resp.Server, Fence: resp.Fence,
	}
	buf, err := readBuffered(resp)
	switch {
	case err != nil:
		ex.release(ctx, err)
		finishPermit(permit, outcome)
		return nil, err
	case len(buf) > maxBufferedBytes:
		finishPermit(permit, outcome)
		resp.Body = &responseBody{ex: ex, ctx: ctx, buffered: buf, rest: resp.Body}
		return resp, nil
	}
	ex.release(ctx, nil)
	outcome.Body, outcome.BodyStored = buf, true
	finishPermit(permit, outcome)
	return resp.WithBody(buf), nil
}

// readBuffered reads the body up to one byte more than maxBufferedBytes.
func readBuffered(resp *request.Response) ([]byte, error) {
	if resp.Size >= 0 && resp.Size <= maxBufferedBytes {
		buf := make([]byte, resp.Size)
		if _, err := io.ReadFull(resp.Body, buf); err != nil {
			_ = resp.Body.Close()
			return nil, err
		}
		// The connection can be reused only after the body was read to EOF.
		if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
			_ = resp.Body.Close()
		}
		return buf, nil
	}
	buf, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		_ = resp.Body.Close()
	}
	return buf, err
}

// release frees the slot and stops tracking the request. If the connection to
// the server was lost, it also checks whether the server still accepts
// connections.
func (ex *activeExchange) release(ctx context.Context, err error) {
	if ex.cancel != nil {
		defer ex.cancel()
	}
	lost := err != nil && verdict.From(err).ConnectionLost
	ex.s.inFlight.remove(ex.request, lost)
	switch {
	case lost:
		ex.slot.Release(false)
		go ex.s.probeServer(context.WithoutCancel(ctx), ex.target)
	case err != nil && ctx.Err() != nil:
		ex.slot.ReleaseAfter(abandonedSlotDelay)
	default:
		ex.slot.Release(err == nil)
	}
}

// probeServer records a server crash if the server refuses connections.
func (s *Service) probeServer(ctx context.Context, t exchange.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.opts.Servers.Refused(ctx, t) {
		s.ServerDied(t.Server)
	}
}

// responseBody streams a response that is larger than maxBufferedBytes. The slot
// stays in use until the body was read or closed.
type responseBody struct {
	ex       *activeExchange
	ctx      context.Context
	buffered []byte
	rest     io.ReadCloser
	ended    bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	n, err := b.rest.Read(p)
	switch {
	case err == io.EOF:
		b.finish(nil)
	case err != nil:
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.rest.Close()
	b.finish(verdict.New(verdict.CodeCancelled, verdict.Ran, "response body was closed before EOF"))
	return err
}

func (b *responseBody) finish(err error) {
	if !b.ended {
		b.ended = true
		b.ex.release(b.ctx, err)
	}
}
