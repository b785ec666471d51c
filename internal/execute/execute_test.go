package execute_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const workTime = 10 * time.Millisecond

// newSingleServer returns a leader host and the one server that owns the shard.
func newSingleServer(t *testing.T, app http.HandlerFunc) (*host, *serverfake.Instance) {
	s := newServer(t, "s1", app)
	h := newHost(t, s)
	h.lead(1, time.Now().Add(-time.Hour), s)
	return h, s
}

// Guards against a second run when a request is repeated while the first run is
// in flight or after it, and against the loss of the first run's response if it
// was small enough to be stored.
func TestRepeatedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, s := newSingleServer(t, countingHandler())
		id := newID()
		results := make(chan result, 3)
		for range 3 {
			go func() { results <- call(t.Context(), h.svc, id, "a") }()
		}
		for range 3 {
			g.Expect(<-results).To(Equal(result{verdict: verdict.Ran, body: "run 1"}))
		}
		g.Expect(call(t.Context(), h.svc, id, "b").code).To(Equal(verdict.CodeIDReused))
		g.Expect(s.RunCount(id)).To(Equal(1))

		slow := newID()
		go call(t.Context(), h.svc, slow, "a")
		synctest.Wait()
		r := withTimeout(t, time.Millisecond, func(ctx context.Context) result { return call(ctx, h.svc, slow, "a") })
		g.Expect(r).To(Equal(result{code: verdict.CodeDuplicate, verdict: verdict.MayHaveRun}))
		time.Sleep(time.Second)
	})
}

// Guards against a request that runs before the creation time of its id. The next
// leader could take such an id for a new one.
func TestFutureID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, s := newSingleServer(t, countingHandler())
		id, err := request.ParseID(newID())
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		later := shiftDate(id, 300*time.Millisecond)
		r := withTimeout(t, 200*time.Millisecond, func(ctx context.Context) result { return call(ctx, h.svc, later, "a") })
		g.Expect(r).To(Equal(result{code: verdict.CodeClock, verdict: verdict.NotRun}))
		g.Expect(call(t.Context(), h.svc, later, "a").verdict).To(Equal(verdict.Ran))
		g.Expect(time.Since(start)).To(BeNumerically(">=", 300*time.Millisecond))
		g.Expect(s.RunCount(later)).To(Equal(1))
	})
}

// Guards against requests that fail during a planned move, and against a request
// that waited in the queue and is sent to the previous owner.
func TestMove(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(h *host, other *serverfake.Instance) // while the request waits
		want   result
		runs   int // at the new server
	}{
		{"moved while queued", func(h *host, other *serverfake.Instance) { h.lead(1, time.Time{}, other) }, result{verdict: verdict.Ran, body: "run 1"}, 1},
		{"no owner during the move", func(h *host, other *serverfake.Instance) {
			h.lead(1, time.Time{}, nil)
			time.AfterFunc(300*time.Millisecond, func() { h.lead(1, time.Time{}, other) })
		}, result{verdict: verdict.Ran, body: "run 1"}, 1},
		{"no owner until the deadline", func(h *host, _ *serverfake.Instance) { h.lead(1, time.Time{}, nil) }, result{code: verdict.CodeNoOwner, verdict: verdict.NotRun}, 0},
		{"leadership lost", func(h *host, _ *serverfake.Instance) { h.stop() }, result{code: verdict.CodeNotLeader, verdict: verdict.NotRun}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s1, s2 := newServer(t, "s1", countingHandler()), newServer(t, "s2", countingHandler())
				h := newHost(t, s1, s2)
				h.lead(1, time.Time{}, s1)
				for range 2 { // occupy both slots
					go call(t.Context(), h.svc, "", "busy")
				}
				synctest.Wait()
				time.AfterFunc(workTime/2, func() { c.before(h, s2) })
				r := withTimeout(t, time.Second, func(ctx context.Context) result { return call(ctx, h.svc, "", "moved") })
				g.Expect(r).To(Equal(c.want))
				g.Expect(s1.TotalRuns()).To(Equal(2))
				g.Expect(s2.TotalRuns()).To(Equal(c.runs))
			})
		})
	}
}

