package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/platform/standin"
)

const (
	keys = 65536
	// watched is the number of keys whose holders are looked at.
	watched       = 128
	watchInterval = 15 * time.Millisecond
)

// caller sends requests until the context ends. It keeps its connection to a
// host until that host refuses it.
func (r *run) caller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{}, Timeout: timeLeft + time.Second}
	at := n
	for i := 0; ctx.Err() == nil; i++ {
		p := r.hosts[at%len(r.hosts)]
		id := fmt.Sprintf("%d-%d-%d", r.opts.Seed, n, i)
		path := []string{"/read/x", "/order/y", "/jobs/z"}[rng.IntN(3)]
		if !r.send(client, p, path, id, rng.IntN(keys)) {
			at++
		}
		time.Sleep(time.Duration(rng.IntN(12)) * time.Millisecond)
	}
}

// send sends one request and checks its answer. It returns false if the host
// cannot be reached.
func (r *run) send(client *http.Client, p *process, path, id string, key int) bool {
	method := http.MethodPost
	if strings.HasPrefix(path, "/read/") {
		method = http.MethodGet
	}
	resp, err := standin.SendRequest(client, p.CallerAddress, method, path, id, timeLeft, key)
	status := 0
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		body, bodyErr := io.ReadAll(resp.Body)
		if bodyErr == nil {
			status = resp.StatusCode
			if !standin.ValidResponse(resp, id) {
				r.violate("request %s got the answer of another one: %d %q", id, status, body)
			}
			if status == http.StatusOK && !strings.Contains(string(body), path) {
				r.violate("request %s for %s got %q", id, path, body)
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	switch status {
	case http.StatusOK:
		r.report.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.report.Refused++
	default:
		r.report.Failed++
	}
	if method == http.MethodPost {
		r.outcomes[id] = status
	}
	return status != 0
}

// watchOwners fails the run if two servers hold a key at the same time.
func (r *run) watchOwners(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(watchInterval)
		holders := make(map[int]string)
		r.deployment.ForEachServer(func(s *standin.Server) {
			if !s.Keyed {
				return
			}
			for i := range watched {
				key := i * (keys / watched)
				if !s.Holds(key) {
					continue
				}
				if other, ok := holders[key]; ok {
					r.violate("key %d is held by %s and %s", key, other, s.ID)
				}
				holders[key] = s.ID
			}
		})
	}
}

// checkRuns fails the run if a request ran twice that must not, or ran although
// its caller was told that it did not.
func (r *run) checkRuns() {
	time.Sleep(200 * time.Millisecond) // requests under way end
	r.mu.Lock()
	outcomes, runs := r.outcomes, r.runs
	r.mu.Unlock()
	for id, status := range outcomes {
		n := runs[id]
		if n > 1 {
			r.violate("request %s ran %d times", id, n)
		}
		if n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			r.violate("request %s ran and was answered %d", id, status)
		}
	}
}

// checkRecovery fails the run if requests are not served once the faults are
// over, or if a host has not the newest configuration in force.
func (r *run) checkRecovery() {
	time.Sleep(recovery)
	client := &http.Client{Transport: &http.Transport{}, Timeout: timeLeft + time.Second}
	served, sent := 0, 0
	for i := range 120 {
		p := r.hosts[i%len(r.hosts)]
		resp, err := standin.SendRequest(client, p.CallerAddress, http.MethodGet, "/read/x", fmt.Sprintf("end-%d", i), timeLeft, i*543%keys)
		sent++
		if err == nil {
			if resp.StatusCode == http.StatusOK {
				served++
			}
			_ = resp.Body.Close()
		}
	}
	if float64(served) < recoveryShare*float64(sent) {
		r.violate("%d of %d requests are served %v after the last fault", served, sent, recovery)
	}
	for _, p := range r.hosts {
		for _, v := range []int{r.version, r.version - 1} {
			resp, err := standin.SendRequest(client, p.CallerAddress, http.MethodGet, fmt.Sprintf("/v%d/x", v), fmt.Sprintf("version-%d-%s", v, p.Name), timeLeft, 0)
			if err != nil {
				r.violate("host %s does not answer: %v", p.Name, err)
				continue
			}
			_ = resp.Body.Close()
			if known := resp.StatusCode != http.StatusNotFound; known != (v == r.version) {
				r.violate("host %s answers %d on the route of version %d, the newest is %d", p.Name, resp.StatusCode, v, r.version)
			}
		}
	}
}
