package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// pausingHost is a host in the simulation of TestNoRequestReachesPausedPair.
type pausingHost struct {
	incarnation uint64
	pauses      *schedule.Pauses
	listReadAt  time.Duration
	nextNumber  uint32
}

// pausingServer is a server in the simulation of TestNoRequestReachesPausedPair.
type pausingServer struct {
	incarnation int64
	pausedUntil map[uint64]time.Duration // of this start, by host
	askedAt     map[uint64]time.Duration // time of the last response that asked for a pause
}

// Draws hosts, leaders, restarts of servers and of hosts, and pauses at random in virtual
// time. Guards against requests of a host to a server that has asked the host for a pause,
// against a leader that assigns such a pair, and against free servers that are not used
// because of the pauses of other hosts.
func TestNoRequestReachesPausedPair(t *testing.T) {
	const (
		hosts, servers = 5, 4
		duration       = 40 * time.Second
		step           = 10 * time.Millisecond
		readInterval   = 500 * time.Millisecond
	)
	for seed := range uint64(40) {
		for _, keyed := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d,keyed=%t", seed, keyed), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				var hostList [hosts]*pausingHost
				var serverList [servers]*pausingServer
				incarnation := uint64(0)
				startHost := func(i int) {
					incarnation++
					hostList[i] = &pausingHost{incarnation: incarnation, pauses: schedule.NewPauses()}
				}
				for i := range hosts {
					startHost(i)
				}
				for i := range servers {
					serverList[i] = &pausingServer{incarnation: 1, pausedUntil: make(map[uint64]time.Duration), askedAt: make(map[uint64]time.Duration)}
				}
				registrations := func() map[topology.ServerID]schedule.Server {
					list := pool(servers)
					for i, srv := range serverList {
						s := list[id(i)]
						s.Incarnation = srv.incarnation
						list[id(i)] = s
					}
					return list
				}
				var leader *schedule.Scheduler
				tell := func(h *pausingHost, now time.Duration) {
					for _, p := range h.pauses.List(now) {
						leader.SetPause(h.incarnation, p.Server, p.Incarnation, p.Until-now, now)
					}
				}
				startLeader := func(now time.Duration) {
					leader = schedule.New(keyed, schedule.Settings{RemoteCost: 2})
					leader.SetServers(registrations(), now)
					leader.SetOwners(1, func(key int) schedule.Owner { return schedule.Owner{Server: id(key), Granted: true} })
					for _, h := range hostList {
						tell(h, now)
					}
				}
				startLeader(0)
				sent, bounced, refused := 0, 0, 0
				for now := time.Duration(0); now < duration; now += step {
					switch rnd.IntN(100) {
					case 0:
						startLeader(now)
					case 1:
						startHost(rnd.IntN(hosts))
					case 2:
						srv := serverList[rnd.IntN(servers)]
						srv.incarnation++
						clear(srv.pausedUntil)
					}
					leader.SetServers(registrations(), now)
					for _, h := range hostList {
						if now-h.listReadAt >= readInterval {
							h.listReadAt = now
							incarnations := make(map[topology.ServerID]int64)
							for i, srv := range serverList {
								incarnations[id(i)] = srv.incarnation
							}
							h.pauses.EndRestarted(incarnations, now)
							h.pauses.EndOver(now)
						}
					}
					h := hostList[rnd.IntN(hosts)]
					h.nextNumber++
					leader.Add(&schedule.Job{
						ID: schedule.JobID{HostIncarnation: h.incarnation, Number: h.nextNumber}, Key: rnd.IntN(servers), DataCentre: "a",
						Target: now + 300*ms, Deadline: now + time.Second,
					}, now)
					for _, d := range leader.Decide(now) {
						for i, h := range hostList {
							if h.incarnation != d.Job.ID.HostIncarnation {
								continue
							}
							if d.Refused {
								if d.Reason == schedule.Paused {
									refused++
								}
								continue
							}
							number := 0
							for n := range servers {
								if id(n) == d.Server {
									number = n
								}
							}
							srv := serverList[number]
							leader.HandleReport(schedule.Report{ID: d.Job.ID, Result: schedule.CallerDisconnected}, now)
							if h.pauses.Left(d.Server, now) > 0 {
								// The leader knows of the restart already.
								bounced++
								// Several jobs may be assigned at once before the first of them is refused.
								if srv.pausedUntil[h.incarnation] > now && srv.askedAt[h.incarnation] < now {
									t.Fatalf("%v: the leader assigned a paused pair", now)
								}
								continue
							}
							sent++
							if until := srv.pausedUntil[h.incarnation]; now < until {
								t.Fatalf("%v: host %d sent a request to %s in a pause until %v", now, i, d.Server, until)
							}
							if rnd.IntN(10) == 0 {
								asked := time.Duration(1+rnd.IntN(5)) * time.Second
								srv.pausedUntil[h.incarnation], srv.askedAt[h.incarnation] = now+asked, now
								h.pauses.Record(d.Server, 1, asked, now)
								tell(h, now)
							}
						}
					}
				}
				if sent < 500 || refused == 0 && keyed || bounced > sent {
					t.Errorf("%d requests sent, %d refused, %d bounced", sent, refused, bounced)
				}
			})
		}
	}
}

