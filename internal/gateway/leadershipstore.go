package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// verifyLeadership ends the leadership if the store names another leader. If
// fenced is true, a server has refused the newest fence. Only a later leader
// has higher fences, so the leadership then also ends if the store does not
// respond.
func (l *leadership) verifyLeadership(ctx context.Context, fenced bool) {
	sent, known := l.clk.Now(), l.end()
	leader, end, err := l.readOwners(ctx)
	if err != nil {
		if fenced && ctx.Err() == nil {
			l.log.Warn("a server has seen a higher fence and the store does not respond; this host resigns")
			l.cancel()
		}
		return
	}
	if end.Era != known.Era {
		l.noteRestore(known.Era)
		return
	}
	if leader.Member != l.memberID {
		l.log.With("leader", leader.Member).Info("the store names another leader")
		l.cancel()
		return
	}
	l.confirm(sent)
	l.recordEnd(end)
	l.scheduler.confirmLeadership()
}

// end returns the last known end of the ownership topic.
func (l *leadership) end() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownersEnd
}

// recordEnd records the end of the ownership topic that the store has stated.
func (l *leadership) recordEnd(end Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.Era == l.ownersEnd.Era && end.Offset > l.ownersEnd.Offset {
		l.ownersEnd = end
	}
}

// confirmReadInterval bounds the rate of confirmation reads after failed calls.
const confirmReadInterval = 100 * time.Millisecond

// confirmWithStore reads from the store whether this host still leads: after a
// failed call a server is granted keys only with a later confirmation. It
// returns the time of the last confirmation.
func (l *leadership) confirmWithStore(ctx context.Context) time.Duration {
	l.mu.Lock()
	now := l.clk.Now()
	if now-l.confirmReadAt < confirmReadInterval {
		l.mu.Unlock()
		confirmedAt, _ := l.confirmation()
		return confirmedAt
	}
	l.confirmReadAt = now
	from := l.ownersEnd
	l.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	end, err := l.store.OwnersEnd(callCtx, from, 0)
	switch {
	case errors.Is(err, ErrRestored):
		l.noteRestore(from.Era)
	case err == nil && end == from:
		l.confirm(now)
	}
	confirmedAt, _ := l.confirmation()
	return confirmedAt
}

// renewMembership renews the membership in the leader's group, which shows the
// other hosts that the leader reaches the store.
func (l *leadership) renewMembership(ctx context.Context) {
	var generation int64
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		newGeneration, err := l.store.Join(callCtx, l.memberID, generation, l.timing.membershipTTL)
		cancel()
		if err == nil {
			generation = newGeneration
			l.recordResponse()
		}
		clock.Sleep(ctx, l.timing.joinInterval)
	}
}

// confirmationInterval is the age of the last confirmation below which no read
// for another one is sent. An append confirms the leader too, and it would end
// a read that is held open: while keys move, half of a leader's calls were such
// reads.
const confirmationInterval = 600 * time.Millisecond

// watchOwnership detects that another host has claimed the leadership.
func (l *leadership) watchOwnership(ctx context.Context) {
	for ctx.Err() == nil {
		if confirmedAt, _ := l.confirmation(); l.clk.Now()-confirmedAt < confirmationInterval {
			clock.Sleep(ctx, confirmationInterval-(l.clk.Now()-confirmedAt))
			continue
		}
		sent, from := l.clk.Now(), l.end()
		callCtx, cancel := context.WithTimeout(ctx, leaderWatchWait+storeTimeout)
		end, err := l.store.OwnersEnd(callCtx, from, leaderWatchWait)
		cancel()
		if err != nil {
			if errors.Is(err, ErrRestored) {
				l.noteRestore(from.Era)
			}
			// This matches the text of platform.errCompacted: the store has
			// dropped records that this leader has not read.
			if strings.Contains(err.Error(), "dropped") {
				l.verifyLeadership(ctx, false)
			}
			clock.Sleep(ctx, minRetryPause)
			continue
		}
		if known := l.end(); end.Era == known.Era && end.Offset > known.Offset {
			l.verifyLeadership(ctx, false)
			clock.Sleep(ctx, minRetryPause)
			continue
		}
		if end.Era == l.end().Era {
			l.confirm(sent)
		}
	}
}

