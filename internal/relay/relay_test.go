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

// network connects hosts in memory. The delay holds back what host a sends.
type network struct {
	hosts sync.Map // topology.HostID to *bufconn.Listener
	count atomic.Int64
	delay atomic.Int64
	dials atomic.Int64
	sent  traffic
}

// lateConn delivers what it reads after a delay, in order.
type lateConn struct {
	net.Conn
	delay  func() time.Duration
	closed context.Context
	close  context.CancelFunc
}

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-time.After(c.delay()):
	case <-c.closed.Done():
	}
	return n, err
}

func (c lateConn) Close() error {
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
			return lateConn{countedConn{c, &n.sent}, func() time.Duration {
				if h == "a" {
					return time.Duration(n.delay.Load())
				}
				return 0
			}, closed, closeConn}, err
		}))...)
	return peerpb.NewPeerClient(conn), func() { _ = conn.Close() }, err
}

// node is a host with a copy of the configuration.
type node struct {
	cfg    *state.Config
	stream *logstream.Replica
	clock  clock.Clock
	stop   func()
}

// skewed is a clock with its own origin.
type skewed struct {
	clock.Clock
	origin time.Duration
}

func (s skewed) Now() time.Duration { return s.Clock.Now() + s.origin }

func (n *network) serve(h topology.HostID, c clock.Clock, streams ...*logstream.Replica) *grpc.Server {
	lis := bufconn.Listen(1 << 16)
	n.hosts.Store(h, lis)
	srv := grpc.NewServer()
	p := peer.NewServer(nil)
	p.SetRelay(NewServer(string(h), c, streams...))
	peerpb.RegisterPeerServer(srv, p)
	go func() { _ = srv.Serve(lis) }()
	return srv
}

func (n *network) start(ctx context.Context, h topology.HostID, log platformlog.Log, upstreams ...topology.HostID) *node {
	cfg := state.NewConfig()
	c := skewed{clock.NewMonotonic(), time.Duration(n.count.Add(1)) * time.Hour}
	s := logstream.NewReplica(cfg.Fold, c, logstream.ShortPollTimeout)
	srv := n.serve(h, c, s)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		NewClient(h, c, log, n.dial, func() []topology.HostID { return upstreams }, s).Run(ctx)
		close(done)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
		srv.Stop()
		n.hosts.Delete(h)
	})
	return &node{cfg, s, c, stop}
}

func (n *node) age() time.Duration {
	if age, ok := n.stream.Age(); ok {
		return age
	}
	return time.Duration(1<<62 - 1)
}

func (n *node) share() (share float64) {
	n.stream.View(func(*state.Fold) {
		if d, _ := n.cfg.Document(); d != nil {
			share = d.Customers["pewright"].Share
		}
	})
	return share
}

func bubble(t *testing.T, fn func(g *WithT, ctx context.Context, n *network, l *logfake.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fn(NewWithT(t), ctx, &network{}, logfake.New())
	})
}

func publish(ctx context.Context, l platformlog.Log, base int64, share float64) {
	c := config.Customer{Share: share}
	e, err := record.New(record.KindConfigChange, base, "op", config.Change{Customers: map[topology.Customer]*config.Customer{"pewright": &c}})
	if err != nil {
		panic(err)
	}
	data, _ := e.Encode()
	_, _ = l.Append(ctx, record.StreamConfig, data)
}

// TestChain guards against changes and read ages that do not pass through
// several hosts, against hosts without an upstream, and against an outage of
// the log that makes a state look fresh.
func TestChain(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		down := logfake.New()
		down.SetFaults(logfake.Faults{Down: true})
		publish(ctx, l, -1, 1)
		a := n.start(ctx, "a", l)
		b := n.start(ctx, "b", down, "a")
		c := n.start(ctx, "c", down, "gone", "b", "a")
		defer func() { c.stop(); b.stop(); a.stop() }()
		time.Sleep(3 * time.Second)
		g.Expect(c.share()).To(Equal(1.0))
		publish(ctx, l, 0, 2)
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
		g.Expect(n.dials.Load()-dials).To(BeNumerically("<=", 20), "hosts must not switch all the time during an outage")
		l.SetFaults(logfake.Faults{})
		time.Sleep(4 * time.Second)
		g.Expect(c.age()).To(BeNumerically("<", time.Second), "fresh again without a switch to the log")
	})
}

// TestLateMessages guards against a read that looks younger than it is because
// its message was delayed on the way.
func TestLateMessages(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		down := logfake.New()
		down.SetFaults(logfake.Faults{Down: true})
		publish(ctx, l, -1, 1)
		a := n.start(ctx, "a", l)
		b := n.start(ctx, "b", down, "a")
		defer func() { b.stop(); a.stop() }()
		time.Sleep(2 * time.Second)
		n.delay.Store(int64(900 * time.Millisecond))
		looksFresh := 0
		for range 400 {
			time.Sleep(7 * time.Millisecond)
			actual := a.age()
			g.Expect(b.age()).To(BeNumerically(">=", actual))
			// Without the echo of ticks an age counts from the receipt.
			if b.age()-900*time.Millisecond < actual {
				looksFresh++
			}
		}
		g.Expect(looksFresh).To(BeNumerically(">", 0), "the delay must have had an effect")
	})
}

