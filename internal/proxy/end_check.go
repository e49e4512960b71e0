// Check of an end that only its connection marks. A worker that lives may have broken the stream off between two events.
// If the stream is resumable, another worker knows what comes after its last event: nothing, or the rest of the stream.
// Such a check is a run of its own, charged to the retry budget, so that only a part of the ends can be checked where
// workers never frame their streams. Ends of workers that are in trouble have precedence.

package proxy

import (
	"context"
	"errors"
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

const (
	// troublePeriod is how long the ends of a worker's streams are suspect after one of its answers broke off.
	troublePeriod = 10 * time.Second
	// minEndCheck is the least time that a check has for the first later event.
	minEndCheck = 500 * time.Millisecond
)

var errUncheckedEnd = errors.New("another worker is asked whether the stream has ended")

// uncheckedEnd is an end for which another worker is asked for later events.
type uncheckedEnd struct {
	candidate   *candidate
	reply       *Response
	lastEventID string
	mustCheck   bool        // the worker has ended a stream early: the end doesn't count unless it is checked
	timer       *time.Timer // ends a check that learns nothing; nil before it begins
}

// answerTrouble holds when a worker's answers last broke off.
type answerTrouble struct{ brokenAt, shortAt ids.Tick }

func isRecent(at, now ids.Tick) bool { return at != 0 && !now.Past(at, troublePeriod) }

// recordBrokenAnswer records that an answer of the worker broke off. Short means that it seemed complete.
func (s *workerState) recordBrokenAnswer(now ids.Tick, short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble.brokenAt = now
	if short {
		s.trouble.shortAt = now
	}
}

// answerTrouble returns whether an answer of the worker broke off of late, and whether one that did seemed complete.
func (s *workerState) answerTrouble(now ids.Tick) (broken, short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isRecent(s.trouble.brokenAt, now), isRecent(s.trouble.shortAt, now)
}

// beginEndCheck reports whether another worker is to be asked for what comes after the end of a stream. It charges the
// check to the retry budget.
func (t *exchange) beginEndCheck(c *candidate, reply *Response) bool {
	if reply.Framing != FramedByConnection || !t.mayRetryDecode() || !t.canContinue() || t.endIsChecked() {
		return false
	}
	broken, short := c.state.answerTrouble(t.node.now())
	listed := t.node.currentList.Load().find(c.worker.ID)
	charge := t.node.spendHedge
	if broken || listed == nil || listed.Leaving {
		charge = t.node.spendRetry
	}
	charged := charge()
	if !charged && !short {
		return false
	}
	t.retryPaid = charged
	t.tried[c.worker.ID] = true
	t.disproveEnd()
	t.uncheckedEnd = &uncheckedEnd{candidate: c, reply: reply, lastEventID: t.lastEventID, mustCheck: short}
	return true
}

// endIsChecked reports whether a second worker has ended the stream after the same event.
func (t *exchange) endIsChecked() bool {
	return t.uncheckedEnd != nil && t.uncheckedEnd.lastEventID == t.lastEventID
}

// limitEndCheck returns a context that ends if a check learns nothing in time.
func (t *exchange) limitEndCheck(ctx context.Context) context.Context {
	checkContext, stop := context.WithCancel(ctx)
	limit := max(minEndCheck, min(t.decodeSilenceTimeout(), t.remaining()/2))
	t.uncheckedEnd.timer = time.AfterFunc(limit, stop)
	return checkContext
}

// disproveEnd records that an unchecked end was none, if there is one: a later event has come.
func (t *exchange) disproveEnd() {
	end := t.uncheckedEnd
	if end == nil {
		return
	}
	t.uncheckedEnd = nil
	if end.timer != nil {
		end.timer.Stop()
	}
	now := t.node.now()
	end.candidate.state.recordBrokenAnswer(now, true)
	end.candidate.state.recordFailure(now)
	t.node.recordOutcome(end.candidate, false)
	t.node.metrics.CountAnswerEnd(string(end.reply.Framing), string(endShort))
	t.node.options.Ring.Warn().Str("request", t.request.ID).Str("worker", string(end.candidate.worker.ID)).
		Str("after", end.lastEventID).Msg("worker ended a stream early")
}

// settleEnd returns the result of an exchange whose end is not disproved. Err is that of the check. A check that learned
// nothing leaves the end as it is, unless its worker ends streams early.
func (t *exchange) settleEnd(ctx context.Context, err error) error {
	end := t.uncheckedEnd
	if end == nil || err != nil && (errors.Is(ctx.Err(), context.Canceled) || t.lastEventID != end.lastEventID) {
		return err
	}
	if end.timer != nil {
		end.timer.Stop()
	}
	if err != nil && end.mustCheck {
		t.node.metrics.CountAnswerEnd(string(end.reply.Framing), string(endUnconfirmed))
		return err
	}
	t.node.recordOutcome(end.candidate, true)
	t.node.metrics.CountAnswerEnd(string(end.reply.Framing), string(endComplete))
	if err == nil {
		return nil
	}
	return t.beginAnswer(end.reply, -1)
}

// uncheckedEndError is the error of a relay whose end another worker is asked about.
func uncheckedEndError(c *candidate) error {
	return failure.As(errUncheckedEnd, failure.OutcomeUnknown, "pass", c.worker.Addr)
}
