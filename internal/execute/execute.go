// Package execute runs requests at the host that leads their partition: it
// checks the quarantine and the memory of request ids, waits for a slot of the
// owning server, and sends the request once.
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

// Owners tells which server owns the key of a request now. It returns a
// *verdict.Error with verdict NotRun if this host does not lead the partition
// or no server holds a valid grant. It is called again directly before each
// send, so it must be cheap and must check the leadership each time.
type Owners interface {
	Owner(req *request.Request) (exchange.Target, error)
}

// Options configure a Service. Owners and Servers are required.
type Options struct {
	Owners  Owners
	Servers *exchange.Client
	// Clock is the clock of leases; the default is clock.BootTime.
	Clock clock.Clock
	// Wall is the wall clock, which the dates of request ids refer to; the
	// default is time.Now.
	Wall func() time.Time
	// Share returns the weight of a customer in the queues.
	Share func(topology.Customer) float64
	// Publish appends a crash record to the log. It must not block.
	Publish func(quarantine.Crash)
}

// Service executes requests. It implements request.Doer. Locks: mu is never
// held while a lock of a queue, a memory or the flights is taken.
type Service struct {
	opts    Options
	crashes *quarantine.Table
	flights *flights
	held    atomic.Int64 // requests that wait for an owner

	mu       sync.Mutex
	queues   map[topology.ServerID]*admission.Queue
	memories map[topology.PartitionID]*term
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
		opts: opts, crashes: quarantine.New(opts.Clock, opts.Wall, opts.Publish), flights: newFlights(opts.Clock),
		queues: make(map[topology.ServerID]*admission.Queue), memories: make(map[topology.PartitionID]*term),
	}
}

// call is one request on its way through the Service.
type call struct {
	req    *request.Request
	id     request.ID // zero for a repeatable request
	digest request.Digest
	start  time.Time
}

// Do implements request.Doer.
func (s *Service) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	c := &call{req: req, start: time.Now()}
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	c.digest = req.Digest(body)
	if req.Repeatable {
		ans, _, err := s.run(ctx, c, nil, nil)
		return ans, err
	}
	if c.id, err = request.ParseID(req.ID); err != nil {
		return nil, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "%v", err)
	}
	if err := s.awaitDate(ctx, c.id); err != nil {
		return nil, err
	}
	return s.once(ctx, c)
}

// awaitDate waits until the date of an id has passed. Without it, an id that
// this host ran shortly before it lost the leadership could be dated after the
// start of the next leader, by the difference of their wall clocks beyond
// request.MaxIDAhead, and run again there.
func (s *Service) awaitDate(ctx context.Context, id request.ID) error {
	ahead := id.Created.Sub(s.opts.Wall())
	if ahead <= 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok && time.Until(d) <= ahead {
		return verdict.New(verdict.CodeClock, verdict.NotRun, "request id is dated %s in the future", ahead.Round(time.Millisecond)).WithRetry(ahead)
	}
	if !clock.Sleep(ctx, ahead) {
		return ended(ctx, verdict.NotRun)
	}
	return nil
}

// once runs a request unless its id is known. It starts over if the memory of
// ids changed with the leadership before the request was sent.
func (s *Service) once(ctx context.Context, c *call) (*request.Answer, error) {
	for {
		target, err := s.owner(ctx, c.req)
		if err != nil {
			return nil, err
		}
		mem := s.memory(target)
		if mem == nil {
			return nil, notLeader()
		}
		claim, verr := mem.Claim(c.req, c.id, c.digest)
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
			ans, again, err := s.run(ctx, c, mem, claim.Permit)
			if !again {
				return ans, err
			}
		}
	}
}

// replay answers a repeat from the record of the first run.
func replay(o *dedup.Outcome) (*request.Answer, error) {
	if !o.BodyStored {
		return nil, verdict.New(verdict.CodeDuplicate, o.Verdict, "a request with this id was sent before; its answer is not kept")
	}
	return (&request.Answer{Status: o.Status, ContentType: o.ContentType, Server: o.Server, Fence: o.Fence}).WithBody(o.Body), nil
}

// run waits for a slot and sends the request. It returns again if the request
// was not sent because its ids now belong into another memory.
func (s *Service) run(ctx context.Context, c *call, mem *dedup.Table, ticket *dedup.Permit) (ans *request.Answer, again bool, err error) {
	// The quarantine comes after the memory of ids: an id that may have run must
	// not be answered as not run.
	if err := s.blocked(c); err != nil {
		finish(ticket, dedup.Outcome{Verdict: verdict.NotRun})
		return nil, false, err
	}
	slot, target, again, err := s.admit(ctx, c, mem)
	if err == nil && !again && ticket != nil {
		if verr := ticket.MarkSent(); verr != nil {
			slot.Release(false)
			err = verr
		}
	}
	if err != nil || again {
		finish(ticket, dedup.Outcome{Verdict: verdict.NotRun})
		return nil, again, err
	}
	ans, err = s.send(ctx, c, target, slot, ticket)
	return ans, false, err
}

// admit returns a slot at the owner of the key. The owner, the leadership and
// the quarantine are checked after the wait, directly before the send.
func (s *Service) admit(ctx context.Context, c *call, mem *dedup.Table) (slot *admission.Slot, t exchange.Target, again bool, err error) {
	flow := admission.Flow{Customer: c.req.Customer, Class: c.req.Class}
	for {
		if t, err = s.owner(ctx, c.req); err != nil {
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
			continue // the shard moves; owner waits for that
		default:
			return nil, t, false, verr
		}
		if err := s.blocked(c); err != nil {
			slot.Release(false)
			return nil, t, false, err
		}
		now, err := s.opts.Owners.Owner(c.req)
		if err == nil && now.Server == t.Server {
			if mem != nil && s.memory(now) != mem {
				slot.Release(false)
				return nil, now, true, nil
			}
			return slot, now, false, nil
		}
		// The shard moved during the wait, or the leadership ended, which the
		// next call of owner reports.
		slot.Release(false)
	}
}

func (s *Service) blocked(c *call) error {
	if left := s.crashes.BlockedFor(c.digest); left > 0 {
		return verdict.New(verdict.CodeQuarantined, verdict.NotRun, "servers died %d times while this request was in flight", quarantine.CrashLimit).WithRetry(left)
	}
	return nil
}

func (s *Service) queue(t exchange.Target) *admission.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[t.Server]
	if !ok {
		q = admission.NewQueue(admission.Options{Clock: s.opts.Clock, Slots: t.Slots, Weight: s.opts.Share})
		s.queues[t.Server] = q
	}
	return q
}

func finish(t *dedup.Permit, o dedup.Outcome) {
	if t != nil {
		t.Finish(o)
	}
}
