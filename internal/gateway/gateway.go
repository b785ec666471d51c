// Package gateway implements the process of an entry host on a platform that
// provides a linearizable store. Each host accepts requests of callers and
// forwards them directly to servers. One host leads: it grants keys to servers
// and decides for the other hosts which server each request goes to.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/httpserver"
	"github.com/lycheerudder/lycheerudder/internal/listen"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/pieces"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// busyTick is the interval of gateway.tick while requests or reports wait
	// for the leader, idleTick the interval otherwise.
	busyTick = 15 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// retryLogInterval is the interval of the log lines on retries.
	retryLogInterval = time.Second
	// closeExpiredInterval is the interval at which idle connections to servers
	// are closed.
	closeExpiredInterval = 2 * time.Second
	// readHeaderTimeout is used until the configuration states one.
	readHeaderTimeout = 10 * time.Second
	// The default limits apply until a configuration is known.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 64 << 20
	defaultIdle        = 15 * time.Second
	// network is the network of all listeners of a host.
	network = "tcp4"
	// stopReserve is the end of the grace period that is kept for the exit of
	// the process.
	stopReserve = 400 * time.Millisecond
	// finalResponseTime is the time before the end of the stop at which requests whose
	// servers have not responded get their final response. Responses that wait for
	// theirs on the same connections are written in it.
	finalResponseTime = 250 * time.Millisecond
	// lateRequestTime is the time after notReadyTime in which a stopping host still passes
	// on requests that may last longer than it: they were sent before their callers could
	// know of the stop.
	lateRequestTime = 500 * time.Millisecond
	// stopWaitShare is the share of the grace period after which a stopping host
	// lets no request wait for a server. The rest is left for running requests.
	stopWaitShare = 2.0 / 3
)

// errHostStops is the cause of the end of requests that a stopping host gives up.
var errHostStops = errors.New("the host stops")

// gateway is the state of one process.
type gateway struct {
	settings     Settings
	active       *activeBounds
	clk          clock.Clock
	log          logging.Logger
	store        Store
	watcher      *storeWatcher
	link         *hostlink.Link
	leaderClient *leaderClient
	followers    *followers
	elector      *elector
	stateSource  *stateSource
	stateCopy    *stateCopy
	ingress      *ingress
	upstream     *upstream.Client
	callers      *httpserver.Server
	stopping     atomic.Bool
	startedAt    time.Duration
}

// HandleToLeader implements hostlink.Handler.
func (g *gateway) HandleToLeader(from netip.AddrPort, m *hostlink.ToLeader) {
	g.followers.handle(from, m)
}

// HandleFromLeader implements hostlink.Handler.
func (g *gateway) HandleFromLeader(from netip.AddrPort, m *hostlink.FromLeader) {
	g.leaderClient.handle(from, m)
}

// HandleServerLimits implements hostlink.Handler.
func (g *gateway) HandleServerLimits(m *hostlink.ServerLimits) { g.followers.handleLimits(m) }

// HandleLeavingServers implements hostlink.Handler.
func (g *gateway) HandleLeavingServers(m *hostlink.LeavingServers) { g.watcher.recordLeavingServers(m) }

// HandleServerPauses implements hostlink.Handler.
func (g *gateway) HandleServerPauses(m *hostlink.ServerPauses) { g.followers.handlePauses(m) }

// HandleStateRequest implements hostlink.StateHandler.
func (g *gateway) HandleStateRequest(from netip.AddrPort, m *hostlink.StateRequest) {
	g.stateSource.handle(from, m)
}

// HandleStateChanges implements hostlink.StateHandler.
func (g *gateway) HandleStateChanges(from netip.AddrPort, m *hostlink.StateChanges) {
	g.stateCopy.handle(from, m)
}

// HandleConfigNotice implements hostlink.StateHandler.
func (g *gateway) HandleConfigNotice(from netip.AddrPort, m *hostlink.ConfigNotice) {
	g.stateCopy.handleNotice(from, m)
}

