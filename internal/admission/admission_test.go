package admission_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/admission"
	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	serviceTime = 10 * time.Millisecond // mean service time
	timeout     = 500 * time.Millisecond
)

func newQueue(slots int) *admission.Queue {
	return admission.NewQueue(admission.Options{Clock: clock.NewMonotonic(), Slots: slots})
}

func flow(customer string) admission.Flow {
	return admission.Flow{Customer: topology.Customer(customer), Class: request.Interactive}
}

// workload is the requests of one customer. They arrive as a Poisson process.
type workload struct {
	customer  string
	rate      float64      // requests per second
	completed atomic.Int64 // before their deadlines
}

// runWorkloads runs the workloads against one queue with two slots for 30 s of
// virtual time. The server stops a request at its deadline, and the request then
// does not count as completed.
func runWorkloads(t *testing.T, seed uint64, exponential bool, workloads ...*workload) {
	q := newQueue(2)
	const duration = 30 * time.Second
	var maxBusy, busy atomic.Int64
	for i, w := range workloads {
		go func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for start := time.Now(); time.Since(start) < duration; {
				time.Sleep(time.Duration(rng.ExpFloat64() / w.rate * float64(time.Second)))
				took := serviceTime
				if exponential {
					took = time.Duration(rng.ExpFloat64() * float64(serviceTime))
				}
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					s, err := q.Acquire(ctx, flow(w.customer))
					if err != nil {
						return
					}
					if n := busy.Add(1); n > maxBusy.Load() {
						maxBusy.Store(n)
					}
					select {
					case <-time.After(took):
						w.completed.Add(1)
					case <-ctx.Done():
					}
					busy.Add(-1)
					s.Release(true)
				}()
			}
		}()
	}
	time.Sleep(duration + time.Minute)
	NewWithT(t).Expect(maxBusy.Load()).To(BeEquivalentTo(2))
}

// Guards against a collapse of goodput under overload, when requests that miss
// their deadline use the slots. At twice the capacity the goodput must exceed 90%
// of the goodput at capacity.
func TestGoodputUnderOverload(t *testing.T) {
	for _, exponential := range []bool{false, true} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				atCapacity, overloaded := &workload{customer: "a", rate: 200}, &workload{customer: "a", rate: 400}
				runWorkloads(t, seed, exponential, atCapacity)
				runWorkloads(t, seed, exponential, overloaded)
				ratio := float64(overloaded.completed.Load()) / float64(atCapacity.completed.Load())
				t.Logf("exponential %t, seed %d: goodput at twice the capacity is %.1f%% of that at capacity", exponential, seed, 100*ratio)
				NewWithT(t).Expect(ratio).To(BeNumerically(">", 0.9))
			})
		}
	}
}

// Guards against a customer that takes the slots of others. Four customers use
// 90% of the capacity, then one of them sends ten times as many requests. The
// others must lose less than 10% of their goodput.
func TestFairShare(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			var before, after int64
			for _, factor := range []float64{1, 10} {
				workloads := []*workload{{customer: "a", rate: 45 * factor}, {customer: "b", rate: 45}, {customer: "c", rate: 45}, {customer: "d", rate: 45}}
				runWorkloads(t, seed, true, workloads...)
				before = after
				after = 0
				for _, w := range workloads[1:] {
					after += w.completed.Load()
				}
			}
			ratio := float64(after) / float64(before)
			t.Logf("seed %d: the others keep %.1f%% of their goodput", seed, 100*ratio)
			NewWithT(t).Expect(ratio).To(BeNumerically(">", 0.9))
		})
	}
}

// fillSlots serves one request, so that the queue has a measured service time, and
// then takes the given number of slots.
func fillSlots(t *testing.T, q *admission.Queue, slots int) []*admission.Slot {
	s, err := q.Acquire(t.Context(), flow("x"))
	NewWithT(t).Expect(err).To(BeNil())
	time.Sleep(serviceTime)
	s.Release(true)
	var taken []*admission.Slot
	for range slots {
		s, err := q.Acquire(t.Context(), flow("x"))
		NewWithT(t).Expect(err).To(BeNil())
		taken = append(taken, s)
	}
	return taken
}

