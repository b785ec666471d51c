package schedule_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/keyplacement"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// replayClass is a class of requests with the value of its responses.
type replayClass struct {
	name                string
	rank                int
	objective, deadline time.Duration
	work                time.Duration // mean, without the tail
	tail, tailFactor    float64
	inTime, late        float64
}

// replay plays the load of one service against a scheduler and its key placement in
// virtual time. A refused caller comes back once, after Retry-After or a third of the
// time that it has left.
type replay struct {
	keyed       bool
	servers     int
	slots       int
	speeds      []float64
	classes     []replayClass
	rate        func(class int, now time.Duration) float64 // requests a second
	key         func(r *rand.Rand, now time.Duration) int
	length      time.Duration
	slowPeriods bool // servers are 3 times slower for 400 ms, each every 8 s or so
	seed        uint64
	// counted selects the requests of the figures by first arrival and key; nil for all.
	counted func(arrived time.Duration, key int) bool

	rnd              *rand.Rand
	sched            *schedule.Scheduler
	meter            *keyplacement.Meter
	ranges           []keyplacement.Range
	version          int
	events           eventQueue
	sequence         int
	now              time.Duration
	callers          map[uint32]*replayCaller
	slow             [][]time.Duration // starts of the slow periods of each server
	counts           []replayCounts
	seconds          []replaySecond
	movedKeys, moves int
}

type replayCaller struct {
	class, key       int
	arrived          time.Duration
	target, deadline time.Duration
	returnTarget     time.Duration // counted from the return
	hash             uint64
	returned, done   bool
}

// replayCounts counts the ends of the requests of a class.
type replayCounts struct {
	requests, inTime, late, twice, expired, returned int
	// lateFromReturn counts the late ones that are in time if the objective counts from
	// the return.
	lateFromReturn int
	refusalWait    time.Duration
}

// replaySecond holds the means over one second.
type replaySecond struct{ idle, waiting, samples, worst, loadSamples float64 }

func (c replayCounts) served() float64 { return float64(c.inTime+c.late) / float64(max(1, c.requests)) }

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (p *replay) at(t time.Duration, run func()) {
	p.sequence++
	heap.Push(&p.events, event{t, p.sequence, run})
}

const (
	replayLink     = 1 * ms // one way between two hosts, or a host and a server
	replayHandover = 100 * ms
)

func (p *replay) play() {
	p.rnd = rand.New(rand.NewPCG(p.seed, 7))
	p.sched = schedule.New(p.keyed, schedule.Settings{RemoteCost: 4})
	p.callers = make(map[uint32]*replayCaller)
	p.counts = make([]replayCounts, len(p.classes))
	p.meter = keyplacement.NewMeter()
	servers := make(map[topology.ServerID]schedule.Server)
	for i := range p.servers {
		servers[replayID(i)] = schedule.Server{Address: string(replayID(i)), DataCentre: "a", Slots: p.slots}
		p.ranges = append(p.ranges, keyplacement.Range{From: i * keymap.KeyCount / p.servers, To: (i+1)*keymap.KeyCount/p.servers - 1, Server: replayID(i), Movable: true})
		var slow []time.Duration
		if p.slowPeriods {
			for t := time.Duration(p.rnd.ExpFloat64() * 8e9); t < p.length; t += 400*ms + time.Duration(p.rnd.ExpFloat64()*8e9) {
				slow = append(slow, t)
			}
		}
		p.slow = append(p.slow, slow)
	}
	p.sched.SetServers(servers, 0)
	p.setOwners()
	for class := range p.classes {
		p.nextArrival(class)
	}
	for t := time.Duration(0); t < p.length; t += 10 * ms {
		p.at(t, func() { p.deliver(p.sched.Decide(p.now)); p.sample() })
		if p.keyed && t%(250*ms) == 0 {
			p.at(t, p.plan)
		}
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.run()
	}
}

func replayID(i int) topology.ServerID { return topology.ServerID(fmt.Sprintf("s%03d", i)) }

func replayIndex(id topology.ServerID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "s%d", &i)
	return i
}

func (p *replay) nextArrival(class int) {
	rate := p.rate(class, p.now)
	p.at(p.now+time.Duration(p.rnd.ExpFloat64()/rate*1e9), func() {
		if p.now >= p.length {
			return
		}
		c := p.classes[class]
		caller := &replayCaller{class: class, key: schedule.NoKey, arrived: p.now, target: p.now + c.objective, deadline: p.now + c.deadline, hash: p.rnd.Uint64()}
		if p.keyed {
			caller.key = p.key(p.rnd, p.now)
		}
		if p.isCounted(caller) {
			p.counts[class].requests++
		}
		p.send(caller)
		p.nextArrival(class)
	})
}