// HandleConfigRequest implements hostlink.StateHandler.
func (g *gateway) HandleConfigRequest(from netip.AddrPort, m *hostlink.ConfigRequest) {
	g.stateSource.handleConfigRequest(from, m)
}

// HandleConfigPart implements hostlink.StateHandler.
func (g *gateway) HandleConfigPart(from netip.AddrPort, m *hostlink.ConfigPart) {
	g.stateCopy.handleConfigPart(from, m)
}

// HandleHedgeRequests implements hostlink.Handler.
func (g *gateway) HandleHedgeRequests(m *hostlink.HedgeRequests) { g.followers.handleHedges(m) }

// HandleServerPaces implements hostlink.PacesHandler.
func (g *gateway) HandleServerPaces(m *hostlink.ServerPaces) { g.followers.handlePaces(m) }

// Run serves until the context ends, and then stops gracefully. It accepts
// changed settings while it runs: the bounds apply at once, the rest after the
// next start.
func Run(ctx context.Context, settings Settings, changed <-chan Settings, names HTTPNames, store Store, grantClient GrantClient, metrics *Metrics) error {
	if err := settings.Check(); err != nil {
		return eris.Wrap(err, "settings")
	}
	g, err := newGateway(settings, names, store, grantClient, metrics)
	if err != nil {
		return err
	}
	g.logProblems(settings.Bounds)
	g.log.With("host", string(settings.Host)).With("data_centre", string(settings.DataCentre)).Info("host starts")
	go g.watchSettings(ctx, changed)
	return g.run(ctx)
}

// logProblems logs the bounds that cannot be met.
func (g *gateway) logProblems(b Bounds) {
	for _, err := range b.Problems() {
		g.log.Warn("a bound in the settings cannot be met: " + err.Error())
	}
}

// watchSettings applies changed settings until the context ends.
func (g *gateway) watchSettings(ctx context.Context, changed <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-changed:
			g.reload(next)
		}
	}
}

// reload applies the bounds of changed settings, unless the settings have a
// problem.
func (g *gateway) reload(next Settings) {
	// These are not set by the settings file.
	next.MetricsAddress, next.HedgeShare = g.settings.MetricsAddress, g.settings.HedgeShare
	if err := next.Check(); err != nil {
		g.log.Error("the changed settings are invalid and are not used", err)
		return
	}
	g.logProblems(next.Bounds)
	old := g.settings
	old.Bounds = next.Bounds
	g.active.set(next.Bounds)
	g.log.With("next_start", next != old).Info("changed bounds are in force; next_start is true if other settings need a restart")
}

// Metrics holds the metrics of a process.
type Metrics = metrics

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &metrics{} }

// Count adds one to a counter.
func (m *metrics) Count(name string) { m.inc(name) }

// CountStoreCall adds one to the counter of calls of one kind to the store.
func (m *metrics) CountStoreCall(kind string) { add(&m.storeCalls, kind) }

func newGateway(settings Settings, names HTTPNames, store Store, grantClient GrantClient, metrics *Metrics) (*gateway, error) {
	link, err := hostlink.Listen(net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)))
	if err != nil {
		return nil, err
	}
	return newGatewayOn(clock.BootTime{}, link, settings, names, store, grantClient, metrics)
}

