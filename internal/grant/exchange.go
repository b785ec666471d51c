package grant

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// send appends the next request to a server, if one is due. At most one
// request per server waits for its answer, unless it is overdue.
func (l *Manager) send(s *server, now time.Duration, out []Outgoing) []Outgoing {
	overdue := s.waitFor != 0 && now-s.sentAt >= retryInterval
	if s.waitFor != 0 && !overdue {
		return out
	}
	if !s.adopted {
		return append(out, l.request(s, now, &exchange{withHeld: true}))
	}
	if overdue || s.due {
		s.due = s.shards > 0
		return append(out, l.request(s, now, &exchange{}))
	}
	orders := l.ordersFor(s, now)
	if len(orders) == 0 && len(s.drop) == 0 {
		return out
	}
	duration := l.duration(s)
	if s.tickRecv+duration-now < minExtension {
		return append(out, l.request(s, now, &exchange{}))
	}
	return append(out, l.request(s, now, &exchange{duration: duration, orders: orders}))
}

// duration returns the longest allowed grant after the newest clock reading.
func (l *Manager) duration(s *server) time.Duration {
	d := MaxGrant
	if !l.unsafe.noOverhang {
		d = min(d, l.support+Overhang-s.tickRecv)
	}
	return max(0, d-driftMargin)
}

