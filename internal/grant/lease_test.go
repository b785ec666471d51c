package grant

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// The comparison policy: leadership is a lease in the log (option 1 of the
// design). The leader renews it with an append; another host takes it over when
// it has read no renewal for the length of the lease.
const (
	logLeaseTime  = time.Second
	logLeaseRenew = 250 * time.Millisecond
)

type leaseRecord struct {
	holder string
	term   uint32
	number int
}

type logLease struct {
	last    leaseRecord
	readAt  time.Duration // first read of last
	hasRead bool
	until   time.Duration
	next    time.Duration
	sentAt  time.Duration
}

func (p *logLease) leads(now time.Duration) (topology.Fence, time.Duration, bool) {
	return topology.Fence{Term: p.last.term}, p.until, now < p.until
}

func (p *logLease) read(self string, r leaseRecord, now time.Duration) {
	if !p.hasRead || r.number > p.last.number {
		p.last, p.readAt, p.hasRead = r, now, true
		if r.holder == self {
			p.until = p.sentAt + logLeaseTime - 2*ms
		}
	}
}

func (p *logLease) tick(s *sim, h *simHost) {
	now := s.Local(h.Machine)
	mine := p.last.holder == h.Name && now < p.until
	if !p.hasRead || now < p.next || !s.logOK(h) {
		return
	}
	if !mine && p.last.holder != "" && now < p.readAt+logLeaseTime+2*ms {
		return
	}
	p.next, p.sentAt = now+logLeaseRenew, now
	r := leaseRecord{holder: h.Name, term: p.last.term, number: p.last.number + 1}
	if !mine {
		r.term++
	}
	s.After(2*ms+s.logSlow, func() {
		if s.leaseLog.number == r.number-1 {
			s.leaseLog = r
			for _, x := range s.hosts {
				s.read(x)
			}
		}
	})
}