// newGatewayOn returns a gateway with the given clock and link.
func newGatewayOn(clk clock.Clock, link *hostlink.Link, settings Settings, names HTTPNames, store Store, grantClient GrantClient, metrics *Metrics) (*gateway, error) {
	address, err := netip.ParseAddrPort(net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)))
	if err != nil {
		return nil, eris.Wrap(err, "address of the host")
	}
	g := &gateway{settings: settings, active: newActiveBounds(settings.Bounds), clk: clk, startedAt: clk.Now(), store: store, link: link, log: logging.For(logging.Router)}
	incarnation := rand.Uint64()
	responses := membudget.New(memoryShare(settings.MemoryBytes, responseMemoryShare))
	metrics.RegisterFunc("response_memory_bytes", func() float64 { return float64(responses.Used()) })
	g.upstream = upstream.New(upstream.Headers{
		RequestID: names.RequestID, TimeLeft: names.TimeLeft, Target: names.Target,
		Signature: names.Signature, NotExecuted: names.NotExecuted, ServerLoad: names.ServerLoad, ServerLimit: names.ServerLimit, Leaving: names.Leaving,
	}, responses)
	g.upstream.SetMaxIdle(maxIdleServerConns(settings.MaxSockets))
	g.watcher = newStoreWatcher(clk, store, g.active, g.readPolicy, g.storeChanged)
	g.leaderClient = newLeaderClient(clk, link, incarnation, settings.DataCentre, func() { g.elector.checkNow() }, g.watcher.listUsable)
	g.followers = &followers{clk: clk, link: link, incarnation: incarnation, header: g.messageHeader, deliverLocal: g.leaderClient.deliver, currentLeader: g.leaderClient.currentLeader}
	g.elector = &elector{
		clk: clk, store: store, grantClient: grantClient, leaderClient: g.leaderClient, followers: g.followers, watcher: g.watcher,
		log: logging.For(logging.Lead), leaderLog: newLeaderLog(logging.For(logging.Lead), clk), memberID: string(settings.Host) + memberSeparator + strconv.FormatUint(incarnation, 36),
		metrics: metrics, active: g.active, self: address, claimWeight: 1 / max(settings.CPUShare, minCPUShare), wake: make(chan struct{}, 1),
	}
	g.leaderClient.fallback.warmup = g.warmupShare
	g.leaderClient.active, g.leaderClient.leavingServers = g.active, g.watcher.leavingServers
	g.leaderClient.cpuPercent = uint16(min(settings.CPUShare*100, 60000))
	g.watcher.readOwners = func(ctx context.Context) {
		if _, _, err := g.elector.readOwners(ctx); err != nil && ctx.Err() == nil {
			g.log.Warn("the key maps cannot be read: " + err.Error())
		}
	}
	g.leaderClient.endLeadership = g.elector.endLeadership
	g.stateSource = &stateSource{clk: clk, link: link, watcher: g.watcher, elector: g.elector}
	g.stateCopy = &stateCopy{clk: clk, log: logging.For(logging.Platform), link: link, watcher: g.watcher, client: g.leaderClient, onChange: g.storeChanged, configParts: make(chan *hostlink.ConfigPart, 4)}
	g.watcher.fetchConfig = g.stateCopy.fetchConfig
	g.elector.onOwnersRead, g.watcher.onRead = g.stateCopy.setOwners, g.stateCopy.reset
	g.leaderClient.newConfig = g.watcher.readConfigNow
	g.ingress = &ingress{
		clk: clk, names: names, leaderClient: g.leaderClient, watcher: g.watcher, upstream: g.upstream,
		budget: newRetryBudget(clk, g.active), hedges: hedge.New(settings.HedgeShare), log: newRequestLog(clk), metrics: metrics,
	}
	g.callers = httpserver.New(g.ingress.handle, g.limits)
	requests := membudget.NewRequestBudget(memoryShare(settings.MemoryBytes, requestMemoryShare), pieces.SlowAfter)
	metrics.RegisterFunc("request_memory_bytes", func() float64 { return float64(requests.Used()) })
	g.callers.SetMemory(requests)
	g.upstream.SetMakeRoom(g.callers.CloseSlowReader)
	metrics.RegisterFunc("slow_readers_closed_total", func() float64 { return float64(g.callers.SlowReadersClosed()) })
	g.callers.OnRefusal(g.ingress.refuseUnread)
	g.callers.OnAcceptError(newAcceptErrors(g.log, clk, metrics, g.upstream).handle)
	metrics.RegisterFunc("caller_connections", func() float64 { return float64(g.callers.ConnCount()) })
	metrics.RegisterFunc("idle_server_connections", func() float64 { return float64(g.upstream.IdleCount()) })
	metrics.RegisterFunc("order_calls", func() float64 { return float64(g.elector.callsInFlight.Load()) })
	metrics.RegisterFunc("leads", func() float64 {
		if g.leaderClient.state().leads {
			return 1
		}
		return 0
	})
	metrics.RegisterFunc("server_list_age_seconds", func() float64 { return g.watcher.listAge().Seconds() })
	metrics.RegisterFunc("leader_list_age_seconds", func() float64 { return g.leaderClient.state().listAge.Seconds() })
	metrics.RegisterFunc("leader_state_age_seconds", func() float64 { return g.stateCopy.age().Seconds() })
	metrics.RegisterFunc("config_version", func() float64 { return float64(g.watcher.configVersion()) })
	for name, pick := range map[string]func(summary) int{
		"waiting": func(sum summary) int { return sum.waiting }, "running": func(sum summary) int { return sum.running },
		"slots": func(sum summary) int { return sum.slots }, "cold_servers": func(sum summary) int { return sum.cold }, "key_ranges": func(sum summary) int { return sum.keyRanges },
		"key_ranges_moving": func(sum summary) int { return sum.moving }, "key_ranges_unowned": func(sum summary) int { return sum.unowned },
	} {
		metrics.RegisterFunc(name, func() float64 { return g.elector.sumServices(pick) })
	}
	metrics.RegisterFunc("limited_servers", func() float64 { return float64(g.leaderClient.limits.count()) })
	metrics.RegisterFunc("unusual_pace_servers", func() float64 { return float64(g.leaderClient.paces.count()) })
	metrics.RegisterFunc("leaving_servers", func() float64 { return float64(len(g.watcher.leavingServers())) })
	metrics.RegisterFunc("evacuated_data_centres", func() float64 { return float64(len(g.watcher.evacuated())) })
	metrics.RegisterFunc("hosts", func() float64 { return float64(g.leaderClient.state().hosts) })
	return g, nil
}

