package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// Guards against a caller that is told that its request has not run although one of two
// copies may have, against attempts that are not counted, and against a further attempt at
// a server that failed.
func TestRecordsOfBothCopies(t *testing.T) {
	answered := upstream.Outcome{Result: schedule.Succeeded, Response: &upstream.Response{Status: 200}}
	cancelled := upstream.Outcome{Result: schedule.CallerDisconnected}
	notSent := upstream.Outcome{Result: schedule.CallerDisconnected, NotRun: true}
	full := upstream.Outcome{Result: schedule.ServerFull, NotRun: true}
	unreached := upstream.Outcome{Result: schedule.ConnectFailed, NotRun: true}
	broken := upstream.Outcome{Result: schedule.Broken}
	for name, c := range map[string]struct {
		used, other upstream.Outcome
		runs        int
		tried       []topology.ServerID
	}{
		"answered, the other cancelled":           {used: answered, other: cancelled, runs: 2},
		"answered, the other cancelled in a dial": {used: answered, other: notSent, runs: 1},
		"both refused":                     {used: full, other: full, tried: []topology.ServerID{"b"}},
		"refused, the other broken":        {used: full, other: broken, runs: 1, tried: []topology.ServerID{"b"}},
		"broken, the other unreached":      {used: broken, other: unreached, runs: 1, tried: []topology.ServerID{"b"}},
		"both cancelled with their caller": {used: cancelled, other: cancelled, runs: 2, tried: []topology.ServerID{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, _ := clientWithLeader(t)
			in := &ingress{clk: client.clk, leaderClient: client, hedges: hedge.New(0.1), log: newRequestLog(client.clk), metrics: &metrics{}}
			c2 := &callerRequest{route: &fleet.Route{Idempotent: true, MaxAttempts: 3}, deadline: time.Now().Add(time.Minute)}
			used := copyResult{decision: schedule.Decision{Server: "a"}, outcome: c.used, hedge: true}
			other := copyResult{decision: schedule.Decision{Server: "b"}, outcome: c.other}
			decision, outcome := in.recordRace(t.Context(), c2, used, other, &upstream.Request{})
			g.Expect(decision.Server).To(Equal(topology.ServerID("a")))
			g.Expect(outcome.Result).To(Equal(c.used.Result))
			g.Expect([]int{c2.sends, c2.possibleRuns}).To(Equal([]int{2, c.runs}))
			g.Expect(c2.mayHaveRun).To(Equal(c.runs > 0))
			g.Expect(c2.job.Tried).To(Equal(c.tried))
			g.Expect(c2.hedged).To(BeTrue())
		})
	}
}

// Guards against a request for a hedge that a host repeats, so that the leader assigns a
// second slot or a new leader queues it, and against a slot that stays assigned to a hedge
// that is not sent since the decision was lost.
func TestHedgeIsAskedForOnce(t *testing.T) {
	g := NewWithT(t)
	client, leader := clientWithLeader(t)
	g.Expect(client.leaderResponds()).To(BeTrue())
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 3*requestRetryInterval)
		defer cancel()
		_, _, err := client.requestHedge(ctx, 1, schedule.Job{Deadline: time.Hour, Target: time.Hour}, 77)
		done <- err
	}()
	var m *hostlink.HedgeRequests
	g.Eventually(leader.hedges, time.Second).Should(Receive(&m))
	g.Expect(m.Requests).To(HaveLen(1))
	g.Expect(m.Requests[0].First).To(Equal(uint32(77)))
	time.Sleep(2 * requestRetryInterval)
	client.tick()
	client.resubmitAll()
	g.Expect(client.leaderResponds()).To(BeTrue())
	g.Eventually(done, time.Second).Should(Receive(MatchError(context.DeadlineExceeded)))
	g.Eventually(leader.disconnected, time.Second).Should(Receive(Equal(m.Requests[0].Request.Number)))
	g.Expect(leader.hedges).NotTo(Receive())
	g.Expect(leader.routed.Load()).To(BeZero())
	client.mu.Lock()
	client.unansweredSince = client.clk.Now() - 2*requestRetryInterval
	client.mu.Unlock()
	g.Expect(client.leaderResponds()).To(BeFalse(), "an unanswered message")
}

// Guards against a hedge that a budget forbids, and against one that a budget counts twice
// or for good although it is not sent.
func TestBudgetsOfHedges(t *testing.T) {
	g := NewWithT(t)
	client, _ := clientWithLeader(t)
	in := &ingress{clk: client.clk, leaderClient: client, hedges: hedge.New(0.2), budget: newRetryBudget(clock.NewMonotonic(), client.active)}
	c := &callerRequest{route: &fleet.Route{Idempotent: true, MaxAttempts: 2}, deadline: time.Now().Add(time.Minute)}
	for range 100 {
		in.hedges.Observe(0, 20*time.Millisecond, 0)
		in.hedges.CountRequest(0)
	}
	g.Expect(in.permitHedge(c)).To(Equal(hedge.RetryBudget), "no requests in its window")
	for range 20 { // 0.14 of them
		in.budget.countRequest(0)
	}
	for range 10 {
		g.Expect(in.permitHedge(c)).To(Equal(hedge.Allowed))
		in.dropHedge(0, hedge.NoServer)
	}
	g.Expect(in.permitHedge(c)).To(Equal(hedge.Allowed))
	in.budget.endRetryWait(0)
	g.Expect(in.permitHedge(c)).To(Equal(hedge.Allowed))
	g.Expect(in.permitHedge(c)).To(Equal(hedge.RetryBudget))
	c.possibleRuns = 1
	g.Expect(in.permitHedge(c)).To(Equal(hedge.Attempts))
}
