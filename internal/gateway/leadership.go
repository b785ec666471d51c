package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/mandate"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// leadership is one time for which this host leads.
type leadership struct {
	*elector
	core  *core
	epoch int64
	// timing holds for the whole leadership: the calls under way rely on it.
	timing *timing

	mu      sync.Mutex
	mandate *mandate.Mandate
	record  leaderRecord  // as in the store
	settled time.Duration // time since which the hosts differ from the record
	end     int64         // of the ownership topic
	contact time.Duration // send time of the last read that showed this leader
	seen    time.Duration // time of the last answer of the store
	proved  time.Duration // time of the last read after a failed call
	fence   int64
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	summed  time.Duration
	began   time.Duration
	lag     mandate.Lag
	repeats mandate.Repeats
	freed   chan struct{} // keys may be free to be stored
}

func newLeadership(e *elector, record leaderRecord, claimed time.Duration, end int64) *leadership {
	t := e.terms.timing()
	l := &leadership{
		freed:   make(chan struct{}, 1),
		elector: e, timing: t, began: e.clk.Now(), epoch: record.Epoch, record: record, end: end,
		contact: claimed, seen: e.clk.Now(), fence: record.Epoch * fencesPerEpoch,
		// The claim is in the store from some moment of its call on: an earlier
		// leader may have had a proof until its answer.
		mandate: mandate.New(t.mandate, e.desk.host, e.self.String(), e.clk.Now(), record.Earlier),
	}
	l.core = newCore(e.clk, e.peers.deliver, e.watch.trusted)
	l.core.may = func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.mandate.May(l.clk.Now())
	}
	l.core.rivals = func() time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.mandate.Rivals() + l.timing.earlierHold
	}
	return l
}

// heard records that a host follows this leader.
func (l *leadership) heard(host uint64, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mandate.Heard(host, address, l.clk.Now())
}

func (l *leadership) nextFence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence++
	return l.fence
}

func (l *leadership) touch(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact = max(l.contact, sent)
	l.mandate.Proof(sent)
	l.seen = l.clk.Now()
}

// answered records that the store answers, without proof that it names this
// leader.
func (l *leadership) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = l.clk.Now()
}

// proof returns the time of the last proof that the store names this leader, and
// the time since the store last answered.
func (l *leadership) proof() (at, seen time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contact, l.clk.Now() - l.seen
}

// run leads until the context ends or the leadership is lost.
func (l *leadership) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l.cancel = cancel
	l.elector.mu.Lock()
	l.elector.cancel = cancel
	l.elector.mu.Unlock()
	l.configure()
	l.peers.lead(l.core, l.epoch, l.heard)
	l.desk.lead(l.core, l.epoch)
	l.watch.readNow()
	l.elector.core.Store(l.core)
	l.desk.announce(l.peers.status(), l.predecessors())
	var loops sync.WaitGroup
	loops.Go(func() { l.keepMembership(ctx) })
	loops.Go(func() { l.watchRecords(ctx) })
	loops.Go(func() { l.storeTables(ctx) })
	t := time.NewTicker(leaderTick)
	defer t.Stop()
	for last := l.clk.Now(); ctx.Err() == nil; {
		l.tick(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		now := l.clk.Now()
		slow := l.lag.Observe(now - last - leaderTick)
		first, again := l.peers.questions()
		slow = l.repeats.Observe(first, again, now) || slow
		last = now
		if slow && now-l.began > strengthPause {
			l.log.With("lag_ms", l.lag.Mean().Milliseconds()).With("repeated", l.repeats.Share()).Warn("this host has too little processor to lead, it resigns")
			l.resign(lagPause)
		}
	}
	l.peers.lead(nil, 0, nil)
	l.desk.lead(nil, l.epoch)
	l.elector.core.Store(nil)
	loops.Wait()
	l.calls.Wait()
	leave, done := context.WithTimeout(context.WithoutCancel(parent), grantTimeout)
	defer done()
	if err := l.store.Leave(leave, l.member); err != nil {
		l.log.Warn("the membership cannot be ended: " + err.Error())
	}
}

// predecessors returns the addresses of leaders that may still act. As soon as
// they follow this leader, keys of servers that do not answer can be moved.
func (l *leadership) predecessors() []netip.AddrPort {
	var list []netip.AddrPort
	for _, t := range l.record.Earlier {
		if a, err := netip.ParseAddrPort(t.Address); err == nil && a != l.self {
			list = append(list, a)
		}
	}
	return list
}

