package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
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
