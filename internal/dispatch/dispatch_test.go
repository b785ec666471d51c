package dispatch_test

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dispatch"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// step is one result of a host or of the routes; an empty code is success.
type step struct {
	code    verdict.Code
	verdict verdict.Verdict
	leader  string
}

func (s step) err() error {
	if s.code == "" {
		return nil
	}
	e := verdict.New(s.code, s.verdict, "step")
	e.Leader = s.leader
	return e
}

// cluster is the view that one host has of the others. Each call uses the next
// entry of routes, and the last entry is used again by all further calls. The
// steps of hosts are used in the same way.
type cluster struct {
	routes []any // a string is the address of the leader, "" for this host; a step or an error is returned as error
	hosts  map[string][]step
	calls  []string
	bodies []string
}

func (c *cluster) Route(*request.Request) (dispatch.Route, error) {
	next := c.routes[0]
	if len(c.routes) > 1 {
		c.routes = c.routes[1:]
	}
	switch r := next.(type) {
	case step:
		return dispatch.Route{}, r.err()
	case error:
		return dispatch.Route{}, r
	default:
		return dispatch.Route{Local: r == "", Address: r.(string)}, nil
	}
}

type host struct {
	c       *cluster
	address string
}

func (h host) Close() error { return nil }
func (h host) Do(_ context.Context, req *request.Request) (*request.Response, error) {
	body, _ := req.ReadBody()
	h.c.calls, h.c.bodies = append(h.c.calls, cmp.Or(h.address, "-")), append(h.c.bodies, string(body))
	steps := h.c.hosts[h.address]
	if len(steps) > 1 {
		h.c.hosts[h.address] = steps[1:]
	}
	if err := steps[0].err(); err != nil {
		return nil, err
	}
	return &request.Response{Status: 200}, nil
}

func (c *cluster) dispatcher(requests int) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Options{
		Routes: c, Local: host{c, ""}, Clock: clock.NewMonotonic(),
		Dial: func(address string) (dispatch.Peer, error) { return host{c, address}, nil },
	})
	// Earlier requests of the service fill the retry budget.
	routes := c.routes
	c.routes = []any{"ok"}
	for range requests - 1 {
		_, _ = d.Do(context.Background(), &request.Request{Service: "booking"})
	}
	c.routes, c.calls, c.bodies = routes, nil, nil
	return d
}

const (
	notRun    = verdict.NotRun
	noLeader  = verdict.CodeNoLeader
	notLeader = verdict.CodeNotLeader
)

