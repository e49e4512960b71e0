// Package failure defines the error type that all components of keelstair use. An Error has a
// kind that callers may branch on, the step at which it occurred, the peer involved, and its
// cause. errors.As finds the outermost Error of a chain, and errors.Is finds its cause.
//
// There are few kinds on purpose. Each states what has happened, above all whether the operation
// may have been executed, and therefore whether it may be retried. An error of another type has
// the kind OutcomeUnknown until As assigns it another one.
package failure

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what is known about the failed operation.
type Kind string

// The kinds of errors. Their values are part of the protocol between processes.
const (
	// NotExecuted means that the operation was certainly not executed. It may be retried, on the
	// same or on another peer.
	NotExecuted Kind = "bounced"
	// OutcomeUnknown means that the operation may have been executed. It may be retried only if it
	// is idempotent.
	OutcomeUnknown Kind = "unknown"
	// Stale means that the operation was not executed, because a newer version, fencing token or
	// epoch is in force.
	Stale Kind = "stale"
	// DataLost means that the peer, or the data that the operation needs, is permanently lost.
	DataLost Kind = "lost"
	// InvalidArgument means that the request is invalid and fails on every peer.
	InvalidArgument Kind = "bad"
	// Unavailable means that no peer can serve the request at present.
	Unavailable Kind = "away"
)

// Error is an error with a kind.
type Error struct {
	Kind Kind
	Step string // at which the error occurred
	Peer string // address or ID of the peer involved; may be empty
	Err  error  // the cause; never nil
}

// Error returns the step, the peer in brackets, and the cause.
func (e *Error) Error() string {
	if e.Peer == "" {
		return e.Step + ": " + e.Err.Error()
	}
	return e.Step + " [" + e.Peer + "]: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an Error with the given kind, step and peer, whose cause is the formatted text.
// The peer may be empty.
func New(kind Kind, step, peer, format string, args ...any) error {
	return &Error{Kind: kind, Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

// Wrap returns err with the step and the peer at which it occurred, and keeps its kind. It
// returns nil if err is nil.
func Wrap(err error, step, peer string) error {
	return As(err, KindOf(err), step, peer)
}

// As returns err with the given kind instead of its own, and adds the step and the peer. It
// returns nil if err is nil.
func As(err error, kind Kind, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, Step: step, Peer: peer, Err: err}
}

// KindOf returns the kind of the outermost Error in the chain of err, or OutcomeUnknown if there
// is none.
func KindOf(err error) Kind {
	if e := outermost(err); e != nil {
		return e.Kind
	}
	return OutcomeUnknown
}

// Step returns the step of the outermost Error in the chain of err, or "" if there is none.
func Step(err error) string {
	if e := outermost(err); e != nil {
		return e.Step
	}
	return ""
}

// Peer returns the peer of the outermost Error in the chain of err, or "" if there is none.
func Peer(err error) string {
	if e := outermost(err); e != nil {
		return e.Peer
	}
	return ""
}

// outermost returns the first Error in the chain of err, or nil. It searches joined errors in
// order.
func outermost(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

// Is reports whether err has the kind. It returns false if err is nil.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Join returns an error that wraps all given errors, like errors.Join, or nil if all are nil.
func Join(errs ...error) error { return errors.Join(errs...) }
