package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// balancer chooses hosts for new connections as the platform does: a host that has missed
// two readiness checks in a row gets none until it says that it is ready.
type balancer struct {
	mu     sync.Mutex
	hosts  []*host
	misses map[*host]int
}

func newBalancer(hosts []*host) *balancer {
	return &balancer{hosts: hosts, misses: make(map[*host]int)}
}

func (b *balancer) run(ctx context.Context, stopped func() bool) {
	for ctx.Err() == nil && !stopped() {
		for _, h := range b.hosts {
			ready := h.ready()
			b.mu.Lock()
			if b.misses[h]++; ready {
				b.misses[h] = 0
			}
			b.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

// pick returns a host in rotation; nil if there is none.
func (b *balancer) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*host
	for _, h := range b.hosts {
		if b.misses[h] < 2 {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}
