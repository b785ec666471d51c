// Package logging sets up structured logs. Each component of the system logs with
// a fixed prefix. Messages are short sentences.
package logging

import (
	"bytes"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Component names a part of the system. The name is the prefix of its messages.
type Component string

// Components of the system.
const (
	Router   Component = "router"
	Control  Component = "control"
	Lead     Component = "lead"
	Grants   Component = "grants"
	State    Component = "state"
	Frontend Component = "frontend"
	Execute  Component = "execute"
	Admin    Component = "admin"
	Platform Component = "platform"
	Backend  Component = "server"
)

// Setup sets the level and directs all logs to standard error, as JSON or as text.
func Setup(level string, asJSON bool) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(l)
	if asJSON {
		log.SetHandler(json.New(os.Stderr))
	} else {
		log.SetHandler(text.New(os.Stderr))
	}
	return nil
}

// SetupTo sets the level and directs all logs to w, as one JSON object per line.
func SetupTo(w io.Writer, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(l)
	log.SetHandler(json.New(w))
	return nil
}

// maxBufferedLines bounds the lines in the buffer of an AsyncWriter.
const maxBufferedLines = 512

// AsyncWriter is a writer that never blocks. Lines that do not fit into its buffer
// are dropped and counted. The lines are written by Run.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that buffers lines for out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, maxBufferedLines)}
}

// Write implements io.Writer. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- bytes.Clone(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Run writes buffered lines to the underlying writer. It does not return.
func (a *AsyncWriter) Run() {
	for line := range a.lines {
		_, _ = a.out.Write(line) // an error of the log output cannot be logged
	}
}

// Flush waits until the buffer is empty or the timeout has passed.
func (a *AsyncWriter) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); len(a.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// For returns the logger of a component.
func For(c Component) Logger {
	return Logger{prefix: string(c) + ": ", entry: log.WithField("part", string(c))}
}

// Logger writes messages with the prefix of its component.
type Logger struct {
	prefix string
	entry  log.Interface
}

// With returns a logger that adds a field to every message.
func (l Logger) With(key string, value any) Logger {
	return Logger{prefix: l.prefix, entry: l.entry.WithField(key, value)}
}

// Debug logs msg at level debug.
func (l Logger) Debug(msg string) { l.entry.Debug(l.prefix + msg) }

// Info logs msg at level info.
func (l Logger) Info(msg string) { l.entry.Info(l.prefix + msg) }

// Warn logs msg at level warn.
func (l Logger) Warn(msg string) { l.entry.Warn(l.prefix + msg) }

// Error logs msg with err at level error.
func (l Logger) Error(msg string, err error) { l.entry.WithError(err).Error(l.prefix + msg) }
