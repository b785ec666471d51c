// Package publish changes the configuration on behalf of an operator.
package publish

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/follow"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

// Operator publishes configuration under one name.
type Operator struct {
	writer string
	fold   *state.Config
	stream *follow.Stream
	log    platformlog.Log
}

// NewOperator returns an Operator. Run must be running for all other calls.
func NewOperator(log platformlog.Log, writer string) *Operator {
	fold := state.NewConfig()
	return &Operator{writer: writer, fold: fold, stream: follow.NewStream(fold.Fold, clock.Boot{}, follow.FastWait), log: log}
}

// DefaultWriter returns the name under which the current user publishes.
func DefaultWriter() string {
	host, _ := os.Hostname()
	return os.Getenv("USER") + "@" + host
}

// Run follows the configuration until the context ends.
func (o *Operator) Run(ctx context.Context) { follow.NewFollower(o.log, o.stream).Run(ctx) }

// Plan is a reviewed change on top of one revision.
type Plan struct {
	Change config.Change
	// Lines describe the change; there are none if nothing changes.
	Lines []string
	base  state.Revision
}

// Plan compares a document with the configuration in force, which it reads
// from the log first. The error lists everything that is wrong with the
// document.
func (o *Operator) Plan(ctx context.Context, next *config.Document) (Plan, error) {
	if err := o.current(ctx); err != nil {
		return Plan{}, err
	}
	var prev *config.Document
	var base state.Revision
	o.stream.View(func(*state.Fold) { prev, base = o.fold.Document() })
	if err := config.ValidateChange(prev, next); err != nil {
		return Plan{}, eris.Wrap(err, "the configuration is not valid")
	}
	c := config.Diff(prev, next)
	return Plan{Change: c, Lines: c.Describe(prev), base: base}, nil
}

// current waits for a read of the log that was sent after the call.
func (o *Operator) current(ctx context.Context) error {
	called := clock.Boot{}.Now()
	for {
		changed := o.stream.Changed()
		if at, ok := o.stream.Confirmed(); ok && at >= called {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the configuration in force cannot be read")
		case <-changed:
		}
	}
}

// Publish appends the plan and returns its revision once the plan is in the
// log and accepted. If another operator was first the error is a
// *state.Conflict with the winner's writer and revision.
func (o *Operator) Publish(ctx context.Context, p Plan, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e, err := record.New(record.KindConfigChange, p.base.Offset, o.writer, p.Change)
	if err != nil {
		return 0, err
	}
	out, err := follow.NewWriter(o.log, o.stream).Append(ctx, e)
	return out.Offset, err
}
