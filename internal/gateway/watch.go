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
	// configWait is the time for which the store holds a read of the
	// configuration open. A connection that went silent is noticed after it.
	configWait = 4 * time.Second
	// callTimeout ends calls to the store, which answers within milliseconds
	// unless it is slow or down.
	callTimeout = 1200 * time.Millisecond
	// callRetry is the pause after a failed call.
	callRetry = 150 * time.Millisecond
	// leaderPoll is the interval at which the leader reads the registrations. A
	// server may be sent requests for LeaveNotice after its announcement.
	leaderPoll = 450 * time.Millisecond
	// hostPoll is the interval for hosts whose leader does it for them,
	// urgentPoll that for hosts whose leader's list is older than staleList.
	hostPoll   = 4 * time.Second
	urgentPoll = 500 * time.Millisecond
	staleList  = 800 * time.Millisecond
	// freshList is the age of the list up to which requests are sent; it leaves
	// the time that a request needs to reach its server.
	freshList = 1400 * time.Millisecond
)

// watch keeps the configuration and the list of servers up to date.
type watch struct {
	clk   clock.Clock
	store Store
	log   logging.Logger
	// need returns the interval at which the list of servers is read, and the
	// version of the configuration that other hosts know.
	need func() (poll time.Duration, version int64)
	// changed is called after the configuration or the list has changed.
	changed func()

	config atomic.Pointer[fleet.Config]
	hurry  chan struct{}

	mu        sync.Mutex
	directory *fleet.Directory
	next      int64
	failedAt  time.Duration // time of the last failed read
	failed    bool
	asked     time.Duration // send time of the read under way; zero if none is
}

func newWatch(clk clock.Clock, store Store, need func() (time.Duration, int64), changed func()) *watch {
	return &watch{
		clk: clk, store: store, log: logging.For(logging.Platform), need: need, changed: changed,
		directory: fleet.NewDirectory(), next: -1, hurry: make(chan struct{}, 1),
	}
}

// runConfig follows the configuration until the context ends.
func (w *watch) runConfig(ctx context.Context) {
	from := int64(-1)
	failing := false
	for ctx.Err() == nil {
		wait := configWait
		cfg := w.config.Load()
		if cfg == nil {
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, wait+callTimeout)
		stop := w.interruptWhenBehind(call, cancel, cfg)
		next, config, err := w.readConfig(call, from, wait)
		stop()
		cancel()
		if err != nil {
			if !failing && ctx.Err() == nil {
				w.log.Warn("configuration cannot be read: " + err.Error())
			}
			failing = true
			sleep(ctx, callRetry)
			continue
		}
		if failing {
			w.log.Info("configuration can be read again")
		}
		failing = false
		from = next
		w.adopt(config)
		if config == nil && cfg == nil {
			sleep(ctx, callRetry)
		}
	}
}

func (w *watch) readConfig(ctx context.Context, from int64, wait time.Duration) (int64, *fleet.Config, error) {
	config, next, err := w.store.ConfigChange(ctx, from, wait)
	return next, config, err
}

// interruptWhenBehind ends a read that is held open as soon as another host
// knows a newer configuration: the connection may have gone silent.
func (w *watch) interruptWhenBehind(ctx context.Context, cancel func(), cfg *fleet.Config) func() {
	if cfg == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(behindCheck)
		defer t.Stop()
		behind := 0
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if _, version := w.need(); version > cfg.Version {
				if behind++; behind > 1 {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}

// behindCheck is the interval between comparisons of versions; a host that is
// behind at two of them reads anew.
const behindCheck = 300 * time.Millisecond

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
		wait, _ := w.need()
		if err != nil {
			wait = callRetry
		}
		select {
		case <-ctx.Done():
		case <-w.hurry:
		case <-time.After(wait):
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
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w.mu.Lock()
	from := w.next
	sent := w.clk.Now()
	w.asked = sent
	w.mu.Unlock()
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
	return w.directory.Known() && !w.failed && w.directory.Age(w.clk.Now()) < freshList
}

// trusted reports whether requests may be sent to the servers of the list: it is
// fresh, or the store was asked in vain. A host that has just become responsible
// for the list reads it first: servers may have announced their shutdown since.
func (w *watch) trusted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	if w.directory.Known() && w.directory.Age(now) < freshList {
		return true
	}
	if w.failed && now-w.failedAt < 2*callTimeout {
		return true
	}
	// The store answers within milliseconds when it answers at all.
	return w.asked != 0 && now-w.asked > vainWait
}

// vainWait is the time after which a read without an answer counts as vain.
const vainWait = 350 * time.Millisecond

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
