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
	// leaderWatch is the time for which the store holds the leader's read of its
	// own records open.
	leaderWatchWait = time.Second
	// searchInterval is the pause between looks for a leader.
	searchInterval = 200 * time.Millisecond
	// summaryInterval is the interval at which the leader logs the load.
	summaryInterval = 2 * time.Second
	// suspectPause bounds the rate at which suspicions are followed.
	checkPause = 20 * time.Millisecond
	// claimSpread spreads the claims of hosts that miss the leader at the same
	// time. It is multiplied by the inverse of the share of a processor, so that
	// hosts with more processor come first: the leader takes part in all requests.
	claimDelayUnit = 70 * time.Millisecond
	// strongerBy is the factor by which another host must have more processor for
	// a leader to make room for it.
	minCPUAdvantage = 1.8
	// lagPause is the time for which a host that was too slow to lead claims
	// nothing.
	overloadPause = 5 * time.Second
	// strengthPause is the time for which a leader stays at least.
	minLeadershipTime = 4 * time.Second
	// resignPause is the time for which a leader that resigned leaves the claim
	// to others.
	resignPause = 700 * time.Millisecond
	// fencesPerEpoch is the number of fences of one leadership.
	fencesPerEpoch = 1 << 22
	// moveContact is the age of the last contact with the store above which no
	// key is moved: a move needs the store to be completed.
	maxStoreSilence = 1500 * time.Millisecond
	releaseTimeout  = 1500 * time.Millisecond
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
	Earlier []leaderlease.EarlierLeader `json:"earlier,omitempty"`
}

// terms returns the leaders that may still act when another one claims the lead.
func (r leaderRecord) leadersThatMayAct() []leaderlease.EarlierLeader {
	if r.Member == "" {
		return nil
	}
	return append(slices.Clone(r.Earlier), leaderlease.EarlierLeader{Address: r.Address, Incarnation: r.Process, Followers: r.List})
}

// elector finds or becomes the leader.
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
	// weight is larger for hosts with less processor, which claim later.
	claimWeight float64

	metrics *metrics
	active  *activeBounds
	// core is that of this host while it leads; nil otherwise.
	scheduler atomic.Pointer[scheduler]

	wake       chan struct{}
	lastResult string // result of the last search
	// resigned is the time until which this host claims nothing.
	noClaimUntil atomic.Int64

	mu        sync.Mutex
	keyMaps   map[topology.Service]keymap.Map // as last read
	ownersEnd int64
	// cancel ends the present lead of this host; nil if it does not lead.
	cancelLeadership context.CancelFunc
}

// depose ends the lead of this host: a later leader has made itself known.
func (e *elector) endLeadership() {
	e.mu.Lock()
	cancel := e.cancelLeadership
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
				e.log.Error("the record of the leader cannot be read", err)
			}
			continue
		}
		if name, ok := strings.CutPrefix(r.Key, keyMapPrefix); ok {
			keyMap, err := keymap.Decode(r.Value)
			if err != nil {
				e.log.Error("a key map cannot be read", err)
				continue
			}
			keyMaps[topology.Service(name)] = keyMap
		}
	}
	e.mu.Lock()
	e.keyMaps, e.ownersEnd = keyMaps, end
	e.mu.Unlock()
	e.leaderClient.fallback.setKeyMaps(keyMaps)
	return leader, nil
}

// suspect makes the elector look for the leader now.
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
			// Without a configuration there is nothing to lead or to ask for.
			clock.Sleep(ctx, searchInterval)
			continue
		}
		silent, blind := e.leaderClient.leaderSilent(), e.leaderClient.leaderLostStore()
		if (silent || blind) && !e.watcher.storeReachable() {
			// This host must judge by its own reads from now on.
			e.watcher.readNow()
		}
		if !silent && (!blind || !e.watcher.storeReachable()) {
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
			e.log.With("silent", silent).With("blind", blind).With("result", result).Info("the leader is looked for")
		}
		if !noWait {
			clock.Sleep(ctx, wait)
		}
	}
}

// noAnswer is the result of a search that the store did not answer.
const storeUnavailable = "store does not answer"

// search looks for the leader in the store and claims the lead if there is none.
// It returns false if the caller should wait before it searches again, and the
// result in a word.
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
				return false, "leader is asked once more"
			}
			return false, "leader reaches the store"
		}
	}
	if e.clk.Now() < time.Duration(e.noClaimUntil.Load()) {
		return false, "this host does not lead now"
	}
	// The store answers at once if another host claims the lead meanwhile.
	wait := time.Duration((e.claimWeight + rand.Float64()) * float64(claimDelayUnit))
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	newEnd, err := e.store.OwnersEnd(callCtx, end, wait)
	cancel()
	switch {
	case err != nil:
		return false, storeUnavailable
	case newEnd > end:
		return true, "another host claims the lead"
	}
	return e.claim(ctx, end, leader), "lead was claimed"
}

// claim makes this host the leader if the records of the store have not changed
// since they were read, and leads until it is deposed.
func (e *elector) claim(ctx context.Context, end int64, earlier leaderRecord) bool {
	record := leaderRecord{
		Member: e.memberID, Address: e.self.String(), Epoch: end + 1, Process: e.leaderClient.incarnation, Earlier: earlier.leadersThatMayAct(),
	}
	claimedAt := e.clk.Now()
	value, err := json.Marshal(record)
	if err != nil {
		e.log.Error("the claim cannot be written", err)
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	newEnd, err := e.store.Append(callCtx, end, []Record{{Key: leaderKey, Value: value}})
	cancel()
	if err != nil {
		if !errors.Is(err, ErrOutdated) {
			e.log.Warn("the lead cannot be claimed: " + err.Error())
		}
		return errors.Is(err, ErrOutdated)
	}
	l := newLeadership(e, record, claimedAt, newEnd)
	e.log.With("epoch", end+1).Info("this host leads")
	l.run(ctx)
	e.log.With("epoch", end+1).Info("this host no longer leads")
	return true
}

// total adds a figure up over all services; zero if this host does not lead.
func (e *elector) sumServices(pick func(summary) int) float64 {
	s := e.scheduler.Load()
	if s == nil {
		return 0
	}
	sum := 0
	for _, s := range s.summaries() {
		sum += pick(s)
	}
	return float64(sum)
}
