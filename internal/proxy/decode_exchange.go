// The decode phase of an exchange: the request is sent to a worker that generates the answer, with the
// source of its prompt's memory if there is one.

package proxy

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/internal/handoff"
)

// decode sends the request to a decode worker. An Unavailable failure means that there is no worker or
// no attempt left.
func (t *exchange) decode(ctx context.Context, source *Source) (*candidate, *Response, error) {
	for round := 0; ; round++ {
		picked, again := t.node.now(), false
		var from *Worker
		if source != nil {
			from = &source.Worker
		}
		for _, c := range t.node.decodeCandidates(t.programs, t.node.snapshot(), t.service, t.request, from, t.tried) {
			if t.attemptsMade >= t.maxAttempts() {
				break
			}
			if err := t.authenticate(t.node.snapshot()); err != nil {
				return nil, nil, err
			}
			if !t.request.Body.BeginAttempt() {
				return nil, nil, errBodyEvicted
			}
			if !t.reserveWorker(&c, 0) {
				continue
			}
			if !t.payRetry() {
				c.state.endRequest(0)
				c.release(false, t.node.now())
				break
			}
			if source == nil {
				t.node.counts.Direct.Add(1)
			}
			reply, err := t.offer(ctx, &c, source)
			if err == nil {
				return &c, reply, nil
			}
			c.state.endRequest(0)
			c.release(failure.Is(err, failure.OutcomeUnknown), t.node.now())
			t.recordWorkerError(ctx, &c, err, t.node.now())
			t.trace(handoff.Dropped, c.worker.ID, err.Error())
			if failure.Is(err, failure.NotExecuted) && failure.Step(err) == dialStep {
				t.attemptsMade--
				t.tried[c.worker.ID] = true
				if again = t.node.now().Past(picked, pickMaxAge); again {
					break
				}
				continue
			}
			return nil, nil, err
		}
		if again && ctx.Err() == nil {
			round--
			continue
		}
		if t.attemptsMade >= t.maxAttempts() {
			return nil, nil, failure.New(failure.Unavailable, "emit", t.service.Name, "no try is left")
		}
		if round > 2 || !host.Sleep(ctx, 30*time.Millisecond) {
			return nil, nil, failure.New(failure.Unavailable, "emit", t.service.Name, "no worker may take it")
		}
	}
}

// offer sends the request to one worker. A silent worker is abandoned for another only if the request
// may be retried.
func (t *exchange) offer(ctx context.Context, c *candidate, source *Source) (*Response, error) {
	callContext, stop := context.WithCancelCause(ctx)
	body := &supervisedBody{exchange: t, candidate: c, stop: stop}
	if t.mayRetryDecode() {
		cancel := t.cancelForRetry(stop)
		body.attempt = &attempt{cancel}
		c.state.addAttempt(body.attempt)
		body.cancelTimer = time.AfterFunc(t.decodeSilenceTimeout(), func() { cancel(errWorkerSilent) })
	} else {
		body.firstByteTimer = time.AfterFunc(t.decodeSilenceTimeout(), func() { t.node.recordOutcome(c, false) })
	}
	times := t.node.serviceTimesFor(t.service.Name)
	body.times, body.lastByteAt = times, t.node.now()
	body.probeTimer = time.AfterFunc(times.firstEvent.SuspicionTimeout(healthCheckSilence), func() { t.node.suspect(*c.worker) })
	reply, err := t.node.options.Backend.Decode(
		callContext, *c.worker, c.request, source, Received{t.lastEventID, t.modelVersion}, t.remaining(), c.urgency,
	)
	if err != nil {
		body.stopTimers()
		return nil, err
	}
	body.ReadCloser, reply.Body = reply.Body, body
	return reply, nil
}

// mayRetryDecode reports whether the request may be sent once more after this attempt.
func (t *exchange) mayRetryDecode() bool {
	return t.route.MayRetry() && t.attemptsMade < t.maxAttempts()
}

// canContinue reports whether another worker may take up the answer after what the caller has of it. It goes on after the
// id of an event, so it would repeat events without one.
func (t *exchange) canContinue() bool { return t.mayBecomeContinuable() && !t.lastHasNoID.Load() }

// mayBecomeContinuable reports whether another worker may take up the answer after this or a later event.
func (t *exchange) mayBecomeContinuable() bool {
	return t.route.MayRetry() && (!t.headSent || t.route.Resumable && !t.partSent.Load())
}

// decodeSilenceTimeout returns how long a decode worker may be silent before a request that may be
// retried is sent to another worker.
func (t *exchange) decodeSilenceTimeout() time.Duration {
	return max(t.node.options.DecodeSilence, 2*t.route.LatencyTarget())
}
