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
	// A shard has no owner for about 5 ms during a planned move and for up to
	// 1.3 s after the loss of its server.
	minOwnerBackoff = 2 * time.Millisecond
	maxOwnerBackoff = 50 * time.Millisecond
	// maxAwaitingOwner limits the requests that wait for an owner. With bodies of
	// 64 KiB they use 256 MiB.
	maxAwaitingOwner = 4096
)

// awaitOwner returns the owner of the key. While the shard has no owner, it
// retries until the context ends.
func (s *Service) awaitOwner(ctx context.Context, req *request.Request) (exchange.Target, error) {
	t, err := s.lookUpOwner(req)
	if err == nil || verdict.From(err).Code != verdict.CodeNoOwner {
		return t, err
	}
	if s.awaitingOwner.Add(1) > maxAwaitingOwner {
		s.awaitingOwner.Add(-1)
		return t, verdict.New(verdict.CodeOverload, verdict.NotRun, "too many requests wait for an owner of their shard").WithRetry(time.Second)
	}
	defer s.awaitingOwner.Add(-1)
	for wait := minOwnerBackoff; ; wait = min(2*wait, maxOwnerBackoff) {
		if !clock.Sleep(ctx, wait/2+rand.N(wait)) {
			return t, err
		}
		t, err = s.lookUpOwner(req)
		if err == nil || verdict.From(err).Code != verdict.CodeNoOwner {
			return t, err
		}
	}
}

// lookUpOwner looks up the owner once. An error always has verdict NotRun, since
// nothing has been sent.
func (s *Service) lookUpOwner(req *request.Request) (exchange.Target, error) {
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

func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.CodeDeadline, v, "deadline passed at the leader host")
	}
	return verdict.New(verdict.CodeCancelled, v, "cancelled at the leader host")
}

func notLeaderError() *verdict.Error {
	return verdict.New(verdict.CodeNotLeader, verdict.NotRun, "this host no longer leads the partition")
}
