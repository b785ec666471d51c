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

// exchangeFault is a fault during the first attempt.
type exchangeFault struct {
	name string
	conn serverfake.Fault
	// busy occupies all slots, so that the attempt ends in the queue.
	busy bool
	// cancel ends the caller's context after this time.
	cancel time.Duration
	// freezeTime is how long the server pauses while it runs the request.
	freezeTime time.Duration
	noVerdict,
	noOwner bool
}

var exchangeFaults = []exchangeFault{
	{name: "none"},
	{name: "dial refused", conn: serverfake.Refuse},
	{name: "connection cut before the write", conn: serverfake.Cut(0, -1)},
	{name: "connection cut in the request head", conn: serverfake.Cut(30, -1)},
	{name: "connection cut in the request body", conn: serverfake.Cut(450, -1)},
	{name: "connection cut before the response", conn: serverfake.Cut(-1, 0)},
	{name: "connection cut in the response head", conn: serverfake.Cut(-1, 40)},
	{name: "connection cut in the response body", conn: serverfake.Cut(-1, 230)},
	{name: "late response", conn: serverfake.Delay(3 * time.Second)},
	{name: "server frozen beyond the deadline", freezeTime: 2 * time.Second},
	{name: "no verdict", noVerdict: true},
	{name: "no owner", noOwner: true},
	{name: "deadline in the queue", busy: true},
	{name: "cancelled in the queue", busy: true, cancel: 5 * time.Millisecond},
	{name: "cancelled at the server", cancel: 5 * time.Millisecond},
}

// leadershipChange is what happens to the leadership after the first attempt has
// begun.
type leadershipChange struct {
	name string
	// during is true if the change happens while the attempt is in flight.
	during   bool
	handOver bool
	lost     bool
	// leadsAgain is true if the first host leads again after the request was
	// repeated at the other host; handOverBack, if its state is handed back.
	leadsAgain, handOverBack bool
}

var leadershipChanges = []leadershipChange{
	{name: "kept"},
	{name: "lost after the attempt", lost: true},
	{name: "lost during the attempt", lost: true, during: true},
	{name: "handed over after the attempt", lost: true, handOver: true},
	{name: "handed over during the attempt", lost: true, handOver: true, during: true},
	{name: "lost, then regained", lost: true, leadsAgain: true},
	{name: "handed over and back", lost: true, handOver: true, leadsAgain: true, handOverBack: true},
	{name: "handed over, then regained without handover", lost: true, handOver: true, leadsAgain: true},
}

// scenario is one combination of a fault and a leadership change.
type scenario struct {
	t           *testing.T
	fault       exchangeFault
	change      leadershipChange
	server      *serverfake.Instance
	hosts       [2]*host
	term        uint32
	id          string
	mu          sync.Mutex
	injectFault bool // requests meet the fault of the server
}

// Guards against a second run of a request that may run at most once, and
// against the verdict NotRun for a request that ran or runs later. It combines a
// fault at each point of the exchange with each kind of leadership change, and
// repeats the request through the current leader.
func TestAtMostOnce(t *testing.T) {
	for _, f := range exchangeFaults {
		for _, l := range leadershipChanges {
			t.Run(f.name+"/"+l.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sc := &scenario{t: t, fault: f, change: l, injectFault: true}
					sc.run()
				})
			})
		}
	}
}

