package logfake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/test/bufconn"

	"github.com/lycheerudder/lycheerudder/internal/platformlog"
)

// newHTTPClient returns a client that calls the handler of l over an in-memory
// connection.
func newHTTPClient(t *testing.T, l *Log) platformlog.Log {
	lis := bufconn.Listen(1 << 16)
	srv := &http.Server{Handler: l.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return lis.DialContext(ctx) }}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = srv.Close()
	})
	return platformlog.NewClientWithTransport("http://log", transport)
}

// TestContract guards against a client or a stand-in that violates the contract
// of platformlog.Log, in particular one that returns the wrong error for an
// append whose outcome is unknown.
func TestContract(t *testing.T) {
	const second = time.Second
	ctx := context.Background()
	format := func(b platformlog.Batch) string {
		s := fmt.Sprintf("%d-%d:", b.First, b.Next)
		for _, r := range b.Records {
			s += fmt.Sprintf(" %d=%s", r.Offset, r.Data)
		}
		return s
	}
	for name, run := range map[string]func(g *WithT, l platformlog.Log, setFaults func(Faults)){
		"offsets grow by one in each stream": func(g *WithT, l platformlog.Log, _ func(Faults)) {
			for i := range int64(3) {
				g.Expect(l.Append(ctx, "s", fmt.Append(nil, i))).To(Equal(i))
			}
			g.Expect(l.Append(ctx, "t/u", []byte("x"))).To(BeZero())
			b, err := l.Read(ctx, "s", 1, 1, 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(format(b)).To(Equal("0-3: 1=1"))
		},
		"refused calls have no effect": func(g *WithT, l platformlog.Log, setFaults func(Faults)) {
			setFaults(Faults{Down: true})
			_, err := l.Append(ctx, "s", []byte("x"))
			g.Expect(err).To(MatchError(platformlog.ErrUnavailable))
			_, err = l.Read(ctx, "s", 0, 1, 0)
			g.Expect(err).To(MatchError(platformlog.ErrUnavailable))
			setFaults(Faults{})
			b, _ := l.Read(ctx, "s", 0, 1, 0)
			g.Expect(format(b)).To(Equal("0-0:"))
		},
		"append with a lost reply takes effect once": func(g *WithT, l platformlog.Log, setFaults func(Faults)) {
			_, _ = l.Append(ctx, "s", []byte("a")) // opens the connection, so that the next append reuses it
			setFaults(Faults{LoseReplies: true})
			_, err := l.Append(ctx, "s", []byte("b"))
			g.Expect(err).To(MatchError(platformlog.ErrOutcomeUnknown))
			b, _ := l.Read(ctx, "s", 0, 9, 0)
			g.Expect(format(b)).To(Equal("0-2: 0=a 1=b"))
		},
		"dropped append has no effect and an unknown outcome": func(g *WithT, l platformlog.Log, setFaults func(Faults)) {
			setFaults(Faults{DropAppends: true})
			_, err := l.Append(ctx, "s", []byte("b"))
			g.Expect(err).To(MatchError(platformlog.ErrOutcomeUnknown))
			b, _ := l.Read(ctx, "s", 0, 9, 0)
			g.Expect(format(b)).To(Equal("0-0:"))
		},
		"slow call ends at the deadline of the caller": func(g *WithT, l platformlog.Log, setFaults func(Faults)) {
			setFaults(Faults{Delay: 10 * second})
			start := time.Now()
			short, cancel := context.WithTimeout(ctx, second)
			defer cancel()
			_, err := l.Read(short, "s", 0, 1, 0)
			g.Expect(err).To(MatchError(platformlog.ErrUnavailable))
			_, err = l.Append(short, "s", []byte("x"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(Equal(second))
		},
		"read waits for the next append": func(g *WithT, l platformlog.Log, _ func(Faults)) {
			start := time.Now()
			b, err := l.Read(ctx, "s", 0, 1, second)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(format(b)).To(Equal("0-0:"))
			g.Expect(time.Since(start)).To(Equal(second))
			time.AfterFunc(second, func() { _, _ = l.Append(ctx, "s", []byte("x")) })
			b, _ = l.Read(ctx, "s", 0, 1, 9*second)
			g.Expect(format(b)).To(Equal("0-1: 0=x"))
			g.Expect(time.Since(start)).To(Equal(2 * second))
		},
		"read starts after expired records": func(g *WithT, l platformlog.Log, setFaults func(Faults)) {
			setFaults(Faults{Keep: 2})
			for i := range int64(5) {
				g.Expect(l.Append(ctx, "s", fmt.Append(nil, i))).To(Equal(i))
			}
			b, _ := l.Read(ctx, "s", 1, 9, 0)
			g.Expect(format(b)).To(Equal("3-5: 3=3 4=4"))
		},
		"record size limit": func(g *WithT, l platformlog.Log, _ func(Faults)) {
			_, err := l.Append(ctx, "s", make([]byte, platformlog.MaxRecordBytes+1))
			g.Expect(err).To(MatchError(platformlog.ErrTooLarge))
			_, err = l.Append(ctx, "s", make([]byte, platformlog.MaxRecordBytes))
			g.Expect(err).NotTo(HaveOccurred())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := New()
				run(NewWithT(t), l, l.SetFaults)
			})
			synctest.Test(t, func(t *testing.T) {
				l := New()
				run(NewWithT(t), newHTTPClient(t, l), l.SetFaults)
			})
		})
	}
}
