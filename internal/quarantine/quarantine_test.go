package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/request"
)

type host struct {
	clk       clock.Manual
	table     *quarantine.Table
	published []quarantine.Crash
}

func newHost(shift time.Duration) *host {
	h := &host{}
	h.clk.Advance(shift) // clocks of hosts have different origins
	start := time.UnixMilli(0)
	h.table = quarantine.New(&h.clk, func() time.Time { return start.Add(h.clk.Now() - shift) }, func(c quarantine.Crash) { h.published = append(h.published, c) })
	return h
}

var (
	crashing = request.Digest{1}
	other    = request.Digest{2}
)

// Guards against a request that can crash a third server, and against a block that ends
// early or includes a digest with only one crash.
func TestBlockDuration(t *testing.T) {
	const window = quarantine.Window
	for _, c := range []struct {
		name    string
		at      []time.Duration // times of the crashes with crashing in flight
		now     time.Duration
		blocked time.Duration
	}{
		{"one crash", []time.Duration{0}, 1, 0},
		{"two crashes", []time.Duration{0, time.Second}, time.Second, window},
		{"end of the block", []time.Duration{0, time.Second}, time.Second + window, 0},
		{"pair almost a window apart", []time.Duration{0, window - 1}, window + time.Minute, window - time.Minute - 1},
		{"pair a window apart", []time.Duration{0, window}, window, 0},
		{"third crash extends", []time.Duration{0, 1, time.Minute}, window, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHost(time.Hour)
			for _, at := range c.at {
				h.clk.Advance(at - (h.clk.Now() - time.Hour))
				h.table.RecordCrash("s1", 0, []request.Digest{crashing})
			}
			h.table.RecordCrash("s1", 0, []request.Digest{other})
			h.clk.Advance(c.now - (h.clk.Now() - time.Hour))
			g.Expect(h.table.BlockedFor(crashing)).To(Equal(c.blocked))
			g.Expect(h.table.BlockedFor(other)).To(BeZero())
		})
	}
}

// Guards against a crash that is counted twice because it arrives both from the log and
// in a handover, and against a block that is lost with a change of leader.
func TestCrashesFromOtherHosts(t *testing.T) {
	g := NewWithT(t)
	a, b := newHost(0), newHost(5*time.Hour)
	a.table.RecordCrash("s1", 0, []request.Digest{crashing})
	for range 3 {
		b.table.Apply(a.published[0])
		b.table.Import(a.table.Export())
	}
	g.Expect(b.table.BlockedFor(crashing)).To(BeZero())
	a.table.RecordCrash("s2", 0, []request.Digest{crashing})
	b.table.Import(a.table.Export())
	g.Expect(b.table.BlockedFor(crashing)).To(Equal(quarantine.Window))
	a.clk.Advance(3 * quarantine.Window)
	g.Expect(a.table.Export()).To(BeEmpty())
}

// Guards against memory use that grows with the number of digests that crash servers.
func TestNumberOfDigestsIsLimited(t *testing.T) {
	g := NewWithT(t)
	h := newHost(0)
	for i := range 5000 {
		h.clk.Advance(time.Millisecond)
		h.table.RecordCrash("s1", 0, []request.Digest{{byte(i), byte(i >> 8), 7}})
	}
	h.table.RecordCrash("s1", 0, []request.Digest{crashing, crashing})
	g.Expect(h.table.Export()).To(HaveLen(4097))
	g.Expect(h.table.BlockedFor(crashing)).To(Equal(quarantine.Window))
}
