package grant

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// nextRequest appends the next request to a server to out, if one is due. A
// server gets no further request before it replies or retryInterval has passed.
func (m *Manager) nextRequest(s *server, now time.Duration, out []Outgoing) []Outgoing {
	overdue := s.awaiting != 0 && now-s.sentAt >= retryInterval
	if s.awaiting != 0 && !overdue {
		return out
	}
	if !s.adopted {
		return append(out, m.newRequest(s, now, &leaseCall{withHeld: true}))
	}
	if overdue || s.renewalDue {
		s.renewalDue = s.shardCount > 0
		return append(out, m.newRequest(s, now, &leaseCall{}))
	}
	orders := m.pendingOrders(s, now)
	if len(orders) == 0 && len(s.conflicting) == 0 {
		return out
	}
	duration := m.maxDuration(s)
	if s.tickReceivedAt+duration-now < minGrantDuration {
		return append(out, m.newRequest(s, now, &leaseCall{}))
	}
	return append(out, m.newRequest(s, now, &leaseCall{duration: duration, orders: orders}))
}

// maxDuration returns the longest allowed duration of grants, counted from the
// newest reading of the server's clock.
func (m *Manager) maxDuration(s *server) time.Duration {
	d := MaxGrantDuration
	if !m.unsafe.noSupportLimit {
		d = min(d, m.supportedUntil+SupportGrace-s.tickReceivedAt)
	}
	return max(0, d-driftMargin)
}

// pendingOrders returns the grants and revokes that the server has not
// acknowledged and that are due.
func (m *Manager) pendingOrders(s *server, now time.Duration) []order {
	var orders []order
	for _, sh := range m.shards {
		if sh.state == Waiting || sh.server != s.id || now < sh.nextOrderAt {
			continue
		}
		switch sh.state {
		case Granting:
			orders = append(orders, order{shard: sh, fence: sh.fence})
		case Revoking:
			orders = append(orders, order{shard: sh, fence: sh.fence, revoke: true})
		}
	}
	return orders
}

// newRequest builds a lease request. A request with duration 0 only reads the
// state of the server.
func (m *Manager) newRequest(s *server, now time.Duration, call *leaseCall) Outgoing {
	m.nextID++
	call.sentAt, call.tickSentAt = now, s.tickSentAt
	req := serverapi.LeaseRequest{
		Partition: m.cfg.Partition, Epoch: m.cfg.Epoch, Incarnation: s.incarnation,
		Tick: s.tick, Duration: call.duration, WithHeld: call.withHeld,
	}
	for _, o := range call.orders {
		if o.revoke {
			req.Revoke = append(req.Revoke, serverapi.RevokeOrder{Ref: o.shard.ref, Fence: o.fence})
			continue
		}
		req.Grant = append(req.Grant, serverapi.GrantOrder{
			Ref: o.shard.ref, Fence: o.fence, OnlyIfHeld: o.shard.extendOnly, Except: o.shard.splitKeys,
		})
	}
	if call.duration > 0 {
		s.mayHoldUntil = max(s.mayHoldUntil, s.tickReceivedAt+call.duration+driftMargin)
		call.conflicting = slices.Clone(s.conflicting)
		for _, ref := range call.conflicting {
			req.Revoke = append(req.Revoke, serverapi.RevokeOrder{Ref: ref, Fence: m.nextFence()})
		}
	}
	s.pending[m.nextID], s.awaiting, s.sentAt = call, m.nextID, now
	return Outgoing{ID: m.nextID, Server: s.id, Request: req}
}

// HandleFailure handles a request without a reply. The request may have taken
// effect.
func (m *Manager) HandleFailure(to topology.ServerID, id uint64) {
	s, ok := m.byID[to]
	if !ok {
		return
	}
	delete(s.pending, id)
	// nextRequest replaces the request retryInterval after it was sent.
}

// HandleReply handles the reply to a request that was sent when it was returned.
// It returns the requests to send next.
func (m *Manager) HandleReply(to topology.ServerID, id uint64, reply serverapi.LeaseReply, now time.Duration) []Outgoing {
	s, ok := m.byID[to]
	if !ok || s.pending[id] == nil {
		return nil
	}
	call := s.pending[id]
	delete(s.pending, id)
	if s.awaiting == id {
		s.awaiting = 0
	}
	if reply.Newest.Compare(m.cfg.Epoch) > 0 {
		m.laterLeaderSeen = true
	}
	if reply.Incarnation < s.incarnation || !m.mayAct(now) {
		return nil
	}
	m.updateServer(s, call, reply, now)
	switch {
	case reply.Refused != "":
		m.counters.Refusals++
		s.renewalDue = true
		return nil // the next tick reads the state again
	case call.withHeld && !s.adopted:
		m.adopt(s, reply, now)
	case call.duration > 0:
		m.handleOrderResults(s, call, reply, now)
	}
	m.assignFree(now)
	return m.followUp(s, now)
}

// followUp returns a request with the pending orders or a due renewal, based on
// the clock reading in the last reply.
func (m *Manager) followUp(s *server, now time.Duration) []Outgoing {
	if s.awaiting != 0 {
		return nil
	}
	orders := m.pendingOrders(s, now)
	if !s.renewalDue && len(orders) == 0 {
		return nil
	}
	s.renewalDue = false
	duration := m.maxDuration(s)
	if s.tickReceivedAt+duration <= now {
		return nil
	}
	return []Outgoing{m.newRequest(s, now, &leaseCall{duration: duration, orders: orders})}
}

