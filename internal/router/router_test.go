package router_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
	"github.com/lycheerudder/lycheerudder/internal/operator"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/router"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// patience is far above the time that anything here takes; no result depends
// on how long it takes.
const patience = "30s"

// rig is a platform, one server and one or two entry hosts on loopback.
type rig struct {
	g       *WithT
	log     *logfake.Log
	hosts   *hostfake.List
	url     string
	started chan struct{} // a slow request has reached the server
	finish  chan struct{} // lets slow requests end
}

func newRig(t *testing.T) *rig {
	r := &rig{g: NewWithT(t), log: logfake.New(), hosts: hostfake.New(), started: make(chan struct{}, 1), finish: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle("/", r.log.Handler())
	mux.Handle("/hosts", r.hosts.Handler())
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	r.url = platform.URL
	server := serverfake.New(serverfake.Options{ID: "s1", Incarnation: 1, ChecksFences: true, Clock: clock.BootTime{}})
	backend := httptest.NewServer(server.Handler(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/slow") {
			r.started <- struct{}{}
			<-r.finish
		}
		_, _ = io.WriteString(w, "done")
	})))
	t.Cleanup(backend.Close)
	r.hosts.Put(hostlist.Host{ID: "s1", Role: hostlist.RoleServer, DataCentre: "a", Service: "booking", Address: strings.TrimPrefix(backend.URL, "http://")})
	_, err := operator.New(platformlog.NewClient(r.url), "test").Publish(t.Context(), &config.Document{
		Services: map[topology.Service]config.Service{"booking": {
			Shards: 8, DataCentres: []topology.DataCentre{"a"}, ChecksFences: true, Slots: 2, MaxConns: 45, MaxExchange: time.Second,
		}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: 1}},
	}, -1)
	r.g.Expect(err).NotTo(HaveOccurred())
	return r
}

func (r *rig) start(t *testing.T, id string) *router.Host {
	h, err := router.Start(t.Context(), router.Settings{
		Host: id, DataCentre: "a", Cell: "a", Platform: r.url, Retention: time.Hour,
		Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0",
	})
	r.g.Expect(err).NotTo(HaveOccurred())
	r.hosts.Put(hostlist.Host{ID: id, Role: hostlist.RoleEntry, DataCentre: "a", Address: h.Peers, Admin: h.Operators})
	r.g.Eventually(func() int { return r.get("http://" + h.Operators + "/readyz") }, patience).Should(Equal(http.StatusOK))
	return h
}

func (r *rig) get(url string) int {
	resp, err := http.Get(url) //nolint:noctx // bounded by the caller's polling
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// send sends a request that may run once and returns the verdict and the body.
func (r *rig) send(h *router.Host, path string) (string, string) {
	id, err := uuid.NewV7()
	r.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+h.Callers+"/v1/booking/"+path, nil)
	r.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(frontend.HeaderCustomer, "pewright")
	req.Header.Set(frontend.HeaderKey, "job-1")
	req.Header.Set(frontend.HeaderTimeout, "30000")
	req.Header.Set(frontend.HeaderRequestID, id.String())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.g.Expect(err).NotTo(HaveOccurred())
	if v := resp.Header.Get(frontend.HeaderVerdict); v != "ran" {
		println(v, string(body))
	}
	return resp.Header.Get(frontend.HeaderVerdict), string(body)
}

