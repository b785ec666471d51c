package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// hedgeDecisionTimeout is the time that the leader has for the decision on a hedge: a few
// round trips between data centres. A request for a hedge is not repeated.
const hedgeDecisionTimeout = requestRetryInterval

// copyResult is the result of one copy of a request.
type copyResult struct {
	decision schedule.Decision
	id       schedule.JobID
	outcome  upstream.Outcome
	hedge    bool
	// denial is the reason why a hedge was not sent; the other fields are then empty.
	denial hedge.Denial
}

// answered reports whether the copy has a response that is passed on to the caller.
func (r copyResult) answered() bool {
	return r.outcome.Response != nil && r.outcome.Result == schedule.Succeeded
}

// exchange sends the request to a server, and perhaps a second copy to another one. It
// returns the outcome that counts and its decision, and reports those of all copies.
func (in *ingress) exchange(ctx context.Context, c *callerRequest, decision schedule.Decision, id schedule.JobID) (schedule.Decision, upstream.Outcome) {
	first := copyResult{decision: decision, id: id}
	send := func(ctx context.Context) copyResult {
		first.outcome = in.upstream.Do(ctx, decision.Server, decision.Address, c.deadline, &c.request)
		return first
	}
	if !in.hedges.Enabled() || !c.route.Idempotent || c.route.LargeResponses || c.keyed || c.hedged {
		return in.recordExchange(c, send(ctx))
	}
	delay, known := in.hedges.Delay(c.job.Class, in.clk.Now())
	if !known {
		in.denyHedge(hedge.FewObservations)
		first = send(ctx)
		in.observe(ctx, c, first)
		return in.recordExchange(c, first)
	}
	second := c.request.Copy()
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	results := make(chan copyResult, 2)
	go func() { results <- send(firstCtx) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case r := <-results:
		in.observe(ctx, c, r)
		return in.recordExchange(c, r)
	case <-timer.C:
	}
	if denial := in.permitHedge(c); denial != hedge.Allowed {
		in.denyHedge(denial)
		r := <-results
		in.observe(ctx, c, r)
		return in.recordExchange(c, r)
	}
	job := c.job
	job.Tried = append(slices.Clone(job.Tried), decision.Server)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()
	go func() { results <- in.sendHedge(hedgeCtx, c.serviceHash, c.deadline, job, id, second) }()
	var ended [2]copyResult
	for i := range ended {
		ended[i] = <-results
		if ended[i].answered() {
			cancelFirst()
			cancelHedge()
		}
	}
	used, other := ended[0], ended[1]
	if !used.answered() && (other.answered() || used.outcome.Response == nil) {
		used, other = other, used
	}
	if used.denial != hedge.Allowed {
		used, other = other, used
	}
	return in.recordRace(ctx, c, used, other, second)
}

// recordRace records the results of both copies of a request, and returns that of the one
// that is used.
func (in *ingress) recordRace(ctx context.Context, c *callerRequest, used, other copyResult, second *upstream.Request) (schedule.Decision, upstream.Outcome) {
	first := used
	if used.hedge {
		first = other
	}
	in.observe(ctx, c, first)
	if other.denial != hedge.Allowed {
		in.denyHedge(other.denial)
		return in.recordExchange(c, used)
	}
	c.hedged = true
	c.request.AddConnsOf(second)
	in.recordExchange(c, other)
	if other.outcome.Response != nil {
		other.outcome.Response.Release()
	}
	if used.hedge && used.answered() {
		in.metrics.inc("hedge-won")
	}
	if other.outcome.Result == schedule.CallerDisconnected && ctx.Err() == nil {
		in.metrics.inc("hedge-cancelled")
	}
	if !used.answered() {
		c.job.Tried = append(c.job.Tried, other.decision.Server)
	}
	decision, outcome := in.recordExchange(c, used)
	in.log.event(c, "a second copy of the request was sent to another server", string(decision.Server), outcome.Result.String(), nil)
	return decision, outcome
}

