// Package soak runs hosts as real processes against stand-ins of the platform, injects
// faults from outside, and checks the guarantees of the hosts by what callers and
// servers observe.
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

// Options configures a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Servers  int
	Callers  int
	// Program is the path of the host program.
	Program string
	// LogDir is the directory for the settings and log files of the hosts.
	LogDir string
}

// Report is the result of a run.
type Report struct {
	Requests, Served, Refused, Failed int
	Faults                            []string
	// Violations lists the violated guarantees; it is empty if the run has passed.
	Violations []string
}

const (
	serverWorkTime    = 4 * time.Millisecond
	heartbeatInterval = 250 * time.Millisecond
	// After the last fault and recoveryTime, at least minServedShare of the requests
	// must be served.
	recoveryTime   = 6 * time.Second
	minServedShare = 0.9
	requestTimeout = 1500 * time.Millisecond
	maxViolations  = 20
)

// run is the state of one run.
type run struct {
	opts       Options
	rng        *rand.Rand // used only to generate faults and configurations
	deployment *standin.Deployment
	hosts      []*hostProcess

	mu            sync.Mutex
	report        Report
	runCounts     map[string]int
	statuses      map[string]int // by request ID, only for requests that must not run twice
	configVersion int
	started       time.Time
	lastServerID  int
	keyedServers  []string
	// remoteServers are those of the data centre that may be evacuated.
	remoteServers []*standin.Server
	evacuated     bool
}

// hostProcess is the process of a host.
type hostProcess struct {
	standin.HostConfig
	proxy    *proxy
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool // by a signal
}

// Run runs the hosts with one seed and injects faults for opts.Duration.
func Run(ctx context.Context, opts Options) (Report, error) {
	r := &run{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), runCounts: make(map[string]int),
		statuses: make(map[string]int), started: time.Now(),
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
	if err := r.publishConfig(); err != nil {
		return Report{}, err
	}
	go deployment.Heartbeat(ctx, heartbeatInterval)
	defer r.stopHosts()
	if err := r.startHosts(); err != nil {
		return Report{}, err
	}
	if !r.waitUntilServing(ctx) {
		r.recordViolation("no host serves at the start")
		return r.report, nil
	}
	var background sync.WaitGroup
	for i := range opts.Callers {
		background.Go(func() { r.runCaller(ctx, i) })
	}
	background.Go(func() { r.watchOwners(ctx) })
	background.Go(func() { r.evacuate(ctx) })
	r.injectFaults(ctx)
	r.checkRecovery()
	cancel()
	background.Wait()
	r.checkRuns()
	return r.report, nil
}

func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(format, args...)
}

// recordLocked is recordViolation for a caller that holds the lock.
func (r *run) recordLocked(format string, args ...any) {
	if len(r.report.Violations) < maxViolations {
		at := time.Since(r.started).Round(time.Millisecond)
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
	}
}

func (r *run) recordFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started).Round(time.Millisecond)
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (r *run) addServer(service string, keyed bool) error {
	r.mu.Lock()
	r.lastServerID++
	id := fmt.Sprintf("%s-%d", service, r.lastServerID)
	if keyed {
		r.keyedServers = append(r.keyedServers, id)
	}
	remote := r.lastServerID%remoteServerInterval == 0
	r.mu.Unlock()
	server := standin.NewServer(id, service, keyed, 2, serverWorkTime, func(request string, _ int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runCounts[request]++
	})
	if remote {
		server.DataCentre = remoteDataCentre
		r.mu.Lock()
		r.remoteServers = append(r.remoteServers, server)
		r.mu.Unlock()
	}
	return r.deployment.StartServer(server)
}

// publishConfig publishes a new configuration. Its first route contains the version, so
// that a request can check which version a host uses.
func (r *run) publishConfig() error {
	r.configVersion += 1 + r.rng.IntN(3)
	return r.deployment.PublishConfig(r.configVersion, []standin.Route{
		{Prefix: fmt.Sprintf("/v%d/", r.configVersion), Service: "workshop", Idempotent: true},
		{Prefix: "/read/", Service: "booking", Idempotent: true},
		{Prefix: "/order/", Service: "booking"},
		{Prefix: "/jobs/", Service: "workshop"},
	}, map[string]bool{"booking": true, "workshop": false})
}

func (r *run) startHosts() error {
	peerPorts, err := standin.FreePorts("127.0.0.2", "udp")
	if err != nil {
		return err
	}
	for i := range r.opts.Hosts {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		p := &hostProcess{HostConfig: standin.HostConfig{Name: fmt.Sprintf("host-%d", i), IP: ip, PeerPort: peerPorts[0]}}
		if p.proxy, err = newProxy(r.deployment.Address); err != nil {
			return err
		}
		p.StoreAddress = p.proxy.address
		ports, err := standin.FreePorts(ip, "tcp", "tcp")
		if err != nil {
			return err
		}
		p.CallerAddress, p.ReadyAddress = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
		p.settings = filepath.Join(r.opts.LogDir, p.Name+".conf")
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

// start starts the process and appends its output to the log file.
func (p *hostProcess) start(opts Options) error {
	logFile, err := os.OpenFile(filepath.Join(opts.LogDir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(opts.Program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = logFile.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.stopped = cmd, false
	return nil
}

// signal sends a signal to the process that this run started.
func (p *hostProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have exited already
	}
}

// restart waits until the process has exited and starts it again.
func (p *hostProcess) restart(opts Options) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait() // the exit status does not matter
	}
	return p.start(opts)
}

func (r *run) stopHosts() {
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

func (r *run) waitUntilServing(ctx context.Context) bool {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) && ctx.Err() == nil {
		resp, err := standin.SendRequest(http.DefaultClient, r.hosts[0].CallerAddress, http.MethodGet, "/read/x", "warm", requestTimeout, 1)
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