func (p *replay) isCounted(c *replayCaller) bool {
	return p.counted == nil || p.counted(c.arrived, c.key)
}

func (p *replay) send(c *replayCaller) {
	p.at(p.now+replayLink, func() {
		class := p.classes[c.class]
		lastNumber++
		j := &schedule.Job{
			ID: schedule.JobID{HostIncarnation: 1, Number: lastNumber}, Class: uint32(c.class), Key: c.key, Priority: class.rank, DataCentre: "a",
			ContentHash: c.hash, Target: p.now + class.objective, Deadline: c.deadline,
		}
		p.callers[lastNumber] = c
		p.at(c.deadline, func() {
			if !c.done && p.sched.Contains(j.ID) {
				c.done = true
				if p.isCounted(c) {
					p.counts[c.class].expired++
				}
				if p.sched.IsQueued(j.ID) {
					p.sched.Remove(j.ID)
				}
			}
		})
		if p.keyed {
			p.meter.Add(c.key, p.sched.ExpectedSeconds(j.Class), p.now)
		}
		p.sched.Add(j, p.now)
		p.deliver(p.sched.Decide(p.now))
	})
}

func (p *replay) deliver(decisions []schedule.Decision) {
	for _, d := range decisions {
		c := p.callers[d.Job.ID.Number]
		if d.Refused {
			p.at(p.now+replayLink, func() { p.refused(c, d.RetryAfter) })
			continue
		}
		p.at(p.now+2*replayLink, func() { p.run(c, d) })
	}
}

func (p *replay) refused(c *replayCaller, after time.Duration) {
	if c.done {
		return
	}
	count := &p.counts[c.class]
	if !p.isCounted(c) {
		count = new(replayCounts)
	}
	if c.returned {
		c.done = true
		count.twice++
		return
	}
	count.refusalWait += p.now - c.arrived
	c.returned = true
	count.returned++
	p.at(p.now+min(after, (c.deadline-p.now)/3), func() {
		c.returnTarget = p.now + p.classes[c.class].objective
		p.send(c)
	})
}

func (p *replay) run(c *replayCaller, d schedule.Decision) {
	class, i := p.classes[c.class], replayIndex(d.Server)
	work := class.work.Seconds() * max(0.3, 1+0.3*p.rnd.NormFloat64())
	if p.rnd.Float64() < class.tail {
		work *= class.tailFactor
	}
	started := p.now
	end := p.endOf(i, started, time.Duration(work/p.speeds[i%len(p.speeds)]*1e9))
	p.at(end, func() {
		if !c.done {
			c.done = true
			if p.isCounted(c) {
				switch t := p.now + replayLink; {
				case t <= c.target:
					p.counts[c.class].inTime++
				case t <= c.deadline:
					p.counts[c.class].late++
					if t <= c.returnTarget {
						p.counts[c.class].lateFromReturn++
					}
				default:
					p.counts[c.class].expired++
				}
			}
		}
	})
	p.at(end+2*replayLink, func() {
		p.sched.HandleReport(schedule.Report{ID: d.Job.ID, Result: schedule.Succeeded, Duration: end - started + 2*replayLink, LoadKnown: true, Pace: p.pace(i, end)}, p.now)
		p.deliver(p.sched.Decide(p.now))
	})
}

// endOf returns the end of work that begins at start; it takes 3 times as long in slow
// periods.
func (p *replay) endOf(server int, start, work time.Duration) time.Duration {
	for _, s := range p.slow[server] {
		end := s + 400*ms
		if end <= start {
			continue
		}
		if start+work <= s {
			break
		}
		work -= max(0, s-start)
		start = max(start, s)
		if start+3*work <= end {
			return start + 3*work
		}
		work -= (end - start) / 3
		start = end
	}
	return start + work
}

func (p *replay) pace(server int, now time.Duration) float64 {
	for _, s := range p.slow[server] {
		if now >= s && now < s+400*ms {
			return 3
		}
	}
	return 1
}

