package grant

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fault is a test case: a fault, and the longest time that a shard may be
// unavailable after it.
type fault struct {
	name           string
	inject         func(s *sim)
	maxUnavailable time.Duration
	// hostFails is true if an entry host fails, logFails if the log does.
	hostFails, logFails bool
}

// maxUnavailableTarget is the longest time that a shard may be unavailable after
// one fault.
const maxUnavailableTarget = 2 * time.Second

// Longest times that a shard may be unavailable, by what has failed.
// Longest times that a shard may be unavailable, by what has failed.
const (
	hostFailover          = 910 * ms
	serverFailover        = 1310 * ms
	hostAndServerFailover = 1420 * ms
)

// faultyHost returns the host that a fault affects: the leader, if there is one.
func (s *sim) faultyHost() *simHost {
	if l := s.leader(); l != nil {
		return l
	}
	return s.hosts[0]
}

// faultyServer returns the server that a fault affects: the last one that served
// the first shard, if any.
func (s *sim) faultyServer() *simServer {
	if id, ok := s.lastServer[s.refs[0]]; ok {
		return s.serverNamed(id)
	}
	return s.servers[0]
}

var faults = []fault{
	{"host killed", func(s *sim) { s.faultyHost().Dead = true }, hostFailover, true, false},
	{"host paused 4 s", func(s *sim) { s.faultyHost().pauseBeforeSend = 4 * time.Second }, hostFailover, true, false},
	{"host cut off from the log", func(s *sim) { s.faultyHost().logUnreachable = true }, 0, false, false},
	{"host cut off from peers", func(s *sim) { s.Isolate(s.faultyHost().Machine, "h") }, hostFailover, true, false},
	{"host cut off from servers", func(s *sim) { s.Isolate(s.faultyHost().Machine, "s") }, maxUnavailableTarget, false, false},
	{"server killed", func(s *sim) { s.faultyServer().Dead = true }, serverFailover, false, false},
	{"server frozen 3 s", func(s *sim) { s.faultyServer().Paused = s.Now + 3*time.Second }, serverFailover, false, false},
	{"server restarted", func(s *sim) { v := s.faultyServer(); v.Dead = true; s.After(50*ms, func() { s.restartServer(v) }) }, 410*ms + 50*ms, false, false},
	{"server cut off", func(s *sim) { s.Isolate(s.faultyServer().Machine, "h") }, serverFailover, false, false},
	{"log down", func(s *sim) { s.logUnavailable = true }, 0, false, true},
	{"log slow", func(s *sim) { s.logDelay = 4 * time.Second }, 0, false, true},
	{"log loses replies", func(s *sim) { s.loseReplies = true }, 0, false, false},
	{"log expires records", func(s *sim) { s.expireRecords = true }, 0, false, false},
	{"data centre cut off", func(s *sim) { s.logUnavailable = true }, 0, false, true},
	{"host and server killed", func(s *sim) { s.faultyHost().Dead, s.faultyServer().Dead = true, true }, hostAndServerFailover, true, false},
}

// heal undoes all faults and restarts dead hosts and servers.
func (s *sim) heal() {
	s.logUnavailable, s.logDelay, s.loseReplies, s.expireRecords = false, 0, false, false
	s.Heal()
	for _, h := range s.hosts {
		if h.logUnreachable = false; h.Dead {
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

// measureFaults injects the faults after the partition has settled, measures the
// longest unavailable time within 6 s after the last one, and checks that all
// shards are served again after the faults have ended.
func measureFaults(seed uint64, useLogLease bool, faults ...fault) (time.Duration, error) {
	s := newSim(seed, useLogLease, false)
	s.run(3*time.Second + time.Duration(s.Rng.IntN(600))*ms)
	if len(s.unavailableSince) > 0 {
		return 0, fmt.Errorf("not settled")
	}
	for _, f := range faults {
		s.maxUnavailable = 0
		for ref := range s.unavailableSince {
			s.unavailableSince[ref] = s.Now // the time counts from the last fault
		}
		f.inject(s)
		s.run(time.Duration(s.Rng.IntN(900)) * ms)
	}
	s.run(6 * time.Second)
	unavailable := s.maxUnavailable
	s.heal()
	s.run(6 * time.Second)
	if s.Violation != "" {
		return unavailable, fmt.Errorf("%s", s.Violation)
	}
	if len(s.unavailableSince) > 0 {
		return unavailable, fmt.Errorf("%d shards are not served 6 s after the faults ended", len(s.unavailableSince))
	}
	return unavailable, nil
}

func formatUnavailable(d time.Duration) string {
	if d >= 5*time.Second {
		return "> 5 s"
	}
	return fmt.Sprintf("%.3f s", d.Seconds())
}

// TestFailoverTable guards against two owners, and against shards that are
// unavailable for longer than allowed. With -v it prints the longest unavailable
// time of a shard, and the same for leaders elected by a lease in the log.
func TestFailoverTable(t *testing.T) {
	g := NewWithT(t)
	t.Logf("%-28s %-9s %-9s %s", "fault", "election", "log lease", "allowed")
	for _, f := range faults {
		var longest, longestLogLease time.Duration
		for seed := range uint64(4) {
			unavailable, err := measureFaults(seed, false, f)
			g.Expect(err).NotTo(HaveOccurred(), "%s, seed %d", f.name, seed)
			longest = max(longest, unavailable)
			unavailable, err = measureFaults(seed, true, f)
			g.Expect(err).NotTo(HaveOccurred(), "log lease, %s, seed %d", f.name, seed)
			longestLogLease = max(longestLogLease, unavailable)
		}
		t.Logf("%-28s %-9s %-9s %s", f.name, formatUnavailable(longest), formatUnavailable(longestLogLease), formatUnavailable(f.maxUnavailable))
		g.Expect(longest).To(BeNumerically("<=", f.maxUnavailable), f.name)
	}
}
