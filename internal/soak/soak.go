// Package soak runs the entry hosts as real processes against stand-ins of the
// platform, injects faults from outside, and checks the promises of the product
// from what callers and servers see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lycheerudder/lycheerudder/platform/standin"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Servers  int
	Callers  int
	// Program is the path of the entry host's program.
	Program string
	// Logs is the directory for the logs of the processes.
	Logs string
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Refused, Failed int
	Faults                            []string
	// Violations lists broken promises; a sound run has none.
	Violations []string
}

const (
	serverWork = 4 * time.Millisecond
	beat       = 250 * time.Millisecond
	// recovery is the time after the last fault in which requests must be served
	// again, and share the part of them that must be.
	recovery      = 6 * time.Second
	recoveryShare = 0.9
	timeLeft      = 1500 * time.Millisecond
	maxViolations = 20
)

// run is the state of one run.
type run struct {
	opts       Options
	rng        *rand.Rand // of the fault loop only
	deployment *standin.Deployment
	hosts      []*process

	mu       sync.Mutex
	report   Report
	runs     map[string]int
	outcomes map[string]int // status of requests that must not run twice
	version  int
	started  time.Time
	nextID   int
	servers  []string
}

// process is an entry host.
type process struct {
	standin.HostConfig
	proxy    *proxy
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool // by a signal
}

// Run plays one seed.
func Run(ctx context.Context, opts Options) (Report, error) {
	r := &run{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), runs: make(map[string]int),
		outcomes: make(map[string]int), started: time.Now(),
	}
	deployment, err := standin.NewDeployment()
	if err != nil {
		return Report{}, err
	}
	r.deployment = deployment
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range opts.Servers {
		if err := r.addServer("booking", true); err != nil {
			return Report{}, err
		}
	}
	for range 2 {
		if err := r.addServer("workshop", false); err != nil {
			return Report{}, err
		}
	}
	if err := r.configure(); err != nil {
		return Report{}, err
	}
	go deployment.Heartbeat(ctx, beat)
	defer r.killAll()
	if err := r.startHosts(); err != nil {
		return Report{}, err
	}
	if !r.waitServing(ctx) {
		r.violate("no host serves at the start")
		return r.report, nil
	}
	var load sync.WaitGroup
	for i := range opts.Callers {
		load.Go(func() { r.caller(ctx, i) })
	}
	load.Go(func() { r.watchOwners(ctx) })
	r.faults(ctx)
	r.checkRecovery()
	cancel()
	load.Wait()
	r.checkRuns()
	return r.report, nil
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.report.Violations) < maxViolations {
		at := time.Since(r.started).Round(time.Millisecond)
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (r *run) addServer(service string, keyed bool) error {
	r.mu.Lock()
	r.nextID++
	id := fmt.Sprintf("%s-%d", service, r.nextID)
	if keyed {
		r.servers = append(r.servers, id)
	}
	r.mu.Unlock()
	return r.deployment.StartServer(standin.NewServer(id, service, keyed, 2, serverWork, func(request string, _ int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[request]++
	}))
}

// configure publishes a version whose first route names it.
func (r *run) configure() error {
	r.version += 1 + r.rng.IntN(3)
	return r.deployment.PublishConfig(r.version, []standin.Route{
		{Prefix: fmt.Sprintf("/v%d/", r.version), Service: "workshop", Idempotent: true},
		{Prefix: "/read/", Service: "booking", Idempotent: true},
		{Prefix: "/order/", Service: "booking"},
		{Prefix: "/jobs/", Service: "workshop"},
	}, map[string]bool{"booking": true, "workshop": false})
}

func (r *run) startHosts() error {
	port, err := standin.FreePort("127.0.0.2", "udp")
	if err != nil {
		return err
	}
	for i := range r.opts.Hosts {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		p := &process{HostConfig: standin.HostConfig{Name: fmt.Sprintf("host-%d", i), IP: ip, PeerPort: port}}
		if p.proxy, err = newProxy(r.deployment.Address); err != nil {
			return err
		}
		p.StoreAddress = p.proxy.address
		for _, target := range []*string{&p.CallerAddress, &p.ReadyAddress} {
			n, err := standin.FreePort(ip, "tcp")
			if err != nil {
				return err
			}
			*target = fmt.Sprintf("%s:%d", ip, n)
		}
		p.settings = filepath.Join(r.opts.Logs, p.Name+".conf")
		if err := os.WriteFile(p.settings, p.Settings(), 0o600); err != nil {
			return err
		}
		if err := p.start(r.opts); err != nil {
			return err
		}
		r.hosts = append(r.hosts, p)
	}
	return nil
}

// start starts the process.
func (p *process) start(opts Options) error {
	out, err := os.OpenFile(filepath.Join(opts.Logs, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(opts.Program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.stopped = cmd, false
	return nil
}

// signal sends a signal to the process that this run started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// end waits for the end of the process and starts it again.
func (p *process) end(opts Options) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait() // the exit code of a killed process is not of interest
	}
	return p.start(opts)
}

func (r *run) killAll() {
	for _, p := range r.hosts {
		p.signal(syscall.SIGKILL)
		p.mu.Lock()
		if p.cmd != nil {
			_ = p.cmd.Wait()
		}
		p.mu.Unlock()
		p.proxy.close()
	}
}

func (r *run) waitServing(ctx context.Context) bool {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) && ctx.Err() == nil {
		resp, err := standin.SendRequest(http.DefaultClient, r.hosts[0].CallerAddress, http.MethodGet, "/read/x", "warm", timeLeft, 1)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
