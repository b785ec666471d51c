package hedge_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hedge"
)

const ms = time.Millisecond

// policy returns a Policy that has seen n responses of class 1 in 20 ms, and one in ten
// in 60 ms.
func policy(share float64, n int) *hedge.Policy {
	p := hedge.New(share)
	for i := range n {
		took := 20 * ms
		if i%10 == 0 {
			took = 60 * ms
		}
		p.Observe(1, took, 0)
	}
	return p
}

var request = hedge.Request{Service: 1, Class: 1, Sends: 1, MaxSends: 4, PossibleRuns: 1, MaxAttempts: 2, Left: time.Second, LeaderResponds: true}

// Guards against a delay that is not that of the class itself, that is known too early, or
// that does not follow a change.
func TestDelayOfClass(t *testing.T) {
	g := NewWithT(t)
	p := policy(0.1, 30)
	_, known := p.Delay(1, 0)
	g.Expect(known).To(BeFalse(), "after 30 responses")
	p = policy(0.1, 200)
	_, known = p.Delay(2, 0)
	g.Expect(known).To(BeFalse(), "of another class")
	delay, known := p.Delay(1, 0)
	g.Expect(known).To(BeTrue())
	g.Expect(delay).To(BeNumerically("~", 60*ms, 6*ms))
	for i := range 200 {
		p.Observe(1, 200*ms, time.Duration(i)*100*ms)
	}
	delay, _ = p.Delay(1, 20*time.Second)
	g.Expect(delay).To(BeNumerically("~", 200*ms, 20*ms))
	_, known = p.Delay(1, 10*time.Minute)
	g.Expect(known).To(BeFalse(), "ten minutes without responses")
	for range 100 {
		p.Observe(3, time.Microsecond, 0)
	}
	delay, _ = p.Delay(3, 0)
	g.Expect(delay).To(Equal(15*ms), "the least delay")
}

// Guards against memory that grows with the names of routes.
func TestClassesAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := hedge.New(0.1)
	observe := func(class uint32, at time.Duration) bool {
		for range 50 {
			p.Observe(class, 20*ms, at)
		}
		_, known := p.Delay(class, at)
		return known
	}
	for class := range uint32(500) {
		g.Expect(observe(class, 0)).To(BeTrue())
	}
	g.Expect(observe(1000, 0)).To(BeFalse())
	g.Expect(observe(1000, time.Hour)).To(BeTrue(), "once the others are out of use")
}

// Guards against a hedge that is sent although one of its conditions does not hold.
func TestDenials(t *testing.T) {
	for _, c := range []struct {
		change func(*hedge.Request)
		want   hedge.Denial
	}{
		{func(*hedge.Request) {}, hedge.Allowed},
		{func(r *hedge.Request) { r.Class = 2 }, hedge.FewObservations},
		{func(r *hedge.Request) { r.Service = 2 }, hedge.Share},
		{func(r *hedge.Request) { r.PossibleRuns = 2 }, hedge.Attempts},
		{func(r *hedge.Request) { r.Sends = 4 }, hedge.Attempts},
		{func(r *hedge.Request) { r.Left = 30 * ms }, hedge.NoTime},
		{func(r *hedge.Request) { r.LeaderResponds = false }, hedge.NoLeader},
	} {
		p := policy(0.1, 200)
		for range 20 {
			p.CountRequest(1)
		}
		r := request
		c.change(&r)
		NewWithT(t).Expect(p.Decide(r, 0)).To(Equal(c.want), "%+v", r)
	}
}

// Guards against more extra work than the share of the requests: at the start, in bursts
// after a quiet time, and by hedges that are counted twice or never.
func TestShareIsNeverExceeded(t *testing.T) {
	g := NewWithT(t)
	for share, most := range map[float64]int{0: 0, 0.01: 10, 0.05: 50, 0.2: 200, 5: 200, -1: 0} {
		p := policy(share, 200)
		sent := 0
		for n := range 1000 {
			p.CountRequest(1)
			switch {
			case p.Decide(request, 0) != hedge.Allowed:
			case n%2 == 0:
				p.Return(1) // the leader has no server
			default:
				sent++
			}
			g.Expect(float64(sent)).To(BeNumerically("<=", min(0.2, max(0, share))*float64(n+1)+1e-9))
		}
		g.Expect(sent).To(BeNumerically(">=", most*9/10), "share %g", share)
		for range 1000 {
			p.CountRequest(1)
		}
		burst := 0
		for p.Decide(request, 0) == hedge.Allowed {
			burst++
		}
		g.Expect(burst).To(BeNumerically("<=", 3))
	}
}
