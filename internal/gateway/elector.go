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
	leaderKey = "leader"
	// memberSeparator separates the host from the incarnation in the name of a
	// member of the leader's group.
	memberSeparator = "#"
	keyMapPrefix    = "keys/"

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
	Member  string `json:"member"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// Era is the era of the store in which the record was written; zero in
	// records of releases that know no eras.
	Era         int64  `json:"era,omitempty"`
	Incarnation uint64 `json:"process"`
	// Followers holds the hosts a majority of which lets the leader act without
	// the store.
	Followers []uint64 `json:"list,omitempty"`
	// FollowerAddresses holds the addresses of Followers in the same order.
	FollowerAddresses []string `json:"addresses,omitempty"`
	// Absent holds the addresses of other hosts that earlier records named. They
	// count as hosts without contact to the leader.
	Absent []string `json:"absent,omitempty"`
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

// outdated reports whether the store has lost newer records than this one, or may
// have: it was restored from a copy, and no leader has written the record since.
func (r leaderRecord) outdated(era int64) bool { return max(r.Era, FirstEra) < era }

// maxLostRecords exceeds the number of records of the ownership topic that a store
// can lack when it is restored from a copy some seconds old.
const maxLostRecords = 1 << 20

// epochAt returns the epoch of a leader whose claim is stored at the given position.
// Later claims have higher epochs, also if the store loses earlier ones.
func epochAt(end Position) int64 { return (end.Era-FirstEra)*maxLostRecords + end.Offset + 1 }

// elector finds the leader or becomes the leader.
type elector struct {
	clk          clock.Clock
	store        Store
	grantClient  GrantClient
	leaderClient *leaderClient
	followers    *followers
	watcher      *storeWatcher
	log          logging.Logger
	leaderLog    *leaderLog
	memberID     string
	self         netip.AddrPort
	// claimWeight is the inverse of the CPU share: hosts with less CPU claim
	// later.
	claimWeight float64

	metrics *metrics
	active  *activeBounds
	// scheduler is the scheduler of this host while it leads; nil otherwise.
	scheduler atomic.Pointer[scheduler]
	// callsInFlight counts the calls to servers of this host as leader.
	callsInFlight atomic.Int64

	wake       chan struct{}
	lastResult string // of the last search, to log only changes
	// noClaimUntil is the time until which this host makes no claim.
	noClaimUntil atomic.Int64
	// era is the newest era of the store that a search has seen, and
	// eraSeenAt the time since when.
	era       int64
	eraSeenAt time.Duration
	// leadsSince is the time since which this host leads, if it does.
	leadsSince atomic.Int64
	// onOwnersRead is called with the key maps after each read of them; nil if there is
	// nothing to call.
	onOwnersRead func(map[topology.Service]keymap.Map)

	mu      sync.Mutex
	keyMaps map[topology.Service]keymap.Map // as last read
	leader  leaderRecord                    // the last one that could be decoded
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

// readOwners reads the leader and the key maps from the store, and the end of their
// topic. The owners of a key map that may be out of date are unknown.
func (e *elector) readOwners(ctx context.Context) (leaderRecord, Position, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, end, err := e.store.Owners(callCtx)
	if err != nil {
		return leaderRecord{}, Position{}, err
	}
	e.watcher.storeResponded()
	e.mu.Lock()
	leader, keyMaps := e.decodeOwners(records, end.Era)
	e.keyMaps = keyMaps
	e.mu.Unlock()
	e.leaderClient.fallback.setKeyMaps(keyMaps)
	e.ownersRead(keyMaps)
	return leader, end, nil
}

func (e *elector) ownersRead(keyMaps map[topology.Service]keymap.Map) {
	if e.onOwnersRead != nil {
		e.onOwnersRead(keyMaps)
	}
}

// unknownLeader stands for the leader of a record that cannot be decoded. Nothing is known
// of its followers, so it counts as able to act for as long as any leader without the store.
var unknownLeader = leaderlease.EarlierLeader{Followers: []uint64{0}}

// decodeOwners decodes the leader record and the key maps. For a record that cannot be
// decoded it returns what was last read of the same key: without it, a leader would grant
// the keys although their owner or an earlier leader may still act. The owners of a key map
// that is not of the present era of the store are unknown. The caller holds the lock.
func (e *elector) decodeOwners(records []Record, present int64) (leaderRecord, map[topology.Service]keymap.Map) {
	var leader leaderRecord
	keyMaps := make(map[topology.Service]keymap.Map)
	for _, r := range records {
		if r.Key == leaderKey {
			leader = e.decodeLeader(r.Value)
			continue
		}
		name, ok := strings.CutPrefix(r.Key, keyMapPrefix)
		if !ok {
			continue
		}
		keyMap, era, err := keymap.Decode(r.Value)
		if err != nil {
			e.log.Error("a key map in the store cannot be decoded", err)
			if keyMap = e.keyMaps[topology.Service(name)]; keyMap == nil {
				keyMap = keymap.Empty()
			}
		}
		if err != nil || max(era, FirstEra) < present {
			keyMap = keyMap.WithUnknownOwners()
		}
		keyMaps[topology.Service(name)] = keyMap
	}
	return leader, keyMaps
}

// decodeLeader decodes the leader record. If it cannot be decoded, it returns the last one
// that could be, with unknownLeader among the earlier leaders. The caller holds the lock.
func (e *elector) decodeLeader(value []byte) leaderRecord {
	var leader leaderRecord
	err := json.Unmarshal(value, &leader)
	if err == nil {
		e.leader = leader
		return leader
	}
	e.log.Error("the leader record in the store cannot be decoded", err)
	leader = e.leader
	if leader.Member == "" {
		leader.Member = "(unknown)"
	}
	leader.Earlier = append(slices.Clone(leader.Earlier), unknownLeader)
	return leader
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
		if e.watcher.config.Load() == nil && !e.mayLeadWithoutConfig() {
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
		noWait, result := e.search(ctx, silent)
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

// mayLeadWithoutConfig reports whether this host may lead before it knows a configuration:
// in a new deployment, in which the store has neither a configuration nor key maps. Its
// hosts then follow a leader, which reads for all of them, while they wait for the first
// configuration.
func (e *elector) mayLeadWithoutConfig() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watcher.configMissing.Load() && len(e.keyMaps) == 0
}

// storeUnavailable is the result of a search that failed because the store did
// not respond.
const storeUnavailable = "store does not respond"

// search finds the leader in the store, and claims the leadership if there is
// no leader. It returns the result for the log, and whether the caller may
// search again without a pause.
func (e *elector) search(ctx context.Context, silent bool) (noWait bool, result string) {
	leader, end, err := e.readOwners(ctx)
	if err != nil {
		return false, storeUnavailable
	}
	e.observeEra(end)
	address, err := netip.ParseAddrPort(leader.Address)
	mine := err == nil && address == e.self
	if err == nil && !mine && e.leaderClient.followIfNew(address, leader.Member, leader.Epoch) {
		return true, "store names " + leader.Member
	}
	if (err == nil && !mine) || leader.outdated(end.Era) {
		if result := e.leaderInStore(ctx, leader, end.Era, silent); result != "" {
			return false, result
		}
	}
	if e.clk.Now() < time.Duration(e.noClaimUntil.Load()) {
		return false, "this host makes no claim after it resigned"
	}
	// The store responds at once if another host claims the leadership
	// meanwhile.
	wait := time.Duration((e.claimWeight + rand.Float64()) * float64(claimDelayUnit))
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	records, newEnd, err := e.store.OwnersSince(callCtx, end, wait)
	cancel()
	switch {
	case err != nil:
		return false, storeUnavailable
	case newEnd != end:
		e.followClaim(records)
		return true, "another host has claimed the leadership"
	}
	if e.watcher.config.Load() == nil && !e.mayLeadWithoutConfig() {
		return false, "this host makes no claim without a configuration"
	}
	return e.claim(ctx, end, leader), "this host claimed the leadership"
}

// followClaim follows the leader that the last of the records names, if one does.
func (e *elector) followClaim(records []Record) {
	for _, r := range slices.Backward(records) {
		if r.Key != leaderKey {
			continue
		}
		e.mu.Lock()
		leader := e.decodeLeader(r.Value)
		e.mu.Unlock()
		if address, err := netip.ParseAddrPort(leader.Address); err == nil && address != e.self {
			e.leaderClient.followIfNew(address, leader.Member, leader.Epoch)
		}
		return
	}
}

// leaderInStore returns the reason for which a leader that is silent or has lost the
// store must not be replaced; empty if it may be.
func (e *elector) leaderInStore(ctx context.Context, leader leaderRecord, era int64, silent bool) string {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	members, err := e.store.Members(callCtx)
	cancel()
	if err != nil {
		return storeUnavailable
	}
	address, err := netip.ParseAddrPort(leader.Address)
	if err == nil && address != e.self && slices.Contains(members, leader.Member) {
		if e.leaderClient.followAfterDenial(address, leader.Epoch) {
			return "leader did not know yet that it leads and is asked again"
		}
		return "leader still reaches the store"
	}
	if leader.outdated(era) && e.leaderMayReclaim(members, silent) {
		return "leader has not claimed the restored store yet"
	}
	return ""
}

// observeEra logs the first search in a new era of the store.
func (e *elector) observeEra(end Position) {
	if end.Era == e.era {
		return
	}
	if e.era != 0 {
		e.log.With("era", end.Era).With("end", end.Offset).Warn("the store was restored from a copy; a leader that reaches it claims the leadership again")
	}
	e.era, e.eraSeenAt = end.Era, e.clk.Now()
}

// leaderMayReclaim reports whether a leader whose record the store has lost may be
// about to write it again. Its key maps are newer than those in the store.
func (e *elector) leaderMayReclaim(members []string, silent bool) bool {
	host, _, _ := strings.Cut(e.memberID, memberSeparator)
	// An earlier process of this host has ended.
	if slices.ContainsFunc(members, func(m string) bool { return !strings.HasPrefix(m, host+memberSeparator) }) {
		return true
	}
	t := e.active.timing()
	return !silent && e.clk.Now()-e.eraSeenAt < t.membershipTTL+t.joinInterval
}

// otherHosts returns the addresses of all hosts that a leader record names but this one.
func (e *elector) otherHosts(record leaderRecord) []string {
	addresses := slices.Clone(record.Absent)
	for _, l := range record.leadersThatMayAct() {
		addresses = append(append(addresses, l.Address), l.FollowerAddresses...)
	}
	return e.distinctOthers(addresses)
}

// distinctOthers returns the distinct addresses of other hosts, in ascending order.
func (e *elector) distinctOthers(addresses []string) []string {
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == "" || a == e.self.String() })
}

// hostsOfLostLeaders describes the leaders whose claims the store may have lost: they
// run on one of the hosts that the record names or this host knows.
func (e *elector) hostsOfLostLeaders(record leaderRecord) leaderlease.EarlierLeader {
	return leaderlease.EarlierLeader{
		Unlisted:          true,
		FollowerAddresses: e.distinctOthers(append(e.leaderClient.knownAddresses(), e.otherHosts(record)...)),
	}
}

// claim makes this host the leader if the ownership topic in the store still
// ends at end, and leads until the leadership ends. It returns false if the
// caller should pause before the next search.
func (e *elector) claim(ctx context.Context, end Position, earlier leaderRecord) bool {
	record := leaderRecord{
		Member: e.memberID, Address: e.self.String(), Epoch: epochAt(end), Era: end.Era, Incarnation: e.leaderClient.incarnation, Earlier: earlier.leadersThatMayAct(),
		Absent: e.otherHosts(earlier),
	}
	if earlier.outdated(end.Era) {
		record.Earlier = append(record.Earlier, e.hostsOfLostLeaders(earlier))
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
	e.leadsSince.Store(int64(e.clk.Now()))
	e.log.With("epoch", record.Epoch).With("era", record.Era).With("outdated", earlier.outdated(end.Era)).Info("this host leads")
	l.run(ctx)
	e.log.With("epoch", l.currentEpoch()).Info("this host no longer leads")
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
