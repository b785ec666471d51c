package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/platform"
	"github.com/lycheerudder/lycheerudder/platform/standin"
)

const (
	storeLatency = 2 * time.Millisecond
	linkLatency  = time.Millisecond
)

// datagramNetwork carries the datagrams of the hosts of a test.
type datagramNetwork struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*datagramConn
	bytes int
	// drops returns true for the datagrams that are lost; nil if none are.
	drops func(data []byte) bool
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

type datagramConn struct {
	network *datagramNetwork
	address netip.AddrPort
	queue   chan datagram
	closed  chan struct{}
}

func (n *datagramNetwork) listen(address netip.AddrPort) *datagramConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &datagramConn{network: n, address: address, queue: make(chan datagram, 1024), closed: make(chan struct{})}
	n.conns[address] = c
	return c
}

func (c *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.queue:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.bytes += len(b)
	if c.network.drops != nil && c.network.drops(b) {
		return len(b), nil
	}
	if peer := c.network.conns[to]; peer != nil {
		d := datagram{c.address, slices.Clone(b)}
		time.AfterFunc(linkLatency, func() {
			select {
			case peer.queue <- d:
			default:
			}
		})
	}
	return len(b), nil
}

func (c *datagramConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }

func (c *datagramConn) Close() error {
	close(c.closed)
	return nil
}

