package logfake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/platformlog"
)

// Handler serves the log over the HTTP protocol of platformlog.Client. GET and
// PUT /faults read and replace the injected faults, and GET /stats returns the
// number of appends that took effect.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Faults()) })
	mux.HandleFunc("PUT /faults", l.serveFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"appends": l.Appends()})
	})
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or incomplete", http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, platformlog.ErrUnavailable):
		http.Error(w, "log service is down", http.StatusServiceUnavailable)
	case err != nil:
		// Closes the connection without a response, like a lost reply.
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, map[string]int64{"offset": offset})
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, fromErr := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(q.Get("limit"))
	wait, waitErr := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(fromErr, limitErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := l.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	if err != nil {
		http.Error(w, "log service is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, b)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	writeJSON(w, f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
