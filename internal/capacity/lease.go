package capacity

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/grant"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// fixedShards is the number of shards of the demo's services.
const fixedShards = 64

// partition runs one leadership in virtual time against servers, over sockets
// or by calls.
type partition struct {
	clock    clock.Manual
	leader   *grant.Manager
	controls map[topology.ServerID]serverapi.LeaseAPI
	wire     wire
	ticking  time.Duration // CPU time of Manager.Tick
	closers  []func()
}

func newPartition(servers, shards int, sockets bool) (*partition, error) {
	p := &partition{controls: make(map[topology.ServerID]serverapi.LeaseAPI)}
	p.clock.Advance(time.Minute)
	cfg := grant.Config{Partition: "booking.kgn-a.0", Epoch: topology.Fence{Home: 1, List: 1, Term: 1}, ChecksFences: true}
	for i := range shards {
		cfg.Shards = append(cfg.Shards, topology.ShardRef{Service: "booking", Shard: topology.ShardID(i)})
	}
	var list []grant.Server
	for i := range servers {
		id := topology.ServerID(fmt.Sprintf("booking-%d", i))
		list = append(list, grant.Server{ID: id})
		fake := serverfake.New(serverfake.Options{ID: id, Incarnation: 1, ChecksFences: true, Clock: &p.clock})
		p.controls[id] = fake
		if !sockets {
			continue
		}
		l, err := listen(&p.wire)
		if err != nil {
			p.close()
			return nil, err
		}
		srv := &http.Server{Handler: fake.Handler(http.NotFoundHandler()), ReadHeaderTimeout: time.Minute}
		go func() { _ = srv.Serve(l) }()
		client := serverapi.NewClient("http://" + l.Addr().String())
		p.controls[id] = client
		p.closers = append(p.closers, client.Close, func() { _ = srv.Close() })
	}
	p.leader = grant.New(cfg, p.clock.Now()+800*time.Millisecond, p.clock.Now())
	p.leader.SetServers(list)
	return p, nil
}

func (p *partition) close() {
	for _, c := range p.closers {
		c()
	}
}

// run advances time in ticks with a support round every 200 ms.
func (p *partition) run(d time.Duration) error {
	const round = 20
	for i := range int(d / tick) {
		p.clock.Advance(tick)
		now := p.clock.Now()
		if i%round == 0 {
			p.leader.SetSupport(now+800*time.Millisecond, now)
		}
		start := time.Now()
		out := p.leader.Tick(now)
		p.ticking += time.Since(start)
		for len(out) > 0 {
			o := out[0]
			r, err := p.controls[o.Server].UpdateLease(context.Background(), o.Request)
			if err != nil {
				return err
			}
			out = append(out[1:], p.leader.HandleReply(o.Server, o.ID, r, now)...)
		}
		p.leader.TakeAssignments()
	}
	return nil
}

// settle runs until the shards have owners.
func (p *partition) settle() error {
	if err := p.run(warmUp); err != nil {
		return err
	}
	for _, s := range p.leader.Shards() {
		if s.State != grant.Owned {
			return eris.Errorf("shard %s is %s after %s", s.Ref, s.State, warmUp)
		}
	}
	return nil
}

func leaseCost(servers, shards int) (micros, bytes float64, err error) {
	p, err := newPartition(servers, shards, true)
	if err != nil {
		return 0, 0, err
	}
	defer p.close()
	if err := p.settle(); err != nil {
		return 0, 0, err
	}
	used, sent := cpu(), p.wire.total()
	if err := p.run(span); err != nil {
		return 0, 0, err
	}
	return float64((cpu() - used).Nanoseconds()) / 1e3 / span.Seconds(), (p.wire.total() - sent) / span.Seconds(), nil
}

func leaseSeries(name, size string, sizes []int, cost func(int) (float64, float64, error)) ([]*Series, error) {
	cpuTime := &Series{Name: name, Size: size, Unit: "CPU us per second of leader and servers"}
	wired := &Series{Name: name, Size: size, Unit: "bytes per second at the leader"}
	for _, n := range sizes {
		micros, bytes, err := cost(n)
		if err != nil {
			return nil, err
		}
		cpuTime.add(float64(n), micros)
		wired.add(float64(n), bytes)
	}
	return []*Series{cpuTime, wired}, nil
}

func leaseByServers() ([]*Series, error) {
	return leaseSeries("lease renewals, 64 shards", "servers", []int{1, 2, 4, 8, 16}, func(n int) (float64, float64, error) {
		return leaseCost(n, fixedShards)
	})
}

func leaseByShards() ([]*Series, error) {
	const servers = 4
	return leaseSeries("lease renewals, 4 servers", "shards per server", []int{16, 64, 256, 1024}, func(n int) (float64, float64, error) {
		return leaseCost(servers, servers*n)
	})
}

// grantCost returns the mean time of a tick and the bytes that the leader
// holds.
func grantCost(servers, shards int) (nanos, bytes float64, err error) {
	p, err := newPartition(servers, shards, false)
	if err != nil {
		return 0, 0, err
	}
	if err := p.settle(); err != nil {
		return 0, 0, err
	}
	const (
		measured = 2 * time.Second
		// The fastest of several runs leaves out the load of other processes.
		runs = 5
	)
	nanos = math.Inf(1)
	for range runs {
		p.ticking = 0
		if err := p.run(measured); err != nil {
			return 0, 0, err
		}
		nanos = min(nanos, float64(p.ticking.Nanoseconds())/float64(measured/tick))
	}
	with, _ := memory()
	p.leader = nil
	without, _ := memory()
	return nanos, with - without, nil
}

func grantByShards() ([]*Series, error) {
	return pair("grant.Leader, 16 servers", "shards", "ns per tick", "bytes", []int{256, 512, 1024, 2048}, func(n int) (float64, float64, error) {
		return grantCost(16, n)
	})
}

func grantByServers() ([]*Series, error) {
	return pair("grant.Leader, 256 shards", "servers", "ns per tick", "bytes", []int{4, 8, 16, 32, 64}, func(n int) (float64, float64, error) {
		return grantCost(n, 256)
	})
}
