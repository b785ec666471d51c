package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// limitedServer replays requests for the keys of one server that names a limit. Its
// hosts place them through the scheduler of a leader or, while none responds, each
// through its own.
type limitedServer struct {
	limit float64 // requests a second
	load  float64 // requests a second that callers send
	// jitter is the largest part by which a response names less than the limit.
	jitter float64
	work   time.Duration

	rng       *rand.Rand
	now       time.Duration
	leader    *schedule.Scheduler
	fallbacks []*schedule.Scheduler
	phases    []float64 // of the fallbacks
	leaderUp  bool
	namedAt   time.Duration // of the first response with the limit; zero before
	toldAt    map[int]time.Duration
	running   []exchange
	arrivals  []arrival
	refusals  []time.Duration // waits of refused requests
	due       float64
}

// exchange is a request at the server.
type exchange struct {
	job    *schedule.Job
	host   int
	sender *schedule.Scheduler
	ends   time.Duration
}

// arrival is a request that reached the server; told is true if its host had known the
// limit for half a second.
type arrival struct {
	at   time.Duration
	told bool
}

const limitStep = 20 * ms

func newLimitedServer(seed uint64, hosts int, limit, load float64) *limitedServer {
	l := &limitedServer{
		limit: limit, load: load, work: 100 * ms, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		leaderUp: true, toldAt: make(map[int]time.Duration),
	}
	l.elect()
	for range hosts {
		l.fallbacks = append(l.fallbacks, keyed(ownedBy(id(0)), 1))
		l.phases = append(l.phases, l.rng.Float64())
	}
	return l
}

// elect starts the scheduler of a new leader, which learns the limit from the hosts
// that know it.
func (l *limitedServer) elect() {
	l.leader = keyed(ownedBy(id(0)), 1)
	if len(l.toldAt) > 0 {
		l.leader.SetLimit(id(0), schedule.Limit{Stated: true, PerSecond: l.limit}, schedule.LimitShare{}, l.now)
	}
}

// run lets the time pass.
func (l *limitedServer) run(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += limitStep {
		l.finish()
		for l.due += l.load * limitStep.Seconds(); l.due >= 1; l.due-- {
			j := job(1, 1, l.now, 300*ms, 800*ms)
			host := l.rng.IntN(len(l.fallbacks))
			j.ID.HostIncarnation = uint64(host)
			sender := l.fallbacks[host]
			if l.leaderUp {
				sender = l.leader
			}
			sender.Add(j, l.now)
		}
		l.decide(l.leader)
		for _, f := range l.fallbacks {
			l.decide(f)
		}
	}
}

// decide sends and refuses requests as the scheduler decides.
func (l *limitedServer) decide(s *schedule.Scheduler) {
	for _, d := range s.Decide(l.now) {
		if d.Refused {
			l.refusals = append(l.refusals, l.now-(d.Job.Deadline-800*ms))
			continue
		}
		host := int(d.Job.ID.HostIncarnation)
		told, ok := l.toldAt[host]
		l.arrivals = append(l.arrivals, arrival{at: l.now, told: ok && l.now-told >= 500*ms})
		l.running = append(l.running, exchange{job: d.Job, host: host, sender: s, ends: l.now + l.work})
	}
}

// finish ends the exchanges whose response has arrived.
func (l *limitedServer) finish() {
	kept := l.running[:0]
	for _, e := range l.running {
		if e.ends > l.now {
			kept = append(kept, e)
			continue
		}
		e.sender.HandleReport(schedule.Report{ID: e.job.ID, Result: schedule.Succeeded, Duration: l.work}, l.now)
		limit := schedule.Limit{Stated: true, PerSecond: l.limit * (1 - l.jitter*l.rng.Float64())}
		l.fallbacks[e.host].SetLimit(id(0), limit, schedule.LimitShare{Hosts: len(l.fallbacks), Phase: l.phases[e.host]}, l.now)
		if l.leaderUp {
			l.leader.SetLimit(id(0), limit, schedule.LimitShare{}, l.now)
		}
		if _, ok := l.toldAt[e.host]; !ok {
			l.toldAt[e.host] = l.now
		}
		if l.namedAt == 0 {
			l.namedAt = l.now
		}
	}
	l.running = kept
}

// most returns the largest number of arrivals in four seconds from hosts that knew
// the limit, from three seconds after it was first named.
func (l *limitedServer) most() int {
	most := 0
	for i, from := range l.arrivals {
		if from.at < l.namedAt+3*time.Second {
			continue
		}
		n := 0
		for _, a := range l.arrivals[i:] {
			if a.told && a.at-from.at < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (l *limitedServer) allowed() float64 { return 1.5*l.limit*4 + 5 }

// Guards against a server that gets more requests than it says it accepts, or far
// fewer, and against requests that are held although its limit leaves no time for
// them.
func TestLimitedServerGetsWhatItAccepts(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedServer(1, 11, 2.3, 10)
	l.run(20 * time.Second)
	g.Expect(l.most()).To(BeNumerically("<=", l.allowed()))
	g.Expect(len(l.arrivals)).To(BeNumerically(">", 20*2.3*0.9))
	for _, held := range l.refusals {
		g.Expect(held).To(BeNumerically("<", 800*ms-l.work))
	}
	atOnce := 0
	for _, held := range l.refusals {
		if held < 2*limitStep {
			atOnce++
		}
	}
	g.Expect(float64(atOnce)).To(BeNumerically(">", 0.9*float64(len(l.refusals))))
}

// Guards against a server that gets more requests than it says it accepts while the
// leader changes or does not respond, and each host places requests by itself.
func TestLimitHoldsWithoutLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := newLimitedServer(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 70).Draw(t, "hosts"),
			rapid.Float64Range(0, 15).Draw(t, "limit"), rapid.Float64Range(1, 60).Draw(t, "load"))
		l.jitter = rapid.Float64Range(0, 0.3).Draw(t, "jitter")
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			l.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "pause")) * 100 * ms)
			l.leaderUp = rapid.Bool().Draw(t, "leader")
			if l.leaderUp {
				l.elect()
			}
		}
		l.run(8 * time.Second)
		g.Expect(l.most()).To(BeNumerically("<=", l.allowed()))
	})
}

