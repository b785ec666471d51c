package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const ms = time.Millisecond

func id(i int) topology.ServerID { return topology.ServerID(fmt.Sprintf("s%02d", i)) }

// pool returns n servers with two slots each.
func pool(n int) map[topology.ServerID]schedule.Server {
	m := make(map[topology.ServerID]schedule.Server)
	for i := range n {
		m[id(i)] = schedule.Server{Address: string(id(i)), DataCentre: "a", Slots: 2}
	}
	return m
}

var lastNumber uint32

// job returns a new job whose target and deadline are relative to now.
func job(key, priority int, now, target, deadline time.Duration) *schedule.Job {
	lastNumber++
	return &schedule.Job{
		ID: schedule.JobID{HostIncarnation: 1, Number: lastNumber}, Class: uint32(priority), Key: key, Priority: priority,
		DataCentre: "a", Target: now + target, Deadline: now + deadline,
	}
}

// keyed returns a scheduler of a keyed service.
func keyed(ownerOf func(key int) schedule.Owner, servers int) *schedule.Scheduler {
	s := schedule.New(true, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(servers), 0)
	s.SetOwners(1, ownerOf)
	return s
}

func ownedBy(server topology.ServerID) func(int) schedule.Owner {
	return func(int) schedule.Owner { return schedule.Owner{Server: server, Granted: true} }
}

// Guards against more requests at a server than it has slots: the excess would
// wait at the server, where it can no longer be reordered or refused.
func TestServerNeverExceedsItsSlots(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 2)
	var first *schedule.Job
	sent := 0
	for range 6 {
		j := job(1, 1, 0, 300*ms, 2*time.Second)
		if first == nil {
			first = j
		}
		s.Add(j, 0)
		sent += len(s.Decide(0))
	}
	g.Expect(sent).To(Equal(2))
	s.HandleReport(schedule.Report{ID: first.ID, Result: schedule.Succeeded, Duration: 50 * ms}, 50*ms)
	g.Expect(s.Decide(50 * ms)).To(HaveLen(1))
}

// Guards against sending a request whose caller has already disconnected.
func TestRemovedJobIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	var jobs []*schedule.Job
	for range 3 {
		jobs = append(jobs, job(1, 1, 0, 300*ms, 2*time.Second))
		s.Add(jobs[len(jobs)-1], 0)
		s.Decide(0)
	}
	s.Remove(jobs[2].ID)
	s.HandleReport(schedule.Report{ID: jobs[0].ID, Result: schedule.Succeeded, Duration: 50 * ms}, 50*ms)
	g.Expect(s.Decide(50 * ms)).To(BeEmpty())
}

// Queues requests with different priorities and targets. Guards against a late
// request that takes the slot of one that can still meet its target.
func TestQueueOrder(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	running := job(1, 1, 0, 300*ms, 2*time.Second)
	other := job(1, 1, 0, 300*ms, 2*time.Second)
	s.Add(running, 0)
	s.Add(other, 0)
	s.Decide(0)
	late := job(1, 0, 0, 60*ms, 2*time.Second)
	relaxed := job(1, 2, 0, 900*ms, 2*time.Second)
	soon := job(1, 1, 0, 400*ms, 2*time.Second)
	for _, j := range []*schedule.Job{late, relaxed, soon} {
		s.Add(j, 10*ms)
	}
	s.Decide(10 * ms)
	var order []*schedule.Job
	for _, j := range []*schedule.Job{running, other, soon} {
		s.HandleReport(schedule.Report{ID: j.ID, Result: schedule.Succeeded, Duration: 100 * ms}, 100*ms)
		for _, d := range s.Decide(100 * ms) {
			order = append(order, d.Job)
		}
	}
	g.Expect(order).To(Equal([]*schedule.Job{soon, relaxed, late}))
}