// minCPUShare bounds the delay of the claims of hosts with little CPU.
const minCPUShare = 0.1

// readPolicy returns how this host reads from the store in its present role:
// the leader reads for all hosts. The others read in its place when it does not
// respond or has lost the store.
func (g *gateway) readPolicy() readPolicy {
	s := g.leaderClient.state()
	t := g.active.timing()
	switch {
	case s.leads:
		return readPolicy{pollInterval: t.leaderPollInterval, configWait: t.leaderConfigWait, configGrace: t.leaderConfigGrace, leaderVersion: s.configVersion, maxRetryPause: maxLeaderRetryPause}
	case g.leaderClient.leaderSilent():
		starting := g.clk.Now()-g.startedAt < leaderSearchTime && !s.followed
		return readPolicy{
			pollInterval: t.urgentPollInterval, configWait: t.urgentConfigWait, leaderVersion: s.configVersion, maxRetryPause: maxHostRetryPause,
			// Without a configuration, there is nothing to send to a server.
			deferConfig: starting, deferList: starting || g.watcher.config.Load() == nil,
		}
	case s.listAge > t.staleListAge || g.leaderClient.leaderLostStore():
		// The store may be down for all hosts. One of them notices its return to replace a
		// leader that is cut off; the configuration is obtained from the leader meanwhile.
		news := g.stateCopy.news()
		return readPolicy{
			pollInterval: t.urgentPollInterval, configWait: t.urgentConfigWait, leaderVersion: s.configVersion,
			maxRetryPause:   min(max(maxHostRetryPause, time.Duration(s.hosts)*retryPausePerHost), maxSharedRetryPause),
			configAnnounced: news.current && t.configAnnounced && g.watcher.readsFail(), configPosition: news.configPosition,
			deferList: g.watcher.config.Load() == nil,
		}
	default:
		news := g.stateCopy.news()
		return readPolicy{
			pollInterval: max(followerPollInterval, time.Duration(s.hosts)*pollIntervalPerHost), configWait: hostConfigWait, leaderVersion: s.configVersion,
			readOwners: true, maxRetryPause: maxHostRetryPause,
			listFromLeader: news.current, configAnnounced: news.current && news.configRead && t.configAnnounced, configPosition: news.configPosition,
		}
	}
}

