// Calls to the primary for callers with a short deadline: short attempts, each abandoned as soon as a
// newer record is known, while the primary is searched for in parallel.

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
	submitAttemptTimeout = 1500 * time.Millisecond // timeout of an agent's attempt; agents have no short deadline

	searchFanout = 3                     // processes queried at once for the primary's address
	minBackoff   = 40 * time.Millisecond // between attempts; the wait is random, up to twice as long
)

// CallPrimary calls the primary until it answers, an error is final, or the context ends; it also
// returns the address called last. No attempt lasts longer than the given time. An attempt is
// abandoned when a newer record is learnt, since a deposed primary that is frozen or partitioned
// would use up the whole deadline. No error is final if final is nil.
func CallPrimary[Q, R any](
	ctx context.Context,
	call *rpc.Caller,
	directory *Directory,
	attempt time.Duration,
	name string,
	request *Q,
	final func(error) bool,
) (*R, string, error) {
	var find primarySearch
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

// SubmitWithin submits a command by attempts of bounded length, all under the same operation id, so
// that it is applied at most once. Its errors are those of Submit.
func SubmitWithin(
	ctx context.Context,
	call *rpc.Caller,
	directory *Directory,
	attempt time.Duration,
	request *SubmitRequest,
) (*SubmitResponse, error) {
	var unknownOutcome error
	final := func(err error) bool {
		if failure.Is(err, failure.OutcomeUnknown) {
			unknownOutcome = err
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
	case unknownOutcome != nil:
		return nil, failure.As(unknownOutcome, failure.OutcomeUnknown, "submit", addr)
	}
	return nil, failure.As(err, failure.Unavailable, "submit", addr)
}

// callOnce makes one attempt, which ends early if a newer record is learnt.
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
	recordChanged := directory.RecordChanged()
	go func() {
		select {
		case <-recordChanged:
			stop()
		case <-callContext.Done():
		}
	}()
	addr := directory.Addr(directory.Record().Primary)
	r, err := rpc.Call[Q, R](callContext, call, addr, name, request)
	return r, addr, err
}

// primarySearch searches for the primary, with one round of queries at a time.
type primarySearch struct{ running atomic.Bool }

// backoff waits for a newer record or for a random backoff. It returns false if the context has ended.
func (s *primarySearch) backoff(ctx context.Context, directory *Directory) bool {
	recordChanged := directory.RecordChanged()
	if s.running.CompareAndSwap(false, true) {
		go func() {
			directory.Query(ctx, searchFanout)
			s.running.Store(false)
		}()
	}
	timer := host.NewTimer(minBackoff + rand.N(minBackoff))
	defer timer.Stop()
	select {
	case <-recordChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
