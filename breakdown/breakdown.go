// Package breakdown is the one helper that names and wraps every error of
// keelstair. A breakdown carries the step at which it arose, the peer that was
// spoken to, a kind that callers may branch on, and the cause. Kinds are few on
// purpose: each is a promise about what happened, above all whether the thing
// asked for may have been done.
package breakdown

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
	Lost    Kind = "lost"    // the peer or the memory is gone
	Bad     Kind = "bad"     // the asking itself is wrong
	Away    Kind = "away"    // nobody can serve this now
)

type key int

const (
	stepKey key = iota
	peerKey
	kindKey
)

// New makes a breakdown of a kind at a step with a peer.
func New(kind Kind, step, peer, form string, args ...any) error {
	return merry.Wrap(merry.Errorf(form, args...), merry.WithValue(kindKey, kind),
		merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer),
		merry.PrependMessage(name(step, peer)))
}

// Wrap names the step and the peer at which err arose and keeps its kind.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey, KindOf(err)), merry.WithValue(stepKey, step),
		merry.WithValue(peerKey, peer), merry.PrependMessage(name(step, peer)))
}

// As gives err another kind, with the step and the peer.
func As(err error, kind Kind, step, peer string) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(kindKey, kind), merry.WithValue(stepKey, step),
		merry.WithValue(peerKey, peer), merry.PrependMessage(name(step, peer)))
}

func name(step, peer string) string {
	if peer == "" {
		return step
	}
	return fmt.Sprintf("%s [%s]", step, peer)
}

func KindOf(err error) Kind {
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	return Unknown
}

func Step(err error) string { s, _ := merry.Value(err, stepKey).(string); return s }
func Peer(err error) string { s, _ := merry.Value(err, peerKey).(string); return s }

func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Join keeps several breakdowns as one.
func Join(errs ...error) error { return errors.Join(errs...) }