// leaderSearchTime is the time after the start for which a host looks for a leader, or
// becomes one, before it reads what a host without a leader needs. A search takes two or
// three calls of some milliseconds and a claim up to 0.7 s, 0.2 s on a host with half a
// core. When 70 hosts started together, half of their calls were such reads.
const leaderSearchTime = 700 * time.Millisecond

// storeChanged passes a new configuration or list of servers to the schedulers of this
// host.
func (g *gateway) storeChanged() {
	cfg := g.watcher.config.Load()
	if cfg == nil {
		return
	}
	readAt := g.watcher.listAsOf()
	servers := g.watcher.servers()
	g.leaderClient.pauses.endRestarted(servers, readAt)
	g.elector.mu.Lock()
	keyMaps := g.elector.keyMaps
	g.elector.mu.Unlock()
	g.followers.announceConfig(cfg.Version)
	g.leaderClient.fallback.addServices(cfg, keyMaps, nil)
	g.leaderClient.fallback.updateServers(servers)
	if own := g.elector.scheduler.Load(); own != nil {
		own.updateServers(servers)
	}
}

// messageHeader returns the fields that all messages to hosts share.
func (g *gateway) messageHeader() hostlink.FromLeader {
	// A new leader is not to be replaced before it has read the list for the first time.
	age := min(g.watcher.listAge(), g.clk.Now()-time.Duration(g.elector.leadsSince.Load()))
	_, epoch := g.leaderClient.currentLeader()
	return hostlink.FromLeader{
		Epoch: epoch, DirectoryAgeMS: uint32(min(age, time.Minute).Milliseconds()), ConfigVersion: g.watcher.configVersion(),
	}
}

func (g *gateway) run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	leadCtx, stopLead := context.WithCancel(workCtx)
	defer stopLead()
	g.startLoops(workCtx, leadCtx)

	ready := &http.Server{Handler: http.HandlerFunc(g.handleReady), ReadHeaderTimeout: readHeaderTimeout}
	callers := g.callers
	failed := make(chan error, 3)
	if g.settings.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.ingress.metrics.write(w) })
		g.registerStateHandlers(mux)
		srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
		if _, err := listen.Start(network, g.settings.MetricsAddress, srv.Serve, failed); err != nil {
			return err
		}
	}
	callersCtx, endRequests := context.WithCancelCause(workCtx)
	defer endRequests(nil)
	serve := func(l net.Listener) error {
		if err := callers.Serve(callersCtx, l); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}
	if _, err := listen.Start(network, g.settings.CallerAddress, serve, failed); err != nil {
		return err
	}
	if _, err := listen.Start(network, g.settings.ReadyAddress, ready.Serve, failed); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop(context.WithoutCancel(ctx), callers, stopLead, endRequests)
	return nil
}

// startLoops starts what the host does beside serving requests. It leads no longer than
// leadCtx lasts.
func (g *gateway) startLoops(ctx, leadCtx context.Context) {
	go func() {
		err := g.link.Receive(g, func(err error) { g.log.Warn("a datagram cannot be decoded: " + err.Error()) })
		if ctx.Err() == nil {
			g.log.Error("the peer socket failed", err)
		}
	}()
	go g.watcher.runConfig(ctx)
	go g.watcher.runServers(ctx)
	go g.elector.run(leadCtx)
	go g.tick(ctx)
}

