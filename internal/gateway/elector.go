package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
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
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	leaderKey   = "leader"
	tablePrefix = "keys/"

	leaderTick = 40 * time.Millisecond
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
	releaseTimeout = 1500 * time.Millisecond
)

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

	stats *stats
	terms *terms
	// core is that of this host while it leads; nil otherwise.
	core atomic.Pointer[core]

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
	var pause backoff
	for ctx.Err() == nil {
		if e.watch.config.Load() == nil {
			// Without a configuration there is nothing to lead or to ask for.
			clock.Sleep(ctx, searchInterval)
			continue
		}
		silent, blind := e.desk.silent(), e.desk.blind()
		if (silent || blind) && !e.watch.fresh() {
			// This host must judge by its own reads from now on.
			e.watch.readNow()
		}
		if !silent && (!blind || !e.watch.fresh()) {
			select {
			case <-ctx.Done():
			case <-e.wake:
				clock.Sleep(ctx, suspectPause)
			case <-time.After(searchInterval):
			}
			continue
		}
		found, why := e.search(ctx)
		wait := searchInterval
		if why == noAnswer {
			wait = max(wait, pause.next(hostRetry))
		} else {
			pause.reset()
		}
		if why != e.why {
			e.why = why
			e.log.With("silent", silent).With("blind", blind).With("result", why).Info("the leader is looked for")
		}
		if !found {
			clock.Sleep(ctx, wait)
		}
	}
}

// noAnswer is the result of a search that the store did not answer.
const noAnswer = "store does not answer"

// search looks for the leader in the store and claims the lead if there is none.
// It returns false if the caller should wait before it searches again, and the
// result in a word.
func (e *elector) search(ctx context.Context) (found bool, why string) {
	leader, err := e.readOwners(ctx)
	if err != nil {
		return false, noAnswer
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
			return false, noAnswer
		}
		if slices.Contains(members, leader.Member) {
			if e.desk.askOnceMore(address, leader.Epoch) {
				return false, "leader is asked once more"
			}
			return false, "leader reaches the store"
		}
	}
	if e.clk.Now() < time.Duration(e.resigned.Load()) {
		return false, "this host does not lead now"
	}
	// The store answers at once if another host claims the lead meanwhile.
	wait := time.Duration((e.weight + rand.Float64()) * float64(claimSpread))
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	now, err := e.store.OwnersEnd(call, end, wait)
	cancel()
	switch {
	case err != nil:
		return false, noAnswer
	case now > end:
		return true, "another host claims the lead"
	}
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

// total adds a figure up over all services; zero if this host does not lead.
func (e *elector) total(pick func(summary) int) float64 {
	c := e.core.Load()
	if c == nil {
		return 0
	}
	sum := 0
	for _, s := range c.summaries() {
		sum += pick(s)
	}
	return float64(sum)
}
