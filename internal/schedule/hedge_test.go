package schedule_test

import (
	"cmp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// hedgePool is a service without keys with two servers.
type hedgePool struct {
	s       *schedule.Scheduler
	servers map[topology.ServerID]schedule.Server
}

func newHedgePool(slots int) *hedgePool {
	p := &hedgePool{s: schedule.New(false, schedule.Settings{RemoteCost: 2}), servers: pool(2)}
	p.change(func(s *schedule.Server) { s.Slots = slots }, id(0), id(1))
	return p
}

func (p *hedgePool) change(f func(*schedule.Server), ids ...topology.ServerID) {
	for _, id := range ids {
		s := p.servers[id]
		f(&s)
		p.servers[id] = s
	}
	p.s.SetServers(p.servers, 0)
}

// start adds a request and returns it with the server that it was assigned to.
func (p *hedgePool) start() (*schedule.Job, topology.ServerID) {
	j := job(schedule.NoKey, 1, 0, time.Second, 2*time.Second)
	p.s.Add(j, 0)
	for _, d := range p.s.Decide(0) {
		if d.Job == j {
			return j, d.Server
		}
	}
	return j, ""
}

// run runs one request at each server, and ends that at the second with a result.
func (p *hedgePool) run(g Gomega, r schedule.Result, took time.Duration) {
	p.runBoth(g, schedule.Report{Duration: 100 * ms}, schedule.Report{Result: r, Duration: took})
}

func (p *hedgePool) runBoth(g Gomega, ends ...schedule.Report) {
	for i, end := range ends {
		j, server := p.start()
		g.Expect(server).To(Equal(id(i)))
		end.ID = j.ID
		defer p.s.HandleReport(end, 0)
	}
}

// Guards against a second copy that waits in the queue, that gets the server of the first or
// a worse one, or that takes a slot that another request needs.
func TestHedgeGetsNoWorseServer(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(g Gomega, p *hedgePool)
		// beside changes the service once the first copy runs.
		beside func(g Gomega, p *hedgePool, first *schedule.Job)
		slots  int
		sent   bool
	}{
		"equal server":  {sent: true},
		"faster server": {sent: true, prepare: func(g Gomega, p *hedgePool) { p.run(g, schedule.Succeeded, 100*ms) }},
		"slower server": {prepare: func(g Gomega, p *hedgePool) { p.run(g, schedule.Succeeded, 150*ms) }},
		"failing server": {prepare: func(g Gomega, p *hedgePool) {
			p.run(g, schedule.Failed, 100*ms)
		}},
		"two servers without connections": {prepare: func(g Gomega, p *hedgePool) {
			p.runBoth(g, schedule.Report{Result: schedule.ConnectFailed}, schedule.Report{Result: schedule.ConnectFailed})
		}},
		"full server": {prepare: func(g Gomega, p *hedgePool) {
			p.runBoth(g, schedule.Report{Result: schedule.Failed}, schedule.Report{Result: schedule.ServerFull})
		}},
		"cold server": {prepare: func(_ Gomega, p *hedgePool) { p.change(func(s *schedule.Server) { s.WarmupLeft = time.Second }, id(1)) }},
		"limited server": {prepare: func(_ Gomega, p *hedgePool) {
			p.s.SetLimit(id(1), schedule.Limit{Stated: true, PerSecond: 1000}, schedule.LimitShare{}, -time.Second)
		}},
		"server that asked for a pause": {prepare: func(_ Gomega, p *hedgePool) { p.s.SetPause(9, id(1), 0, time.Second, 0) }},
		"server in another data centre": {prepare: func(_ Gomega, p *hedgePool) { p.change(func(s *schedule.Server) { s.DataCentre = "b" }, id(1)) }},
		"no other server": {prepare: func(_ Gomega, p *hedgePool) {
			delete(p.servers, id(1))
			p.s.SetServers(p.servers, 0)
		}},
		"server of the first copy drains": {beside: func(_ Gomega, p *hedgePool, _ *schedule.Job) {
			delete(p.servers, id(0))
			p.s.SetServers(p.servers, 0)
		}},
		"first copy has ended": {beside: func(_ Gomega, p *hedgePool, first *schedule.Job) {
			p.s.HandleReport(schedule.Report{ID: first.ID, Duration: 100 * ms}, 0)
		}},
		"last free slot": {slots: 1},
		"requests wait": {beside: func(g Gomega, p *hedgePool, _ *schedule.Job) {
			var ended []schedule.JobID
			for range 8 {
				if j, server := p.start(); server == id(1) {
					ended = append(ended, j.ID)
				}
			}
			for _, id := range ended {
				p.s.HandleReport(schedule.Report{ID: id, Duration: 100 * ms}, 0)
			}
			waiting, running, _ := p.s.Counts()
			g.Expect([]int{waiting, running}).To(Equal([]int{1, 4}))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newHedgePool(cmp.Or(c.slots, 4))
			if c.prepare != nil {
				c.prepare(g, p)
			}
			first, server := p.start()
			g.Expect(server).To(Equal(id(0)))
			if c.beside != nil {
				c.beside(g, p, first)
			}
			waiting, running, _ := p.s.Counts()
			second := job(schedule.NoKey, 1, 0, time.Second, 2*time.Second)
			d := p.s.Hedge(second, first.ID, 0)
			g.Expect(d.Refused).To(Equal(!c.sent), "%v", d)
			g.Expect(p.s.Contains(second.ID)).To(Equal(c.sent))
			if c.sent {
				g.Expect(d.Server).To(Equal(id(1)))
				running++
			}
			after := [2]int{}
			after[0], after[1], _ = p.s.Counts()
			g.Expect(after).To(Equal([2]int{waiting, running}))
		})
	}
	s := keyed(ownedBy(id(0)), 2)
	first := job(1, 1, 0, time.Second, 2*time.Second)
	s.Add(first, 0)
	s.Decide(0)
	NewWithT(t).Expect(s.Hedge(job(1, 1, 0, time.Second, 2*time.Second), first.ID, 0).Refused).To(BeTrue(), "a keyed service")
}

// Guards against a slot of the copy that lost that counts as busy, and against a server that
// loses each race and never counts as slow, since its responses are not waited for.
func TestLostRace(t *testing.T) {
	g := NewWithT(t)
	p := newHedgePool(4)
	first, _ := p.start()
	second := job(schedule.NoKey, 1, 0, time.Second, 2*time.Second)
	p.s.Hedge(second, first.ID, 0)
	p.s.HandleReport(schedule.Report{ID: second.ID, Duration: 100 * ms}, 0)
	p.s.HandleReport(schedule.Report{ID: first.ID, Result: schedule.CallerDisconnected, Duration: 400 * ms}, 0)
	_, running, _ := p.s.Counts()
	g.Expect(running).To(BeZero())
	g.Expect(p.s.Slowness(id(0))).To(BeNumerically(">", 1.3))
	left, server := p.start()
	before := p.s.Slowness(server)
	p.s.HandleReport(schedule.Report{ID: left.ID, Result: schedule.CallerDisconnected, Duration: time.Second}, 0)
	g.Expect(p.s.Slowness(server)).To(Equal(before), "a caller that disconnects without a second copy")
}
