// Calls to the primary for callers that must have an answer soon: short attempts, each left
// as soon as a newer record is known, with the search for the primary beside them.

package coordination

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/rpc"
)

const (
	submitAttempt = 1500 * time.Millisecond // of an agent, which has time

	searchWidth = 3                     // processes asked at once where the primary is
	minBackoff  = 40 * time.Millisecond // between attempts, at random up to twice as long
)

// CallPrimary asks the primary until it answers, an error is final, or the context ends; the
// address asked last comes with it. No attempt lasts longer than the given time. An attempt
// is left when a newer record is learnt: a deposed primary that is frozen or cut off would
// take all the time there is. No error is final if final is nil.
func CallPrimary[Q, R any](
	ctx context.Context,
	call *rpc.Caller,
	directory *Directory,
	attempt time.Duration,
	name string,
	request *Q,
	final func(error) bool,
) (*R, string, error) {
	var find search
	for {
		r, addr, err := callOnce[Q, R](ctx, call, directory, attempt, name, request)
		if err == nil || final != nil && final(err) {
			return r, addr, err
		}
		if !find.backoff(ctx, directory) {
			return nil, addr, err
		}
	}
}

// SubmitWithin submits a command by attempts of bounded length under its one operation id,
// so that it is applied once at most. Errors are those of Submit.
func SubmitWithin(
	ctx context.Context,
	call *rpc.Caller,
	directory *Directory,
	attempt time.Duration,
	request *SubmitRequest,
) (*SubmitResponse, error) {
	var doubt error
	final := func(err error) bool {
		if failure.Is(err, failure.OutcomeUnknown) {
			doubt = err
		}
		return failure.Is(err, failure.Stale) || failure.Is(err, failure.InvalidArgument)
	}
	r, addr, err := CallPrimary[SubmitRequest, SubmitResponse](
		ctx, call, directory, attempt, SubmitMethod, request, final,
	)
	switch {
	case err == nil:
		return r, nil
	case final(err):
		return nil, err
	case doubt != nil:
		return nil, failure.As(doubt, failure.OutcomeUnknown, "submit", addr)
	}
	return nil, failure.As(err, failure.Unavailable, "submit", addr)
}

// callOnce makes one attempt.
func callOnce[Q, R any](
	ctx context.Context,
	call *rpc.Caller,
	directory *Directory,
	attempt time.Duration,
	name string,
	request *Q,
) (*R, string, error) {
	callContext, stop := context.WithTimeout(ctx, attempt)
	defer stop()
	grown := directory.RecordChanged()
	go func() {
		select {
		case <-grown:
			stop()
		case <-callContext.Done():
		}
	}()
	addr := directory.Addr(directory.Record().Primary)
	r, err := rpc.Call[Q, R](callContext, call, addr, name, request)
	return r, addr, err
}

// search looks for the primary, with one round of questions at a time.
type search struct{ asking atomic.Bool }

// backoff waits for a newer record or a short while, and tells whether the context still runs.
func (s *search) backoff(ctx context.Context, directory *Directory) bool {
	grown := directory.RecordChanged()
	if s.asking.CompareAndSwap(false, true) {
		go func() {
			directory.Query(ctx, searchWidth)
			s.asking.Store(false)
		}()
	}
	timer := host.NewTimer(minBackoff + rand.N(minBackoff))
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