// updateServer updates the state of a server from its reply.
func (m *Manager) updateServer(s *server, call *leaseCall, reply serverapi.LeaseReply, now time.Duration) {
	if reply.Incarnation != s.incarnation {
		m.handleRestart(s, reply.Incarnation, now)
	}
	s.hasReplied, s.lastReply = true, now
	if reply.Tick < s.tick {
		return // a newer reply came first
	}
	s.tick, s.tickSentAt, s.tickReceivedAt = reply.Tick, call.sentAt, now
	s.reportedDraining, s.load = reply.Draining, reply.Load
	if reply.Remaining > 0 {
		return
	}
	// The server's lease has expired, for example while the server was frozen.
	// It may get its shards back at once.
	for _, sh := range m.shards {
		if sh.server == s.id && (sh.state == Owned || sh.state == Revoking) && sh.ackedAt < call.sentAt {
			m.freeShard(sh, s.mayHoldUntil+m.exchangeWait())
		}
	}
}

// handleRestart drops the grants of the earlier incarnation of a server. The new
// one refuses all requests that were sent to the earlier one.
func (m *Manager) handleRestart(s *server, incarnation topology.Incarnation, now time.Duration) {
	if s.incarnation != 0 {
		m.counters.Restarts++
	}
	for _, sh := range m.shards {
		if sh.state != Waiting && sh.server == s.id {
			m.freeShard(sh, max(now, m.earlierGrantsUntil)+m.exchangeWait())
		}
	}
	s.incarnation, s.tick, s.leaseUntil, s.mayHoldUntil, s.adopted, s.conflicting = incarnation, 0, 0, now, s.incarnation != 0, nil
}

// adopt adopts the unexpired grants of earlier leaders that the server holds.
func (m *Manager) adopt(s *server, reply serverapi.LeaseReply, now time.Duration) {
	s.adopted, s.renewalDue = true, true
	if reply.Remaining <= 0 {
		return
	}
	s.mayHoldUntil = max(s.mayHoldUntil, now+reply.Remaining+driftMargin)
	for _, held := range reply.Held {
		sh, ok := m.byRef[held.Ref]
		if !ok && held.Ref.Key != "" {
			sh, ok = m.addKey(held.Ref, m.byRef[wholeShard(held.Ref)], m.startedAt, now), true
		}
		if !ok || sh.state != Waiting {
			m.counters.Conflicts++
			s.conflicting = append(s.conflicting, held.Ref)
			continue
		}
		m.adoptKeys(sh, held.Except, now)
		m.setState(sh, Granting, s)
		sh.extendOnly, sh.nextOrderAt, sh.fence = true, 0, m.nextFence()
	}
}

// adoptKeys adds the keys that the grant of a shard does not cover. Their
// owners, if any, may still hold grants of earlier leaders.
func (m *Manager) adoptKeys(parent *shard, keys []string, now time.Duration) {
	for _, key := range keys {
		ref := parent.ref
		ref.Key = key
		if m.byRef[ref] == nil {
			m.addKey(ref, parent, m.earlierGrantsUntil+m.exchangeWait(), now)
		}
	}
}

// handleOrderResults handles the results of the orders of a request.
func (m *Manager) handleOrderResults(s *server, call *leaseCall, reply serverapi.LeaseReply, now time.Duration) {
	s.leaseUntil = max(s.leaseUntil, call.tickSentAt+call.duration-driftMargin)
	s.conflicting = slices.DeleteFunc(s.conflicting, func(ref topology.ShardRef) bool { return slices.Contains(reply.Revoked, ref) })
	refused := make(map[topology.ShardRef]serverapi.Refusal, len(reply.Refusals))
	for _, refusal := range reply.Refusals {
		refused[refusal.Ref] = refusal
	}
	for _, o := range call.orders {
		sh := o.shard
		if sh.server != s.id || sh.fence != o.fence || sh.state == Waiting {
			continue // the shard has changed since the order
		}
		if refusal, ok := refused[sh.ref]; ok {
			m.counters.Refusals++
			m.handleRefusal(s, sh, refusal, now)
			continue
		}
		if o.revoke {
			m.counters.Revokes++
			m.freeShard(sh, m.freeAfterRevoke(sh, now))
			continue
		}
		if sh.state == Granting {
			m.handleGranted(s, sh, now)
		}
	}
}

// handleGranted handles the acknowledgement of a grant.
func (m *Manager) handleGranted(s *server, sh *shard, now time.Duration) {
	m.setState(sh, Owned, s)
	sh.ackedAt = now
	if sh.extendOnly {
		m.counters.Adopted++
	} else {
		m.counters.Grants++
	}
	if sh.lastAckedServer != "" && sh.lastAckedServer != s.id {
		m.counters.Moves++
	}
	sh.extendOnly, sh.lastAckedServer = false, s.id
	m.assignments = append(m.assignments, Assignment{Ref: sh.ref, Server: s.id, Fence: sh.fence})
}

// handleRefusal handles the refusal of a grant or revoke.
func (m *Manager) handleRefusal(s *server, sh *shard, refusal serverapi.Refusal, now time.Duration) {
	switch refusal.Code {
	case serverapi.RefusedBusy:
		sh.nextOrderAt = now + busyRetryInterval
	case serverapi.RefusedFence:
		// The server has seen a newer fence of this epoch, for example before a
		// change of the epoch of the same host.
		m.seq = max(m.seq, refusal.Newest.Seq)
		sh.fence, sh.nextOrderAt = m.nextFence(), now+busyRetryInterval
	default:
		// The server does not hold the shard, but it could accept a delayed copy
		// of the order until the grant would end.
		if refusal.Code == serverapi.RefusedDraining {
			s.reportedDraining = true
		}
		m.freeShard(sh, max(s.mayHoldUntil, m.earlierGrantsUntil)+m.exchangeWait())
	}
}
