// Package relay passes the streams of the log from host to host, so that most
// hosts do not read the log themselves.
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
	// tickInterval is the time between two clock readings of a subscriber.
	tickInterval = 2 * time.Second
	// tickLimit is the time without a tick after which a subscriber counts as
	// gone.
	tickLimit = 10 * time.Second
	// maxMessageBytes bounds the records of one message; one record may be
	// larger.
	maxMessageBytes = 1 << 20
	// rateError bounds the relative error between the clocks of two hosts:
	// 0.1% each.
	rateError = 500
)

// Server serves subscribers from a host's copies of streams, whatever feeds
// them.
type Server struct {
	host    string
	clock   clock.Clock
	streams map[string]*logstream.Replica
}

// NewServer returns a server of the streams. The clock is that of the streams.
func NewServer(host string, c clock.Clock, streams ...*logstream.Replica) *Server {
	s := &Server{host: host, clock: c, streams: make(map[string]*logstream.Replica)}
	for _, st := range streams {
		s.streams[st.Name()] = st
	}
	return s
}

// Relay implements the relay call for one subscriber.
func (s *Server) Relay(rpc peerpb.Peer_RelayServer) error {
	first, err := rpc.Recv()
	if err != nil {
		return err
	}
	for _, p := range first.Positions {
		if s.streams[p.Stream] == nil {
			return status.Errorf(codes.NotFound, "stream %q is not relayed", p.Stream)
		}
	}
	sub := &subscriber{clock: s.clock, host: s.host, rpc: rpc}
	sub.tick(first.TickUs)
	ctx, cancel := context.WithCancel(rpc.Context())
	defer cancel()
	failed := make(chan error, len(first.Positions)+2)
	sub.watchdog = time.AfterFunc(tickLimit, func() { failed <- status.Error(codes.DeadlineExceeded, "subscriber sends no ticks") })
	defer sub.watchdog.Stop()
	go func() { failed <- sub.receive() }()
	for _, p := range first.Positions {
		go func() { failed <- sub.serve(ctx, s.streams[p.Stream], p.Next) }()
	}
	// The end of this call unblocks the sends of the other goroutines.
	return <-failed
}

type subscriber struct {
	clock clock.Clock
	host  string

	mu sync.Mutex // guards sends and the fields below
	// rpc sends messages and must not be used by two goroutines at once.
	rpc grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayBatch]
	// offset is a lower bound of the difference of the subscriber's clock and
	// ours, as of ours.
	offset, ours time.Duration
	ticked       bool
	watchdog     *time.Timer
}

func (s *subscriber) receive() error {
	for {
		m, err := s.rpc.Recv()
		if err != nil {
			return err
		}
		s.watchdog.Reset(tickLimit)
		s.tick(m.TickUs)
	}
}

// tick takes a reading of the subscriber's clock. Our clock is read later, so
// the difference is a lower bound, and the largest one is the closest.
func (s *subscriber) tick(us int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	offset := time.Duration(us)*time.Microsecond - now
	if !s.ticked || offset > s.offset-(now-s.ours)/rateError {
		s.ticked, s.offset, s.ours = true, offset, now
	}
}

// serve sends what the subscriber lacks of one stream from an offset on.
func (s *subscriber) serve(ctx context.Context, st *logstream.Replica, from int64) error {
	// A message at least this often shows the subscriber that we are alive.
	heartbeat := st.PollTimeout() * 5 / 4
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		page, changed, err := st.PageFrom(from)
		if err != nil {
			return status.Errorf(codes.Internal, "snapshot of stream %s: %v", st.Name(), err)
		}
		if err := s.sendPage(st.Name(), page); err != nil {
			return err
		}
		from = page.NextOffset
		timer.Reset(heartbeat)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

// sendPage sends the snapshot and the records of a page. Only the last message
// says that the read was confirmed, because the subscriber lacks records
// before.
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
		n := messageLength(p.Records)
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

func messageLength(records []platformlog.Record) int {
	bytes := 0
	for i, r := range records {
		if bytes += len(r.Data); bytes > maxMessageBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

func (s *subscriber) send(b *peerpb.RelayBatch, p logstream.Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.IsConfirmed {
		b.Confirmed, b.LogNext = true, p.LogNextOffset
		b.ConfirmedTickUs = s.translate(p.ConfirmedAt).Microseconds()
	}
	return s.rpc.Send(b)
}

// translate returns a reading of the subscriber's clock that is not later than
// a reading of ours.
func (s *subscriber) translate(at time.Duration) time.Duration {
	return at + s.offset - (at-s.ours).Abs()/rateError
}
