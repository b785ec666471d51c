package state

// recentIDs maps the ids of records in the last idWindow offsets to their
// results.
type recentIDs struct {
	byID  map[string]FirstOccurrence
	order []idEntry // by offset
}

type idEntry struct {
	ID string `json:"id"`
	FirstOccurrence
}

func newRecentIDs() recentIDs { return recentIDs{byID: make(map[string]FirstOccurrence)} }

func (s *recentIDs) get(id string) (FirstOccurrence, bool) {
	f, ok := s.byID[id]
	return f, ok
}

func (s *recentIDs) add(id string, f FirstOccurrence) {
	s.byID[id] = f
	s.order = append(s.order, idEntry{id, f})
}

// expire removes the ids that are idWindow or more before the offset. It depends
// only on offsets, so that all readers have the same ids.
func (s *recentIDs) expire(offset int64) {
	n := 0
	for n < len(s.order) && s.order[n].Offset <= offset-idWindow {
		delete(s.byID, s.order[n].ID)
		n++
	}
	s.order = s.order[n:]
}
