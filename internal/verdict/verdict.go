// Package verdict defines the verdict of a response, which says whether the
// request was executed, and the error codes that callers see.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Verdict says whether a server executed a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value: a request counts as possibly executed
	// unless it is known whether it was.
	MayHaveRun Verdict = iota
	// NotRun guarantees that no server executed the request or will execute it.
	NotRun
	// Ran guarantees that the owning server executed the request.
	Ran
)

// String returns the value of the Lyr-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the value of a Lyr-Verdict header. An unknown value becomes
// MayHaveRun, the only safe choice because it guarantees nothing.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Code is a machine-readable error code, the value of the Lyr-Error header.
type Code string

// Error codes that callers see.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnknownService   Code = "unknown-service"
	CodeUnknownCustomer  Code = "unknown-customer"
	CodeTooLarge         Code = "too-large"
	CodeClock            Code = "clock"
	CodeDeadline         Code = "deadline-exceeded"
	CodeCancelled        Code = "cancelled"
	CodeOverload         Code = "overload"
	CodeNoOwner          Code = "no-owner"
	CodeNotLeader        Code = "not-leader"
	CodeNoLeader         Code = "no-leader"
	CodeFence            Code = "fence"
	CodeDuplicate        Code = "duplicate"
	CodeIDReused         Code = "id-reused"
	CodeIDOutcomeUnknown Code = "id-outcome-unknown"
	CodeQuarantined      Code = "quarantined"
	CodeServerFailed     Code = "server-failed"
	CodeBadResponse      Code = "answer-broken"
	CodeShuttingDown     Code = "shutting-down"
	CodeInternal         Code = "internal"
)

var httpStatus = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnknownService:   http.StatusNotFound,
	CodeUnknownCustomer:  http.StatusForbidden,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeClock:            http.StatusBadRequest,
	CodeDeadline:         http.StatusGatewayTimeout,
	CodeCancelled:        499, // non-standard status that proxies use when the caller disconnects
	CodeOverload:         http.StatusTooManyRequests,
	CodeNoOwner:          http.StatusServiceUnavailable,
	CodeNotLeader:        http.StatusServiceUnavailable,
	CodeNoLeader:         http.StatusServiceUnavailable,
	CodeFence:            http.StatusServiceUnavailable,
	CodeDuplicate:        http.StatusConflict,
	CodeIDReused:         http.StatusUnprocessableEntity,
	CodeIDOutcomeUnknown: http.StatusConflict,
	CodeQuarantined:      http.StatusUnprocessableEntity,
	CodeServerFailed:     http.StatusBadGateway,
	CodeBadResponse:      http.StatusBadGateway,
	CodeShuttingDown:     http.StatusServiceUnavailable,
	CodeInternal:         http.StatusInternalServerError,
}

// Error is the error of a failed request, with its verdict.
type Error struct {
	Code    Code
	Verdict Verdict
	Message string
	// RetryAfter is how long the caller should wait before it tries again. It
	// is zero if a retry is not expected to succeed.
	RetryAfter time.Duration
	// Leader is the peer address of the host that leads the partition, for
	// CodeNotLeader. It is empty if the leader is unknown.
	Leader string
	// ConnectionLost is true if the connection to the server ended during the
	// exchange. The server may have died.
	ConnectionLost bool
}

// New returns an Error with a formatted message.
func New(code Code, v Verdict, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: v, Message: fmt.Sprintf(format, args...)}
}

// WithRetry returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	if s, ok := httpStatus[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the *Error in the chain of err. Any other error becomes an Error
// with CodeInternal and verdict MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeInternal, MayHaveRun, "%v", err)
}
