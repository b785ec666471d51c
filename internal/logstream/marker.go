package logstream

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/record"
)

// markerInterval is the time between two markers of a reader.
const markerInterval = time.Second

// maxMarkers is the number of markers that may be on their way. Reads that lag
// by more than this many seconds confirm nothing.
const maxMarkers = 16

// markerSettings appends markers for a log whose reads may miss acknowledged appends.
// A markerSettings that was read back confirms the state up to it, as of the time at
// which its append was sent: every append that was acknowledged by then has a
// smaller offset.
type markerSettings struct{ writer string }

// EnableMarkers prepares the Follower for a log whose reads may miss acknowledged
// appends: Run appends a marker every second under the writer's name, and the
// state is only confirmed by reading it back. It must be called before Run.
func (r *Reader) EnableMarkers(writer string) *Reader {
	r.markers = &markerSettings{writer: writer}
	return r
}

// appendMarkers appends markers until the context ends.
func (r *Reader) appendMarkers(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.appendMarker(ctx); err != nil && ctx.Err() == nil {
			r.replica.logger.Error("Marker cannot be appended.", err)
		}
		clock.Sleep(ctx, markerInterval)
	}
}

func (r *Reader) appendMarker(ctx context.Context) error {
	e, err := record.New(record.KindMarker, record.NoBase, r.markers.writer, record.Marker{})
	if err != nil {
		return err
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	r.replica.addPendingMarker(e.ID, r.replica.clock.Now())
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = r.log.Append(callCtx, r.replica.Name(), data)
	return eris.Wrap(err, "append marker")
}

// pendingMarker is a marker that was not read back yet.
type pendingMarker struct {
	id     string
	sentAt time.Duration
}

// addPendingMarker notes when a marker was sent.
func (r *Replica) addPendingMarker(id string, sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingMarkers = append(r.pendingMarkers, pendingMarker{id, sent})
	r.pendingMarkers = r.pendingMarkers[max(0, len(r.pendingMarkers)-maxMarkers):]
}

// confirmMarker confirms the state up to a marker at an offset, if the marker is
// of this host.
func (r *Replica) confirmMarker(id string, offset int64) {
	i := slices.IndexFunc(r.pendingMarkers, func(m pendingMarker) bool { return m.id == id })
	if i < 0 {
		return
	}
	r.confirm(offset+1, r.pendingMarkers[i].sentAt)
	r.pendingMarkers = r.pendingMarkers[i+1:]
}
