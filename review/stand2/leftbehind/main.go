// Program leftbehind lets a server leave while the store is down and registrations lapse,
// kills the leader before the store returns and its successor soon after, and checks that the
// server gets no requests once the store has shown for long that it is gone.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/platform/standin"
	"github.com/lycheerudder/lycheerudder/review/stand2/lab"
)

const (
	service = "workshop"
	hosts   = 5
	servers = 16
	added   = 4 // empty servers that come when the store is back
	// addInterval spreads them over half a second.
	addInterval = 125 * time.Millisecond
	leaver      = "i-0"
	interval    = 8 * time.Millisecond
	timeLeft    = 1500 * time.Millisecond

	// firstTrouble is the time from the first kill of a leader, after which all hosts have read
	// the registrations once, to the start of the rest.
	firstTrouble = 5 * time.Second

	outageAt   = 3 * time.Second
	outageTime = 4500 * time.Millisecond
	// lapseAfter is three heartbeat intervals: then registrations lapse.
	lapseAfter = 2600 * time.Millisecond
	firstKill  = outageAt + outageTime - 200*time.Millisecond
	downTime   = 3500 * time.Millisecond // of a killed host
	// secondKill is the time for which the next leader has led when it is killed.
	secondKill = 2 * time.Second
	// stayTime is how long the server goes on serving after it has left.
	stayTime = 15 * time.Second

	contact     = 3 * time.Second // contact_ms
	drainWindow = 2 * time.Second // drain_ms
	// margin is left for the way of a request from its caller to the server.
	margin = 200 * time.Millisecond
)

func main() {
	program := flag.String("program", "target/lygate", "program of a host")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the store goes down and hosts are killed")
	flag.Parse()
	code, err := run(*program, *recordPath, *trouble)
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

// scene is one run.
type scene struct {
	lab    *lab.Lab
	record *lab.Record
	start  time.Time
	mu     sync.Mutex
	killed map[string]bool // hosts
	// late counts the requests that reached the server by hosts that were never killed.
	late map[string]int
	// goneAt is the time from which the store, undisturbed, has shown that the server is gone.
	goneAt time.Time
}

func run(program, recordPath string, trouble bool) (int, error) {
	record, err := lab.NewRecord(recordPath)
	if err != nil {
		return lab.CouldNot, err
	}
	defer record.Close()
	l, err := lab.New()
	if err != nil {
		return lab.CouldNot, err
	}
	defer l.Close()
	s := &scene{lab: l, record: record, killed: make(map[string]bool), late: make(map[string]int)}
	for i := range servers {
		if err := s.startServer(i); err != nil {
			return lab.CouldNot, err
		}
	}
	l.Deployment.RegisterServers()
	routes := []standin.Route{{Prefix: "/records/", Service: service, Idempotent: true}}
	if err := l.Deployment.PublishConfig(1, routes, map[string]bool{service: false}); err != nil {
		return lab.CouldNot, err
	}
	if err := l.StartHosts(program, hosts); err != nil {
		return lab.CouldNot, err
	}
	time.Sleep(3 * time.Second) // a leader is elected
	s.start = time.Now()
	if trouble {
		s.start = s.start.Add(firstTrouble)
	}
	done := make(chan struct{})
	go s.sendAll(done)
	if trouble {
		err = s.trouble()
	} else {
		err = s.calm()
	}
	time.Sleep(time.Until(s.start.Add(outageAt + stayTime)))
	close(done)
	if err != nil {
		return lab.CouldNot, err
	}
	return s.judge(), nil
}

func (s *scene) startServer(i int) error {
	id := fmt.Sprintf("i-%d", i)
	return s.lab.Deployment.StartServer(standin.NewServer(id, service, false, 2, 30*time.Millisecond, func(request string, _ int) {
		s.record.Add("%s runs %s", id, request)
		if id == leaver {
			s.observe(request)
		}
	}))
}

// observe counts a request that reaches the server that has left. Its id begins with the host
// that took it.
func (s *scene) observe(request string) {
	host, _, _ := strings.Cut(request, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.goneAt.IsZero() && time.Since(s.goneAt) > drainWindow+margin {
		s.late[host]++
	}
}

func (s *scene) setGone(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.goneAt = at
	s.record.Add("from %.3f s the store shows, undisturbed, that %s is gone", at.Sub(s.start).Seconds(), leaver)
}

// calm lets the server leave, and nothing else.
func (s *scene) calm() error {
	time.Sleep(outageAt)
	s.lab.Deployment.Unregister(leaver, time.Hour)
	s.setGone(time.Now())
	return s.addServers()
}

// trouble is the outage with both kills.
func (s *scene) trouble() error {
	if err := s.killLeader(time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(s.start.Add(outageAt)))
	s.record.Add("the store goes down; %s leaves", leaver)
	s.lab.Deployment.Store.SetFault(func(string) int { return http.StatusServiceUnavailable })
	time.Sleep(lapseAfter)
	s.lab.Deployment.Unregister(leaver, time.Hour)
	for i := 1; i < servers; i++ {
		s.lab.Deployment.Unregister(fmt.Sprintf("i-%d", i), outageTime-lapseAfter+300*time.Millisecond)
	}
	s.record.Add("all registrations have lapsed")
	time.Sleep(time.Until(s.start.Add(firstKill)))
	if err := s.killLeader(time.Second); err != nil {
		return err
	}
	time.Sleep(time.Until(s.start.Add(outageAt + outageTime)))
	s.lab.Deployment.Store.SetFault(func(string) int { return 0 })
	s.record.Add("the store is back")
	s.setGone(time.Now().Add(contact))
	added := make(chan error, 1)
	go func() { added <- s.addServers() }()
	if err := s.awaitLeader(); err != nil {
		return err
	}
	time.Sleep(secondKill)
	if err := s.killLeader(time.Second); err != nil {
		return err
	}
	return <-added
}

// addServers starts empty servers one after the other.
func (s *scene) addServers() error {
	for i := range added {
		time.Sleep(addInterval)
		if err := s.startServer(servers + i); err != nil {
			return err
		}
		s.lab.Deployment.RegisterServers()
		s.record.Add("i-%d is added", servers+i)
	}
	return nil
}

func (s *scene) leader() *lab.Host {
	for _, h := range s.lab.Hosts {
		if h.Leads() { // a host that is down does not answer
			return h
		}
	}
	return nil
}

func (s *scene) isKilled(h *lab.Host) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed[h.Name]
}

func (s *scene) awaitLeader() error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h := s.leader(); h != nil {
			s.record.Add("%s leads", h.Name)
			return nil
		}
	}
	return errors.New("no host leads")
}

