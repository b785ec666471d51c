// Package gateway is the process of an entry host on a platform whose store
// keeps what must last. Each host takes requests of callers and sends them
// straight to servers. One host leads: it grants keys to servers and tells the
// others which server each request goes to.
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
	"github.com/lycheerudder/lycheerudder/internal/front"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/listen"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// busyTick is the interval at which open questions are looked at, idleTick
	// that without any.
	busyTick = 15 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// trimInterval is the interval at which idle connections are closed.
	trimInterval = 2 * time.Second
	// readHeaderTimeout is used until the configuration states one.
	readHeaderTimeout = 10 * time.Second
	// defaultLimits hold until a configuration is known.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 64 << 20
	defaultIdle        = 15 * time.Second
	// network is that of all listeners of a host.
	network = "tcp4"
	// stopReserve is kept from the grace for the end of the process.
	stopReserve = 400 * time.Millisecond
)

// gateway is the state of one process.
type gateway struct {
	set      Settings
	terms    *terms
	clk      clock.Clock
	log      logging.Logger
	store    Store
	watch    *watch
	link     *hostlink.Link
	desk     *desk
	peers    *peers
	elector  *elector
	ingress  *ingress
	upstream *upstream.Client
	stopping atomic.Bool
}

// HandleToLeader implements hostlink.Handler.
func (g *gateway) HandleToLeader(from netip.AddrPort, m *hostlink.ToLeader) { g.peers.handle(from, m) }

// HandleFromLeader implements hostlink.Handler.
func (g *gateway) HandleFromLeader(from netip.AddrPort, m *hostlink.FromLeader) {
	g.desk.handle(from, m)
}

// Run serves until the context ends, and then stops gracefully. It takes changed
// settings while it runs: the bounds are in force at once, the rest from the
// next start on.
func Run(ctx context.Context, set Settings, changed <-chan Settings, names Names, store Store, grants Grants, st *Stats) error {
	if err := set.Check(); err != nil {
		return eris.Wrap(err, "settings")
	}
	g, err := newGateway(set, names, store, grants, st)
	if err != nil {
		return err
	}
	g.warn(set.Bounds)
	g.log.With("host", string(set.Host)).With("data_centre", string(set.DataCentre)).Info("host starts")
	go g.follow(ctx, changed)
	return g.run(ctx)
}

// warn names the promises that cannot be kept.
func (g *gateway) warn(b Bounds) {
	for _, err := range b.Problems() {
		g.log.Warn("a promise of the settings cannot be kept: " + err.Error())
	}
}

// follow puts changed settings in force.
func (g *gateway) follow(ctx context.Context, changed <-chan Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-changed:
			g.reload(next)
		}
	}
}

// reload puts the bounds of changed settings in force, unless the settings have
// a problem.
func (g *gateway) reload(next Settings) {
	next.MetricsAddress = g.set.MetricsAddress // not of the settings file
	if err := next.Check(); err != nil {
		g.log.Error("the changed settings have problems and are not used", err)
		return
	}
	g.warn(next.Bounds)
	old := g.set
	old.Bounds = next.Bounds
	g.terms.set(next.Bounds)
	g.log.With("next_start", next != old).Info("changed settings are in force; next_start tells whether some hold from the next start on")
}

// Stats are the metrics of a process.
type Stats = stats

// NewStats returns empty metrics.
func NewStats() *Stats { return &stats{} }

// Count adds one to a counter.
func (s *stats) Count(name string) { s.count(name) }

func newGateway(set Settings, names Names, store Store, grants Grants, st *Stats) (*gateway, error) {
	clk := clock.Boot{}
	self := net.JoinHostPort(set.IP, strconv.Itoa(set.PeerPort))
	link, err := hostlink.Listen(self)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(self)
	if err != nil {
		return nil, eris.Wrap(err, "address of the host")
	}
	g := &gateway{set: set, terms: newTerms(set.Bounds), clk: clk, store: store, link: link, log: logging.For(logging.Router)}
	incarnation := rand.Uint64()
	g.upstream = upstream.New(upstream.Headers{
		RequestID: names.RequestID, TimeLeft: names.TimeLeft, Target: names.Target,
		Signature: names.Signature, NotExecuted: names.NotExecuted, ServerLoad: names.ServerLoad,
	})
	g.watch = newWatch(clk, store, g.terms, g.need, g.changed)
	g.desk = newDesk(clk, link, incarnation, set.DataCentre, func() { g.elector.suspect() }, g.watch.trusted)
	g.peers = &peers{clk: clk, link: link, self: incarnation, status: g.status, local: g.desk.decide, known: g.desk.followed}
	g.elector = &elector{
		clk: clk, store: store, grants: grants, desk: g.desk, peers: g.peers, watch: g.watch,
		log: logging.For(logging.Lead), member: string(set.Host) + "#" + strconv.FormatUint(incarnation, 36),
		stats: st, terms: g.terms, self: address, weight: 1 / max(set.CPUShare, minCPUShare), wake: make(chan struct{}, 1),
	}
	g.desk.terms = g.terms
	g.desk.strength = uint16(min(set.CPUShare*100, 60000))
	g.watch.readOwners = func(ctx context.Context) {
		if _, err := g.elector.readOwners(ctx); err != nil && ctx.Err() == nil {
			g.log.Warn("the key maps cannot be read: " + err.Error())
		}
	}
	g.desk.depose = g.elector.depose
	g.ingress = &ingress{
		clk: clk, names: names, desk: g.desk, watch: g.watch, upstream: g.upstream,
		budget: newRetryBudget(clk, g.terms), log: &requestLog{log: logging.For(logging.Frontend), clk: clk}, stats: st,
	}
	st.Func("leads", func() float64 {
		if g.desk.state().leads {
			return 1
		}
		return 0
	})
	st.Func("server_list_age_seconds", func() float64 { return g.watch.age().Seconds() })
	st.Func("leader_list_age_seconds", func() float64 { return g.desk.state().directoryAge.Seconds() })
	st.Func("config_version", func() float64 { return float64(g.watch.version()) })
	for name, pick := range map[string]func(summary) int{
		"waiting": func(s summary) int { return s.waiting }, "running": func(s summary) int { return s.running },
		"slots": func(s summary) int { return s.slots }, "key_ranges": func(s summary) int { return s.parts },
		"key_ranges_moving": func(s summary) int { return s.moving }, "key_ranges_unowned": func(s summary) int { return s.unowned },
	} {
		st.Func(name, func() float64 { return g.elector.total(pick) })
	}
	st.Func("hosts", func() float64 { return float64(g.desk.state().hosts) })
	return g, nil
}