// storeKeyMaps writes changed key maps and leader records to the store. Keys
// are granted to another server only afterwards.
func (l *leadership) storeKeyMaps(ctx context.Context) {
	// outcomeUnknown is true while the store may have taken, or may still take,
	// an append that got no response.
	outcomeUnknown := false
	for ctx.Err() == nil {
		if l.restoreNoted() {
			if l.reclaim(ctx) {
				outcomeUnknown = false
			}
			continue
		}
		keyMaps := l.scheduler.changedKeyMaps()
		record, changed := l.nextRecord()
		if len(keyMaps) == 0 && !changed {
			l.awaitStoreWork(ctx)
			continue
		}
		at := l.end()
		records := l.encodeKeyMaps(keyMaps, at.Era)
		if changed {
			value, err := json.Marshal(record)
			if err != nil {
				l.log.Error("the leader record cannot be encoded", err)
				continue
			}
			records = append(records, Record{Key: leaderKey, Value: value})
			// Until the store has responded, neither the old nor the new list
			// of followers is sure to be the stored one.
			l.setStoredFollowers(nil, 0)
		}
		sent := l.clk.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		end, err := l.store.Append(callCtx, at, records)
		cancel()
		if err != nil {
			l.scheduler.recordNotStored(keyMaps, !errors.Is(err, ErrRefused) && !errors.Is(err, ErrOutdated))
			switch confirmedAt, _ := l.confirmation(); {
			case errors.Is(err, ErrRestored):
				l.noteRestore(at.Era)
			case errors.Is(err, ErrRefused) && !outcomeUnknown:
				l.startCalls(ctx, l.scheduler.revertMoves(confirmedAt))
				clock.Sleep(ctx, minRetryPause)
			case errors.Is(err, ErrOutdated):
				l.verifyLeadership(ctx, false)
			default:
				outcomeUnknown = outcomeUnknown || !errors.Is(err, ErrRefused)
				l.log.Warn("key maps or the leader record cannot be stored: " + err.Error())
				clock.Sleep(ctx, minRetryPause)
			}
			continue
		}
		outcomeUnknown = false
		l.recordEnd(end)
		l.confirm(sent)
		if changed {
			l.mu.Lock()
			l.record = record
			l.mu.Unlock()
			l.setStoredFollowers(record.Followers, len(record.Absent))
		}
		l.startCalls(ctx, l.scheduler.recordStored(keyMaps, sent))
	}
}

// encodeKeyMaps returns the records of key maps in the given era of the store.
func (l *leadership) encodeKeyMaps(keyMaps map[topology.Service]keymap.Map, era int64) []Record {
	records := make([]Record, 0, len(keyMaps)+1)
	for name, keyMap := range keyMaps {
		value, err := keyMap.Encode(era)
		if err != nil {
			l.log.Error("a key map cannot be encoded", err)
			continue
		}
		records = append(records, Record{Key: keyMapPrefix + string(name), Value: value})
	}
	return records
}

// noteRestore makes storeKeyMaps claim the leadership again in a restored store, unless it
// has done so since the given era. Only the first sign decides whether this leader may:
// its key maps are the newest if no other leader could have moved keys when the store
// went away.
func (l *leadership) noteRestore(endedEra int64) {
	l.mu.Lock()
	if endedEra != l.ownersEnd.Era {
		l.mu.Unlock()
		return
	}
	first, valid := !l.restored, l.lease.Valid(l.clk.Now())
	l.restored = true
	l.mu.Unlock()
	if first && !valid {
		l.log.Warn("the store was restored from a copy and the lease of this leader has ended; it resigns")
		l.cancel()
	}
	l.wakeStoreLoop()
}

func (l *leadership) restoreNoted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

// reclaim claims the leadership again in a restored store, and writes the key maps that
// this leader has in memory in the same append. Until then it renews its grants. It
// reports whether the append succeeded, and leaves the rest to the next call otherwise.
func (l *leadership) reclaim(ctx context.Context) bool {
	old := l.end()
	leader, end, err := l.readOwners(ctx)
	switch {
	case err != nil:
		l.pauseReclaim(ctx)
		return false
	case end.Era != old.Era+1:
		// A leader of the era between may have moved keys.
		l.log.With("era", end.Era).With("known_era", old.Era).Warn("the store was restored more than once; this host resigns")
		l.cancel()
		return false
	case !leader.outdated(end.Era) && leader.Member != l.memberID:
		l.log.With("leader", leader.Member).Info("the restored store names another leader")
		l.cancel()
		return false
	}
	record := l.reclaimRecord(end)
	value, err := json.Marshal(record)
	if err != nil {
		l.log.Error("the leader record cannot be encoded", err)
		l.cancel()
		return false
	}
	records := append(l.encodeKeyMaps(l.scheduler.keyMapsToGrantAgain(), end.Era), Record{Key: leaderKey, Value: value})
	sent := l.clk.Now()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	newEnd, err := l.store.Append(callCtx, end, records)
	cancel()
	if err != nil {
		l.log.Warn("the restored store cannot be claimed: " + err.Error())
		l.pauseReclaim(ctx)
		return false
	}
	l.endReclaim(record, newEnd, sent)
	l.scheduler.grantAgain(func() { l.startFencesAt(record.Epoch) })
	l.log.With("epoch", record.Epoch).With("era", newEnd.Era).With("end", newEnd.Offset).Info("this host leads in the restored store")
	l.leaderClient.announceLeadership(l.followers.header(), l.earlierLeaderAddresses())
	return true
}

