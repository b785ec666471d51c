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
	// Answers up to this size are read completely before they are passed on,
	// so that a slow caller does not hold a slot of the server.
	maxBuffered = 64 << 10
	// abandonHold is the time for which a slot stays taken after its exchange
	// was abandoned: a server needs a transit time (up to 3 ms) and a moment to
	// notice that the connection was closed.
	abandonHold = 10 * time.Millisecond
	// probeTimeout bounds the check whether a server still accepts connections.
	probeTimeout = time.Second
)

// sending is one request at its server.
type sending struct {
	s      *Service
	target exchange.Target
	slot   *admission.Slot
	flight *flight
	cancel context.CancelFunc // ends the exchange at its not-after time
}

func (s *Service) send(ctx context.Context, c *call, t exchange.Target, slot *admission.Slot, ticket *dedup.Permit) (*request.Answer, error) {
	snd := &sending{s: s, target: t, slot: slot, flight: s.flights.start(t, c.digest)}
	if !t.NotAfter.IsZero() {
		// A server without fence checks must not run the request after its
		// shard may have moved.
		ctx, snd.cancel = context.WithDeadline(ctx, t.NotAfter)
	}
	queued := time.Since(c.start)
	ans, err := s.opts.Servers.Do(ctx, t, c.req)
	if err != nil {
		snd.end(ctx, err)
		finish(ticket, dedup.Outcome{Verdict: verdict.From(err).Verdict})
		return nil, err
	}
	ans.Timing.Queue = queued
	outcome := dedup.Outcome{
		Verdict: verdict.Ran, Status: ans.Status, ContentType: ans.ContentType, Server: ans.Server, Fence: ans.Fence,
	}
	buf, err := readStart(ans)
	switch {
	case err != nil:
		snd.end(ctx, err)
		finish(ticket, outcome)
		return nil, err
	case len(buf) > maxBuffered:
		finish(ticket, outcome)
		ans.Body = &stream{snd: snd, ctx: ctx, head: buf, rest: ans.Body}
		return ans, nil
	}
	snd.end(ctx, nil)
	outcome.Body, outcome.BodyStored = buf, true
	finish(ticket, outcome)
	return ans.WithBody(buf), nil
}

// readStart reads the answer up to one byte beyond maxBuffered.
func readStart(ans *request.Answer) ([]byte, error) {
	if ans.Size >= 0 && ans.Size <= maxBuffered {
		buf := make([]byte, ans.Size)
		if _, err := io.ReadFull(ans.Body, buf); err != nil {
			_ = ans.Body.Close()
			return nil, err
		}
		// Reading to the end frees the connection for the next exchange.
		if _, err := ans.Body.Read(make([]byte, 1)); err != io.EOF {
			_ = ans.Body.Close()
		}
		return buf, nil
	}
	buf, err := io.ReadAll(io.LimitReader(ans.Body, maxBuffered+1))
	if err != nil {
		_ = ans.Body.Close()
	}
	return buf, err
}

// end gives the slot back and records whether the server may have died.
func (snd *sending) end(ctx context.Context, err error) {
	if snd.cancel != nil {
		defer snd.cancel()
	}
	lost := err != nil && verdict.From(err).ServerLost
	snd.s.flights.end(snd.flight, lost)
	switch {
	case lost:
		snd.slot.Release(false)
		go snd.s.probe(context.WithoutCancel(ctx), snd.target)
	case err != nil && ctx.Err() != nil:
		snd.slot.ReleaseAfter(abandonHold)
	default:
		snd.slot.Release(err == nil)
	}
}

// probe counts a crash if the server refuses connections.
func (s *Service) probe(ctx context.Context, t exchange.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.opts.Servers.Refused(ctx, t) {
		s.ServerDied(t.Server)
	}
}

// stream is the body of a large answer.
type stream struct {
	snd  *sending
	ctx  context.Context
	head []byte
	rest io.ReadCloser
	done bool
}

// Read implements io.Reader.
func (b *stream) Read(p []byte) (int, error) {
	if len(b.head) > 0 {
		n := copy(p, b.head)
		b.head = b.head[n:]
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
func (b *stream) Close() error {
	err := b.rest.Close()
	b.finish(verdict.New(verdict.CodeCancelled, verdict.Ran, "answer was not read to its end"))
	return err
}

func (b *stream) finish(err error) {
	if !b.done {
		b.done = true
		b.snd.end(b.ctx, err)
	}
}
