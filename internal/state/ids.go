package state

// ids remembers the results of the records of the last idWindow offsets.
type ids struct {
	byID  map[string]FirstOccurrence
	order []idEntry // by offset
}

type idEntry struct {
	ID string `json:"id"`
	FirstOccurrence
}

func newIDs() ids { return ids{byID: make(map[string]FirstOccurrence)} }

func (s *ids) get(id string) (FirstOccurrence, bool) {
	f, ok := s.byID[id]
	return f, ok
}

func (s *ids) add(id string, f FirstOccurrence) {
	s.byID[id] = f
	s.order = append(s.order, idEntry{id, f})
}

// expire forgets what is too old at an offset. It depends on offsets only, so
// that all readers remember the same ids.
func (s *ids) expire(offset int64) {
	n := 0
	for n < len(s.order) && s.order[n].Offset <= offset-idWindow {
		delete(s.byID, s.order[n].ID)
		n++
	}
	s.order = s.order[n:]
}