// Guards against a host whose requests block the queue of a service without keys: its
// pauses leave it no free server, and the requests of other hosts wait behind them.
func TestPausedHostBlocksNoOtherHost(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(2), 0)
	s.SetPause(1, id(0), 0, time.Second, 0)
	full := []*schedule.Job{job(schedule.NoKey, 1, 0, time.Second, 2*time.Second), job(schedule.NoKey, 1, 0, time.Second, 2*time.Second)}
	for _, j := range full {
		s.Add(j, 0)
		g.Expect(s.Decide(0)).To(ConsistOf(HaveField("Server", id(1))))
	}
	waiting, other := job(schedule.NoKey, 0, 0, 500*ms, 2*time.Second), job(schedule.NoKey, 1, 0, time.Second, 2*time.Second)
	other.ID.HostIncarnation = 2
	s.Add(waiting, 0)
	s.Add(other, 0)
	g.Expect(s.Decide(0)).To(ConsistOf(And(HaveField("Job", other), HaveField("Server", id(0)))))
	s.HandleReport(schedule.Report{ID: full[0].ID, Duration: 10 * ms}, 10*ms)
	g.Expect(s.Decide(10 * ms)).To(ConsistOf(And(HaveField("Job", waiting), HaveField("Server", id(1)))))
}

// Guards against requests that wait for the end of a long pause until their callers give
// up, and against requests that are refused although the pause ends early.
func TestRequestsOfPausedHost(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprintf("keyed=%t", keyed), func(t *testing.T) {
			g := NewWithT(t)
			s := schedule.New(keyed, schedule.Settings{RemoteCost: 2})
			s.SetServers(pool(1), 0)
			s.SetOwners(1, ownedBy(id(0)))
			s.SetPause(1, id(0), 0, 400*ms, 0)
			short, long, other := job(1, 1, 0, 500*ms, time.Second), job(1, 1, 0, time.Second, 2*time.Second), job(1, 1, 0, 500*ms, time.Second)
			other.ID.HostIncarnation = 2
			for _, j := range []*schedule.Job{short, long, other} {
				s.Add(j, 0)
			}
			g.Expect(s.Decide(0)).To(ConsistOf(
				And(HaveField("Job", short), HaveField("Reason", schedule.Paused), HaveField("RetryAfter", 400*ms)),
				And(HaveField("Job", other), HaveField("Server", id(0))),
			))
			g.Expect(s.Decide(390 * ms)).To(BeEmpty())
			g.Expect(s.Decide(420 * ms)).To(ConsistOf(And(HaveField("Job", long), HaveField("Server", id(0)))))
		})
	}
}