// Guards against a server whose limit is kept after its response no longer names it,
// after it has started again, or for ever if it gets no requests.
func TestLimitEnds(t *testing.T) {
	const burst = 6
	sent := func(s *schedule.Scheduler, now time.Duration) int {
		n := 0
		for range burst {
			s.Add(job(1, 1, now, 300*ms, 800*ms), now)
			n += len(s.Decide(now))
		}
		return n
	}
	limited := func() *schedule.Scheduler {
		s := keyed(ownedBy(id(0)), 1)
		s.SetLimit(id(0), schedule.Limit{Stated: true, PerSecond: 0.5}, schedule.LimitShare{}, time.Hour)
		return s
	}
	for _, c := range []struct {
		name   string
		change func(s *schedule.Scheduler)
		after  time.Duration
		free   bool
	}{
		{name: "named", change: func(*schedule.Scheduler) {}, after: 10 * ms},
		{name: "a response says nothing", change: func(s *schedule.Scheduler) { s.SetLimit(id(0), schedule.Limit{}, schedule.LimitShare{}, time.Hour) }, after: 10 * ms},
		{name: "a response names none", change: func(s *schedule.Scheduler) { s.SetLimit(id(0), schedule.NoLimit(), schedule.LimitShare{}, time.Hour) }, after: 10 * ms, free: true},
		{name: "the server has started again", change: func(s *schedule.Scheduler) {
			servers := pool(1)
			again := servers[id(0)]
			again.Incarnation++
			servers[id(0)] = again
			s.SetServers(servers, time.Hour)
		}, after: 10 * ms, free: true},
		{name: "no response for long", change: func(*schedule.Scheduler) {}, after: schedule.MaxLimitAge + 3*time.Second, free: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := limited()
			c.change(s)
			g.Expect(s.Capacity(id(0), time.Hour+c.after) > 1).To(Equal(c.free))
			if c.free {
				g.Expect(sent(s, time.Hour+c.after)).To(BeNumerically(">=", 2))
			}
		})
	}
}

// Guards against a service without keys that sends a limited server more than it
// accepts, leaves the others idle meanwhile, or holds requests that it cannot serve.
func TestLimitedServersOfServiceWithoutKeys(t *testing.T) {
	const (
		limit = 2.0 // requests a second
		load  = 60  // requests a second
		work  = 100 * ms
		total = 10 * time.Second
	)
	for _, c := range []struct {
		name    string
		limited int // of six servers
		served  float64
	}{
		{name: "one server", limited: 1, served: 0.95 * load * total.Seconds()},
		{name: "all servers", limited: 6, served: 0.9 * 6 * limit * total.Seconds()},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := schedule.New(false, schedule.Settings{RemoteCost: 2})
			s.SetServers(pool(6), 0)
			for i := range c.limited {
				s.SetLimit(id(i), schedule.Limit{Stated: true, PerSecond: limit}, schedule.LimitShare{}, 0)
			}
			arrivals := make(map[topology.ServerID]int)
			ends := make(map[time.Duration][]schedule.Decision)
			served, due := 0, 0.0
			for now := time.Duration(0); now < total; now += limitStep {
				for _, d := range ends[now] {
					served++
					s.HandleReport(schedule.Report{ID: d.Job.ID, Result: schedule.Succeeded, Duration: work}, now)
				}
				for due += load * limitStep.Seconds(); due >= 1; due-- {
					s.Add(job(schedule.NoKey, 1, now, 300*ms, 800*ms), now)
				}
				for _, d := range s.Decide(now) {
					if d.Refused {
						g.Expect(now).To(BeNumerically("<", d.Job.Deadline-work))
						continue
					}
					arrivals[d.Server]++
					ends[now+work] = append(ends[now+work], d)
				}
			}
			for i := range c.limited {
				g.Expect(float64(arrivals[id(i)])).To(BeNumerically("<=", limit*total.Seconds()+limit+1))
			}
			g.Expect(float64(served)).To(BeNumerically(">=", c.served))
		})
	}
}

// Guards against a host whose next turn comes early each time that a response names
// another limit than the one before.
func TestVaryingLimitGivesNoExtraTurns(t *testing.T) {
	g := NewWithT(t)
	const total = 20 * time.Second
	s := keyed(ownedBy(id(0)), 1)
	share := schedule.LimitShare{Hosts: 1, Phase: 0.95}
	rates := []float64{2, 2.4}
	sent := 0
	for now := time.Duration(0); now < total; now += limitStep {
		if sent == 0 {
			s.SetLimit(id(0), schedule.Limit{Stated: true, PerSecond: rates[0]}, share, now)
		}
		s.Add(job(1, 1, now, 300*ms, 800*ms), now)
		for _, d := range s.Decide(now) {
			if d.Refused {
				continue
			}
			sent++
			s.HandleReport(schedule.Report{ID: d.Job.ID, Result: schedule.Succeeded, Duration: 10 * ms}, now)
			s.SetLimit(id(0), schedule.Limit{Stated: true, PerSecond: rates[sent%len(rates)]}, share, now)
		}
	}
	g.Expect(sent).To(BeNumerically("<=", rates[1]/2*total.Seconds()+1), "hosts without a leader use half of a limit")
}