// sent returns the bytes of all datagrams so far.
func (n *datagramNetwork) sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// direct passes the calls of a client to the store without a network.
type direct struct {
	simulation *simulation
	crashed    *atomic.Bool // whether the host has crashed
}

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(storeLatency)
	silences := d.simulation.silences.Load()
	if d.crashed.Load() {
		return nil, net.ErrClosed
	}
	w := httptest.NewRecorder()
	d.simulation.store.ServeHTTP(w, r)
	if d.simulation.silences.Load() != silences {
		<-r.Context().Done()
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// prompt accepts all grants and releases.
type prompt struct{}

func (prompt) Grant(context.Context, ownership.Order, time.Duration) error {
	time.Sleep(linkLatency)
	return nil
}

func (prompt) Release(context.Context, ownership.Order) (string, error) {
	time.Sleep(linkLatency)
	return "", nil
}

// simulation is a deployment in virtual time. Its hosts serve no requests.
type simulation struct {
	store   *standin.Store
	network *datagramNetwork
	hosts   []*gateway.HostWithoutListeners
	mu      sync.Mutex
	calls   []map[string]int // of each host, by kind
	// silences is raised when the connections of all calls in progress go silent.
	silences atomic.Int64
	crashed  map[topology.HostID]*atomic.Bool
	// filler makes the configuration longer.
	filler []byte
	// draining holds the servers that announce their shutdown.
	draining map[int]bool
	end      []context.CancelFunc
}

func newSimulation(t *testing.T) *simulation {
	s := &simulation{store: standin.NewStore(), network: &datagramNetwork{conns: make(map[netip.AddrPort]*datagramConn)}, draining: make(map[int]bool), crashed: make(map[topology.HostID]*atomic.Bool)}
	t.Cleanup(s.stop)
	return s
}

// start starts a host.
func (s *simulation) start(g *WithT, n int) {
	ctx, cancel := context.WithCancel(context.Background())
	crashed := new(atomic.Bool)
	name := topology.HostID(fmt.Sprint("host-", n))
	s.crashed[name] = crashed
	client := platform.NewStoreClientOn(direct{s, crashed})
	counts := make(map[string]int)
	client.OnCall(func(kind string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		counts[kind]++
	})
	settings := gateway.Settings{
		Host: name, DataCentre: "dc", IP: fmt.Sprintf("10.0.0.%d", n+1), PeerPort: 7000, CPUShare: 0.5, MemoryBytes: 256 << 20,
		CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", StoreAddress: "127.0.0.1:3",
		Bounds: gateway.Bounds{
			DrainWindow: 2500 * time.Millisecond, MaxConfigDelay: 2500 * time.Millisecond, StopGrace: 6 * time.Second, MaxGrantDuration: 3 * time.Second,
			RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, ServerHeartbeat: 870 * time.Millisecond, MinMembershipTTL: 200 * time.Millisecond,
		},
	}
	conn := s.network.listen(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", settings.IP, settings.PeerPort)))
	host, err := gateway.StartWithoutListeners(ctx, settings, hostlink.NewLink(conn), client, prompt{})
	g.Expect(err).NotTo(HaveOccurred())
	s.hosts, s.calls = append(s.hosts, host), append(s.calls, counts)
	s.end = append(s.end, func() { cancel(); _ = conn.Close() })
}

// endLeader ends the host that leads. Its membership ends later, as after a crash.
func (s *simulation) endLeader() {
	for n, host := range s.hosts {
		if host.Leads() {
			s.crashed[host.Name()].Store(true)
			s.end[n]()
			s.hosts, s.end, s.calls = slices.Delete(s.hosts, n, n+1), slices.Delete(s.end, n, n+1), slices.Delete(s.calls, n, n+1)
			return
		}
	}
}

// stop ends all hosts.
func (s *simulation) stop() {
	for _, end := range s.end {
		end()
	}
	time.Sleep(15 * time.Second) // calls in progress
	synctest.Wait()
}

// take returns the calls since the last count by kind, of the leader and of all others.
func (s *simulation) take() (leader, others map[string]int) {
	leader, others = make(map[string]int), make(map[string]int)
	for i, host := range s.hosts {
		sum := others
		if host.Leads() {
			sum = leader
		}
		s.mu.Lock()
		for kind, n := range s.calls[i] {
			sum[kind] += n
		}
		clear(s.calls[i])
		s.mu.Unlock()
	}
	return leader, others
}

// register writes the registrations of servers every heartbeat until the context ends.
func (s *simulation) register(ctx context.Context, count int) {
	for ctx.Err() == nil {
		for n := range count {
			s.putServer(n)
		}
		time.Sleep(870 * time.Millisecond)
	}
}

// drain makes a server announce its shutdown.
func (s *simulation) drain(n int) {
	s.mu.Lock()
	s.draining[n] = true
	s.mu.Unlock()
	s.putServer(n)
}

// silence makes the connections of all calls in progress go silent.
func (s *simulation) silence() { s.silences.Add(1) }

func (s *simulation) putServer(n int) {
	s.mu.Lock()
	state := "ready"
	if s.draining[n] {
		state = "draining"
	}
	s.mu.Unlock()
	s.store.Put("keyed.servers", fmt.Sprint("server-", n), fmt.Appendf(nil,
		`{"address":"10.1.0.%d:80","born":1,"info":{"service":"booking","zone":"dc","slots":4},"status":{"state":%q}}`, n+1, state))
}

func (s *simulation) configure(version int) {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"filler":"%x","routes":{"r":{"host":"h.example","path_prefix":"/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"booking","max_attempts":2}},"services":{"booking":{"health_path":"/health","max_connections":100,"sharded":true,"warm_s":1.0}},"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, s.filler))
}

// paid returns the price of calls: a join costs a tenth of the others.
func paid(calls map[string]int) float64 {
	sum := 0.0
	for kind, n := range calls {
		if kind == "join" {
			sum += 0.1 * float64(n)
			continue
		}
		sum += float64(n)
	}
	return sum
}

// dayCalls holds the prices of the calls to the store in the sections of a simulated day.
type dayCalls struct{ start, leader, others float64 }

func (d dayCalls) total() float64 { return d.start + d.leader + d.others }

// playDay returns the price of a day of 40 s: hosts start before there is a configuration,
// which is written 2 s later and changes four times.
func playDay(t *testing.T, hosts, servers int) (day dayCalls) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t)
		ctx := t.Context()
		go s.register(ctx, servers)
		for n := range hosts {
			s.start(g, n)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		section := func(name string) (leader, others float64) {
			byLeader, byOthers := s.take()
			t.Logf("%s: leader %.1f %v, others %.1f %v", name, paid(byLeader), sorted(byLeader), paid(byOthers), sorted(byOthers))
			return paid(byLeader), paid(byOthers)
		}
		leader, others := section("before the configuration")
		day.start = leader + others
		s.configure(1)
		time.Sleep(2 * time.Second)
		leader, others = section("start")
		day.start += leader + others
		for version := 2; version <= 5; version++ {
			s.configure(version)
			time.Sleep(2500 * time.Millisecond)
			for _, host := range s.hosts {
				g.Expect(host.ConfigVersion()).To(Equal(int64(version)))
			}
			time.Sleep(6500 * time.Millisecond)
		}
		day.leader, day.others = section("steady state")
		t.Logf("total %.1f; %d bytes of datagrams", day.total(), s.network.sent())
	})
	return day
}

