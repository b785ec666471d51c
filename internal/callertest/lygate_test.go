//go:build callers

package callertest_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/platform"
	"github.com/lycheerudder/lycheerudder/platform/standin"
)

// startGate starts lygate in a deployment with three services: one for ordinary requests,
// a slow one and one with large responses.
func startGate(t *testing.T, memoryMB int, maxBody int64) *process {
	g := NewWithT(t)
	d, err := standin.NewDeployment()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Close)
	d.MaxBodyBytes = maxBody
	archive := standin.NewServer("archive-0", "archive", false, 8, 0, nil)
	large := bytes.Repeat([]byte("x"), legalBody)
	archive.Respond = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HTTPNames.Signature, "signed")
		_, _ = w.Write(large)
		return true
	}
	for _, s := range []*standin.Server{
		standin.NewServer("booking-0", "booking", false, 4, time.Millisecond, nil),
		standin.NewServer("workshop-0", "workshop", false, 4, 20*time.Millisecond, nil),
		archive,
	} {
		g.Expect(d.StartServer(s)).To(Succeed())
	}
	g.Expect(d.PublishConfig(3, []standin.Route{
		{Prefix: "/read/", Service: "booking", Idempotent: true},
		{Prefix: "/work/", Service: "workshop", Timeout: 10 * time.Second},
		{Prefix: "/large/", Service: "archive", Idempotent: true, Timeout: 10 * time.Second},
	}, map[string]bool{"booking": false, "workshop": false, "archive": false})).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d.RegisterServers()
	go d.Heartbeat(ctx, 200*time.Millisecond)
	ports, err := standin.FreePorts("127.0.0.1", "tcp", "tcp", "udp")
	g.Expect(err).NotTo(HaveOccurred())
	h := standin.HostConfig{
		Name: "host", IP: "127.0.0.1", StoreAddress: d.Address, PeerPort: ports[2],
		CallerAddress: fmt.Sprintf("127.0.0.1:%d", ports[0]), ReadyAddress: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	const maxDescriptors = 1000
	settings := append(h.Settings(), fmt.Sprintf("self.limits.memory_mb=%d\nself.limits.max_fds=%d\n", memoryMB, maxDescriptors)...)
	path := filepath.Join(t.TempDir(), "settings")
	g.Expect(os.WriteFile(path, settings, 0o600)).To(Succeed())
	p := &process{address: h.CallerAddress, memory: int64(memoryMB) << 20, descriptors: maxDescriptors}
	p.ordinary = func(ctx context.Context) error {
		return get(ctx, gateRequest(h.CallerAddress, "/read/x", 2*time.Second, nil))
	}
	p.start(t, "lygate", nil, "--settings", path)
	p.waitUntilServing(t)
	return p
}

func gateRequest(address, path string, timeout time.Duration, body io.Reader) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+path, body)
	r.Host = "h.example"
	r.Header.Set(platform.HTTPNames.RequestID, "ordinary")
	r.Header.Set(platform.HTTPNames.TimeLeft, fmt.Sprint(timeout.Milliseconds()))
	return r
}

// Guards against callers whose requests make lygate exceed the memory and the descriptors of
// its host, so that the host ends it, or that keep ordinary callers from being served. The
// memory is less than that of the smallest host, so that a small crowd is enough.
func TestCrowdsAtGate(t *testing.T) {
	runCrowds(t, func(t *testing.T) *process { return startGate(t, 96, legalBody) }, func(i int, path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: c%d\r\n%s: 10000\r\n", path, platform.HTTPNames.RequestID, i, platform.HTTPNames.TimeLeft)
	})
}

// Guards against bounds that refuse a request within the limits of the configuration on the
// smallest host, or that are exceeded by one: the largest body that the users' configuration
// permits, without other requests.
func TestLargestBodyOnSmallestHost(t *testing.T) {
	const memoryMB, largest = 144, 64 << 20
	for name, body := range map[string]func([]byte) io.Reader{
		"announced": func(b []byte) io.Reader { return bytes.NewReader(b) },
		"chunked":   func(b []byte) io.Reader { return io.MultiReader(bytes.NewReader(b)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := startGate(t, memoryMB, largest)
			r := gateRequest(p.address, "/work/x", 10*time.Second, body(bytes.Repeat([]byte("x"), largest)))
			resp, err := http.DefaultClient.Do(r)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			text, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK), string(text))
			g.Expect(strings.HasSuffix(string(text), fmt.Sprint(" ", largest))).To(BeTrue(), "the server has read %q", text)
			p.check(t)
		})
	}
}
