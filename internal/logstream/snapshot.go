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
	// markersPerRecord is the number of markers that count like one record. A
	// host appends one per second, and each only costs reading time.
	markersPerRecord = 10
	// maxSnapshotDelay is the time over which the readers of the log spread
	// their snapshots. The first one to append makes the others skip theirs.
	maxSnapshotDelay = 30 * time.Second
)

// Snapshotter appends snapshots of a stream before records expire: when half
// of the retention time or state.SnapshotInterval records have passed since
// the last one. Every host that reads the log runs one. After a random delay
// each checks again and skips its snapshot if another host wrote one. Two
// snapshots at once are harmless, because equal states have equal snapshots.
type Snapshotter struct {
	log       platformlog.Log
	replica   *Replica
	retention time.Duration
	writer    string
	logger    logging.Logger

	lastSnapshot state.SnapshotInfo
	periodStart  time.Time // wall clock from which the retention time counts
}

// NewSnapshotter returns a Snapshotter for a log that keeps records for
// retention.
func NewSnapshotter(log platformlog.Log, r *Replica, retention time.Duration, writer string) *Snapshotter {
	return &Snapshotter{
		log: log, replica: r, retention: retention, writer: writer,
		logger: logging.For(logging.State).With("stream", r.Name()), periodStart: time.Now(),
	}
}

// Run checks and appends until the context ends.
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
			s.logger.Error("Snapshot cannot be appended.", err)
		}
	}
}

// due reports whether a snapshot is needed. A host that does not understand
// some records waits half as long again: a snapshot of a later release is
// better, because it includes what those records changed.
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

// recordSnapshot notes a new snapshot. Its written time counts only if it is earlier
// than the time at which it was seen, so that a writer whose clock is ahead
// cannot delay the next one.
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
			// The next check repeats the snapshot if it is still due.
			return eris.Wrapf(err, "append part of a snapshot of %d bytes", len(data))
		}
	}
	s.logger.With("bytes", len(data)).With("parts", len(parts)).Info("Snapshot is appended.")
	return nil
}
