package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/httpserver"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// Guards against a request that a host without a responding leader sends to the same
// server several times within milliseconds, although the server does not own its
// key: each attempt uses the retry budget of the service, and none can succeed.
func TestNoRetryAtFormerOwnerWithoutLeader(t *testing.T) {
	g := NewWithT(t)
	client, _ := clientWithLeader(t)
	in := &ingress{leaderClient: client, budget: newRetryBudget(clock.NewMonotonic(), client.active)}
	c := &callerRequest{route: &fleet.Route{Idempotent: true, MaxAttempts: 3}, deadline: time.Now().Add(time.Minute), sends: 1}
	wrongServer := upstream.Outcome{Result: schedule.WrongServer, NotRun: true}
	for range 100 {
		in.budget.countRequest(0)
	}
	g.Expect(in.shouldRetry(c, wrongServer)).To(BeTrue(), "the leader grants the key again")
	client.mu.Lock()
	client.unansweredSince = client.clk.Now() - 2*leaderTimeout
	client.mu.Unlock()
	g.Expect(in.shouldRetry(c, wrongServer)).To(BeFalse())
	g.Expect(in.shouldRetry(c, upstream.Outcome{Result: schedule.ServerFull, NotRun: true})).To(BeTrue())
}

// Guards against a request that is refused because there are too many connections and cannot
// be found in the log, and against log lines as long as the id that a caller sends.
func TestTooManyConnectionsAreLogged(t *testing.T) {
	g := NewWithT(t)
	handler := memory.New()
	log.SetHandler(handler)
	t.Cleanup(func() { log.SetHandler(log.HandlerFunc(func(*log.Entry) error { return nil })) })
	in := &ingress{names: HTTPNames{RequestID: "X-Id"}, metrics: NewMetrics(), log: newRequestLog(new(clock.Manual))}
	id := strings.Repeat("i", 10000)
	response := in.handle(t.Context(), &httpserver.Request{
		Request: &http.Request{Header: http.Header{"X-Id": {id}}}, Arrived: time.Now(), TooManyConns: true,
	})
	g.Expect(response.Status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("X-Id")).To(Equal(id))
	g.Expect(handler.Entries).To(HaveLen(1))
	g.Expect(handler.Entries[0].Fields["id"]).To(Equal(id[:128]))
	g.Expect(handler.Entries[0].Fields["outcome"]).To(Equal("too-many-connections"))
}