// Guards against a request that crashes one server after another: it must be
// refused after two crashes, but a request with different content must not be.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var servers []*serverfake.Instance
		for _, id := range []string{"s1", "s2", "s3"} {
			var s *serverfake.Instance
			s = newServer(t, topology.ServerID(id), func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				time.Sleep(workTime)
				if strings.Contains(string(body), "crash") {
					go s.Kill()
					time.Sleep(time.Second)
				}
			})
			servers = append(servers, s)
		}
		h := newHost(t, servers...)
		var id string
		for i, s := range servers[:2] {
			h.lead(1, time.Now().Add(-time.Hour), s)
			if i == 0 {
				go call(t.Context(), h.svc, "", "crash") // the same content in both slots
			}
			id = newID()
			g.Expect(call(t.Context(), h.svc, id, "crash")).To(Equal(result{code: verdict.CodeServerFailed, verdict: verdict.MayHaveRun}))
			synctest.Wait()
			if i == 1 {
				h.svc.ServerDied(s.ID()) // the control path reports the same crash
			}
		}
		h.lead(1, time.Time{}, servers[2])
		g.Expect(call(t.Context(), h.svc, "", "crash")).To(Equal(result{code: verdict.CodeQuarantined, verdict: verdict.NotRun}))
		g.Expect(call(t.Context(), h.svc, newID(), "crash").code).To(Equal(verdict.CodeQuarantined))
		g.Expect(call(t.Context(), h.svc, id, "crash")).To(Equal(result{code: verdict.CodeDuplicate, verdict: verdict.MayHaveRun}))
		g.Expect(call(t.Context(), h.svc, "", "harmless").verdict).To(Equal(verdict.Ran))
		g.Expect(h.svc.Quarantine().Export()).To(HaveLen(2))

		next := newHost(t, servers...)
		next.lead(1, time.Time{}, servers[2])
		next.svc.Quarantine().Import(h.svc.Quarantine().Export())
		g.Expect(call(t.Context(), next.svc, "", "crash").code).To(Equal(verdict.CodeQuarantined))
		time.Sleep(11 * time.Minute)
		g.Expect(h.svc.Quarantine().BlockedFor(request.Digest{})).To(BeZero())
	})
}

// Guards against a slow caller that occupies a slot of the server although the
// response is small, and against a large response that is not streamed.
func TestResponseSizes(t *testing.T) {
	for _, c := range []struct {
		name      string
		size      int
		slotInUse bool // until the response was read
	}{{"64 KiB", 64 << 10, false}, {"1 MiB", 1 << 20, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h, s := newSingleServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", c.size)) })
				req := &request.Request{Service: "booking", Customer: "pewright", Key: "k", ID: newID(), Method: http.MethodGet, Path: "/x"}
				resp, err := h.svc.Do(t.Context(), req)
				g.Expect(err).NotTo(HaveOccurred())
				synctest.Wait()
				reply, _ := s.Lease(t.Context())
				g.Expect(reply.Load.InFlight == 1).To(Equal(c.slotInUse))
				body, err := io.ReadAll(resp.Body)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(HaveLen(c.size))
				synctest.Wait()
				repeat := call(t.Context(), h.svc, req.ID, "")
				g.Expect(repeat.code).To(Equal(verdict.CodeIDReused)) // call uses POST
				again := &request.Request{Service: "booking", Customer: "pewright", Key: "k", ID: req.ID, Method: http.MethodGet, Path: "/x"}
				_, err = h.svc.Do(t.Context(), again)
				g.Expect(verdict.From(err).Code).To(Equal(verdict.CodeDuplicate))
				g.Expect(verdict.From(err).Verdict).To(Equal(verdict.Ran))
			})
		})
	}
}

// Guards against more requests in flight at a server than it has slots, and
// against requests that fail because of the order in which connections and slots
// become free: all must be served.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, s := newSingleServer(t, countingHandler())
		results := make(chan result, 100)
		for range 100 {
			go func() { results <- call(t.Context(), h.svc, newID(), "a") }()
		}
		start := time.Now()
		for range 100 {
			g.Expect((<-results).verdict).To(Equal(verdict.Ran))
		}
		g.Expect(time.Since(start)).To(Equal(50 * workTime))
		g.Expect(s.TotalRuns()).To(Equal(100))
	})
}

// Guards against ids that are lost, or taken over from the wrong leadership, when
// the leadership changes.
func TestLeadershipChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, s := newSingleServer(t, countingHandler())
		epoch := func(term uint32) topology.Fence { return topology.Fence{List: 1, Term: term} }
		id := newID()
		first := call(t.Context(), h.svc, id, "a")
		g.Expect(first.body).To(Equal("run 1"))
		g.Expect(h.svc.Continue(partition, epoch(2), epoch(3))).To(BeFalse(), "not the current epoch")
		g.Expect(h.svc.Continue(partition, epoch(1), epoch(2))).To(BeTrue())
		h.lead(2, time.Now(), s)
		g.Expect(call(t.Context(), h.svc, id, "a")).To(Equal(first))
		_, ok := h.svc.HandOver(partition, epoch(1))
		g.Expect(ok).To(BeFalse(), "not the current epoch")
		exported, ok := h.svc.HandOver(partition, epoch(2))
		g.Expect(ok).To(BeTrue())
		g.Expect(h.svc.TakeOver(partition, epoch(2), exported)).To(BeFalse(), "the leadership has begun")
		g.Expect(call(t.Context(), h.svc, id, "a")).To(Equal(result{code: verdict.CodeNotLeader, verdict: verdict.NotRun}))
		h.lead(1, time.Now(), s)
		g.Expect(call(t.Context(), h.svc, newID(), "a").code).To(Equal(verdict.CodeNotLeader), "an earlier leadership is refused")
		g.Expect(s.TotalRuns()).To(Equal(1))
	})
}
