// The prefill half of an exchange: the prompt is read at one worker, which keeps its memory
// until another fetches it.

package proxy

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/internal/handoff"
)

// prefill has the prompt read. No source and no error means that the emitting worker is to
// read by itself.
func (t *exchange) prefill(ctx context.Context) (*Source, error) {
	for again := true; again; {
		again = false
		picked := t.node.now()
		for _, c := range t.node.prefillCandidates(t.programs, t.node.snapshot(), t.service, t.request, t.tried) {
			if !t.send(&c, max(1, c.need)) {
				continue
			}
			source, dialled, err := t.prefillAt(ctx, &c)
			if dialled {
				return source, err
			}
			t.tried[c.worker.ID] = true
			if ctx.Err() != nil {
				return nil, err
			}
			if again = t.node.now().Past(picked, pickMaxAge); again {
				break
			}
		}
	}
	return nil, nil
}

// prefillAt has one worker read the prompt; false if no connection to it came up.
func (t *exchange) prefillAt(ctx context.Context, c *pick) (*Source, bool, error) {
	t.trace(handoff.Granted, c.worker.ID, "")
	duration := min(t.node.options.PrefillSilence+time.Duration(c.cost*2)*time.Millisecond, t.remaining())
	callContext, stop := context.WithTimeout(ctx, duration)
	callContext, take := context.WithCancelCause(callContext)
	f := &attempt{take}
	c.state.addAttempt(f)
	quiet := time.AfterFunc(alarmQuietPeriod+time.Duration(c.cost)*time.Millisecond, func() {
		t.node.suspect(*c.worker, true)
	})
	memo, err := t.node.options.Backend.Read(
		callContext, *c.worker, t.request, duration, urgencyRank(t.route.Urgency, c.need),
	)
	quiet.Stop()
	c.state.removeAttempt(f)
	take(nil)
	stop()
	c.state.end(max(1, c.need))
	now := t.node.now()
	if err == nil {
		c.state.recordSuccess(memo.Load, now)
		t.node.recordOutcome(c, true)
		t.prefilledAt = c
		t.trace(handoff.Prefilled, c.worker.ID, "")
		return &Source{Worker: *c.worker, Handle: memo.Handle}, true, nil
	}
	c.release(failure.Is(err, failure.OutcomeUnknown), now)
	t.blame(ctx, c, err, now)
	t.trace(handoff.Dropped, c.worker.ID, err.Error())
	if failure.Is(err, failure.NotExecuted) && failure.Step(err) == dialStep {
		return nil, false, err
	}
	t.mayHaveRun = t.mayHaveRun || failure.Is(err, failure.InvalidArgument)
	// It may not have been taken up, and then counts like any other sending.
	t.unpaidPrefill = true
	if failure.Is(err, failure.NotExecuted) || failure.Is(err, failure.Stale) {
		t.attemptsMade++
	}
	return nil, true, err
}
