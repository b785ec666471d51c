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

// eventuallyTimeout is far longer than any step of the tests takes. No result
// depends on how long a step takes.
const eventuallyTimeout = "30s"

// cluster is a platform, one backend server and one or two entry hosts on
// loopback.
type cluster struct {
	g           *WithT
	log         *logfake.Log
	hosts       *hostfake.List
	url         string
	slowArrived chan struct{} // receives when a slow request has reached the server
	releaseSlow chan struct{} // closed to let slow requests complete
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{g: NewWithT(t), log: logfake.New(), hosts: hostfake.New(), slowArrived: make(chan struct{}, 1), releaseSlow: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle("/", c.log.Handler())
	mux.Handle("/hosts", c.hosts.Handler())
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	c.url = platform.URL
	server := serverfake.New(serverfake.Options{ID: "s1", Incarnation: 1, ChecksFences: true, Clock: clock.BootTime{}})
	backend := httptest.NewServer(server.Handler(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/slow") {
			c.slowArrived <- struct{}{}
			<-c.releaseSlow
		}
		_, _ = io.WriteString(w, "done")
	})))
	t.Cleanup(backend.Close)
	c.hosts.Put(hostlist.Host{ID: "s1", Role: hostlist.RoleServer, DataCentre: "a", Service: "booking", Address: strings.TrimPrefix(backend.URL, "http://")})
	_, err := operator.New(platformlog.NewClient(c.url), "test").Publish(t.Context(), &config.Document{
		Services: map[topology.Service]config.Service{"booking": {
			Shards: 8, DataCentres: []topology.DataCentre{"a"}, ChecksFences: true, Slots: 2, MaxConns: 45, MaxExchange: time.Second,
		}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: 1}},
	}, -1)
	c.g.Expect(err).NotTo(HaveOccurred())
	return c
}

