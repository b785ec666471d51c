package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// segmentBytes is the overhead of one TCP segment over IPv4 and of the
// acknowledgement that answers it.
const segmentBytes = 2 * 52

type traffic struct{ bytes, segments atomic.Int64 }

type countedConn struct {
	net.Conn
	t *traffic
}

func (c countedConn) Write(b []byte) (int, error) {
	c.t.bytes.Add(int64(len(b)))
	c.t.segments.Add(1)
	return c.Conn.Write(b)
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	c.t.segments.Add(1)
	return n, err
}

func hostStreams(c clock.Clock) []*logstream.Replica {
	var all []*logstream.Replica
	for _, f := range []*state.Fold{state.NewConfig().Fold, state.NewQuarantine().Fold} {
		all = append(all, logstream.NewReplica(f, c, logstream.DefaultPollTimeout))
	}
	all = append(all, logstream.NewReplica(state.NewMembers().Fold, c, logstream.ShortPollTimeout))
	return all
}

// TestBytes guards against a relay that exceeds the budget of a node, 5 KB/s
// for all of control, and reports the bytes of one change.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		c := clock.NewMonotonic()
		l := logfake.New()
		publish(ctx, l, -1, 1)
		streams := hostStreams(c)
		for _, s := range streams {
			go logstream.NewReader(l, s).Run(ctx)
		}
		n := &network{}
		srv := n.serve("a", c, streams...)
		sub := hostStreams(c)
		done := make(chan struct{})
		go func() {
			NewClient("b", c, l, n.dial, func() []topology.HostID { return []topology.HostID{"a"} }, sub...).Run(ctx)
			close(done)
		}()
		measure := func(d time.Duration) (payload, total float64) {
			b, s := n.sent.bytes.Load(), n.sent.segments.Load()
			time.Sleep(d)
			payload = float64(n.sent.bytes.Load()-b) / d.Seconds()
			return payload, payload + float64(n.sent.segments.Load()-s)*segmentBytes/d.Seconds()
		}
		time.Sleep(10 * time.Second)
		idle, idleTotal := measure(time.Minute)
		const changes = 600
		size := 0
		go func() {
			for i := range int64(changes) {
				publish(ctx, l, i, float64(i+2))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		busy, busyTotal := measure(time.Minute)
		b, err := l.Read(ctx, record.StreamConfig, 9, 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		size = len(b.Records[0].Data)
		t.Logf("idle subscription: %.0f B/s payload, %.0f B/s with TCP/IP", idle, idleTotal)
		t.Logf("10 changes/s of %d bytes: %.0f B/s payload, %.0f B/s with TCP/IP; %.0f bytes per change", size, busy, busyTotal, (busyTotal-idleTotal)/10)
		// A host has one upstream and at most five subscribers; there are 8,200
		// changes a day.
		const subscriptions, budget = 6, 5000
		perDay := 8200.0 / (24 * 60 * 60)
		g.Expect(subscriptions * (idleTotal + perDay*(busyTotal-idleTotal)/10)).To(BeNumerically("<", budget))
		g.Expect(sub[0].NextOffset()).To(BeEquivalentTo(changes + 1))
		cancel()
		<-done
		srv.Stop()
	})
}
