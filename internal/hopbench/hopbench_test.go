// Package hopbench measures what the entry hosts add to a request: latency and
// CPU time directly to a server, through one entry host that leads the
// partition, and through an entry host and the leader host.
package hopbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	servers   = 32
	keys      = 4096
	saturated = 64 // callers at saturation
	paced     = 256
	satTime   = time.Second
)

var (
	requestBody = strings.Repeat("q", 200)
	answerBody  = strings.Repeat("a", 200)
)

// fleet is a set of servers, the leader host of their partition, and an entry
// host that does not lead. It implements execute.Owners for the leader.
type fleet struct {
	targets [servers]exchange.Target
	leader  string // caller interface of the leader host
	entry   string // caller interface of the other host
}

func newFleet(b testing.TB, keepAlive bool, app http.HandlerFunc) *fleet {
	f := &fleet{}
	since := time.Now().Add(-time.Hour)
	for i := range f.targets {
		fake := serverfake.New(serverfake.Options{ID: "s", Incarnation: 1, ChecksFences: true, Slots: 2, Clock: clock.Boot{}})
		ref, fence := topology.ShardRef{Service: "booking", Shard: topology.ShardID(i)}, topology.Fence{Home: 1, List: 2, Term: 3, Seq: 4}
		_, _ = fake.UpdateLease(context.Background(), serverapi.LeaseRequest{
			Epoch: fence.Epoch(), Incarnation: 1, Duration: 1 << 62, Grant: []serverapi.GrantOrder{{Ref: ref, Fence: fence}},
		})
		base := serveHTTP(b, &http.Server{Handler: fake.Handler(app)}, keepAlive)
		f.targets[i] = exchange.Target{
			Server: topology.ServerID("s" + strconv.Itoa(i)), Base: base, Ref: ref, Fence: fence, Partition: "booking.kgn-a.0", Since: since,
		}
	}
	client := exchange.NewClient(130)
	b.Cleanup(client.Close)
	local := execute.New(f, client)

	l := listen(b)
	s := peer.NewGRPCServer(peer.NewServer(local))
	go func() { _ = s.Serve(l) }()
	b.Cleanup(s.Stop)

	f.leader = host(b, route{Local: true}, local, keepAlive)
	f.entry = host(b, route{Address: l.Addr().String()}, nil, keepAlive)
	return f
}

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, answerBody)
}

func host(b testing.TB, r route, local request.Doer, keepAlive bool) string {
	d := dispatch.NewWith(dispatch.Options{Routes: r, Local: local})
	b.Cleanup(d.Close)
	return serveHTTP(b, frontend.NewServer(frontend.Handler(d)), keepAlive)
}

// route is the same for all requests.
type route dispatch.Route

func (r route) Route(*request.Request) (dispatch.Route, error) { return dispatch.Route(r), nil }

func (f *fleet) Owner(req *request.Request) (exchange.Target, error) {
	return *f.owner(req.Key), nil
}

func (f *fleet) owner(key string) *exchange.Target {
	return &f.targets[xxhash.Sum64String(key)%servers]
}

func listen(b testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

func serveHTTP(b testing.TB, s *http.Server, keepAlive bool) string {
	l := listen(b)
	s.SetKeepAlivesEnabled(keepAlive)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return "http://" + l.Addr().String()
}

// path sends request n of a run over one of the ways.
type path func(c *http.Client, n int) error

func (f *fleet) direct(c *http.Client, n int) error {
	key := "key-" + strconv.Itoa(n%keys)
	t := f.owner(key)
	return send(c, t.Base+"/v1/run/sheet", map[string]string{
		serverapi.HeaderShard: t.Ref.String(), serverapi.HeaderFence: t.Fence.String(), serverapi.HeaderKey: key, serverapi.HeaderCustomer: "pewright",
	})
}

func (f *fleet) through(base string) path {
	return func(c *http.Client, n int) error {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		return send(c, base+"/v1/booking/sheet", map[string]string{
			frontend.HeaderCustomer: "pewright", frontend.HeaderKey: "key-" + strconv.Itoa(n%keys), frontend.HeaderRequestID: id.String(),
		})
	}
}

func send(c *http.Client, url string, headers map[string]string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK || len(body) != len(answerBody):
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// saturation returns the requests per second with a fixed number of callers.
// Requests that are refused because a server has no free slot do not count.
func saturation(c *http.Client, p path) float64 {
	var done, next atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range saturated {
		wg.Go(func() {
			for time.Since(start) < satTime {
				if p(c, int(next.Add(1))) == nil {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / time.Since(start).Seconds()
}

func cpu() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure sends b.N requests at a fixed rate and reports latency and CPU time.
// The CPU time includes that of callers and servers, which is the same for each
// path; the difference to the direct path is that of the entry hosts.
func measure(b *testing.B, c *http.Client, p path, rate float64) {
	took := make([]time.Duration, b.N)
	var failed atomic.Int64
	var first atomic.Pointer[error]
	interval := time.Duration(float64(time.Second) / rate)
	b.ResetTimer()
	before, start := cpu(), time.Now()
	var wg sync.WaitGroup
	for w := range min(paced, b.N) {
		wg.Go(func() {
			for n := w; n < b.N; n += paced {
				time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
				sent := time.Now()
				if err := p(c, n); err != nil {
					failed.Add(1)
					first.CompareAndSwap(nil, &err)
				}
				took[n] = time.Since(sent)
			}
		})
	}
	wg.Wait()
	used := cpu() - before
	b.StopTimer()
	if err := first.Load(); err != nil {
		b.Logf("%d of %d requests failed: %v", failed.Load(), b.N, errors.Join(*err))
	}
	slices.Sort(took)
	at := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))].Microseconds()) }
	b.ReportMetric(at(0.5), "p50-us")
	b.ReportMetric(at(0.99), "p99-us")
	b.ReportMetric(float64(used.Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// BenchmarkHops compares the paths at half of the saturation of the longest.
// Run with -benchtime=20000x or more, so that the percentiles have enough
// samples.
func BenchmarkHops(b *testing.B) {
	for _, keepAlive := range []bool{true, false} {
		name := "reused"
		if !keepAlive {
			name = "new-connections"
		}
		b.Run(name, func(b *testing.B) {
			f := newFleet(b, keepAlive, answer)
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableKeepAlives: !keepAlive}}
			sat := saturation(c, f.through(f.entry))
			for _, way := range []struct {
				name string
				path path
			}{{"direct", f.direct}, {"one-hop", f.through(f.leader)}, {"two-hops", f.through(f.entry)}} {
				b.Run(way.name, func(b *testing.B) { measure(b, c, way.path, sat/2) })
			}
		})
	}
}
