// Package failure is the typed error of all parts of keelstair. An Error carries a kind that
// callers may branch on, the step at which it arose, the peer that was spoken to, and its
// cause. errors.As finds the outermost one, errors.Is its cause.
//
// Kinds are few on purpose. Each states what has happened, above all whether the operation may
// have been executed, and so whether it may be retried. An error of another source has the
// kind OutcomeUnknown until it is given one with As.
package failure

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what is known of the operation that failed.
type Kind string

// The kinds of errors. Their values are part of the protocol between processes.
const (
	// NotExecuted: it was certainly not done; it may be retried, also elsewhere.
	NotExecuted Kind = "bounced"
	// OutcomeUnknown: it may have been done. Only what is idempotent may be retried.
	OutcomeUnknown Kind = "unknown"
	// Stale: it was not done, since a newer version, fencing token or epoch is in force.
	Stale Kind = "stale"
	// DataLost: the peer, or the memory that the operation needs, is gone for good.
	DataLost Kind = "lost"
	// InvalidArgument: the request is wrong and fails wherever it is sent.
	InvalidArgument Kind = "bad"
	// Unavailable: nobody can serve it at this time.
	Unavailable Kind = "away"
)

// Error is an error of a kind.
type Error struct {
	Kind Kind
	Step string // at which it arose
	Peer string // that was spoken to, by address or id; may be empty
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

// New returns an Error of a kind that arose at a step. The peer may be empty. The cause is the
// formatted text.
func New(kind Kind, step, peer, format string, args ...any) error {
	return &Error{Kind: kind, Step: step, Peer: peer, Err: fmt.Errorf(format, args...)}
}

// Wrap adds the step and the peer at which err arose, and keeps its kind. It returns nil for
// nil.
func Wrap(err error, step, peer string) error {
	return As(err, KindOf(err), step, peer)
}

// As returns err with the given kind instead of its own, and adds the step and the peer. It
// returns nil for nil.
func As(err error, kind Kind, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, Step: step, Peer: peer, Err: err}
}

// KindOf returns the kind of err, or OutcomeUnknown where it has none. Of several kinds in a
// chain of wrapped errors it is the outermost.
func KindOf(err error) Kind {
	if e := outermost(err); e != nil {
		return e.Kind
	}
	return OutcomeUnknown
}

// Step returns the outermost step at which err arose, or "" where it carries none.
func Step(err error) string {
	if e := outermost(err); e != nil {
		return e.Step
	}
	return ""
}

// Peer returns the outermost peer that err names, or "" where it carries none.
func Peer(err error) string {
	if e := outermost(err); e != nil {
		return e.Peer
	}
	return ""
}

// outermost returns the first Error in a chain of wrapped errors, or nil; of joined errors the
// first one counts.
func outermost(err error) *Error {
	var e *Error
	errors.As(err, &e)
	return e
}

// Is reports whether err is an error of the kind. It is false for nil.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Join returns an error that wraps all the given ones, like errors.Join: nil where all are.
func Join(errs ...error) error { return errors.Join(errs...) }