// Guards against a pause of an earlier start of a server that keeps the present one out
// of use, at the leader and at the host, and against one of the present start that the
// host takes for one of an earlier start.
func TestPauseOfOtherIncarnation(t *testing.T) {
	g := NewWithT(t)
	s := keyed(ownedBy(id(0)), 1)
	assigned := func(now time.Duration) bool {
		j := job(1, 1, now, 100*ms, time.Second)
		s.Add(j, now)
		decisions := s.Decide(now)
		s.HandleReport(schedule.Report{ID: j.ID, Result: schedule.CallerDisconnected}, now)
		return len(decisions) == 1 && !decisions[0].Refused
	}
	servers := pool(1)
	start := func(incarnation int64, now time.Duration) {
		srv := servers[id(0)]
		srv.Incarnation = incarnation
		servers[id(0)] = srv
		s.SetServers(servers, now)
	}
	start(5, 0)
	s.SetPause(1, id(0), 4, time.Minute, 0)
	g.Expect(assigned(0)).To(BeTrue(), "a pause of an earlier start")
	s.SetPause(1, id(0), 5, time.Minute, 0)
	g.Expect(assigned(0)).To(BeFalse())
	start(6, time.Second)
	g.Expect(assigned(time.Second)).To(BeTrue(), "the server has started again")

	p := schedule.NewPauses()
	list := func(incarnation int64) map[topology.ServerID]int64 {
		return map[topology.ServerID]int64{id(0): incarnation}
	}
	g.Expect(p.Record(id(0), 1, time.Minute, time.Second)).To(Equal(schedule.PauseBegun))
	g.Expect(p.EndRestarted(list(4), 900*ms)).To(BeEmpty(), "read before the response")
	g.Expect(p.EndRestarted(list(5), 2*time.Second)).To(BeEmpty(), "the start that asked for the pause")
	g.Expect(p.EndRestarted(nil, 3*time.Second)).To(BeEmpty(), "a lapsed registration")
	g.Expect(p.EndRestarted(list(6), 4*time.Second)).To(HaveLen(1))
	g.Expect(p.Left(id(0), 4*time.Second)).To(BeZero())
}

// Guards against a later response that cuts a pause short, against a pause without end,
// and against a line in the log for each response.
func TestRepeatedPauses(t *testing.T) {
	g := NewWithT(t)
	p := schedule.NewPauses()
	g.Expect(p.Record(id(0), 1, 0, 0)).To(Equal(schedule.PauseUnchanged))
	g.Expect(p.Left(id(0), 0)).To(BeZero())
	g.Expect(p.Record(id(0), 1, 10*time.Second, 0)).To(Equal(schedule.PauseBegun))
	g.Expect(p.Record(id(0), 1, time.Second, 10*ms)).To(Equal(schedule.PauseUnchanged))
	g.Expect(p.Left(id(0), 10*time.Second-ms)).To(BeNumerically(">", 0))
	g.Expect(p.Record(id(0), 1, 10*time.Second, 20*ms)).To(Equal(schedule.PauseUnchanged))
	g.Expect(p.Record(id(0), 1, 20*time.Second, 30*ms)).To(Equal(schedule.PauseExtended))
	g.Expect(p.EndOver(10 * time.Second)).To(BeEmpty())
	g.Expect(p.EndOver(30 * time.Second)).To(HaveLen(1))
	g.Expect(p.Record(id(0), 1, 1<<62, 40*time.Second)).To(Equal(schedule.PauseBegun))
	g.Expect(p.Left(id(0), 40*time.Second)).To(BeNumerically("<", 2*schedule.MaxPause))
}

// BenchmarkPausedPairs measures the cost of one request to a service of 300 servers, of
// which none, or half, want nothing from the host of the request. There are 95 hosts.
func BenchmarkPausedPairs(b *testing.B) {
	const servers, hosts = 300, 95
	var ids [servers]topology.ServerID
	for i := range ids {
		ids[i] = id(i)
	}
	for _, keyed := range []bool{false, true} {
		for _, paused := range []bool{false, true} {
			b.Run(fmt.Sprintf("keyed=%t/paused=%t", keyed, paused), func(b *testing.B) {
				s := schedule.New(keyed, schedule.Settings{RemoteCost: 4})
				s.SetServers(pool(servers), 0)
				s.SetOwners(1, func(key int) schedule.Owner { return schedule.Owner{Server: ids[key], Granted: true} })
				if paused {
					for n := range servers * hosts {
						if server, host := n%servers, n/servers; (server+host)%2 == 0 {
							s.SetPause(uint64(host), ids[server], 0, time.Hour, 0)
						}
					}
				}
				now := time.Duration(0)
				b.ReportAllocs()
				for n := uint32(0); b.Loop(); n++ {
					now += 100 * time.Microsecond
					host := int(n % hosts)
					key := int(n) % servers
					if (key+host)%2 == 0 {
						key = (key + 1) % servers // the owner accepts requests of the host
					}
					j := &schedule.Job{
						ID: schedule.JobID{HostIncarnation: uint64(host), Number: n}, Key: key, DataCentre: "a",
						Target: now + time.Second, Deadline: now + 2*time.Second,
					}
					s.Add(j, now)
					for _, d := range s.Decide(now) {
						if d.Refused {
							b.Fatal("refused")
						}
						s.HandleReport(schedule.Report{ID: d.Job.ID, Duration: 100 * ms, Running: 1, LoadKnown: true}, now)
					}
				}
			})
		}
	}
}