// recordExchange records the result of one copy of a request and reports it to the leader.
func (in *ingress) recordExchange(c *callerRequest, r copyResult) (schedule.Decision, upstream.Outcome) {
	in.recordStatements(c, r.decision, r.outcome)
	r.outcome.Report.ID = r.id
	in.leaderClient.report(r.outcome.Report)
	c.sends++
	if !r.outcome.NotRun {
		c.mayHaveRun = true
		c.possibleRuns++
	}
	return r.decision, r.outcome
}

// observe adds the time of the first copy of a request to those of its class. A copy that
// was cancelled because of the other had run for longer than the delay of its class; the
// time until a caller disconnects says nothing.
func (in *ingress) observe(ctx context.Context, c *callerRequest, r copyResult) {
	result := r.outcome.Result
	if result == schedule.Succeeded || result == schedule.TimedOut || (result == schedule.CallerDisconnected && ctx.Err() == nil) {
		in.hedges.Observe(c.job.Class, r.outcome.Report.Duration, in.clk.Now())
	}
}

func (in *ingress) denyHedge(denial hedge.Denial) { in.metrics.inc("hedge-denied-" + string(denial)) }

// permitHedge decides whether the leader is asked for a server for a second copy. If so,
// the budgets count it; see dropHedge.
func (in *ingress) permitHedge(c *callerRequest) hedge.Denial {
	denial := in.hedges.Decide(hedge.Request{
		Service: c.serviceHash, Class: c.job.Class, Sends: c.sends + 1, MaxSends: maxSends,
		PossibleRuns: c.possibleRuns + 1, MaxAttempts: c.route.MaxAttempts,
		Left: time.Until(c.deadline), LeaderResponds: in.leaderClient.leaderResponds(),
	}, in.clk.Now())
	if denial != hedge.Allowed {
		return denial
	}
	c.retry = in.budget.decideRetry(c.serviceHash, in.leaderClient.state().hosts)
	if c.retry.denied {
		in.hedges.Return(c.serviceHash)
		return hedge.RetryBudget
	}
	return hedge.Allowed
}

// dropHedge returns what the budgets counted for a hedge that is not sent.
func (in *ingress) dropHedge(serviceHash uint32, denial hedge.Denial) copyResult {
	in.budget.dropRetryWait(serviceHash)
	in.hedges.Return(serviceHash)
	return copyResult{hedge: true, denial: denial}
}

// sendHedge asks the leader for a server for the second copy of a request and sends it.
// It runs beside the first copy, so it uses no state of the request.
func (in *ingress) sendHedge(ctx context.Context, serviceHash uint32, deadline time.Time, job schedule.Job, first schedule.JobID, r *upstream.Request) copyResult {
	decisionCtx, cancel := context.WithTimeout(ctx, hedgeDecisionTimeout)
	decision, id, err := in.leaderClient.requestHedge(decisionCtx, serviceHash, job, first.Number)
	cancel()
	switch {
	case ctx.Err() != nil && (err != nil || decision.Refused):
		return in.dropHedge(serviceHash, hedge.Answered)
	case err != nil:
		return in.dropHedge(serviceHash, hedge.NoDecision)
	case decision.Refused:
		return in.dropHedge(serviceHash, hedge.NoServer)
	}
	denial := hedge.Allowed
	switch {
	case ctx.Err() != nil:
		denial = hedge.Answered
	case in.serverDraining(decision.Server):
		in.leaderClient.passLeaving(in.watcher.leavingServer(decision.Server))
		denial = hedge.ServerHeld
	case in.leaderClient.pauses.left(decision.Server) > 0:
		in.leaderClient.passPauses(in.leaderClient.pauses.listOf(decision.Server))
		denial = hedge.ServerHeld
	}
	if denial != hedge.Allowed {
		in.leaderClient.report(schedule.Report{ID: id, Result: schedule.CallerDisconnected})
		return in.dropHedge(serviceHash, denial)
	}
	in.budget.endRetryWait(serviceHash)
	in.metrics.inc("hedge-sent")
	return copyResult{decision: decision, id: id, hedge: true, outcome: in.upstream.Do(ctx, decision.Server, decision.Address, deadline, r)}
}