// pauseReclaim waits before the next attempt to claim a restored store. It ends the
// leadership if its lease has ended, so that another host can claim the store.
func (l *leadership) pauseReclaim(ctx context.Context) {
	l.mu.Lock()
	valid := l.lease.Valid(l.clk.Now())
	l.mu.Unlock()
	if !valid {
		l.log.Warn("the restored store was not claimed within the lease; this host resigns")
		l.cancel()
		return
	}
	clock.Sleep(ctx, minRetryPause)
}

// startFencesAt makes fences those of the given epoch.
func (l *leadership) startFencesAt(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFence = epoch * fencesPerEpoch
}

// reclaimRecord returns the leader record for a claim at the given end of the ownership
// topic.
func (l *leadership) reclaimRecord(end Position) leaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	record := l.record
	record.Epoch, record.Era = epochAt(end), end.Era
	record.Followers = l.lease.Followers(now)
	record.FollowerAddresses = l.lease.Addresses(record.Followers)
	record.Absent = l.updateAbsent(record.FollowerAddresses, now)
	record.Earlier = l.lease.EarlierLeaders(now)
	record.Earlier = append(record.Earlier, l.hostsOfLostLeaders(record))
	return record
}

// endReclaim records that the claim with the given record is stored.
func (l *leadership) endReclaim(record leaderRecord, end Position, sent time.Duration) {
	l.followers.setEpoch(record.Epoch)
	l.leaderClient.setOwnEpoch(record.Epoch)
	l.mu.Lock()
	l.restored = false
	l.epoch, l.record, l.ownersEnd = record.Epoch, record, end
	l.lease.Reclaimed(l.clk.Now(), record.Earlier[len(record.Earlier)-1])
	l.lease.SetStoredFollowers(record.Followers, len(record.Absent))
	l.mu.Unlock()
	l.confirm(sent)
}

// recordSettleTime is the time for which the followers must differ from the
// stored leader record before it is written again: hosts often start and stop
// in series.
const recordSettleTime = 1500 * time.Millisecond

// nextRecord returns the leader record with the present followers, and whether
// it has to be stored.
func (l *leadership) nextRecord() (leaderRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	record := l.record
	record.Followers = l.lease.Followers(now)
	record.FollowerAddresses = l.lease.Addresses(record.Followers)
	record.Absent = l.updateAbsent(record.FollowerAddresses, now)
	record.Earlier = l.lease.EarlierLeaders(now)
	if slices.Equal(record.Followers, l.record.Followers) && len(record.Earlier) == len(l.record.Earlier) && len(record.Absent) == len(l.record.Absent) {
		l.recordStaleSince = 0
		return record, false
	}
	if l.recordStaleSince == 0 {
		l.recordStaleSince = now
	}
	if now-l.recordStaleSince < recordSettleTime || now-l.storeSeenAt > maxStoreSilence {
		return record, false
	}
	l.recordStaleSince = 0
	return record, true
}

func (l *leadership) setStoredFollowers(followers []uint64, absent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.SetStoredFollowers(followers, absent)
}

// absentHostTime is the time after which a host that does not follow the leader is no
// longer named in its record. It exceeds the age of a copy from which the store may be
// restored.
const absentHostTime = time.Minute

// updateAbsent returns the addresses of hosts that the stored record names and that are
// not among the present followers. The caller holds the lock.
func (l *leadership) updateAbsent(followers []string, now time.Duration) []string {
	absent := l.distinctOthers(append(slices.Clone(l.record.Absent), l.record.FollowerAddresses...))
	absent = slices.DeleteFunc(absent, func(a string) bool { return slices.Contains(followers, a) })
	for a := range l.absentSince {
		if !slices.Contains(absent, a) {
			delete(l.absentSince, a)
		}
	}
	return slices.DeleteFunc(absent, func(a string) bool {
		since, ok := l.absentSince[a]
		if !ok {
			since = now
			l.absentSince[a] = now
		}
		return now-since > absentHostTime
	})
}

// storeBatchDelay is the time for which released keys are collected: those that
// are released within it share one append.
const storeBatchDelay = 5 * time.Millisecond

// awaitStoreWork waits until key maps may have changed, or for a while until
// the leader record may have.
func (l *leadership) awaitStoreWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.storeWake:
		clock.Sleep(ctx, storeBatchDelay)
	case <-time.After(recordSettleTime / 4):
	}
}

// wakeStoreLoop makes storeKeyMaps check for changed key maps.
func (l *leadership) wakeStoreLoop() {
	select {
	case l.storeWake <- struct{}{}:
	default:
	}
}
