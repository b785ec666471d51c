package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/relay"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// relayHops measures the time from the append of a change to its fold at the
// last host of a chain over sockets. The log answers at once.
func relayHops() ([]*Series, error) {
	median := &Series{Name: "configuration change, median of 20", Size: "relay hops", Unit: "us"}
	worst := &Series{Name: "configuration change, longest of 20", Size: "relay hops", Unit: "us", NoFit: true}
	for _, n := range []int{1, 2, 4, 8} {
		took, err := chainTimes(n)
		if err != nil {
			return nil, err
		}
		median.add(float64(n), float64(took[len(took)/2].Microseconds()))
		worst.add(float64(n), float64(took[len(took)-1].Microseconds()))
	}
	return []*Series{median, worst}, nil
}

func chainTimes(hops int) ([]time.Duration, error) {
	const changes = 20
	ctx, cancel := context.WithCancel(context.Background())
	var stops []func()
	defer func() {
		cancel() // first, so that subscribers do not look for another upstream
		for _, stop := range stops {
			stop()
		}
	}()
	c, log := clock.NewMonotonic(), logfake.New()
	if err := publish(ctx, log, -1); err != nil {
		return nil, err
	}
	last := relayed(c)
	for _, s := range last {
		go logstream.NewReader(log, s).Run(ctx)
	}
	for i := range hops {
		next, stop, err := subscribe(ctx, fmt.Sprint("host-", i), c, last)
		if err != nil {
			return nil, err
		}
		stops = append(stops, stop)
		last = next
	}
	end := last[0]
	var took []time.Duration
	for i := range int64(changes + 1) {
		start := time.Now()
		if i > 0 { // the first round waits for the connections
			if err := publish(ctx, log, i-1); err != nil {
				return nil, err
			}
		}
		if err := await(end, i+1); err != nil {
			return nil, err
		}
		if i > 0 {
			took = append(took, time.Since(start))
		}
		time.Sleep(20 * time.Millisecond) // the chain returns to rest
	}
	slices.Sort(took)
	return took, nil
}

func relayed(c clock.Clock) []*logstream.Replica {
	return []*logstream.Replica{
		logstream.NewReplica(state.NewConfig().Fold, c, logstream.DefaultPollTimeout),
		logstream.NewReplica(state.NewMembers().Fold, c, logstream.ShortPollTimeout),
	}
}

// subscribe starts the server of upstream streams and a host that follows it.
func subscribe(ctx context.Context, host string, c clock.Clock, upstream []*logstream.Replica) ([]*logstream.Replica, func(), error) {
	var w wire
	l, err := listen(&w)
	if err != nil {
		return nil, nil, err
	}
	p := peer.NewServer(nil)
	p.SetRelay(relay.NewServer(host, c, upstream...))
	server := peer.NewGRPCServer(p)
	go func() { _ = server.Serve(l) }()
	dial := func(topology.HostID) (peerpb.PeerClient, func(), error) {
		client, err := peer.Dial(l.Addr().String())
		if err != nil {
			return nil, nil, err
		}
		return client.RPC(), func() { _ = client.Close() }, nil
	}
	down := logfake.New()
	down.SetFaults(logfake.Faults{Down: true})
	streams := relayed(c)
	go relay.NewClient(topology.HostID(host), c, down, dial, func() []topology.HostID { return []topology.HostID{"up"} }, streams...).Run(ctx)
	return streams, server.Stop, nil
}

// await returns when a stream has folded the records before next.
func await(s *logstream.Replica, next int64) error {
	limit := time.After(10 * time.Second)
	for {
		changed := s.Changed()
		if s.NextOffset() >= next {
			return nil
		}
		select {
		case <-changed:
		case <-limit:
			return eris.Errorf("stream %s has %d records instead of %d after 10 s", s.Name(), s.NextOffset(), next)
		}
	}
}

func publish(ctx context.Context, l platformlog.Log, base int64) error {
	customer := config.Customer{Share: float64(base + 2)}
	e, err := record.New(record.KindConfigChange, base, "operator", config.Change{Customers: map[topology.Customer]*config.Customer{"pewright": &customer}})
	if err != nil {
		return err
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	_, err = l.Append(ctx, record.StreamConfig, data)
	return err
}