// TestSwitch guards against a subscriber that stays with a silent or stale
// upstream.
func TestSwitch(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(n *network, a *node, al *logfake.Log)
		others []topology.HostID
		within time.Duration
	}{
		"silent upstream, second upstream":  {func(n *network, _ *node, _ *logfake.Log) { n.delay.Store(int64(time.Hour)) }, []topology.HostID{"a", "x"}, 2 * time.Second},
		"silent upstream, log":              {func(n *network, _ *node, _ *logfake.Log) { n.delay.Store(int64(time.Hour)) }, []topology.HostID{"a"}, 2 * time.Second},
		"lost upstream, second upstream":    {func(_ *network, a *node, _ *logfake.Log) { a.stop() }, []topology.HostID{"a", "x"}, time.Second},
		"upstream cut off from the log":     {func(_ *network, _ *node, al *logfake.Log) { al.SetFaults(logfake.Faults{Down: true}) }, []topology.HostID{"a"}, 4 * time.Second},
		"upstream cut off, second upstream": {func(_ *network, _ *node, al *logfake.Log) { al.SetFaults(logfake.Faults{Down: true}) }, []topology.HostID{"a", "x"}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
				al := logfake.New()
				publish(ctx, l, -1, 1)
				publish(ctx, al, -1, 1)
				a, x := n.start(ctx, "a", al), n.start(ctx, "x", l)
				time.Sleep(time.Second)
				b := n.start(ctx, "b", l, c.others...)
				defer func() { b.stop(); x.stop(); a.stop() }()
				time.Sleep(5 * time.Second)
				g.Expect(b.age()).To(BeNumerically("<", time.Second))
				c.fault(n, a, al)
				time.Sleep(c.within)
				g.Expect(b.age()).To(BeNumerically("<", 1100*time.Millisecond))
			})
		})
	}
}

// TestBootstrap guards against a host that starts while the log is down and
// gets no configuration, or counts as having reached the log.
func TestBootstrap(t *testing.T) {
	bubble(t, func(g *WithT, ctx context.Context, n *network, l *logfake.Log) {
		publish(ctx, l, -1, 0.5)
		for i := range int64(2000) {
			publish(ctx, l, i, float64(i+1))
		}
		a := n.start(ctx, "a", l)
		time.Sleep(3 * time.Second)
		l.SetFaults(logfake.Faults{Down: true})
		time.Sleep(time.Minute)
		b := n.start(ctx, "b", l, "a")
		defer func() { b.stop(); a.stop() }()
		time.Sleep(time.Second)
		g.Expect(b.share()).To(Equal(2000.0))
		g.Expect(b.stream.ConfirmedSinceStart()).To(BeFalse())
		g.Expect(b.age()).To(BeNumerically(">", time.Minute))
		l.SetFaults(logfake.Faults{})
		time.Sleep(5 * time.Second)
		g.Expect(b.stream.ConfirmedSinceStart()).To(BeTrue())
	})
}

// TestUpstreams guards against cycles, hosts without a way to the reader and
// trees that are too deep.
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
			g.Expect(known || up[0] == "h000.0").To(BeTrue(), "%s subscribes to %s, which is later", m.Host, up[0])
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

// TestTicks guards against a tick that was late on the way and makes all reads
// look older until the next one, and against a clock error that is ignored.
func TestTicks(t *testing.T) {
	g := NewWithT(t)
	c := &clock.Manual{}
	s := &subscriber{clock: c}
	c.Advance(10 * time.Second)
	s.tick((110 * time.Second).Microseconds())
	g.Expect(s.translate(9 * time.Second)).To(Equal(109*time.Second - 2*time.Millisecond))
	c.Advance(2 * time.Second)
	s.tick((111 * time.Second).Microseconds()) // one second on the way
	g.Expect(s.translate(12 * time.Second)).To(Equal(112*time.Second - 4*time.Millisecond))
	c.Advance(1000 * time.Second)
	s.tick((1111 * time.Second).Microseconds()) // within the clock error of the first
	g.Expect(s.translate(1012 * time.Second)).To(Equal(1111 * time.Second))
}

// TestDeliver guards against an upstream that leaves out records or sends a
// stream that was not asked for.
func TestDeliver(t *testing.T) {
	g := NewWithT(t)
	c := clock.NewMonotonic()
	client := NewClient("b", c, logfake.New(), nil, nil, logstream.NewReplica(state.NewConfig().Fold, c, logstream.ShortPollTimeout))
	g.Expect(client.deliver(&peerpb.RelayBatch{Stream: "config", Records: []*peerpb.LogRecord{{Offset: 5, Data: []byte("x")}}})).To(MatchError(errGap))
	g.Expect(client.deliver(&peerpb.RelayBatch{Stream: "other"})).To(HaveOccurred())
	g.Expect(client.deliver(&peerpb.RelayBatch{Stream: "config", Snapshot: []byte("x")})).To(HaveOccurred())
}
