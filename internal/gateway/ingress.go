package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/front"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// defaultTimeLeft is used for requests that state no time.
	defaultTimeLeft = 5 * time.Second
	// wayBack is kept from the time of a caller for the way of the answer.
	wayBack = 15 * time.Millisecond
	// leavingPause is the time after which a decision for a leaving server is
	// asked for again.
	leavingPause = 80 * time.Millisecond
	// maxSends bounds the servers that a request is sent to, including those
	// that refused it without running it.
	maxSends = 4
	// minRetryTime is the time left below which a request is not sent again.
	minRetryTime = 40 * time.Millisecond
)

// ingress takes the requests of callers.
type ingress struct {
	clk      clock.Clock
	names    Names
	desk     *desk
	watch    *watch
	upstream *upstream.Client
	budget   *retryBudget
	log      *requestLog
	stats    *stats
	points   atomic.Uint64
}

// call is one request of a caller on its way.
type call struct {
	route    *fleet.Route
	service  uint32
	job      schedule.Job
	request  upstream.Request
	deadline time.Time
	start    time.Time
	sends    int
	// version is that of the configuration, epoch that of the leader whose
	// decisions the request followed.
	version, epoch int64
	// ran is true once a server may have run the request; runs counts the
	// servers that may have.
	ran  bool
	runs int
}

// handle answers one request.
func (in *ingress) handle(parent context.Context, r *front.Request) *front.Response {
	cfg := in.watch.config.Load()
	if cfg == nil {
		return in.refuse(nil, "no-configuration", unknownRetry)
	}
	route := cfg.Match(r.Host, r.URL.Path)
	if route == nil {
		in.stats.count("unknown-route")
		return &front.Response{Status: http.StatusNotFound}
	}
	c := in.accept(r, route)
	c.version = cfg.Version
	ctx, cancel := context.WithDeadline(parent, c.deadline)
	defer cancel()
	in.budget.request(c.service)
	answer := in.run(ctx, c)
	in.stats.observe(route.Name, time.Since(c.start))
	return answer
}

// accept prepares a request.
func (in *ingress) accept(r *front.Request, route *fleet.Route) *call {
	left := defaultTimeLeft
	if ms, err := strconv.ParseFloat(r.Header.Get(in.names.TimeLeft), 64); err == nil && ms > 0 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	left = max(left-wayBack, left/2)
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	c := &call{route: route, start: r.Arrived, deadline: r.Arrived.Add(left)}
	left = time.Until(c.deadline)
	// Consecutive requests fall on points that divide the unit interval evenly
	// (the golden ratio), so shares hold over short times as well.
	const golden = 0.6180339887498949
	point := float64(in.points.Add(1)) * golden
	service := route.Choose(point - float64(int64(point)))
	c.service = hash32(string(service))
	c.request = upstream.Request{
		ID: r.Header.Get(in.names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: in.forwarded(r.Header), Body: r.Content,
	}
	key := schedule.NoKey
	if n, err := strconv.Atoi(r.Header.Get(in.names.Key)); err == nil {
		key = n
	}
	now := in.clk.Now()
	c.job = schedule.Job{
		Class: hash32(route.Name), Content: contentOf(r), Key: key, Priority: route.Priority,
		Target: now + route.Target - time.Since(c.start) - wayBack, Deadline: now + left,
	}
	return c
}

// contentOf identifies a request apart from its id.
func contentOf(r *front.Request) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Method)
	_, _ = io.WriteString(h, r.RequestURI)
	_, _ = h.Write(r.Content)
	return h.Sum64()
}

