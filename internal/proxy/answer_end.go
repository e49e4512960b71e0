// The end of a worker's answer: what marks it, and how it is counted.

package proxy

import (
	"context"
	"errors"
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
	endDisconnected answerEnd = "disconnected" // the caller left, or the deadline passed
)

// countAnswerEnd counts an answer by its framing and by how its relay ended.
func (t *exchange) countAnswerEnd(ctx context.Context, reply *Response, err error) {
	end := endCut
	switch {
	case err == nil:
		end = endComplete
	case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		end = endDisconnected
	}
	t.node.metrics.CountAnswerEnd(string(reply.Framing), string(end))
}

// recordContinuation counts and logs a stream that another worker continues.
func (t *exchange) recordContinuation(c *candidate, first string) {
	t.node.counts.Continuations.Add(1)
	t.node.options.Ring.Info().Str("request", t.request.ID).Str("worker", string(c.worker.ID)).
		Str("after", t.lastEventID).Str("first", first).Msg("stream continued")
}
