package schedule_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Runs requests on two servers, one of which says that it is 3 times slower for 400 ms.
// Guards against requests for a server that is slow now, against a server that counts as
// slow for longer than its statement, and against responses of that time that make the
// server count as slow by itself.
func TestSlowPeriod(t *testing.T) {
	g := NewWithT(t)
	s := schedule.New(false, schedule.Settings{RemoteCost: 2})
	s.SetServers(pool(2), 0)
	now := time.Duration(0)
	run := func(pace float64, took time.Duration) (server topology.ServerID) {
		j := job(schedule.NoKey, 1, now, time.Second, 3*time.Second)
		s.Add(j, now)
		server = s.Decide(now)[0].Server
		if server != id(0) {
			pace, took = 1, 100*ms
		}
		now += took
		s.HandleReport(schedule.Report{ID: j.ID, Duration: took, LoadKnown: true, Pace: pace}, now)
		return server
	}
	for range 100 {
		run(1, 100*ms)
	}
	for range 5 { // some of these requests were on their way when the slow time began
		s.SetPace(id(0), 3, now)
		g.Expect(run(3, 300*ms)).To(Equal(id(1)))
		busy := []*schedule.Job{job(schedule.NoKey, 1, now, time.Second, 3*time.Second), job(schedule.NoKey, 1, now, time.Second, 3*time.Second)}
		for _, j := range busy { // occupy the other server, so that the slow one is used
			s.Add(j, now)
			g.Expect(s.Decide(now)[0].Server).To(Equal(id(1)))
		}
		g.Expect(run(3, 300*ms)).To(Equal(id(0)))
		for _, j := range busy {
			s.HandleReport(schedule.Report{ID: j.ID, Duration: 100 * ms, Pace: 1}, now)
		}
	}
	g.Expect(s.Slowness(id(0))).To(BeNumerically("<", 1.1))
	now += 300 * ms
	g.Expect(run(1, 100*ms)).To(Equal(id(0)), "equal servers are used in the order of their ids")
}
