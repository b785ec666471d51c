package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/platform/standin"
)

// programVariable makes the test binary run as lygate.
const programVariable = "LYGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProgram starts lygate as a process of its own, in a deployment with one server.
func startProgram(t *testing.T) (standin.HostConfig, *exec.Cmd) {
	g := NewWithT(t)
	d, err := standin.NewDeployment()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Close)
	g.Expect(d.StartServer(standin.NewServer("s-0", "booking", true, 2, time.Millisecond, nil))).To(Succeed())
	g.Expect(d.PublishConfig(3, []standin.Route{{Prefix: "/sheets/", Service: "booking", Idempotent: true}}, map[string]bool{"booking": true})).To(Succeed())
	d.RegisterServers()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Heartbeat(ctx, 200*time.Millisecond)
	ports, err := standin.FreePorts("127.0.0.1", "tcp", "tcp", "udp")
	g.Expect(err).NotTo(HaveOccurred())
	h := standin.HostConfig{
		Name: "host", IP: "127.0.0.1", StoreAddress: d.Address, PeerPort: ports[2],
		CallerAddress: fmt.Sprintf("127.0.0.1:%d", ports[0]), ReadyAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	path := filepath.Join(t.TempDir(), "settings")
	g.Expect(os.WriteFile(path, h.Settings(), 0o600)).To(Succeed())
	cmd := exec.Command(os.Args[0], "--settings", path)
	cmd.Env = append(os.Environ(), programVariable+"=1")
	g.Expect(cmd.Start()).To(Succeed())
	t.Cleanup(func() { _, _ = cmd.Process.Kill(), cmd.Wait() })
	return h, cmd
}

// isServed reports whether a new connection gets a response within a second.
func isServed(h standin.HostConfig) bool {
	nc, err := net.DialTimeout("tcp", h.CallerAddress, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprint(nc, "GET /unknown HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// Guards against a host without descriptors that accepts no connection and says that it is
// ready: the balancer goes on sending it callers. The readiness checks use a connection that
// is open already.
func TestHostWithoutDescriptorsIsNotReady(t *testing.T) {
	for name, sent := range map[string]string{"idle connections": "", "requests that are being read": "GET /"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, cmd := startProgram(t)
			client := &http.Client{Timeout: time.Second}
			defer client.CloseIdleConnections()
			ready := func() int {
				resp, err := client.Get("http://" + h.ReadyAddress + "/v1/ready")
				if err != nil {
					return 0
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			g.Eventually(ready, 8*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
			const descriptors = 64
			g.Expect(unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil)).To(Succeed())
			var conns []net.Conn
			for range 2 * descriptors {
				nc, err := net.DialTimeout("tcp", h.CallerAddress, time.Second)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = nc.Close() }()
				_, _ = fmt.Fprint(nc, sent)
				conns = append(conns, nc)
			}
			g.Eventually(func() bool { return isServed(h) || ready() != http.StatusOK }, 2*time.Second, 10*time.Millisecond).Should(BeTrue())
			for range 5 {
				served := isServed(h)
				g.Expect(served || ready() != http.StatusOK).To(BeTrue(), "ready, and a new connection is not served")
			}
			for _, nc := range conns {
				_ = nc.Close()
			}
			g.Eventually(func() bool { return isServed(h) && ready() == http.StatusOK }, 5*time.Second, 50*time.Millisecond).Should(BeTrue())
		})
	}
}