// Guards against a rise in the calls to the store, which are the largest cost of a
// deployment on most days. The bound is a third of the 2,116 calls of the same day with
// hosts that read the list of servers, the key maps and the configuration themselves.
func TestStoreCallsOfADay(t *testing.T) {
	g := NewWithT(t)
	g.Expect(playDay(t, 70, 15).total()).To(BeNumerically("<=", 2116/3))
}

// Guards against hosts that know neither the servers nor the owners of keys of a few seconds
// ago when they lose their leader and the store together, as they read them from the leader
// only; and against one that uses such a list although the store responds.
func TestHostsKeepWhatTheLeaderKnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t)
		ctx := t.Context()
		s.configure(1)
		go s.register(ctx, 15)
		for n := range 5 {
			s.start(g, n)
		}
		time.Sleep(10 * time.Second)
		s.drain(3)
		time.Sleep(4 * time.Second)
		draining := func(host *gateway.HostWithoutListeners) (ids []string) {
			for _, server := range host.Servers() {
				if server.Draining {
					ids = append(ids, string(server.ID))
				}
			}
			return ids
		}
		for _, host := range s.hosts {
			g.Expect(host.Servers()).To(HaveLen(15))
			g.Expect(draining(host)).To(Equal([]string{"server-3"}))
			for key := 0; key < 1<<16 && !host.Leads(); key += 1 << 8 {
				g.Expect(host.Owner("booking", key)).NotTo(Or(BeEmpty(), Equal(topology.ServerID("server-3"))))
			}
		}
		s.store.SetFault(func(string) int { return http.StatusServiceUnavailable })
		s.endLeader()
		time.Sleep(2 * time.Second)
		for _, host := range s.hosts {
			g.Expect(host.ListUsable()).To(BeTrue(), "the store was asked in vain")
			g.Expect(host.Servers()).To(HaveLen(15))
			g.Expect(draining(host)).To(Equal([]string{"server-3"}))
			g.Expect(host.Owner("booking", 77)).NotTo(BeEmpty())
		}
		s.store.SetFault(func(string) int { return 0 })
		time.Sleep(5 * time.Second)
		leaders := 0
		for _, host := range s.hosts {
			if host.Leads() {
				leaders++
			}
		}
		g.Expect(leaders).To(Equal(1))
	})
}

// Guards against hosts that learn late of a configuration because the leader's open read
// has gone silent: they hold none of their own.
func TestConfigurationArrivesOverSilentRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t)
		ctx := t.Context()
		s.configure(1)
		go s.register(ctx, 3)
		for n := range 5 {
			s.start(g, n)
		}
		for version := 2; version < 12; version++ {
			time.Sleep(4*time.Second + time.Duration(version)*97*time.Millisecond)
			s.silence() // open reads get no response
			s.configure(version)
			time.Sleep(2500 * time.Millisecond)
			for _, host := range s.hosts {
				g.Expect(host.ConfigVersion()).To(Equal(int64(version)))
			}
		}
	})
}

