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
	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	leaderKey    = "leader"
	keyMapPrefix = "keys/"

	leaderTickInterval = 40 * time.Millisecond
	// leaderWatchWait is the time for which the store holds the leader's read
	// of the ownership topic open.
	leaderWatchWait = time.Second
	// searchInterval is the interval between searches for a leader.
	searchInterval = 200 * time.Millisecond
	// summaryInterval is the interval at which the leader logs the load.
	summaryInterval = 2 * time.Second
	// checkPause bounds the rate of checks that checkNow requests.
	checkPause = 20 * time.Millisecond
	// claimDelayUnit is the unit of the delay before a claim, which separates
	// hosts that miss the leader at the same time. The delay is the inverse of
	// the CPU share plus a random part, so that hosts with more CPU claim
	// first: the leader takes part in all requests.
	claimDelayUnit = 70 * time.Millisecond
	// minCPUAdvantage is the factor by which another host must have more CPU
	// for a leader to resign in its favour.
	minCPUAdvantage = 1.8
	// overloadPause is the time for which a host that was too slow to lead
	// makes no claim.
	overloadPause = 5 * time.Second
	// minLeadershipTime is the time for which a leader does not resign for lack
	// of CPU.
	minLeadershipTime = 4 * time.Second
	// resignPause is the time for which a leader that resigned lets other hosts
	// claim the leadership.
	resignPause = 700 * time.Millisecond
	// fencesPerEpoch is the number of fences reserved for each leadership.
	fencesPerEpoch = 1 << 22
	// maxStoreSilence is the time without a response of the store after which
	// no moves of keys are planned and no leader record is written: a move
	// needs the store to be completed.
	maxStoreSilence = 1500 * time.Millisecond
	releaseTimeout  = 1500 * time.Millisecond
)

// leaderRecord names the leader in the store.
type leaderRecord struct {
	Member      string `json:"member"`
	Address     string `json:"address"`
	Epoch       int64  `json:"epoch"`
	Incarnation uint64 `json:"process"`
	// Followers holds the hosts a majority of which lets the leader act without
	// the store.
	Followers []uint64 `json:"list,omitempty"`
	// FollowerAddresses holds the addresses of Followers in the same order.
	FollowerAddresses []string `json:"addresses,omitempty"`
	// Earlier holds the earlier leaders that may still act.
	Earlier []leaderlease.EarlierLeader `json:"earlier,omitempty"`
}

// leadersThatMayAct returns the leaders that may still act when another host
// claims the leadership.
func (r leaderRecord) leadersThatMayAct() []leaderlease.EarlierLeader {
	if r.Member == "" {
		return nil
	}
	return append(slices.Clone(r.Earlier), leaderlease.EarlierLeader{Address: r.Address, Incarnation: r.Incarnation, Followers: r.Followers, FollowerAddresses: r.FollowerAddresses})
}

// elector finds the leader or becomes the leader.
type elector struct {
	clk          clock.Clock
	store        Store
	grantClient  GrantClient
	leaderClient *leaderClient
	followers    *followers
	watcher      *storeWatcher
	log          logging.Logger
	memberID     string
	self         netip.AddrPort
	// claimWeight is the inverse of the CPU share: hosts with less CPU claim
	// later.
	claimWeight float64

	metrics *metrics
	active  *activeBounds
	// scheduler is the scheduler of this host while it leads; nil otherwise.
	scheduler atomic.Pointer[scheduler]

	wake       chan struct{}
	lastResult string // of the last search, to log only changes
	// noClaimUntil is the time until which this host makes no claim.
	noClaimUntil atomic.Int64

	mu        sync.Mutex
	keyMaps   map[topology.Service]keymap.Map // as last read
	ownersEnd Position
	// cancel ends the present leadership of this host; nil if it does not lead.
	cancel context.CancelFunc
}