// TestShutdown guards against a graceful shutdown of the leader that cuts off
// a request in flight, that leaves the partition without a leader, or that
// loses a host's place in the list for its successor.
func TestShutdown(t *testing.T) {
	r := newRig(t)
	first, second := r.start(t, "h1"), r.start(t, "h2")
	for _, h := range []*router.Host{first, second} {
		r.g.Eventually(func() string { v, _ := r.send(h, "sheet"); return v }, patience).Should(Equal("ran"))
	}
	answers := make(chan string, 1)
	go func() {
		verdict, body := r.send(first, "slow")
		answers <- verdict + " " + body
	}()
	<-r.started
	stopped := make(chan error, 1)
	go func() { stopped <- first.Shutdown(context.Background()) }()
	r.g.Eventually(func() int { return r.get("http://" + first.Operators + "/readyz") }, patience).Should(Equal(http.StatusServiceUnavailable))
	r.g.Consistently(stopped, "100ms").ShouldNot(Receive(), "the host must wait for the request in flight")
	close(r.finish)
	r.g.Eventually(answers, patience).Should(Receive(Equal("ran done")))
	r.g.Eventually(stopped, patience).Should(Receive(BeNil()))
	r.g.Eventually(func() string { v, _ := r.send(second, "sheet"); return v }, patience).Should(Equal("ran"))
	r.g.Expect(second.Shutdown(t.Context())).To(Succeed())
}

// TestFleetQueries guards against operators who cannot see who owns a key, and
// against configuration that is reported as in force too early.
func TestFleetQueries(t *testing.T) {
	r := newRig(t)
	h := r.start(t, "h1")
	r.g.Eventually(func() string { v, _ := r.send(h, "sheet"); return v }, patience).Should(Equal("ran"))
	fleet := operator.NewFleet(r.hosts)
	lagging, err := fleet.WaitInForce(t.Context(), 0)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(lagging).To(BeEmpty())
	r.g.Eventually(func() bool {
		e, err := fleet.Explain(t.Context(), "booking", "pewright", "job-1")
		return err == nil && e.Server == "s1" && e.Leader == "h1" && e.InPlace
	}, patience).Should(BeTrue())
	r.g.Expect(r.get("http://" + h.Operators + "/metrics")).To(Equal(http.StatusOK))
	r.g.Expect(h.Shutdown(t.Context())).To(Succeed())
}

// TestStoppedHosts guards against a cell that stays without a leader after an
// operator stated that all its members are stopped, and against one that is
// replaced without that statement. A restarted single host must not need one.
func TestStoppedHosts(t *testing.T) {
	r := newRig(t)
	lost := topology.Member{Host: "h0", Incarnation: 1}
	e, err := record.New(record.KindMembers, record.NoBase, "h0", record.MemberList{Cell: "a", DataCentre: "a", Version: 1, Members: []topology.Member{lost}})
	r.g.Expect(err).NotTo(HaveOccurred())
	data, err := e.Encode()
	r.g.Expect(err).NotTo(HaveOccurred())
	_, err = r.log.Append(t.Context(), record.StreamMembers, data)
	r.g.Expect(err).NotTo(HaveOccurred())

	h := r.start(t, "h1")
	op := operator.New(platformlog.NewClient(r.url), "test")
	r.g.Consistently(func() int {
		members, err := op.Members(t.Context())
		r.g.Expect(err).NotTo(HaveOccurred())
		return len(members.Lists())
	}, "500ms").Should(Equal(1))
	r.g.Expect(op.DeclareStopped(t.Context(), record.HostsStopped{Members: []topology.Member{lost}, Reason: "power was cut for good"})).To(Succeed())
	r.g.Eventually(func() string { v, _ := r.send(h, "sheet"); return v }, patience).Should(Equal("ran"))
	members, err := op.Members(t.Context())
	r.g.Expect(err).NotTo(HaveOccurred())
	list, ok := members.List("a")
	r.g.Expect(ok).To(BeTrue())
	r.g.Expect(list.Version).To(Equal(uint32(2)))
	r.g.Expect(list.Members).To(HaveLen(1))
	r.g.Expect(h.Shutdown(t.Context())).To(Succeed())

	// The last member of a cell was stopped gracefully, so that its successor
	// needs no operator.
	h = r.start(t, "h1")
	r.g.Eventually(func() string { v, _ := r.send(h, "sheet"); return v }, patience).Should(Equal("ran"))
	r.g.Expect(h.Shutdown(t.Context())).To(Succeed())
}
