package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/leaderlease"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// leadership is one period in which this host leads.
type leadership struct {
	*elector
	scheduler *scheduler
	// timing stays the same for the whole leadership, because calls under way
	// rely on it.
	timing *timing

	mu    sync.Mutex
	epoch int64
	lease *leaderlease.Lease
	// restored is true from the first sign that the store was restored until
	// this leader has claimed the leadership again.
	restored bool
	// absentSince holds the time since which hosts that the leader record names
	// have not followed this leader, by address.
	absentSince      map[string]time.Duration
	record           leaderRecord  // the leader record in the store
	recordStaleSince time.Duration // time since which the followers differ from record; zero if they do not
	ownersEnd        Position      // end of the ownership topic
	confirmedAt      time.Duration // send time of the last confirmation
	storeSeenAt      time.Duration // time of the last response of the store
	contactLostAt    time.Duration // time at which the store was last out of reach; see warmupShare
	confirmReadAt    time.Duration // send time of the last read by confirmWithStore
	lastFence        int64
	cancel           context.CancelFunc
	calls            sync.WaitGroup
	summaryLoggedAt  time.Duration
	startedAt        time.Duration
	lag              leaderlease.TickLagMonitor
	retransmissions  leaderlease.RetransmissionMonitor
	storeWake        chan struct{} // wakes storeKeyMaps
	listFresh        bool          // whether the list of servers was fresh at the last tick
}

func newLeadership(e *elector, record leaderRecord, claimedAt time.Duration, ownersEnd Position) *leadership {
	t := e.active.timing()
	l := &leadership{
		storeWake: make(chan struct{}, 1), absentSince: make(map[string]time.Duration),
		elector: e, timing: t, startedAt: e.clk.Now(), epoch: record.Epoch, record: record, ownersEnd: ownersEnd,
		confirmedAt: claimedAt, storeSeenAt: e.clk.Now(), lastFence: record.Epoch * fencesPerEpoch,
		// The store may have taken the claim at any time between the call and
		// its response: until the response, an earlier leader may have had a
		// confirmation. So the claim time passed here is that of the response.
		lease: leaderlease.New(t.lease, e.leaderClient.incarnation, e.self.String(), e.clk.Now(), record.Earlier),
	}
	l.scheduler = newScheduler(e.clk, e.followers.deliver, e.watcher.listUsable)
	l.scheduler.warmup, l.scheduler.warmupLog = l.warmupShare, newWarmupLog(e.clk)
	l.scheduler.mayGrant = func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lease.Valid(l.clk.Now())
	}
	l.scheduler.earlierGrantsUntil = func() time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lease.EarlierLeadersUntil() + l.timing.earlierGrantExtra
	}
	l.scheduler.movesFrom = func() time.Duration {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.lease.MovesFrom()
	}
	return l
}

// currentEpoch returns the epoch of the last claim of this leader.
func (l *leadership) currentEpoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// recordFollower records that a host follows this leader.
func (l *leadership) recordFollower(host uint64, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.RecordFollower(host, address, l.clk.Now())
}

func (l *leadership) nextFence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFence++
	return l.lastFence
}

// confirm records a confirmation whose call was sent at the given time.
func (l *leadership) confirm(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt = max(l.confirmedAt, sent)
	l.lease.Confirm(sent)
	l.storeSeenAt = l.clk.Now()
}

// recordResponse records that the store responds, although the response does
// not confirm this leader.
func (l *leadership) recordResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeSeenAt = l.clk.Now()
}

// confirmation returns the time of the last confirmation, and the time since
// the last response of the store.
func (l *leadership) confirmation() (at, sinceResponse time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt, l.clk.Now() - l.storeSeenAt
}

