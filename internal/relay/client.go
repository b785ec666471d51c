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
	// messageTimeout is the time without a message after which a subscriber
	// switches to another upstream. One of the streams must use
	// logstream.ShortPollTimeout, because an upstream sends a message on a stream
	// at least every 5/4 of its poll timeout.
	messageTimeout = time.Second
	// minStaleTimeout and maxStaleTimeout bound the time for which a subscriber
	// stays with a stale upstream. The time doubles while all upstreams are
	// stale, so that not every host reads the log at once after an outage.
	minStaleTimeout = time.Second
	maxStaleTimeout = 30 * time.Second
	// directReadPeriod is the time for which a host reads the log itself before
	// it tries its upstreams again.
	directReadPeriod = 10 * time.Second
	// retryDelay is the mean delay between two subscriptions.
	retryDelay = 100 * time.Millisecond
)

var (
	errMessageTimeout = errors.New("upstream sent nothing for 1 s")
	errStale          = errors.New("upstream has no recent confirmed read of the log")
	errGap            = errors.New("upstream skipped records")
)

// Dial returns a client of the peer interface of a host, and its close
// function.
type Dial func(topology.HostID) (peerpb.PeerClient, func(), error)

// Client keeps a host's replicas up to date from other hosts, and from the log
// if no other host has a recent state.
type Client struct {
	host     topology.HostID
	clock    clock.Clock
	log      platformlog.Log
	dial     Dial
	replicas []*logstream.Replica
	// upstreams returns the hosts to which the client may subscribe, in order of
	// preference.
	upstreams func() []topology.HostID
	logger    logging.Logger
}

// NewClient returns a client that updates the replicas. While there are no
// upstreams, it reads only the log.
func NewClient(host topology.HostID, c clock.Clock, log platformlog.Log, dial Dial, upstreams func() []topology.HostID, replicas ...*logstream.Replica) *Client {
	return &Client{host: host, clock: c, log: log, dial: dial, replicas: replicas, upstreams: upstreams, logger: logging.For(logging.State)}
}

// Run updates the replicas until the context ends.
func (c *Client) Run(ctx context.Context) {
	staleTimeout := minStaleTimeout
	for ctx.Err() == nil {
		for _, host := range c.upstreams() {
			started := c.clock.Now()
			err := c.subscribe(ctx, host, staleTimeout)
			if ctx.Err() != nil {
				return
			}
			c.logger.With("host", string(host)).Error("subscription ended", err)
			if c.clock.Now()-started > 2*staleTimeout {
				staleTimeout = minStaleTimeout // the upstream was up to date for a while
			}
			sleep(ctx, retryDelay/2+rand.N(retryDelay)) //nolint:gosec // spreads load, needs no secrecy
		}
		c.readLog(ctx)
		if c.stale() {
			staleTimeout = min(2*staleTimeout, maxStaleTimeout)
		} else {
			staleTimeout = minStaleTimeout
		}
	}
}

// readLog reads the log for directReadPeriod, or as long as there are no
// upstreams. If there are, it returns early when one of its checks, one per
// messageTimeout, finds a stale replica: the log may be unreachable.
func (c *Client) readLog(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := c.clock.Now()
	done := make(chan struct{}, len(c.replicas))
	for _, r := range c.replicas {
		go func() {
			logstream.NewReader(c.log, r).Run(ctx)
			done <- struct{}{}
		}()
	}
	for ctx.Err() == nil {
		sleep(ctx, messageTimeout)
		if len(c.upstreams()) > 0 && (c.stale() || c.clock.Now()-started >= directReadPeriod) {
			cancel()
		}
	}
	for range c.replicas {
		<-done
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stale reports whether any replica has no recent confirmed read. The limit for
// the stream members is 1.2 s, which is below the 1.5 s after which the log
// counts as unreachable.
func (c *Client) stale() bool { return slices.ContainsFunc(c.replicas, (*logstream.Replica).Stale) }

// subscribe updates the replicas from one host until the call fails, no message
// arrives for messageTimeout, or the replicas are stale after staleTimeout.
func (c *Client) subscribe(ctx context.Context, host topology.HostID, staleTimeout time.Duration) error {
	client, closeClient, err := c.dial(host)
	if err != nil {
		return eris.Wrap(err, "dial upstream")
	}
	defer closeClient()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(messageTimeout, func() { cancel(errMessageTimeout) })
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
		watchdog.Reset(messageTimeout)
		if err := c.apply(b); err != nil {
			return err
		}
		if c.clock.Now()-started > staleTimeout && c.stale() {
			return errStale
		}
	}
}

func (c *Client) sendTicks(ctx context.Context, rpc peerpb.Peer_RelayClient) {
	first := &peerpb.RelayRequest{Host: string(c.host)}
	for _, r := range c.replicas {
		first.Positions = append(first.Positions, &peerpb.StreamPosition{Stream: r.Name(), Next: r.NextOffset()})
	}
	for m := first; ; m = new(peerpb.RelayRequest) {
		m.TickUs = c.clock.Now().Microseconds()
		if rpc.Send(m) != nil {
			return // Recv returns the error
		}
		sleep(ctx, tickInterval)
		if ctx.Err() != nil {
			return
		}
	}
}

// apply applies a message of the upstream to the replica of its stream.
func (c *Client) apply(b *peerpb.RelayBatch) error {
	r := c.findReplica(b.Stream)
	if r == nil {
		return eris.Errorf("upstream sent unknown stream %q", b.Stream)
	}
	if len(b.Snapshot) > 0 {
		if err := r.RestorePart(b.Snapshot); err != nil && !errors.Is(err, state.ErrNotNewer) {
			return eris.Wrapf(err, "restore snapshot of stream %s", b.Stream)
		}
	}
	records := make([]platformlog.Record, 0, len(b.Records))
	for _, rec := range b.Records {
		records = append(records, platformlog.Record{Offset: rec.Offset, Data: rec.Data})
	}
	r.Apply(records)
	if n := len(records); n > 0 && r.NextOffset() <= records[n-1].Offset {
		return eris.Wrapf(errGap, "stream %s", b.Stream)
	}
	if b.Confirmed {
		r.RecordConfirmedRead(b.LogNext, time.Duration(b.ConfirmedTickUs)*time.Microsecond)
	}
	return nil
}

func (c *Client) findReplica(name string) *logstream.Replica {
	for _, r := range c.replicas {
		if r.Name() == name {
			return r
		}
	}
	return nil
}
