package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// fault is one kind of fault. Whatever inject breaks is repaired before the run ends.
type fault struct {
	name   string
	inject func(r *run, p *hostProcess, duration time.Duration)
}

var faultKinds = []fault{
	{"kill and restart", func(r *run, p *hostProcess, duration time.Duration) {
		p.signal(syscall.SIGKILL)
		time.Sleep(duration / 4)
		r.restartHost(p)
	}},
	{"stop gracefully and restart", func(r *run, p *hostProcess, _ time.Duration) {
		p.signal(syscall.SIGTERM)
		r.restartHost(p)
	}},
	{"pause", func(_ *run, p *hostProcess, duration time.Duration) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(_ *run, p *hostProcess, _ time.Duration) { p.signal(syscall.SIGHUP) }},
	{"store away for one host, silent", func(_ *run, p *hostProcess, duration time.Duration) { p.proxy.setModeFor(stall, duration) }},
	{"store away for one host, reset", func(_ *run, p *hostProcess, duration time.Duration) { p.proxy.setModeFor(reset, duration) }},
	{"store slow for one host", func(_ *run, p *hostProcess, duration time.Duration) { p.proxy.setModeFor(delay, duration) }},
	{"store hears one host and does not answer", func(_ *run, p *hostProcess, duration time.Duration) { p.proxy.setModeFor(stallResponses, duration) }},
	{"store refuses all", func(r *run, _ *hostProcess, duration time.Duration) {
		r.injectStoreFault(duration, func(string) int { return http.StatusServiceUnavailable })
	}},
	{"store loses answers", func(r *run, _ *hostProcess, duration time.Duration) {
		n := 0
		r.injectStoreFault(duration, func(string) int {
			if n++; n%3 == 0 {
				return -2
			}
			return 0
		})
	}},
	{"store drops history", func(r *run, _ *hostProcess, _ time.Duration) {
		r.deployment.CompactStore()
	}},
	{"server crashes and is replaced", func(r *run, _ *hostProcess, _ time.Duration) { r.replaceServer(false) }},
	{"server leaves and is replaced", func(r *run, _ *hostProcess, _ time.Duration) { r.replaceServer(true) }},
	{"configuration changes", func(r *run, _ *hostProcess, _ time.Duration) {
		if err := r.publishConfig(); err != nil {
			r.recordViolation("configuration cannot be published: %v", err)
		}
	}},
	{"all hosts are killed", func(r *run, _ *hostProcess, duration time.Duration) {
		for _, p := range r.hosts {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(duration / 4)
		for _, p := range r.hosts {
			r.restartHost(p)
		}
	}},
}

func (r *run) restartHost(p *hostProcess) {
	if err := p.restart(r.opts); err != nil {
		r.recordViolation("host %s cannot be started: %v", p.Name, err)
	}
}

func (r *run) injectStoreFault(duration time.Duration, f func(string) int) {
	r.deployment.Store.SetFault(f)
	time.Sleep(duration)
	r.deployment.Store.SetFault(func(string) int { return 0 })
}

func (r *run) replaceServer(drain bool) {
	r.mu.Lock()
	id := r.keyedServers[0]
	r.keyedServers = r.keyedServers[1:]
	r.mu.Unlock()
	if err := r.addServer("booking", true); err != nil {
		r.recordViolation("server cannot be started: %v", err)
	}
	if !drain {
		r.deployment.CrashServer(id)
		return
	}
	r.deployment.DrainServer(id)
	go func() {
		time.Sleep(drainTime)
		r.deployment.CrashServer(id)
	}()
}

const (
	// remoteDataCentre is the data centre that may be evacuated; one server in
	// remoteServerInterval is there.
	remoteDataCentre     = "remote"
	remoteServerInterval = 4
)

// evacuate evacuates the remote data centre in half of the runs, at some time during the
// faults and until the end of the run. It has a random source of its own, so that the other
// faults of a seed stay the same.
func (r *run) evacuate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, remoteServerInterval))
	after := time.Duration(rng.Float64() * float64(r.opts.Duration))
	if rng.IntN(2) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(after):
		r.mu.Lock()
		r.evacuated = true
		r.mu.Unlock()
		r.recordFault("data centre %s is evacuated", remoteDataCentre)
		r.deployment.Evacuate(remoteDataCentre)
	}
}

// drainTime is how long a draining server still runs requests.
const drainTime = 2500 * time.Millisecond

// injectFaults injects faults until the duration has passed. At most two faults overlap,
// and each host has at most one at a time.
func (r *run) injectFaults(ctx context.Context) {
	end := time.Now().Add(r.opts.Duration)
	slots := make(chan struct{}, 2)
	freeHosts := make(chan *hostProcess, len(r.hosts))
	for _, p := range r.hosts {
		freeHosts <- p
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := faultKinds[r.rng.IntN(len(faultKinds))]
		duration := time.Duration(300+r.rng.IntN(2700)) * time.Millisecond
		pause := time.Duration(100+r.rng.IntN(1200)) * time.Millisecond
		affectsAll := kind.name == "all hosts are killed"
		if affectsAll {
			// No other fault may affect a host at the same time.
			for range cap(slots) {
				slots <- struct{}{}
			}
			r.recordFault("%s for %v", kind.name, duration)
			kind.inject(r, nil, duration)
			for range cap(slots) {
				<-slots
			}
			time.Sleep(pause)
			continue
		}
		slots <- struct{}{}
		p := <-freeHosts
		r.recordFault("%s: %s, %v", p.Name, kind.name, duration)
		if kind.name == "configuration changes" {
			kind.inject(r, p, duration) // uses r.rng, which is not safe for concurrent use
			freeHosts <- p
			<-slots
			continue
		}
		go func() {
			kind.inject(r, p, duration)
			freeHosts <- p
			<-slots
		}()
		time.Sleep(pause)
	}
	for range cap(slots) {
		slots <- struct{}{}
	}
}