// minCPUShare bounds the delay with which weak hosts claim the lead.
const minCPUShare = 0.1

// need returns what this host needs of the store: the leader reads for all, the
// others read in its place when they do not hear of it or it has lost the store.
func (g *gateway) need() need {
	s := g.desk.state()
	t := g.terms.timing()
	switch {
	case s.leads:
		return need{poll: t.leaderPoll, wait: t.leaderConfigWait, version: s.configVersion, retry: leaderRetry}
	case s.directoryAge > t.staleList || g.desk.silent() || g.desk.blind():
		return need{poll: t.urgentPoll, wait: t.urgentConfigWait, version: s.configVersion, retry: hostRetry}
	default:
		poll := max(hostPoll, time.Duration(s.hosts)*hostPollEach)
		return need{poll: poll, wait: hostConfigWait, version: s.configVersion, owners: true, retry: hostRetry}
	}
}

// changed passes a new configuration or list of servers to the fallback core.
func (g *gateway) changed() {
	cfg := g.watch.config.Load()
	if cfg == nil {
		return
	}
	servers := g.watch.servers()
	g.elector.mu.Lock()
	tables := g.elector.tables
	g.elector.mu.Unlock()
	g.peers.tell(cfg.Version)
	g.desk.fallback.configure(cfg, tables, nil)
	g.desk.fallback.refresh(servers)
}

// status is the header of messages to hosts.
func (g *gateway) status() hostlink.FromLeader {
	age := g.watch.age()
	_, epoch := g.desk.followed()
	return hostlink.FromLeader{
		Epoch: epoch, DirectoryAgeMS: uint32(min(age, time.Minute).Milliseconds()), ConfigVersion: g.watch.version(),
	}
}

func (g *gateway) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	go func() {
		err := g.link.Receive(g, func(err error) { g.log.Warn("a datagram cannot be read: " + err.Error()) })
		if work.Err() == nil {
			g.log.Error("the peer socket failed", err)
		}
	}()
	go g.watch.runConfig(work)
	go g.watch.runServers(work)
	lead, stopLead := context.WithCancel(work)
	defer stopLead()
	go g.elector.run(lead)
	go g.tick(work)

	ready := &http.Server{Handler: http.HandlerFunc(g.ready), ReadHeaderTimeout: readHeaderTimeout}
	callers := front.New(g.ingress.handle, g.limits)
	failed := make(chan error, 3)
	if g.set.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.ingress.stats.write(w) })
		g.inspect(mux)
		srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
		if _, err := listen.Start(network, g.set.MetricsAddress, srv.Serve, failed); err != nil {
			return err
		}
	}
	if _, err := listen.Start(network, g.set.ReadyAddress, ready.Serve, failed); err != nil {
		return err
	}
	serve := func(l net.Listener) error {
		if err := callers.Serve(work, l); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}
	if _, err := listen.Start(network, g.set.CallerAddress, serve, failed); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	g.stop(context.WithoutCancel(ctx), callers, stopLead)
	return nil
}

// stop lets the balancer turn away from this host, hands the lead over, and
// ends once all requests are answered.
func (g *gateway) stop(parent context.Context, callers *front.Server, stopLead func()) {
	g.log.Info("host stops")
	g.stopping.Store(true)
	began := time.Now()
	stopLead()
	time.Sleep(g.terms.timing().notReady)
	ctx, cancel := context.WithDeadline(parent, began.Add(g.terms.bounds.Load().StopGrace-stopReserve))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Error("requests are still open at the end of the grace period", err)
	}
	g.log.Info("host has stopped")
}

// limits returns the limits of callers that are in force.
func (g *gateway) limits() front.Limits {
	l := front.Limits{
		HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
		HeaderTimeout: readHeaderTimeout, IdleTimeout: defaultIdle,
	}
	cfg := g.watch.config.Load()
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

// ready answers the balancer.
func (g *gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.watch.config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tick repeats questions and closes idle connections.
func (g *gateway) tick(ctx context.Context) {
	trimmed := time.Now()
	for ctx.Err() == nil {
		g.desk.tick()
		if time.Since(trimmed) > trimInterval {
			trimmed = time.Now()
			g.upstream.CloseExpired()
		}
		if g.desk.busy() {
			clock.Sleep(ctx, busyTick)
		} else {
			clock.Sleep(ctx, idleTick)
		}
	}
}