// Guards against the retry of a request that may have run, against requests that
// fail during a move or failover, and against retries beyond the retry budget.
func TestAttempts(t *testing.T) {
	ok := []step{{}}
	for _, c := range []struct {
		name     string
		requests int // number of requests of the service so far, including this one
		routes   []any
		hosts    map[string][]step
		calls    string // addresses in the order of the calls; "-" is this host
		// more is the number of further attempts that a deadline of 1 s allows,
		// one per refusalPause.
		more int
		// after is the minimum duration of the request.
		after   time.Duration
		code    verdict.Code
		verdict verdict.Verdict
		cancel  bool
	}{
		{name: "local", routes: []any{""}, hosts: map[string][]step{"": ok}, calls: "-"},
		{name: "remote", routes: []any{"a"}, hosts: map[string][]step{"a": ok}, calls: "a"},
		{name: "no leader for a while", routes: []any{step{noLeader, notRun, ""}, step{noLeader, notRun, ""}, "a"}, hosts: map[string][]step{"a": ok}, calls: "a"},
		{name: "no leader until the deadline", routes: []any{step{noLeader, notRun, ""}}, code: noLeader, verdict: notRun},
		{name: "cancelled while waiting", routes: []any{step{noLeader, notRun, ""}}, cancel: true, code: verdict.CodeCancelled, verdict: notRun},
		{name: "unknown service", routes: []any{step{verdict.CodeUnknownService, notRun, ""}}, code: verdict.CodeUnknownService, verdict: notRun},
		{name: "route error without verdict", routes: []any{errors.New("x")}, code: verdict.CodeInternal, verdict: notRun},
		{name: "leader changes to another host", routes: []any{"a", "b"}, hosts: map[string][]step{"a": {{notLeader, notRun, ""}}, "b": ok}, calls: "a b"},
		{name: "leader changes to this host", routes: []any{"a", ""}, hosts: map[string][]step{"a": {{notLeader, notRun, ""}}, "": ok}, calls: "a -"},
		{name: "this host lost the leadership", routes: []any{"", "a"}, hosts: map[string][]step{"": {{notLeader, notRun, ""}}, "a": ok}, calls: "- a"},
		{name: "hint with budget", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{notLeader, notRun, "b"}}, "b": ok}, calls: "a b"},
		{name: "hint without budget waits for the routes", routes: []any{"a", "a", "a", "b"}, hosts: map[string][]step{"a": {{notLeader, notRun, "b"}}, "b": ok}, calls: "a b"},
		{name: "hosts name each other", requests: 30, routes: []any{"a"}, hosts: map[string][]step{"a": {{notLeader, notRun, "b"}}, "b": {{notLeader, notRun, "a"}}}, calls: "a b a b", more: 3, code: notLeader, verdict: notRun},
		{name: "same host again with budget", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{verdict.CodeFence, notRun, ""}, {}}}, calls: "a a"},
		{name: "same host again without budget after the pause", routes: []any{"a"}, hosts: map[string][]step{"a": {{verdict.CodeFence, notRun, ""}, {}}}, calls: "a a", after: 300 * time.Millisecond},
		{name: "attempts without budget are limited", routes: []any{"a"}, hosts: map[string][]step{"a": {{notLeader, notRun, ""}}}, calls: "a", more: 3, code: notLeader, verdict: notRun},
		{name: "host unreachable for a while", routes: []any{"a"}, hosts: map[string][]step{"a": {{noLeader, notRun, ""}, {noLeader, notRun, ""}, {}}}, calls: "a a a"},
		{name: "connection to the host lost during the call", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{noLeader, verdict.MayHaveRun, ""}}}, calls: "a", code: noLeader, verdict: verdict.MayHaveRun},
		{name: "server refuses connections until its shards move", routes: []any{""}, hosts: map[string][]step{"": {{verdict.CodeServerFailed, notRun, ""}, {verdict.CodeServerFailed, notRun, ""}, {}}}, calls: "- - -"},
		{name: "server failed, may have run", requests: 10, routes: []any{""}, hosts: map[string][]step{"": {{verdict.CodeServerFailed, verdict.MayHaveRun, ""}}}, calls: "-", code: verdict.CodeServerFailed, verdict: verdict.MayHaveRun},
		{name: "shutting down", routes: []any{"a", "b"}, hosts: map[string][]step{"a": {{verdict.CodeShuttingDown, notRun, ""}}, "b": ok}, calls: "a b"},
		{name: "fence, may have run", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{verdict.CodeFence, verdict.MayHaveRun, ""}}}, calls: "a", code: verdict.CodeFence, verdict: verdict.MayHaveRun},
		{name: "overload is not retried", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{verdict.CodeOverload, notRun, ""}}}, calls: "a", code: verdict.CodeOverload, verdict: notRun},
		{name: "quarantined is not retried", requests: 10, routes: []any{"a"}, hosts: map[string][]step{"a": {{verdict.CodeQuarantined, notRun, ""}}}, calls: "a", code: verdict.CodeQuarantined, verdict: notRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				if c.hosts == nil {
					c.hosts = make(map[string][]step)
				}
				c.hosts["ok"] = ok
				fake := &cluster{routes: c.routes, hosts: c.hosts}
				d := fake.dispatcher(max(1, c.requests))
				defer d.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if c.cancel {
					time.AfterFunc(50*time.Millisecond, cancel)
				}
				start := time.Now()
				req := &request.Request{Service: "booking", Size: -1, Body: strings.NewReader("body")}
				_, err := d.Do(ctx, req)
				calls := strings.Join(fake.calls, " ")
				g.Expect(time.Since(start)).To(BeNumerically(">=", c.after))
				if c.more > 0 {
					g.Expect(calls).To(HavePrefix(c.calls))
					g.Expect(len(fake.calls)).To(BeNumerically("<=", len(strings.Fields(c.calls))+c.more))
				} else {
					g.Expect(calls).To(Equal(c.calls))
				}
				for _, b := range fake.bodies {
					g.Expect(b).To(Equal("body"), "each attempt must send the whole body")
				}
				if c.code == "" {
					g.Expect(err).NotTo(HaveOccurred())
					return
				}
				g.Expect(verdict.From(err).Code).To(Equal(c.code))
				g.Expect(verdict.From(err).Verdict).To(Equal(c.verdict))
			})
		})
	}
}
