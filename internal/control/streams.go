package control

import (
	"context"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/election"
	"github.com/lycheerudder/lycheerudder/internal/logstream"
	"github.com/lycheerudder/lycheerudder/internal/quarantine"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	maxPendingCrashes  = 256
	crashAppendTimeout = 30 * time.Second
)

// streams holds this host's replicas of the log streams and the state that is
// folded from them.
type streams struct {
	config, members, assignments, quarantine *logstream.Replica

	configFold      *state.Config
	membersFold     *state.Members
	assignmentsFold *state.Assignments
	quarantineFold  *state.Quarantine
}

func newStreams(cell topology.CellID, clk clock.Clock) streams {
	s := streams{
		configFold: state.NewConfig(), membersFold: state.NewMembers(),
		assignmentsFold: state.NewAssignments(cell), quarantineFold: state.NewQuarantine(),
	}
	s.config = logstream.NewReplica(s.configFold.Fold, clk, logstream.DefaultPollTimeout)
	s.members = logstream.NewReplica(s.membersFold.Fold, clk, logstream.ShortPollTimeout)
	s.assignments = logstream.NewReplica(s.assignmentsFold.Fold, clk, logstream.DefaultPollTimeout)
	s.quarantine = logstream.NewReplica(s.quarantineFold.Fold, clk, logstream.DefaultPollTimeout)
	return s
}

func (s *streams) all() []*logstream.Replica { return append(s.shared(), s.assignments) }

// shared returns the replicas of the streams that all hosts follow and relay to
// each other.
func (s *streams) shared() []*logstream.Replica {
	return []*logstream.Replica{s.config, s.members, s.quarantine}
}

// watch calls apply once and after every change of a stream.
func watch(ctx context.Context, s *logstream.Replica, apply func()) {
	for ctx.Err() == nil {
		changed := s.Changed()
		apply()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *Controller) watchConfig(ctx context.Context) {
	watch(ctx, c.streams.config, func() {
		var doc *config.Document
		var rev state.Revision
		c.streams.config.View(func(*state.Fold) { doc, rev = c.streams.configFold.Document() })
		if doc == nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if rev.Offset > c.configRevision {
			c.config, c.configRevision = doc, rev.Offset
			if doc.Fleet.MaxAutonomy > 0 {
				c.node.SetMaxAutonomy(doc.Fleet.MaxAutonomy)
			}
			c.ready.Store(true)
			c.log.With("revision", rev.Offset).Info("a new configuration is in force")
		}
	})
}

func (c *Controller) watchMembers(ctx context.Context) {
	watch(ctx, c.streams.members, func() {
		// The time of the confirmed read is taken before the lists, so that the
		// lists are at least as new as the read.
		sent, confirmed := c.streams.members.ConfirmedAt()
		var lists []state.MemberList
		c.streams.members.View(func(*state.Fold) { lists = c.streams.membersFold.Lists() })
		c.handleElectionEvent(ctx, func(now time.Duration) election.Actions {
			c.applyLists(lists, now)
			if confirmed {
				c.node.LogRead(sent, now)
			}
			return election.Actions{}
		})
		if confirmed {
			c.replaceStoppedList(ctx)
		}
	})
}

func (c *Controller) applyLists(lists []state.MemberList, now time.Duration) {
	clear(c.memberLists)
	for _, l := range lists {
		c.memberLists[l.DataCentre] = append(c.memberLists[l.DataCentre], l)
		if l.Cell == c.opts.Cell {
			c.node.ApplyList(election.MemberList{Version: l.Version, Members: l.Members, Offset: l.Revision.Offset}, now)
		}
	}
}

func (c *Controller) watchQuarantine(ctx context.Context) {
	watch(ctx, c.streams.quarantine, func() {
		var list []quarantine.Crash
		c.streams.quarantine.View(func(*state.Fold) { list = crashesOf(c.streams.quarantineFold) })
		c.exec.Quarantine().Import(list)
	})
}

// crashesOf returns the recorded crashes. It skips fingerprints that are
// not valid digests.
func crashesOf(fold *state.Quarantine) []quarantine.Crash {
	var list []quarantine.Crash
	for fp, crashes := range fold.CrashesByFingerprint() {
		digest, ok := request.ParseDigest(string(fp))
		if !ok {
			continue
		}
		for _, cr := range crashes {
			list = append(list, quarantine.Crash{
				ID: quarantine.CrashID(cr.Server, cr.Incarnation), Digest: digest,
				Server: cr.Server, Incarnation: cr.Incarnation, At: time.UnixMilli(cr.At),
			})
		}
	}
	return list
}

// PublishCrash queues a crash record for the log. It does not block. If the queue
// is full because the log is down, the record is dropped; only this host and the
// hosts to which it hands over partitions then count the crash.
func (c *Controller) PublishCrash(cr quarantine.Crash) {
	select {
	case c.crashes <- cr:
	default:
		c.log.With("server", cr.Server).Warn("the queue for the log is full; dropping the crash record")
	}
}

func (c *Controller) publishCrashes(ctx context.Context) {
	w := logstream.NewWriter(c.opts.Log, c.streams.quarantine)
	for {
		select {
		case <-ctx.Done():
			return
		case cr := <-c.crashes:
			c.appendCrash(ctx, w, cr)
		}
	}
}

func (c *Controller) appendCrash(ctx context.Context, w *logstream.Writer, cr quarantine.Crash) {
	e, err := record.New(record.KindCrashes, record.NoBase, string(c.opts.Self.Host), record.Crashes{Suspects: []record.Crash{{
		Fingerprint: record.Fingerprint(cr.Digest.String()), Server: cr.Server, Incarnation: cr.Incarnation, At: cr.At.UnixMilli(),
	}}})
	if err != nil {
		c.log.Error("cannot encode the crash record", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashAppendTimeout)
	defer cancel()
	if _, err := w.Append(ctx, e); err != nil {
		c.log.Error("cannot append the crash record to the log", err)
	}
}
