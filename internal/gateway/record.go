package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
)

// verify ends the leadership if the store names another leader. If fenced is
// true, a server has refused the newest fence: then the leadership ends as well
// if the store does not answer, since only a later leader has higher fences.
func (l *leadership) verify(ctx context.Context, fenced bool) {
	sent := l.clk.Now()
	leader, err := l.readOwners(ctx)
	if err != nil {
		if fenced && ctx.Err() == nil {
			l.log.Warn("a server has seen a higher fence and the store does not answer, this host resigns")
			l.cancel()
		}
		return
	}
	if leader.Member != l.member {
		l.log.With("leader", leader.Member).Info("another host leads")
		l.cancel()
		return
	}
	l.touch(sent)
	l.elector.mu.Lock()
	end := l.elector.end
	l.elector.mu.Unlock()
	l.mu.Lock()
	l.end = max(l.end, end)
	l.mu.Unlock()
	l.core.checked()
}

// proveInterval bounds the rate of reads that prove the lead after failed calls.
const proveInterval = 100 * time.Millisecond

// prove reads from the store whether this host still leads: after a failed call
// a server gets a grant only with a later proof. It returns the time of the last
// proof.
func (l *leadership) prove(ctx context.Context) time.Duration {
	l.mu.Lock()
	now := l.clk.Now()
	if now-l.proved < proveInterval {
		l.mu.Unlock()
		proof, _ := l.proof()
		return proof
	}
	l.proved = now
	from := l.end
	l.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	end, err := l.store.OwnersEnd(call, from, 0)
	if err == nil && end == from {
		l.touch(now)
	}
	proof, _ := l.proof()
	return proof
}

// keepMembership shows the other hosts that the leader reaches the store.
func (l *leadership) keepMembership(ctx context.Context) {
	var generation int64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		g, err := l.store.Join(call, l.member, generation, l.timing.membershipTerm)
		cancel()
		if err == nil {
			generation = g
			l.answered()
		}
		clock.Sleep(ctx, l.timing.joinInterval)
	}
}

// proofRest is the time after a proof of the lead for which no further one is
// sought. An append is a proof too, and it would end a read that is held open:
// while keys move, half of the calls of a leader were such reads.
const proofRest = 600 * time.Millisecond

// watchRecords notices that another host has claimed the lead.
func (l *leadership) watchRecords(ctx context.Context) {
	for ctx.Err() == nil {
		if proof, _ := l.proof(); l.clk.Now()-proof < proofRest {
			clock.Sleep(ctx, proofRest-(l.clk.Now()-proof))
			continue
		}
		l.mu.Lock()
		from := l.end
		l.mu.Unlock()
		sent := l.clk.Now()
		call, cancel := context.WithTimeout(ctx, leaderWatch+callTimeout)
		end, err := l.store.OwnersEnd(call, from, leaderWatch)
		cancel()
		if err != nil {
			if strings.Contains(err.Error(), "dropped") {
				l.verify(ctx, false)
			}
			clock.Sleep(ctx, callRetry)
			continue
		}
		l.mu.Lock()
		known := l.end
		l.mu.Unlock()
		if end > known {
			l.verify(ctx, false)
			clock.Sleep(ctx, callRetry)
			continue
		}
		l.touch(sent)
	}
}

// storeTables writes changed key maps to the store. Keys are granted to another
// server only afterwards.
func (l *leadership) storeTables(ctx context.Context) {
	// doubt is true while the store may hold, or may still take, a table of an
	// append that was not answered.
	doubt := false
	for ctx.Err() == nil {
		tables := l.core.tables()
		record, changed := l.nextRecord()
		if len(tables) == 0 && !changed {
			l.awaitFreed(ctx)
			continue
		}
		records := make([]Record, 0, len(tables)+1)
		if changed {
			value, err := json.Marshal(record)
			if err != nil {
				l.log.Error("the record of the leader cannot be written", err)
				continue
			}
			records = append(records, Record{Key: leaderKey, Value: value})
			// Until the store has answered, neither list may be counted on alone.
			l.setList(nil)
		}
		for name, t := range tables {
			value, err := t.Encode()
			if err != nil {
				l.log.Error("a key map cannot be written", err)
				continue
			}
			records = append(records, Record{Key: tablePrefix + string(name), Value: value})
		}
		l.mu.Lock()
		at := l.end
		l.mu.Unlock()
		sent := l.clk.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		end, err := l.store.Append(call, at, records)
		cancel()
		if err != nil {
			l.core.stored(tables, false, 0)
			switch proof, _ := l.proof(); {
			case errors.Is(err, ErrNotDone) && !doubt:
				l.carryOut(ctx, l.core.revert(proof))
				clock.Sleep(ctx, callRetry)
			case errors.Is(err, ErrOutdated):
				l.verify(ctx, false)
			default:
				doubt = doubt || !errors.Is(err, ErrNotDone)
				l.log.Warn("key maps cannot be stored: " + err.Error())
				clock.Sleep(ctx, callRetry)
			}
			continue
		}
		doubt = false
		l.mu.Lock()
		l.end = max(l.end, end)
		l.mu.Unlock()
		l.touch(sent)
		if changed {
			l.mu.Lock()
			l.record = record
			l.mu.Unlock()
			l.setList(record.List)
		}
		l.carryOut(ctx, l.core.stored(tables, true, sent))
	}
}

// settleTime is the time for which the hosts must differ from the record before
// it is written again: hosts come and go in series.
const settleTime = 1500 * time.Millisecond

// nextRecord returns the record of this leader with the hosts that follow it now,
// and whether it is to be stored.
func (l *leadership) nextRecord() (leaderRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	record := l.record
	record.List = l.mandate.Members(now)
	record.Earlier = l.mandate.Terms(now)
	if slices.Equal(record.List, l.record.List) && len(record.Earlier) == len(l.record.Earlier) {
		l.settled = 0
		return record, false
	}
	if l.settled == 0 {
		l.settled = now
	}
	if now-l.settled < settleTime || now-l.seen > moveContact {
		return record, false
	}
	l.settled = 0
	return record, true
}

func (l *leadership) setList(list []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mandate.SetList(list)
}

// gatherTime is the time for which freed keys are gathered: those that are freed
// within it share one append.
const gatherTime = 5 * time.Millisecond

// awaitFreed waits until keys may have been freed, or a while for changes of the
// record.
func (l *leadership) awaitFreed(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.freed:
		clock.Sleep(ctx, gatherTime)
	case <-time.After(settleTime / 4):
	}
}

// wakeStore makes storeTables look for changed key maps.
func (l *leadership) wakeStore() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
