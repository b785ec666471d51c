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

// laggingLog hides the newest records from reads, although their appends were
// acknowledged.
type laggingLog struct {
	*logfake.Log
	hide int64
}

func (l laggingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, error) {
	b, err := l.Log.Read(ctx, stream, from, limit, wait)
	b.Next = max(b.First, b.Next-l.hide)
	for len(b.Records) > 0 && b.Records[len(b.Records)-1].Offset >= b.Next {
		b.Records = b.Records[:len(b.Records)-1]
	}
	if len(b.Records) == 0 {
		clock.Sleep(ctx, max(wait, 10*time.Millisecond)) // the read does not see the append, so it waits
	}
	return b, err
}

// TestReadBack guards against a state that counts as fresh although the read
// missed an acknowledged append, and shows that plain reads do.
func TestReadBack(t *testing.T) {
	for _, readBack := range []bool{false, true} {
		bubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
			put(ctx, l, change(-1, "a", 1))
			h := newHost(laggingLog{l, 3})
			if readBack {
				h.EnableMarkers("a")
			}
			go h.Run(ctx)
			for range 500 {
				time.Sleep(17 * time.Millisecond)
			}
			put(ctx, l, change(0, "b", 2))
			acknowledged := h.clock.Now()
			fresh := false // confirmed after the append, without its effect
			for range 500 {
				time.Sleep(17 * time.Millisecond)
				if at, ok := h.ConfirmedAt(); ok && at > acknowledged && h.share() != 2 {
					fresh = true
				}
			}
			g.Expect(fresh).To(Equal(!readBack))
			age, ok := h.Age()
			g.Expect(ok && age < 5*time.Second).To(BeTrue(), "markers must confirm the state, late as they are: %s", age)
		})
	}
}

// TestRandomFaults guards against a change that was reported as accepted but
// is not part of the agreed state, one that was reported as rejected but is,
// and hosts that end in different states, under random faults of the log.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			bubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
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
							e := change(base.Offset, fmt.Sprint(i), float64(1+i*100+n))
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
				whole := state.NewConfig()
				for _, r := range b.Records {
					if out := whole.Apply(r.Offset, r.Data); out.Kind == state.Applied {
						g.Expect(accepted).To(HaveKeyWithValue(out.ID, out.Offset))
						delete(accepted, out.ID)
					}
				}
				g.Expect(accepted).To(BeEmpty(), "reported, but not part of the state")
				for _, h := range hosts {
					g.Expect(mustSnapshot(h.cfg)).To(Equal(mustSnapshot(whole)))
				}
				synctest.Wait()
			})
		})
	}
}
