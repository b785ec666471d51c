package logstream

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

func configChange(base int64, writer string, share float64) record.Envelope {
	c := config.Customer{Share: share}
	e, err := record.New(record.KindConfigChange, base, writer, config.Change{Customers: map[topology.Customer]*config.Customer{"pewright": &c}})
	if err != nil {
		panic(err)
	}
	return e
}

func appendRecord(ctx context.Context, l platformlog.Log, e record.Envelope) {
	data, _ := e.Encode()
	_, _ = l.Append(ctx, record.StreamConfig, data)
}

type host struct {
	cfg *state.Config
	*Replica
	*Reader
}

func newHost(l platformlog.Log) host {
	cfg := state.NewConfig()
	r := NewReplica(cfg.Fold, clock.NewMonotonic(), ShortPollTimeout)
	return host{cfg, r, NewReader(l, r)}
}

func (h host) share() (share float64) {
	h.View(func(*state.Fold) {
		if d, _ := h.cfg.Document(); d != nil {
			share = d.Customers["pewright"].Share
		}
	})
	return share
}

// runInBubble runs fn in virtual time with a context that ends when fn returns.
func runInBubble(t *testing.T, fn func(g *WithT, ctx context.Context, l *logfake.Log)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		fn(NewWithT(t), ctx, logfake.New())
	})
}

// TestWriter guards against a record that is lost or applied twice, and against
// an outcome that is taken from the reply to an append instead of the stream.
func TestWriter(t *testing.T) {
	for name, c := range map[string]struct {
		faults  logfake.Faults
		lasts   time.Duration // how long the faults last
		appends int           // minimum number of appends that take effect
		within  time.Duration
	}{
		"no fault":       {logfake.Faults{}, 0, 1, time.Second},
		"lost replies":   {logfake.Faults{LoseReplies: true}, time.Minute, 1, time.Second},
		"dropped append": {logfake.Faults{DropAppends: true}, 5 * time.Second, 1, 8 * time.Second},
		"outage":         {logfake.Faults{Down: true}, time.Hour, 1, time.Hour + 5*time.Second},
		"slow":           {logfake.Faults{Delay: 3 * time.Second}, 20 * time.Second, 1, 30 * time.Second},
		"slow for long":  {logfake.Faults{Delay: 600 * time.Millisecond}, time.Hour, 1, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
				h := newHost(l)
				go h.Run(ctx)
				l.SetFaults(c.faults)
				time.AfterFunc(c.lasts, func() { l.SetFaults(logfake.Faults{}) })
				start := time.Now()
				out, err := NewWriter(l, h.Replica).Append(ctx, configChange(-1, "a", 2))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(out.Kind).To(Equal(state.Applied))
				g.Expect(time.Since(start)).To(BeNumerically("<=", c.within))
				g.Expect(l.Appends()).To(BeNumerically(">=", c.appends))
				_, err = NewWriter(l, h.Replica).Append(ctx, configChange(out.Offset, "a", 3))
				g.Expect(err).NotTo(HaveOccurred(), "a retry must not have become another revision")
			})
		})
	}
}

// TestWriterContextEnds guards against a writer that reports a failed append
// although the record may still be applied.
func TestWriterContextEnds(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		h := newHost(l)
		go h.Run(ctx)
		l.SetFaults(logfake.Faults{Down: true})
		short, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := NewWriter(l, h.Replica).Append(short, configChange(-1, "a", 2))
		g.Expect(err).To(MatchError(ErrOutcomeUnknown))
	})
}

