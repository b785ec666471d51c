package soak

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// fault is one kind of fault. It returns a description; what it breaks is mended
// before the run ends.
type fault struct {
	name string
	do   func(r *run, p *process, hold time.Duration)
}

var faultKinds = []fault{
	{"kill and restart", func(r *run, p *process, hold time.Duration) {
		p.signal(syscall.SIGKILL)
		time.Sleep(hold / 4)
		r.restart(p)
	}},
	{"stop gracefully and restart", func(r *run, p *process, _ time.Duration) {
		p.signal(syscall.SIGTERM)
		r.restart(p)
	}},
	{"pause", func(_ *run, p *process, hold time.Duration) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(_ *run, p *process, _ time.Duration) { p.signal(syscall.SIGHUP) }},
	{"store away for one host, silent", func(_ *run, p *process, hold time.Duration) { p.proxy.during(silence, hold) }},
	{"store away for one host, reset", func(_ *run, p *process, hold time.Duration) { p.proxy.during(reset, hold) }},
	{"store slow for one host", func(_ *run, p *process, hold time.Duration) { p.proxy.during(delay, hold) }},
	{"store hears one host and does not answer", func(_ *run, p *process, hold time.Duration) { p.proxy.during(oneWay, hold) }},
	{"store refuses all", func(r *run, _ *process, hold time.Duration) {
		r.storeFault(hold, func(string) int { return http.StatusServiceUnavailable })
	}},
	{"store loses answers", func(r *run, _ *process, hold time.Duration) {
		n := 0
		r.storeFault(hold, func(string) int {
			if n++; n%3 == 0 {
				return -2
			}
			return 0
		})
	}},
	{"store drops history", func(r *run, _ *process, _ time.Duration) {
		r.deployment.CompactStore()
	}},
	{"server crashes and is replaced", func(r *run, _ *process, _ time.Duration) { r.replaceServer(false) }},
	{"server leaves and is replaced", func(r *run, _ *process, _ time.Duration) { r.replaceServer(true) }},
	{"configuration changes", func(r *run, _ *process, _ time.Duration) {
		if err := r.configure(); err != nil {
			r.violate("configuration cannot be published: %v", err)
		}
	}},
	{"all hosts are killed", func(r *run, _ *process, hold time.Duration) {
		for _, p := range r.hosts {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(hold / 4)
		for _, p := range r.hosts {
			r.restart(p)
		}
	}},
}

func (r *run) restart(p *process) {
	if err := p.end(r.opts); err != nil {
		r.violate("host %s cannot be started: %v", p.Name, err)
	}
}

func (r *run) storeFault(hold time.Duration, f func(string) int) {
	r.deployment.Store.SetFault(f)
	time.Sleep(hold)
	r.deployment.Store.SetFault(func(string) int { return 0 })
}

func (r *run) replaceServer(gracefully bool) {
	r.mu.Lock()
	id := r.servers[0]
	r.servers = r.servers[1:]
	r.mu.Unlock()
	if err := r.addServer("booking", true); err != nil {
		r.violate("server cannot be started: %v", err)
	}
	if !gracefully {
		r.deployment.CrashServer(id)
		return
	}
	r.deployment.DrainServer(id)
	go func() {
		time.Sleep(leaveTime)
		r.deployment.CrashServer(id)
	}()
}

// leaveTime is the time for which a server that leaves still serves.
const leaveTime = 2500 * time.Millisecond

// faults injects faults until the duration has passed. Two of them can overlap;
// a host has one at a time.
func (r *run) faults(ctx context.Context) {
	end := time.Now().Add(r.opts.Duration)
	busy := make(chan struct{}, 2)
	free := make(chan *process, len(r.hosts))
	for _, p := range r.hosts {
		free <- p
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		k := faultKinds[r.rng.IntN(len(faultKinds))]
		hold := time.Duration(300+r.rng.IntN(2700)) * time.Millisecond
		pause := time.Duration(100+r.rng.IntN(1200)) * time.Millisecond
		all := k.name == "all hosts are killed"
		if all {
			// Nothing else may hold a host meanwhile.
			for range cap(busy) {
				busy <- struct{}{}
			}
			r.note("%s for %v", k.name, hold)
			k.do(r, nil, hold)
			for range cap(busy) {
				<-busy
			}
			time.Sleep(pause)
			continue
		}
		busy <- struct{}{}
		p := <-free
		r.note("%s: %s, %v", p.Name, k.name, hold)
		if k.name == "configuration changes" {
			k.do(r, p, hold) // its numbers come from the generator of this loop
			free <- p
			<-busy
			continue
		}
		go func() {
			k.do(r, p, hold)
			free <- p
			<-busy
		}()
		time.Sleep(pause)
	}
	for range cap(busy) {
		busy <- struct{}{}
	}
}
