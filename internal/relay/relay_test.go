package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// network connects hosts in memory. Everything that host a sends arrives after
// the delay.
type network struct {
	hosts   sync.Map     // topology.HostID to *bufconn.Listener
	started atomic.Int64 // number of hosts that were started
	delay   atomic.Int64
	dials   atomic.Int64
	sent    traffic
}

// delayedConn is a connection whose data arrives after a delay, in order.
type delayedConn struct {
	net.Conn
	delay  func() time.Duration
	closed context.Context
	close  context.CancelFunc
}

func (c delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-time.After(c.delay()):
	case <-c.closed.Done():
	}
	return n, err
}

func (c delayedConn) Close() error {
	c.close()
	return c.Conn.Close()
}

func (n *network) dial(h topology.HostID) (peerpb.PeerClient, func(), error) {
	n.dials.Add(1)
	found, ok := n.hosts.Load(h)
	if !ok {
		return nil, nil, fmt.Errorf("host %s is down", h)
	}
	conn, err := grpc.NewClient("passthrough:///"+string(h), append(peer.StaticWindows(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
			c, err := found.(*bufconn.Listener).DialContext(ctx)
			closed, closeConn := context.WithCancel(context.Background())
			return delayedConn{countedConn{c, &n.sent}, func() time.Duration {
				if h == "a" {
					return time.Duration(n.delay.Load())
				}
				return 0
			}, closed, closeConn}, err
		}))...)
	return peerpb.NewPeerClient(conn), func() { _ = conn.Close() }, err
}

// testHost is a host with a replica of the configuration.
type testHost struct {
	cfg     *state.Config
	replica *logstream.Replica
	clock   clock.Clock
	stop    func()
}

// offsetClock is a clock that is ahead by an offset.
type offsetClock struct {
	clock.Clock
	offset time.Duration
}

func (c offsetClock) Now() time.Duration { return c.Clock.Now() + c.offset }

func (n *network) serve(h topology.HostID, c clock.Clock, replicas ...*logstream.Replica) *grpc.Server {
	lis := bufconn.Listen(1 << 16)
	n.hosts.Store(h, lis)
	srv := grpc.NewServer()
	p := peer.NewServer(nil)
	p.SetRelay(NewServer(string(h), c, replicas...))
	peerpb.RegisterPeerServer(srv, p)
	go func() { _ = srv.Serve(lis) }()
	return srv
}

func (n *network) start(ctx context.Context, h topology.HostID, log platformlog.Log, upstreams ...topology.HostID) *testHost {
	cfg := state.NewConfig()
	c := offsetClock{clock.NewMonotonic(), time.Duration(n.started.Add(1)) * time.Hour}
	r := logstream.NewReplica(cfg.Fold, c, logstream.ShortPollTimeout)
	srv := n.serve(h, c, r)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		NewClient(h, c, log, n.dial, func() []topology.HostID { return upstreams }, r).Run(ctx)
		close(done)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
		srv.Stop()
		n.hosts.Delete(h)
	})
	return &testHost{cfg, r, c, stop}
}

func (h *testHost) age() time.Duration {
	if age, ok := h.replica.Age(); ok {
		return age
	}
	return time.Duration(1<<62 - 1)
}

func (h *testHost) share() (share float64) {
	h.replica.View(func(*state.Fold) {
		if d, _ := h.cfg.Document(); d != nil {
			share = d.Customers["pewright"].Share
		}
	})
	return share
}

func runInBubble(t *testing.T, fn func(g *WithT, ctx context.Context, n *network, l *logfake.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fn(NewWithT(t), ctx, &network{}, logfake.New())
	})
}

func appendConfig(ctx context.Context, l platformlog.Log, base int64, share float64) {
	c := config.Customer{Share: share}
	e, err := record.New(record.KindConfigChange, base, "op", config.Change{Customers: map[topology.Customer]*config.Customer{"pewright": &c}})
	if err != nil {
		panic(err)
	}
	data, _ := e.Encode()
	_, _ = l.Append(ctx, record.StreamConfig, data)
}

