package grant

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

type fault struct {
	name  string
	do    func(s *sim)
	bound time.Duration
	// host is true for a loss of an entry host, log for a loss of the log.
	host, log bool
}

// target is the longest time that a key may be unavailable after one loss.
const target = 2 * time.Second

const (
	hostLost   = 910 * ms
	serverLost = 1310 * ms
	bothLost   = 1420 * ms
)

func (s *sim) victim() *simHost {
	if l := s.leader(); l != nil {
		return l
	}
	return s.hosts[0]
}

// target server: the one that owns the first shard.
func (s *sim) victimServer() *simServer {
	if id, ok := s.lastServer[s.refs[0]]; ok {
		return s.serverNamed(id)
	}
	return s.servers[0]
}

var faults = []fault{
	{"host killed", func(s *sim) { s.victim().Dead = true }, hostLost, true, false},
	{"host paused 4 s", func(s *sim) { s.victim().pauseNext = 4 * time.Second }, hostLost, true, false},
	{"host cut off from the log", func(s *sim) { s.victim().noLog = true }, 0, false, false},
	{"host cut off from peers", func(s *sim) { s.Isolate(s.victim().Machine, "h") }, hostLost, true, false},
	{"host cut off from servers", func(s *sim) { s.Isolate(s.victim().Machine, "s") }, target, false, false},
	{"server killed", func(s *sim) { s.victimServer().Dead = true }, serverLost, false, false},
	{"server frozen 3 s", func(s *sim) { s.victimServer().Paused = s.Now + 3*time.Second }, serverLost, false, false},
	{"server restarted", func(s *sim) { v := s.victimServer(); v.Dead = true; s.After(50*ms, func() { s.restartServer(v) }) }, 410*ms + 50*ms, false, false},
	{"server cut off", func(s *sim) { s.Isolate(s.victimServer().Machine, "h") }, serverLost, false, false},
	{"log down", func(s *sim) { s.logDown = true }, 0, false, true},
	{"log slow", func(s *sim) { s.logSlow = 4 * time.Second }, 0, false, true},
	{"log loses replies", func(s *sim) { s.loseReplies = true }, 0, false, false},
	{"log expires records", func(s *sim) { s.expire = true }, 0, false, false},
	{"data centre cut off", func(s *sim) { s.logDown = true }, 0, false, true},
	{"host and server killed", func(s *sim) { s.victim().Dead, s.victimServer().Dead = true, true }, bothLost, true, false},
}

func (s *sim) heal() {
	s.logDown, s.logSlow, s.loseReplies, s.expire = false, 0, false, false
	s.Heal()
	for _, h := range s.hosts {
		if h.noLog = false; h.Dead {
			s.Restart(h.Machine)
			s.startHost(h)
		}
	}
	for _, v := range s.servers {
		if v.Dead {
			s.restartServer(v)
		}
	}
}

// observe applies the faults after the partition has settled, measures the
// longest unavailable time within 6 s after the last one, and checks that all keys are served again after the faults have ended.
func observe(seed uint64, simple bool, faults ...fault) (time.Duration, error) {
	s := newSim(seed, simple, false)
	s.run(3*time.Second + time.Duration(s.Rng.IntN(600))*ms)
	if len(s.downSince) > 0 {
		return 0, fmt.Errorf("not settled")
	}
	for _, f := range faults {
		s.maxGap = 0
		for ref := range s.downSince {
			s.downSince[ref] = s.Now // the target counts from the last loss
		}
		f.do(s)
		s.run(time.Duration(s.Rng.IntN(900)) * ms)
	}
	s.run(6 * time.Second)
	gap := s.maxGap
	s.heal()
	s.run(6 * time.Second)
	if s.Violation != "" {
		return gap, fmt.Errorf("%s", s.Violation)
	}
	if len(s.downSince) > 0 {
		return gap, fmt.Errorf("%d shards are not served 6 s after the faults ended", len(s.downSince))
	}
	return gap, nil
}

func show(gap time.Duration) string {
	if gap >= 5*time.Second {
		return "> 5 s"
	}
	return fmt.Sprintf("%.3f s", gap.Seconds())
}

// TestFailoverTable guards against two owners, and against keys that are
// unavailable for longer than the time budget of the design. With -v it prints
// the longest unavailable time of a key next to that of a lease in the log.
func TestFailoverTable(t *testing.T) {
	g := NewWithT(t)
	t.Logf("%-28s %-9s %-9s %s", "fault", "lead", "log lease", "budget")
	for _, f := range faults {
		var worst, simple time.Duration
		for seed := range uint64(4) {
			gap, err := observe(seed, false, f)
			g.Expect(err).NotTo(HaveOccurred(), "%s, seed %d", f.name, seed)
			worst = max(worst, gap)
			gap, err = observe(seed, true, f)
			g.Expect(err).NotTo(HaveOccurred(), "log lease, %s, seed %d", f.name, seed)
			simple = max(simple, gap)
		}
		t.Logf("%-28s %-9s %-9s %s", f.name, show(worst), show(simple), show(f.bound))
		g.Expect(worst).To(BeNumerically("<=", f.bound), f.name)
	}
}