// Guards against a wrong order of service among requests with different deadlines,
// customers and classes.
func TestServiceOrder(t *testing.T) {
	type arrival struct {
		name    string
		flow    admission.Flow
		timeout time.Duration
	}
	background := admission.Flow{Customer: "a", Class: request.Background}
	for _, c := range []struct {
		name     string
		arrivals []arrival
		want     []string
	}{
		{"earliest deadline first", []arrival{{"late", flow("a"), 9 * time.Second}, {"early", flow("a"), 5 * time.Second}}, []string{"early", "late"}},
		{"alternates between customers", []arrival{{"a1", flow("a"), time.Second}, {"a2", flow("a"), 2 * time.Second}, {"b1", flow("b"), 9 * time.Second}}, []string{"a1", "b1", "a2"}},
		{"interactive four times as often as background", []arrival{
			{"b1", background, time.Second}, {"b2", background, time.Second}, {"i1", flow("a"), 4 * time.Second}, {"i2", flow("a"), 5 * time.Second}, {"i3", flow("a"), 6 * time.Second},
		}, []string{"b1", "i1", "i2", "i3", "b2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueue(1)
				taken := fillSlots(t, q, 1)
				served := make(chan string, 9)
				for _, a := range c.arrivals {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), a.timeout)
						defer cancel()
						s, err := q.Acquire(ctx, a.flow)
						if err != nil {
							served <- err.Error()
							return
						}
						served <- a.name
						time.Sleep(serviceTime)
						s.Release(true)
					}()
					synctest.Wait()
				}
				taken[0].Release(false)
				for _, want := range c.want {
					NewWithT(t).Expect(<-served).To(Equal(want))
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against slots that are leaked or freed twice when a wait ends without a
// slot, and against a wrong error or verdict for a request that was never sent.
func TestAcquireErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		cancel  bool
		code    verdict.Code
	}{
		{"expected wait and service time exceed the timeout", 15 * time.Millisecond, false, verdict.CodeOverload},
		{"deadline passes in the queue", time.Second, false, verdict.CodeDeadline},
		{"cancelled in the queue", time.Second, true, verdict.CodeCancelled},
		{"deadline has passed before", -time.Second, false, verdict.CodeDeadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				q := newQueue(2)
				taken := fillSlots(t, q, 2)
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				if c.cancel {
					time.AfterFunc(time.Millisecond, cancel)
				}
				_, err := q.Acquire(ctx, flow("a"))
				g.Expect(err.Code).To(Equal(c.code))
				g.Expect(err.Verdict).To(Equal(verdict.NotRun))
				for _, s := range taken {
					s.Release(false)
					s.Release(false) // the second call has no effect
				}
				busy, waiting := q.Load()
				g.Expect([]int{busy, waiting}).To(Equal([]int{0, 0}))
			})
		})
	}
}

// Guards against full load on a server that has just started, and against reuse of
// a slot while the server may still run an abandoned request.
func TestWarmupAndDelayedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newQueue(4)
		q.StartWarmup()
		for _, want := range []int{1, 2, 3, 4} {
			var taken []*admission.Slot
			for {
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				s, err := q.Acquire(ctx, flow("a"))
				cancel()
				if err != nil {
					break
				}
				taken = append(taken, s)
			}
			g.Expect(taken).To(HaveLen(want))
			for _, s := range taken {
				s.Release(false)
			}
			time.Sleep(2500 * time.Millisecond)
		}
		s, _ := q.Acquire(t.Context(), flow("a"))
		s.ReleaseAfter(time.Second)
		time.Sleep(time.Second - 1)
		busy, _ := q.Load()
		g.Expect(busy).To(Equal(1))
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		busy, _ = q.Load()
		g.Expect(busy).To(Equal(0))
	})
}

// Guards against a retry storm: the retries of a service must not exceed 10% of
// its requests within 10 s.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	clk := &clock.Manual{}
	b := admission.NewRetryBudget(clk)
	g.Expect(b.AllowRetry("s")).To(BeFalse())
	allowed := 0
	for i := range 990 { // all within the ten buckets of the window
		clk.Advance(10 * time.Millisecond)
		b.CountRequest("s")
		if b.AllowRetry("s") {
			allowed++
		}
		g.Expect(allowed * 10).To(BeNumerically("<=", i+1))
	}
	g.Expect(allowed).To(Equal(99))
	g.Expect(b.AllowRetry("other")).To(BeFalse())
	clk.Advance(11 * time.Second)
	g.Expect(b.AllowRetry("s")).To(BeFalse(), "requests from before the window must not count")
}

// Guards against a request that stays in the queue of a hanging server although
// its shard has moved to another server.
func TestShardMovesDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newQueue(1)
		occupied, verr := q.Acquire(t.Context(), flow("a"))
		g.Expect(verr).To(BeNil())
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		movesAt := time.Now().Add(time.Second)
		start := time.Now()
		_, verr = q.AcquireWhile(ctx, flow("a"), func() bool { return time.Now().Before(movesAt) })
		g.Expect(verr).To(HaveField("Code", verdict.CodeNoOwner))
		g.Expect(verr.Verdict).To(Equal(verdict.NotRun))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 1200*time.Millisecond))
		_, waiting := q.Load()
		g.Expect(waiting).To(BeZero())
		occupied.Release(true)
		slot, verr := q.AcquireWhile(ctx, flow("a"), func() bool { return true })
		g.Expect(verr).To(BeNil())
		slot.Release(true)
	})
}