func (p *replay) setOwners() {
	p.version++
	ranges := slices.Clone(p.ranges)
	p.sched.SetOwners(p.version, func(key int) schedule.Owner {
		i, _ := slices.BinarySearchFunc(ranges, key, func(r keyplacement.Range, key int) int { return r.To - key })
		return schedule.Owner{Server: ranges[i].Server, Granted: ranges[i].Movable}
	})
}

// plan makes the moves of one plan. A key range has no owner during its handover.
func (p *replay) plan() {
	var list []keyplacement.Server
	for i := range p.servers {
		list = append(list, keyplacement.Server{ID: replayID(i), Capacity: p.sched.Capacity(replayID(i), p.now)})
	}
	settings := keyplacement.Settings{MinMoves: 3, ServersPerMove: 3, MinUtilisationGap: 0.30, MinUtilisation: 0.30, MaxRangesPerServer: 2.5}
	for _, m := range keyplacement.Plan(p.ranges, list, p.meter.PrefixSums(p.now), settings) {
		p.moves++
		p.movedKeys += m.To - m.From + 1
		p.replaceRange(m, func(r *keyplacement.Range) { r.Next, r.Movable = m.Server, false })
		p.at(p.now+replayHandover, func() {
			p.replaceRange(m, func(r *keyplacement.Range) { r.Server, r.Next, r.Movable = m.Server, "", true })
			p.setOwners()
			p.deliver(p.sched.Decide(p.now))
		})
	}
	p.setOwners()
}

// replaceRange changes the keys of a move and joins ranges of the same server.
func (p *replay) replaceRange(m keyplacement.Move, change func(*keyplacement.Range)) {
	var out []keyplacement.Range
	add := func(r keyplacement.Range) {
		if r.From > r.To {
			return
		}
		if n := len(out); n > 0 && out[n-1].Server == r.Server && out[n-1].Next == r.Next && out[n-1].Movable == r.Movable {
			out[n-1].To = r.To
			return
		}
		out = append(out, r)
	}
	for _, r := range p.ranges {
		left, middle, right := r, r, r
		left.To, right.From = min(r.To, m.From-1), max(r.From, m.To+1)
		middle.From, middle.To = max(r.From, m.From), min(r.To, m.To)
		add(left)
		if middle.From <= middle.To {
			change(&middle)
			add(middle)
		}
		add(right)
	}
	p.ranges = out
}

func (p *replay) sample() {
	i := int(p.now / time.Second)
	for len(p.seconds) <= i {
		p.seconds = append(p.seconds, replaySecond{})
	}
	s := &p.seconds[i]
	waiting, running, slots := p.sched.Counts()
	s.samples++
	s.idle += float64(slots-running) / float64(slots)
	s.waiting += float64(waiting)
	if p.keyed && p.now%(100*ms) == 0 { // the sums visit each key
		s.loadSamples++
		sums := p.meter.PrefixSums(p.now)
		load := make(map[topology.ServerID]float64)
		for _, r := range p.ranges {
			load[r.Server] += sums[r.To+1] - sums[r.From]
		}
		worst := 0.0
		for id, l := range load {
			worst = max(worst, l/p.sched.Capacity(id, p.now))
		}
		s.worst += worst
	}
}

// value returns the value of all responses, less what requests cost that are refused
// twice, relative to that of all requests in time; the second figure counts the objective
// of a returned request from its return.
func (p *replay) value() (value, fromReturn float64) {
	possible := 0.0
	for i, c := range p.counts {
		class := p.classes[i]
		value += float64(c.inTime)*class.inTime + float64(c.late)*class.late - 0.3*class.inTime*float64(c.twice)
		fromReturn += float64(c.lateFromReturn) * (class.inTime - class.late)
		possible += float64(c.requests) * class.inTime
	}
	return value / possible, (value + fromReturn) / possible
}

func (p *replay) log(t *testing.T, name string) {
	t.Helper()
	value, fromReturn := p.value()
	line := fmt.Sprintf("%-15s value %.3f (%.3f)", name, value, fromReturn)
	for i, c := range p.counts {
		n := float64(max(1, c.requests)) / 100
		line += fmt.Sprintf("; %s: in time %.1f, late %.1f, refused twice %.1f, expired %.1f, returned %.1f, refused after %.0f ms",
			p.classes[i].name, float64(c.inTime)/n, float64(c.late)/n, float64(c.twice)/n, float64(c.expired)/n, float64(c.returned)/n,
			float64(c.refusalWait.Milliseconds())/math.Max(1, float64(c.returned)))
	}
	if p.keyed {
		line += fmt.Sprintf("; moves %d, keys moved %.2f", p.moves, float64(p.movedKeys)/keymap.KeyCount)
	}
	line += "; idle%/waiting/worst:"
	for _, s := range p.seconds {
		line += fmt.Sprintf(" %.0f/%.0f/%.1f", 100*s.idle/s.samples, s.waiting/s.samples, s.worst/math.Max(1, s.loadSamples))
	}
	t.Log(line)
}

