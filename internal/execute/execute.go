// Package execute runs requests at the host that leads their partition: it
// checks the quarantine and the deduplication table, waits for a slot of the
// server that owns the key, and sends the request at most once.
package execute

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/admission"
	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Owners looks up the server that currently owns the key of a request. Owner
// returns a *verdict.Error with verdict NotRun if this host does not lead the
// partition or no server has a valid grant. It is called again directly before
// each send, so it must be cheap and must check the leadership each time.
type Owners interface {
	Owner(req *request.Request) (exchange.Target, error)
}

// Options configure a Service. Owners and Servers are required.
type Options struct {
	Owners  Owners
	Servers *exchange.Client
	// Clock measures leases; the default is clock.BootTime.
	Clock clock.Clock
	// Wall is the wall clock to which the creation times of request ids are
	// compared; the default is time.Now.
	Wall func() time.Time
	// Weight returns the weight of a customer in fair queueing.
	Weight func(topology.Customer) float64
	// PublishCrash appends a crash record to the log. It must not block.
	PublishCrash func(quarantine.Crash)
}

// Service executes requests. It implements request.Doer. mu is never held while
// a lock of a queue, a deduplication table or inFlight is acquired.
type Service struct {
	opts          Options
	crashes       *quarantine.Table
	inFlight      *inFlightTracker
	awaitingOwner atomic.Int64 // requests that wait until their key has an owner

	mu          sync.Mutex
	queues      map[topology.ServerID]*admission.Queue
	dedupTables map[topology.PartitionID]*epochTable
}

// New returns a Service.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = clock.BootTime{}
	}
	if opts.Wall == nil {
		opts.Wall = time.Now
	}
	return &Service{
		opts: opts, crashes: quarantine.New(opts.Clock, opts.Wall, opts.PublishCrash), inFlight: newInFlightTracker(opts.Clock),
		queues: make(map[topology.ServerID]*admission.Queue), dedupTables: make(map[topology.PartitionID]*epochTable),
	}
}

// call is one request that the Service processes.
type call struct {
	req      *request.Request
	id       request.ID // zero for a repeatable request
	digest   request.Digest
	received time.Time
}

// Do implements request.Doer.
func (s *Service) Do(ctx context.Context, req *request.Request) (*request.Response, error) {
	c := &call{req: req, received: time.Now()}
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	c.digest = req.Digest(body)
	if req.Repeatable {
		resp, _, err := s.admitAndSend(ctx, c, nil, nil)
		return resp, err
	}
	if c.id, err = request.ParseID(req.ID); err != nil {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "%v", err)
	}
	if err := s.awaitCreationTime(ctx, c.id); err != nil {
		return nil, err
	}
	return s.runAtMostOnce(ctx, c)
}

// awaitCreationTime waits until the creation time of an id has passed. Without
// the wait, this host could run an id from the future and then lose the
// leadership. The next leader refuses only ids that were created before its start
// plus request.MaxIDAhead, so it would run the id again if a difference between
// the wall clocks makes the id later than that.
func (s *Service) awaitCreationTime(ctx context.Context, id request.ID) error {
	ahead := id.Created.Sub(s.opts.Wall())
	if ahead <= 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) <= ahead {
		return verdict.New(verdict.CodeClock, verdict.NotRun, "creation time of the request id is %s in the future", ahead.Round(time.Millisecond)).WithRetry(ahead)
	}
	if !clock.Sleep(ctx, ahead) {
		return contextError(ctx, verdict.NotRun)
	}
	return nil
}

// runAtMostOnce runs a request unless its id is in the deduplication table. It
// starts over if the leadership, and with it the table, changed before the
// request was sent.
func (s *Service) runAtMostOnce(ctx context.Context, c *call) (*request.Response, error) {
	for {
		target, err := s.awaitOwner(ctx, c.req)
		if err != nil {
			return nil, err
		}
		table := s.dedupTable(target)
		if table == nil {
			return nil, notLeaderError()
		}
		claim, verr := table.Claim(c.req, c.id, c.digest)
		switch {
		case verr != nil:
			return nil, verr
		case claim.Outcome != nil:
			return replay(claim.Outcome)
		case claim.Wait != nil:
			select {
			case <-claim.Wait:
			case <-ctx.Done():
				return nil, verdict.New(verdict.CodeDuplicate, verdict.MayHaveRun, "the first request with this id is still in flight")
			}
		default:
			resp, restart, err := s.admitAndSend(ctx, c, table, claim.Permit)
			if !restart {
				return resp, err
			}
		}
	}
}

