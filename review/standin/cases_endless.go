package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	// endlessHosts, endlessServers and endlessTroubled are the numbers of hosts, of servers
	// and of servers in trouble.
	endlessHosts, endlessServers, endlessTroubled = 3, 23, 3
	// smallMemoryMB is the memory of the smallest hosts of the grown sites.
	smallMemoryMB = 184
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
)

// residentBytes returns the resident memory of the process; zero if it is not known.
func (h *host) residentBytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// watchMemory kills the process when it exceeds its memory, as the platform does, and
// starts it again.
func (w *world) watchMemory(ctx context.Context, h *host, found chan<- violation) {
	limit, most := int64(w.memoryMB)<<20, int64(0)
	for ctx.Err() == nil {
		n := h.residentBytes()
		if n > most+(16<<20) {
			most = n
			w.log.write(event{Kind: "memory", Host: h.name, Note: fmt.Sprintf("%d MB", n>>20)})
		}
		if n > limit {
			found <- violation{"Fault", fmt.Sprintf("the process of %s holds %d MB; its limit is %d MB, so the platform kills it", h.name, n>>20, w.memoryMB)}
			h.kill()
			time.Sleep(restartDelay)
			if ctx.Err() == nil {
				_ = h.start()
			}
			most = 0
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playEndless plays servers whose answers have heads without end.
func playEndless(w *world, program string) ([]violation, error) {
	w.memoryMB = smallMemoryMB
	w.services["rounds"] = true
	lookup := &route{name: "stop-lookup", service: "rounds", method: "GET", idempotent: true, deadline: 3 * time.Second, keyed: true}
	w.routes = []*route{lookup}
	never := func() bool { return false }
	for i := range endlessServers {
		s := &server{id: fmt.Sprintf("i-%08x", 0x5e000000+i), service: "rounds", keyed: true, slots: 2, work: fixedWork(60 * time.Millisecond), log: w.log}
		if err := w.addServer(s, ""); err != nil {
			return nil, err
		}
		go w.beat(s, never)
	}
	w.publish(1)
	if err := w.startHosts(endlessHosts, program); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	found := make(chan violation, 1000)
	for _, h := range w.hosts {
		go w.watchMemory(load, h, found)
	}
	go w.clients.run(load, lookup, 100, func() (*host, int) { return w.hosts[rand.IntN(len(w.hosts))], rand.IntN(65536) })
	time.Sleep(8 * time.Second)
	if w.trouble {
		for _, s := range w.servers[:endlessTroubled] {
			s.mu.Lock()
			s.endless = true
			s.mu.Unlock()
			w.log.note(s.id + " sends heads without end from now on")
		}
	}
	time.Sleep(20 * time.Second)
	stop()
	w.clients.wg.Wait()
	var out []violation
	for len(found) > 0 {
		out = append(out, <-found)
	}
	return out, nil
}
