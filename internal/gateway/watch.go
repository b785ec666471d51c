package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
	"github.com/lycheerudder/lycheerudder/internal/logging"
)

const (
	// hostConfigWait is the time for which the store holds a read of the
	// configuration open for a host with a leader. The leader tells the others of
	// a new version, so they need the read only as a reserve.
	hostConfigWait = 20 * time.Second
	// callTimeout ends calls to the store, which answers within milliseconds
	// unless it is slow or down.
	callTimeout = 1200 * time.Millisecond
	// fullTimeout ends a read of all registrations, which the store answers page by
	// page: 3,000 of them are 1.2 MB, a second on a link of 10 Mbit/s.
	fullTimeout = 8 * time.Second
	// hostPoll is the interval at which hosts read the registrations whose leader
	// does it for them; they need the list and the key maps if they lose leader
	// and store together. With many hosts the interval grows by hostPollEach for
	// each, so that all together make a bounded number of calls.
	hostPoll     = 4 * time.Second
	hostPollEach = 150 * time.Millisecond
)

// watch keeps the configuration and the list of servers up to date.
type watch struct {
	clk   clock.Clock
	store Store
	log   logging.Logger
	terms *terms
	// need returns what the host needs in its present role.
	need func() need
	// changed is called after the configuration or the list has changed.
	changed func()
	// readOwners reads the key maps.
	readOwners func(ctx context.Context)

	config atomic.Pointer[fleet.Config]
	hurry  chan struct{}

	pollMu sync.Mutex
	poll   configPoll
	told   int64         // newest version of which the leader told
	toldAt time.Duration // time at which it was noticed

	mu        sync.Mutex
	directory *fleet.Directory
	next      int64
	answered  time.Duration // time of the last answer; a read of all can take seconds
	failedAt  time.Duration // time of the last failed read
	failed    bool
	asked     time.Duration // send time of the read under way; zero if none is
}

// need is what a host needs of the store in its present role.
type need struct {
	// poll is the interval at which the list of servers is read.
	poll time.Duration
	// wait is the time for which a read of the configuration is held open.
	wait time.Duration
	// version is that of the configuration that the leader knows.
	version int64
	// owners is true if the key maps are read along with the list.
	owners bool
	// retry is the longest pause after a failed call.
	retry time.Duration
}

// configPoll is the read of the configuration that is under way.
type configPoll struct {
	cancel  context.CancelFunc // nil if none is held open
	started time.Duration
	version int64 // in force when it began
}

func newWatch(clk clock.Clock, store Store, t *terms, need func() need, changed func()) *watch {
	return &watch{
		clk: clk, store: store, log: logging.For(logging.Platform), terms: t, need: need, changed: changed,
		directory: fleet.NewDirectory(), next: -1, hurry: make(chan struct{}, 1),
	}
}

// runConfig follows the configuration until the context ends.
func (w *watch) runConfig(ctx context.Context) {
	go w.checkConfig(ctx)
	from := int64(-1)
	failing := false
	var pause backoff
	for ctx.Err() == nil {
		n := w.need()
		wait := n.wait
		if failing {
			// A read that is held open shows the store's return late.
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, wait+callTimeout)
		if wait > 0 {
			w.setPoll(configPoll{cancel: cancel, started: w.clk.Now(), version: w.version()})
		}
		config, next, err := w.store.ConfigChange(call, from, wait)
		w.setPoll(configPoll{})
		ended := call.Err() != nil
		cancel()
		if err != nil {
			if !failing && ctx.Err() == nil && !ended {
				w.log.Warn("configuration cannot be read: " + err.Error())
			}
			failing = true
			if !ended {
				clock.Sleep(ctx, pause.next(n.retry))
			}
			continue
		}
		failing = false
		pause.reset()
		from = next
		w.adopt(config)
	}
}

func (w *watch) setPoll(p configPoll) {
	w.pollMu.Lock()
	defer w.pollMu.Unlock()
	w.poll = p
}