// replay returns the stored outcome of the first run to a repeated request.
func replay(o *dedup.Outcome) (*request.Response, error) {
	if !o.BodyStored {
		return nil, verdict.New(verdict.CodeDuplicate, o.Verdict, "a request with this id was sent before; its response is not stored")
	}
	return (&request.Response{Status: o.Status, ContentType: o.ContentType, Server: o.Server, Fence: o.Fence}).WithBody(o.Body), nil
}

// admitAndSend waits for a slot and sends the request. restart is true if the
// request was not sent because another deduplication table is now in use.
func (s *Service) admitAndSend(ctx context.Context, c *call, table *dedup.Table, permit *dedup.Permit) (resp *request.Response, restart bool, err error) {
	// The quarantine is checked after the deduplication table, because the
	// verdict NotRun would be wrong for an id that may have run.
	if err := s.checkQuarantine(c); err != nil {
		finishPermit(permit, dedup.Outcome{Verdict: verdict.NotRun})
		return nil, false, err
	}
	slot, target, restart, err := s.acquireSlot(ctx, c, table)
	if err == nil && !restart && permit != nil {
		if verr := permit.MarkSent(); verr != nil {
			slot.Release(false)
			err = verr
		}
	}
	if err != nil || restart {
		finishPermit(permit, dedup.Outcome{Verdict: verdict.NotRun})
		return nil, restart, err
	}
	resp, err = s.send(ctx, c, target, slot, permit)
	return resp, false, err
}

// acquireSlot waits for a slot at the server that owns the key. After the wait,
// directly before the send, it checks the owner, the leadership and the
// quarantine again. restart is true if the deduplication table has changed.
func (s *Service) acquireSlot(ctx context.Context, c *call, table *dedup.Table) (slot *admission.Slot, t exchange.Target, restart bool, err error) {
	flow := admission.Flow{Customer: c.req.Customer, Class: c.req.Class}
	for {
		if t, err = s.awaitOwner(ctx, c.req); err != nil {
			return nil, t, false, err
		}
		queued := t
		slot, verr := s.queue(t).AcquireWhile(ctx, flow, func() bool {
			now, err := s.opts.Owners.Owner(c.req)
			return err == nil && now.Server == queued.Server
		})
		switch {
		case verr == nil:
		case verr.Code == verdict.CodeNoOwner:
			continue // the shard is being moved; awaitOwner waits for the new owner
		default:
			return nil, t, false, verr
		}
		if err := s.checkQuarantine(c); err != nil {
			slot.Release(false)
			return nil, t, false, err
		}
		now, err := s.opts.Owners.Owner(c.req)
		if err == nil && now.Server == t.Server {
			if table != nil && s.dedupTable(now) != table {
				slot.Release(false)
				return nil, now, true, nil
			}
			return slot, now, false, nil
		}
		// The shard moved during the wait, or the leadership ended. In the
		// latter case the next call of awaitOwner returns an error.
		slot.Release(false)
	}
}

func (s *Service) checkQuarantine(c *call) error {
	if left := s.crashes.BlockedFor(c.digest); left > 0 {
		return verdict.New(verdict.CodeQuarantined, verdict.NotRun, "quarantined after %d server crashes while this request was in flight", quarantine.CrashLimit).WithRetry(left)
	}
	return nil
}

func (s *Service) queue(t exchange.Target) *admission.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[t.Server]
	if !ok {
		q = admission.NewQueue(admission.Options{Clock: s.opts.Clock, Slots: t.Slots, Weight: s.opts.Weight})
		s.queues[t.Server] = q
	}
	return q
}

func finishPermit(t *dedup.Permit, o dedup.Outcome) {
	if t != nil {
		t.Finish(o)
	}
}
