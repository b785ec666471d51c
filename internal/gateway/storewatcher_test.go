package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/fleet"
)

// countingStore responds to reads or refuses them, and counts the calls. Calls
// that it does not define fail the test.
type countingStore struct {
	Store
	mu          sync.Mutex
	down        bool
	silent      bool // reads of the registrations get no response
	version     int64
	changed     chan struct{} // closed when the configuration changes
	latency     time.Duration
	configReads int
	serverReads int
	// fullReadTime is the duration of a read of all registrations.
	fullReadTime time.Duration
}

func newCountingStore(version int64) *countingStore {
	return &countingStore{version: version, changed: make(chan struct{}), latency: 4 * time.Millisecond}
}

func (s *countingStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *countingStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *countingStore) configure(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// counts returns the calls since the last count.
func (s *countingStore) counts() (configs, servers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	configs, servers = s.configReads, s.serverReads
	s.configReads, s.serverReads = 0, 0
	return configs, servers
}

func (s *countingStore) OperatorChanges(ctx context.Context, from Position, wait time.Duration) (OperatorChanges, error) {
	s.mu.Lock()
	s.configReads++
	down, version, changed := s.down, s.version, s.changed
	s.mu.Unlock()
	time.Sleep(s.latency)
	if down {
		return OperatorChanges{}, ErrRefused
	}
	if version <= from.Offset && wait > 0 {
		select {
		case <-changed:
			time.Sleep(s.latency)
		case <-time.After(wait):
		case <-ctx.Done():
			return OperatorChanges{}, ctx.Err()
		}
		s.mu.Lock()
		version = s.version
		s.mu.Unlock()
	}
	if version == 0 || version <= from.Offset {
		return OperatorChanges{Next: Position{Era: FirstEra, Offset: version}}, nil
	}
	return OperatorChanges{Config: &fleet.Config{Version: version}, Next: Position{Era: FirstEra, Offset: version}}, nil
}

func (s *countingStore) ServerChanges(ctx context.Context, from Position) (ServerChanges, error) {
	s.mu.Lock()
	s.serverReads++
	down, silent, full := s.down, s.silent, s.fullReadTime
	s.mu.Unlock()
	if down {
		return ServerChanges{}, ErrRefused
	}
	if silent {
		<-ctx.Done()
		return ServerChanges{}, ctx.Err()
	}
	if from == (Position{}) {
		select {
		case <-time.After(full):
		case <-ctx.Done():
			return ServerChanges{}, ctx.Err()
		}
	}
	return ServerChanges{Full: from == (Position{}), Next: Position{Era: FirstEra, Offset: 1}}, nil
}

// startWatcher runs a storeWatcher in the bubble of a test until the test ends.
func startWatcher(t *testing.T, store Store, policy func() readPolicy) *storeWatcher {
	w := newStoreWatcher(clock.NewMonotonic(), store, newActiveBounds(typicalBounds()), policy, func() {})
	w.readOwners = func(context.Context) {}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { w.runConfig(ctx) })
	loops.Go(func() { w.runServers(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
		synctest.Wait()
	})
	return w
}

// Guards against an unbounded number of calls during an outage of the store: 77
// hosts made 33,000 of them in one, a third of a day's worth. The store refuses
// all calls for 8 s while the leader reports an old list, so that the host
// requests reads all the time. The host knows within maxHostRetryPause that the
// store is back.
func TestStoreOutageLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newCountingStore(3)
		w := startWatcher(t, store, func() readPolicy {
			return readPolicy{pollInterval: 500 * time.Millisecond, configWait: 1500 * time.Millisecond, maxRetryPause: maxHostRetryPause}
		})
		time.Sleep(time.Second)
		store.setDown(true)
		store.counts()
		for range 400 {
			w.readNow()
			time.Sleep(20 * time.Millisecond)
		}
		configs, servers := store.counts()
		g.Expect(configs).To(BeNumerically("<=", 12))
		g.Expect(servers).To(BeNumerically("<=", 12))
		store.setDown(false)
		time.Sleep(maxHostRetryPause + 50*time.Millisecond)
		g.Expect(w.storeReachable()).To(BeTrue())
		store.configure(4)
		time.Sleep(maxHostRetryPause + 50*time.Millisecond)
		g.Expect(w.config.Load().Version).To(Equal(int64(4)))
	})
}

