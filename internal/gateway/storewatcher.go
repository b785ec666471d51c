package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/statesync"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// hostConfigWait is the time for which the store holds a read of the
	// configuration open for a host whose leader does not pass on its state, as one of
	// an earlier release. That leader announces new versions all the same, so the read
	// is only a fallback.
	hostConfigWait = 20 * time.Second
	// storeTimeout bounds calls to the store, which responds within
	// milliseconds unless it is slow or down.
	storeTimeout = 1200 * time.Millisecond
	// fullReadTimeout bounds a read of all registrations, which the store
	// returns page by page: 3,000 of them are 1.2 MB, a second on a link of 10
	// Mbit/s.
	fullReadTimeout = 8 * time.Second
	// followerPollInterval is the interval at which a host whose leader does not pass
	// on its state reads the registrations. It needs the list and the key maps if it
	// loses the leader and the store together. The interval is at least
	// pollIntervalPerHost for each host, so that all hosts together make a
	// bounded number of calls.
	followerPollInterval = 4 * time.Second
	pollIntervalPerHost  = 150 * time.Millisecond
)

// storeWatcher keeps the configuration and the list of servers up to date.
type storeWatcher struct {
	clk    clock.Clock
	store  Store
	log    logging.Logger
	active *activeBounds
	// policy returns how the host reads from the store in its present role.
	policy func() readPolicy
	// onChange is called after the configuration has changed and after each
	// read of the registrations, onRead after each successful one.
	onChange, onRead func()
	// fetchConfig obtains a configuration after a position from the leader.
	fetchConfig func(ctx context.Context, after Position) ([]Record, Position, bool)
	// readOwners reads the key maps.
	readOwners func(ctx context.Context)

	config atomic.Pointer[fleet.Config]
	// configMissing is true if the last read found that there was never a
	// configuration.
	configMissing atomic.Bool
	wake          chan struct{}
	configWake    chan struct{}
	// retry ends the pause after a failed read of the registrations.
	retry chan struct{}

	openReadMu         sync.Mutex
	openRead           configRead
	leaderVersion      int64         // newest version that the leader announced
	leaderVersionSince time.Duration // time at which that version was first seen
	configFrom         Position      // position for the next read of the configuration
	configReadAt       time.Duration // time of the last successful read

	mu            sync.Mutex
	directory     *fleet.Directory
	next          Position      // of the registrations
	lastReadAt    time.Duration // time of the last response; a read of all registrations can take seconds
	failedAt      time.Duration // time of the last failed read
	failed        bool
	readStartedAt time.Duration // send time of the read in progress; zero if there is none
	// cancelRead cancels the read in progress; nil if there is none.
	cancelRead   context.CancelCauseFunc
	loggedOutage fleet.Outage
	// leaderListAsOf is the time to which the list is known through the leader.
	leaderListAsOf time.Duration
}

// readPolicy is how a host reads from the store in its present role.
type readPolicy struct {
	// pollInterval is the interval at which the list of servers is read.
	pollInterval time.Duration
	// configWait is the time for which a read of the configuration is held
	// open.
	configWait time.Duration
	// leaderVersion is the version of the configuration that the leader knows.
	leaderVersion int64
	// readOwners is true if the key maps are read along with the list.
	readOwners bool
	// maxRetryPause is the longest pause after a failed call.
	maxRetryPause time.Duration
	// configGrace is the time after configWait at which a read without a response is
	// cancelled; that of the timing if it is zero.
	configGrace time.Duration
	// configAnnounced is true if the leader announces each change: the configuration is
	// read only if configPosition or leaderVersion is ahead of this host.
	configAnnounced bool
	configPosition  Position
	// listFromLeader is true if the leader passes on the list and the key maps, which
	// are then not read.
	listFromLeader bool
	// deferConfig and deferList are true if the configuration is not read again, and the
	// list of servers not read, for now.
	deferConfig, deferList bool
}