// Sends a server three times the requests that it can process, for three seconds.
// Guards against requests that are queued until their deadline although they
// cannot be completed, and against a server that is idle while requests are
// refused.
func TestSaturatedServer(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	const work = 100 * ms
	type run struct {
		job *schedule.Job
		end time.Duration
	}
	var running []run
	addedAt := make(map[schedule.JobID]time.Duration)
	var onTime, served, refused int
	var longestWait time.Duration
	handle := func(now time.Duration, decisions []schedule.Decision) {
		for _, d := range decisions {
			if d.Refused {
				refused++
				g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
				longestWait = max(longestWait, now-addedAt[d.Job.ID])
				continue
			}
			running = append(running, run{d.Job, now + work})
		}
	}
	for now := time.Duration(0); now < 3*time.Second; now += ms {
		if now%(17*ms) == 0 { // 59 requests/s; the server processes 20
			j := job(1, 1, now, 300*ms, 800*ms)
			addedAt[j.ID] = now
			s.Add(j, now)
		}
		unfinished := running[:0]
		for _, r := range running {
			if now < r.end {
				unfinished = append(unfinished, r)
				continue
			}
			s.HandleReport(schedule.Report{ID: r.job.ID, Result: schedule.Succeeded, Duration: work}, now)
			served++
			if now <= r.job.Target {
				onTime++
			}
		}
		running = unfinished
		handle(now, s.Decide(now))
	}
	g.Expect(served).To(BeNumerically(">=", 56), "two slots, 100 ms each, for three seconds")
	g.Expect(onTime).To(BeNumerically(">=", 50))
	g.Expect(refused).To(BeNumerically(">", 80))
	g.Expect(longestWait).To(BeNumerically("<", 400*ms), "half of the time until the deadline")
}

// Guards against requests that wait although their key cannot be granted before
// their deadline.
func TestUnownedKeyIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	freeAt := 2 * time.Second
	s := keyed(func(int) schedule.Owner { return schedule.Owner{Server: id(0), FreeAt: freeAt} }, 1)
	s.Add(job(1, 1, 0, 300*ms, 800*ms), 0)
	out := s.Decide(0)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Reason).To(Equal(schedule.NoOwner))
	g.Expect(out[0].RetryAfter).To(BeNumerically("~", freeAt, 10*ms))
}

// Guards against requests that are lost or refused while their key moves to
// another server.
func TestJobsFollowTheirKeyToItsNewOwner(t *testing.T) {
	g := NewWithT(t)
	owner := schedule.Owner{Server: id(0)}
	s := keyed(func(int) schedule.Owner { return owner }, 2)
	j := job(1, 1, 0, 300*ms, 800*ms)
	s.Add(j, 0)
	g.Expect(s.Decide(0)).To(BeEmpty())
	owner = schedule.Owner{Server: id(1), Granted: true}
	s.SetOwners(2, func(int) schedule.Owner { return owner })
	out := s.Decide(100 * ms)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Server).To(Equal(id(1)))
}

// Schedules requests on servers of different speeds, of which one always fails
// and one is in another data centre. Guards against a choice that ignores
// speed, failures and distance, such as round robin.
func TestFastAndHealthyServersArePreferred(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	servers := pool(4)
	servers["far"] = schedule.Server{Address: "far", DataCentre: "b", Slots: 2}
	s.SetServers(servers, 0)
	durations := map[topology.ServerID]time.Duration{id(0): 50 * ms, id(1): 100 * ms, id(2): 300 * ms, id(3): 100 * ms, "far": 100 * ms}
	counts := make(map[topology.ServerID]int)
	now := time.Duration(0)
	for range 400 {
		now += 10 * ms
		j := job(schedule.NoKey, 1, now, 300*ms, time.Second)
		s.Add(j, now)
		for _, d := range s.Decide(now) {
			counts[d.Server]++
			result := schedule.Succeeded
			if d.Server == id(3) {
				result = schedule.Broken
			}
			s.HandleReport(schedule.Report{ID: d.Job.ID, Result: result, Duration: durations[d.Server]}, now+durations[d.Server])
		}
	}
	g.Expect(counts[id(0)]).To(BeNumerically(">", 200))
	g.Expect(counts[id(2)] + counts[id(3)] + counts["far"]).To(BeNumerically("<", 60))
}

// Guards against retrying a request at the server that has just failed it.
func TestTriedServerIsAvoided(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(2), 0)
	j := job(schedule.NoKey, 1, 0, 300*ms, time.Second)
	j.Tried = []topology.ServerID{id(0)}
	s.Add(j, 0)
	g.Expect(s.Decide(0)[0].Server).To(Equal(id(1)))
}

