// Package frontend is the caller interface: HTTP requests of the form
// /v1/{service}/{path} with the headers below.
package frontend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Headers of requests and answers.
const (
	HeaderCustomer   = "Lyr-Customer"
	HeaderKey        = "Lyr-Key"
	HeaderTimeout    = "Lyr-Timeout"
	HeaderClass      = "Lyr-Class"
	HeaderRepeatable = "Lyr-Repeatable"
	HeaderRequestID  = "Lyr-Request-Id"
	HeaderVerdict    = "Lyr-Verdict"
	HeaderError      = "Lyr-Error"
	// HeaderTime is the router's wall clock in Unix milliseconds.
	HeaderTime = "Lyr-Time"
	// HeaderServer, HeaderFence and HeaderTiming explain where an answer comes
	// from and where its time went.
	HeaderServer = "Lyr-Server"
	HeaderFence  = "Lyr-Fence"
	HeaderTiming = "Lyr-Timing"
)

const defaultTimeout = 5 * time.Second

// Handler returns the caller interface in front of next.
func Handler(next request.Doer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/{service}/{path...}", func(w http.ResponseWriter, r *http.Request) {
		serve(next, w, r)
	})
	return mux
}

func serve(next request.Doer, w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	w.Header().Set(HeaderTime, strconv.FormatInt(start.UnixMilli(), 10))
	req, timeout, err := parse(r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	ans, err := next.Do(ctx, req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, ans, time.Since(start))
}

func parse(r *http.Request) (*request.Request, time.Duration, error) {
	h := r.Header
	req := &request.Request{
		Service: topology.Service(r.PathValue("service")), Customer: topology.Customer(h.Get(HeaderCustomer)),
		Key: h.Get(HeaderKey), Class: request.Class(h.Get(HeaderClass)), ID: h.Get(HeaderRequestID),
		Repeatable: h.Get(HeaderRepeatable) == "true", Method: r.Method,
		Path: serverPath(r), ContentType: h.Get("Content-Type"), Body: r.Body, Size: r.ContentLength,
	}
	if req.Class == "" {
		req.Class = request.Interactive
	}
	if req.Customer == "" || req.Key == "" {
		return nil, 0, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "headers %s and %s are required", HeaderCustomer, HeaderKey)
	}
	if !req.Repeatable && req.ID == "" {
		return nil, 0, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "a request that is not repeatable needs %s", HeaderRequestID)
	}
	timeout, err := parseTimeout(h.Get(HeaderTimeout))
	return req, timeout, err
}

func serverPath(r *http.Request) string {
	p := "/" + strings.TrimPrefix(r.PathValue("path"), "/")
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}

func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > request.MaxTimeout {
		return 0, verdict.New(verdict.CodeBadRequest, verdict.NotRun, "%s must be 1 to %d ms, not %q", HeaderTimeout, request.MaxTimeout.Milliseconds(), s)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// ErrorBody is the JSON body of a failed request.
type ErrorBody struct {
	Code         verdict.Code `json:"code"`
	Verdict      string       `json:"verdict"`
	Message      string       `json:"message"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	e := verdict.From(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderVerdict, e.Verdict.String())
	w.Header().Set(HeaderError, string(e.Code))
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(ErrorBody{
		Code: e.Code, Verdict: e.Verdict.String(), Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

func writeAnswer(w http.ResponseWriter, ans *request.Answer, total time.Duration) {
	defer func() { _ = ans.Body.Close() }()
	h := w.Header()
	if ans.ContentType != "" {
		h.Set("Content-Type", ans.ContentType)
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderServer, string(ans.Server))
	h.Set(HeaderFence, ans.Fence.String())
	h.Set(HeaderTiming, timing(ans.Timing, total))
	if ans.Size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(ans.Size, 10))
	}
	w.WriteHeader(ans.Status)
	if _, err := io.Copy(w, ans.Body); err != nil {
		// Breaking the connection is the only way to show the caller that an
		// answer whose head was sent is incomplete.
		panic(http.ErrAbortHandler)
	}
}

func timing(t request.Timing, total time.Duration) string {
	return "total=" + total.String() + " queue=" + t.Queue.String() + " server=" + t.Server.String()
}