// TestChain guards against changes and ages that are not relayed through several
// hosts, a host that does not skip a missing upstream, and a state that counts
// as recent during an outage of the log.
func TestChain(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		down := logfake.New()
		down.SetFaults(logfake.Faults{Down: true})
		appendConfig(ctx, l, -1, 1)
		a := n.start(ctx, "a", l)
		b := n.start(ctx, "b", down, "a")
		c := n.start(ctx, "c", down, "gone", "b", "a")
		defer func() { c.stop(); b.stop(); a.stop() }()
		time.Sleep(3 * time.Second)
		g.Expect(c.share()).To(Equal(1.0))
		appendConfig(ctx, l, 0, 2)
		time.Sleep(10 * time.Millisecond)
		g.Expect(c.share()).To(Equal(2.0))
		for range 300 {
			time.Sleep(7 * time.Millisecond)
			g.Expect(c.age()).To(BeNumerically(">=", a.age()))
			g.Expect(c.age()).To(BeNumerically("<", time.Second))
		}
		l.SetFaults(logfake.Faults{Down: true})
		dials := n.dials.Load()
		time.Sleep(time.Minute)
		g.Expect(c.age()).To(BeNumerically(">", 59*time.Second))
		g.Expect(n.dials.Load()-dials).To(BeNumerically("<=", 20), "hosts must rarely switch upstreams during an outage")
		l.SetFaults(logfake.Faults{})
		time.Sleep(4 * time.Second)
		g.Expect(c.age()).To(BeNumerically("<", time.Second), "confirmed again without reading the log directly")
	})
}

// TestLateMessages guards against an age of a confirmed read that is too small
// because the message about the read was delayed.
func TestLateMessages(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		down := logfake.New()
		down.SetFaults(logfake.Faults{Down: true})
		appendConfig(ctx, l, -1, 1)
		a := n.start(ctx, "a", l)
		b := n.start(ctx, "b", down, "a")
		defer func() { b.stop(); a.stop() }()
		time.Sleep(2 * time.Second)
		n.delay.Store(int64(900 * time.Millisecond))
		understated := 0
		for range 400 {
			time.Sleep(7 * time.Millisecond)
			actual := a.age()
			g.Expect(b.age()).To(BeNumerically(">=", actual))
			// Without ticks, the age would start when the message arrives.
			if b.age()-900*time.Millisecond < actual {
				understated++
			}
		}
		g.Expect(understated).To(BeNumerically(">", 0), "an age since the arrival must be too small at times, or the delay had no effect")
	})
}

// TestSwitch guards against a subscriber that stays with an upstream that sends
// no messages or is stale.
func TestSwitch(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(n *network, a *testHost, aLog *logfake.Log)
		others []topology.HostID
		within time.Duration
	}{
		"silent upstream, second upstream":  {func(n *network, _ *testHost, _ *logfake.Log) { n.delay.Store(int64(time.Hour)) }, []topology.HostID{"a", "x"}, 2 * time.Second},
		"silent upstream, log":              {func(n *network, _ *testHost, _ *logfake.Log) { n.delay.Store(int64(time.Hour)) }, []topology.HostID{"a"}, 2 * time.Second},
		"lost upstream, second upstream":    {func(_ *network, a *testHost, _ *logfake.Log) { a.stop() }, []topology.HostID{"a", "x"}, time.Second},
		"upstream cut off from the log":     {func(_ *network, _ *testHost, aLog *logfake.Log) { aLog.SetFaults(logfake.Faults{Down: true}) }, []topology.HostID{"a"}, 4 * time.Second},
		"upstream cut off, second upstream": {func(_ *network, _ *testHost, aLog *logfake.Log) { aLog.SetFaults(logfake.Faults{Down: true}) }, []topology.HostID{"a", "x"}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
				aLog := logfake.New()
				appendConfig(ctx, l, -1, 1)
				appendConfig(ctx, aLog, -1, 1)
				a, x := n.start(ctx, "a", aLog), n.start(ctx, "x", l)
				time.Sleep(time.Second)
				b := n.start(ctx, "b", l, c.others...)
				defer func() { b.stop(); x.stop(); a.stop() }()
				time.Sleep(5 * time.Second)
				g.Expect(b.age()).To(BeNumerically("<", time.Second))
				c.fault(n, a, aLog)
				time.Sleep(c.within)
				g.Expect(b.age()).To(BeNumerically("<", 1100*time.Millisecond))
			})
		})
	}
}

