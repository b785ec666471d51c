package execute

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// A shard is without an owner for about 5 ms in a planned move and for up
	// to 1.3 s after the loss of its server.
	minHold = 2 * time.Millisecond
	maxHold = 50 * time.Millisecond
	// maxHeld bounds the requests that wait for an owner: with 64 KiB of body
	// each, they take 256 MiB.
	maxHeld = 4096
)

// owner returns the owner of the key. While the shard moves it waits until the
// deadline.
func (s *Service) owner(ctx context.Context, req *request.Request) (exchange.Target, error) {
	t, err := s.lookUp(req)
	if err == nil || verdict.From(err).Code != verdict.CodeNoOwner {
		return t, err
	}
	if s.held.Add(1) > maxHeld {
		s.held.Add(-1)
		return t, verdict.New(verdict.CodeOverload, verdict.NotRun, "too many requests wait for an owner").WithRetry(time.Second)
	}
	defer s.held.Add(-1)
	for wait := minHold; ; wait = min(2*wait, maxHold) {
		if !clock.Sleep(ctx, wait/2+rand.N(wait)) {
			return t, err
		}
		t, err = s.lookUp(req)
		if err == nil || verdict.From(err).Code != verdict.CodeNoOwner {
			return t, err
		}
	}
}

// lookUp asks for the owner once. Whatever the error, nothing has been sent.
func (s *Service) lookUp(req *request.Request) (exchange.Target, error) {
	t, err := s.opts.Owners.Owner(req)
	if err == nil {
		return t, nil
	}
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun {
		e = verdict.New(e.Code, verdict.NotRun, "%s", e.Message)
	}
	return t, e
}

func ended(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.CodeDeadline, v, "deadline passed at the leader host")
	}
	return verdict.New(verdict.CodeCancelled, v, "cancelled at the leader host")
}

func notLeader() *verdict.Error {
	return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "this host no longer leads the partition")
}
