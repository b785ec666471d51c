// Package relay passes the streams of the log from host to host, so that most
// hosts do not read the log themselves. A subscriber is a host that receives the
// streams, and its upstream is the host that sends them.
package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
)

const (
	// tickInterval is the time between two ticks of a subscriber. A tick is a
	// message with a reading of the subscriber's clock.
	tickInterval = 2 * time.Second
	// tickTimeout is the time without a tick after which the server ends the
	// subscription.
	tickTimeout = 10 * time.Second
	// maxMessageBytes limits the size of the records in one message. A larger
	// record is sent in a message of its own.
	maxMessageBytes = 1 << 20
	// driftDivisor limits the drift between the clocks of two hosts to 1/500 of
	// the elapsed time: 0.1% for each clock.
	driftDivisor = 500
)

// Server sends the streams of a host's replicas to subscribers.
type Server struct {
	host     string
	clock    clock.Clock
	replicas map[string]*logstream.Replica
}

// NewServer returns a server for the replicas, which must use the clock c.
func NewServer(host string, c clock.Clock, replicas ...*logstream.Replica) *Server {
	s := &Server{host: host, clock: c, replicas: make(map[string]*logstream.Replica)}
	for _, r := range replicas {
		s.replicas[r.Name()] = r
	}
	return s
}

// Relay implements the Relay call of the peer interface for one subscriber.
func (s *Server) Relay(rpc peerpb.Peer_RelayServer) error {
	first, err := rpc.Recv()
	if err != nil {
		return err
	}
	for _, p := range first.Positions {
		if s.replicas[p.Stream] == nil {
			return status.Errorf(codes.NotFound, "stream %q is not relayed", p.Stream)
		}
	}
	sub := &subscriber{clock: s.clock, host: s.host, rpc: rpc}
	sub.recordTick(first.TickUs)
	ctx, cancel := context.WithCancel(rpc.Context())
	defer cancel()
	failed := make(chan error, len(first.Positions)+2)
	sub.watchdog = time.AfterFunc(tickTimeout, func() { failed <- status.Error(codes.DeadlineExceeded, "subscriber sent no ticks") })
	defer sub.watchdog.Stop()
	go func() { failed <- sub.receiveTicks() }()
	for _, p := range first.Positions {
		go func() { failed <- sub.sendStream(ctx, s.replicas[p.Stream], p.Next) }()
	}
	// The return ends the call, which unblocks the other goroutines.
	return <-failed
}

type subscriber struct {
	clock clock.Clock
	host  string

	mu sync.Mutex // guards sends on rpc and the fields below
	// rpc must not be used by two goroutines at once to send messages.
	rpc grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayBatch]
	// clockOffset is a lower bound of the subscriber's clock minus the clock of
	// this host, as of measuredAt on the latter.
	clockOffset, measuredAt time.Duration
	hasOffset               bool
	watchdog                *time.Timer
}

func (s *subscriber) receiveTicks() error {
	for {
		m, err := s.rpc.Recv()
		if err != nil {
			return err
		}
		s.watchdog.Reset(tickTimeout)
		s.recordTick(m.TickUs)
	}
}

// recordTick updates clockOffset from a reading of the subscriber's clock. The
// clock of this host is read later, so the difference is a lower bound, and the
// largest one is the most accurate.
func (s *subscriber) recordTick(tickUs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	offset := time.Duration(tickUs)*time.Microsecond - now
	if !s.hasOffset || offset > s.clockOffset-(now-s.measuredAt)/driftDivisor {
		s.hasOffset, s.clockOffset, s.measuredAt = true, offset, now
	}
}

// sendStream sends one stream to the subscriber, starting at offset from.
func (s *subscriber) sendStream(ctx context.Context, r *logstream.Replica, from int64) error {
	// The subscriber switches to another upstream if it receives no message.
	heartbeatInterval := r.PollTimeout() * 5 / 4
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		page, changed, err := r.PageFrom(from)
		if err != nil {
			return status.Errorf(codes.Internal, "snapshot of stream %s: %v", r.Name(), err)
		}
		if err := s.sendPage(r.Name(), page); err != nil {
			return err
		}
		from = page.NextOffset
		timer.Reset(heartbeatInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// sendPage sends the snapshot and the records of a page. Only the last message
// contains the confirmed read, because the subscriber lacks records until then.
func (s *subscriber) sendPage(name string, p logstream.Page) error {
	if p.Snapshot != nil {
		parts, err := record.SplitSnapshot(p.Snapshot, p.NextOffset, time.Now().UnixMilli(), s.host)
		if err != nil {
			return status.Errorf(codes.Internal, "snapshot of stream %s: %v", name, err)
		}
		for _, e := range parts {
			data, err := e.Encode()
			if err != nil {
				return status.Errorf(codes.Internal, "snapshot of stream %s: %v", name, err)
			}
			if err := s.send(&peerpb.RelayBatch{Stream: name, Snapshot: data}, logstream.Page{}); err != nil {
				return err
			}
		}
	}
	for {
		n := recordsPerMessage(p.Records)
		b := &peerpb.RelayBatch{Stream: name}
		for _, r := range p.Records[:n] {
			b.Records = append(b.Records, &peerpb.LogRecord{Offset: r.Offset, Data: r.Data})
		}
		p.Records = p.Records[n:]
		if len(p.Records) == 0 {
			return s.send(b, p)
		}
		if err := s.send(b, logstream.Page{}); err != nil {
			return err
		}
	}
}

// recordsPerMessage returns how many of the first records fit into one message.
func recordsPerMessage(records []platformlog.Record) int {
	bytes := 0
	for i, r := range records {
		if bytes += len(r.Data); bytes > maxMessageBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// send adds the confirmed read of the page, if there is one, to the message and
// sends it.
func (s *subscriber) send(b *peerpb.RelayBatch, p logstream.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.IsConfirmed {
		b.Confirmed, b.LogNext = true, p.LogNextOffset
		b.ConfirmedTickUs = s.toSubscriberClock(p.ConfirmedAt).Microseconds()
	}
	return s.rpc.Send(b)
}

// toSubscriberClock converts a reading of this host's clock to the subscriber's
// clock. The result is never later than the exact value.
func (s *subscriber) toSubscriberClock(at time.Duration) time.Duration {
	return at + s.clockOffset - (at-s.measuredAt).Abs()/driftDivisor
}
