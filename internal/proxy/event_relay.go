// Relay of an answer that is a stream of events: each complete event once, in the order of their ids.

package proxy

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"

	"keelstair.example/failure"
)

const (
	// maxPendingEvent is the number of bytes of an incomplete event that are held back until it is complete.
	maxPendingEvent = 64 << 10
	// eventReadSize is the number of bytes that are read at a time.
	eventReadSize = 8 << 10
	// statusLinePrefix begins every HTTP/1 answer, and no field of an event.
	statusLinePrefix = "HTTP/1."
)

var (
	errEventOrder   = errors.New("an event doesn't come after the last one")
	errPartialEvent = errors.New("the answer ended within an event")
)

// eventRelay copies the events of one worker's answer to the caller.
type eventRelay struct {
	*exchange
	candidate   *candidate
	reply       *Response
	pending     []byte // bytes that have arrived and have not been forwarded
	inEvent     bool   // the beginning of the first pending event has been forwarded
	lastID      string // the events after it are new to the caller; empty if all are
	continues   bool   // the caller has events of another worker
	version     string // of the weights, as of the last admitted event
	eventNumber int    // events that were forwarded
}

// newEventRelay returns a relay of an answer. A caller that came with the id of an event has the events up to it, if the
// route's streams can be resumed.
func newEventRelay(t *exchange, c *candidate, reply *Response) *eventRelay {
	r := &eventRelay{exchange: t, candidate: c, reply: reply, continues: t.headSent}
	r.version = cmp.Or(reply.ModelVersion, t.modelVersion)
	if t.headSent || t.route.Resumable {
		r.lastID = t.lastEventID
	}
	return r
}

// run copies events until the answer ends. A large event is copied in parts.
func (r *eventRelay) run(ctx context.Context) error {
	buf := make([]byte, eventReadSize)
	for {
		k, err := r.reply.Body.Read(buf)
		r.pending = append(r.pending, buf[:k]...)
		if err := r.forwardEvents(); err != nil {
			return err
		}
		if r.isNextAnswer(r.pending) {
			return r.finishBeforeNextAnswer(ctx)
		}
		if len(r.pending) > maxPendingEvent {
			if err := r.forwardPart(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return r.finish(ctx)
		}
		if err != nil {
			return failure.As(err, failure.OutcomeUnknown, "pass", r.candidate.worker.Addr)
		}
	}
}

// forwardEvents sends the complete pending events to the caller, up to one that is out of order.
func (r *eventRelay) forwardEvents() error {
	length, err := 0, error(nil)
	for err == nil {
		event := firstEvent(r.pending[length:], r.inEvent)
		if event == nil || r.isNextAnswer(event) {
			break
		}
		if err = r.admit(event); err == nil {
			length += len(event)
		}
	}
	if forwardErr := r.forward(length); forwardErr != nil {
		return forwardErr
	}
	return err
}

// admit checks that an event, or the beginning of one, comes after the last one.
func (r *eventRelay) admit(event []byte) error {
	if r.inEvent { // only the rest of an event
		r.inEvent = false
		return nil
	}
	id := eventID(event)
	if r.route.Stream && !isLaterEvent(id, r.lastID) {
		r.node.options.Ring.Warn().Str("request", r.request.ID).Str("worker", string(r.candidate.worker.ID)).
			Str("after", r.lastID).Str("event", id).Msg("event out of order")
		return failure.As(errEventOrder, failure.OutcomeUnknown, "pass", r.candidate.worker.Addr)
	}
	if version, ok := eventField(event, r.reply.ModelVersionField); ok {
		r.version = version
	}
	switch {
	case id != "":
		r.lastID = id
		r.lastHasNoID.Store(false)
	case hasField(event):
		r.lastHasNoID.Store(true)
	}
	if hasField(event) {
		r.disproveEnd()
	}
	if r.eventNumber++; r.continues && r.eventNumber == 1 {
		r.recordContinuation(r.candidate, r.reply, id)
	}
	return nil
}

// forward sends the given number of pending bytes to the caller.
func (r *eventRelay) forward(length int) error {
	if length == 0 {
		return nil
	}
	r.timing.recordEvents(r.node.now())
	if err := r.beginAnswer(r.reply, -1); err != nil {
		return err
	}
	if err := r.write(r.pending[:length]); err != nil {
		return err
	}
	if r.lastID != "" {
		r.lastEventID = r.lastID
	}
	r.modelVersion = r.version
	r.pending = append(r.pending[:0], r.pending[length:]...)
	return nil
}

// forwardPart sends a part of an event that is too large to be held until it is complete. No other worker can
// continue the stream after that.
func (r *eventRelay) forwardPart() error {
	length := len(r.pending) - maxEventEnd + 1 // the end of the event may have begun
	if err := r.admit(r.pending[:length]); err != nil {
		return err
	}
	r.inEvent = true
	err := r.forward(length)
	r.partSent.Store(true)
	r.releaseBodyIfUnneeded()
	return err
}

// finish ends a stream that its worker has ended. A part of an event is no event, whatever marks the end of the body: a
// server whose handler fails may end its answer in order. What is left besides, such as a comment, is written unchanged.
func (r *eventRelay) finish(ctx context.Context) error {
	if r.inEvent || hasField(r.pending) {
		r.node.options.Ring.Warn().Str("request", r.request.ID).Str("worker", string(r.candidate.worker.ID)).
			Str("after", r.lastID).Int("bytes", len(r.pending)).Msg("answer ended within an event")
		return failure.As(errPartialEvent, failure.OutcomeUnknown, "pass", r.candidate.worker.Addr)
	}
	if err := r.confirmEnd(ctx, r.candidate, r.reply); err != nil {
		return err
	}
	if r.beginEndCheck(r.candidate, r.reply) {
		return uncheckedEndError(r.candidate)
	}
	if err := r.writeHead(r.reply, -1); err != nil {
		return err
	}
	if len(r.pending) > 0 {
		return r.write(r.pending)
	}
	return nil
}

// isNextAnswer reports whether p is the beginning of another answer, behind the one that is relayed. An answer with a
// length or chunks ends before it.
func (r *eventRelay) isNextAnswer(p []byte) bool {
	return r.reply.Framing == FramedByConnection && !r.inEvent && bytes.HasPrefix(p, []byte(statusLinePrefix))
}

// finishBeforeNextAnswer ends a stream behind which its worker sent another answer, whose bytes belong to no request.
func (r *eventRelay) finishBeforeNextAnswer(ctx context.Context) error {
	r.node.options.Ring.Warn().Str("request", r.request.ID).Str("worker", string(r.candidate.worker.ID)).
		Str("after", r.lastID).Msg("another answer follows the stream")
	r.pending = nil
	return r.finish(ctx)
}
