package logstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

// laggingLog is a log whose reads miss the newest records, although their
// appends were acknowledged.
type laggingLog struct {
	*logfake.Log
	lag int64 // number of records that reads miss
}

func (l laggingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	b.Next = max(b.First, b.Next-l.lag)
	for len(b.Records) > 0 && b.Records[len(b.Records)-1].Offset >= b.Next {
		b.Records = b.Records[:len(b.Records)-1]
	}
	if len(b.Records) == 0 {
		clock.Sleep(ctx, max(wait, 10*time.Millisecond)) // waits like a read that finds no record
	}
	return b, err
}

// TestMarkers guards against a state that is confirmed by a read that missed an
// acknowledged append. It also shows that this happens without markers.
func TestMarkers(t *testing.T) {
	for _, markers := range []bool{false, true} {
		runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
			appendRecord(ctx, l, configChange(-1, "a", 1))
			h := newHost(laggingLog{l, 3})
			if markers {
				h.EnableMarkers("a")
			}
			go h.Run(ctx)
			for range 500 {
				time.Sleep(17 * time.Millisecond)
			}
			appendRecord(ctx, l, configChange(0, "b", 2))
			acknowledged := h.clock.Now()
			falselyConfirmed := false // a read after the append confirmed a state without it
			for range 500 {
				time.Sleep(17 * time.Millisecond)
				if at, ok := h.ConfirmedAt(); ok && at > acknowledged && h.share() != 2 {
					falselyConfirmed = true
				}
			}
			g.Expect(falselyConfirmed).To(Equal(!markers))
			age, ok := h.Age()
			g.Expect(ok && age < 5*time.Second).To(BeTrue(), "reads that lag must still confirm the state: age %s", age)
		})
	}
}

// TestRandomFaults guards against wrong outcomes under random faults of the log:
// a change that is reported as accepted but missing in the state, a change that
// is reported as rejected but part of it, and replicas that diverge.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
				rng := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a repeatable test
				hosts := []host{newHost(l), newHost(l), newHost(l)}
				for _, h := range hosts {
					go h.Run(ctx)
				}
				var mu sync.Mutex
				accepted, rejected := make(map[string]int64), make(map[string]bool)
				var writers sync.WaitGroup
				for i, h := range hosts {
					writers.Go(func() {
						for n := range 20 {
							time.Sleep(time.Duration(1+(i*7+n*13)%40) * 25 * time.Millisecond)
							var base state.Revision
							h.View(func(*state.Fold) { _, base = h.cfg.Document() })
							e := configChange(base.Offset, fmt.Sprint(i), float64(1+i*100+n))
							out, err := NewWriter(l, h.Replica).Append(ctx, e)
							var conflict *state.Conflict
							mu.Lock()
							if err == nil {
								accepted[e.ID] = out.Offset
							} else if errors.As(err, &conflict) {
								rejected[e.ID] = true
							}
							mu.Unlock()
						}
					})
				}
				faults := []logfake.Faults{{}, {Down: true}, {LoseReplies: true}, {DropAppends: true}, {Delay: 300 * time.Millisecond}, {Delay: 1500 * time.Millisecond}}
				for range 30 {
					l.SetFaults(faults[rng.IntN(len(faults))])
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
				l.SetFaults(logfake.Faults{})
				writers.Wait()
				time.Sleep(5 * time.Second)
				g.Expect(len(accepted) + len(rejected)).To(Equal(60))
				b, err := l.Read(ctx, record.StreamConfig, 0, 1<<20, 0)
				g.Expect(err).NotTo(HaveOccurred())
				expected := state.NewConfig()
				for _, r := range b.Records {
					if out := expected.Apply(r.Offset, r.Data); out.Kind == state.Applied {
						g.Expect(accepted).To(HaveKeyWithValue(out.ID, out.Offset))
						delete(accepted, out.ID)
					}
				}
				g.Expect(accepted).To(BeEmpty(), "reported as accepted, but not part of the state")
				for _, h := range hosts {
					g.Expect(mustSnapshot(h.cfg)).To(Equal(mustSnapshot(expected)))
				}
				synctest.Wait()
			})
		})
	}
}
