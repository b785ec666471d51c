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
	// 446,000 ids, the most that a node keeps at the target size, take about
	// 2 s to send.
	handOverTimeout = 3 * time.Second
	// maxHandOverAnswers bounds the stored answers in a hand-over. Beyond it
	// only the verdicts are sent, so that the message stays below the limit of
	// 64 MiB: 120 MB of ids with answers would be refused as a whole.
	maxHandOverAnswers = 16 << 20
	// handOverKept is the time for which a hand-over waits for the start of
	// the next term.
	handOverKept = 5 * time.Second
	// leavePoll and leaveTimeout bound the wait for a list without this host.
	leavePoll    = 20 * time.Millisecond
	leaveTimeout = 3 * time.Second
	// successorTimeout bounds the wait for the successors' terms: a tick, a
	// support round and the candidate's repeats after 50 ms. This host's own
	// promise lasts longer, so that it does not ask for support again.
	successorTimeout = 500 * time.Millisecond
)

type pendingHandOver struct {
	peer.HandOver
	received time.Duration
}

// HandOver implements peer.Control. The hand-over is used when this host
// starts the term that directly follows.
func (c *Controller) HandOver(h peer.HandOver) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.partitions[h.Partition]
	if !ok || p.leader != nil {
		return false
	}
	p.handOver = &pendingHandOver{HandOver: h, received: c.clock.Now()}
	return true
}

// acceptHandOver uses a hand-over of the directly preceding term. Another
// host can have run requests in between otherwise, and the memory of ids would
// be incomplete.
func (c *Controller) acceptHandOver(p *partition, epoch topology.Fence) {
	h := p.handOver
	p.handOver = nil
	if h == nil || c.clock.Now()-h.received > handOverKept {
		return
	}
	next := h.Epoch
	next.Term++
	if next != epoch {
		return
	}
	c.exec.Quarantine().Import(h.Crashes)
	if !c.exec.TakeOver(p.id, epoch, h.IDs) {
		c.log.With("partition", p.id).Warn("Hand-over cannot be used.")
	}
}

// Leave hands all partitions of this host over and takes the host off its
// cell's list. It returns when that is done or the context ends.
func (c *Controller) Leave(ctx context.Context) {
	c.closing.Store(true)
	led := c.ledPartitions()
	for _, p := range led {
		c.handOver(ctx, p)
	}
	c.awaitSuccessors(ctx, led)
	c.step(ctx, func(now time.Duration) election.Actions {
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
		clock.Sleep(ctx, leavePoll)
	}
}

// awaitSuccessors waits until this host supports other leaders for its
// partitions. A hand-over is only good for the next term of the same list; a
// list without this host that came first would make it void.
func (c *Controller) awaitSuccessors(ctx context.Context, led []*partition) {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	for !c.succeeded(led) && ctx.Err() == nil {
		clock.Sleep(ctx, leavePoll)
	}
}

func (c *Controller) succeeded(led []*partition) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range led {
		if m, known := c.node.Leader(slotOf(p.id)); !known || m == c.opts.Self {
			return false
		}
	}
	return true
}

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
		if p.leader != nil {
			led = append(led, p)
		}
	}
	return led
}

// trimAnswers drops the stored answers if there are too many of them. A repeat
// then gets the verdict without the answer.
func trimAnswers(ids []dedup.HandOverEntry) {
	total := 0
	for _, r := range ids {
		total += len(r.Outcome.Body)
	}
	if total <= maxHandOverAnswers {
		return
	}
	for i := range ids {
		ids[i].Outcome.Body, ids[i].Outcome.BodyStored = nil, false
	}
}

// handOver closes the memory of ids, sends it to the leader of the next term
// and releases the partition. The host stops to act before it releases.
func (c *Controller) handOver(ctx context.Context, p *partition) {
	c.mu.Lock()
	if p.leader == nil {
		c.mu.Unlock()
		return
	}
	epoch := p.epoch
	list := c.node.Status(c.clock.Now()).List
	next := list.Leader(slotOf(p.id), epoch.Term+1)
	c.mu.Unlock()

	ids, ok := c.exec.HandOver(p.id, epoch)
	trimAnswers(ids.Entries)
	if client, known := c.peerOf(next.Host); ok && known && next != c.opts.Self {
		call, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, err := client.HandOver(call, peer.HandOver{Partition: p.id, Epoch: epoch, IDs: ids, Crashes: c.exec.Quarantine().Export()})
		cancel()
		if err != nil {
			c.log.With("partition", p.id).Error("Memory of request ids cannot be handed over.", err)
		}
	}
	c.step(ctx, func(now time.Duration) election.Actions {
		if p.leader != nil && p.epoch == epoch {
			c.endLeadership(p, "Leadership is handed over.")
			c.node.Release(slotOf(p.id), now)
		}
		return election.Actions{}
	})
}
