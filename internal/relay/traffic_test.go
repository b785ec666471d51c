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

// segmentOverheadBytes is the size of the headers of one TCP segment over IPv4
// and of its acknowledgement.
const segmentOverheadBytes = 2 * 52

// traffic counts the bytes and segments that pass a connection.
type traffic struct{ bytes, segments atomic.Int64 }

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Write(b []byte) (int, error) {
	c.traffic.bytes.Add(int64(len(b)))
	c.traffic.segments.Add(1)
	return c.Conn.Write(b)
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.segments.Add(1)
	return n, err
}

func newReplicas(c clock.Clock) []*logstream.Replica {
	var replicas []*logstream.Replica
	for _, f := range []*state.Fold{state.NewConfig().Fold, state.NewQuarantine().Fold} {
		replicas = append(replicas, logstream.NewReplica(f, c, logstream.DefaultPollTimeout))
	}
	replicas = append(replicas, logstream.NewReplica(state.NewMembers().Fold, c, logstream.ShortPollTimeout))
	return replicas
}

// TestBytes guards against a relay that exceeds the budget of a host for all
// control traffic, 5 KB/s, and prints the bytes per change.
func TestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		c := clock.NewMonotonic()
		l := logfake.New()
		appendConfig(ctx, l, -1, 1)
		upstream := newReplicas(c)
		for _, r := range upstream {
			go logstream.NewReader(l, r).Run(ctx)
		}
		n := &network{}
		srv := n.serve("a", c, upstream...)
		subscriber := newReplicas(c)
		done := make(chan struct{})
		go func() {
			NewClient("b", c, l, n.dial, func() []topology.HostID { return []topology.HostID{"a"} }, subscriber...).Run(ctx)
			close(done)
		}()
		measure := func(d time.Duration) (payload, total float64) {
			b, s := n.sent.bytes.Load(), n.sent.segments.Load()
			time.Sleep(d)
			payload = float64(n.sent.bytes.Load()-b) / d.Seconds()
			return payload, payload + float64(n.sent.segments.Load()-s)*segmentOverheadBytes/d.Seconds()
		}
		time.Sleep(10 * time.Second)
		idle, idleTotal := measure(time.Minute)
		const changes = 600
		size := 0
		go func() {
			for i := range int64(changes) {
				appendConfig(ctx, l, i, float64(i+2))
				time.Sleep(100 * time.Millisecond)
			}
		}()
		busy, busyTotal := measure(time.Minute)
		b, err := l.Read(ctx, record.StreamConfig, 9, 1, 0)
		g.Expect(err).NotTo(HaveOccurred())
		size = len(b.Records[0].Data)
		t.Logf("idle subscription: %.0f B/s payload, %.0f B/s with TCP/IP", idle, idleTotal)
		t.Logf("10 changes/s of %d bytes: %.0f B/s payload, %.0f B/s with TCP/IP; %.0f bytes per change", size, busy, busyTotal, (busyTotal-idleTotal)/10)
		// A host has one upstream and at most five subscribers. There are 8,200
		// changes per day.
		const subscriptions, budget = 6, 5000
		changesPerSecond := 8200.0 / (24 * 60 * 60)
		g.Expect(subscriptions * (idleTotal + changesPerSecond*(busyTotal-idleTotal)/10)).To(BeNumerically("<", budget))
		g.Expect(subscriber[0].NextOffset()).To(BeEquivalentTo(changes + 1))
		cancel()
		<-done
		srv.Stop()
	})
}
