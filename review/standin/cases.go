package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// quiet drops what net/http logs of aborted handlers.
var quiet = log.New(io.Discard, "", 0)

var cases = map[string]func(*world, string) ([]violation, error){
	"leaving":       playLeaving,
	"stopping":      playStopping,
	"stopping-long": playStoppingLong,
}

// playLeaving plays a server that leaves while the store is down.
func playLeaving(w *world, program string) ([]violation, error) {
	w.services["settlement"] = false
	cashUp := &route{name: "cash-up", service: "settlement", method: "PUT", deadline: 1500 * time.Millisecond}
	w.routes = []*route{cashUp}
	var down atomic.Bool
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%08x", 0x5e000000+i), service: "settlement", slots: 2, work: fixedWork(84 * time.Millisecond), log: w.log}
		if err := w.addServer(s, ""); err != nil {
			return nil, err
		}
		go w.beat(s, down.Load)
	}
	w.publish(1)
	if err := w.startHosts(3, program); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	go w.clients.run(load, cashUp, 50, func() (*host, int) { return w.hosts[rand.IntN(len(w.hosts))], 0 })
	time.Sleep(4 * time.Second)

	leaving := w.servers[0]
	leaving.mu.Lock()
	leaving.leaving, leaving.draining = true, true
	leaving.mu.Unlock()
	w.log.note(leaving.id + " begins to leave: it reports draining, and says so in all its answers")
	w.store.put(topicServers, leaving.id, leaving.registration())
	if w.trouble {
		down.Store(true)
		w.store.setMode(busy, w.names()...)
		w.log.note("the store is down for 8 s: it answers 503")
	}
	time.Sleep(drain + 1500*time.Millisecond)
	w.log.note(leaving.id + " ends")
	leaving.end()
	time.Sleep(4500 * time.Millisecond)
	if w.trouble {
		down.Store(false)
		w.store.setMode(serving, w.names()...)
		w.log.note("the store is back")
	}
	w.store.put(topicServers, leaving.id, nil)
	time.Sleep(3 * time.Second)
	stop()
	w.clients.wg.Wait()
	noteLost(w, leaving.id)
	return checkLeaving(w.log.all(), w.clients.list(), drain), nil
}

// noteLost prints the requests that a server had begun to run and that have no answer of
// a server, because it ended. They show what the rule guards against and decide nothing.
func noteLost(w *world, server string) {
	began := make(map[string]bool)
	for _, e := range w.log.all() {
		if e.Kind == "runs" && e.Server == server {
			began[e.ID] = true
		}
	}
	for _, q := range w.clients.list() {
		if began[q.id] && !q.signed {
			text := fmt.Sprintf("%s ran at %s as it ended; the client got %d and does not learn of it", q.id, server, q.status)
			fmt.Println("lost:", text)
			w.log.note(text)
		}
	}
}

// playStopping stops the hosts one after the other while clients send further requests
// before the first has been answered.
func playStopping(w *world, program string) ([]violation, error) {
	w.services["rounds"] = false
	lookup := &route{name: "stop-lookup", service: "rounds", method: "GET", idempotent: true, deadline: 2500 * time.Millisecond}
	booking := &route{name: "restock-booking", service: "rounds", method: "POST", deadline: 3 * time.Second}
	w.routes = []*route{booking, lookup}
	err := w.addServers(23, &server{service: "rounds", slots: 2, work: fixedWork(120 * time.Millisecond), answerBytes: 9000})
	if err != nil {
		return nil, err
	}
	return w.playStops(program, 90, &pipeline{first: w.routes, further: lookup, perSecond: 2.5, window: 4 << 10})
}

// playStoppingLong is playStopping with a few long requests, and without small windows.
func playStoppingLong(w *world, program string) ([]violation, error) {
	w.services["settlement"] = false
	history := &route{name: "round-history", service: "settlement", method: "GET", idempotent: true, deadline: 4 * time.Second}
	w.routes = []*route{history}
	work := func(*http.Request) time.Duration {
		if rand.IntN(12) == 0 {
			return 3600 * time.Millisecond
		}
		return 480 * time.Millisecond
	}
	if err := w.addServers(30, &server{service: "settlement", slots: 2, work: work, answerBytes: 5000}); err != nil {
		return nil, err
	}
	return w.playStops(program, 80, &pipeline{first: w.routes, further: history, perSecond: 0.7, window: 256 << 10})
}

// addServers adds n servers like s.
func (w *world) addServers(n int, like *server) error {
	for i := range n {
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x5e000000+i), service: like.service, slots: like.slots, work: like.work, answerBytes: like.answerBytes, log: w.log,
		}
		if err := w.addServer(s, ""); err != nil {
			return err
		}
		go w.beat(s, func() bool { return false })
	}
	return nil
}

// playStops starts three hosts, and stops and starts each of them twice while clients
// send requests.
func (w *world) playStops(program string, clientCount int, like *pipeline) ([]violation, error) {
	w.publish(1)
	if err := w.startHosts(3, program); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	balancer := newBalancer(w.hosts)
	var over atomic.Bool
	for range clientCount {
		p := &pipeline{c: w.clients, first: like.first, further: like.further, perSecond: like.perSecond, window: like.window}
		w.clients.wg.Go(func() { p.run(over.Load, balancer.pick) })
	}
	go balancer.run(ctx, over.Load)
	time.Sleep(4 * time.Second)
	var stops []stop
	for range 2 {
		for _, h := range w.hosts {
			// Without trouble the same times are judged.
			s := stop{h, time.Now()}
			if w.trouble {
				if err := w.stopAndStart(h); err != nil {
					return nil, err
				}
			}
			stops = append(stops, s)
			time.Sleep(5 * time.Second)
		}
	}
	over.Store(true)
	w.clients.wg.Wait()
	return checkStopping(w.log.all(), w.clients.list(), stops), nil
}

// stop is a SIGTERM of a host.
type stop struct {
	host *host
	at   time.Time
}

// stopAndStart stops a host as the platform does, and starts it again.
func (w *world) stopAndStart(h *host) error {
	w.log.note(h.name + " gets SIGTERM")
	h.signal(syscall.SIGTERM)
	h.wait(grace)
	w.log.note(h.name + " has ended and starts again")
	time.Sleep(500 * time.Millisecond)
	return h.start()
}