// TestConflictingWriters guards against a writer whose conflicting change is
// reported as accepted because the log acknowledged its record. Of two changes
// with the same base only the first is accepted.
func TestConflictingWriters(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		one, two := newHost(l), newHost(l)
		go one.Run(ctx)
		go two.Run(ctx)
		errs := make(chan error, 2)
		for i, h := range []host{one, two} {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, err := NewWriter(l, h.Replica).Append(ctx, configChange(-1, fmt.Sprint("op", i), float64(2+i)))
				errs <- err
			}()
		}
		g.Expect(<-errs).NotTo(HaveOccurred())
		var conflict *state.Conflict
		g.Expect(errors.As(<-errs, &conflict)).To(BeTrue())
		g.Expect(conflict.Winner.Writer).To(Equal("op0"))
		g.Expect(conflict.Winner.Offset).To(BeZero())
		synctest.Wait()
		g.Expect([]float64{one.share(), two.share()}).To(Equal([]float64{2, 2}))
		g.Expect(l.Appends()).To(BeEquivalentTo(2))
	})
}

// TestReaderGap guards against a reader that skips expired records and against
// a confirmed read while records are missing.
func TestReaderGap(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		current, late := newHost(l), newHost(l)
		appendRecord(ctx, l, configChange(-1, "a", 1))
		g.Expect(late.Poll(ctx)).To(Succeed())
		for i := range int64(5) {
			appendRecord(ctx, l, configChange(i, "a", float64(i+2)))
		}
		g.Expect(current.Poll(ctx)).To(Succeed())
		l.SetFaults(logfake.Faults{Keep: 2})
		at, _ := late.ConfirmedAt()
		g.Expect(late.Poll(ctx)).To(Succeed()) // reads the stream without finding a snapshot
		g.Expect(late.Poll(ctx)).To(MatchError(ErrNoSnapshot))
		now, _ := late.ConfirmedAt()
		g.Expect(now).To(Equal(at))
		g.Expect(late.share()).To(Equal(1.0))

		l.SetFaults(logfake.Faults{Keep: 3})
		g.Expect(NewSnapshotter(l, current.Replica, time.Hour, "up").appendSnapshot(ctx)).To(Succeed())
		appendRecord(ctx, l, configChange(5, "a", 9))
		for range 4 {
			_ = late.Poll(ctx)
		}
		now, _ = late.ConfirmedAt()
		g.Expect(now).To(BeNumerically(">", at))
		g.Expect(late.share()).To(Equal(9.0))
		l2 := newHost(logfake.New())
		g.Expect(l2.Restore(mustSnapshot(late.cfg))).To(Succeed())
		g.Expect(l2.Poll(ctx)).To(MatchError(ErrLogReset))
	})
}

func mustSnapshot(c *state.Config) []byte {
	data, err := c.Snapshot()
	if err != nil {
		panic(err)
	}
	return data
}

// TestAge guards against an age that starts at the reply of a slow read, or at
// a read that failed.
func TestAge(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		h := newHost(l)
		_, ok := h.Age()
		g.Expect(ok).To(BeFalse())
		appendRecord(ctx, l, configChange(-1, "a", 1))
		l.SetFaults(logfake.Faults{Delay: 300 * time.Millisecond})
		g.Expect(h.Poll(ctx)).To(Succeed())
		age, _ := h.Age()
		g.Expect(age).To(Equal(300 * time.Millisecond))
		l.SetFaults(logfake.Faults{Down: true})
		time.Sleep(time.Second)
		g.Expect(h.Poll(ctx)).To(MatchError(platformlog.ErrUnavailable))
		age, _ = h.Age()
		g.Expect(age).To(Equal(1300 * time.Millisecond))

		h.RecordConfirmedRead(h.NextOffset()+1, h.clock.Now())
		after, _ := h.Age()
		g.Expect(after).To(Equal(age), "a read that found records that are not applied must not confirm the state")

		l.SetFaults(logfake.Faults{})
		go h.Run(ctx)
		time.Sleep(time.Millisecond)
		age, _ = h.Age()
		g.Expect(age).To(Equal(time.Millisecond), "the first read after an outage must not be a long poll")
		time.Sleep(time.Second)
		worst := time.Duration(0)
		for range 1000 {
			time.Sleep(7 * time.Millisecond)
			if age, _ = h.Age(); age > worst {
				worst = age
			}
		}
		g.Expect(worst).To(BeNumerically("<=", 2*ShortPollTimeout))
	})
}

