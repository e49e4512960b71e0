// Relay of the answer to the caller: complete events as they arrive, each once. If the stream is
// resumable, another worker continues what the first did not finish, after the last event that the
// caller has.

package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/handoff"
)

var errWorkerSilent = errors.New("the worker says nothing")

// supervisedBody is an answer's body with timers that detect a silent worker. After a first silence the
// worker is asked for its report. A longer one cancels the attempt if the request may be retried on
// another worker; if not, a long silence before the first byte counts as a failure.
type supervisedBody struct {
	io.ReadCloser
	exchange       *exchange
	candidate      *candidate
	stop           context.CancelCauseFunc
	attempt        *attempt
	probeTimer     *time.Timer
	cancelTimer    *time.Timer
	firstByteTimer *time.Timer // records a failure; set instead of cancelTimer if the request cannot be retried elsewhere
	times          *serviceTimes
	lastByteAt     ids.Tick // when the last byte arrived, or when the request was sent
	answered       bool     // a byte of the response has arrived
}

// observePause records the pause that ends with newly arrived bytes.
func (g *supervisedBody) observePause() {
	now := g.exchange.node.now()
	pause := now.Since(g.lastByteAt)
	if g.answered {
		g.times.nextEvent.Observe(pause)
		g.candidate.state.observeEventGap(pause, now)
	} else {
		g.times.firstEvent.Observe(pause)
	}
	g.answered, g.lastByteAt = true, now
}

func (g *supervisedBody) Read(p []byte) (int, error) {
	k, err := g.ReadCloser.Read(p)
	if k > 0 && err == nil {
		g.candidate.state.lastSuccess.Store(int64(g.exchange.node.now()))
		if g.firstByteTimer != nil {
			g.firstByteTimer.Stop()
		}
		g.observePause()
		g.probeTimer.Reset(g.times.nextEvent.SuspicionTimeout(
			healthCheckSilence + time.Duration(g.exchange.route.TokenIntervalMs)*time.Millisecond,
		))
		if g.cancelTimer != nil {
			g.cancelTimer.Reset(max(
				600*time.Millisecond, 3*time.Duration(g.exchange.route.TokenIntervalMs)*time.Millisecond,
			))
		}
	}
	return k, err
}

// stopTimers stops all timers and releases the request's context.
func (g *supervisedBody) stopTimers() {
	g.probeTimer.Stop()
	if g.firstByteTimer != nil {
		g.firstByteTimer.Stop()
	}
	if g.cancelTimer != nil {
		g.cancelTimer.Stop()
	}
	if g.attempt != nil {
		g.candidate.state.removeAttempt(g.attempt)
	}
	g.stop(nil)
}

func (g *supervisedBody) Close() error {
	err := g.ReadCloser.Close()
	g.stopTimers()
	return err
}

// relay copies an answer to the caller. An OutcomeUnknown failure means that the worker may have run the
// request but the caller has no complete answer.
func (t *exchange) relay(ctx context.Context, c *candidate, reply *Response) error {
	defer reply.Body.Close()
	defer func() {
		c.state.endRequest(0) // 0: a decode
		c.release(true, t.node.now())
	}()
	c.state.recordAnswer(reply.Load, t.node.now())
	t.mayHaveRun = true
	if reply.Status/100 == 2 && !reply.FromWorker {
		t.node.recordOutcome(c, false)
		return failure.New(failure.OutcomeUnknown, "pass", c.worker.Addr, "success status without the header that identifies the worker")
	}
	if impliesNotRun(reply.Status) {
		t.node.recordOutcome(c, false)
		return failure.New(
			failure.OutcomeUnknown,
			"pass",
			c.worker.Addr,
			"status %d without word that it was not run",
			reply.Status,
		)
	}
	if t.headSent && (reply.Status != http.StatusOK || !reply.Events) {
		return failure.New(failure.OutcomeUnknown, "resume", c.worker.Addr, "status %d", reply.Status)
	}
	if reply.Status/100 == 5 {
		t.node.recordOutcome(c, false)
	}
	if reply.Status/100 == 5 && t.route.MayRetry() && t.attemptsMade < t.route.MaxAttempts {
		c.state.recordFailure(t.node.now())
		return failure.New(failure.OutcomeUnknown, "pass", c.worker.Addr, "status %d", reply.Status)
	}
	t.releaseBodyIfUnneeded()
	t.trace(handoff.Resumed, c.worker.ID, "") // every answer that is relayed, also the first one
	var err error
	if reply.Events && reply.Status == http.StatusOK {
		err = newEventRelay(t, c, reply).run(ctx)
	} else {
		err = t.relayBody(ctx, c, reply)
	}
	if errors.Is(err, errUncheckedEnd) {
		return err
	}
	t.countAnswerEnd(ctx, reply, err)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) {
		c.state.recordFailure(t.node.now())
		c.state.recordBrokenAnswer(t.node.now(), false)
		t.node.recordOutcome(c, false)
		t.node.suspect(*c.worker)
	}
	if err == nil {
		t.node.recordOutcome(c, true)
	}
	return err
}

// impliesNotRun reports whether a caller would take a status to mean that its request has not run. A
// worker confirms that with a response header, which the backend adapter turns into an
// error, so a Response with such a status lacks the confirmation.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errCallerDisconnected = errors.New("caller disconnected")

// writeHead sends the head of the answer, unless the caller has it.
func (t *exchange) writeHead(reply *Response, length int64) error {
	if t.headSent {
		return nil
	}
	t.headSent = true
	t.releaseBodyIfUnneeded()
	return callerError(t.sink.Head(reply.Status, reply.Header, length))
}

// write sends a part of the body.
func (t *exchange) write(p []byte) error { return callerError(t.sink.Write(p)) }

// callerError returns the error of an exchange whose caller can't be written to, or nil without an error.
func callerError(err error) error {
	if err == nil {
		return nil
	}
	return failure.As(errors.Join(errCallerDisconnected, err), failure.OutcomeUnknown, "pass", "caller")
}

// relayBody copies an answer without events. The head is sent with the first bytes, so that a request
// whose answer breaks off before them can still be retried on another worker.
func (t *exchange) relayBody(ctx context.Context, c *candidate, reply *Response) error {
	buf := make([]byte, 16<<10)
	for {
		k, err := reply.Body.Read(buf)
		if err != nil && err != io.EOF {
			return failure.As(err, failure.OutcomeUnknown, "pass", "worker")
		}
		if k > 0 {
			t.partSent.Store(true) // no other answer can continue a body
			if err := t.beginAnswer(reply, reply.Length); err != nil {
				return err
			}
			if err := t.write(buf[:k]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if err := t.confirmEnd(ctx, c, reply); err != nil {
				return err
			}
			return t.beginAnswer(reply, reply.Length)
		}
	}
}

// beginAnswer counts the answer as started and sends its head, unless that was done.
func (t *exchange) beginAnswer(reply *Response, length int64) error {
	t.countAnswerStarted()
	return t.writeHead(reply, length)
}
