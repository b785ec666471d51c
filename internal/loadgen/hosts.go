package loadgen

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// checkInterval and checkTimeout are those of a balancer on a local network.
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
)

// Hosts chooses entry hosts in turn, as a balancer does. It skips hosts that
// are not ready or refused a connection. It is safe for concurrent use.
type Hosts struct {
	targets []string
	health  []string // admin addresses in the order of targets, or empty

	mu   sync.Mutex
	down map[string]bool
	next int
}

// NewHosts returns the hosts with the given caller addresses. health holds
// their admin addresses in the same order; without it hosts are not checked.
func NewHosts(targets, health []string) *Hosts {
	return &Hosts{targets: targets, health: health, down: make(map[string]bool)}
}

// Len returns the number of hosts.
func (h *Hosts) Len() int { return len(h.targets) }

// Next returns the next host in turn that is not down.
func (h *Hosts) Next() (target string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for range h.targets {
		target = h.targets[h.next%len(h.targets)]
		h.next++
		if !h.down[target] {
			return target, true
		}
	}
	return "", false
}

// Refused takes a host out until a check finds it ready.
func (h *Hosts) Refused(target string) {
	if len(h.health) > 0 {
		h.set(target, false)
	}
}

func (h *Hosts) set(target string, ready bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[target] = !ready
}

// Watch checks the readiness of the hosts until the context ends.
func (h *Hosts) Watch(ctx context.Context) {
	var wg sync.WaitGroup
	for i, address := range h.health {
		wg.Go(func() {
			for t := time.NewTicker(checkInterval); ; {
				select {
				case <-ctx.Done():
					t.Stop()
					return
				case <-t.C:
					h.set(h.targets[i], ready(ctx, address))
				}
			}
		})
	}
	wg.Wait()
}

func ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
