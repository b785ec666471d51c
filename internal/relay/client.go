package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// silence is the time without a message after which a subscriber switches.
	// One of the streams must use logstream.FastWait.
	silence = time.Second
	// minStay and maxStay bound the time that a subscriber stays with a stale
	// upstream. The time doubles while all are stale, so that a log that
	// returns after an outage is not read by every host at once.
	minStay = time.Second
	maxStay = 30 * time.Second
	// logTurn is how long a host reads the log itself before it tries its
	// upstreams again.
	logTurn = 10 * time.Second
	// retryDelay separates two attempts after a failed connection.
	retryDelay = 100 * time.Millisecond
)

var (
	errSilent = errors.New("upstream sent nothing for 1 s")
	errStale  = errors.New("upstream has no fresh read of the log")
	errGap    = errors.New("upstream left out records")
)

// Dial returns a client of the peer interface of a host, and its close
// function.
type Dial func(topology.HostID) (peerpb.PeerClient, func(), error)

// Client keeps a host's streams up to date from other hosts, and from the log
// as the last resort.
type Client struct {
	host    topology.HostID
	clock   clock.Clock
	log     platformlog.Log
	dial    Dial
	streams []*logstream.Replica
	// upstreams returns the hosts to subscribe to, best first.
	upstreams func() []topology.HostID
	logger    logging.Logger
}

// NewClient returns a client for the streams. Without upstreams it reads the
// log only.
func NewClient(host topology.HostID, c clock.Clock, log platformlog.Log, dial Dial, upstreams func() []topology.HostID, streams ...*logstream.Replica) *Client {
	return &Client{host: host, clock: c, log: log, dial: dial, streams: streams, upstreams: upstreams, logger: logging.For(logging.State)}
}

// Run feeds the streams until the context ends.
func (c *Client) Run(ctx context.Context) {
	stay := minStay
	for ctx.Err() == nil {
		for _, host := range c.upstreams() {
			started := c.clock.Now()
			err := c.subscribe(ctx, host, stay)
			if ctx.Err() != nil {
				return
			}
			c.logger.With("host", string(host)).Error("Subscription ended.", err)
			if c.clock.Now()-started > 2*stay {
				stay = minStay // the upstream was fresh for a while
			}
			pause(ctx, retryDelay/2+rand.N(retryDelay)) //nolint:gosec // spreads load, needs no secrecy
		}
		c.readLog(ctx)
		if c.stale() {
			stay = min(2*stay, maxStay)
		} else {
			stay = minStay
		}
	}
}

// readLog reads the log itself for logTurn, or as long as there is no
// upstream. A log that does not answer is given up after silence.
func (c *Client) readLog(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := c.clock.Now()
	done := make(chan struct{}, len(c.streams))
	for _, s := range c.streams {
		go func() {
			logstream.NewReader(c.log, s).Run(ctx)
			done <- struct{}{}
		}()
	}
	for ctx.Err() == nil {
		pause(ctx, silence)
		if len(c.upstreams()) > 0 && (c.stale() || c.clock.Now()-started >= logTurn) {
			cancel()
		}
	}
	for range c.streams {
		<-done
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stale reports whether any stream lacks a recent confirmed read. For the
// stream members that is 1.2 s, which is below the 1.5 s after which the log
// counts as lost.
func (c *Client) stale() bool { return slices.ContainsFunc(c.streams, (*logstream.Replica).Stale) }

// subscribe feeds the streams from one host until it fails, is silent, or is
// stale after stay.
func (c *Client) subscribe(ctx context.Context, host topology.HostID, stay time.Duration) error {
	client, closeClient, err := c.dial(host)
	if err != nil {
		return eris.Wrap(err, "dial upstream")
	}
	defer closeClient()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	rpc, err := client.Relay(ctx)
	if err != nil {
		return eris.Wrap(err, "subscribe")
	}
	go c.sendTicks(ctx, rpc)
	started := c.clock.Now()
	for {
		b, err := rpc.Recv()
		if err != nil {
			return eris.Wrap(errors.Join(err, context.Cause(ctx)), "receive from upstream")
		}
		watchdog.Reset(silence)
		if err := c.deliver(b); err != nil {
			return err
		}
		if c.clock.Now()-started > stay && c.stale() {
			return errStale
		}
	}
}

func (c *Client) sendTicks(ctx context.Context, rpc peerpb.Peer_RelayClient) {
	first := &peerpb.RelayRequest{Host: string(c.host)}
	for _, s := range c.streams {
		first.Positions = append(first.Positions, &peerpb.StreamPosition{Stream: s.Name(), Next: s.NextOffset()})
	}
	for m := first; ; m = new(peerpb.RelayRequest) {
		m.TickUs = c.clock.Now().Microseconds()
		if rpc.Send(m) != nil {
			return // Recv returns the error
		}
		pause(ctx, tickInterval)
		if ctx.Err() != nil {
			return
		}
	}
}

func (c *Client) deliver(b *peerpb.RelayBatch) error {
	s := c.stream(b.Stream)
	if s == nil {
		return eris.Errorf("upstream sent the unknown stream %q", b.Stream)
	}
	if len(b.Snapshot) > 0 {
		if err := s.RestorePart(b.Snapshot); err != nil && !errors.Is(err, state.ErrNotNewer) {
			return eris.Wrapf(err, "snapshot of stream %s", b.Stream)
		}
	}
	records := make([]platformlog.Record, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, platformlog.Record{Offset: r.Offset, Data: r.Data})
	}
	s.Apply(records)
	if n := len(records); n > 0 && s.NextOffset() <= records[n-1].Offset {
		return eris.Wrapf(errGap, "stream %s", b.Stream)
	}
	if b.Confirmed {
		s.RecordConfirmedRead(b.LogNext, time.Duration(b.ConfirmedTickUs)*time.Microsecond)
	}
	return nil
}

func (c *Client) stream(name string) *logstream.Replica {
	for _, s := range c.streams {
		if s.Name() == name {
			return s
		}
	}
	return nil
}