func (sc *scenario) run() {
	g := NewWithT(sc.t)
	sc.server = newServer(sc.t, "s1", sc.serve)
	sc.hosts = [2]*host{newHost(sc.t, sc.server), newHost(sc.t, sc.server)}
	sc.lead(0, time.Now().Add(-time.Hour))
	if sc.fault.noOwner {
		sc.hosts[0].lead(1, time.Time{}, nil)
	}
	if sc.fault.busy {
		for range 2 {
			go call(sc.t.Context(), sc.hosts[0].svc, "", "busy")
		}
		synctest.Wait()
	}
	sc.server.FailNext(sc.fault.conn)
	sc.id = newID()
	if sc.change.during {
		time.AfterFunc(2*time.Millisecond, sc.changeLeadership)
	}
	first := sc.attempt(0)
	sc.check(g, 0, first)
	if !sc.change.during {
		sc.changeLeadership()
	}
	for range 3 {
		for at := range sc.hosts { // the first host and the other one
			before := sc.server.RunCount(sc.id)
			sc.check(g, before, sc.attempt(at))
		}
	}
	time.Sleep(time.Minute)
	g.Expect(sc.server.RunCount(sc.id)).To(BeNumerically("<=", 1))
}

// attempt sends the request to one host. If that host does not lead, it sends it
// to the other one, as the dispatcher of a host does.
func (sc *scenario) attempt(at int) result {
	ctx, cancel := context.WithTimeout(sc.t.Context(), time.Second)
	defer cancel()
	if sc.injectFault && sc.fault.cancel > 0 {
		time.AfterFunc(sc.fault.cancel, cancel)
	}
	r := call(ctx, sc.hosts[at].svc, sc.id, "body")
	if r.code == verdict.CodeNotLeader {
		r = call(ctx, sc.hosts[1-at].svc, sc.id, "body")
	}
	return r
}

// check compares the verdict with the number of runs, after everything in flight
// has ended.
func (sc *scenario) check(g *WithT, before int, r result) {
	sc.mu.Lock()
	sc.injectFault = false
	sc.mu.Unlock()
	time.Sleep(5 * time.Second)
	runs := sc.server.RunCount(sc.id)
	g.Expect(runs).To(BeNumerically("<=", 1))
	switch r.verdict {
	case verdict.NotRun:
		g.Expect(runs).To(Equal(before), "result %+v", r)
	case verdict.Ran:
		g.Expect(runs).To(Equal(1), "result %+v", r)
	}
}

// changeLeadership applies the leadership change of the scenario.
func (sc *scenario) changeLeadership() {
	if !sc.change.lost {
		sc.lead(0, time.Time{})
		return
	}
	sc.transfer(0, 1, sc.change.handOver)
	if sc.change.leadsAgain {
		if !sc.change.handOver { // use an id that only the other host has seen
			time.Sleep(time.Second)
			sc.id = newID()
		}
		before := sc.server.RunCount(sc.id)
		sc.check(NewWithT(sc.t), before, sc.attempt(1))
		sc.transfer(1, 0, sc.change.handOverBack)
	}
}

// transfer moves the leadership from one host to another.
func (sc *scenario) transfer(from, to int, handOver bool) {
	epoch := topology.Fence{List: 1, Term: sc.term}
	if handOver {
		if h, ok := sc.hosts[from].svc.HandOver(partition, epoch); ok {
			NewWithT(sc.t).Expect(sc.hosts[to].svc.TakeOver(partition, topology.Fence{List: 1, Term: sc.term + 1}, h)).To(BeTrue())
		}
	}
	sc.hosts[from].stop()
	sc.lead(to, time.Now())
}

func (sc *scenario) lead(at int, since time.Time) {
	if at != 0 || sc.term == 0 || sc.change.lost {
		sc.term++
	}
	sc.hosts[at].lead(sc.term, since, sc.server)
}

// serve runs a request at the server, with the faults that the server causes.
func (sc *scenario) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	sc.mu.Lock()
	injectFault := sc.injectFault
	sc.mu.Unlock()
	if injectFault && sc.fault.noVerdict {
		w.Header().Del("Lyr-Verdict")
	}
	time.Sleep(workTime)
	if injectFault {
		time.Sleep(sc.fault.freezeTime)
	}
	if r.Header.Get("Lyr-Request-Id") == "" {
		time.Sleep(4 * time.Second) // requests without an id keep the slots busy
	}
	_, _ = io.WriteString(w, "done")
}
