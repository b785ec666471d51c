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
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

const (
	// defaultTimeLeft is used for requests that state no time.
	defaultTimeLeft = 5 * time.Second
	// wayBack is kept from the time of a caller for the way of the answer.
	wayBack = 15 * time.Millisecond
	// maxSends bounds the servers that a request is sent to, including those
	// that refused it without running it.
	maxSends = 4
	// minRetryTime is the time left below which a request is not sent again.
	minRetryTime = 40 * time.Millisecond
	// maxHeldBodies bounds the bytes of request bodies that a host holds.
	maxHeldBodies = 96 << 20
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
	bodies   atomic.Int64
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
	// ran is true once a server may have run the request; runs counts the
	// servers that may have.
	ran  bool
	runs int
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	cfg := in.watch.config.Load()
	if cfg == nil {
		in.refuse(w, nil, "no configuration is known", unknownRetry)
		return
	}
	route := cfg.Match(r.Host, r.URL.Path)
	if route == nil {
		in.stats.count("unknown-route")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c, err := in.accept(r, route, start, cfg)
	if err != nil {
		in.stats.count("unreadable")
		status := http.StatusBadRequest
		if errors.Is(err, errTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		w.WriteHeader(status)
		return
	}
	defer in.bodies.Add(-int64(len(c.request.Body)))
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	in.budget.request(c.service)
	in.run(ctx, w, c)
	in.stats.observe(route.Name, time.Since(start))
}

var errTooLarge = errors.New("request body is too large")

// accept reads the whole request. A body that breaks off has not been run.
func (in *ingress) accept(r *http.Request, route *fleet.Route, start time.Time, cfg *fleet.Config) (*call, error) {
	left := defaultTimeLeft
	if ms, err := strconv.ParseFloat(r.Header.Get(in.names.TimeLeft), 64); err == nil && ms > 0 {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	left = max(left-wayBack, left/2)
	if route.Timeout > 0 {
		left = min(left, route.Timeout)
	}
	c := &call{route: route, start: start, deadline: start.Add(left)}
	limit := cfg.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = maxHeldBodies
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err != nil {
		return nil, err
	}
	in.bodies.Add(int64(len(body)))
	// Consecutive requests fall on points that divide the unit interval evenly
	// (the golden ratio), so shares hold over short times as well.
	const golden = 0.6180339887498949
	point := float64(in.points.Add(1)) * golden
	service := route.Choose(point - float64(int64(point)))
	c.service = hash32(string(service))
	c.request = upstream.Request{
		ID: r.Header.Get(in.names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: in.forwarded(r.Header), Body: body,
	}
	key := schedule.NoKey
	if n, err := strconv.Atoi(r.Header.Get(in.names.Key)); err == nil {
		key = n
	}
	now := in.clk.Now()
	c.job = schedule.Job{
		Class: hash32(route.Name), Content: contentOf(r, body), Key: key, Priority: route.Priority,
		Target: now + route.Target - wayBack, Deadline: now + left,
	}
	return c, nil
}

// contentOf identifies a request apart from its id.
func contentOf(r *http.Request, body []byte) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Method)
	_, _ = io.WriteString(h, r.RequestURI)
	_, _ = h.Write(body)
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
func (in *ingress) run(ctx context.Context, w http.ResponseWriter, c *call) {
	for {
		d, number, err := in.desk.ask(ctx, c.service, c.job)
		if err != nil {
			in.giveUp(ctx, w, c)
			return
		}
		if d.Refused {
			if c.ran {
				in.fail(w, c, http.StatusBadGateway, "no further attempt: "+d.Reason.String())
				return
			}
			in.refuse(w, c, d.Reason.String(), d.RetryAfter)
			return
		}
		id := schedule.JobID{Host: in.desk.host, Number: number}
		if in.left(d.Server) {
			in.desk.report(schedule.Report{ID: id, Result: schedule.Elsewhere})
			c.job.Tried = append(c.job.Tried, d.Server)
			if c.sends++; c.sends >= maxSends {
				in.refuse(w, c, "server is leaving", unknownRetry)
				return
			}
			sleep(ctx, callRetry)
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
		if out.Answer != nil && (out.Result == schedule.Answered || !in.again(c, out)) {
			in.answer(w, c, d.Server, out.Answer)
			return
		}
		if out.Answer == nil && !in.again(c, out) {
			in.end(ctx, w, c, d.Server, out)
			return
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
	if out.Answer != nil && out.Answer.Status == http.StatusGatewayTimeout {
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
func (in *ingress) end(ctx context.Context, w http.ResponseWriter, c *call, server topology.ServerID, out upstream.Outcome) {
	switch {
	case out.Result == schedule.Left:
		in.stats.count("left")
		in.log.event(c, "caller has left", string(server), out.Result.String(), nil)
	case !c.ran:
		in.refuse(w, c, out.Result.String(), unknownRetry)
	case out.Result == schedule.TimedOut || ctx.Err() != nil:
		in.fail(w, c, http.StatusGatewayTimeout, "server "+string(server)+" did not answer in time")
	default:
		in.fail(w, c, http.StatusBadGateway, "server "+string(server)+": "+out.Result.String())
	}
}

// giveUp answers a request that got no decision in time.
func (in *ingress) giveUp(ctx context.Context, w http.ResponseWriter, c *call) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		in.stats.count("left")
	case c.ran:
		in.fail(w, c, http.StatusGatewayTimeout, "no time for a further attempt")
	default:
		in.refuse(w, c, "no server in time", minRetry)
	}
}

const minRetry = 50 * time.Millisecond

// refuse answers that the request has not run and never will.
func (in *ingress) refuse(w http.ResponseWriter, c *call, reason string, after time.Duration) {
	in.stats.count("refused-" + strings.ReplaceAll(reason, " ", "-"))
	if c != nil {
		in.log.event(c, "request is refused", "", reason, nil)
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(max(after, minRetry).Seconds(), 'f', 2, 64))
	in.identify(w, c)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers that the outcome of the request is unknown.
func (in *ingress) fail(w http.ResponseWriter, c *call, status int, reason string) {
	in.stats.count("failed-" + strconv.Itoa(status))
	in.log.event(c, "outcome of request is unknown", "", reason, nil)
	in.identify(w, c)
	w.WriteHeader(status)
}

func (in *ingress) identify(w http.ResponseWriter, c *call) {
	if c != nil {
		w.Header().Set(in.names.RequestID, c.request.ID)
	}
	w.Header()["Content-Type"] = nil
}

// answer passes on the answer of a server.
func (in *ingress) answer(w http.ResponseWriter, c *call, server topology.ServerID, a *upstream.Answer) {
	in.stats.count("answered-" + strconv.Itoa(a.Status/100) + "xx")
	h := w.Header()
	for name, v := range a.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length", http.CanonicalHeaderKey(in.names.ServerLoad):
			continue
		}
		h[name] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified && c.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	if a.Status >= 400 {
		in.log.event(c, "server answered with a failure", string(server), strconv.Itoa(a.Status), nil)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // an error means that the caller has left
}