var (
	bayClasses = []replayClass{
		{"bay-status", 0, 500 * ms, 1500 * ms, 220 * ms, 0.01, 3, 1.4, 0.17},
		{"bay-booking", 1, time.Second, 2500 * ms, 290 * ms, 0.01, 3, 1.5, 0.44},
	}
	zoneClasses = []replayClass{{"zone-lookup", 0, 800 * ms, 4 * time.Second, 180 * ms, 0.03, 7, 1, 0.3}}
)

func uniformKey(r *rand.Rand, _ time.Duration) int { return r.IntN(keymap.KeyCount) }

// overload is a service whose demand is 1.5 times its slots from 4 to 12 s.
func overload(keyed, zone, slow bool, seed uint64) *replay {
	p := &replay{keyed: keyed, length: 17 * time.Second, key: uniformKey, slowPeriods: slow, seed: seed}
	rates := []float64{769, 248}
	p.servers, p.slots, p.speeds, p.classes = 123, 4, []float64{0.6, 1, 1.4}, bayClasses
	factor := 1.5 * 492 / (769*0.2244 + 248*0.2958)
	if zone {
		rates = []float64{1147}
		p.servers, p.slots, p.speeds, p.classes = 78, 6, []float64{0.6, 1, 1.6}, zoneClasses
		factor = 1.5 * 468 / (1147 * 0.2124)
	}
	p.rate = func(class int, now time.Duration) float64 {
		if now >= 4*time.Second && now < 12*time.Second {
			return rates[class] * factor
		}
		return rates[class]
	}
	p.counted = func(arrived time.Duration, _ int) bool { return arrived >= 2*time.Second }
	return p
}

// hotKey is a key whose load is 3 times the capacity of its server.
func hotKey(seed uint64) *replay {
	p := &replay{keyed: true, servers: 24, slots: 4, speeds: []float64{0.6, 1, 1.4}, classes: bayClasses, length: 12 * time.Second, seed: seed}
	const total = 24*4*0.5 + 12 // busy slots
	p.rate = func(class int, now time.Duration) float64 {
		load := 24 * 4 * 0.5
		if now >= 2*time.Second {
			load = total
		}
		return load * []float64{0.756, 0.244}[class] / 0.2418
	}
	p.key = func(r *rand.Rand, now time.Duration) int {
		if now >= 2*time.Second && r.Float64() < 12.0/total {
			return 30000
		}
		return r.IntN(keymap.KeyCount)
	}
	p.counted = func(arrived time.Duration, key int) bool { return arrived >= 2*time.Second && key == 30000 }
	return p
}

// hotSet is a service in which n keys get 35% of the requests, others after 5 s.
func hotSet(n int, seed uint64) *replay {
	p := &replay{keyed: true, servers: 60, slots: 4, speeds: []float64{0.6, 1, 1.4}, classes: bayClasses, length: 16 * time.Second, seed: seed}
	const load = 60 * 4 * 0.6 // busy slots
	p.rate = func(class int, _ time.Duration) float64 { return load * []float64{0.756, 0.244}[class] / 0.2418 }
	p.key = func(r *rand.Rand, now time.Duration) int {
		if r.Float64() < 0.35 {
			set := int(now / (5 * time.Second))
			return (set*23456 + 7000 + 3*r.IntN(n)) % keymap.KeyCount
		}
		return r.IntN(keymap.KeyCount)
	}
	return p
}

