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
	clk   clock.Manual
	table *quarantine.Table
	out   []quarantine.Crash
}

func newHost(shift time.Duration) *host {
	h := &host{}
	h.clk.Advance(shift) // clocks of hosts have different origins
	start := time.UnixMilli(0)
	h.table = quarantine.New(&h.clk, func() time.Time { return start.Add(h.clk.Now() - shift) }, func(c quarantine.Crash) { h.out = append(h.out, c) })
	return h
}

var (
	bad   = request.Digest{1}
	other = request.Digest{2}
)

// Guards against a request that crashes a third server, and against a block
// that ends early or spreads to contents with one crash.
func TestBlock(t *testing.T) {
	const window = quarantine.Window
	for _, c := range []struct {
		name    string
		at      []time.Duration // times of crashes of bad
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
				h.table.RecordCrash("s1", 0, []request.Digest{bad})
			}
			h.table.RecordCrash("s1", 0, []request.Digest{other})
			h.clk.Advance(c.now - (h.clk.Now() - time.Hour))
			g.Expect(h.table.BlockedFor(bad)).To(Equal(c.blocked))
			g.Expect(h.table.BlockedFor(other)).To(BeZero())
		})
	}
}

// Guards against counting a crash twice that arrives from the log and in a
// hand-over, and against a block that is lost with the leader.
func TestTransfer(t *testing.T) {
	g := NewWithT(t)
	a, b := newHost(0), newHost(5*time.Hour)
	a.table.RecordCrash("s1", 0, []request.Digest{bad})
	for range 3 {
		b.table.Apply(a.out[0])
		b.table.Import(a.table.Export())
	}
	g.Expect(b.table.BlockedFor(bad)).To(BeZero())
	a.table.RecordCrash("s2", 0, []request.Digest{bad})
	b.table.Import(a.table.Export())
	g.Expect(b.table.BlockedFor(bad)).To(Equal(quarantine.Window))
	a.clk.Advance(3 * quarantine.Window)
	g.Expect(a.table.Export()).To(BeEmpty())
}

// Guards against growth with the number of crashing contents.
func TestBound(t *testing.T) {
	g := NewWithT(t)
	h := newHost(0)
	for i := range 5000 {
		h.clk.Advance(time.Millisecond)
		h.table.RecordCrash("s1", 0, []request.Digest{{byte(i), byte(i >> 8), 7}})
	}
	h.table.RecordCrash("s1", 0, []request.Digest{bad, bad})
	g.Expect(h.table.Export()).To(HaveLen(4097))
	g.Expect(h.table.BlockedFor(bad)).To(Equal(quarantine.Window))
}