// stop reports the host as not ready, so that the balancer sends requests
// elsewhere, ends the leadership, and returns once all requests have a response
// or the grace period is over. Before that, requests that may outlast the stop or wait
// for a server for too long are refused, and those whose servers do not respond in time
// are given up by endRequests.
func (g *gateway) stop(parent context.Context, callers *httpserver.Server, stopLead func(), endRequests context.CancelCauseFunc) {
	g.log.Info("host stops")
	g.stopping.Store(true)
	startedAt := time.Now()
	stopLead()
	grace, notReadyTime := g.active.bounds.Load().StopGrace, g.active.timing().notReadyTime
	giveUpAfter := grace - stopReserve - finalResponseTime
	end := g.clk.Now() + giveUpAfter
	for _, step := range []struct {
		after time.Duration
		run   func()
	}{
		{notReadyTime + lateRequestTime, func() { g.leaderClient.refuseDeadlinesAfter(end) }},
		{time.Duration(stopWaitShare * float64(grace)), func() { g.leaderClient.refuseDeadlinesAfter(0) }},
		{giveUpAfter, func() { endRequests(errHostStops) }},
	} {
		timer := time.AfterFunc(step.after, step.run)
		defer timer.Stop()
	}
	time.Sleep(notReadyTime)
	ctx, cancel := context.WithDeadline(parent, startedAt.Add(grace-stopReserve))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Error("requests are still open at the end of the grace period", err)
	}
	g.log.Info("host has stopped")
}

// limits returns the limits on requests of callers that are in force.
func (g *gateway) limits() httpserver.Limits {
	l := httpserver.Limits{
		MaxConns:    maxCallerConns(g.settings.MaxSockets),
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: readHeaderTimeout, IdleTimeout: defaultIdle,
	}
	cfg := g.watcher.config.Load()
	if cfg == nil {
		return l
	}
	if cfg.Limits.MaxHeaderBytes > 0 {
		l.HeaderBytes = cfg.Limits.MaxHeaderBytes
	}
	if cfg.Limits.MaxBodyBytes > 0 {
		l.BodyBytes = cfg.Limits.MaxBodyBytes
	}
	if cfg.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = cfg.Limits.HeaderTimeout
	}
	l.IdleTimeout = max(l.IdleTimeout, cfg.Limits.IdleTimeout)
	return l
}

// handleReady responds to the readiness checks of the balancer. A host that cannot accept
// connections is not ready: callers would wait for their connections in vain.
func (g *gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.watcher.config.Load() == nil || !g.callers.Accepting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serviceName returns the name of a service of the present configuration.
func (g *gateway) serviceName(serviceHash uint32) string {
	if cfg := g.watcher.config.Load(); cfg != nil {
		for name := range cfg.Services {
			if hash32(string(name)) == serviceHash {
				return string(name)
			}
		}
	}
	return "unknown"
}

// tick repeats routing requests, logs the retries and closes idle connections until
// the context ends.
func (g *gateway) tick(ctx context.Context) {
	lastClose, lastRetryLog := time.Now(), time.Now()
	for ctx.Err() == nil {
		g.leaderClient.tick()
		g.stateCopy.tick()
		g.stateSource.announceConfig(g.followers.addresses)
		g.ingress.budget.setHosts(g.leaderClient.state().hosts)
		if time.Since(lastRetryLog) > retryLogInterval {
			lastRetryLog = time.Now()
			g.ingress.budget.logRecent(g.ingress.log.log, g.serviceName)
		}
		if time.Since(lastClose) > closeExpiredInterval {
			lastClose = time.Now()
			g.upstream.CloseExpired()
		}
		if g.leaderClient.hasPending() {
			clock.Sleep(ctx, busyTick)
		} else {
			clock.Sleep(ctx, idleTick)
		}
	}
}
