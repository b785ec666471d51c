// Package loadgen sends requests to entry hosts as callers do, and measures
// throughput, latency and the unavailable time of keys.
package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// dialTimeout bounds a connection to an entry host on the local network.
	dialTimeout = 200 * time.Millisecond
	// callerMargin is the time that a caller waits beyond the request's timeout,
	// so that an answer at the deadline still arrives.
	callerMargin = 500 * time.Millisecond
	// maxIdlePerHost keeps the connections of all requests in flight open.
	maxIdlePerHost = 1024
)

// Codes of failures that no entry host reported.
const (
	codeTransport = "caller-transport"
	codeTimeout   = "caller-timeout"
	codeNoHost    = "caller-no-host"
)

// Request is one request to send.
type Request struct {
	Key   string
	Write bool // may run at most once
}

// Outcome is the outcome of one request.
type Outcome struct {
	ID      string
	Verdict verdict.Verdict
	Code    string // empty if the request succeeded
	Message string // of the entry host's error, for the report
	Took    time.Duration
}

// Succeeded reports whether the complete answer of a server arrived.
func (o Outcome) Succeeded() bool { return o.Code == "" && o.Verdict == verdict.Ran }

// Sender sends requests of one customer to one service. It is safe for
// concurrent use.
type Sender struct {
	Service  string
	Customer string
	Timeout  time.Duration
	Hosts    *Hosts
	client   http.RoundTripper
}

// NewSender returns a Sender that spreads its requests over hosts.
func NewSender(service, customer string, timeout time.Duration, hosts *Hosts) *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Sender{
		Service: service, Customer: customer, Timeout: timeout, Hosts: hosts,
		client: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost},
	}
}

// Send sends one request. Only a refused connection, on which nothing was sent,
// makes it try the next host.
func (s *Sender) Send(ctx context.Context, r Request) Outcome {
	start := time.Now()
	o := Outcome{ID: uuid.Must(uuid.NewV7()).String(), Verdict: verdict.NotRun, Code: codeNoHost}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+callerMargin)
	defer cancel()
	for range s.Hosts.Len() {
		target, ok := s.Hosts.Next()
		if !ok {
			break
		}
		header, body, err := s.exchange(ctx, target, o.ID, r)
		if errors.Is(err, unix.ECONNREFUSED) {
			s.Hosts.Refused(target)
			continue
		}
		if o.Verdict, o.Code = outcome(header, err); o.Code != "" {
			o.Message = message(body, err)
		}
		break
	}
	o.Took = time.Since(start)
	return o
}

func (s *Sender) exchange(ctx context.Context, target, id string, r Request) (http.Header, []byte, error) {
	// The id in the body gives each request its own fingerprint, so that a
	// probe of a server that crashes twice is not quarantined.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/"+s.Service+"/sheet", strings.NewReader(id))
	if err != nil {
		return nil, nil, eris.Wrap(err, "request")
	}
	req.Header.Set(frontend.HeaderCustomer, s.Customer)
	req.Header.Set(frontend.HeaderKey, r.Key)
	req.Header.Set(frontend.HeaderTimeout, strconv.FormatInt(s.Timeout.Milliseconds(), 10))
	req.Header.Set(frontend.HeaderRepeatable, strconv.FormatBool(!r.Write))
	req.Header.Set(frontend.HeaderRequestID, id)
	resp, err := s.client.RoundTrip(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.Header, body, err
}

func message(body []byte, err error) string {
	if err != nil {
		return err.Error()
	}
	var e struct{ Message string }
	_ = json.Unmarshal(body, &e) // an answer that is no error has no message
	return e.Message
}

// outcome reads the verdict of an exchange. A request without an answer may
// have run.
func outcome(header http.Header, err error) (verdict.Verdict, string) {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.MayHaveRun, codeTimeout
	case err != nil:
		return verdict.MayHaveRun, codeTransport
	}
	return verdict.Parse(header.Get(frontend.HeaderVerdict)), header.Get(frontend.HeaderError)
}
