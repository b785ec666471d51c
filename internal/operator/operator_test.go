package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/admin"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
	"github.com/lycheerudder/lycheerudder/internal/operator"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func document(share float64) *config.Document {
	return &config.Document{
		Services:  map[topology.Service]config.Service{"booking": {Shards: 8, DataCentres: []topology.DataCentre{"a"}, Slots: 2, MaxConns: 130, MaxExchange: time.Second}},
		Customers: map[topology.Customer]config.Customer{"pewright": {Share: share}},
	}
}

// racingLog runs before once, directly before the first append.
type racingLog struct {
	*logfake.Log
	before func()
}

func (l *racingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if f := l.before; f != nil {
		l.before = nil
		f()
	}
	return l.Log.Append(ctx, stream, data)
}

// Guards against an operator who is told the wrong result: published although
// another operator won, failed although the record is in the log, or a record
// that was appended twice.
func TestPublish(t *testing.T) {
	ctx := t.Context()
	for name, c := range map[string]struct {
		faults   logfake.Faults
		base     int64
		race     bool
		conflict bool
		failure  string
	}{
		"no fault":               {base: -1},
		"reply lost":             {base: -1, faults: logfake.Faults{LoseReplies: true}},
		"on the accepted base":   {base: 0},
		"on an older base":       {base: 7, conflict: true},
		"two operators at once":  {base: -1, race: true, conflict: true},
		"log down":               {base: -1, faults: logfake.Faults{Down: true}, failure: "unavailable"},
		"record limit of stream": {base: -1, faults: logfake.Faults{Keep: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			log := &racingLog{Log: logfake.New()}
			_, err := operator.New(log, "first").Publish(ctx, document(1), -1)
			g.Expect(err).NotTo(HaveOccurred())
			log.SetFaults(c.faults)
			if c.race {
				log.before = func() {
					_, err := operator.New(log, "other").Publish(ctx, document(3), -1)
					g.Expect(err).NotTo(HaveOccurred())
				}
			}
			rev, err := operator.New(log, "me").Publish(ctx, document(2), c.base)
			switch {
			case c.conflict:
				var conflict *state.Conflict
				g.Expect(err).To(BeAssignableToTypeOf(conflict))
				g.Expect(err.Error()).To(SatisfyAny(ContainSubstring("other"), ContainSubstring("first")))
			case c.failure != "":
				g.Expect(err).To(MatchError(ContainSubstring(c.failure)))
			default:
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(rev.Writer).To(Equal("me"))
				g.Expect(log.Appends()).To(Equal(int64(2)))
			}
		})
	}
}

// Guards against a second statement that conflicts with the first one.
func TestDeclareStopped(t *testing.T) {
	g := NewWithT(t)
	o := operator.New(logfake.New(), "me")
	for i := range 3 {
		h := record.HostsStopped{Members: []topology.Member{{Host: "h1", Incarnation: topology.Incarnation(i + 1)}}, Reason: "replaced"}
		g.Expect(o.DeclareStopped(t.Context(), h)).To(Succeed())
	}
	members, err := o.Members(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members.StoppedHosts()).To(HaveLen(3))
}

// Guards against a change that is reported as in force while a host lags, and
// against a statement that running hosts are stopped.
func TestFleet(t *testing.T) {
	g := NewWithT(t)
	revision := map[string]int64{"h1": 5, "h2": 4}
	list := hostfake.New()
	for id := range revision {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(admin.Status{Host: topology.HostID(id), Incarnation: 9, ConfigRevision: revision[id]})
		}))
		defer srv.Close()
		list.Put(hostlist.Host{ID: id, Role: hostlist.RoleEntry, Admin: strings.TrimPrefix(srv.URL, "http://")})
	}
	fleet := operator.NewFleet(list)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	lagging, err := fleet.WaitInForce(ended, 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lagging).To(HaveLen(1))
	g.Expect(lagging[0].Host.ID).To(Equal("h2"))

	alive, err := fleet.AliveMembers(t.Context(), record.HostsStopped{Members: []topology.Member{{Host: "h1", Incarnation: 9}, {Host: "h1", Incarnation: 8}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(alive).To(ConsistOf(topology.Member{Host: "h1", Incarnation: 9}))
}

var _ platformlog.Log = (*racingLog)(nil)
