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
	snapshotCheckInterval = 10 * time.Second
	// markersPerRecord is the number of markers that count as one record. Each
	// host appends one per second, and a marker only costs the time to read it.
	markersPerRecord = 10
	// maxSnapshotDelay is the longest random delay before a snapshot. It lets
	// one host append its snapshot before the others, which then skip theirs.
	maxSnapshotDelay = 30 * time.Second
)

// Snapshotter appends a snapshot of a stream before records expire: when half of
// the retention time or state.SnapshotInterval records have passed since the
// last one. Every host that reads the log runs a Snapshotter. After a random
// delay it checks again and skips its snapshot if another host has appended one.
// Concurrent snapshots are harmless, because equal states have equal snapshots.
type Snapshotter struct {
	log       platformlog.Log
	replica   *Replica
	retention time.Duration
	writer    string
	logger    logging.Logger

	lastSnapshot state.SnapshotInfo
	periodStart  time.Time // wall-clock time from which the retention time counts
}

// NewSnapshotter returns a Snapshotter for a log that keeps records for
// retention.
func NewSnapshotter(log platformlog.Log, r *Replica, retention time.Duration, writer string) *Snapshotter {
	return &Snapshotter{
		log: log, replica: r, retention: retention, writer: writer,
		logger: logging.For(logging.State).With("stream", r.Name()), periodStart: time.Now(),
	}
}

// Run appends snapshots when they are due, until the context ends.
func (s *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, snapshotCheckInterval)
		if !s.due() {
			continue
		}
		clock.Sleep(ctx, rand.N(min(maxSnapshotDelay, s.retention/8))) //nolint:gosec // spreads load, needs no secrecy
		if ctx.Err() != nil || !s.due() {
			continue
		}
		if err := s.appendSnapshot(ctx); err != nil {
			s.logger.Error("failed to append a snapshot", err)
		}
	}
}

// due reports whether a snapshot is needed. If the state lacks records of an
// unknown version or kind, the host waits half as long again: a snapshot of a
// host with a later release is better, because it includes their changes.
func (s *Snapshotter) due() bool {
	var info state.SnapshotInfo
	var next, unknown int64
	s.replica.View(func(f *state.Fold) {
		info, next = f.LatestSnapshot(), f.NextOffset()
		_, unknown = f.UnknownRecords()
	})
	s.recordSnapshot(info)
	if s.replica.Stale() || next == 0 {
		return false
	}
	records, period := int64(state.SnapshotInterval), s.retention/2
	if unknown > 0 {
		records, period = records+records/2, period+period/2
	}
	return info.RecordsSince+info.MarkersSince/markersPerRecord >= records || time.Since(s.periodStart) >= period
}

// recordSnapshot starts a new retention period if info describes a new snapshot.
// The period starts when the snapshot was written, but not later than now, so
// that a writer whose clock is ahead cannot delay the next snapshot.
func (s *Snapshotter) recordSnapshot(info state.SnapshotInfo) {
	if info.NextOffset == s.lastSnapshot.NextOffset && info.WrittenAt == s.lastSnapshot.WrittenAt {
		return
	}
	s.lastSnapshot, s.periodStart = info, time.Now()
	if written := time.UnixMilli(info.WrittenAt); written.Before(s.periodStart) {
		s.periodStart = written
	}
}

func (s *Snapshotter) appendSnapshot(ctx context.Context) error {
	var data []byte
	var next int64
	var err error
	s.replica.View(func(f *state.Fold) {
		data, err = f.Snapshot()
		next = f.NextOffset()
	})
	if err != nil {
		return err
	}
	parts, err := record.SplitSnapshot(data, next, time.Now().UnixMilli(), s.writer)
	if err != nil {
		return err
	}
	for _, e := range parts {
		encoded, err := e.Encode()
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = s.log.Append(callCtx, s.replica.Name(), encoded)
		cancel()
		if err != nil {
			// The snapshot is retried at the next check if it is still due.
			return eris.Wrapf(err, "append part of a snapshot of %d bytes", len(data))
		}
	}
	s.logger.With("bytes", len(data)).With("parts", len(parts)).Info("snapshot appended")
	return nil
}
