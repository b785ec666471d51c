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
	keyCount = 65536
	// watchedKeys is the number of keys whose owners are checked.
	watchedKeys   = 128
	watchInterval = 15 * time.Millisecond
)

// runCaller sends requests until the context is cancelled. It keeps its connection to a
// host until a request gets no response.
func (r *run) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout + time.Second}
	hostIndex := n
	for i := 0; ctx.Err() == nil; i++ {
		p := r.hosts[hostIndex%len(r.hosts)]
		id := fmt.Sprintf("%d-%d-%d", r.opts.Seed, n, i)
		path := []string{"/read/x", "/order/y", "/jobs/z"}[rng.IntN(3)]
		if !r.sendRequest(client, p, path, id, rng.IntN(keyCount)) {
			hostIndex++
		}
		time.Sleep(time.Duration(rng.IntN(12)) * time.Millisecond)
	}
}

// sendRequest sends one request and checks the response. It returns false if there was
// no complete response.
func (r *run) sendRequest(client *http.Client, p *hostProcess, path, id string, key int) bool {
	method := http.MethodPost
	if strings.HasPrefix(path, "/read/") {
		method = http.MethodGet
	}
	resp, err := standin.SendRequest(client, p.CallerAddress, method, path, id, requestTimeout, key)
	status := 0
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		body, bodyErr := io.ReadAll(resp.Body)
		if bodyErr == nil {
			status = resp.StatusCode
			if !standin.ValidResponse(resp, id) {
				r.recordViolation("request %s got the answer of another one: %d %q", id, status, body)
			}
			if status == http.StatusOK && !strings.Contains(string(body), path) {
				r.recordViolation("request %s for %s got %q", id, path, body)
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
		r.statuses[id] = status
	}
	return status != 0
}

// watchOwners records a violation if two servers hold grants for a key at the same time.
func (r *run) watchOwners(ctx context.Context) {
	keys := make([]int, watchedKeys)
	for i := range keys {
		keys[i] = i * (keyCount / watchedKeys)
	}
	for ctx.Err() == nil {
		time.Sleep(watchInterval)
		for i, holders := range r.deployment.Holders(keys) {
			if len(holders) > 1 {
				r.recordViolation("key %d is held by %s", keys[i], strings.Join(holders, " and "))
			}
		}
	}
}

// checkRuns records a violation if a request ran more than once although it must not, or
// if it ran although the response said that it did not.
func (r *run) checkRuns() {
	time.Sleep(200 * time.Millisecond) // lets running requests finish
	r.mu.Lock()
	statuses, runCounts := r.statuses, r.runCounts
	r.mu.Unlock()
	for id, status := range statuses {
		n := runCounts[id]
		if n > 1 {
			r.recordViolation("request %s ran %d times", id, n)
		}
		if n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			r.recordViolation("request %s ran and was answered %d", id, status)
		}
	}
}

// checkEvacuation records a violation if a server of the evacuated data centre got a request
// after the given time, which is recoveryTime after the last fault.
func (r *run) checkEvacuation(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.evacuated {
		return
	}
	for _, s := range r.remoteServers {
		if arrivals := s.Arrivals(); len(arrivals) > 0 && arrivals[len(arrivals)-1].After(from) {
			r.recordLocked("server %s got a request although its data centre is evacuated", s.ID)
		}
	}
}

// checkRecovery records a violation if requests are not served again after the last fault,
// or if a host does not use the newest configuration.
func (r *run) checkRecovery() {
	time.Sleep(recoveryTime)
	defer r.checkEvacuation(time.Now())
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout + time.Second}
	served, sent := 0, 0
	for i := range 120 {
		p := r.hosts[i%len(r.hosts)]
		resp, err := standin.SendRequest(client, p.CallerAddress, http.MethodGet, "/read/x", fmt.Sprintf("end-%d", i), requestTimeout, i*543%keyCount)
		sent++
		if err == nil {
			if resp.StatusCode == http.StatusOK {
				served++
			}
			_ = resp.Body.Close()
		}
	}
	if float64(served) < minServedShare*float64(sent) {
		r.recordViolation("%d of %d requests are served %v after the last fault", served, sent, recoveryTime)
	}
	for _, p := range r.hosts {
		for _, v := range []int{r.configVersion, r.configVersion - 1} {
			resp, err := standin.SendRequest(client, p.CallerAddress, http.MethodGet, fmt.Sprintf("/v%d/x", v), fmt.Sprintf("version-%d-%s", v, p.Name), requestTimeout, 0)
			if err != nil {
				r.recordViolation("host %s does not answer: %v", p.Name, err)
				continue
			}
			_ = resp.Body.Close()
			if known := resp.StatusCode != http.StatusNotFound; known != (v == r.configVersion) {
				r.recordViolation("host %s answers %d on the route of version %d, the newest is %d", p.Name, resp.StatusCode, v, r.configVersion)
			}
		}
	}
}