// roleCheckInterval is the interval at which a host that reads nothing for now checks
// whether its role still allows that.
const roleCheckInterval = 100 * time.Millisecond

// configRead is the read of the configuration in progress.
type configRead struct {
	cancel    context.CancelFunc // nil if no read is held open
	startedAt time.Duration
	version   int64 // version in force when the read began
}

func newStoreWatcher(clk clock.Clock, store Store, active *activeBounds, policy func() readPolicy, onChange func()) *storeWatcher {
	return &storeWatcher{
		clk: clk, store: store, log: logging.For(logging.Platform), active: active, policy: policy, onChange: onChange, onRead: func() {},
		directory: fleet.NewDirectory(), wake: make(chan struct{}, 1), configWake: make(chan struct{}, 1), retry: make(chan struct{}, 1),
	}
}

// runConfig follows the configuration until the context ends.
func (w *storeWatcher) runConfig(ctx context.Context) {
	go w.cancelStaleReads(ctx)
	var from Position
	failing := false
	var pause, fruitless backoff
	var readAt time.Duration
	for ctx.Err() == nil {
		policy := w.policy()
		if from != (Position{}) && (!failing || policy.configAnnounced) && !w.configDue(policy, from, readAt) {
			w.awaitConfigNews(ctx)
			continue
		}
		if position, ok := w.obtainConfig(ctx, policy, from); ok {
			from, readAt, failing = position, w.clk.Now(), false
			continue
		}
		wait := policy.configWait
		if failing || policy.configAnnounced {
			// A read that is held open would show the return of the store late.
			wait = 0
		}
		changes, ended, err := w.readConfig(ctx, from, wait)
		if err != nil {
			if !failing && ctx.Err() == nil && !ended {
				w.log.Warn("the configuration cannot be read: " + err.Error())
			}
			failing = true
			if !ended {
				clock.Sleep(ctx, pause.next(policy.maxRetryPause))
			}
			continue
		}
		failing = false
		pause.reset()
		w.useChanges(changes, from)
		from, readAt = changes.Next, w.clk.Now()
		if policy = w.policy(); !policy.configAnnounced || !w.configDue(policy, from, readAt) {
			fruitless.reset()
			continue
		}
		// The store lacks what the leader has seen: it was restored from a copy.
		clock.Sleep(ctx, fruitless.next(maxFruitlessPause))
	}
}

// readConfig reads the configuration from the store. The result ended is true if the read
// was cancelled or timed out.
func (w *storeWatcher) readConfig(ctx context.Context, from Position, wait time.Duration) (changes OperatorChanges, ended bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	if wait > 0 {
		w.setOpenRead(configRead{cancel: cancel, startedAt: w.clk.Now(), version: w.configVersion()})
	}
	changes, err = w.store.OperatorChanges(callCtx, from, wait)
	w.setOpenRead(configRead{})
	return changes, callCtx.Err() != nil, err
}

// obtainConfig obtains a configuration after position from that the leader has announced,
// also while this host cannot read it from the store. It returns false if the leader does
// not send one.
func (w *storeWatcher) obtainConfig(ctx context.Context, policy readPolicy, from Position) (Position, bool) {
	if !policy.configAnnounced || !w.configAnnouncedAfter(policy, from) {
		return Position{}, false
	}
	records, position, ok := w.fetchConfig(ctx, from)
	if ok {
		w.useChanges(w.store.AdoptConfig(records, position), from)
	}
	return position, ok
}

const (
	// announcedConfigInterval is the interval at which a host reads the configuration
	// although its leader announces no change: the leader repeats its notices, and each of
	// its messages states the version. missingConfigInterval is that of a host without
	// one, which serves no requests.
	announcedConfigInterval = time.Minute
	missingConfigInterval   = 5 * time.Second
	// maxFruitlessPause is the longest pause before a configuration that the leader
	// announced, and that the store does not have, is read again.
	maxFruitlessPause = 10 * time.Second
)

