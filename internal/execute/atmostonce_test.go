package execute_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// exchangeFault is a fault in the first attempt.
type exchangeFault struct {
	name string
	conn serverfake.Fault
	// busy fills the slots, so that the attempt ends in the queue.
	busy bool
	// cancel ends the caller's context after this time.
	cancel time.Duration
	// freeze delays the moment at which the request takes effect.
	freeze time.Duration
	noVerdict,
	noOwner bool
}

var exchangeFaults = []exchangeFault{
	{name: "none"},
	{name: "dial refused", conn: serverfake.Refuse},
	{name: "broken before the write", conn: serverfake.Cut(0, -1)},
	{name: "broken in the head", conn: serverfake.Cut(30, -1)},
	{name: "broken in the body", conn: serverfake.Cut(450, -1)},
	{name: "broken before the answer", conn: serverfake.Cut(-1, 0)},
	{name: "broken in the head of the answer", conn: serverfake.Cut(-1, 40)},
	{name: "broken in the body of the answer", conn: serverfake.Cut(-1, 230)},
	{name: "answer late", conn: serverfake.Delay(3 * time.Second)},
	{name: "server frozen over the deadline", freeze: 2 * time.Second},
	{name: "no verdict", noVerdict: true},
	{name: "no owner", noOwner: true},
	{name: "deadline in the queue", busy: true},
	{name: "cancelled in the queue", busy: true, cancel: 5 * time.Millisecond},
	{name: "cancelled at the server", cancel: 5 * time.Millisecond},
}

// leadership is what happens to the leadership after the first attempt has
// begun.
type leadership struct {
	name string
	// during is true if it happens while the attempt is in flight.
	during   bool
	handOver bool
	lost     bool
	// returns: the first host leads again after a repeat at the other host.
	returns, handOverBack bool
}

var leaderships = []leadership{
	{name: "kept"},
	{name: "lost after the attempt", lost: true},
	{name: "lost during the attempt", lost: true, during: true},
	{name: "handed over after the attempt", lost: true, handOver: true},
	{name: "handed over during the attempt", lost: true, handOver: true, during: true},
	{name: "lost and returned", lost: true, returns: true},
	{name: "handed over and returned", lost: true, handOver: true, returns: true, handOverBack: true},
	{name: "handed over and returned by a loss", lost: true, handOver: true, returns: true},
}

// trial is one cell of the table.
type trial struct {
	t      *testing.T
	fault  exchangeFault
	leader leadership
	server *serverfake.Instance
	hosts  [2]*host
	term   uint32
	id     string
	mu     sync.Mutex
	faulty bool // the fault of the server applies to the next request
}

// Guards against a second run of a request that may run at most once, and
// against an answer "not run" for a request that ran or runs later: a fault at
// every point, with each kind of leader change, and repeats through the host
// that leads then.
func TestAtMostOnce(t *testing.T) {
	for _, f := range exchangeFaults {
		for _, l := range leaderships {
			t.Run(f.name+"/"+l.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tr := &trial{t: t, fault: f, leader: l, faulty: true}
					tr.run()
				})
			})
		}
	}
}

func (tr *trial) run() {
	g := NewWithT(tr.t)
	tr.server = newServer(tr.t, "s1", tr.app)
	tr.hosts = [2]*host{newHost(tr.t, tr.server), newHost(tr.t, tr.server)}
	tr.lead(0, time.Now().Add(-time.Hour))
	if tr.fault.noOwner {
		tr.hosts[0].lead(1, time.Time{}, nil)
	}
	if tr.fault.busy {
		for range 2 {
			go call(tr.t.Context(), tr.hosts[0].svc, "", "busy")
		}
		synctest.Wait()
	}
	tr.server.FailNext(tr.fault.conn)
	tr.id = newID()
	if tr.leader.during {
		time.AfterFunc(2*time.Millisecond, tr.change)
	}
	first := tr.attempt(0)
	tr.check(g, 0, first)
	if !tr.leader.during {
		tr.change()
	}
	for range 3 {
		for at := range tr.hosts { // the same host and another
			before := tr.server.Runs(tr.id)
			tr.check(g, before, tr.attempt(at))
		}
	}
	time.Sleep(time.Minute)
	g.Expect(tr.server.Runs(tr.id)).To(BeNumerically("<=", 1))
}

// attempt sends the request to one host, and from there to the leader as the
// forwarding of a request does.
func (tr *trial) attempt(at int) result {
	ctx, cancel := context.WithTimeout(tr.t.Context(), time.Second)
	defer cancel()
	if tr.faulty && tr.fault.cancel > 0 {
		time.AfterFunc(tr.fault.cancel, cancel)
	}
	r := call(ctx, tr.hosts[at].svc, tr.id, "body")
	if r.code == verdict.CodeNotLeader {
		r = call(ctx, tr.hosts[1-at].svc, tr.id, "body")
	}
	return r
}

// check compares the answer with the runs, now and after all that is under way
// has ended.
func (tr *trial) check(g *WithT, before int, r result) {
	tr.mu.Lock()
	tr.faulty = false
	tr.mu.Unlock()
	time.Sleep(5 * time.Second)
	runs := tr.server.Runs(tr.id)
	g.Expect(runs).To(BeNumerically("<=", 1))
	switch r.verdict {
	case verdict.NotRun:
		g.Expect(runs).To(Equal(before), "answer %+v", r)
	case verdict.Ran:
		g.Expect(runs).To(Equal(1), "answer %+v", r)
	}
}

// change lets the other host lead.
func (tr *trial) change() {
	if !tr.leader.lost {
		tr.lead(0, time.Time{})
		return
	}
	tr.pass(0, 1, tr.leader.handOver)
	if tr.leader.returns {
		if !tr.leader.handOver { // an id that only the other host has seen
			time.Sleep(time.Second)
			tr.id = newID()
		}
		before := tr.server.Runs(tr.id)
		tr.check(NewWithT(tr.t), before, tr.attempt(1))
		tr.pass(1, 0, tr.leader.handOverBack)
	}
}

// pass moves the leadership between hosts.
func (tr *trial) pass(from, to int, handOver bool) {
	epoch := topology.Fence{List: 1, Term: tr.term}
	if handOver {
		if h, ok := tr.hosts[from].svc.HandOver(partition, epoch); ok {
			NewWithT(tr.t).Expect(tr.hosts[to].svc.TakeOver(partition, topology.Fence{List: 1, Term: tr.term + 1}, h)).To(BeTrue())
		}
	}
	tr.hosts[from].stop()
	tr.lead(to, time.Now())
}

func (tr *trial) lead(at int, since time.Time) {
	if at != 0 || tr.term == 0 || tr.leader.lost {
		tr.term++
	}
	tr.hosts[at].lead(tr.term, since, tr.server)
}

// app is the server's side of the faults.
func (tr *trial) app(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	tr.mu.Lock()
	faulty := tr.faulty
	tr.mu.Unlock()
	if faulty && tr.fault.noVerdict {
		w.Header().Del("Lyr-Verdict")
	}
	time.Sleep(work)
	if faulty {
		time.Sleep(tr.fault.freeze)
	}
	if r.Header.Get("Lyr-Request-Id") == "" {
		time.Sleep(4 * time.Second) // keeps the slot busy
	}
	_, _ = io.WriteString(w, "done")
}
