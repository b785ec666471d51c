//go:build callers

package callertest_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
	"github.com/lycheerudder/lycheerudder/internal/operator"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/platform/standin"
)

// startRouter starts lyrouter in a deployment with one server, whose requests are slow or
// have large responses, by their paths.
func startRouter(t *testing.T) *process {
	g := NewWithT(t)
	hosts := hostfake.New()
	mux := http.NewServeMux()
	mux.Handle("/", logfake.New().Handler())
	mux.Handle("/hosts", hosts.Handler())
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	large := bytes.Repeat([]byte("x"), legalBody)
	server := serverfake.New(serverfake.Options{ID: "s1", Incarnation: 1, ChecksFences: true, Clock: clock.BootTime{}})
	backend := httptest.NewServer(server.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case strings.HasPrefix(r.URL.Path, "/large"):
			_, _ = w.Write(large)
		case strings.HasPrefix(r.URL.Path, "/work"):
			time.Sleep(20 * time.Millisecond)
		}
	})))
	t.Cleanup(backend.Close)
	hosts.Put(hostlist.Host{ID: "s1", Role: hostlist.RoleServer, DataCentre: "a", Service: "booking", Address: strings.TrimPrefix(backend.URL, "http://")})
	_, err := operator.New(platformlog.NewClient(platform.URL), "test").Publish(t.Context(), &config.Document{
		Services: map[topology.Service]config.Service{"booking": {
			Shards: 8, DataCentres: []topology.DataCentre{"a"}, ChecksFences: true, Slots: 4, MaxConns: 45, MaxExchange: time.Second,
		}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: 1}},
	}, -1)
	g.Expect(err).NotTo(HaveOccurred())
	ports, err := standin.FreePorts("127.0.0.1", "tcp", "tcp", "tcp")
	g.Expect(err).NotTo(HaveOccurred())
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	const memoryMB = 128
	// Beside its connections with the platform, the server and the operator, the process
	// needs one for each caller and one for each exchange.
	p := &process{address: address(0), memory: memoryMB << 20, descriptors: callers + 45 + 100}
	p.ordinary = func(ctx context.Context) error {
		r, err := http.NewRequest(http.MethodPost, "http://"+address(0)+"/v1/booking/read", nil)
		if err != nil {
			return err
		}
		r.Header.Set(frontend.HeaderCustomer, "pewright")
		r.Header.Set(frontend.HeaderKey, "ordinary")
		r.Header.Set(frontend.HeaderRepeatable, "true")
		r.Header.Set(frontend.HeaderTimeout, "4000")
		return get(ctx, r)
	}
	p.start(t, "lyrouter", []string{fmt.Sprintf("LYR_MEMORY_MB=%d", memoryMB)},
		"--host", "h1", "--data-centre", "a", "--platform", platform.URL, "--listen", address(0), "--peer", address(1), "--admin", address(2))
	hosts.Put(hostlist.Host{ID: "h1", Role: hostlist.RoleEntry, DataCentre: "a", Address: address(1), Admin: address(2)})
	p.waitUntilServing(t)
	return p
}

// Guards against callers whose requests make lyrouter exceed the memory that its settings
// state, or that keep ordinary callers from being served.
func TestCrowdsAtRouter(t *testing.T) {
	runCrowds(t, startRouter, func(i int, path string) string {
		return fmt.Sprintf("POST /v1/booking%s HTTP/1.1\r\nHost: h.example\r\nLyr-Customer: pewright\r\nLyr-Key: c%d\r\nLyr-Repeatable: true\r\nLyr-Timeout: 30000\r\n", path, i)
	})
}