// configDue reports whether the configuration is to be read now by a host that has read up
// to the given position, last at readAt.
func (w *storeWatcher) configDue(policy readPolicy, from Position, readAt time.Duration) bool {
	if policy.deferConfig {
		return false
	}
	if !policy.configAnnounced {
		return true
	}
	interval := announcedConfigInterval
	if w.config.Load() == nil {
		interval = missingConfigInterval
	}
	return w.configAnnouncedAfter(policy, from) || w.clk.Now()-readAt > interval
}

// configAnnouncedAfter reports whether the leader has read the configuration further than
// to the given position.
func (w *storeWatcher) configAnnouncedAfter(policy readPolicy, from Position) bool {
	return policy.configPosition.follows(from) || policy.leaderVersion > w.configVersion()
}

// useChanges applies what was read of the operator's topic from position from.
func (w *storeWatcher) useChanges(c OperatorChanges, from Position) {
	w.setConfigPosition(c.Next)
	w.configMissing.Store(c.Next.Offset == 0)
	w.applyEvacuations(c, from)
	w.applyConfig(c.Config)
}

// applyEvacuations applies the evacuations of a read from position from.
func (w *storeWatcher) applyEvacuations(c OperatorChanges, from Position) {
	w.mu.Lock()
	now := w.clk.Now()
	evacuations := w.directory.Evacuations()
	before := evacuations.List(now)
	if c.Full {
		restored := from.Era != 0 && c.Next.Era != from.Era
		evacuations.Replace(c.Evacuations, restored, now)
	} else {
		evacuations.Apply(c.Evacuations)
	}
	after := evacuations.List(now)
	w.mu.Unlock()
	if slices.Equal(before, after) {
		return
	}
	w.log.With("data_centres", after).Info("the evacuated data centres have changed; their servers get no new requests")
	w.onChange()
}

// evacuated returns the evacuated data centres.
func (w *storeWatcher) evacuated() []topology.DataCentre {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Evacuations().List(w.clk.Now())
}

// awaitConfigNews waits until the leader announces a configuration, or the role of this
// host may have changed.
func (w *storeWatcher) awaitConfigNews(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.configWake:
	case <-time.After(roleCheckInterval):
	}
}

// readConfigNow makes runConfig check at once whether the configuration is to be read.
func (w *storeWatcher) readConfigNow() {
	select {
	case w.configWake <- struct{}{}:
	default:
	}
}

func (w *storeWatcher) setConfigPosition(p Position) {
	w.openReadMu.Lock()
	defer w.openReadMu.Unlock()
	w.configFrom, w.configReadAt = p, w.clk.Now()
}

// configReadAge returns the time since the configuration was last read.
func (w *storeWatcher) configReadAge() time.Duration {
	w.openReadMu.Lock()
	defer w.openReadMu.Unlock()
	return w.clk.Now() - w.configReadAt
}

// configPosition returns the position up to which this host has read the configuration.
func (w *storeWatcher) configPosition() Position {
	w.openReadMu.Lock()
	defer w.openReadMu.Unlock()
	return w.configFrom
}

func (w *storeWatcher) setOpenRead(read configRead) {
	w.openReadMu.Lock()
	defer w.openReadMu.Unlock()
	w.openRead = read
}

// cancelStaleReads cancels reads that are held open for longer than the role of
// the host allows, or although the leader has known a newer configuration for a
// while: on a working connection the read returns it at about the time at which
// the leader announces it.
func (w *storeWatcher) cancelStaleReads(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, w.active.timing().configCheckInterval)
		policy := w.policy()
		w.openReadMu.Lock()
		read := w.openRead
		if policy.leaderVersion != w.leaderVersion {
			w.leaderVersion, w.leaderVersionSince = policy.leaderVersion, w.clk.Now()
		}
		late := policy.leaderVersion > read.version && w.clk.Now()-w.leaderVersionSince > w.active.timing().newerConfigGrace
		w.openReadMu.Unlock()
		grace := w.active.timing().configWaitGrace
		if policy.configGrace > 0 {
			grace = policy.configGrace
		}
		if read.cancel != nil && (late || w.clk.Now()-read.startedAt > policy.configWait+grace) {
			read.cancel()
		}
	}
}