// TestSnapshots guards against records that expire before a snapshot includes
// them, and against every host appending the same snapshot.
func TestSnapshots(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		hosts := []host{newHost(l), newHost(l), newHost(l)}
		for i, h := range hosts {
			go h.Run(ctx)
			go NewSnapshotter(l, h.Replica, 4*time.Hour, fmt.Sprint(i)).Run(ctx)
		}
		for i := range int64(state.SnapshotInterval - 1) {
			appendRecord(ctx, l, configChange(i-1, "a", 1))
		}
		time.Sleep(time.Hour)
		count := func() int { return int(l.Appends()) }
		g.Expect(count()).To(Equal(999), "no snapshot is due")
		appendRecord(ctx, l, configChange(998, "a", 2))
		time.Sleep(2 * time.Minute)
		g.Expect(count()).To(And(BeNumerically(">", 1000), BeNumerically("<=", 1002)), "one snapshot because of the number of records, rarely two")
		after := count()
		time.Sleep(110 * time.Minute)
		g.Expect(count()).To(Equal(after))
		time.Sleep(12 * time.Minute)
		g.Expect(count()).To(BeNumerically("~", after+1, 1), "one snapshot because of the retention time")
		g.Expect(count()).To(BeNumerically(">", after))

		l.SetFaults(logfake.Faults{Keep: count() - after + 1})
		fresh := newHost(l)
		for range 4 {
			_ = fresh.Poll(ctx)
		}
		g.Expect(fresh.share()).To(Equal(2.0))
	})
}

// TestAssignmentWriter guards against more appends than the budget allows,
// assignments that are reported before they are read back, and a replaced
// leader that continues.
func TestAssignmentWriter(t *testing.T) {
	runInBubble(t, func(g *WithT, ctx context.Context, l *logfake.Log) {
		start := func(host topology.HostID, term uint32) (*AssignmentWriter, chan error, *atomic.Int64) {
			fold := state.NewAssignments("c")
			r := NewReplica(fold.Fold, clock.NewMonotonic(), ShortPollTimeout)
			go NewReader(l, r).Run(ctx)
			recorded, done := new(atomic.Int64), make(chan error, 1)
			w := NewAssignmentWriter(NewWriter(l, r), fold, "p", "booking", host, topology.Fence{List: 1, Term: term}, func(b record.Assignments) {
				for _, gr := range b.Grants {
					recorded.Add(int64(len(gr.Shards)))
				}
			})
			go func() { done <- w.Run(ctx, 0) }()
			return w, done, recorded
		}
		grant := func(w *AssignmentWriter, term uint32, i int) {
			w.Grant(record.Grant{Server: "s", Fence: topology.Fence{List: 1, Term: term, Seq: uint64(i)}, Shards: []topology.ShardID{topology.ShardID(i)}})
		}
		earlier, earlierDone, recorded := start("h1", 1)
		for i := range 100 {
			grant(earlier, 1, i)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(recorded.Load()).To(BeEquivalentTo(100))
		g.Expect(l.Appends()).To(BeNumerically("<=", 3))

		l.SetFaults(logfake.Faults{DropAppends: true})
		grant(earlier, 1, 7)
		time.Sleep(time.Second)
		g.Expect(recorded.Load()).To(BeEquivalentTo(100), "not read back")
		l.SetFaults(logfake.Faults{Down: true})
		later, _, _ := start("h2", 2)
		l.SetFaults(logfake.Faults{})
		time.Sleep(10 * time.Second)
		grant(later, 2, 7)
		time.Sleep(2 * time.Second)
		grant(earlier, 1, 8)
		time.Sleep(2 * time.Second)
		g.Expect(<-earlierDone).To(MatchError(ContainSubstring("leader of list 1 term 1 was replaced by list 1 term 2")))
	})
}
