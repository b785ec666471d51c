package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/httpserver"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// defaultTimeLeft is the time left for requests that do not state it.
	defaultTimeLeft = 5 * time.Second
	// responseReserve is subtracted from the time of the caller, so that the
	// response reaches it in time.
	responseReserve = 15 * time.Millisecond
	// drainingRetryDelay is the pause before the leader is asked again after it
	// chose a draining server.
	drainingRetryDelay = 80 * time.Millisecond
	// pausedRetryDelay is the pause before the leader is asked again after it chose a
	// server that wants no requests from this host: the message that tells it of that
	// may be lost.
	pausedRetryDelay = 80 * time.Millisecond
	// maxSends bounds the servers that a request is sent to, including those
	// that refused it without running it.
	maxSends = 4
	// minRetryTimeLeft is the time left below which a request is not sent
	// again.
	minRetryTimeLeft = 40 * time.Millisecond
)

// ingress processes the requests of callers.
type ingress struct {
	clk            clock.Clock
	names          HTTPNames
	leaderClient   *leaderClient
	watcher        *storeWatcher
	upstream       *upstream.Client
	budget         *retryBudget
	hedges         *hedge.Policy
	log            *requestLog
	metrics        *metrics
	serviceChoices atomic.Uint64
}

// callerRequest is one request of a caller and the state of its forwarding.
type callerRequest struct {
	route       *fleet.Route
	serviceHash uint32
	job         schedule.Job
	request     upstream.Request
	deadline    time.Time
	startedAt   time.Time
	sends       int
	// configVersion is the version of the configuration, epoch the epoch of the
	// leader whose decisions the request followed.
	configVersion, epoch int64
	// mayHaveRun is true once a server may have run the request; possibleRuns
	// counts those servers.
	mayHaveRun   bool
	possibleRuns int
	// retry is the last decision of the retry budget on the request; retryWaits is
	// true while a retry that it allowed waits for a server.
	retry      retryDecision
	retryWaits bool
	keyed      bool // the service has keys
	hedged     bool // a second copy was sent
}

// handle processes one request and returns its response; nil if the caller has
// disconnected.
func (in *ingress) handle(parent context.Context, r *httpserver.Request) *httpserver.Response {
	if r.TooManyConns {
		return in.refuse(in.unroutedRequest(r.Request, r.Arrived), "too-many-connections", defaultRetryAfter)
	}
	cfg := in.watcher.config.Load()
	if cfg == nil {
		return in.refuse(nil, "no-configuration", defaultRetryAfter)
	}
	route := cfg.Match(r.Host, r.URL.Path)
	if route == nil {
		in.metrics.inc("unknown-route")
		return &httpserver.Response{Status: http.StatusNotFound}
	}
	c := in.prepare(r, route, cfg)
	c.configVersion = cfg.Version
	ctx, cancel := context.WithDeadline(parent, c.deadline)
	defer cancel()
	in.budget.countRequest(c.serviceHash)
	in.hedges.CountRequest(c.serviceHash)
	response := in.forward(ctx, c)
	in.endRetryWait(c)
	in.metrics.observeLatency(route.Name, time.Since(c.startedAt))
	return response
}

// unroutedRequest returns a callerRequest that is refused before a route is chosen.
func (in *ingress) unroutedRequest(r *http.Request, arrived time.Time) *callerRequest {
	c := &callerRequest{route: &fleet.Route{}, startedAt: arrived, deadline: arrived.Add(defaultTimeLeft)}
	c.request.ID = r.Header.Get(in.names.RequestID)
	c.job.Key = schedule.NoKey
	return c
}