// run leads until the context ends or the leadership is lost.
func (l *leadership) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l.cancel = cancel
	l.elector.mu.Lock()
	l.elector.cancel = cancel
	l.elector.mu.Unlock()
	l.addServices()
	l.followers.setScheduler(l.scheduler, l.currentEpoch(), l.recordFollower)
	l.leaderClient.setOwnScheduler(l.scheduler, l.currentEpoch())
	l.watcher.readNow()
	l.elector.scheduler.Store(l.scheduler)
	l.leaderClient.announceLeadership(l.followers.header(), l.earlierLeaderAddresses())
	var loops sync.WaitGroup
	loops.Go(func() { l.renewMembership(ctx) })
	loops.Go(func() { l.watchOwnership(ctx) })
	loops.Go(func() { l.storeKeyMaps(ctx) })
	t := time.NewTicker(leaderTickInterval)
	defer t.Stop()
	for lastTick := l.clk.Now(); ctx.Err() == nil; {
		l.tick(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		now := l.clk.Now()
		slow := l.lag.Observe(now - lastTick - leaderTickInterval)
		newRequests, repeated := l.followers.takeRequestCounts()
		slow = l.retransmissions.Observe(newRequests, repeated, now) || slow
		lastTick = now
		if slow && l.mayBeReplaced() {
			l.log.With("lag_ms", l.lag.Mean().Milliseconds()).With("repeated", l.retransmissions.Ratio()).Warn("this host has too little CPU to lead; it resigns")
			l.resign(overloadPause)
		}
	}
	// Until it follows the next leader, this host goes on with the owners that it knew.
	owners := l.scheduler.keyMapsOfOwners()
	l.leaderClient.fallback.setKeyMaps(owners)
	l.ownersRead(owners)
	l.followers.setScheduler(nil, 0, nil)
	l.leaderClient.setOwnScheduler(nil, l.currentEpoch())
	l.elector.scheduler.Store(nil)
	loops.Wait()
	l.calls.Wait()
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(parent), grantTimeout)
	defer cancelLeave()
	if err := l.store.Leave(leaveCtx, l.memberID); err != nil {
		l.log.Warn("the membership in the leader's group cannot be ended: " + err.Error())
	}
}

// mayBeReplaced reports whether a leader that lacks CPU resigns. While the store does not
// respond, no other host could claim the leadership, and grants would run out.
func (l *leadership) mayBeReplaced() bool {
	_, sinceResponse := l.confirmation()
	return l.clk.Now()-l.startedAt > minLeadershipTime && sinceResponse < maxStoreSilence
}

