package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/rapidtest"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 2000) }

// Guards against a server that is used again although it announced its shutdown in a
// response: because of an older registration, one that lapsed and came back, or a store
// that was restored. A later incarnation is another server and must be used.
func TestAnnouncedShutdownOutlivesRegistrations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := fleet.NewDirectory()
		now := time.Duration(0)
		announced := int64(0) // the last incarnation that announced its shutdown
		registered := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				draining, seen := false, false
				d.Servers(now, func(s fleet.Server) {
					seen = true
					draining = s.Draining
				})
				if !seen {
					return
				}
				if s, ok := d.Get("s", now); !ok || s.Draining != draining {
					t.Fatalf("Get and Servers differ")
				}
				if draining != (registered <= announced) {
					t.Fatalf("incarnation %d is registered, %d announced its shutdown, draining=%t", registered, announced, draining)
				}
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			},
			"registers": func(*rapid.T) {
				if registered == 0 {
					registered = 1
				}
				d.ReadSucceeded(now)
				d.Set(fleet.Server{ID: "s", Incarnation: registered})
			},
			"starts again": func(*rapid.T) {
				registered++
				d.ReadSucceeded(now)
				d.Set(fleet.Server{ID: "s", Incarnation: registered})
				d.ForgetLeaving(now)
			},
			"lapses": func(*rapid.T) {
				d.ReadSucceeded(now)
				d.Remove("s", now)
				d.ForgetLeaving(now)
			},
			"store is restored": func(*rapid.T) {
				if registered == 0 {
					return
				}
				d.ReadSucceeded(now)
				d.Restored()
				d.Replace([]fleet.Server{{ID: "s", Incarnation: registered}}, now)
				d.ForgetLeaving(now)
			},
			"announces": func(*rapid.T) {
				if registered == 0 {
					return
				}
				announced = registered
				d.RecordLeaving("s", registered, now)
			},
		})
	})
}

// Guards against an announcement that is lost because the server is not registered yet at
// this host, and against one that then counts for any later server of that ID.
func TestAnnouncedShutdownBeforeRegistration(t *testing.T) {
	g := NewWithT(t)
	d := fleet.NewDirectory()
	g.Expect(d.RecordLeaving("s", 0, 0)).To(BeTrue())
	g.Expect(d.RecordLeaving("s", 0, 0)).To(BeFalse())
	d.ReadSucceeded(4 * second)
	d.Set(fleet.Server{ID: "s", Incarnation: 7})
	s, _ := d.Get("s", 4*second)
	g.Expect(s.Draining).To(BeTrue())
	d.Set(fleet.Server{ID: "s", Incarnation: 8})
	s, _ = d.Get("s", 5*second)
	g.Expect(s.Draining).To(BeFalse())
	g.Expect(d.ForgetLeaving(5 * second)).To(Equal([]topology.ServerID{"s"}))

	d.RecordLeaving("unknown", 0, 5*second)
	d.ForgetLeaving(30 * second)
	d.Set(fleet.Server{ID: "unknown", Incarnation: 9})
	s, _ = d.Get("unknown", 30*second)
	g.Expect(s.Draining).To(BeFalse())
}
