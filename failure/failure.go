// Package failure is the one helper that names and wraps every error of
// keelstair. A breakdown carries the step at which it arose, the neighbour that was
// spoken to, a kind that callers may branch on, and the cause. Kinds are few on
// purpose: each is a promise about what happened, above all whether the thing
// asked for may have been done.
package failure

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

type Kind string

const (
	Bounced Kind = "bounced" // surely not done
	Unknown Kind = "unknown" // may have been done
	Stale   Kind = "stale"   // a newer version, fence or epoch is in force
	Lost    Kind = "lost"    // the neighbour or the memory is gone
	Bad     Kind = "bad"     // the asking itself is wrong
	Away    Kind = "away"    // nobody can serve this now
)

type key int

const (
	stepKey key = iota
	nearKey
	kindKey
)

// New makes a breakdown of a kind at a step with a neighbour.
func New(kind Kind, step, near, form string, args ...any) error {
	return merry.Wrap(merry.Errorf(form, args...), merry.WithValue(kindKey, kind),
		merry.WithValue(stepKey, step), merry.WithValue(nearKey, near),
		merry.PrependMessage(name(step, near)))
}

// Wrap names the step and the neighbour at which err arose and keeps its kind.
func Wrap(err error, step, near string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey, KindOf(err)), merry.WithValue(stepKey, step),
		merry.WithValue(nearKey, near), merry.PrependMessage(name(step, near)))
}

// As gives err another kind, with the step and the neighbour.
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

func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Unknown
}

func Step(err error) string      { s, _ := merry.Value(err, stepKey).(string); return s }
func Neighbour(err error) string { s, _ := merry.Value(err, nearKey).(string); return s }

func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Join keeps several breakdowns as one.
func Join(errs ...error) error { return errors.Join(errs...) }
