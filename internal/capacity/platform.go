package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
)

// platformCost calls a platform service several times and returns the CPU time
// in microseconds, of both sides, and the bytes of one call.
func platformCost(h http.Handler, calls int, client func(base string) func() error) (micros, bytes float64, err error) {
	var w wire
	l, err := listen(&w)
	if err != nil {
		return 0, 0, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	defer func() { _ = srv.Close() }()
	go func() { _ = srv.Serve(l) }()
	call := client("http://" + l.Addr().String())
	if err := call(); err != nil {
		return 0, 0, err
	}
	used, sent := cpu(), w.total()
	for range calls {
		if err := call(); err != nil {
			return 0, 0, err
		}
	}
	n := float64(calls)
	return float64((cpu() - used).Nanoseconds()) / 1e3 / n, (w.total() - sent) / n, nil
}

// hostList measures one read of the platform's host list, unchanged since the
// last read and changed.
func hostList() ([]*Series, error) {
	var all []*Series
	for _, changed := range []bool{false, true} {
		name := map[bool]string{false: "read of the unchanged host list", true: "read of the changed host list"}[changed]
		both, err := pair(name, "listed hosts and servers", "CPU us of both sides", "bytes", []int{1000, 2000, 4000, 8000},
			func(n int) (float64, float64, error) { return hostListRead(n, changed) })
		if err != nil {
			return nil, err
		}
		all = append(all, both...)
	}
	return all, nil
}

// hostListRead returns the CPU time in microseconds and the bytes of one read
// of n entries.
func hostListRead(n int, changed bool) (micros, bytes float64, err error) {
	list := hostfake.New()
	put := func(i int) {
		list.Put(hostlist.Host{
			ID: fmt.Sprintf("entry-%04d", i), Role: hostlist.RoleEntry, DataCentre: "kgn-a",
			Address: "10.20.30.40:8081", Admin: "10.20.30.40:8082",
		})
	}
	for i := range n {
		put(i)
	}
	return platformCost(list.Handler(), 10, func(base string) func() error {
		c := hostlist.NewClient(base)
		return func() error {
			if changed {
				put(0) // gives the list a new entity tag
			}
			hosts, err := c.Hosts(context.Background())
			if err == nil && len(hosts) != n {
				err = eris.Errorf("host list has %d entries instead of %d", len(hosts), n)
			}
			return err
		}
	})
}

// logReads measures one read that finds so many records of 150 bytes.
func logReads() ([]*Series, error) {
	const size = 150
	took := &Series{Name: "read of the log", Size: "records of 150 bytes", Unit: "CPU us of both sides"}
	sent := &Series{Name: "read of the log", Size: "records of 150 bytes", Unit: "bytes"}
	for _, n := range []int{0, 16, 32, 64} {
		log := logfake.New()
		for range n {
			if _, err := log.Append(context.Background(), "config", make([]byte, size)); err != nil {
				return nil, err
			}
		}
		micros, bytes, err := platformCost(log.Handler(), 200, func(base string) func() error {
			c := platformlog.NewClient(base)
			return func() error {
				_, err := c.Read(context.Background(), "config", 0, 500, 0)
				return err
			}
		})
		if err != nil {
			return nil, err
		}
		took.add(float64(n), micros)
		sent.add(float64(n), bytes)
	}
	return []*Series{took, sent}, nil
}
