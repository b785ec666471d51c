package gateway

import (
	"slices"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hostlink"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// promptAnnouncement is the age up to which an announcement comes from the incarnation
// that the leader knows, although the host that passes it on knows an earlier one only: a
// server takes longer to start again and register.
const promptAnnouncement = 300 * time.Millisecond

// recordLeaving records that a server announced its shutdown in a response to this host.
func (w *storeWatcher) recordLeaving(id topology.ServerID) {
	w.mu.Lock()
	incarnation := w.directory.Incarnation(id)
	isNew := w.directory.RecordLeaving(id, incarnation, w.clk.Now())
	w.mu.Unlock()
	w.announced(id, incarnation, isNew, "response")
}

// recordLeavingServers records servers that announced their shutdown to another host.
func (w *storeWatcher) recordLeavingServers(m *hostlink.LeavingServers) {
	for _, s := range m.Servers {
		id, age := topology.ServerID(s.Server), time.Duration(s.AgeMS)*time.Millisecond
		w.mu.Lock()
		incarnation := s.Incarnation
		if age <= promptAnnouncement {
			incarnation = max(incarnation, w.directory.Incarnation(id))
		}
		isNew := w.directory.RecordLeaving(id, incarnation, w.clk.Now()-age)
		w.mu.Unlock()
		w.announced(id, incarnation, isNew, "host")
	}
}

// announced logs a new announcement and makes the schedulers of this host use it.
func (w *storeWatcher) announced(id topology.ServerID, incarnation int64, isNew bool, source string) {
	if !isNew {
		return
	}
	w.log.With("server", string(id)).With("incarnation", incarnation).With("source", source).Info("a server announces its shutdown and gets no more requests")
	w.onChange()
}

// forgetLeaving ends what is known of servers that have started again. The caller holds
// the lock.
func (w *storeWatcher) forgetLeaving(now time.Duration) {
	for _, id := range w.directory.ForgetLeaving(now) {
		w.log.With("server", string(id)).With("incarnation", w.directory.Incarnation(id)).Info("a server that announced its shutdown has started again")
	}
}

// leavingServers returns the servers that announced their shutdown in a response and
// have not ended.
func (w *storeWatcher) leavingServers() []hostlink.LeavingServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []hostlink.LeavingServer
	now := w.clk.Now()
	w.directory.Leaving(func(id topology.ServerID, incarnation int64, at time.Duration) {
		list = append(list, hostlink.LeavingServer{Server: string(id), Incarnation: incarnation, AgeMS: uint32(min(now-at, time.Hour).Milliseconds())})
	})
	return list
}

// leavingServer returns the entry of one server in leavingServers, if there is one.
func (w *storeWatcher) leavingServer(id topology.ServerID) []hostlink.LeavingServer {
	return slices.DeleteFunc(w.leavingServers(), func(s hostlink.LeavingServer) bool { return s.Server != string(id) })
}
