// Package logging sets up structured logs. Each part of the system logs with a
// fixed prefix, and messages are short sentences.
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

// Component is the prefix of the messages of one part of the system.
type Component string

// Parts of the system.
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

// Setup directs all logs to standard error, as JSON or as text.
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

// SetupTo directs all logs to w, one JSON object a line.
func SetupTo(w io.Writer, level string) error {
	l, err := log.ParseLevel(level)
	if err != nil {
		return err
	}
	log.SetLevel(l)
	log.SetHandler(json.New(w))
	return nil
}

// asyncLines bounds the lines that wait to be written.
const asyncLines = 512

// AsyncWriter is a writer that never blocks: lines that do not fit into its buffer are
// dropped and counted. Its owner calls Run.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: make(chan []byte, asyncLines)}
}

// Write implements io.Writer. It always succeeds.
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

// Run writes lines until the process ends.
func (a *AsyncWriter) Run() {
	for line := range a.lines {
		_, _ = a.out.Write(line) // there is no other place to report it
	}
}

// Flush waits until the lines that were written before it are passed on, at most
// for the given time.
func (a *AsyncWriter) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); len(a.lines) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// For returns the logger of one part.
func For(p Component) Logger {
	return Logger{prefix: string(p) + ": ", entry: log.WithField("part", string(p))}
}

// Logger writes messages with the prefix of its part.
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

// Error logs msg with its cause at level error.
func (l Logger) Error(msg string, err error) { l.entry.WithError(err).Error(l.prefix + msg) }
