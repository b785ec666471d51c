package gateway

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/clock"
)

// budgetFleet simulates the hosts of a deployment whose service refuses every
// request, so that each host sends as many retries as its budget permits.
type budgetFleet struct {
	clk    *clock.Manual
	active *activeBounds
	hosts  []*budgetHost
	// requests and retries hold the arrivals in each step since the start.
	requests, retries []float64
	// delay is the number of steps for which a retry waits for a server.
	delay int
}

// budgetHost is the process of one host.
type budgetHost struct {
	client *leaderClient
	budget *retryBudget
	load   float64 // requests in each step
	due    float64 // part of a request that is left over from earlier steps
	// waiting holds the retries that wait for a server, by the step in which they
	// are sent.
	waiting map[int]int
}

const (
	budgetStep   = 100 * time.Millisecond
	budgetWindow = 10 * time.Second
	// budgetAttempts bounds the retries of one request.
	budgetAttempts = maxSends - 1
)

func newBudgetFleet(n int, load float64) *budgetFleet {
	b := typicalBounds()
	b.RetryWindow = budgetWindow
	f := &budgetFleet{clk: &clock.Manual{}, active: newActiveBounds(b)}
	f.clk.Advance(time.Hour)
	for range n {
		h := &budgetHost{load: load}
		f.hosts = append(f.hosts, h)
		f.restart(h)
	}
	return f
}

// restart replaces the process of a host.
func (f *budgetFleet) restart(h *budgetHost) {
	h.client = newLeaderClient(f.clk, nil, 1, "a", func() {}, func() bool { return true })
	h.client.active = f.active
	h.budget = newRetryBudget(f.clk, f.active)
	h.waiting = make(map[int]int)
}

// follow makes the hosts follow a new leader. It tells each host the number of hosts
// that it has heard of so far, and all of them the full number afterwards.
func (f *budgetFleet) follow(hosts []*budgetHost) {
	for i, h := range hosts {
		h.client.setHostCount(i + 1)
		f.send(h)
	}
	for _, h := range hosts {
		h.client.setHostCount(len(hosts))
	}
}

// send counts the requests of one step at a host, and their retries.
func (f *budgetFleet) send(h *budgetHost) {
	last := len(f.requests) - 1
	if last < 0 {
		return
	}
	h.due += h.load
	for ; h.due >= 1; h.due-- {
		h.budget.countRequest(1)
		f.requests[last]++
		for range budgetAttempts {
			if h.budget.decideRetry(1, h.client.state().hosts).denied {
				break
			}
			h.waiting[last+f.delay]++
		}
	}
	for ; h.waiting[last] > 0; h.waiting[last]-- {
		h.budget.endRetryWait(1)
		f.retries[last]++
	}
}

// step advances the time and lets all hosts send.
func (f *budgetFleet) step() {
	f.clk.Advance(budgetStep)
	f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	for _, h := range f.hosts {
		f.send(h)
	}
}

func (f *budgetFleet) run(d time.Duration) {
	for range int(d / budgetStep) {
		f.step()
	}
}

// excess returns the largest number of retries in a window beyond the bound of
// the deployment. The requests are those of the window, of the one before it or of
// the one half a window before it, whichever are most.
func (f *budgetFleet) excess() float64 {
	length := int(budgetWindow / budgetStep)
	sum := func(counts []float64, from int) float64 {
		total := 0.0
		for i := max(0, from); i < min(from+length, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	b := f.active.bounds.Load()
	worst := math.Inf(-1)
	for from := range f.retries {
		requests := max(sum(f.requests, from), sum(f.requests, from-length), sum(f.requests, from-length/2))
		worst = max(worst, sum(f.retries, from)-b.RetryRatio*requests-b.RetrySlack)
	}
	return worst
}

// Guards against more retries of a service than its budget permits after many
// hosts have restarted: each took itself for the only host until it had heard from
// a leader, and used its share again that its predecessor had used.
func TestRestartedHostsKeepRetryBudget(t *testing.T) {
	g := NewWithT(t)
	f := newBudgetFleet(12, 3)
	f.follow(f.hosts)
	f.run(12 * time.Second)
	for range 3 {
		for _, h := range f.hosts {
			f.restart(h)
		}
		f.run(700 * time.Millisecond) // until the hosts hear from a leader
		f.follow(f.hosts)
		f.run(2300 * time.Millisecond)
	}
	f.run(12 * time.Second)
	g.Expect(f.excess()).To(BeNumerically("<=", 0))
}

// Guards against more retries of a service than its budget permits when hosts
// restart, follow a new leader that does not know all hosts yet, or are cut off
// from each other and follow two leaders.
func TestRetryBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := newBudgetFleet(rapid.IntRange(2, 24).Draw(t, "hosts"), rapid.Float64Range(0.05, 4).Draw(t, "load"))
		f.follow(f.hosts)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			f.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * budgetStep)
			cut := rapid.IntRange(0, len(f.hosts)).Draw(t, "cut")
			switch rapid.SampledFrom([]string{"restart", "lead", "cut"}).Draw(t, "event") {
			case "restart":
				for _, h := range f.hosts[:cut] {
					f.restart(h)
				}
				f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "silence")) * budgetStep)
				f.follow(f.hosts)
			case "lead":
				f.follow(f.hosts)
			case "cut":
				f.follow(f.hosts[:cut])
				f.follow(f.hosts[cut:])
			}
		}
		f.run(2 * budgetWindow)
		g.Expect(f.excess()).To(BeNumerically("<=", 0))
	})
}

// Guards against retries that were allowed within the budget and arrive together
// beyond it, because they waited for a server of an overloaded service.
func TestRetriesThatWaitStayInBudget(t *testing.T) {
	g := NewWithT(t)
	f := newBudgetFleet(12, 20)
	f.follow(f.hosts)
	for range 200 { // the service recovers: requests without retries
		f.clk.Advance(budgetStep)
		f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
		for _, h := range f.hosts {
			for range 20 {
				h.budget.countRequest(1)
				f.requests[len(f.requests)-1]++
			}
		}
	}
	f.delay = 30
	f.run(3 * time.Second)
	f.delay = 0
	f.run(20 * time.Second)
	g.Expect(f.excess()).To(BeNumerically("<=", 0))
}
