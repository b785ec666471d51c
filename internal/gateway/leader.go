package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/mandate"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	leaderKey   = "leader"
	tablePrefix = "keys/"

	leaderTick = 40 * time.Millisecond
	// membershipTerm is the time after its last call for which the store lists
	// the leader as present; it bounds the time to a takeover.
	membershipTerm = 1000 * time.Millisecond
	joinInterval   = 300 * time.Millisecond
	// leaderWatch is the time for which the store holds the leader's read of its
	// own records open.
	leaderWatch = time.Second
	// searchInterval is the pause between looks for a leader.
	searchInterval = 200 * time.Millisecond
	// summaryInterval is the interval at which the leader logs the load.
	summaryInterval = 2 * time.Second
	// suspectPause bounds the rate at which suspicions are followed.
	suspectPause = 20 * time.Millisecond
	// claimSpread spreads the claims of hosts that miss the leader at the same
	// time. It is multiplied by the inverse of the share of a processor, so that
	// hosts with more processor come first: the leader takes part in all requests.
	claimSpread = 70 * time.Millisecond
	// strongerBy is the factor by which another host must have more processor for
	// a leader to make room for it.
	strongerBy = 1.8
	// lagPause is the time for which a host that was too slow to lead claims
	// nothing.
	lagPause = 5 * time.Second
	// strengthPause is the time for which a leader stays at least.
	strengthPause = 4 * time.Second
	// resignPause is the time for which a leader that resigned leaves the claim
	// to others.
	resignPause = 700 * time.Millisecond
	// fencesPerEpoch is the number of fences of one leadership.
	fencesPerEpoch = 1 << 22
	// moveContact is the age of the last contact with the store above which no
	// key is moved: a move needs the store to be completed.
	moveContact    = 1500 * time.Millisecond
	grantTimeout   = 250 * time.Millisecond
	releaseTimeout = 1500 * time.Millisecond
)

var ownershipSettings = ownership.Settings{
	Hold:   2200 * time.Millisecond,
	Renew:  650 * time.Millisecond,
	Retry:  200 * time.Millisecond,
	Flight: grantTimeout,
}

var mandateSettings = mandate.Settings{
	// A proof is at most two leaderWatch old while the store answers.
	Alone: 2500 * time.Millisecond,
	// Outages of the store last up to 9 s.
	Autonomy: 10 * time.Second,
	// Two heartbeats of a host fit into it.
	Window: 1500 * time.Millisecond,
	Flight: grantTimeout,
}