// prepare returns a callerRequest with its deadline, service, key and forwarded
// headers.
func (in *ingress) prepare(r *httpserver.Request, route *fleet.Route, cfg *fleet.Config) *callerRequest {
	timeLeft := defaultTimeLeft
	if ms, err := strconv.ParseFloat(r.Header.Get(in.names.TimeLeft), 64); err == nil && ms > 0 {
		timeLeft = time.Duration(ms * float64(time.Millisecond))
	}
	timeLeft = max(timeLeft-responseReserve, timeLeft/2)
	if route.Timeout > 0 {
		timeLeft = min(timeLeft, route.Timeout)
	}
	c := &callerRequest{route: route, startedAt: r.Arrived, deadline: r.Arrived.Add(timeLeft)}
	timeLeft = time.Until(c.deadline)
	// Consecutive requests get points that divide the unit interval evenly
	// (multiples of the golden ratio), so the shares of services hold over
	// short times as well.
	const goldenRatio = 0.6180339887498949
	point := float64(in.serviceChoices.Add(1)) * goldenRatio
	service := route.ChooseService(point - float64(int64(point)))
	c.serviceHash, c.keyed = hash32(string(service)), cfg.Services[service].Keyed
	c.request = upstream.Request{
		ID: r.Header.Get(in.names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: in.forwardHeader(r.Header), Body: r.Content,
	}
	key := schedule.NoKey
	if number, err := strconv.Atoi(r.Header.Get(in.names.Key)); err == nil {
		key = number
	}
	now := in.clk.Now()
	c.job = schedule.Job{
		Class: hash32(route.Name), ContentHash: contentHash(r), Key: key, Priority: route.Priority,
		Target: now + route.TargetLatency - time.Since(c.startedAt) - responseReserve, Deadline: now + timeLeft,
	}
	return c
}

// contentHash returns a hash of a request without its identifier.
func contentHash(r *httpserver.Request) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Method)
	_, _ = io.WriteString(h, r.RequestURI)
	for _, piece := range r.Content {
		_, _ = h.Write(piece)
	}
	return h.Sum64()
}

// forwardHeader returns the headers without those that apply to one connection
// and those that this host sets.
func (in *ingress) forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, v := range h {
		out[name] = v
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
		in.names.RequestID, in.names.TimeLeft, in.names.Target,
	} {
		out.Del(name)
	}
	return out
}

// forward sends the request to servers until it has a response.
func (in *ingress) forward(ctx context.Context, c *callerRequest) *httpserver.Response {
	for {
		decision, number, err := in.leaderClient.requestServer(ctx, c.serviceHash, c.job)
		_, c.epoch = in.leaderClient.currentLeader()
		if err != nil {
			return in.undecidedResponse(ctx, c)
		}
		if decision.Refused {
			return in.refusedResponse(c, decision.Reason, decision.RetryAfter)
		}
		id := schedule.JobID{HostIncarnation: in.leaderClient.incarnation, Number: number}
		if held, response := in.holdBack(ctx, c, decision.Server, id); held {
			if response != nil {
				return response
			}
			continue
		}
		in.endRetryWait(c)
		decision, outcome := in.exchange(ctx, c, decision, id)
		if outcome.Pause > 0 && in.pauseOutlasts(c, decision.Server) {
			return in.pausedResponse(c, decision.Server)
		}
		if outcome.Response != nil && (outcome.Result == schedule.Succeeded || !in.shouldRetry(c, outcome)) {
			return in.serverResponse(c, decision.Server, outcome.Response)
		}
		if outcome.Response == nil && !in.shouldRetry(c, outcome) {
			return in.failedResponse(ctx, c, decision.Server, outcome)
		}
		if outcome.Response != nil {
			outcome.Response.Release()
		}
		in.metrics.inc("retry-" + outcome.Result.String())
		in.log.event(c, "the request is sent to another server", string(decision.Server), outcome.Result.String(), outcome.Cause)
		c.job.Tried = append(c.job.Tried, decision.Server)
	}
}

// holdBack reports whether the server that the leader chose must not be sent a request. The
// leader is told why, and is asked again after a delay unless there is a response.
func (in *ingress) holdBack(ctx context.Context, c *callerRequest, server topology.ServerID, id schedule.JobID) (held bool, response *httpserver.Response) {
	notSent := schedule.Report{ID: id, Result: schedule.CallerDisconnected}
	switch {
	case in.serverDraining(server):
		// The leader reads the same list and will learn soon that the
		// server is draining. What the server said to this host it learns
		// from this host alone.
		in.leaderClient.passLeaving(in.watcher.leavingServer(server))
		in.metrics.inc("held-from-draining")
		in.leaderClient.report(notSent)
		clock.Sleep(ctx, drainingRetryDelay)
	case in.leaderClient.pauses.left(server) > 0:
		in.leaderClient.passPauses(in.leaderClient.pauses.listOf(server))
		in.metrics.inc("held-from-paused")
		in.leaderClient.report(notSent)
		if in.pauseOutlasts(c, server) {
			return true, in.pausedResponse(c, server)
		}
		if !slices.Contains(c.job.Tried, server) {
			c.job.Tried = append(c.job.Tried, server) // for a leader of an earlier release
		}
		clock.Sleep(ctx, pausedRetryDelay)
	default:
		return false, nil
	}
	return true, nil
}