// Guards against hosts that read the configuration without a pause while there
// is none. The operator writes the first configuration seconds after the start.
func TestMissingConfigurationLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newCountingStore(0)
		w := startWatcher(t, store, func() readPolicy {
			return readPolicy{pollInterval: time.Second, configWait: 1500 * time.Millisecond, maxRetryPause: maxHostRetryPause}
		})
		time.Sleep(6 * time.Second)
		configs, _ := store.counts()
		g.Expect(configs).To(BeNumerically("<=", 5))
		store.configure(3)
		time.Sleep(20 * time.Millisecond)
		g.Expect(w.config.Load()).NotTo(BeNil())
	})
}

// Guards against a second read of the whole configuration by every host when
// the leader announces a new version before the read that is held open returns.
// Also guards against a read on a silent connection that keeps an old
// configuration in force.
func TestChangedConfigurationIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newCountingStore(3)
		var mu sync.Mutex
		leaderVersion := int64(3)
		w := startWatcher(t, store, func() readPolicy {
			mu.Lock()
			defer mu.Unlock()
			return readPolicy{pollInterval: time.Minute, configWait: hostConfigWait, leaderVersion: leaderVersion, maxRetryPause: maxHostRetryPause}
		})
		time.Sleep(5 * time.Second)
		store.counts()
		mu.Lock()
		leaderVersion = 4
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		store.configure(4)
		time.Sleep(2 * time.Second)
		configs, _ := store.counts()
		g.Expect(configs).To(Equal(1), "only the next read, which is held open")
		g.Expect(w.config.Load().Version).To(Equal(int64(4)))

		// The read that is held open does not return the next change.
		store.mu.Lock()
		store.version = 5
		store.mu.Unlock()
		mu.Lock()
		leaderVersion = 5
		mu.Unlock()
		time.Sleep(w.active.bounds.Load().MaxConfigDelay / 2)
		g.Expect(w.config.Load().Version).To(Equal(int64(5)))
	})
}

// Guards against a host that cancels its first read of the registrations and
// starts again for ever. On a slow link the list of a large fleet takes
// seconds.
func TestLargeServerListIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newCountingStore(3)
		store.fullReadTime = 4 * time.Second
		w := startWatcher(t, store, func() readPolicy {
			return readPolicy{pollInterval: time.Second, configWait: hostConfigWait, maxRetryPause: maxHostRetryPause}
		})
		time.Sleep(4500 * time.Millisecond)
		_, servers := store.counts()
		g.Expect(servers).To(Equal(1))
		time.Sleep(time.Second)
		g.Expect(w.storeReachable()).To(BeTrue())
	})
}

// Guards against a host that was turned away by the store and sends requests by its old
// list when it becomes the leader: its last read of the registrations has failed, but the
// store has responded to its other calls since.
func TestListIsReadAgainOnceStoreResponds(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent bool // reads get no response
		outage time.Duration
	}{
		{"reads are refused", false, 4500 * time.Millisecond},
		{"a read without a response is in progress", true, 3500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := newCountingStore(3)
				store.fullReadTime = 5 * time.Millisecond
				w := startWatcher(t, store, func() readPolicy {
					return readPolicy{pollInterval: 500 * time.Millisecond, configWait: time.Second, maxRetryPause: maxHostRetryPause}
				})
				time.Sleep(time.Second)
				store.setDown(!test.silent)
				store.setSilent(test.silent)
				time.Sleep(test.outage)
				g.Expect(w.listUsable()).To(BeTrue(), "the store may be down for all hosts")
				w.mu.Lock()
				g.Expect(w.readStartedAt != 0).To(Equal(test.silent), "a read is in progress")
				w.mu.Unlock()
				store.setDown(false)
				store.setSilent(false)
				w.storeResponded()
				g.Expect(w.listUsable()).To(BeFalse())
				time.Sleep(20 * time.Millisecond)
				g.Expect(w.listUsable()).To(BeTrue())
				g.Expect(w.listAge()).To(BeNumerically("<", 30*time.Millisecond))
			})
		})
	}
}
