package grant

import (
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// The election that TestFailoverTable compares with: the leader holds a lease in
// the log. It renews the lease with an append; another host takes it over when
// it has read no renewal for the duration of the lease.
const (
	logLeaseDuration      = time.Second
	logLeaseRenewInterval = 250 * time.Millisecond
)

// leaseRecord is an acquisition or renewal of the lease in the log.
type leaseRecord struct {
	holder   string
	term     uint32
	sequence int
}

// logLease is the view of one host of the lease in the log.
type logLease struct {
	lastRecord  leaseRecord
	readAt      time.Duration // first read of lastRecord
	hasRecord   bool
	until       time.Duration
	nextRenewal time.Duration
	sentAt      time.Duration
}

func (p *logLease) leads(now time.Duration) (topology.Fence, time.Duration, bool) {
	return topology.Fence{Term: p.lastRecord.term}, p.until, now < p.until
}

func (p *logLease) read(self string, r leaseRecord, now time.Duration) {
	if !p.hasRecord || r.sequence > p.lastRecord.sequence {
		p.lastRecord, p.readAt, p.hasRecord = r, now, true
		if r.holder == self {
			p.until = p.sentAt + logLeaseDuration - 2*ms
		}
	}
}

func (p *logLease) tick(s *sim, h *simHost) {
	now := s.Local(h.Machine)
	holdsLease := p.lastRecord.holder == h.Name && now < p.until
	if !p.hasRecord || now < p.nextRenewal || !s.logReachable(h) {
		return
	}
	if !holdsLease && p.lastRecord.holder != "" && now < p.readAt+logLeaseDuration+2*ms {
		return
	}
	p.nextRenewal, p.sentAt = now+logLeaseRenewInterval, now
	r := leaseRecord{holder: h.Name, term: p.lastRecord.term, sequence: p.lastRecord.sequence + 1}
	if !holdsLease {
		r.term++
	}
	s.After(2*ms+s.logDelay, func() {
		if s.leaseLog.sequence == r.sequence-1 {
			s.leaseLog = r
			for _, x := range s.hosts {
				s.readLog(x)
			}
		}
	})
}