// earlierLeaderAddresses returns the addresses of the earlier leaders that may
// still act. As soon as they follow this leader, keys of unreachable servers
// can be moved.
func (l *leadership) earlierLeaderAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, earlier := range l.record.Earlier {
		if a, err := netip.ParseAddrPort(earlier.Address); err == nil && a != l.self {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// addServices adds the services of the present configuration.
func (l *leadership) addServices() {
	cfg := l.watcher.config.Load()
	if cfg == nil {
		return
	}
	l.elector.mu.Lock()
	keyMaps := l.keyMaps
	l.elector.mu.Unlock()
	l.scheduler.addServices(cfg, keyMaps, func(name topology.Service, keyMap keymap.Map) *ownership.Manager {
		earlierGrantsUntil := l.scheduler.earlierGrantsUntil()
		switch {
		case keyMap != nil:
		case l.mayHaveLostKeyMap():
			keyMap = keymap.Empty().WithUnknownOwners()
		default:
			keyMap = keymap.Empty()
			earlierGrantsUntil = 0 // no earlier leader can have granted keys of a key map that was never stored
		}
		return ownership.New(name, l.timing.grants, keyMap, l.nextFence, earlierGrantsUntil)
	})
}

// mayHaveLostKeyMap reports whether the store may have lost key maps that it no longer
// has any record of.
func (l *leadership) mayHaveLostKeyMap() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.HasUnlisted()
}

func (l *leadership) tick(ctx context.Context) {
	l.addServices()
	servers := l.watcher.servers()
	confirmedAt, sinceResponse := l.confirmation()
	orders := l.scheduler.tick(servers, confirmedAt, sinceResponse < maxStoreSilence && len(servers) > 0)
	l.wakeStoreLoop()
	l.startCalls(ctx, orders)
	l.logChanges()
	l.announceFreshList()
	if now := l.clk.Now(); now-l.summaryLoggedAt > summaryInterval {
		l.summaryLoggedAt = now
		for _, sum := range l.scheduler.summaries() {
			load := l.scheduler.keyLoad(sum.service)
			l.log.With("service", string(sum.service)).With("waiting", sum.waiting).With("running", sum.running).With("slots", sum.slots).With("cold", sum.cold).
				With("parts", sum.keyRanges).With("moving", sum.moving).With("unowned", sum.unowned).With("calls", l.callsInFlight.Load()).
				With("busiest", load.busiestServer).With("mean", load.meanServer).With("hottest", load.hottestKey).With("rivals_ms", (l.scheduler.earlierGrantsUntil() - l.clk.Now()).Milliseconds()).Info("load of the service")
		}
	}
	present, maxHosts := l.followers.tick()
	l.leaderClient.setHostCount(present)
	// Before there is a configuration, a change of the leader delays no request.
	mayResign := l.clk.Now()-l.startedAt > minLeadershipTime || l.watcher.config.Load() == nil
	if mayResign && sinceResponse < maxStoreSilence && l.followers.maxCPUShare() > minCPUAdvantage/l.claimWeight {
		l.log.Info("a host with more CPU is present; this host resigns")
		l.resign(resignPause)
	}
	if maxHosts >= 3 && present*2 < maxHosts {
		// Most hosts have stopped or are cut off from this one. If they are cut
		// off, one of them takes over; if they have stopped, this host leads
		// again.
		l.log.With("hosts", present).With("most", maxHosts).Warn("most hosts are silent; this host resigns")
		l.resign(resignPause)
	}
}

// announceFreshList tells the hosts at once that this leader has read the list of servers
// after a while without: those that reach the store again would else look for another leader
// until their next heartbeat.
func (l *leadership) announceFreshList() {
	fresh := l.watcher.listAge() < l.timing.staleListAge
	if fresh && !l.listFresh {
		l.followers.replyToAll()
	}
	l.listFresh = fresh
}

// resign ends the leadership and makes no new claim for a while.
func (l *leadership) resign(pause time.Duration) {
	l.noClaimUntil.Store(int64(l.clk.Now() + pause))
	l.cancel()
}

// startCalls starts the calls to servers.
func (l *leadership) startCalls(ctx context.Context, orders []ownership.Order) {
	for _, o := range orders {
		l.calls.Add(1)
		l.callsInFlight.Add(1)
		go func() {
			defer l.calls.Done()
			defer l.callsInFlight.Add(-1)
			l.callServer(ctx, o)
		}()
	}
}

func (l *leadership) callServer(ctx context.Context, o ownership.Order) {
	var handover string
	var err error
	if o.Kind == ownership.Grant {
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		err = l.grantClient.Grant(callCtx, o, l.timing.grants.GrantDuration)
		cancel()
	} else {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err = l.grantClient.Release(callCtx, o)
		cancel()
	}
	outcome, ended := outcomeOf(err), l.clk.Now()
	l.metrics.inc("order-" + o.Kind.String() + "-" + outcome.String())
	l.leaderLog.recordCall(o, outcome, err)
	confirmedAt, _ := l.confirmation()
	if outcome != ownership.Done && o.Kind != ownership.Fence {
		confirmedAt = l.confirmWithStore(ctx)
	}
	fenced, next := l.scheduler.recordResult(o, outcome, handover, ended, confirmedAt)
	if o.Kind == ownership.Release {
		l.wakeStoreLoop()
	}
	if fenced {
		l.verifyLeadership(ctx, true)
	}
	if ctx.Err() == nil {
		l.startCalls(ctx, next)
	}
}

// logChanges logs changes of the owners of keys.
func (l *leadership) logChanges() {
	for service, changes := range l.scheduler.takeOwnerChanges() {
		for _, c := range changes.changes {
			l.leaderLog.recordChange(service, c)
		}
		if changes.omitted > 0 {
			l.log.With("service", string(service)).With("omitted", changes.omitted).Warn("more changes of owners than are logged")
		}
	}
}

func outcomeOf(err error) ownership.Outcome {
	var op *net.OpError
	switch {
	case err == nil:
		return ownership.Done
	case errors.Is(err, ErrFenced):
		return ownership.Fenced
	case errors.Is(err, ErrWrongServer):
		return ownership.ServerGone
	case errors.Is(err, ErrRefused):
		return ownership.Refused
	case errors.As(err, &op) && op.Op == "dial":
		return ownership.Unsent
	default:
		return ownership.Unknown
	}
}
