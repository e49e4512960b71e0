// The prefill phase of an exchange: one worker prefills the prompt and keeps its memory until the decode
// worker fetches it.

package proxy

import (
	"context"
	"errors"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/handoff"
)

// A worker's queue is known late and incompletely, so a prefill may take a few times its estimate
// although nothing has failed. Abandoning it too early is expensive: the decode worker, or another
// prefill worker, starts over on a prompt that the first worker is still processing.
const (
	prefillTimeoutFactor = 4                      // multiple of the estimate, added to PrefillSilence
	prefillQuietPeriod   = 600 * time.Millisecond // silence beyond the estimate's multiple until a report request
	prefillQuietFactor   = 2                      // multiple of the estimate until a report request
)

// prefill prefills the prompt. If it returns neither a source nor an error, the decode worker prefills
// the prompt itself.
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

// payReprefill reports whether another worker repeats a failed prefill, and charges that to the retry
// budget. It does so only if the first worker is down, so that it does not count among the workers
// that the request was sent to. A decode worker that prefilled the prompt itself would delay
// everything that it decodes.
func (t *exchange) payReprefill(ctx context.Context, err error) bool {
	if !errors.Is(err, errWorkerSilent) || ctx.Err() != nil || !t.failedPrefillUncounted || !t.node.spendRetry() {
		return false
	}
	t.failedPrefillUncounted = false
	return true
}

// prefillOutcome is the outcome of one worker's prefill.
type prefillOutcome struct {
	candidate *candidate
	memory    *PrefillResult
	err       error
}

// prefillOn prefills the prompt on one worker. It does not change the exchange, so that two prefills may
// run concurrently.
func (t *exchange) prefillOn(ctx context.Context, c *candidate) prefillOutcome {
	t.trace(handoff.Granted, c.worker.ID, "")
	began := t.node.now()
	timeout := min(t.node.options.PrefillSilence+prefillTimeoutFactor*c.expectedLatency, t.remaining())
	callContext, stop := context.WithTimeout(ctx, timeout)
	callContext, cancel := context.WithCancelCause(callContext)
	a := &attempt{cancel}
	c.state.addAttempt(a)
	times := t.node.serviceTimesFor(t.service.Name)
	probeTimer := time.AfterFunc(prefillQuietFactor*c.expectedLatency+times.prefill.SuspicionTimeout(prefillQuietPeriod), func() {
		t.node.suspect(*c.worker)
	})
	memory, err := t.node.options.Backend.Prefill(
		callContext, *c.worker, c.request, timeout, prefillQueueRank(c.urgency, c.uncachedTokens),
	)
	probeTimer.Stop()
	if err != nil && errors.Is(context.Cause(callContext), errWorkerSilent) {
		err = errors.Join(errWorkerSilent, err)
	}
	c.state.removeAttempt(a)
	cancel(nil)
	stop()
	c.state.endRequest(max(1, c.uncachedTokens))
	if err == nil {
		took := t.node.now().Since(began)
		times.overhead.observe(took - c.prefillTime)
		times.prefill.Observe(took - prefillQuietFactor*c.expectedLatency)
	}
	return prefillOutcome{c, memory, err}
}

// settlePrefill applies the outcome of a prefill to the exchange. It returns false if no connection was
// established.
func (t *exchange) settlePrefill(ctx context.Context, outcome prefillOutcome) (*Source, bool, error) {
	c := outcome.candidate
	if outcome.err == nil {
		c.state.recordAnswer(outcome.memory.Load, t.node.now())
		t.node.recordOutcome(c, true)
		t.prefilledAt = c
		t.trace(handoff.Prefilled, c.worker.ID, "")
		return &Source{
			Worker: *c.worker, Handle: outcome.memory.Handle, ModelVersion: outcome.memory.ModelVersion,
		}, true, nil
	}
	t.recordFailedPrefill(ctx, outcome)
	if failure.Is(outcome.err, failure.NotExecuted) && failure.Step(outcome.err) == dialStep {
		return nil, false, outcome.err
	}
	t.mayHaveRun = t.mayHaveRun || failure.Is(outcome.err, failure.InvalidArgument)
	// The worker may not have accepted it; a rejected prefill counts like any other attempt.
	t.failedPrefillUncounted = true
	if failure.Is(outcome.err, failure.NotExecuted) || failure.Is(outcome.err, failure.Stale) {
		t.attemptsMade++
	}
	return nil, true, outcome.err
}

// recordFailedPrefill releases the reservation of a failed prefill and records the failure of its worker.
func (t *exchange) recordFailedPrefill(ctx context.Context, outcome prefillOutcome) {
	now := t.node.now()
	outcome.candidate.release(failure.Is(outcome.err, failure.OutcomeUnknown), now)
	t.recordWorkerError(ctx, outcome.candidate, outcome.err, now)
	t.trace(handoff.Dropped, outcome.candidate.worker.ID, outcome.err.Error())
}
