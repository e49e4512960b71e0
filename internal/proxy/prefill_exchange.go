// The prefill half of an exchange: the prompt is read at one worker, which keeps its memory
// until another fetches it.

package proxy

import (
	"context"
	"errors"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/handoff"
)

// What is under way at a worker is known late and in part, so a read may take a few times as
// long as reckoned though all is well. Leaving it too soon costs twice: the emitting worker, or
// another reading one, begins anew with what the first is still reading.
const (
	prefillTimeoutFactor = 4                      // times what is reckoned, besides PrefillSilence
	prefillQuietPeriod   = 600 * time.Millisecond // after which, and a multiple of what is reckoned,
	prefillQuietFactor   = 2                      // the worker is asked for its report
)

// prefill has the prompt read. No source and no error means that the emitting worker is to
// read by itself.
func (t *exchange) prefill(ctx context.Context) (*Source, error) {
	for again := true; again; {
		again = false
		picked := t.node.now()
		for _, c := range t.node.prefillCandidates(t.programs, t.node.snapshot(), t.service, t.request, t.tried) {
			if err := t.authenticate(t.node.snapshot()); err != nil {
				return nil, err
			}
			if !t.reserveWorker(&c, max(1, c.uncachedTokens)) {
				continue
			}
			t.timing.prefillSent, t.timing.prefillExpected = t.node.now(), c.prefillTime
			source, dialled, err := t.prefillHedged(ctx, &c)
			t.timing.prefillEnded = t.node.now()
			if dialled && !t.payReprefill(ctx, err) {
				return source, err
			}
			t.tried[c.worker.ID] = true
			if ctx.Err() != nil {
				return nil, err
			}
			if again = dialled || t.node.now().Past(picked, pickMaxAge); again {
				break
			}
		}
	}
	return nil, nil
}

// payReprefill tells whether a prompt whose read has failed is to be read by another worker, and takes
// that from the retry budget: only if the first one is down, so that it does not count among the
// workers that the request was sent to. A decode worker that read the prompt by itself would hold
// up all that it decodes.
func (t *exchange) payReprefill(ctx context.Context, err error) bool {
	if !errors.Is(err, errWorkerSilent) || ctx.Err() != nil || !t.failedPrefillUncounted || !t.node.spendRetry() {
		return false
	}
	t.failedPrefillUncounted = false
	return true
}

// prefillOutcome is how one worker's read of the prompt ended.
type prefillOutcome struct {
	pick   *pick
	memory *PrefillResult
	err    error
}

// prefillOn has one worker read the prompt. It changes nothing of the exchange, so that two may
// be under way.
func (t *exchange) prefillOn(ctx context.Context, c *pick) prefillOutcome {
	t.trace(handoff.Granted, c.worker.ID, "")
	began := t.node.now()
	duration := min(t.node.options.PrefillSilence+prefillTimeoutFactor*c.expectedLatency, t.remaining())
	callContext, stop := context.WithTimeout(ctx, duration)
	callContext, take := context.WithCancelCause(callContext)
	f := &attempt{take}
	c.state.addAttempt(f)
	times := t.node.serviceTimesFor(t.service.Name)
	quiet := time.AfterFunc(prefillQuietFactor*c.expectedLatency+times.prefill.Suspicious(prefillQuietPeriod), func() {
		t.node.suspect(*c.worker)
	})
	memory, err := t.node.options.Backend.Prefill(
		callContext, *c.worker, c.request, duration, urgencyRank(c.urgency, c.uncachedTokens),
	)
	quiet.Stop()
	if err != nil && errors.Is(context.Cause(callContext), errWorkerSilent) {
		err = errors.Join(errWorkerSilent, err)
	}
	c.state.removeAttempt(f)
	take(nil)
	stop()
	c.state.endRequest(max(1, c.uncachedTokens))
	if err == nil {
		took := t.node.now().Since(began)
		times.overhead.observe(took - c.prefillTime)
		times.prefill.Observe(took - prefillQuietFactor*c.expectedLatency)
	}
	return prefillOutcome{c, memory, err}
}

// settlePrefill takes the outcome of a read into the exchange; false if no connection came up.
func (t *exchange) settlePrefill(ctx context.Context, read prefillOutcome) (*Source, bool, error) {
	c := read.pick
	if read.err == nil {
		c.state.recordSuccess(read.memory.Load, t.node.now())
		t.node.recordOutcome(c, true)
		t.prefilledAt = c
		t.trace(handoff.Prefilled, c.worker.ID, "")
		return &Source{Worker: *c.worker, Handle: read.memory.Handle}, true, nil
	}
	t.recordFailedPrefill(ctx, read)
	if failure.Is(read.err, failure.NotExecuted) && failure.Step(read.err) == dialStep {
		return nil, false, read.err
	}
	t.mayHaveRun = t.mayHaveRun || failure.Is(read.err, failure.InvalidArgument)
	// It may not have been taken up, and then counts like any other sending.
	t.failedPrefillUncounted = true
	if failure.Is(read.err, failure.NotExecuted) || failure.Is(read.err, failure.Stale) {
		t.attemptsMade++
	}
	return nil, true, read.err
}

// recordFailedPrefill gives back what a failed read had booked, and notes the failure at its worker.
func (t *exchange) recordFailedPrefill(ctx context.Context, read prefillOutcome) {
	now := t.node.now()
	read.pick.release(failure.Is(read.err, failure.OutcomeUnknown), now)
	t.recordWorkerError(ctx, read.pick, read.err, now)
	t.trace(handoff.Dropped, read.pick.worker.ID, read.err.Error())
}
