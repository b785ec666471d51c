package logstream

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/record"
)

// markerInterval is the time between two markers of a Reader.
const markerInterval = time.Second

// maxPendingMarkers limits the markers that have not been read back. With one
// marker per second, reads that lag by more than 16 s confirm nothing.
const maxPendingMarkers = 16

// markerSettings configures the markers for a log whose reads may miss
// acknowledged appends. A marker that was read back confirms the state up to it
// as of the time when its append was sent: every append that was acknowledged
// by then has a smaller offset.
type markerSettings struct{ writer string }

// EnableMarkers adapts the Reader to a log whose reads may miss acknowledged
// appends: Run appends a marker every second under the writer's name, and only
// reading a marker back confirms the state. It must be called before Run.
func (r *Reader) EnableMarkers(writer string) *Reader {
	r.markers = &markerSettings{writer: writer}
	return r
}

// appendMarkers appends markers until the context ends.
func (r *Reader) appendMarkers(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.appendMarker(ctx); err != nil && ctx.Err() == nil {
			r.replica.logger.Error("failed to append a marker", err)
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

// pendingMarker is a marker that has not been read back.
type pendingMarker struct {
	id     string
	sentAt time.Duration
}

// addPendingMarker records the time at which a marker is sent. It drops the
// oldest markers beyond maxPendingMarkers.
func (r *Replica) addPendingMarker(id string, sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingMarkers = append(r.pendingMarkers, pendingMarker{id, sentAt})
	r.pendingMarkers = r.pendingMarkers[max(0, len(r.pendingMarkers)-maxPendingMarkers):]
}

// confirmMarker confirms the state up to the marker at offset if this host
// appended the marker.
func (r *Replica) confirmMarker(id string, offset int64) {
	i := slices.IndexFunc(r.pendingMarkers, func(m pendingMarker) bool { return m.id == id })
	if i < 0 {
		return
	}
	r.confirm(offset+1, r.pendingMarkers[i].sentAt)
	r.pendingMarkers = r.pendingMarkers[i+1:]
}