// Guards against slots that stay occupied by requests of a host that has
// failed and sends no report.
func TestJobsOfFailedHostsExpire(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	for range 2 {
		s.Add(job(1, 1, 0, 300*ms, 800*ms), 0)
		s.Decide(0)
	}
	waiting := job(1, 1, time.Second, 300*ms, 5*time.Second)
	s.Add(waiting, time.Second)
	g.Expect(s.Decide(time.Second)).To(BeEmpty())
	g.Expect(s.Decide(1300 * ms)).To(HaveLen(1))
}

// Sends a request that crashes every server that runs it and that is retried.
// Guards against content that crashes one server after another, and against the
// refusal of requests that only lost their connection.
func TestHarmfulContent(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	servers := pool(3)
	s.SetServers(servers, 0)
	now := time.Duration(0)
	send := func(content uint64, crash bool) (refused bool) {
		now += time.Second
		j := job(schedule.NoKey, 1, now, 300*ms, 800*ms)
		j.ContentHash = content
		s.Add(j, now)
		d := s.Decide(now)[0]
		if d.Refused {
			g.Expect(d.Reason).To(Equal(schedule.Harmful))
			return true
		}
		s.HandleReport(schedule.Report{ID: j.ID, Result: schedule.Broken}, now)
		if crash {
			now += time.Second
			restarted := servers[d.Server]
			restarted.Incarnation++
			servers[d.Server] = restarted
			s.SetServers(servers, now)
		}
		return false
	}
	for range 3 {
		g.Expect(send(666, true)).To(BeFalse())
		g.Expect(send(5, false)).To(BeFalse())
	}
	g.Expect(send(666, true)).To(BeTrue())
	for range 5 {
		g.Expect(send(5, false)).To(BeFalse())
	}
}

// Guards against a slowness of NaN after responses that took no measurable time,
// which placed the keys of the server at random.
func TestResponsesWithoutDuration(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(1), 0)
	for range 5 {
		j := job(schedule.NoKey, 1, 0, 300*ms, time.Second)
		s.Add(j, 0)
		s.Decide(0)
		s.HandleReport(schedule.Report{ID: j.ID, Result: schedule.Succeeded}, 0)
	}
	g.Expect(s.ExpectedSeconds(1)).To(BeNumerically(">", 0))
	g.Expect(s.Slowness(id(0))).To(BeNumerically(">", 0))
}

// BenchmarkBacklog measures the cost of one request in a burst at large sites:
// 300 requests wait for 102 servers of an unkeyed service, or 900 for 178
// servers of a keyed one.
func BenchmarkBacklog(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		name, servers, waiting := "unkeyed", 102, 300
		if keyed {
			name, servers, waiting = "keyed", 178, 900
		}
		b.Run(name, func(b *testing.B) {
			s := schedule.New(keyed, schedule.Settings{RemoteCost: 4})
			list := make(map[topology.ServerID]schedule.Server)
			ids := make([]topology.ServerID, servers)
			for i := range servers {
				ids[i] = topology.ServerID(fmt.Sprintf("i-%08x", i))
				list[ids[i]] = schedule.Server{Address: "a", DataCentre: topology.DataCentre(rune('a' + i%4)), Slots: 2}
			}
			now := time.Duration(0)
			s.SetServers(list, now)
			s.SetOwners(1, func(key int) schedule.Owner { return schedule.Owner{Server: ids[key%servers], Granted: true} })
			var running []schedule.JobID
			n := uint32(0)
			add := func() {
				n++
				key := schedule.NoKey
				if keyed {
					key = int(n) % servers
				}
				s.Add(&schedule.Job{
					ID: schedule.JobID{HostIncarnation: uint64(n % 77), Number: n}, Class: n % 4, Key: key, DataCentre: topology.DataCentre(rune('a' + n%4)),
					Target: now + time.Hour, Deadline: now + time.Hour,
				}, now)
				for _, d := range s.Decide(now) {
					running = append(running, d.Job.ID)
				}
			}
			for range waiting + 2*servers {
				add()
			}
			b.ResetTimer()
			for range b.N {
				now += 500 * time.Microsecond
				s.HandleReport(schedule.Report{ID: running[0], Duration: 100 * time.Millisecond, Running: 1, LoadKnown: true}, now)
				running = running[1:]
				for _, d := range s.Decide(now) {
					running = append(running, d.Job.ID)
				}
				add()
			}
		})
	}
}

