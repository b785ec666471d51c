// Package operator holds the commands and queries of the operators' command
// line: it reads and publishes configuration through the platform's log, and
// asks the entry hosts for their state.
package operator

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

const (
	readLimit  = 500
	retryDelay = 100 * time.Millisecond
)

// Operator reads and writes the log on behalf of one operator.
type Operator struct {
	log    platformlog.Log
	writer string
}

// New returns an Operator whose records carry the writer's name.
func New(log platformlog.Log, writer string) *Operator { return &Operator{log: log, writer: writer} }

// Config reads the configuration that is accepted now. The document is nil if
// none was published.
func (o *Operator) Config(ctx context.Context) (*config.Document, state.Revision, error) {
	fold := state.NewConfig()
	if _, err := o.catchUp(ctx, fold.Fold, ""); err != nil {
		return nil, state.Revision{}, err
	}
	doc, rev := fold.Document()
	return doc, rev, nil
}

// Members reads the member lists, homes and statements of stopped hosts.
func (o *Operator) Members(ctx context.Context) (*state.Members, error) {
	fold := state.NewMembers()
	_, err := o.catchUp(ctx, fold.Fold, "")
	return fold, err
}

// Publish validates next against the accepted configuration and appends the
// change. base is the revision that next was derived from; a negative base
// means the one that is accepted now. It returns the revision of the change
// after it was read back and accepted. A conflict with another operator is a
// *state.Conflict.
func (o *Operator) Publish(ctx context.Context, next *config.Document, base int64) (state.Revision, error) {
	fold := state.NewConfig()
	if _, err := o.catchUp(ctx, fold.Fold, ""); err != nil {
		return state.Revision{}, err
	}
	prev, rev := fold.Document()
	if base >= 0 && base != rev.Offset {
		return state.Revision{}, &state.Conflict{Subject: "configuration", Base: base, Winner: rev}
	}
	if err := config.ValidateChange(prev, next); err != nil {
		return state.Revision{}, err
	}
	e, err := record.New(record.KindConfigChange, rev.Offset, o.writer, config.Diff(prev, next))
	if err != nil {
		return state.Revision{}, err
	}
	if err := o.append(ctx, fold.Fold, e); err != nil {
		return state.Revision{}, err
	}
	_, rev = fold.Document()
	return rev, nil
}

// DeclareStopped appends the statement that host incarnations run no longer.
func (o *Operator) DeclareStopped(ctx context.Context, h record.HostsStopped) error {
	fold := state.NewMembers()
	if _, err := o.catchUp(ctx, fold.Fold, ""); err != nil {
		return err
	}
	e, err := record.New(record.KindHostsStopped, fold.StoppedRevision().Offset, o.writer, h)
	if err != nil {
		return err
	}
	return o.append(ctx, fold.Fold, e)
}

// append appends a record and reads it back. Only the record in the log tells
// the result: a reply can be lost although the append took effect, and then
// the same record is not appended again.
func (o *Operator) append(ctx context.Context, fold *state.Fold, e record.Envelope) error {
	data, err := e.Encode()
	if err != nil {
		return err
	}
	for {
		_, appendErr := o.log.Append(ctx, fold.Stream(), data)
		if appendErr != nil && !errors.Is(appendErr, platformlog.ErrOutcomeUnknown) {
			return eris.Wrap(appendErr, "append")
		}
		out, err := o.catchUp(ctx, fold, e.ID)
		switch {
		case err != nil:
			return eris.Wrap(err, "the change may have been published; read back failed")
		case out.Kind == state.Rejected:
			return out.Err
		case out.Kind == state.Applied:
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(appendErr, "the change was not found in the log")
		case <-time.After(retryDelay):
		}
	}
}

// catchUp folds the stream up to its end and returns the outcome of the record
// with the id, if it was seen.
func (o *Operator) catchUp(ctx context.Context, fold *state.Fold, id string) (state.Outcome, error) {
	var found state.Outcome
	for {
		b, err := o.log.Read(ctx, fold.Stream(), fold.NextOffset(), readLimit, 0)
		if err != nil {
			return found, eris.Wrapf(err, "read stream %s", fold.Stream())
		}
		next := fold.NextOffset()
		for _, r := range b.Records {
			out := fold.Apply(r.Offset, r.Data)
			if id != "" && out.ID == id && out.Kind != state.Duplicate {
				found = out
			}
			next = r.Offset + 1
		}
		if next >= b.Next || len(b.Records) == 0 {
			return found, nil
		}
	}
}
