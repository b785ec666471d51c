package hedge_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// event is a step of a replay at a virtual time.
type event struct {
	at   time.Duration
	step func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	replayServers  = 20
	replaySlots    = 2
	replayHosts    = 5
	replayDeadline = 3 * time.Second
	// Work takes 10 ms and an exponential time of 30 ms; one request in 50 meets a pause
	// of 600 ms at its server.
	leastWork, moreWork, pause, pauseShare = 10 * ms, 30 * ms, 600 * ms, 0.02
)

// replay holds a service without keys, its leader and the hosts in virtual time.
type replay struct {
	now      time.Duration
	events   events
	rng      *rand.Rand
	sched    *schedule.Scheduler
	policies []*hedge.Policy
	requests map[schedule.JobID]*replayRequest
	number   uint32
	times    []time.Duration // of the requests
	refused  int
	hedges   int
	work     time.Duration // of all servers
}

// replayRequest is one request with its copies.
type replayRequest struct {
	host    int
	arrived time.Duration
	job     *schedule.Job
	copies  []*replayCopy
	done    bool
}

type replayCopy struct {
	id   schedule.JobID
	sent time.Duration
	over bool
}

func (r *replay) after(d time.Duration, step func()) { heap.Push(&r.events, event{r.now + d, step}) }

func (r *replay) job() *schedule.Job {
	r.number++
	return &schedule.Job{
		ID: schedule.JobID{HostIncarnation: 1, Number: r.number}, Class: 1, ContentHash: uint64(r.number), Key: schedule.NoKey, DataCentre: "a",
		Target: r.now + replayDeadline/2, Deadline: r.now + replayDeadline,
	}
}

func (r *replay) arrive() {
	req := &replayRequest{host: r.rng.IntN(replayHosts), arrived: r.now, job: r.job()}
	r.requests[req.job.ID] = req
	r.policies[req.host].CountRequest(1)
	r.sched.Add(req.job, r.now)
	r.decide()
}

// decide carries out the decisions of the leader that are due.
func (r *replay) decide() {
	for _, d := range r.sched.Decide(r.now) {
		if d.Refused {
			r.refused++
			continue
		}
		req := r.requests[d.Job.ID]
		r.send(req, d.Job.ID)
		if delay, known := r.policies[req.host].Delay(1, r.now); known {
			r.after(delay, func() { r.hedge(req) })
		}
	}
}

func (r *replay) send(req *replayRequest, id schedule.JobID) {
	c := &replayCopy{id: id, sent: r.now}
	req.copies = append(req.copies, c)
	work := leastWork + time.Duration(r.rng.ExpFloat64()*float64(moreWork))
	if r.rng.Float64() < pauseShare {
		work += pause
	}
	r.after(work, func() {
		if !c.over {
			r.finish(req, c)
		}
	})
}

func (r *replay) hedge(req *replayRequest) {
	p := r.policies[req.host]
	if req.done || p.Decide(hedge.Request{
		Service: 1, Class: 1, Sends: 1, MaxSends: 4, PossibleRuns: 1, MaxAttempts: 2, Left: req.arrived + replayDeadline - r.now, LeaderResponds: true,
	}, r.now) != hedge.Allowed {
		return
	}
	second := r.job()
	if r.sched.Hedge(second, req.job.ID, r.now).Refused {
		p.Return(1)
		return
	}
	r.hedges++
	r.send(req, second.ID)
}

// finish ends a request with the response to one of its copies.
func (r *replay) finish(req *replayRequest, used *replayCopy) {
	req.done = true
	r.times = append(r.times, r.now-req.arrived)
	r.policies[req.host].Observe(1, r.now-req.copies[0].sent, r.now)
	for _, c := range req.copies {
		result := schedule.CallerDisconnected
		if c == used {
			result = schedule.Succeeded
		}
		c.over = true
		r.work += r.now - c.sent
		r.sched.HandleReport(schedule.Report{ID: c.id, Result: result, Duration: r.now - c.sent}, r.now)
	}
	r.decide()
}

// run replays a load of requests a second, with a share of extra work.
func run(seed uint64, length time.Duration, perSecond, share float64) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 0)), sched: schedule.New(false, schedule.Settings{RemoteCost: 4}), requests: make(map[schedule.JobID]*replayRequest)}
	servers := make(map[topology.ServerID]schedule.Server)
	for i := range replayServers {
		servers[topology.ServerID(fmt.Sprintf("s-%02d", i))] = schedule.Server{Address: "x", DataCentre: "a", Slots: replaySlots}
	}
	r.sched.SetServers(servers, 0)
	for range replayHosts {
		r.policies = append(r.policies, hedge.New(share))
	}
	var next func()
	next = func() {
		if r.now < length {
			r.arrive()
			r.after(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.step()
	}
	slices.Sort(r.times)
	return r
}

func (r *replay) quantile(q float64) time.Duration {
	return r.times[int(q*float64(len(r.times)))].Round(ms)
}

func (r *replay) String() string {
	return fmt.Sprintf("%d answered, %d refused, p50 %v, p90 %v, p99 %v, p99.9 %v, hedges %.4f of the requests, work %v",
		len(r.times), r.refused, r.quantile(0.5), r.quantile(0.9), r.quantile(0.99), r.quantile(0.999), float64(r.hedges)/float64(len(r.times)+r.refused), r.work.Round(time.Second))
}

// Replays a load with a slow tail while half of the slots are free. Guards against hedges
// that do not halve the slowest hundredth, or that cost more than their share.
func TestSlowTailWithFreeSlots(t *testing.T) {
	for seed := range uint64(3) {
		g := NewWithT(t)
		const perSecond = 380 // half of what 40 slots can do
		without := run(seed, 2*time.Minute, perSecond, 0)
		t.Logf("seed %d, share 0: %v", seed, without)
		g.Expect(without.hedges).To(BeZero())
		for _, share := range []float64{0.02, 0.05, 0.2} {
			with := run(seed, 2*time.Minute, perSecond, share)
			t.Logf("seed %d, share %g: %v", seed, share, with)
			g.Expect(float64(with.hedges)).To(BeNumerically("<=", share*float64(len(with.times)+with.refused)))
			g.Expect(with.refused).To(BeZero())
			g.Expect(with.quantile(0.5)).To(BeNumerically("<=", without.quantile(0.5)*11/10))
			if share >= 0.05 {
				g.Expect(with.quantile(0.99)).To(BeNumerically("<=", without.quantile(0.99)/2))
			}
		}
	}
}

// Replays more load than the slots can do. Guards against hedges that take slots from
// requests that wait.
func TestNoHedgesWhileRequestsWait(t *testing.T) {
	g := NewWithT(t)
	const perSecond = 1000
	without, with := run(1, 20*time.Second, perSecond, 0), run(1, 20*time.Second, perSecond, 0.2)
	t.Logf("share 0: %v", without)
	t.Logf("share 0.2: %v", with)
	g.Expect(with.hedges).To(BeNumerically("<=", len(with.times)/1000))
	g.Expect(len(with.times)).To(BeNumerically(">=", len(without.times)*99/100))
}
