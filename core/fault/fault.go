// Package fault defines the typed errors that are passed between processes.
//
// Every Error states four things: its kind, what was lacking, what the reader
// can do about it, and what is known about whether the work ran. The last one,
// the Outcome, is a guarantee: not_run is stated only if the work has not run
// and can't run any more.
package fault

import (
	"fmt"

	"github.com/pkg/errors"

	"gypsumcrank/core/clock"
)

// Kind classifies errors by what the receiver should do.
type Kind string

// The kinds of error.
const (
	Invalid          Kind = "invalid"
	Denied           Kind = "denied"
	NotFound         Kind = "not_found"
	Conflict         Kind = "conflict"
	Busy             Kind = "busy"
	DeadlineExceeded Kind = "deadline_passed"
	StoreUnavailable Kind = "store_out"
	Fenced           Kind = "fenced"
	InDoubt          Kind = "in_doubt"
	Leaving          Kind = "leaving"
	TooLarge         Kind = "too_large"
	Infeasible       Kind = "infeasible"
	Failed           Kind = "failed"
	Cancelled        Kind = "cancelled"
	Unreachable      Kind = "unreachable"
	Internal         Kind = "internal"
	// Rejected means that the same call would be refused again, however often it is repeated.
	Rejected Kind = "rejected"
)

// Outcome is what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	Done      Outcome = "done"
	RunFailed Outcome = "failed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)

// Error is the only error type that crosses process boundaries. Its fields are
// exported because it is also a message.
type Error struct {
	Kind       Kind         `json:"kind" cbor:"1,keyasint"`
	Detail     string       `json:"detail" cbor:"2,keyasint"`
	Lacking    string       `json:"lacking,omitempty" cbor:"3,keyasint,omitempty"`
	Remedy     string       `json:"remedy" cbor:"4,keyasint"`
	Outcome    Outcome      `json:"outcome,omitempty" cbor:"5,keyasint,omitempty"`
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty" cbor:"6,keyasint,omitempty"`
}

// New returns an error of the kind. The format says what happened, the remedy
// what to do about it.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Remedy: remedy, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the message with its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", e.Kind, e.Detail, e.Remedy)
}

// WithOutcome returns a copy that states what is known about the run.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetry returns a copy that says after which time to retry.
func (e *Error) WithRetry(after clock.Millis) *Error {
	c := *e
	c.RetryAfter = after
	return &c
}

// WithLacking returns a copy that names what was lacking.
func (e *Error) WithLacking(what string) *Error {
	c := *e
	c.Lacking = what
	return &c
}

// Of returns the typed error in err's chain; any other error becomes Internal.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "report it with the log line of this time", "%v", err)
}

// Is reports whether err is a typed error of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