// pauseOutlasts reports whether a request for a key of the server cannot wait for the end
// of the pause that the server asked this host for.
func (in *ingress) pauseOutlasts(c *callerRequest, server topology.ServerID) bool {
	left := in.leaderClient.pauses.left(server)
	return c.keyed && left > 0 && !c.job.MayAwait(left, in.clk.Now())
}

// pausedResponse refuses a request because of the pause that a server asked for.
func (in *ingress) pausedResponse(c *callerRequest, server topology.ServerID) *httpserver.Response {
	return in.refusedResponse(c, schedule.Paused, in.leaderClient.pauses.left(server))
}

// refusedResponse returns the response to a request that gets no server.
func (in *ingress) refusedResponse(c *callerRequest, reason schedule.Reason, after time.Duration) *httpserver.Response {
	if reason == schedule.Paused && c.retryWaits {
		c.retryWaits = false
		in.budget.dropRetryWait(c.serviceHash)
	}
	if c.mayHaveRun {
		return in.fail(c, http.StatusBadGateway, "no further attempt: "+reason.String())
	}
	return in.refuse(c, reason.String(), after)
}

// recordStatements takes note of what a response says of its server.
func (in *ingress) recordStatements(c *callerRequest, decision schedule.Decision, outcome upstream.Outcome) {
	in.recordLimit(c, decision, outcome)
	in.recordPause(c, decision.Server, outcome)
	in.leaderClient.recordPace(c.serviceHash, decision.Server, outcome.Report.Pace)
	if outcome.Leaving {
		in.watcher.recordLeaving(decision.Server)
		in.leaderClient.passLeaving(in.watcher.leavingServer(decision.Server))
	}
}

// recordPause takes note of the pause that a server asks this host for in its response.
func (in *ingress) recordPause(c *callerRequest, server topology.ServerID, outcome upstream.Outcome) {
	if outcome.PauseError != nil {
		in.log.event(c, "the pause that a server asks for cannot be read", string(server), outcome.Result.String(), outcome.PauseError)
	}
	if outcome.Pause > 0 {
		if in.leaderClient.pauses.record(server, c.serviceHash, outcome.Pause) {
			in.metrics.inc("server-pause")
		}
		in.leaderClient.passPauses(in.leaderClient.pauses.listOf(server))
	}
}

// recordLimit takes note of what a response says of the limit of its server.
func (in *ingress) recordLimit(c *callerRequest, decision schedule.Decision, outcome upstream.Outcome) {
	if outcome.LimitError != nil {
		in.log.event(c, "the limit of a server cannot be read", string(decision.Server), outcome.Result.String(), outcome.LimitError)
	}
	if outcome.Limit.Stated {
		in.leaderClient.recordLimit(serverLimit{service: c.serviceHash, server: decision.Server, limit: outcome.Limit}, decision.Limited)
	}
}

// endRetryWait tells the budget that the wait of a retry for a server has ended.
func (in *ingress) endRetryWait(c *callerRequest) {
	if c.retryWaits {
		c.retryWaits = false
		in.budget.endRetryWait(c.serviceHash)
	}
}

// serverDraining reports whether this host knows that the server is draining.
func (in *ingress) serverDraining(id topology.ServerID) bool {
	in.watcher.mu.Lock()
	defer in.watcher.mu.Unlock()
	s, ok := in.watcher.directory.Get(id, in.clk.Now())
	return ok && s.Draining
}

// shouldRetry decides whether the request is sent to another server.
func (in *ingress) shouldRetry(c *callerRequest, outcome upstream.Outcome) bool {
	switch outcome.Result {
	case schedule.TimedOut, schedule.CallerDisconnected, schedule.Succeeded:
		return false
	}
	if outcome.Response != nil && outcome.Response.Status == http.StatusGatewayTimeout {
		return false
	}
	if outcome.Result == schedule.WrongServer && in.leaderClient.leaderSilent() {
		// This host follows the last known key map, which names the same server
		// again. A new leader is found within about a second.
		return false
	}
	switch {
	case !outcome.NotRun && !c.route.Idempotent,
		c.sends >= maxSends,
		c.possibleRuns >= c.route.MaxAttempts,
		time.Until(c.deadline) < minRetryTimeLeft:
		return false
	}
	if outcome.Result == schedule.ConnectFailed {
		return true // the service received nothing, so no budget is used
	}
	c.retry = in.budget.decideRetry(c.serviceHash, in.leaderClient.state().hosts)
	c.retryWaits = !c.retry.denied
	if c.retry.denied {
		in.metrics.inc("retry-denied")
	}
	return c.retryWaits
}

