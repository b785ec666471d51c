package ownership

// split splits the range that contains key, so that key is the first of a range.
func (m *Manager) split(key int) {
	for i, r := range m.ranges {
		if key <= r.from || key > r.to {
			continue
		}
		right := *r
		right.from, r.to = key, key-1
		if r.inFlight && r.phase == releasing {
			// The release in flight covers both ranges, but a response is matched to
			// one range only. New ids make its response unmatched, and both ranges
			// send releases of their own.
			right.inFlight, r.inFlight = false, false
			m.nextID++
			r.id = m.nextID
		}
		if right.inFlight {
			// The grant in flight covers both ranges. Its response is matched to the
			// left one only, so for the right one it counts as unanswered.
			right.inFlight, right.unansweredGrant = false, true
		}
		m.nextID++
		right.id = m.nextID
		m.ranges = append(m.ranges[:i+1], append([]*keyRange{&right}, m.ranges[i+1:]...)...)
		return
	}
}

// merge joins adjacent ranges that the same server owns, and those without an owner,
// to keep the number of renewals small.
func (m *Manager) merge() {
	out := m.ranges[:0]
	for _, r := range m.ranges {
		if len(out) > 0 {
			prev := out[len(out)-1]
			if mergeable(prev, r) {
				prev.to = r.to
				prev.fence = m.nextFence()
				prev.latestExpiry = max(prev.latestExpiry, r.latestExpiry)
				prev.renewedAt = min(prev.renewedAt, r.renewedAt)
				prev.sentAt = min(prev.sentAt, r.sentAt)
				continue
			}
		}
		out = append(out, r)
	}
	m.ranges = out
}

func mergeable(a, b *keyRange) bool {
	stable := func(r *keyRange) bool {
		return r.phase == granted && !r.inFlight && !r.unansweredGrant && r.failures == 0 && r.next == ""
	}
	if a.phase == free && b.phase == free && a.next == "" && b.next == "" && a.server == "" && b.server == "" {
		return true
	}
	return stable(a) && stable(b) && a.server == b.server && a.incarnation == b.incarnation
}