// configVersion returns the version of the configuration in force; zero if none
// is.
func (w *storeWatcher) configVersion() int64 {
	if cfg := w.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

func (w *storeWatcher) applyConfig(config *fleet.Config) {
	if config == nil {
		return
	}
	old := w.config.Load()
	if old != nil && old.Version >= config.Version {
		return
	}
	w.config.Store(config)
	w.log.With("version", config.Version).With("services", len(config.Services)).Info("a new configuration is in force")
	w.onChange()
}

// runServers follows the registrations until the context ends.
func (w *storeWatcher) runServers(ctx context.Context) {
	failing := false
	var pause backoff
	for ctx.Err() == nil {
		if policy := w.policy(); policy.deferList || policy.listFromLeader {
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		err := w.readServers(ctx)
		if errors.Is(err, errReadAgain) {
			continue
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			if failing {
				w.log.Warn("the registrations of servers cannot be read: " + err.Error())
			} else {
				w.log.Info("the registrations of servers can be read again")
			}
		}
		w.onChange()
		policy := w.policy()
		if err != nil {
			// A host without a leader requests reads all the time, which must
			// not cut the pause short.
			select {
			case <-ctx.Done():
			case <-w.retry:
			case <-time.After(pause.next(policy.maxRetryPause)):
			}
			continue
		}
		pause.reset()
		w.onRead()
		if policy.readOwners {
			w.readOwners(ctx)
		}
		w.awaitPoll(ctx)
	}
}

// awaitPoll waits until the registrations are to be read again by the role that the host
// then has, or until readNow is called.
func (w *storeWatcher) awaitPoll(ctx context.Context) {
	for since := w.clk.Now(); ; {
		policy := w.policy()
		left := policy.pollInterval - (w.clk.Now() - since)
		if left <= 0 || policy.listFromLeader {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			return
		case <-time.After(min(left, roleCheckInterval)):
		}
	}
}

// applyLeaderList applies changes of servers that the leader read from the store at the
// given time or later, unless this host has read the registrations since, or is reading
// them: the changes would undo what that read shows. If advance returns true, the changes
// continue the list; unlisted servers then are not registered.
func (w *storeWatcher) applyLeaderList(page statesync.Page, asOf time.Duration, advance func() (unlisted func(topology.ServerID) bool, ok bool)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	if w.readStartedAt != 0 || (w.directory.Loaded() && now-w.directory.Age(now) > asOf) {
		return false
	}
	unlisted, ok := advance()
	if !ok {
		return false
	}
	for _, c := range page.Changes {
		switch {
		case c.Server == nil:
		case c.Removed:
			w.directory.Remove(c.Server.ID, now)
		default:
			w.directory.Set(*c.Server)
		}
	}
	if unlisted != nil {
		var removed []topology.ServerID
		w.directory.Servers(now, func(s fleet.Server) {
			if unlisted(s.ID) {
				removed = append(removed, s.ID)
			}
		})
		for _, id := range removed {
			w.directory.Remove(id, now)
		}
	}
	if !page.More {
		w.leaderListAsOf = asOf
	}
	w.forgetLeaving(now)
	return true
}

// listAsOf returns the time to which this host knows the list of servers, by its own reads
// or through its leader.
func (w *storeWatcher) listAsOf() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	return max(now-w.directory.Age(now), w.leaderListAsOf)
}

// readsFail reports whether the last read of the registrations failed.
func (w *storeWatcher) readsFail() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// loaded reports whether this host has read the registrations.
func (w *storeWatcher) loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Loaded()
}

// readNow makes the next read of the registrations due at once.
func (w *storeWatcher) readNow() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// errReadAgain is the cause of the end of a read that storeResponded has cancelled.
var errReadAgain = errors.New("the store responds again")