// checkConfig ends reads that are held open for longer than the role of the host
// allows, or although the leader has known a newer configuration for a while: a
// sound read brings it at about the time at which the leader tells of it.
func (w *watch) checkConfig(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, w.terms.timing().configCheck)
		n := w.need()
		w.pollMu.Lock()
		p := w.poll
		if n.version != w.told {
			w.told, w.toldAt = n.version, w.clk.Now()
		}
		late := n.version > p.version && w.clk.Now()-w.toldAt > w.terms.timing().configTold
		w.pollMu.Unlock()
		if p.cancel != nil && (late || w.clk.Now()-p.started > n.wait+w.terms.timing().configGrace) {
			p.cancel()
		}
	}
}

// version returns the version of the configuration in force; zero if none is.
func (w *watch) version() int64 {
	if cfg := w.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

func (w *watch) adopt(config *fleet.Config) {
	if config == nil {
		return
	}
	old := w.config.Load()
	if old != nil && old.Version >= config.Version {
		return
	}
	w.config.Store(config)
	w.log.With("version", config.Version).With("services", len(config.Services)).Info("configuration is in force")
	w.changed()
}

// runServers follows the registrations until the context ends.
func (w *watch) runServers(ctx context.Context) {
	failing := false
	var pause backoff
	for ctx.Err() == nil {
		err := w.readServers(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			if failing {
				w.log.Warn("registrations cannot be read: " + err.Error())
			} else {
				w.log.Info("registrations can be read again")
			}
		}
		w.changed()
		n := w.need()
		if err != nil {
			// A host that misses its leader hurries all the time.
			clock.Sleep(ctx, pause.next(n.retry))
			continue
		}
		pause.reset()
		if n.owners {
			w.readOwners(ctx)
		}
		select {
		case <-ctx.Done():
		case <-w.hurry:
		case <-time.After(n.poll):
		}
	}
}

// readNow makes the next read of the registrations due.
func (w *watch) readNow() {
	select {
	case w.hurry <- struct{}{}:
	default:
	}
}

func (w *watch) readServers(ctx context.Context) error {
	w.mu.Lock()
	from := w.next
	sent := w.clk.Now()
	limit := callTimeout
	if from < 0 || sent-w.answered > w.terms.timing().fullRead {
		from, limit = -1, fullTimeout
	}
	w.asked = sent
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := w.store.ServerChanges(call, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	w.asked = 0
	w.failed = err != nil
	if err != nil {
		w.failedAt = now
		w.directory.Failed(now)
		return err
	}
	w.directory.Confirm(sent)
	w.answered = now
	w.next = c.Next
	if c.Full {
		var list []fleet.Server
		for _, ch := range c.Changes {
			if ch.Server != nil {
				list = append(list, *ch.Server)
			}
		}
		w.directory.Replace(list, now)
		return nil
	}
	for _, ch := range c.Changes {
		if ch.Server == nil {
			w.directory.Remove(ch.ID, now)
			continue
		}
		w.directory.Set(*ch.Server)
	}
	return nil
}

// servers returns the registered servers.
func (w *watch) servers() []fleet.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []fleet.Server
	w.directory.Servers(w.clk.Now(), func(s fleet.Server) { list = append(list, s) })
	return list
}

// age returns the age of the list of servers.
func (w *watch) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Age(w.clk.Now())
}

// fresh reports whether this host reaches the store.
func (w *watch) fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.Known() && !w.failed && w.directory.Age(w.clk.Now()) < w.terms.timing().freshList
}

// trusted reports whether requests may be sent to the servers of the list: it is
// fresh, or the store was asked in vain. A host that has just become responsible
// for the list reads it first: servers may have announced their shutdown since.
func (w *watch) trusted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	if w.directory.Known() && w.directory.Age(now) < w.terms.timing().freshList {
		return true
	}
	if w.failed && now-w.failedAt < 2*callTimeout {
		return true
	}
	return w.asked != 0 && now-w.asked > w.terms.timing().vainWait
}
