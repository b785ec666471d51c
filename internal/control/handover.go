package control

import (
	"context"
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/dedup"
	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// handOverTimeout exceeds the 2 s that it takes to send 446,000 request ids,
	// the most that a host keeps at the target size.
	handOverTimeout = 3 * time.Second
	// maxHandOverBodyBytes limits the stored response bodies in a handover. If
	// they exceed it, none are sent, so that the message stays below the
	// limit of 64 MiB. A receiver refuses a larger message as a whole, for
	// example 120 MB of ids with bodies.
	maxHandOverBodyBytes = 16 << 20
	// maxHandOverAge is how long a received handover is kept for the start of
	// the next leadership.
	maxHandOverAge = 5 * time.Second
	// leavePollInterval and leaveTimeout apply to the wait for a member list
	// without this host.
	leavePollInterval = 20 * time.Millisecond
	leaveTimeout      = 3 * time.Second
	// successorTimeout limits the wait for new leaders. It covers a tick, a
	// support round and the requests that a candidate repeats after 50 ms. This
	// host's own promise lasts longer, so the host does not ask for support
	// again within that time.
	successorTimeout = 500 * time.Millisecond
)

// pendingHandOver is a received handover that waits for the start of the next
// leadership.
type pendingHandOver struct {
	peer.HandOver
	receivedAt time.Duration
}

// HandOver implements peer.Control. The handover is used if this host starts the
// directly following term.
func (c *Controller) HandOver(h peer.HandOver) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.partitions[h.Partition]
	if !ok || p.grants != nil {
		return false
	}
	p.handOver = &pendingHandOver{HandOver: h, receivedAt: c.clock.Now()}
	return true
}

// importHandOver imports the received handover if it is of the directly preceding
// term. Otherwise another host may have run requests in between, and the
// deduplication table would be incomplete.
func (c *Controller) importHandOver(p *partition, epoch topology.Fence) {
	h := p.handOver
	p.handOver = nil
	if h == nil || c.clock.Now()-h.receivedAt > maxHandOverAge {
		return
	}
	next := h.Epoch
	next.Term++
	if next != epoch {
		return
	}
	c.exec.Quarantine().Import(h.Crashes)
	if !c.exec.TakeOver(p.id, epoch, h.IDs) {
		c.log.With("partition", p.id).Warn("cannot import the deduplication table that the previous leader handed over")
	}
}

// Leave hands over all partitions that this host leads and removes the host from
// the member list of its cell. It returns when that is done, its time limits have
// passed, or ctx is cancelled.
func (c *Controller) Leave(ctx context.Context) {
	c.shuttingDown.Store(true)
	led := c.ledPartitions()
	for _, p := range led {
		c.handOverPartition(ctx, p)
	}
	c.awaitSuccessors(ctx, led)
	c.handleElectionEvent(ctx, func(now time.Duration) election.Actions {
		c.node.Leave(now)
		return election.Actions{}
	})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if c.onlyMember() {
		c.declareSelfStopped(ctx)
		return
	}
	for c.isMember() && ctx.Err() == nil {
		clock.Sleep(ctx, leavePollInterval)
	}
}

// awaitSuccessors waits until this host supports other leaders for the given
// partitions. A handover is only valid for the next term of the same member list,
// so a list without this host must not come into force before.
func (c *Controller) awaitSuccessors(ctx context.Context, led []*partition) {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	for !c.haveSuccessors(led) && ctx.Err() == nil {
		clock.Sleep(ctx, leavePollInterval)
	}
}

// haveSuccessors reports whether another host leads each of the partitions, as far
// as this host knows.
func (c *Controller) haveSuccessors(led []*partition) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range led {
		if m, known := c.node.Leader(slotOf(p.id)); !known || m == c.opts.Self {
			return false
		}
	}
	return true
}

// onlyMember reports whether this host is the only member of its cell's list.
func (c *Controller) onlyMember() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Equal(c.node.Status(c.clock.Now()).List.Members, []topology.Member{c.opts.Self})
}

func (c *Controller) isMember() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.node.Status(c.clock.Now()).Member
}

func (c *Controller) ledPartitions() []*partition {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var led []*partition
	for _, p := range c.partitions {
		if p.grants != nil {
			led = append(led, p)
		}
	}
	return led
}

// trimBodies drops all stored response bodies if they exceed
// maxHandOverBodyBytes. A repeated request then gets its outcome without the
// body.
func trimBodies(entries []dedup.HandOverEntry) {
	total := 0
	for _, e := range entries {
		total += len(e.Outcome.Body)
	}
	if total <= maxHandOverBodyBytes {
		return
	}
	for i := range entries {
		entries[i].Outcome.Body, entries[i].Outcome.BodyStored = nil, false
	}
}

// handOverPartition closes the deduplication table of a partition, sends it to
// the member that may lead the next term, and releases the leadership. The host
// stops acting as leader before it releases.
func (c *Controller) handOverPartition(ctx context.Context, p *partition) {
	c.mu.Lock()
	if p.grants == nil {
		c.mu.Unlock()
		return
	}
	epoch := p.epoch
	list := c.node.Status(c.clock.Now()).List
	successor := list.Leader(slotOf(p.id), epoch.Term+1)
	c.mu.Unlock()

	ids, ok := c.exec.HandOver(p.id, epoch)
	trimBodies(ids.Entries)
	if client, known := c.peerOf(successor.Host); ok && known && successor != c.opts.Self {
		call, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := client.HandOver(call, peer.HandOver{Partition: p.id, Epoch: epoch, IDs: ids, Crashes: c.exec.Quarantine().Export()})
		cancel()
		if err != nil {
			c.log.With("partition", p.id).Error("cannot hand over the deduplication table", err)
		}
	}
	c.handleElectionEvent(ctx, func(now time.Duration) election.Actions {
		if p.grants != nil && p.epoch == epoch {
			c.endLeadership(p, "the leadership was handed over")
			c.node.Release(slotOf(p.id), now)
		}
		return election.Actions{}
	})
}