// ordersFor returns the grants and revokes that the server has not
// acknowledged.
func (l *Manager) ordersFor(s *server, now time.Duration) []order {
	var orders []order
	for _, sh := range l.shards {
		if sh.state == Waiting || sh.server != s.id || now < sh.nextTry {
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

// request builds a lease request. One with duration 0 only reads the state of
// the server.
func (l *Manager) request(s *server, now time.Duration, ex *exchange) Outgoing {
	l.nextID++
	ex.sent, ex.tickSent = now, s.tickSent
	req := serverapi.LeaseRequest{
		Partition: l.cfg.Partition, Epoch: l.cfg.Epoch, Incarnation: s.inc,
		Tick: s.tick, Duration: ex.duration, WithHeld: ex.withHeld,
	}
	for _, o := range ex.orders {
		if o.revoke {
			req.Revoke = append(req.Revoke, serverapi.RevokeOrder{Ref: o.shard.ref, Fence: o.fence})
			continue
		}
		req.Grant = append(req.Grant, serverapi.GrantOrder{
			Ref: o.shard.ref, Fence: o.fence, OnlyIfHeld: o.shard.onlyIf, Except: o.shard.except,
		})
	}
	if ex.duration > 0 {
		s.mayHold = max(s.mayHold, s.tickRecv+ex.duration+driftMargin)
		ex.drop = slices.Clone(s.drop)
		for _, ref := range ex.drop {
			req.Revoke = append(req.Revoke, serverapi.RevokeOrder{Ref: ref, Fence: l.nextFence()})
		}
	}
	s.open[l.nextID], s.waitFor, s.sentAt = ex, l.nextID, now
	return Outgoing{ID: l.nextID, Server: s.id, Request: req}
}

// HandleFailure reports that a request got no answer. It may have taken
// effect.
func (l *Manager) HandleFailure(to topology.ServerID, id uint64) {
	s, ok := l.byID[to]
	if !ok {
		return
	}
	delete(s.open, id)
	// An overdue request is replaced after retryInterval from its send.
}

// HandleReply passes the answer to a request that was sent at the time of the
// call that returned it, and returns the requests that follow from it.
func (l *Manager) HandleReply(to topology.ServerID, id uint64, r serverapi.LeaseReply, now time.Duration) []Outgoing {
	s, ok := l.byID[to]
	if !ok || s.open[id] == nil {
		return nil
	}
	ex := s.open[id]
	delete(s.open, id)
	if s.waitFor == id {
		s.waitFor = 0
	}
	if r.Newest.Compare(l.cfg.Epoch) > 0 {
		l.deposed = true
	}
	if r.Incarnation < s.inc || !l.leads(now) {
		return nil
	}
	l.noteState(s, ex, r, now)
	switch {
	case r.Refused != "":
		l.counters.Refusals++
		s.due = true
		return nil // the next tick reads the state again
	case ex.withHeld && !s.adopted:
		l.adopt(s, r, now)
	case ex.duration > 0:
		l.acknowledge(s, ex, r, now)
	}
	l.place(now)
	return l.follow(s, now)
}

// follow sends orders and a due renewal with the clock reading of the answer.
func (l *Manager) follow(s *server, now time.Duration) []Outgoing {
	if s.waitFor != 0 {
		return nil
	}
	orders := l.ordersFor(s, now)
	if !s.due && len(orders) == 0 {
		return nil
	}
	s.due = false
	duration := l.duration(s)
	if s.tickRecv+duration <= now {
		return nil
	}
	return []Outgoing{l.request(s, now, &exchange{duration: duration, orders: orders})}
}

// noteState takes over what the answer says about the server itself.
func (l *Manager) noteState(s *server, ex *exchange, r serverapi.LeaseReply, now time.Duration) {
	if r.Incarnation != s.inc {
		l.restarted(s, r.Incarnation, now)
	}
	s.answered, s.answeredAt = true, now
	if r.Tick < s.tick {
		return // overtaken by a later answer
	}
	s.tick, s.tickSent, s.tickRecv = r.Tick, ex.sent, now
	s.draining, s.load = r.Draining, r.Load
	if r.Remaining > 0 {
		return
	}
	// The server let its lease lapse, for example in a freeze. It may get its
	// shards again at once.
	for _, sh := range l.shards {
		if sh.server == s.id && (sh.state == Owned || sh.state == Revoking) && sh.acked < ex.sent {
			l.wait(sh, s.mayHold+l.exchangeWait())
		}
	}
}

// restarted drops the grants of the earlier incarnation. All requests that
// were sent to it are refused by the new one.
func (l *Manager) restarted(s *server, inc topology.Incarnation, now time.Duration) {
	if s.inc != 0 {
		l.counters.Restarts++
	}
	for _, sh := range l.shards {
		if sh.state != Waiting && sh.server == s.id {
			l.wait(sh, max(now, l.earlier)+l.exchangeWait())
		}
	}
	s.inc, s.tick, s.sure, s.mayHold, s.adopted, s.drop = inc, 0, 0, now, s.inc != 0, nil
}

// adopt takes over the unexpired grants of earlier leaders.
func (l *Manager) adopt(s *server, r serverapi.LeaseReply, now time.Duration) {
	s.adopted, s.due = true, true
	if r.Remaining <= 0 {
		return
	}
	s.mayHold = max(s.mayHold, now+r.Remaining+driftMargin)
	for _, h := range r.Held {
		sh, ok := l.byRef[h.Ref]
		if !ok && h.Ref.Key != "" {
			sh, ok = l.addKey(h.Ref, l.byRef[shardOf(h.Ref)], l.start, now), true
		}
		if !ok || sh.state != Waiting {
			l.counters.Conflicts++
			s.drop = append(s.drop, h.Ref)
			continue
		}
		l.adoptKeys(sh, h.Except, now)
		l.own(sh, Granting, s)
		sh.onlyIf, sh.nextTry, sh.fence = true, 0, l.nextFence()
	}
}

// adoptKeys adds the keys that the grant of a shard does not cover. Their
// owners, if any, may still hold grants of earlier leaders.
func (l *Manager) adoptKeys(parent *shard, keys []string, now time.Duration) {
	for _, key := range keys {
		ref := parent.ref
		ref.Key = key
		if l.byRef[ref] == nil {
			l.addKey(ref, parent, l.earlier+l.exchangeWait(), now)
		}
	}
}

// acknowledge takes over the result of the orders of a request.
func (l *Manager) acknowledge(s *server, ex *exchange, r serverapi.LeaseReply, now time.Duration) {
	s.sure = max(s.sure, ex.tickSent+ex.duration-driftMargin)
	s.drop = slices.DeleteFunc(s.drop, func(ref topology.ShardRef) bool { return slices.Contains(r.Revoked, ref) })
	refused := make(map[topology.ShardRef]serverapi.Refusal, len(r.Refusals))
	for _, x := range r.Refusals {
		refused[x.Ref] = x
	}
	for _, o := range ex.orders {
		sh := o.shard
		if sh.server != s.id || sh.fence != o.fence || sh.state == Waiting {
			continue // overtaken by a later decision
		}
		if x, ok := refused[sh.ref]; ok {
			l.counters.Refusals++
			l.orderRefused(s, sh, x, now)
			continue
		}
		if o.revoke {
			l.counters.Revokes++
			l.wait(sh, l.freeAfterRevoke(sh, now))
			continue
		}
		if sh.state == Granting {
			l.granted(s, sh, now)
		}
	}
}

func (l *Manager) granted(s *server, sh *shard, now time.Duration) {
	l.own(sh, Owned, s)
	sh.acked = now
	if sh.onlyIf {
		l.counters.Adopted++
	} else {
		l.counters.Grants++
	}
	if sh.holder != "" && sh.holder != s.id {
		l.counters.Moves++
	}
	sh.onlyIf, sh.holder = false, s.id
	l.changes = append(l.changes, Assignment{Ref: sh.ref, Server: s.id, Fence: sh.fence})
}

func (l *Manager) orderRefused(s *server, sh *shard, x serverapi.Refusal, now time.Duration) {
	switch x.Code {
	case serverapi.RefusedBusy:
		sh.nextTry = now + busyRetry
	case serverapi.RefusedFence:
		// The server has seen a newer fence of this epoch, for example before a
		// change of the epoch of the same host.
		l.seq = max(l.seq, x.Newest.Seq)
		sh.fence, sh.nextTry = l.nextFence(), now+busyRetry
	default:
		// The server does not hold the shard. A delayed copy of the order
		// could still be accepted until the end of its grant.
		if x.Code == serverapi.RefusedDraining {
			s.draining = true
		}
		l.wait(sh, max(s.mayHold, l.earlier)+l.exchangeWait())
	}
}
