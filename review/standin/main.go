// Command standin plays the cases of the review against processes of the deploy file,
// with stand-ins of the store, the servers and the clients. It exits with 1 if the rule
// of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	topicConfig  = "keyed.op"
	topicServers = "keyed.servers"
	siteHost     = "ficu95.example"
	heartbeat    = 870 * time.Millisecond
	drain        = 2 * time.Second // drain_ms
	grace        = 6 * time.Second // grace_s
)

// world is a small deployment.
type world struct {
	dir      string
	log      *recorder
	store    *store
	hosts    []*host
	clients  *clients
	trouble  bool
	services map[string]bool // whether a service is keyed
	routes   []*route

	mu      sync.Mutex
	servers []*server
	closers []func()
	stopped bool
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("lygate", "target/lygate", "program of the deploy file")
	recordPath := flag.String("record", "record.txt", "path of the record")
	keep := flag.Bool("keep", false, "keep the logs of the hosts")
	flag.Parse()
	os.Exit(play(*name, *program, *recordPath, *keep))
}

func play(name, program, recordPath string, keep bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if !keep {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	log, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{
		dir: dir, log: log, store: newStore(), clients: &clients{log: log}, trouble: os.Getenv("TROUBLE") != "0",
		services: make(map[string]bool),
	}
	defer w.close()
	violations, err := run(w, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		log.note("the case could not run: " + err.Error())
		return 2
	}
	w.summarise()
	for i, v := range violations {
		if i < 20 {
			fmt.Println(v.rule+":", v.text)
		}
		log.write(event{Kind: "broken", Note: v.rule + ": " + v.text})
	}
	if len(violations) > 0 {
		fmt.Println(len(violations), "violations")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// summarise prints how the requests ended.
func (w *world) summarise() {
	counts := make(map[string]int)
	for _, q := range w.clients.list() {
		counts[fmt.Sprintf("%s %d", q.route.name, q.status)]++
	}
	data, _ := json.Marshal(counts)
	fmt.Println("answers by status (0: none):", string(data))
	w.log.note("answers by status (0: none): " + string(data))
}

// startHosts starts n hosts, each with an address of its own at the store.
func (w *world) startHosts(n int, program string) error {
	ips, err := freeIPs(n)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		name := fmt.Sprintf("edge-%d", i+1)
		address, err := w.serve(w.store.serveHost(name))
		if err != nil {
			return err
		}
		h, err := newHost(w.dir, program, name, ip, address)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

// serve starts an HTTP server on a free loopback port.
func (w *world) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: quiet}
	go func() { _ = srv.Serve(l) }()
	w.closers = append(w.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// addServer starts a server; its first registration is written at once.
func (w *world) addServer(s *server, address string) error {
	if err := s.start(address); err != nil {
		return err
	}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.store.put(topicServers, s.id, s.registration())
	return nil
}

// beat renews the registration of a server until it ends. down reports whether the store
// takes no calls.
func (w *world) beat(s *server, down func() bool) {
	for !w.isStopped() && !s.hasEnded() {
		if !down() {
			w.store.put(topicServers, s.id, s.registration())
		}
		time.Sleep(heartbeat)
	}
}

func (w *world) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// publish writes the configuration as the operator does.
func (w *world) publish(version int) {
	w.store.put(topicConfig, "config", w.config(version))
}

func (w *world) config(version int) []byte {
	routes, services := make(map[string]any), make(map[string]any)
	for i, r := range w.routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		routes["r-"+r.name] = map[string]any{
			"host": siteHost, "path_prefix": "/" + r.name + "/", "kind": kind, "timeout_ms": r.deadline.Milliseconds(),
			"target_latency_ms": 400, "priority": i, "service": r.service, "max_attempts": 2,
		}
	}
	for name, keyed := range w.services {
		services[name] = map[string]any{"health_path": "/health", "max_connections": 130, "sharded": keyed, "warm_s": 2.0}
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// waitReady waits until all hosts are ready and one leads.
func (w *world) waitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := w.leader() != nil
		for _, h := range w.hosts {
			ready = ready && h.ready()
		}
		if ready {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the hosts are not ready")
}

// leader returns the host that says that it leads; nil if none does.
func (w *world) leader() *host {
	for _, h := range w.hosts {
		if h.leads() {
			return h
		}
	}
	return nil
}

func (w *world) names() []string {
	var names []string
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	return names
}

// close ends all processes and servers that the case started.
func (w *world) close() {
	w.mu.Lock()
	w.stopped = true
	servers := w.servers
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range servers {
		s.end()
	}
	for _, c := range w.closers {
		c()
	}
	_ = w.log.out.Close()
}

func fixedWork(d time.Duration) func(*http.Request) time.Duration {
	return func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/health") {
			return 0
		}
		return d
	}
}
