// Package failure makes and wraps the errors of all parts of keelstair. An error carries a
// kind that callers may branch on, the step at which it arose, the peer that was spoken to,
// and its cause.
//
// Kinds are few on purpose. Each states what has happened, above all whether what was asked
// for may have been done, and so whether it may be sent again. An error of another source
// has the kind Unknown until it is given one with As.
package failure

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error by what is known of the operation that failed.
type Kind string

// The kinds of errors.
const (
	// Bounced: it was certainly not done; it may be sent again, also elsewhere.
	Bounced Kind = "bounced"
	// Unknown: it may have been done. Only what is idempotent may be sent again.
	Unknown Kind = "unknown"
	// Stale: it was not done, since a newer version, fence or epoch is in force.
	Stale Kind = "stale"
	// Lost: the peer, or the memory that the operation needs, is gone for good.
	Lost Kind = "lost"
	// Bad: the request is wrong and fails wherever it is sent.
	Bad Kind = "bad"
	// Away: nobody can serve it at this time.
	Away Kind = "away"
)

// key is the type of the keys under which an error carries its values.
type key int

const (
	stepKey key = iota
	nearKey
	kindKey
)

// New returns an error of a kind that arose at a step. near names the peer, by address or
// id, and may be empty. The message is the step, the peer, and the formatted text.
func New(kind Kind, step, near, form string, args ...any) error {
	return merry.Wrap(merry.Errorf(form, args...), merry.WithValue(kindKey, kind),
		merry.WithValue(stepKey, step), merry.WithValue(nearKey, near),
		merry.PrependMessage(name(step, near)))
}

// Wrap adds the step and the peer at which err arose, and keeps its kind. It returns nil for
// nil.
func Wrap(err error, step, near string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey, KindOf(err)), merry.WithValue(stepKey, step),
		merry.WithValue(nearKey, near), merry.PrependMessage(name(step, near)))
}

// As returns err with the given kind instead of its own, and adds the step and the peer. It
// returns nil for nil.
func As(err error, kind Kind, step, near string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey, kind), merry.WithValue(stepKey, step),
		merry.WithValue(nearKey, near), merry.PrependMessage(name(step, near)))
}

func name(step, near string) string {
	if near == "" {
		return step
	}
	return fmt.Sprintf("%s [%s]", step, near)
}

// KindOf returns the kind of err, or Unknown where it has none. Of several kinds in a chain of
// wrapped errors it is the outermost.
func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Unknown
}

// Step returns the outermost step at which err arose, or "" where it carries none.
func Step(err error) string {
	step, _ := merry.Value(err, stepKey).(string)
	return step
}

// Neighbour returns the outermost peer that err names, or "" where it carries none.
func Neighbour(err error) string {
	near, _ := merry.Value(err, nearKey).(string)
	return near
}

// Is reports whether err is an error of the kind. It is false for nil.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Join returns an error that wraps all the given ones, like errors.Join: nil where all are.
func Join(errs ...error) error { return errors.Join(errs...) }