func (c *cluster) startHost(t *testing.T, id string) *router.Host {
	h, err := router.Start(t.Context(), router.Settings{
		Host: id, DataCentre: "a", Cell: "a", Platform: c.url, Retention: time.Hour,
		Listen: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0",
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	c.hosts.Put(hostlist.Host{ID: id, Role: hostlist.RoleEntry, DataCentre: "a", Address: h.PeerAddress, Admin: h.OperatorAddress})
	c.g.Eventually(func() int { return c.get("http://" + h.OperatorAddress + "/readyz") }, eventuallyTimeout).Should(Equal(http.StatusOK))
	return h
}

func (c *cluster) get(url string) int {
	resp, err := http.Get(url) //nolint:noctx // bounded by the caller's polling
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// send sends a request that may run at most once. It returns the verdict and the
// body of the response, or the error of the exchange in place of the body.
func (c *cluster) send(h *router.Host, path string) (string, string) {
	id, err := uuid.NewV7()
	c.g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+h.CallerAddress+"/v1/booking/"+path, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
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
	c.g.Expect(err).NotTo(HaveOccurred())
	if v := resp.Header.Get(frontend.HeaderVerdict); v != "ran" {
		println(v, string(body))
	}
	return resp.Header.Get(frontend.HeaderVerdict), string(body)
}

// TestShutdown guards against a graceful shutdown of the leader that aborts a
// request in flight, that leaves the partition without a leader, or that loses the
// place of the stopped host in the member list, which the next host takes.
func TestShutdown(t *testing.T) {
	c := newCluster(t)
	first, second := c.startHost(t, "h1"), c.startHost(t, "h2")
	for _, h := range []*router.Host{first, second} {
		c.g.Eventually(func() string { v, _ := c.send(h, "sheet"); return v }, eventuallyTimeout).Should(Equal("ran"))
	}
	responses := make(chan string, 1)
	go func() {
		verdict, body := c.send(first, "slow")
		responses <- verdict + " " + body
	}()
	<-c.slowArrived
	stopped := make(chan error, 1)
	go func() { stopped <- first.Shutdown(context.Background()) }()
	c.g.Eventually(func() int { return c.get("http://" + first.OperatorAddress + "/readyz") }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
	c.g.Consistently(stopped, "100ms").ShouldNot(Receive(), "the host must wait for the request in flight")
	close(c.releaseSlow)
	c.g.Eventually(responses, eventuallyTimeout).Should(Receive(Equal("ran done")))
	c.g.Eventually(stopped, eventuallyTimeout).Should(Receive(BeNil()))
	c.g.Eventually(func() string { v, _ := c.send(second, "sheet"); return v }, eventuallyTimeout).Should(Equal("ran"))
	c.g.Expect(second.Shutdown(t.Context())).To(Succeed())
}

// TestFleetQueries guards against operator queries that do not find the leader and
// the server of a key, and against a host that is listed as lagging although it
// has applied the configuration.
func TestFleetQueries(t *testing.T) {
	c := newCluster(t)
	h := c.startHost(t, "h1")
	c.g.Eventually(func() string { v, _ := c.send(h, "sheet"); return v }, eventuallyTimeout).Should(Equal("ran"))
	fleet := operator.NewFleet(c.hosts)
	lagging, err := fleet.WaitInForce(t.Context(), 0)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(lagging).To(BeEmpty())
	c.g.Eventually(func() bool {
		e, err := fleet.Explain(t.Context(), "booking", "pewright", "job-1")
		return err == nil && e.Server == "s1" && e.Leader == "h1" && e.InPlace
	}, eventuallyTimeout).Should(BeTrue())
	c.g.Expect(c.get("http://" + h.OperatorAddress + "/metrics")).To(Equal(http.StatusOK))
	c.g.Expect(h.Shutdown(t.Context())).To(Succeed())
}

// TestStoppedHosts guards against a cell that stays without a leader after an
// operator has declared all its members stopped, and against a member list that is
// replaced without that declaration. A single host that restarts after a graceful
// stop must not need one.
func TestStoppedHosts(t *testing.T) {
	c := newCluster(t)
	stoppedMember := topology.Member{Host: "h0", Incarnation: 1}
	e, err := record.New(record.KindMembers, record.NoBase, "h0", record.MemberList{Cell: "a", DataCentre: "a", Version: 1, Members: []topology.Member{stoppedMember}})
	c.g.Expect(err).NotTo(HaveOccurred())
	data, err := e.Encode()
	c.g.Expect(err).NotTo(HaveOccurred())
	_, err = c.log.Append(t.Context(), record.StreamMembers, data)
	c.g.Expect(err).NotTo(HaveOccurred())

	h := c.startHost(t, "h1")
	op := operator.New(platformlog.NewClient(c.url), "test")
	c.g.Consistently(func() int {
		members, err := op.Members(t.Context())
		c.g.Expect(err).NotTo(HaveOccurred())
		return len(members.Lists())
	}, "500ms").Should(Equal(1))
	c.g.Expect(op.DeclareStopped(t.Context(), record.HostsStopped{Members: []topology.Member{stoppedMember}, Reason: "permanent power loss"})).To(Succeed())
	c.g.Eventually(func() string { v, _ := c.send(h, "sheet"); return v }, eventuallyTimeout).Should(Equal("ran"))
	members, err := op.Members(t.Context())
	c.g.Expect(err).NotTo(HaveOccurred())
	list, ok := members.List("a")
	c.g.Expect(ok).To(BeTrue())
	c.g.Expect(list.Version).To(Equal(uint32(2)))
	c.g.Expect(list.Members).To(HaveLen(1))
	c.g.Expect(h.Shutdown(t.Context())).To(Succeed())

	// The last member of the cell was stopped gracefully, so the next host joins
	// without a declaration of the operator.
	h = c.startHost(t, "h1")
	c.g.Eventually(func() string { v, _ := c.send(h, "sheet"); return v }, eventuallyTimeout).Should(Equal("ran"))
	c.g.Expect(h.Shutdown(t.Context())).To(Succeed())
}
