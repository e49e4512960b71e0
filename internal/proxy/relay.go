// Relay of the answer to the caller: complete events as they arrive, each once. If the stream is
// resumable, another worker continues what the first did not finish, after the last event that the
// caller has.

package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/handoff"
)

const (
	// maxPendingEvent is the number of bytes of an incomplete event that are held back until it is complete.
	maxPendingEvent = 64 << 10
	// maxEventEnd is the length in bytes of the longest end of an event.
	maxEventEnd = len("\r\n\r\n")
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
	if reply.Events {
		err = t.relayEvents(ctx, c, reply)
	} else {
		err = t.relayBody(ctx, c, reply)
	}
	t.countAnswerEnd(ctx, reply, err)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) {
		c.state.recordFailure(t.node.now())
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

func (t *exchange) writeHead(reply *Response, length int64) error {
	if t.headSent {
		return nil
	}
	t.headSent = true
	t.releaseBodyIfUnneeded()
	return t.sink.Head(reply.Status, reply.Header, length)
}

func (t *exchange) write(p []byte) error {
	if err := t.sink.Write(p); err != nil {
		return failure.As(errors.Join(errCallerDisconnected, err), failure.OutcomeUnknown, "pass", "caller")
	}
	return nil
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

// beginAnswer sends the head of the answer, unless the caller has it.
func (t *exchange) beginAnswer(reply *Response, length int64) error {
	t.countAnswerStarted()
	if err := t.writeHead(reply, length); err != nil {
		return failure.As(errors.Join(errCallerDisconnected, err), failure.OutcomeUnknown, "pass", "caller")
	}
	return nil
}

// relayEvents copies each event to the caller once it is complete. A large event is copied in parts.
func (t *exchange) relayEvents(ctx context.Context, c *candidate, reply *Response) error {
	var pending []byte
	buf := make([]byte, 8<<10)
	resumed, continued := t.headSent, false
	for {
		k, err := reply.Body.Read(buf)
		pending = append(pending, buf[:k]...)
		if end := completeEvents(pending); end > 0 {
			if resumed && !continued {
				first, _ := eventIDs(pending[:end])
				t.recordContinuation(c, first)
				continued = true
			}
			if err := t.forward(c, reply, pending[:end], resumed); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if len(pending) > maxPendingEvent {
			part := len(pending) - maxEventEnd + 1 // the end of the event may have begun
			if err := t.forwardPart(c, reply, pending[:part], resumed); err != nil {
				return err
			}
			pending = append(pending[:0], pending[part:]...)
		}
		if err == io.EOF {
			return t.finish(ctx, c, reply, pending)
		}
		if err != nil {
			return failure.As(err, failure.OutcomeUnknown, "pass", c.worker.Addr)
		}
	}
}

// forward sends complete events to the caller and records the id of the last one. A worker that resumes
// a stream must not repeat events up to the last one that the caller has.
func (t *exchange) forward(c *candidate, reply *Response, events []byte, resumed bool) error {
	first, last := eventIDs(events)
	if resumed && !t.partSent.Load() && !isLaterEvent(first, t.lastEventID) {
		return failure.New(
			failure.OutcomeUnknown, "resume", c.worker.Addr, "event %s comes after %s", first, t.lastEventID,
		)
	}
	t.timing.recordEvents(t.node.now())
	if err := t.beginAnswer(reply, -1); err != nil {
		return err
	}
	if err := t.write(events); err != nil {
		return err
	}
	if last != "" {
		t.lastEventID = last
	}
	return nil
}

// forwardPart sends a part of an event that is too large to be held until it is complete. No other worker can
// continue the stream after that.
func (t *exchange) forwardPart(c *candidate, reply *Response, part []byte, resumed bool) error {
	err := t.forward(c, reply, part, resumed)
	t.partSent.Store(true)
	t.releaseBodyIfUnneeded()
	return err
}

// finish ends a stream that its worker has ended. Bytes after the last complete event are written
// unchanged if the framing shows that the worker sent all that it meant to send.
func (t *exchange) finish(ctx context.Context, c *candidate, reply *Response, rest []byte) error {
	if reply.Framing == FramedByConnection && len(rest) > 0 {
		return failure.New(failure.OutcomeUnknown, "pass", c.worker.Addr, "the connection ended in the middle of an event")
	}
	if err := t.confirmEnd(ctx, c, reply); err != nil {
		return err
	}
	if err := t.writeHead(reply, -1); err != nil {
		return failure.As(errors.Join(errCallerDisconnected, err), failure.OutcomeUnknown, "pass", "caller")
	}
	if len(rest) > 0 {
		return t.write(rest)
	}
	return nil
}

// completeEvents returns the length of the complete events at the start of p.
func completeEvents(p []byte) int {
	length := 0
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(end)); i >= 0 {
			length = max(length, i+len(end))
		}
	}
	return length
}

// eventIDs returns the ids of the first and the last event that have one.
func eventIDs(events []byte) (first, last string) {
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		last = string(bytes.TrimSpace(id))
		if first == "" {
			first = last
		}
	}
	return first, last
}

// isLaterEvent reports whether an event id is greater than an earlier one. Ids that are not numbers
// cannot be compared, and the result is true for them.
func isLaterEvent(id, before string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(before, 10, 64)
	return err != nil || errLast != nil || n > last
}