// leaderResponds reports whether the leader has responded to all but the newest messages.
func (c *leaderClient) leaderResponds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownScheduler != nil {
		return true
	}
	return c.leader.IsValid() && (c.unansweredSince == 0 || c.clk.Now()-c.unansweredSince <= requestRetryInterval)
}

// requestHedge returns the leader's decision on a second copy of the request that it
// decided on under the number first. The leader is asked once. If the context ends before
// it has decided, it is told that the copy is not sent.
func (c *leaderClient) requestHedge(ctx context.Context, serviceHash uint32, job schedule.Job, first uint32) (schedule.Decision, schedule.JobID, error) {
	c.mu.Lock()
	c.lastNumber++
	job.ID = schedule.JobID{HostIncarnation: c.incarnation, Number: c.lastNumber}
	job.DataCentre = c.dataCentre
	now := c.clk.Now()
	r := &routingRequest{serviceHash: serviceHash, job: job, decision: make(chan schedule.Decision, 1), hedge: true, lastSent: now, firstSent: now}
	if job.Deadline > c.refuseAfter {
		c.mu.Unlock()
		return hostStopsDecision(&r.job), job.ID, nil
	}
	c.pending[job.ID.Number] = r
	own, leader := c.ownScheduler, c.leader
	c.mu.Unlock()
	if own != nil {
		copied := r.job
		own.hedge(serviceHash, &copied, schedule.JobID{HostIncarnation: c.incarnation, Number: first})
	} else if leader.IsValid() {
		_ = c.link.SendHedgeRequests(leader, &hostlink.HedgeRequests{ // the hedge is not sent if this is lost
			Incarnation: c.incarnation, DataCentre: string(c.dataCentre),
			Requests: []hostlink.HedgeRequest{{First: first, Request: c.encodeRequest(r, now)}},
		})
	}
	select {
	case dec := <-r.decision:
		return dec, job.ID, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, job.ID.Number)
		c.mu.Unlock()
		c.report(schedule.Report{ID: job.ID, Result: schedule.CallerDisconnected})
		return schedule.Decision{}, job.ID, ctx.Err()
	}
}

// handleHedges decides on second copies of requests of a host.
func (fs *followers) handleHedges(m *hostlink.HedgeRequests) {
	fs.mu.Lock()
	s, now := fs.scheduler, fs.clk.Now()
	var undecided []hostlink.HedgeRequest
	if f, ok := fs.hosts[m.Incarnation]; ok && s != nil {
		for _, req := range m.Requests {
			if _, ok := f.recentDecisions[req.Request.Number]; !ok {
				undecided = append(undecided, req)
			}
		}
	}
	fs.mu.Unlock()
	for _, req := range undecided {
		id := schedule.JobID{HostIncarnation: m.Incarnation, Number: req.Request.Number}
		first := schedule.JobID{HostIncarnation: m.Incarnation, Number: req.First}
		s.hedge(req.Request.Service, decodeRequest(id, m.DataCentre, req.Request, now), first)
	}
}

// hedge decides on a second copy of a request at once.
func (s *scheduler) hedge(serviceHash uint32, j *schedule.Job, first schedule.JobID) {
	s.mu.Lock()
	svc, ok := s.services[serviceHash]
	if ok && svc.sched.Contains(j.ID) {
		s.mu.Unlock()
		return
	}
	decision := schedule.Decision{Job: j, Refused: true, Reason: schedule.NoServer, RetryAfter: defaultRetryAfter}
	if ok && s.listUsable() {
		decision = svc.sched.Hedge(j, first, s.clk.Now())
	}
	s.mu.Unlock()
	s.deliver([]schedule.Decision{decision})
}
