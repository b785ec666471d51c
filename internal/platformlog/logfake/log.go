// Package logfake is an in-memory stand-in for the platform's log service that
// injects the faults of the real one: outages, slow calls, appends whose reply
// is lost, and expired records.
package logfake

import (
	"context"
	"sync"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/platformlog"
)

// Faults are the faults that a Log injects.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// LoseReplies stores appended records but returns ErrOutcomeUnknown.
	LoseReplies bool `json:"lose_replies"`
	// DropAppends returns ErrOutcomeUnknown without storing the record.
	DropAppends bool `json:"drop_appends"`
	// Delay is the time by which every call is delayed.
	Delay time.Duration `json:"delay_ns"`
	// Keep is the number of the newest records of a stream that do not expire;
	// 0 keeps all records.
	Keep int `json:"keep"`
}

type stream struct {
	first   int64
	records [][]byte
	changed chan struct{}
}

// Log implements platformlog.Log in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int64
}

// New returns an empty log without faults.
func New() *Log {
	return &Log{streams: make(map[string]*stream)}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.expire(f.Keep)
	}
}

// Faults returns the injected faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if len(data) > platformlog.MaxRecordBytes {
		return 0, platformlog.ErrTooLarge
	}
	if err := l.delay(ctx); err != nil {
		return 0, platformlog.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.Down:
		return 0, platformlog.ErrUnavailable
	case l.faults.DropAppends:
		return 0, platformlog.ErrOutcomeUnknown
	}
	s := l.stream(name)
	offset := s.add(data)
	s.expire(l.faults.Keep)
	l.appends++
	if l.faults.LoseReplies {
		return 0, platformlog.ErrOutcomeUnknown
	}
	return offset, nil
}

// Read implements platformlog.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platformlog.Batch, error) {
	if err := l.delay(ctx); err != nil {
		return platformlog.Batch{}, platformlog.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := l.read(name, from, limit)
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return platformlog.Batch{}, platformlog.ErrUnavailable
		}
	}
}

func (l *Log) read(name string, from int64, limit int) (platformlog.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return platformlog.Batch{}, nil, platformlog.ErrUnavailable
	}
	s := l.stream(name)
	b := platformlog.Batch{First: s.first, Next: s.next()}
	for o := max(from, s.first); o < s.next() && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platformlog.Record{Offset: o, Data: s.records[o-s.first]})
	}
	return b, s.changed, nil
}

func (l *Log) delay(ctx context.Context) error {
	d := l.Faults().Delay
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) add(data []byte) int64 {
	offset := s.next()
	s.records = append(s.records, append([]byte(nil), data...))
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *stream) expire(keep int) {
	if keep <= 0 || len(s.records) <= keep {
		return
	}
	expired := len(s.records) - keep
	s.records = s.records[expired:]
	s.first += int64(expired)
}
