package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// event is a line of the record.
type event struct {
	MS     int64  `json:"ms"` // since the start of the case
	Kind   string `json:"kind"`
	ID     string `json:"id,omitempty"`
	Host   string `json:"host,omitempty"`
	Server string `json:"server,omitempty"`
	Key    int    `json:"key,omitempty"`
	To     int    `json:"to,omitempty"`
	Fence  int64  `json:"fence,omitempty"`
	HoldMS int64  `json:"hold_ms,omitempty"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Note   string `json:"note,omitempty"`
	at     time.Time
}

// recorder keeps all events and writes them to the record.
type recorder struct {
	mu     sync.Mutex
	begin  time.Time
	events []event
	holds  []holdSpan
	out    *os.File
}

// holdSpan is a time in which a life of a server held keys.
type holdSpan struct {
	s            *server
	from, to     int
	fence        int64
	begin, until time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), out: f}, nil
}

func (l *recorder) write(e event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.at = time.Now()
	e.MS = e.at.Sub(l.begin).Milliseconds()
	l.events = append(l.events, e)
	data, _ := json.Marshal(e)
	_, _ = l.out.Write(append(data, '\n'))
}

func (l *recorder) note(text string) { l.write(event{Kind: "note", Note: text}) }

// hold records a grant that a server took.
func (l *recorder) hold(s *server, c keyCall, now, until time.Time) {
	l.cutHolds(s, c, now)
	l.mu.Lock()
	l.holds = append(l.holds, holdSpan{s, c.From, c.Target, c.Fence, now, until})
	l.mu.Unlock()
	l.write(event{Kind: "holds", Server: s.id, Key: c.From, To: c.Target, Fence: c.Fence, HoldMS: c.HoldMS})
}

func (l *recorder) released(s *server, c keyCall) {
	l.cutHolds(s, c, time.Now())
	l.write(event{Kind: "releases", Server: s.id, Key: c.From, To: c.Target, Fence: c.Fence})
}

// cutHolds ends the holds of a server on a range of keys.
func (l *recorder) cutHolds(s *server, c keyCall, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []holdSpan
	for i := range l.holds {
		h := &l.holds[i]
		if h.s != s || h.to < c.From || h.from > c.Target || !now.Before(h.until) {
			continue
		}
		if h.from < c.From {
			added = append(added, holdSpan{h.s, h.from, c.From - 1, h.fence, now, h.until})
		}
		if h.to > c.Target {
			added = append(added, holdSpan{h.s, c.Target + 1, h.to, h.fence, now, h.until})
		}
		h.until = now
	}
	l.holds = append(l.holds, added...)
}

func (l *recorder) all() []event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]event(nil), l.events...)
}