// killLeader kills the host that leads, and starts it again after a while.
func (s *scene) killLeader(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h := s.leader()
		if h == nil {
			continue
		}
		s.mu.Lock()
		s.killed[h.Name] = true
		s.mu.Unlock()
		h.Kill()
		s.record.Add("%s led and is killed", h.Name)
		time.AfterFunc(downTime, func() {
			s.record.Add("%s starts again: %v", h.Name, h.Start())
		})
		return nil
	}
	return errors.New("no host leads")
}

// sendAll sends requests to all hosts in turn.
func (s *scene) sendAll(done <-chan struct{}) {
	client := &http.Client{Timeout: timeLeft + time.Second}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		h := s.lab.Hosts[i%len(s.lab.Hosts)]
		if s.isKilled(h) {
			continue
		}
		go func() {
			id := fmt.Sprintf("%s/%d", h.Name, i)
			s.record.Add("%s sent: GET /records/x", id)
			resp, err := standin.SendRequest(client, h.CallerAddress, http.MethodGet, "/records/x", id, timeLeft, 0)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			_, _ = io.Copy(io.Discard, resp.Body)
			s.record.Add("%s answered: %d", id, resp.StatusCode)
		}()
	}
}

// judge reports whether hosts that were never killed passed requests on to the server later
// than drain_ms after the store's acknowledgement.
func (s *scene) judge() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for host, n := range s.late {
		if s.killed[host] {
			continue
		}
		total += n
		s.record.Add("DRAIN: %d requests reached %s from %s later than %v after it was gone", n, leaver, host, drainWindow)
	}
	if total > 0 {
		return lab.Broken
	}
	s.record.Add("no request reached %s too late", leaver)
	return lab.Held
}
