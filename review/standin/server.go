package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server as PROTOCOL.md describes it. Each start is a new life.
type server struct {
	id, service string
	keyed       bool
	slots       int
	work        func(r *http.Request) time.Duration
	answerBytes int // least length of its answers
	log         *recorder
	address     string
	born        int64

	mu       sync.Mutex
	leaving  bool // says Server-Leaving in all its answers
	draining bool // reports draining to the store
	ended    bool
	holds    []hold
	fences   []fenced
	running  map[int]int // by key
	slot     chan struct{}
	queued   int
	sequence int64
	listener net.Listener
	http     *http.Server
}

// hold is a grant of a range of keys.
type hold struct {
	from, to int
	until    time.Time
}

// fenced is the highest fence that the server has seen on a range of keys.
type fenced struct {
	from, to int
	fence    int64
}

// maxQueued is the number of requests that wait for a slot.
const maxQueued = 8

// start starts the server on an address; an empty one picks a free port.
func (s *server) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now().UnixMilli()
	s.running, s.slot = make(map[int]int), make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// end ends the server at once, with all its connections.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	_ = s.http.Close()
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// registration returns the entry of the server in the store.
func (s *server) registration() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": "zone-a", "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "warmup_left_ms": 0},
	})
	return data
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t := r.Header.Get("Lycheerudder-Target-Instance"); t != "" && t != s.id {
		w.Header().Set("Lycheerudder-Instance-Id", s.id)
		w.Header().Set("Lycheerudder-Not-Executed", "1")
		w.Header().Set("Lycheerudder-Request-Id", r.Header.Get("Lycheerudder-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/grant":
		s.grant(w, r)
	case "/v1/release":
		s.release(w, r)
	default:
		s.request(w, r)
	}
}

type keyCall struct {
	From   int   `json:"from"`
	Target int   `json:"target"`
	Fence  int64 `json:"fence"`
	HoldMS int64 `json:"hold_ms"`
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var c keyCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.Target {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fences {
		if f.from <= c.Target && f.to >= c.From && f.fence > c.Fence {
			s.log.write(event{Kind: "grant-refused", Server: s.id, Key: c.From, To: c.Target, Fence: c.Fence})
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.cut(c.From, c.Target)
	until := now.Add(time.Duration(c.HoldMS) * time.Millisecond)
	s.holds = append(s.holds, hold{c.From, c.Target, until})
	s.fences = append(s.fences, fenced{c.From, c.Target, c.Fence})
	s.log.hold(s, c, now, until)
	w.WriteHeader(http.StatusOK)
}

// cut removes keys from all holds. The caller holds the lock.
func (s *server) cut(from, to int) {
	var keep []hold
	for _, h := range s.holds {
		if h.to < from || h.from > to {
			keep = append(keep, h)
			continue
		}
		if h.from < from {
			keep = append(keep, hold{h.from, from - 1, h.until})
		}
		if h.to > to {
			keep = append(keep, hold{to + 1, h.to, h.until})
		}
	}
	s.holds = keep
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var c keyCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.cut(c.From, c.Target)
	s.mu.Unlock()
	s.log.released(s, c)
	for s.busyOn(c.From, c.Target) {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Lycheerudder-Handover", fmt.Sprintf("%x", time.Now().UnixNano()))
	w.WriteHeader(http.StatusOK)
}

func (s *server) busyOn(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.running {
		if k >= from && k <= to {
			return true
		}
	}
	return false
}

// head sets the headers that all answers to requests have.
func (s *server) head(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Lycheerudder-Request-Id", r.Header.Get("Lycheerudder-Request-Id"))
	h.Set("Keep-Alive", "timeout=10")
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("Lycheerudder-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slot), s.queued, s.slots))
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
}

func (s *server) reject(w http.ResponseWriter, r *http.Request, status int) {
	s.head(w, r)
	w.Header().Set("Lycheerudder-Not-Executed", "1")
	w.WriteHeader(status)
}

// take waits for a slot; false if the queue is full or the caller has left.
func (s *server) take(r *http.Request) bool {
	s.mu.Lock()
	if s.queued >= maxQueued {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lycheerudder-Request-Id")
	key, _ := strconv.Atoi(r.Header.Get("Lycheerudder-Shard-Key"))
	s.log.write(event{Kind: "arrives", ID: id, Server: s.id, Key: key})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.take(r) {
		s.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	if !s.begin(id, key) {
		s.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	defer s.finish(key)
	left, _ := strconv.Atoi(r.Header.Get("Lycheerudder-Deadline-Ms"))
	work, timeLeft := s.work(r), time.Duration(left)*time.Millisecond
	select {
	case <-time.After(min(work, timeLeft)):
	case <-r.Context().Done():
		s.log.write(event{Kind: "dropped", ID: id, Server: s.id})
		return
	}
	answer := fmt.Sprintf("%s %s %s %s %x", s.id, id, r.Method, r.URL.RequestURI(), body)
	answer += strings.Repeat(".", max(0, s.answerBytes-len(answer)))
	s.head(w, r)
	w.Header().Set("Lycheerudder-Server-Signature", "3e1b."+id)
	status := http.StatusOK
	if work > timeLeft {
		status = http.StatusGatewayTimeout
	}
	s.log.write(event{Kind: "ran", ID: id, Server: s.id, Status: status, Body: answer[:min(len(answer), 80)]})
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// begin records that the server begins to work on a request. It returns false if the
// server does not hold the key.
func (s *server) begin(id string, key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyed && !s.holdsKey(key, time.Now()) {
		return false
	}
	s.running[key]++
	s.log.write(event{Kind: "runs", ID: id, Server: s.id, Key: key})
	return true
}

func (s *server) holdsKey(key int, now time.Time) bool {
	for _, h := range s.holds {
		if key >= h.from && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *server) finish(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key]--; s.running[key] == 0 {
		delete(s.running, key)
	}
}
