package ownership

// split makes key the first key of a segment.
func (l *Manager) split(key int) {
	for i, s := range l.segments {
		if key <= s.from || key > s.to {
			continue
		}
		right := *s
		right.from, s.to = key, key-1
		if s.busy && s.phase == releasing {
			// The release under way covers both parts; its answer is matched
			// by id, so the parts ask again.
			right.busy, s.busy = false, false
			l.nextID++
			s.id = l.nextID
		}
		if right.busy {
			// The grant under way covers both parts. Its answer reaches the
			// left part only; the right part stays in doubt.
			right.busy, right.doubt = false, true
		}
		l.nextID++
		right.id = l.nextID
		l.segments = append(l.segments[:i+1], append([]*segment{&right}, l.segments[i+1:]...)...)
		return
	}
}

// merge joins neighbours that the same server holds, so that the number of
// renewals stays small.
func (l *Manager) merge() {
	out := l.segments[:0]
	for _, s := range l.segments {
		if len(out) > 0 {
			p := out[len(out)-1]
			if mergeable(p, s) {
				p.to = s.to
				p.fence = l.fences()
				p.mayHold = max(p.mayHold, s.mayHold)
				p.renewed = min(p.renewed, s.renewed)
				p.sent = min(p.sent, s.sent)
				continue
			}
		}
		out = append(out, s)
	}
	l.segments = out
}

func mergeable(a, b *segment) bool {
	calm := func(s *segment) bool {
		return s.phase == held && !s.busy && !s.doubt && s.failures == 0 && s.next == ""
	}
	if a.phase == storing && b.phase == storing && a.next == "" && b.next == "" && a.server == "" && b.server == "" {
		return true
	}
	return calm(a) && calm(b) && a.server == b.server && a.born == b.born
}