// storeResponded records that the store has responded to another call of this host. A
// read of the registrations that failed before is then no sign of an outage, so they are
// read again before requests are sent by the list.
func (w *storeWatcher) storeResponded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.failed {
		return
	}
	w.failed = false
	if w.cancelRead != nil {
		w.cancelRead(errReadAgain)
		w.readStartedAt = 0 // its goroutine may be slow to notice; the read must not count as overdue
	}
	select {
	case w.retry <- struct{}{}:
	default:
	}
}

func (w *storeWatcher) readServers(ctx context.Context) error {
	readCtx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	w.mu.Lock()
	from := w.next
	sent := w.clk.Now()
	limit := storeTimeout
	if from == (Position{}) || sent-w.lastReadAt > w.active.timing().fullReadAge {
		from, limit = Position{}, fullReadTimeout
	}
	w.readStartedAt, w.cancelRead = sent, cancelRead
	w.mu.Unlock()
	callCtx, cancel := context.WithTimeout(readCtx, limit)
	defer cancel()
	c, err := w.store.ServerChanges(callCtx, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	w.readStartedAt, w.cancelRead = 0, nil
	if err != nil && errors.Is(context.Cause(readCtx), errReadAgain) {
		return errReadAgain
	}
	w.failed = err != nil
	if err != nil {
		w.failedAt = now
		w.directory.ReadFailed(now)
		return err
	}
	w.directory.ReadSucceeded(sent)
	if w.next.Era != 0 && c.Next.Era != w.next.Era {
		w.log.With("era", c.Next.Era).Warn("the registrations were read from a store that was restored from a copy")
		w.directory.Restored()
	}
	w.lastReadAt = now
	previous := w.next
	w.next = c.Next
	defer w.logOutage(now)
	defer w.forgetLeaving(now)
	if c.Full {
		var list []fleet.Server
		for _, ch := range c.Changes {
			if ch.Server == nil {
				continue
			}
			list = append(list, *ch.Server)
			if c.Next.Era != previous.Era || ch.Offset >= previous.Offset {
				w.directory.MayHaveExpired(ch.ID, now)
			}
		}
		w.directory.Replace(list, now)
		return nil
	}
	for _, ch := range c.Changes {
		if ch.Server == nil {
			w.directory.Remove(ch.ID, now)
			continue
		}
		w.directory.Set(*ch.Server)
	}
	return nil
}

// logOutage logs how the end of registrations during failed reads is explained. The
// caller holds the lock.
func (w *storeWatcher) logOutage(now time.Duration) {
	outage, ok := w.directory.Outage(now)
	if !ok || outage == w.loggedOutage {
		return
	}
	w.loggedOutage = outage
	w.log.With("expired", outage.Expired).With("registered", outage.Registered).With("kept", outage.Kept).Info("registrations were read after a failure; kept is true if most expired")
}

// servers returns the registered servers.
func (w *storeWatcher) servers() []fleet.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []fleet.Server
	w.directory.Servers(w.clk.Now(), func(s fleet.Server) { list = append(list, s) })
	return list
}

// listAge returns the age of the list of servers.
func (w *storeWatcher) listAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Age(w.clk.Now())
}

// storeReachable reports whether this host reaches the store.
func (w *storeWatcher) storeReachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Loaded() && !w.failed && w.directory.Age(w.clk.Now()) < w.active.timing().maxListAge
}

// listUsable reports whether requests may be sent to the servers of the list:
// it is fresh, or reading it failed or takes too long. A host that has just
// become responsible for the list, or reaches the store again, reads it first,
// because servers may have announced their shutdown since.
func (w *storeWatcher) listUsable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	if w.directory.Loaded() && w.directory.Age(now) < w.active.timing().maxListAge {
		return true
	}
	if w.failed && now-w.failedAt < 2*storeTimeout {
		return true
	}
	return w.readStartedAt != 0 && now-w.readStartedAt > w.active.timing().readOverdueAfter
}