// failedResponse returns the response to a request whose exchange failed and
// that is not retried.
func (in *ingress) failedResponse(ctx context.Context, c *callerRequest, server topology.ServerID, outcome upstream.Outcome) *httpserver.Response {
	switch {
	case !c.mayHaveRun && hostStops(ctx):
		return in.refuse(c, schedule.HostStops.String(), minRetryAfter)
	case hostStops(ctx):
		return in.fail(c, http.StatusGatewayTimeout, "the host stops before server "+string(server)+" responds")
	case outcome.Result == schedule.CallerDisconnected:
		in.metrics.inc("left")
		in.log.event(c, "the caller has disconnected", string(server), outcome.Result.String(), nil)
		return nil
	case !c.mayHaveRun:
		return in.refuse(c, outcome.Result.String(), defaultRetryAfter)
	case outcome.Result == schedule.TimedOut || ctx.Err() != nil:
		return in.fail(c, http.StatusGatewayTimeout, "server "+string(server)+" did not respond in time")
	default:
		return in.fail(c, http.StatusBadGateway, "server "+string(server)+": "+outcome.Result.String())
	}
}

// hostStops reports whether the request ends because its host stops.
func hostStops(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errHostStops) }

// undecidedResponse returns the response to a request for which no decision
// arrived in time.
func (in *ingress) undecidedResponse(ctx context.Context, c *callerRequest) *httpserver.Response {
	switch {
	case !c.mayHaveRun && hostStops(ctx):
		return in.refuse(c, schedule.HostStops.String(), minRetryAfter)
	case errors.Is(ctx.Err(), context.Canceled) && !hostStops(ctx):
		in.metrics.inc("left")
		return nil
	case c.mayHaveRun:
		return in.fail(c, http.StatusGatewayTimeout, "no time for a further attempt")
	default:
		return in.refuse(c, "no-server-in-time", minRetryAfter)
	}
}

const minRetryAfter = 50 * time.Millisecond

// refuse returns a response which says that the request has not run and will
// not.
func (in *ingress) refuse(c *callerRequest, reason string, after time.Duration) *httpserver.Response {
	in.metrics.inc("refused-" + reason)
	if c != nil {
		in.log.event(c, "the request is refused", "", reason, nil)
	}
	r := in.emptyResponse(c, http.StatusServiceUnavailable)
	r.Header.Set("Retry-After", strconv.FormatFloat(max(after, minRetryAfter).Seconds(), 'f', 2, 64))
	return r
}

// fail returns a response which says that the outcome of the request is
// unknown.
func (in *ingress) fail(c *callerRequest, status int, reason string) *httpserver.Response {
	in.metrics.inc("failed-" + strconv.Itoa(status))
	in.log.event(c, "the outcome of the request is unknown", "", reason, nil)
	return in.emptyResponse(c, status)
}

// emptyResponse returns a response of this host without a body.
func (in *ingress) emptyResponse(c *callerRequest, status int) *httpserver.Response {
	r := &httpserver.Response{Status: status, Header: make(http.Header)}
	if c != nil {
		r.Header.Set(in.names.RequestID, c.request.ID)
	}
	return r
}

// serverResponse returns the response of a server without the headers that
// apply to one connection.
func (in *ingress) serverResponse(c *callerRequest, server topology.ServerID, response *upstream.Response) *httpserver.Response {
	in.metrics.inc("answered-" + strconv.Itoa(response.Status/100) + "xx")
	for _, name := range []string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length", in.names.ServerLoad, in.names.ServerLimit,
	} {
		response.Header.Del(name)
	}
	if response.Status >= 400 {
		in.log.event(c, "the server responded with an error", string(server), strconv.Itoa(response.Status), nil)
	}
	return &httpserver.Response{Status: response.Status, Header: response.Header, Body: response.Body, Done: response.Release}
}