// TestReplayFigures prints the figures of all replays, each over several seeds.
func TestReplayFigures(t *testing.T) {
	if testing.Short() || !testing.Verbose() {
		t.Skip("prints figures only")
	}
	for _, r := range []struct {
		name string
		make func(seed uint64) *replay
	}{
		{"a hot key", hotKey},
		{"b 200 hot keys", func(seed uint64) *replay { return hotSet(200, seed) }},
		{"b 60 hot keys", func(seed uint64) *replay { return hotSet(60, seed) }},
		{"b 2 slots", func(seed uint64) *replay {
			p := hotSet(30, seed)
			p.servers, p.slots = 22, 2
			rate := p.rate
			p.rate = func(class int, now time.Duration) float64 { return rate(class, now) * 44 / 240 }
			return p
		}},
		{"b uniform", func(seed uint64) *replay { p := hotSet(60, seed); p.key = uniformKey; return p }},
		{"a other keys", func(seed uint64) *replay {
			p := hotKey(seed)
			p.counted = func(arrived time.Duration, key int) bool { return arrived >= 2*time.Second && key != 30000 }
			return p
		}},
		{"c keyed", func(seed uint64) *replay { return overload(true, false, false, seed) }},
		{"c keyed slow", func(seed uint64) *replay { return overload(true, false, true, seed) }},
		{"c unkeyed", func(seed uint64) *replay { return overload(false, false, false, seed) }},
		{"c unkeyed slow", func(seed uint64) *replay { return overload(false, false, true, seed) }},
		{"d keyed", func(seed uint64) *replay { return overload(true, true, false, seed) }},
		{"d keyed slow", func(seed uint64) *replay { return overload(true, true, true, seed) }},
		{"d unkeyed", func(seed uint64) *replay { return overload(false, true, false, seed) }},
		{"d unkeyed slow", func(seed uint64) *replay { return overload(false, true, true, seed) }},
	} {
		t.Run(r.name, func(t *testing.T) {
			total := r.make(1)
			total.play()
			for seed := range uint64(2) {
				p := r.make(seed + 2)
				p.play()
				total.add(p)
			}
			total.log(t, r.name)
		})
	}
}

// Plays a service whose demand is 1.5 times its slots for 8 s. Guards against slots that
// go to requests that have become late while others could still be in time, against a
// class that is served far less often than the others, and against a less urgent class
// that is preferred.
func TestOverloadedService(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		for _, zone := range []bool{false, true} {
			t.Run(fmt.Sprintf("keyed=%v,zone=%v", keyed, zone), func(t *testing.T) {
				g := NewWithT(t)
				p := overload(keyed, zone, false, 5)
				// A third of the servers and requests: all of them take a minute with the
				// race detector.
				rate := p.rate
				p.servers /= 3
				p.rate = func(class int, now time.Duration) float64 { return rate(class, now) / 3 }
				p.play()
				var all replayCounts
				for _, c := range p.counts {
					all.requests += c.requests
					all.inTime += c.inTime
					all.late += c.late
				}
				g.Expect(float64(all.inTime)).To(BeNumerically(">", 0.85*float64(all.inTime+all.late)))
				for i, c := range p.counts {
					g.Expect(c.served()).To(BeNumerically(">", all.served()/4), p.classes[i].name)
					g.Expect(c.served()).To(BeNumerically("<", 1.1*p.counts[0].served()), p.classes[i].name)
				}
			})
		}
	}
}

// Replaces a set of 60 hot keys every 5 s. Guards against a placement that follows the
// change slowly, which left servers idle for seconds while requests for the new hot keys
// waited, and against keys that move for random differences of load.
func TestHotSetIsSpread(t *testing.T) {
	g := NewWithT(t)
	p := hotSet(60, 4)
	p.play()
	for _, set := range []int{1, 2} {
		// Second 0 of a set has the change, second 1 ends when it is to be spread.
		after := p.seconds[5*set+2]
		g.Expect(after.worst/after.loadSamples).To(BeNumerically("<", 1.25), "utilisation of the busiest server")
	}
	uniform := hotSet(60, 4)
	uniform.key = uniformKey
	uniform.play()
	g.Expect(float64(uniform.movedKeys)/keymap.KeyCount).To(BeNumerically("<", 1), "moved keys, without hot keys")
}

// add adds the figures of another seed.
func (p *replay) add(q *replay) {
	for i, c := range q.counts {
		sum := &p.counts[i]
		sum.requests += c.requests
		sum.inTime += c.inTime
		sum.late += c.late
		sum.lateFromReturn += c.lateFromReturn
		sum.twice += c.twice
		sum.expired += c.expired
		sum.returned += c.returned
		sum.refusalWait += c.refusalWait
	}
	for i, s := range q.seconds {
		sum := &p.seconds[i]
		sum.idle += s.idle
		sum.waiting += s.waiting
		sum.worst += s.worst
		sum.samples += s.samples
		sum.loadSamples += s.loadSamples
	}
	p.moves += q.moves
	p.movedKeys += q.movedKeys
}