// endLeadership ends the leadership of this host because a later leader was
// announced.
func (e *elector) endLeadership() {
	e.mu.Lock()
	cancel := e.cancel
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// readOwners reads the leader and the key maps from the store.
func (e *elector) readOwners(ctx context.Context) (leaderRecord, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, end, err := e.store.Owners(callCtx)
	if err != nil {
		return leaderRecord{}, err
	}
	var leader leaderRecord
	keyMaps := make(map[topology.Service]keymap.Map)
	for _, r := range records {
		if r.Key == leaderKey {
			if err := json.Unmarshal(r.Value, &leader); err != nil {
				e.log.Error("the leader record in the store cannot be decoded", err)
			}
			continue
		}
		if name, ok := strings.CutPrefix(r.Key, keyMapPrefix); ok {
			keyMap, err := keymap.Decode(r.Value)
			if err != nil {
				e.log.Error("a key map in the store cannot be decoded", err)
				continue
			}
			keyMaps[topology.Service(name)] = keyMap
		}
	}
	e.mu.Lock()
	if e.ownersEnd.Era != 0 && e.ownersEnd.Era != end.Era {
		e.log.With("era", end.Era).With("end", end.Offset).With("known_end", e.ownersEnd.Offset).With("epoch", leader.Epoch).
			Warn("the store was restored from a copy")
	}
	e.keyMaps, e.ownersEnd = keyMaps, end
	e.mu.Unlock()
	e.leaderClient.fallback.setKeyMaps(keyMaps)
	return leader, nil
}

// checkNow makes run check at once whether there is a leader.
func (e *elector) checkNow() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run follows or becomes the leader until the context ends.
func (e *elector) run(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if e.watcher.config.Load() == nil {
			// Without a configuration there are no services to lead.
			clock.Sleep(ctx, searchInterval)
			continue
		}
		silent, lostStore := e.leaderClient.leaderSilent(), e.leaderClient.leaderLostStore()
		if (silent || lostStore) && !e.watcher.storeReachable() {
			// Only this host's own reads show whether the store can be reached.
			e.watcher.readNow()
		}
		if !silent && (!lostStore || !e.watcher.storeReachable()) {
			select {
			case <-ctx.Done():
			case <-e.wake:
				clock.Sleep(ctx, checkPause)
			case <-time.After(searchInterval):
			}
			continue
		}
		noWait, result := e.search(ctx)
		wait := searchInterval
		if result == storeUnavailable {
			wait = max(wait, pause.next(maxHostRetryPause))
		} else {
			pause.reset()
		}
		if result != e.lastResult {
			e.lastResult = result
			e.log.With("silent", silent).With("blind", lostStore).With("result", result).Info("searched for a leader because the present one is silent or has lost the store")
		}
		if !noWait {
			clock.Sleep(ctx, wait)
		}
	}
}

// storeUnavailable is the result of a search that failed because the store did
// not respond.
const storeUnavailable = "store does not respond"

// search finds the leader in the store, and claims the leadership if there is
// no leader. It returns the result for the log, and whether the caller may
// search again without a pause.
func (e *elector) search(ctx context.Context) (noWait bool, result string) {
	leader, err := e.readOwners(ctx)
	if err != nil {
		return false, storeUnavailable
	}
	e.watcher.readNow()
	address, err := netip.ParseAddrPort(leader.Address)
	mine := err == nil && address == e.self
	e.mu.Lock()
	end := e.ownersEnd
	e.mu.Unlock()
	if err == nil && !mine && e.leaderClient.followIfNew(address, leader.Member, leader.Epoch) {
		return true, "store names " + leader.Member
	}
	if err == nil && !mine {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		members, err := e.store.Members(callCtx)
		cancel()
		if err != nil {
			return false, storeUnavailable
		}
		if slices.Contains(members, leader.Member) {
			if e.leaderClient.followAfterDenial(address, leader.Epoch) {
				return false, "leader did not know yet that it leads and is asked again"
			}
			return false, "leader still reaches the store"
		}
	}
	if e.clk.Now() < time.Duration(e.noClaimUntil.Load()) {
		return false, "this host makes no claim after it resigned"
	}
	// The store responds at once if another host claims the leadership
	// meanwhile.
	wait := time.Duration((e.claimWeight + rand.Float64()) * float64(claimDelayUnit))
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	newEnd, err := e.store.OwnersEnd(callCtx, end, wait)
	cancel()
	switch {
	case err != nil:
		return false, storeUnavailable
	case newEnd != end:
		return true, "another host has claimed the leadership"
	}
	return e.claim(ctx, end, leader), "this host claimed the leadership"
}

// claim makes this host the leader if the ownership topic in the store still
// ends at end, and leads until the leadership ends. It returns false if the
// caller should pause before the next search.
func (e *elector) claim(ctx context.Context, end Position, earlier leaderRecord) bool {
	record := leaderRecord{
		Member: e.memberID, Address: e.self.String(), Epoch: end.Offset + 1, Incarnation: e.leaderClient.incarnation, Earlier: earlier.leadersThatMayAct(),
	}
	claimedAt := e.clk.Now()
	value, err := json.Marshal(record)
	if err != nil {
		e.log.Error("the leader record cannot be encoded", err)
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	newEnd, err := e.store.Append(callCtx, end, []Record{{Key: leaderKey, Value: value}})
	cancel()
	if err != nil {
		if !errors.Is(err, ErrOutdated) {
			e.log.Warn("the leadership cannot be claimed: " + err.Error())
		}
		return errors.Is(err, ErrOutdated)
	}
	l := newLeadership(e, record, claimedAt, newEnd)
	e.log.With("epoch", record.Epoch).Info("this host leads")
	l.run(ctx)
	e.log.With("epoch", record.Epoch).Info("this host no longer leads")
	return true
}

// sumServices adds up a count over all services; zero if this host does not
// lead.
func (e *elector) sumServices(pick func(summary) int) float64 {
	s := e.scheduler.Load()
	if s == nil {
		return 0
	}
	total := 0
	for _, sum := range s.summaries() {
		total += pick(sum)
	}
	return float64(total)
}