// TestBootstrap guards against a host that starts during an outage of the log
// and gets no configuration from its upstream, or reports a confirmed read since
// its start.
func TestBootstrap(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		appendConfig(ctx, l, -1, 0.5)
		for i := range int64(2000) {
			appendConfig(ctx, l, i, float64(i+1))
		}
		a := n.start(ctx, "a", l)
		time.Sleep(3 * time.Second)
		l.SetFaults(logfake.Faults{Down: true})
		time.Sleep(time.Minute)
		b := n.start(ctx, "b", l, "a")
		defer func() { b.stop(); a.stop() }()
		time.Sleep(time.Second)
		g.Expect(b.share()).To(Equal(2000.0))
		g.Expect(b.replica.ConfirmedSinceStart()).To(BeFalse())
		g.Expect(b.age()).To(BeNumerically(">", time.Minute))
		l.SetFaults(logfake.Faults{})
		time.Sleep(5 * time.Second)
		g.Expect(b.replica.ConfirmedSinceStart()).To(BeTrue())
	})
}

// TestUpstreams guards against cycles of subscriptions, hosts that are not
// connected to the host that reads the log, and trees that are too deep.
func TestUpstreams(t *testing.T) {
	g := NewWithT(t)
	var lists []state.MemberList
	for i := range 109 {
		l := state.MemberList{Cell: topology.CellID(fmt.Sprintf("c%03d", i)), DataCentre: "a"}
		for j := range 5 {
			l.Members = append(l.Members, topology.Member{Host: topology.HostID(fmt.Sprintf("h%03d.%d", i, j)), Incarnation: 1})
		}
		lists = append(lists, l)
	}
	lists = append(lists, state.MemberList{Cell: "other", DataCentre: "b", Members: []topology.Member{{Host: "x", Incarnation: 1}}})
	hops, children := make(map[topology.HostID]int), make(map[topology.HostID]int)
	deepest, widest := 0, 0
	for i, l := range lists {
		for j, m := range l.Members {
			up := Upstreams(lists, l.DataCentre, l.Cell, m.Host)
			if l.DataCentre == "b" || i == 0 && j == 0 {
				g.Expect(up).To(BeEmpty())
				continue
			}
			_, known := hops[up[0]]
			g.Expect(known || up[0] == "h000.0").To(BeTrue(), "%s subscribes to %s, which follows it in the lists", m.Host, up[0])
			g.Expect(up).To(ContainElement(topology.HostID("h000.0")))
			hops[m.Host] = hops[up[0]] + 1
			children[up[0]]++
			deepest, widest = max(deepest, hops[m.Host]), max(widest, children[up[0]])
		}
	}
	g.Expect([]int{deepest, widest}).To(Equal([]int{8, 5}))
	g.Expect(Upstreams(lists, "a", "new", "n")).To(HaveLen(5))
	g.Expect(Upstreams(nil, "a", "new", "n")).To(BeEmpty())
}

// TestTicks guards against a delayed tick that makes all reads look older until
// the next tick, and against a clock drift that is ignored.
func TestTicks(t *testing.T) {
	g := NewWithT(t)
	c := &clock.Manual{}
	s := &subscriber{clock: c}
	c.Advance(10 * time.Second)
	s.recordTick((110 * time.Second).Microseconds())
	g.Expect(s.toSubscriberClock(9 * time.Second)).To(Equal(109*time.Second - 2*time.Millisecond))
	c.Advance(2 * time.Second)
	s.recordTick((111 * time.Second).Microseconds()) // delayed by one second
	g.Expect(s.toSubscriberClock(12 * time.Second)).To(Equal(112*time.Second - 4*time.Millisecond))
	c.Advance(1000 * time.Second)
	s.recordTick((1111 * time.Second).Microseconds()) // within the clock drift since the first tick
	g.Expect(s.toSubscriberClock(1012 * time.Second)).To(Equal(1111 * time.Second))
}

// TestApply guards against messages that are accepted although they skip
// records, contain an invalid snapshot or belong to a stream without a
// subscription.
func TestApply(t *testing.T) {
	g := NewWithT(t)
	c := clock.NewMonotonic()
	client := NewClient("b", c, logfake.New(), nil, nil, logstream.NewReplica(state.NewConfig().Fold, c, logstream.ShortPollTimeout))
	g.Expect(client.apply(&peerpb.RelayBatch{Stream: "config", Records: []*peerpb.LogRecord{{Offset: 5, Data: []byte("x")}}})).To(MatchError(errGap))
	g.Expect(client.apply(&peerpb.RelayBatch{Stream: "other"})).To(HaveOccurred())
	g.Expect(client.apply(&peerpb.RelayBatch{Stream: "config", Snapshot: []byte("x")})).To(HaveOccurred())
}
