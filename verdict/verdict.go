// Package verdict classifies the outcome of a request by whether an upstream
// may have run it. Every error that reaches a caller carries a Verdict.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run on an upstream.
type Verdict uint8

// The zero value is MayHaveRun, the only safe value when nothing is known about
// the run.
const (
	// MayHaveRun means that the request may have run completely or in part.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream ran any part of the request.
	NotRun
	// Ran means that an upstream ran the request.
	Ran
)

// String returns the text form of v that goes into the Comfreyspindle-Verdict
// header.
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

// MarshalText encodes v in the form of String.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes the form of String. It returns an error for any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{MayHaveRun, NotRun, Ran} {
		if string(text) == known.String() {
			*v = known
			return nil
		}
	}
	return errors.Newf("unknown verdict %q", text)
}

// Code is a stable, machine-readable reason for an error.
type Code string

// Codes of errors that are returned to callers.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeUnauthorized        Code = "unauthorized"
	CodeForbidden           Code = "forbidden"
	CodeNotFound            Code = "not_found"
	CodeUnknownService      Code = "unknown_service"
	CodeTooLarge            Code = "too_large"
	CodeHeadersTooLarge     Code = "headers_too_large"
	CodeConflict            Code = "conflict"
	CodeOverloaded          Code = "overloaded"
	CodeCallerLimit         Code = "caller_limit"
	CodeCeiling             Code = "ceiling_reached"
	CodeNoUpstream          Code = "no_upstream"
	CodeUpstreamFailed      Code = "upstream_failed"
	CodeIncomplete          Code = "incomplete_answer"
	CodeTimeout             Code = "timeout"
	CodeCancelled           Code = "cancelled"
	CodeQuarantined         Code = "quarantined"
	CodeDuplicate           Code = "duplicate"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeDraining            Code = "draining"
	CodeHostFull            Code = "host_full"
	CodeInternal            Code = "internal"
)

// codeStatus maps codes to HTTP status codes. 499 is the customary status for a
// request that its client cancelled.
var codeStatus = map[Code]int{
	CodeInvalidRequest:      http.StatusBadRequest,
	CodeUnauthorized:        http.StatusUnauthorized,
	CodeForbidden:           http.StatusForbidden,
	CodeNotFound:            http.StatusNotFound,
	CodeUnknownService:      http.StatusNotFound,
	CodeTooLarge:            http.StatusRequestEntityTooLarge,
	CodeHeadersTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	CodeConflict:            http.StatusConflict,
	CodeOverloaded:          http.StatusTooManyRequests,
	CodeCallerLimit:         http.StatusTooManyRequests,
	CodeCeiling:             http.StatusTooManyRequests,
	CodeNoUpstream:          http.StatusServiceUnavailable,
	CodeUpstreamFailed:      http.StatusBadGateway,
	CodeIncomplete:          http.StatusBadGateway,
	CodeTimeout:             http.StatusGatewayTimeout,
	CodeCancelled:           499,
	CodeQuarantined:         http.StatusUnprocessableEntity,
	CodeDuplicate:           http.StatusConflict,
	CodePlatformUnavailable: http.StatusServiceUnavailable,
	CodeDraining:            http.StatusServiceUnavailable,
	CodeHostFull:            http.StatusServiceUnavailable,
	CodeInternal:            http.StatusInternalServerError,
}

// Error is an error that ended a request, with the verdict on that request.
type Error struct {
	Verdict Verdict
	Code    Code
	// Message is a full sentence that is sent to the caller.
	Message string
	// Param names the invalid field or line of the request; it may be empty.
	Param string
	// RetryAfter is how long to wait before a retry; zero means unspecified.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error without a cause.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error caused by err.
func Wrap(err error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.cause = err
	return e
}

// WithParam sets Param and returns e.
func (e *Error) WithParam(param string) *Error {
	e.Param = param
	return e
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the message, code and verdict, followed by the cause if there is
// one.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Verdict)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status for the code, 500 for an unknown code.
func (e *Error) Status() int {
	if status, ok := codeStatus[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Of returns the verdict of the *Error in err's chain, or MayHaveRun if there is
// none. It panics if err is nil.
func Of(err error) Verdict {
	return As(err).Verdict
}

// As returns the *Error in err's chain. Any other error is wrapped as an internal
// error whose request may have run. As(nil) returns nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, CodeInternal, "The request failed inside the system.")
}
