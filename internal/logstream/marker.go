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

// marker appends markers for a log whose reads may miss acknowledged appends.
// A marker that was read back confirms the state up to it, as of the time at
// which its append was sent: every append that was acknowledged by then has a
// smaller offset.
type marker struct{ writer string }

// EnableMarkers prepares the Follower for a log whose reads may miss acknowledged
// appends: Run appends a marker every second under the writer's name, and the
// state is only confirmed by reading it back. It must be called before Run.
func (f *Reader) EnableMarkers(writer string) *Reader {
	f.readBack = &marker{writer: writer}
	return f
}

// appendMarkers appends markers until the context ends.
func (f *Reader) appendMarkers(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.appendMarker(ctx); err != nil && ctx.Err() == nil {
			f.stream.log.Error("Marker cannot be appended.", err)
		}
		clock.Sleep(ctx, markerInterval)
	}
}

func (f *Reader) appendMarker(ctx context.Context) error {
	e, err := record.New(record.KindMarker, record.NoBase, f.readBack.writer, record.Marker{})
	if err != nil {
		return err
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	f.stream.expectMarker(e.ID, f.stream.clock.Now())
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = f.log.Append(call, f.stream.Name(), data)
	return eris.Wrap(err, "append marker")
}

// sentMarker is a marker that was not read back yet.
type sentMarker struct {
	id   string
	sent time.Duration
}

// expectMarker notes when a marker was sent.
func (s *Replica) expectMarker(id string, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markers = append(s.markers, sentMarker{id, sent})
	s.markers = s.markers[max(0, len(s.markers)-maxMarkers):]
}

// markerSeen confirms the state up to a marker at an offset, if the marker is
// of this host.
func (s *Replica) markerSeen(id string, offset int64) {
	i := slices.IndexFunc(s.markers, func(m sentMarker) bool { return m.id == id })
	if i < 0 {
		return
	}
	s.confirm(offset+1, s.markers[i].sent)
	s.markers = s.markers[i+1:]
}
