//go:build callers

package callertest_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// programs is the directory of the programs that TestMain builds.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "callertest")
	if err != nil {
		panic(err)
	}
	programs = dir
	out, err := exec.Command("go", "build", "-o", dir, "github.com/lycheerudder/lycheerudder/cmd/lygate", "github.com/lycheerudder/lycheerudder/cmd/lyrouter").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program, with the bounds that follow from its settings.
type process struct {
	cmd            *exec.Cmd
	exited         chan struct{}
	address        string // of its caller interface
	memory         int64  // bound on the resident memory in bytes
	descriptors    int    // bound on the open descriptors
	maxDescriptors atomic.Int64
	// ordinary sends one small request on a new connection and reports whether it is served.
	ordinary func(ctx context.Context) error
}

// start starts the program and counts its descriptors until it is stopped.
func (p *process) start(t *testing.T, name string, env []string, args ...string) {
	g := NewWithT(t)
	logPath := filepath.Join(t.TempDir(), name+".log")
	logFile, err := os.Create(logPath)
	g.Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(filepath.Join(programs, name), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	g.Expect(p.cmd.Start()).To(Succeed())
	_ = logFile.Close()
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	stopped := make(chan struct{})
	go func() {
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
				p.maxDescriptors.Store(max(p.maxDescriptors.Load(), int64(len(entries))))
			}
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	t.Cleanup(func() {
		close(stopped)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if log, err := os.ReadFile(logPath); err == nil && t.Failed() {
			t.Logf("last log lines:\n%s", log[max(0, len(log)-3000):])
		}
	})
}

// waitUntilServing waits until the process serves an ordinary request.
func (p *process) waitUntilServing(t *testing.T) {
	NewWithT(t).Eventually(p.ordinaryOnce, time.Minute, 50*time.Millisecond).Should(Succeed())
}

func (p *process) ordinaryOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.ordinary(ctx)
}

// peakMemory returns the largest resident memory of the process so far in bytes.
func (p *process) peakMemory(g *WithT) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	g.Expect(err).NotTo(HaveOccurred(), "the process has ended")
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if v, ok := strings.CutPrefix(sc.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(v, "kB")), 10, 64)
			g.Expect(err).NotTo(HaveOccurred())
			return kb << 10
		}
	}
	return 0
}

// settle waits until the process has read what the callers have sent: its peak memory has
// hardly grown for a while. It gives up after some time, since the checks hold at any time.
func (p *process) settle(g *WithT) {
	const quiet, longest, hardly = 1500 * time.Millisecond, 15 * time.Second, 1 << 20
	end, last, since := time.Now().Add(longest), int64(0), time.Now()
	for time.Now().Before(end) && time.Since(since) < quiet {
		select {
		case <-p.exited:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if peak := p.peakMemory(g); peak > last+hardly {
			last, since = peak, time.Now()
		}
	}
}

// check checks that the process lives within its bounds and serves an ordinary request.
func (p *process) check(t *testing.T) {
	g := NewWithT(t)
	p.settle(g)
	g.Expect(p.exited).NotTo(BeClosed(), "the process has ended")
	g.Eventually(p.ordinaryOnce, time.Minute, 200*time.Millisecond).Should(Succeed(), "an ordinary request is not served")
	g.Expect(p.exited).NotTo(BeClosed(), "the process has ended")
	memory, descriptors := p.peakMemory(g), p.maxDescriptors.Load()
	t.Logf("peak memory %.1f of %.1f MiB, %d of %d descriptors", float64(memory)/(1<<20), float64(p.memory)/(1<<20), descriptors, p.descriptors)
	g.Expect(descriptors).To(BeNumerically("<=", p.descriptors), "descriptors")
	g.Expect(memory).To(BeNumerically("<=", p.memory), "bytes of resident memory")
}

// get sends a request on a connection of its own, and returns an error unless its response
// has status 200.
func get(ctx context.Context, r *http.Request) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// smallWindow makes the kernel hold few bytes that a caller has not read.
func smallWindow(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// crowd opens a connection for each caller and, once all are open, lets them send at once.
// It returns when all have sent what they want or what they can; their connections stay
// open until the end of the test.
func crowd(t *testing.T, address string, callers int, send func(caller int, nc net.Conn)) {
	d := net.Dialer{Timeout: 10 * time.Second, Control: smallWindow}
	done := make(chan struct{}, callers)
	var conns []net.Conn
	for range callers {
		nc, err := d.Dial("tcp", address)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = nc.Close() })
		_ = nc.SetWriteDeadline(time.Now().Add(15 * time.Second))
		conns = append(conns, nc)
	}
	for i, nc := range conns {
		go func() {
			send(i, nc)
			done <- struct{}{}
		}()
	}
	for range conns {
		<-done
	}
}