// forwarded returns the headers without those that concern one connection and
// those that this host sets.
func (in *ingress) forwarded(h http.Header) http.Header {
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

// run sends the request to servers until it has an answer.
func (in *ingress) run(ctx context.Context, c *call) *front.Response {
	for {
		d, number, err := in.desk.ask(ctx, c.service, c.job)
		_, c.epoch = in.desk.followed()
		if err != nil {
			return in.giveUp(ctx, c)
		}
		if d.Refused {
			if c.ran {
				return in.fail(c, http.StatusBadGateway, "no further attempt: "+d.Reason.String())
			}
			return in.refuse(c, d.Reason.String(), d.RetryAfter)
		}
		id := schedule.JobID{Host: in.desk.host, Number: number}
		if in.left(d.Server) {
			// The leader reads the same list and learns of it soon.
			in.desk.report(schedule.Report{ID: id, Result: schedule.Left})
			clock.Sleep(ctx, leavingPause)
			continue
		}
		out := in.upstream.Do(ctx, d.Server, d.Address, c.deadline, &c.request)
		out.Report.ID = id
		in.desk.report(out.Report)
		c.sends++
		if !out.NotRun {
			c.ran = true
			c.runs++
		}
		if out.Response != nil && (out.Result == schedule.Answered || !in.again(c, out)) {
			return in.answer(c, d.Server, out.Response)
		}
		if out.Response == nil && !in.again(c, out) {
			return in.end(ctx, c, d.Server, out)
		}
		in.stats.count("retry-" + out.Result.String())
		in.log.event(c, "request is sent again", string(d.Server), out.Result.String(), out.Cause)
		c.job.Tried = append(c.job.Tried, d.Server)
	}
}

// left reports whether this host knows that the server is leaving.
func (in *ingress) left(id topology.ServerID) bool {
	in.watch.mu.Lock()
	defer in.watch.mu.Unlock()
	s, ok := in.watch.directory.Get(id, in.clk.Now())
	return ok && s.Leaving
}

// again decides whether the request is sent to another server.
func (in *ingress) again(c *call, out upstream.Outcome) bool {
	switch out.Result {
	case schedule.TimedOut, schedule.Left, schedule.Answered:
		return false
	}
	if out.Response != nil && out.Response.Status == http.StatusGatewayTimeout {
		return false
	}
	switch {
	case !out.NotRun && !c.route.Idempotent,
		c.sends >= maxSends,
		c.runs >= c.route.MaxAttempts,
		time.Until(c.deadline) < minRetryTime:
		return false
	}
	if out.Result == schedule.Unreached {
		return true // nothing arrived at the service
	}
	return in.budget.retry(c.service, in.desk.state().hosts)
}

// end answers a request whose exchange failed and that is not sent again.
func (in *ingress) end(ctx context.Context, c *call, server topology.ServerID, out upstream.Outcome) *front.Response {
	switch {
	case out.Result == schedule.Left:
		in.stats.count("left")
		in.log.event(c, "caller has left", string(server), out.Result.String(), nil)
		return nil
	case !c.ran:
		return in.refuse(c, out.Result.String(), unknownRetry)
	case out.Result == schedule.TimedOut || ctx.Err() != nil:
		return in.fail(c, http.StatusGatewayTimeout, "server "+string(server)+" did not answer in time")
	default:
		return in.fail(c, http.StatusBadGateway, "server "+string(server)+": "+out.Result.String())
	}
}

// giveUp answers a request that got no decision in time.
func (in *ingress) giveUp(ctx context.Context, c *call) *front.Response {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		in.stats.count("left")
		return nil
	case c.ran:
		return in.fail(c, http.StatusGatewayTimeout, "no time for a further attempt")
	default:
		return in.refuse(c, "no-server-in-time", minRetry)
	}
}

const minRetry = 50 * time.Millisecond

// refuse answers that the request has not run and never will.
func (in *ingress) refuse(c *call, reason string, after time.Duration) *front.Response {
	in.stats.count("refused-" + reason)
	if c != nil {
		in.log.event(c, "request is refused", "", reason, nil)
	}
	r := in.own(c, http.StatusServiceUnavailable)
	r.Header.Set("Retry-After", strconv.FormatFloat(max(after, minRetry).Seconds(), 'f', 2, 64))
	return r
}

// fail answers that the outcome of the request is unknown.
func (in *ingress) fail(c *call, status int, reason string) *front.Response {
	in.stats.count("failed-" + strconv.Itoa(status))
	in.log.event(c, "outcome of request is unknown", "", reason, nil)
	return in.own(c, status)
}

// own returns an answer of this host.
func (in *ingress) own(c *call, status int) *front.Response {
	r := &front.Response{Status: status, Header: make(http.Header)}
	if c != nil {
		r.Header.Set(in.names.RequestID, c.request.ID)
	}
	return r
}

// answer passes on the answer of a server.
func (in *ingress) answer(c *call, server topology.ServerID, a *upstream.Response) *front.Response {
	in.stats.count("answered-" + strconv.Itoa(a.Status/100) + "xx")
	for _, name := range []string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length", in.names.ServerLoad,
	} {
		a.Header.Del(name)
	}
	if a.Status >= 400 {
		in.log.event(c, "server answered with a failure", string(server), strconv.Itoa(a.Status), nil)
	}
	return &front.Response{Status: a.Status, Header: a.Header, Body: a.Body}
}
