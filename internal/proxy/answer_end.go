// The end of a worker's answer: what marks it, and how it is counted.

package proxy

import (
	"context"
	"errors"

	"keelstair.example/failure"
)

// Framing is what marks the end of an answer's body.
type Framing string

// The framings of HTTP/1.1.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // neither a length nor chunks: the body ends with its connection
)

// answerEnd is how the relay of one answer ended.
type answerEnd string

const (
	endComplete     answerEnd = "complete"
	endCut          answerEnd = "cut"          // the worker broke it off, or was given up
	endUnconfirmed  answerEnd = "unconfirmed"  // its connection ended, and its worker did not confirm that it lives
	endOutOfOrder   answerEnd = "out_of_order" // an event did not come after the last one
	endShort        answerEnd = "short"        // it seemed complete, and another worker had later events
	endPartial      answerEnd = "partial"      // it ended within an event
	endDisconnected answerEnd = "disconnected" // the caller left, or the deadline passed
)

var errUnconfirmedEnd = errors.New("the connection ended, and the worker doesn't confirm that it lives")

// confirmEnd returns nil if an answer whose body has ended is complete. A kernel closes the connections of a process that
// was killed as if the process had done so. Therefore an answer that ends with its connection is complete only if the
// worker's process still lives afterwards.
func (t *exchange) confirmEnd(ctx context.Context, c *candidate, reply *Response) error {
	if reply.Framing != FramedByConnection {
		return nil
	}
	endedAt := t.node.now()
	err := t.node.confirmAlive(ctx, c.worker, c.state)
	if err == nil {
		t.node.options.Ring.Info().Str("request", t.request.ID).Str("worker", string(c.worker.ID)).
			Str("after", t.lastEventID).Dur("waited", t.node.now().Since(endedAt)).Msg("end of answer is confirmed")
		return nil
	}
	t.node.options.Ring.Warn().Str("request", t.request.ID).Str("worker", string(c.worker.ID)).
		Str("after", t.lastEventID).AnErr("cause", err).Msg("end of answer is not confirmed")
	return failure.As(errors.Join(errUnconfirmedEnd, err), failure.OutcomeUnknown, "pass", c.worker.Addr)
}

// countAnswerEnd counts an answer by its framing and by how its relay ended.
func (t *exchange) countAnswerEnd(ctx context.Context, reply *Response, err error) {
	end := endCut
	switch {
	case err == nil:
		end = endComplete
	case errors.Is(err, errUnconfirmedEnd) && ctx.Err() == nil:
		end = endUnconfirmed
	case errors.Is(err, errEventOrder):
		end = endOutOfOrder
	case errors.Is(err, errPartialEvent):
		end = endPartial
	case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		end = endDisconnected
	}
	t.node.metrics.CountAnswerEnd(string(reply.Framing), string(end))
}

// recordContinuation counts and logs a stream that another worker's answer continues.
func (t *exchange) recordContinuation(c *candidate, reply *Response, first string) {
	t.node.counts.Continuations.Add(1)
	t.node.options.Ring.Info().Str("request", t.request.ID).Str("worker", string(c.worker.ID)).
		Str("after", t.lastEventID).Str("first", first).Str("version", reply.ModelVersion).Msg("stream continued")
}