// configure adds the services of the present configuration.
func (l *leadership) configure() {
	cfg := l.watch.config.Load()
	if cfg == nil {
		return
	}
	l.elector.mu.Lock()
	tables := l.tables
	l.elector.mu.Unlock()
	l.core.configure(cfg, tables, func(name topology.Service, table keymap.Map) *ownership.Leader {
		first := table == nil
		if first {
			table = keymap.Empty()
		}
		rivals := l.core.rivals()
		if first {
			rivals = 0 // no earlier leader can have granted keys that were never stored
		}
		return ownership.New(name, l.timing.grants, table, l.nextFence, rivals)
	})
}

func (l *leadership) tick(ctx context.Context) {
	l.configure()
	servers := l.watch.servers()
	proof, seen := l.proof()
	orders := l.core.tick(servers, proof, seen < moveContact && len(servers) > 0)
	l.wakeStore()
	l.carryOut(ctx, orders)
	if now := l.clk.Now(); now-l.summed > summaryInterval {
		l.summed = now
		for _, s := range l.core.summaries() {
			load := l.core.keyLoad(s.service)
			l.log.With("service", string(s.service)).With("waiting", s.waiting).With("running", s.running).With("slots", s.slots).
				With("parts", s.parts).With("moving", s.moving).With("unowned", s.unowned).
				With("busiest", load.busiest).With("mean", load.mean).With("hottest", load.hottest).With("rivals_ms", (l.core.rivals() - l.clk.Now()).Milliseconds()).Info("load of a service")
		}
	}
	present, most := l.peers.tick()
	l.desk.setHosts(present)
	if l.clk.Now()-l.began > strengthPause && seen < moveContact && l.peers.strongest() > strongerBy/l.weight {
		l.log.Info("a host with more processor is present, this host resigns")
		l.resign(resignPause)
	}
	if most >= 3 && present*2 < most {
		// Most hosts are gone or cut off from this one. If they are cut off,
		// one of them takes over; if they are gone, this host leads again.
		l.log.With("hosts", present).With("most", most).Warn("most hosts are silent, this host resigns")
		l.resign(resignPause)
	}
}

// resign ends the lead, and leaves the claim to others for a while.
func (l *leadership) resign(pause time.Duration) {
	l.resigned.Store(int64(l.clk.Now() + pause))
	l.cancel()
}

// carryOut makes the calls to servers.
func (l *leadership) carryOut(ctx context.Context, orders []ownership.Order) {
	for _, o := range orders {
		l.calls.Add(1)
		go func() {
			defer l.calls.Done()
			l.call(ctx, o)
		}()
	}
}

func (l *leadership) call(ctx context.Context, o ownership.Order) {
	var handover string
	var err error
	if o.Kind == ownership.Grant {
		call, cancel := context.WithTimeout(ctx, grantTimeout)
		err = l.grants.Grant(call, o, l.timing.grants.Hold)
		cancel()
	} else {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err = l.grants.Release(call, o)
		cancel()
	}
	outcome := outcomeOf(err)
	l.stats.count("order-" + o.Kind.String() + "-" + outcome.String())
	if outcome != ownership.Done {
		l.log.With("server", string(o.Server)).With("from", o.From).With("to", o.To).With("fence", o.Fence).
			With("kind", o.Kind.String()).With("outcome", outcome.String()).Info("an order to a server failed: " + err.Error())
	}
	proof, _ := l.proof()
	if outcome != ownership.Done {
		proof = l.prove(ctx)
	}
	deposed, next := l.core.result(o, outcome, handover, proof)
	if o.Kind == ownership.Release {
		l.wakeStore()
	}
	if deposed {
		l.verify(ctx, true)
	}
	if ctx.Err() == nil {
		l.carryOut(ctx, next)
	}
}

func outcomeOf(err error) ownership.Outcome {
	var op *net.OpError
	switch {
	case err == nil:
		return ownership.Done
	case errors.Is(err, ErrFenced):
		return ownership.Fenced
	case errors.Is(err, ErrElsewhere):
		return ownership.Ended
	case errors.Is(err, ErrNotDone):
		return ownership.Refused
	case errors.As(err, &op) && op.Op == "dial":
		return ownership.Unsent
	default:
		return ownership.Unknown
	}
}
