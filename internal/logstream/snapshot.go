package logstream

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

const (
	snapshotCheck = 10 * time.Second
	// markersPerRecord is the number of markers that count like one record. A
	// host appends one per second, and each only costs reading time.
	markersPerRecord = 10
	// snapshotJitter is the time over which the readers of the log spread
	// their snapshots. The first one to append makes the others skip theirs.
	snapshotJitter = 30 * time.Second
)

// Snapshotter appends snapshots of a stream before records expire: when half
// of the retention time or state.SnapshotInterval records have passed since
// the last one. Every host that reads the log runs one. After a random delay
// each checks again and skips its snapshot if another host wrote one. Two
// snapshots at once are harmless, because equal states have equal snapshots.
type Snapshotter struct {
	log       platformlog.Log
	stream    *Replica
	retention time.Duration
	writer    string
	logger    logging.Logger

	last state.SnapshotInfo
	base time.Time // wall clock from which the retention time counts
}

// NewSnapshotter returns a Snapshotter for a log that keeps records for
// retention.
func NewSnapshotter(log platformlog.Log, s *Replica, retention time.Duration, writer string) *Snapshotter {
	return &Snapshotter{
		log: log, stream: s, retention: retention, writer: writer,
		logger: logging.For(logging.State).With("stream", s.Name()), base: time.Now(),
	}
}

// Run checks and appends until the context ends.
func (p *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, snapshotCheck)
		if !p.due() {
			continue
		}
		clock.Sleep(ctx, rand.N(min(snapshotJitter, p.retention/8))) //nolint:gosec // spreads load, needs no secrecy
		if ctx.Err() != nil || !p.due() {
			continue
		}
		if err := p.write(ctx); err != nil {
			p.logger.Error("Snapshot cannot be appended.", err)
		}
	}
}

// due reports whether a snapshot is needed. A host that does not understand
// some records waits half as long again: a snapshot of a later release is
// better, because it includes what those records changed.
func (p *Snapshotter) due() bool {
	var info state.SnapshotInfo
	var next, unknown int64
	p.stream.View(func(f *state.Fold) {
		info, next = f.LatestSnapshot(), f.NextOffset()
		_, unknown = f.UnknownRecords()
	})
	p.observe(info)
	if p.stream.Stale() || next == 0 {
		return false
	}
	records, period := int64(state.SnapshotInterval), p.retention/2
	if unknown > 0 {
		records, period = records+records/2, period+period/2
	}
	return info.RecordsSince+info.MarkersSince/markersPerRecord >= records || time.Since(p.base) >= period
}

// observe notes a new snapshot. Its written time counts only if it is earlier
// than the time at which it was seen, so that a writer whose clock is ahead
// cannot delay the next one.
func (p *Snapshotter) observe(info state.SnapshotInfo) {
	if info.NextOffset == p.last.NextOffset && info.WrittenAt == p.last.WrittenAt {
		return
	}
	p.last, p.base = info, time.Now()
	if written := time.UnixMilli(info.WrittenAt); written.Before(p.base) {
		p.base = written
	}
}

func (p *Snapshotter) write(ctx context.Context) error {
	var data []byte
	var next int64
	var err error
	p.stream.View(func(f *state.Fold) {
		data, err = f.Snapshot()
		next = f.NextOffset()
	})
	if err != nil {
		return err
	}
	parts, err := record.SplitSnapshot(data, next, time.Now().UnixMilli(), p.writer)
	if err != nil {
		return err
	}
	for _, e := range parts {
		encoded, err := e.Encode()
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = p.log.Append(call, p.stream.Name(), encoded)
		cancel()
		if err != nil {
			// The next check repeats the snapshot if it is still due.
			return eris.Wrapf(err, "append part of a snapshot of %d bytes", len(data))
		}
	}
	p.logger.With("bytes", len(data)).With("parts", len(parts)).Info("Snapshot is appended.")
	return nil
}