// Guards against a configuration of several packets that hosts do not obtain from their
// leader, and against a host that does not pass it on when it leads later.
func TestHostsObtainLongConfigurationFromLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newSimulation(t)
		s.filler = make([]byte, 12<<10)
		_, _ = rand.NewChaCha8([32]byte{1}).Read(s.filler)
		s.configure(1)
		go s.register(t.Context(), 3)
		for n := range 5 {
			s.start(g, n)
		}
		time.Sleep(3 * time.Second)
		for version := 2; version < 6; version++ {
			if version == 4 {
				s.endLeader()
				time.Sleep(5 * time.Second)
			}
			s.take()
			s.configure(version)
			time.Sleep(time.Second)
			_, others := s.take()
			g.Expect(others["read-config"]).To(BeZero())
			for _, host := range s.hosts {
				g.Expect(host.ConfigVersion()).To(Equal(int64(version)))
			}
		}
	})
}

// Guards against hosts that rely on a leader of an earlier release, which passes nothing on:
// they must read from the store again. Also guards against lost datagrams that keep hosts from
// learning what the leader knows, and against a lost heartbeat that makes a host read from the
// store and search for a leader.
func TestHostsWhoseLeaderPassesNothingOn(t *testing.T) {
	for _, test := range []struct {
		name  string
		drops func(data []byte) bool
		hosts int
		calls OmegaMatcher // reads of the list from the store; one search makes up to three
	}{
		{"earlier release", func(data []byte) bool { return data[0] == 0x8c }, 5, BeNumerically(">=", 4)},
		{"datagrams are lost", func([]byte) bool { return rand.IntN(20) == 0 }, 20, BeNumerically("<=", 9)},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := newSimulation(t)
				s.network.drops = test.drops
				s.configure(1)
				go s.register(t.Context(), 15)
				for n := range test.hosts {
					s.start(g, n)
				}
				time.Sleep(12 * time.Second)
				s.take()
				s.drain(3)
				s.configure(2)
				time.Sleep(2500 * time.Millisecond)
				for _, host := range s.hosts {
					g.Expect(host.ConfigVersion()).To(Equal(int64(2)))
				}
				time.Sleep(5 * time.Second)
				for _, host := range s.hosts {
					draining := 0
					for _, server := range host.Servers() {
						if server.Draining {
							draining++
						}
					}
					g.Expect(host.Servers()).To(HaveLen(15))
					g.Expect(draining).To(Equal(1))
				}
				_, others := s.take()
				t.Log(sorted(others))
				g.Expect(others["newest-servers"] + others["read-servers"]).To(test.calls)
			})
		})
	}
}

// Guards against hosts that all try for themselves whether the store is back while their
// leader, which also misses it, does the same for them. In 8 s a host tries four times in the
// first 2 s and then about every 1.5 s, and reads nothing else.
func TestStoreOutageIsTriedByTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const hosts = 70
		s := newSimulation(t)
		s.configure(1)
		go s.register(t.Context(), 15)
		for n := range hosts {
			s.start(g, n)
		}
		time.Sleep(10 * time.Second)
		s.take()
		s.store.SetFault(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(8 * time.Second)
		leader, others := s.take()
		t.Logf("leader %.1f %v, others %.1f %v", paid(leader), sorted(leader), paid(others), sorted(others))
		g.Expect(paid(others)).To(BeNumerically("<=", 9*hosts))
		s.store.SetFault(func(string) int { return 0 })
		time.Sleep(3 * time.Second)
		s.configure(2)
		time.Sleep(2500 * time.Millisecond)
		for _, host := range s.hosts {
			g.Expect(host.ConfigVersion()).To(Equal(int64(2)))
		}
	})
}

func sorted(calls map[string]int) []string {
	var list []string
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		list = append(list, fmt.Sprintf("%s %d", kind, calls[kind]))
	}
	return list
}
