package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeMode is what the store does with the calls of one host.
type storeMode int

const (
	serving storeMode = iota
	busy              // 503: nothing was done
	silent            // no response; nothing was done
)

type record struct {
	key   string
	value []byte
}

type member struct {
	name    string
	expires time.Time
}

// store is the platform's store, as PROTOCOL.md and the news page describe it: a log
// with keyed topics and groups. Each host calls it at an address of its own, so that
// it can turn single hosts away.
type store struct {
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change
	topics     map[string][]record
	members    map[string]member
	generation int64
	era        int64
	modes      map[string]storeMode // by host
	calls      map[string]int       // by host and path
}

func newStore() *store {
	return &store{
		changed: make(chan struct{}), topics: make(map[string][]record), members: make(map[string]member),
		era: 1, modes: make(map[string]storeMode), calls: make(map[string]int),
	}
}

// wake ends the waits of reads. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setMode(m storeMode, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		s.modes[h] = m
	}
	s.wake()
}

func (s *store) modeOf(host string) storeMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.modes[host]
}

// put appends a record as the operator or a server does; a nil value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, value})
	s.wake()
}

// serveHost returns the handler of the calls of one host.
func (s *store) serveHost(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.modeOf(host) {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case silent:
			s.holdWhileSilent(host, r)
			panic(http.ErrAbortHandler)
		case serving:
		}
		time.Sleep(4 * time.Millisecond)
		s.serve(host, w, r)
	})
}

// holdWhileSilent waits until the store serves the host again or the host has given up.
func (s *store) holdWhileSilent(host string, r *http.Request) {
	for s.modeOf(host) == silent {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[host+r.URL.Path]++
	s.mu.Unlock()
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r)
	case "/v1/log-read":
		s.read(host, w, r)
	case "/v1/log-newest":
		s.readNewest(w, r)
	case "/v1/log-join":
		s.join(w, r)
	case "/v1/log-leave":
		s.leave(w, r)
	case "/v1/log-owners":
		s.owners(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if topic == topicConfig || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []record
	for len(data) >= 5 {
		n := int(binary.BigEndian.Uint32(data))
		rec := data[4 : 4+n]
		k := int(rec[0])
		records = append(records, record{string(rec[1 : 1+k]), slices.Clone(rec[1+k:])})
		data = data[4+n:]
	}
	end := int64(len(s.topics[topic]))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	s.topics[topic] = append(s.topics[topic], records...)
	s.wake()
	reply(w, http.StatusOK, map[string]int64{"offset": end, "end": end + int64(len(records))})
}

func (s *store) read(host string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	era := int64(0)
	for {
		if m := s.modeOf(host); m == busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		} else if m == silent {
			s.holdWhileSilent(host, r)
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		list, changed := s.topics[q.Get("topic")], s.changed
		if era == 0 {
			era = s.era
		}
		s.setEra(w)
		restored := era != s.era
		s.mu.Unlock()
		switch {
		case from > int64(len(list)) || restored:
			reply(w, http.StatusGone, map[string]int64{"first": 0})
			return
		case int64(len(list)) > from || wait == 0:
			writeRecords(w, list, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, list []record, from int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range list[from:] {
		if len(out) > 400<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	list := s.topics[r.URL.Query().Get("topic")]
	newest := make(map[string]int)
	for i, rec := range list {
		newest[rec.key] = i
	}
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		i := newest[key]
		if len(list[i].value) == 0 || key <= r.URL.Query().Get("after") {
			continue
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(list[i].value), "offset": i})
	}
	more := len(items) > 500
	reply(w, http.StatusOK, map[string]any{"items": items[:min(500, len(items))], "has_more": more, "end": len(list)})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
		TTL    int64  `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if s.members[body.Group].name != body.Member {
		s.generation++
	}
	s.members[body.Group] = member{body.Member, time.Now().Add(time.Duration(body.TTL) * time.Millisecond)}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": body.TTL, "parts": []any{}})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if s.members[body.Group].name == body.Member {
		delete(s.members, body.Group)
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	rows := [][]any{}
	if m, ok := s.members[r.URL.Query().Get("group")]; ok && time.Now().Before(m.expires) {
		rows = append(rows, []any{"leader", 0, m.name, 0})
	}
	reply(w, http.StatusOK, map[string]any{"owners": rows})
}