// leaderRecord names the leader in the store.
type leaderRecord struct {
	Member  string `json:"member"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Process uint64 `json:"process"`
	// List holds the hosts whose majority lets the leader act without the store.
	List []uint64 `json:"list,omitempty"`
	// Earlier holds earlier leaders that may still act.
	Earlier []mandate.Term `json:"earlier,omitempty"`
}

// terms returns the leaders that may still act when another one claims the lead.
func (r leaderRecord) terms() []mandate.Term {
	if r.Member == "" {
		return nil
	}
	return append(slices.Clone(r.Earlier), mandate.Term{Address: r.Address, Process: r.Process, List: r.List})
}

// elector finds or becomes the leader.
type elector struct {
	clk    clock.Clock
	store  Store
	grants Grants
	desk   *desk
	peers  *peers
	watch  *watch
	log    logging.Logger
	member string
	self   netip.AddrPort
	// weight is larger for hosts with less processor, which claim later.
	weight float64

	wake chan struct{}
	why  string // result of the last search
	// resigned is the time until which this host claims nothing.
	resigned atomic.Int64

	mu     sync.Mutex
	tables map[topology.Service]keymap.Map // as last read
	end    int64
	// cancel ends the present lead of this host; nil if it does not lead.
	cancel context.CancelFunc
}

// depose ends the lead of this host: a later leader has made itself known.
func (e *elector) depose() {
	e.mu.Lock()
	cancel := e.cancel
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// readOwners reads the leader and the key maps from the store.
func (e *elector) readOwners(ctx context.Context) (leaderRecord, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := e.store.Owners(call)
	if err != nil {
		return leaderRecord{}, err
	}
	var leader leaderRecord
	tables := make(map[topology.Service]keymap.Map)
	for _, r := range records {
		if r.Key == leaderKey {
			if err := json.Unmarshal(r.Value, &leader); err != nil {
				e.log.Error("the record of the leader cannot be read", err)
			}
			continue
		}
		if name, ok := strings.CutPrefix(r.Key, tablePrefix); ok {
			t, err := keymap.Decode(r.Value)
			if err != nil {
				e.log.Error("a key map cannot be read", err)
				continue
			}
			tables[topology.Service(name)] = t
		}
	}
	e.mu.Lock()
	e.tables, e.end = tables, end
	e.mu.Unlock()
	e.desk.fallback.setTables(tables)
	return leader, nil
}

// suspect makes the elector look for the leader now.
func (e *elector) suspect() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run follows or becomes the leader until the context ends.
func (e *elector) run(ctx context.Context) {
	for ctx.Err() == nil {
		silent, blind := e.desk.silent(), e.desk.blind()
		if (silent || blind) && !e.watch.fresh() {
			// This host must judge by its own reads from now on.
			e.watch.readNow()
		}
		if !silent && !(blind && e.watch.fresh()) {
			select {
			case <-ctx.Done():
			case <-e.wake:
				sleep(ctx, suspectPause)
			case <-time.After(searchInterval):
			}
			continue
		}
		found, why := e.search(ctx)
		if why != e.why {
			e.why = why
			e.log.With("silent", silent).With("blind", blind).With("result", why).Info("the leader is looked for")
		}
		if !found {
			sleep(ctx, searchInterval)
		}
	}
}

// search looks for the leader in the store and claims the lead if there is none.
// It returns false if the caller should wait before it searches again, and the
// result in a word.
func (e *elector) search(ctx context.Context) (found bool, why string) {
	leader, err := e.readOwners(ctx)
	if err != nil {
		return false, "store does not answer"
	}
	e.watch.readNow()
	address, err := netip.ParseAddrPort(leader.Address)
	mine := err == nil && address == e.self
	e.mu.Lock()
	end := e.end
	e.mu.Unlock()
	if err == nil && !mine && e.desk.knows(address, leader.Member, leader.Epoch) {
		return true, "store names " + leader.Member
	}
	if err == nil && !mine {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		members, err := e.store.Members(call)
		cancel()
		if err != nil {
			return false, "members cannot be read"
		}
		if slices.Contains(members, leader.Member) {
			return false, "leader reaches the store"
		}
	}
	if e.clk.Now() < time.Duration(e.resigned.Load()) || e.watch.config.Load() == nil {
		return false, "this host does not lead now"
	}
	sleep(ctx, time.Duration((e.weight+rand.Float64())*float64(claimSpread)))
	return e.claim(ctx, end, leader), "lead was claimed"
}

// claim makes this host the leader if the records of the store have not changed
// since they were read, and leads until it is deposed.
func (e *elector) claim(ctx context.Context, at int64, earlier leaderRecord) bool {
	record := leaderRecord{
		Member: e.member, Address: e.self.String(), Epoch: at + 1, Process: e.desk.host, Earlier: earlier.terms(),
	}
	claimed := e.clk.Now()
	value, err := json.Marshal(record)
	if err != nil {
		e.log.Error("the claim cannot be written", err)
		return false
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	end, err := e.store.Append(call, at, []Record{{Key: leaderKey, Value: value}})
	cancel()
	if err != nil {
		if !errors.Is(err, ErrOutdated) {
			e.log.Warn("the lead cannot be claimed: " + err.Error())
		}
		return errors.Is(err, ErrOutdated)
	}
	l := newLeadership(e, record, claimed, end)
	e.log.With("epoch", at+1).Info("this host leads")
	l.run(ctx)
	e.log.With("epoch", at+1).Info("this host no longer leads")
	return true
}

// leadership is one time for which this host leads.
type leadership struct {
	*elector
	core  *core
	epoch int64

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
	present int
	summed  time.Duration
	began   time.Duration
	lag     mandate.Lag
}

func newLeadership(e *elector, record leaderRecord, claimed time.Duration, end int64) *leadership {
	l := &leadership{
		elector: e, began: e.clk.Now(), epoch: record.Epoch, record: record, end: end,
		contact: claimed, seen: e.clk.Now(), fence: record.Epoch * fencesPerEpoch,
		// The claim is in the store from some moment of its call on: an earlier
		// leader may have had a proof until its answer.
		mandate: mandate.New(mandateSettings, e.desk.host, e.self.String(), e.clk.Now(), record.Earlier),
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
		return l.mandate.Rivals()
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
	l.watch.readNow()
	l.configure()
	l.peers.lead(l.core, l.epoch, l.heard)
	l.desk.lead(l.core, l.epoch)
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
		last = now
		if slow && now-l.began > strengthPause {
			l.log.With("lag_ms", l.lag.Mean().Milliseconds()).Warn("this host has too little processor to lead, it resigns")
			l.resigned.Store(int64(now + lagPause))
			l.cancel()
		}
	}
	l.peers.lead(nil, 0, nil)
	l.desk.lead(nil, l.epoch)
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
		return ownership.New(name, ownershipSettings, table, l.nextFence, rivals)
	})
}

func (l *leadership) tick(ctx context.Context) {
	l.configure()
	servers := l.watch.servers()
	proof, seen := l.proof()
	orders := l.core.tick(servers, proof, seen < moveContact && len(servers) > 0)
	l.carryOut(ctx, orders)
	if now := l.clk.Now(); now-l.summed > summaryInterval {
		l.summed = now
		for _, s := range l.core.summaries() {
			l.log.With("service", string(s.service)).With("waiting", s.waiting).With("running", s.running).With("slots", s.slots).
				With("parts", s.parts).With("moving", s.moving).With("unowned", s.unowned).
				With("busiest", s.busiest).With("mean", s.mean).With("hottest", s.hottest).With("rivals_ms", (l.core.rivals() - l.clk.Now()).Milliseconds()).Info("load of a service")
		}
	}
	present, most := l.peers.tick()
	l.desk.setHosts(present)
	if l.present != present {
		l.present = present
	}
	if l.clk.Now()-l.began > strengthPause && seen < moveContact && l.peers.strongest() > strongerBy/l.weight {
		l.log.Info("a host with more processor is present, this host resigns")
		l.resigned.Store(int64(l.clk.Now() + resignPause))
		l.cancel()
	}
	if most >= 3 && present*2 < most {
		// Most hosts are gone or cut off from this one. If they are cut off,
		// one of them takes over; if they are gone, this host leads again.
		l.log.With("hosts", present).With("most", most).Warn("most hosts are silent, this host resigns")
		l.resigned.Store(int64(l.clk.Now() + resignPause))
		l.cancel()
	}
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
		err = l.grants.Grant(call, o, ownershipSettings.Hold)
		cancel()
	} else {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err = l.grants.Release(call, o)
		cancel()
	}
	outcome := outcomeOf(err)
	if outcome != ownership.Done {
		l.log.With("server", string(o.Server)).With("from", o.From).With("to", o.To).With("fence", o.Fence).
			With("kind", int(o.Kind)).With("outcome", int(outcome)).Info("an order to a server failed: " + err.Error())
	}
	proof, _ := l.proof()
	if outcome != ownership.Done {
		proof = l.prove(ctx)
	}
	deposed, next := l.core.result(o, outcome, handover, proof)
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

// verify ends the leadership if the store names another leader. If fenced is
// true, a server has refused the newest fence: then the leadership ends as well
// if the store does not answer, since only a later leader has higher fences.
func (l *leadership) verify(ctx context.Context, fenced bool) {
	sent := l.clk.Now()
	leader, err := l.readOwners(ctx)
	if err != nil {
		if fenced && ctx.Err() == nil {
			l.log.Warn("a server has seen a higher fence and the store does not answer, this host resigns")
			l.cancel()
		}
		return
	}
	if leader.Member != l.member {
		l.log.With("leader", leader.Member).Info("another host leads")
		l.cancel()
		return
	}
	l.touch(sent)
	l.elector.mu.Lock()
	end := l.elector.end
	l.elector.mu.Unlock()
	l.mu.Lock()
	l.end = max(l.end, end)
	l.mu.Unlock()
	l.core.checked()
}

// proveInterval bounds the rate of reads that prove the lead after failed calls.
const proveInterval = 100 * time.Millisecond

// prove reads from the store whether this host still leads: after a failed call
// a server gets a grant only with a later proof. It returns the time of the last
// proof.
func (l *leadership) prove(ctx context.Context) time.Duration {
	l.mu.Lock()
	now := l.clk.Now()
	if now-l.proved < proveInterval {
		l.mu.Unlock()
		proof, _ := l.proof()
		return proof
	}
	l.proved = now
	from := l.end
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := l.store.OwnersEnd(call, from, 0)
	if err == nil && end == from {
		l.touch(now)
	}
	proof, _ := l.proof()
	return proof
}

// keepMembership shows the other hosts that the leader reaches the store.
func (l *leadership) keepMembership(ctx context.Context) {
	var generation int64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		g, err := l.store.Join(call, l.member, generation, membershipTerm)
		cancel()
		if err == nil {
			generation = g
			l.answered()
		}
		sleep(ctx, joinInterval)
	}
}

// watchRecords notices that another host has claimed the lead.
func (l *leadership) watchRecords(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		from := l.end
		l.mu.Unlock()
		sent := l.clk.Now()
		call, cancel := context.WithTimeout(ctx, leaderWatch+callTimeout)
		end, err := l.store.OwnersEnd(call, from, leaderWatch)
		cancel()
		if err != nil {
			if strings.Contains(err.Error(), "dropped") {
				l.verify(ctx, false)
			}
			sleep(ctx, callRetry)
			continue
		}
		l.mu.Lock()
		known := l.end
		l.mu.Unlock()
		if end > known {
			l.verify(ctx, false)
			sleep(ctx, callRetry)
			continue
		}
		l.touch(sent)
	}
}

// storeTables writes changed key maps to the store. Keys are granted to another
// server only afterwards.
func (l *leadership) storeTables(ctx context.Context) {
	// doubt is true while the store may hold, or may still take, a table of an
	// append that was not answered.
	doubt := false
	for ctx.Err() == nil {
		tables := l.core.tables()
		record, changed := l.nextRecord()
		if len(tables) == 0 && !changed {
			sleep(ctx, storeInterval)
			continue
		}
		records := make([]Record, 0, len(tables)+1)
		if changed {
			value, err := json.Marshal(record)
			if err != nil {
				l.log.Error("the record of the leader cannot be written", err)
				continue
			}
			records = append(records, Record{Key: leaderKey, Value: value})
			// Until the store has answered, neither list may be counted on alone.
			l.setList(nil)
		}
		for name, t := range tables {
			value, err := t.Encode()
			if err != nil {
				l.log.Error("a key map cannot be written", err)
				continue
			}
			records = append(records, Record{Key: tablePrefix + string(name), Value: value})
		}
		l.mu.Lock()
		at := l.end
		l.mu.Unlock()
		sent := l.clk.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		end, err := l.store.Append(call, at, records)
		cancel()
		if err != nil {
			l.core.stored(tables, false, 0)
			switch proof, _ := l.proof(); {
			case errors.Is(err, ErrNotDone) && !doubt:
				l.carryOut(ctx, l.core.revert(proof))
				sleep(ctx, callRetry)
			case errors.Is(err, ErrOutdated):
				l.verify(ctx, false)
			default:
				doubt = doubt || !errors.Is(err, ErrNotDone)
				l.log.Warn("key maps cannot be stored: " + err.Error())
				sleep(ctx, callRetry)
			}
			continue
		}
		doubt = false
		l.mu.Lock()
		l.end = max(l.end, end)
		l.mu.Unlock()
		l.touch(sent)
		if changed {
			l.mu.Lock()
			l.record = record
			l.mu.Unlock()
			l.setList(record.List)
		}
		l.carryOut(ctx, l.core.stored(tables, true, sent))
	}
}

// settleTime is the time for which the hosts must differ from the record before
// it is written again: hosts come and go in series.
const settleTime = 1500 * time.Millisecond

// nextRecord returns the record of this leader with the hosts that follow it now,
// and whether it is to be stored.
func (l *leadership) nextRecord() (leaderRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	record := l.record
	record.List = l.mandate.Members(now)
	record.Earlier = l.mandate.Terms(now)
	if slices.Equal(record.List, l.record.List) && len(record.Earlier) == len(l.record.Earlier) {
		l.settled = 0
		return record, false
	}
	if l.settled == 0 {
		l.settled = now
	}
	if now-l.settled < settleTime || now-l.seen > moveContact {
		return record, false
	}
	l.settled = 0
	return record, true
}

func (l *leadership) setList(list []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mandate.SetList(list)
}

// storeInterval is the interval at which freed keys are looked for; keys that
// are freed within it share one append.
const storeInterval = 10 * time.Millisecond
