package fleet

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// restoredGrace is how long evacuations that a restored store lacks stay in force: the
// operator writes again what the store has lost. The operator's writes take seconds, and
// an evacuation that lasts too long only leaves servers unused.
const restoredGrace = 5 * time.Second

// Evacuations holds the data centres whose servers must get no requests. It answers an
// operator who empties a data centre before work on it. Times are durations since an
// arbitrary origin. An Evacuations is not safe for concurrent use.
type Evacuations struct {
	// endsAt holds the evacuated data centres, and the time at which the evacuation of
	// each ends; zero if its end is not known.
	endsAt map[topology.DataCentre]time.Duration
}

// EvacuationChange is the begin or the end of the evacuation of a data centre.
type EvacuationChange struct {
	DataCentre topology.DataCentre
	Ended      bool
}

// Apply applies changes in their order.
func (e *Evacuations) Apply(changes []EvacuationChange) {
	for _, c := range changes {
		if c.Ended {
			delete(e.endsAt, c.DataCentre)
			continue
		}
		if e.endsAt == nil {
			e.endsAt = make(map[topology.DataCentre]time.Duration)
		}
		e.endsAt[c.DataCentre] = 0
	}
}

// Replace applies a complete list of evacuations. If the list is that of a store which
// was restored from a copy, evacuations that it lacks end only after restoredGrace.
func (e *Evacuations) Replace(list []EvacuationChange, restored bool, now time.Duration) {
	for dc := range e.endsAt {
		if slices.Contains(list, EvacuationChange{DataCentre: dc}) {
			continue
		}
		if restored {
			e.endsAt[dc] = now + restoredGrace
			continue
		}
		delete(e.endsAt, dc)
	}
	e.Apply(list)
}

// Includes reports whether a data centre is evacuated.
func (e *Evacuations) Includes(dc topology.DataCentre, now time.Duration) bool {
	end, ok := e.endsAt[dc]
	return ok && (end == 0 || now < end)
}

// List returns the evacuated data centres in ascending order.
func (e *Evacuations) List(now time.Duration) []topology.DataCentre {
	var list []topology.DataCentre
	for dc := range e.endsAt {
		if e.Includes(dc, now) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}
