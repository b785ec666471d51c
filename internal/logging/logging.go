// Package logging sets up structured logs. Each part of the system logs with a
// fixed prefix, and messages are short sentences.
package logging

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// Part is the prefix of the messages of one part of the system.
type Part string

// Parts of the system.
const (
	Router   Part = "router"
	Control  Part = "control"
	Lead     Part = "lead"
	Grants   Part = "grants"
	State    Part = "state"
	Frontend Part = "frontend"
	Execute  Part = "execute"
	Admin    Part = "admin"
	Platform Part = "platform"
	Backend  Part = "server"
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

// For returns the logger of one part.
func For(p Part) Logger {
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