// Sends a server 45 requests a second of 40 ms each, of which it refuses every
// second one although it reports free slots. Guards against a pause after such a
// refusal: the free slots would stay idle, and requests that the server would have
// run would wait and be refused.
func TestServerThatShedsRequestsIsNotPaused(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	type run struct {
		job *schedule.Job
		end time.Duration
	}
	var running []run
	addedAt := make(map[schedule.JobID]time.Duration)
	var longestWait time.Duration
	decided, refused := 0, 0
	for now := time.Duration(0); now < 5*time.Second; now += ms {
		if now%(22*ms) == 0 {
			j := job(1, 1, now, 300*ms, 800*ms)
			addedAt[j.ID] = now
			s.Add(j, now)
		}
		unfinished := running[:0]
		for _, r := range running {
			if now < r.end {
				unfinished = append(unfinished, r)
				continue
			}
			s.HandleReport(schedule.Report{ID: r.job.ID, Result: schedule.Succeeded, Duration: 40 * ms}, now)
		}
		running = unfinished
		for _, d := range s.Decide(now) {
			g.Expect(d.Refused).To(BeFalse())
			decided++
			longestWait = max(longestWait, now-addedAt[d.Job.ID])
			if decided%2 == 0 {
				running = append(running, run{d.Job, now + 40*ms})
				continue
			}
			refused++
			s.HandleReport(schedule.Report{ID: d.Job.ID, Result: schedule.ServerFull, Running: len(running), LoadKnown: true}, now)
		}
	}
	g.Expect(decided).To(BeNumerically(">=", 225))
	g.Expect(refused).To(BeNumerically(">=", 112))
	g.Expect(longestWait).To(BeNumerically("<", 20*ms), "a slot is always free")
}

// Guards against more requests for a server that has refused one because all its
// slots are busy: each would be refused as well.
func TestFullServerIsPaused(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	first, second := job(1, 1, 0, 300*ms, 800*ms), job(1, 1, 0, 300*ms, 800*ms)
	s.Add(first, 0)
	g.Expect(s.Decide(0)).To(HaveLen(1))
	s.HandleReport(schedule.Report{ID: first.ID, Result: schedule.ServerFull, Running: 2, LoadKnown: true}, 5*ms)
	s.Add(second, 6*ms)
	g.Expect(s.Decide(6 * ms)).To(BeEmpty())
	g.Expect(s.Decide(40 * ms)).To(HaveLen(1))
}

// Sends a service without keys one and a half times the requests that its 26 slots
// can process, for ten seconds. Guards against requests that are held until their
// deadline and then refused, and against responses that all miss their target by a
// little because requests start in the order of their targets.
func TestSaturatedServiceWithoutKeys(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(13), 0)
	const target, deadline = time.Second, 4 * time.Second
	type run struct {
		job *schedule.Job
		end time.Duration
		// took is the processing time.
		took time.Duration
	}
	var running []run
	addedAt := make(map[schedule.JobID]time.Duration)
	var longestWait time.Duration
	added, onTime, served := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		if now%(4*ms) == 0 { // 250 requests/s; the service processes 167
			j := job(schedule.NoKey, 1, now, target, deadline)
			addedAt[j.ID] = now
			s.Add(j, now)
			added++
		}
		unfinished := running[:0]
		for _, r := range running {
			if now < r.end {
				unfinished = append(unfinished, r)
				continue
			}
			s.HandleReport(schedule.Report{ID: r.job.ID, Result: schedule.Succeeded, Duration: r.took}, now)
			served++
			if now <= r.job.Target {
				onTime++
			}
		}
		running = unfinished
		for _, d := range s.Decide(now) {
			if d.Refused {
				longestWait = max(longestWait, now-addedAt[d.Job.ID])
				continue
			}
			took := time.Duration(60+added%5*48) * ms // 156 ms on average, 252 at most
			running = append(running, run{d.Job, now + took, took})
		}
	}
	g.Expect(longestWait).To(BeNumerically("<", target), "a refused caller can still try again in time")
	g.Expect(served).To(BeNumerically(">", 1500), "26 slots, 156 ms each, for ten seconds: 1,667")
	g.Expect(onTime).To(BeNumerically(">", served*9/10))
}
