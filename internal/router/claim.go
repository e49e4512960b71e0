// This file runs requests with an idempotency key. The key is claimed before the run, and the
// outcome is recorded before it is reported to the caller.

package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

// runClaimedRequest runs a request of a kind that claims its idempotency key. The key is claimed
// once memory is reserved and before anything is sent to a worker, and the outcome is recorded
// before the final event is sent. The run continues if the caller disconnects: a repeated request
// with the same key is then answered from the record.
func (n *Node) runClaimedRequest(
	ctx context.Context,
	s *fleetstate.Snapshot,
	t *handoff.Task,
	request *api.StreamRequest,
	out api.Sink,
) error {
	key := request.Kind + "/" + request.Key
	t.Identity.ID.Request = RequestIDForKey(key)
	c, tr, score := n.newController(s, t)
	start, disconnected, claimed := n.now(), false, false
	var claimErr error
	t.Claim = func(w ids.WorkerID, incarnation ids.Incarnation) error {
		if claimed {
			return n.recordClaimWorker(key, w, incarnation)
		}
		record, err := n.claimKey(ctx, key, request, w, incarnation)
		if err == nil && record != nil {
			err = n.replayRecord(record, out)
			if err == nil {
				err = errReplayed
			}
		}
		claimed, claimErr = err == nil, err
		return err
	}
	var tokens []int32
	var texts []string
	runContext, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
	defer stop()
	err := c.Run(runContext, t, func(i int, token int32, text string) error {
		if tokens, texts = append(tokens, token), append(texts, text); len(tokens) == 1 {
			score.ObserveFirstToken(n.now().Since(start))
		}
		if !disconnected && out.Put(api.StreamEvent{Index: i, Token: token, Text: text}) != nil {
			disconnected = true
		}
		return nil
	})
	switch {
	case claimErr == errReplayed:
		return nil
	case claimErr != nil:
		return claimErr
	case !claimed:
		score.NotExecuted.Add(1)
		return n.rejectForCapacity(http.StatusServiceUnavailable, "bounced", "%v", err)
	}
	resolution := &fleetstate.Resolve{Key: key, Owner: n.self.Node, Outcome: runOutcome(err, len(tokens))}
	resolution.Audit = tr.auditRecord(t.Identity.ID.Request, key, resolution.Outcome)
	if resolution.Outcome == fleetstate.OutcomeDone {
		resolution.Answer, _ = json.Marshal(storedAnswer{tokens, texts})
	}
	if e := n.submitResolution(resolution); e != nil {
		return n.reportUnrecorded(resolution, e, len(tokens), out)
	}
	return n.finishClaimedRequest(resolution.Outcome, err, len(tokens), score, out)
}

// finishClaimedRequest ends the caller's stream after the outcome has been recorded.
func (n *Node) finishClaimedRequest(outcome string, cause error, tokens int, score *routing.Score, out api.Sink) error {
	switch outcome {
	case fleetstate.OutcomeMayHaveRun:
		n.counts.OutcomeUnknown.Add(1)
		return out.Put(api.StreamEvent{
			Index: tokens,
			End:   api.EndUnknown,
			Count: tokens,
			Error: &workerclient.Rejection{Name: "may-have-run", Detail: cause.Error()},
		})
	case fleetstate.OutcomeNotRun:
		score.NotExecuted.Add(1)
		return n.rejectNotRun(tokens, out)
	}
	return n.finishStream(nil, tokens, score, out)
}

// runOutcome returns the outcome to record for a run that produced the given number of tokens
// and ended with err, which may be nil.
func runOutcome(err error, tokens int) string {
	switch {
	case err == nil:
		return fleetstate.OutcomeDone
	case failure.Is(err, failure.OutcomeUnknown), tokens > 0:
		return fleetstate.OutcomeMayHaveRun
	}
	return fleetstate.OutcomeNotRun
}

// reportUnrecorded answers the caller when the outcome of its request could not be recorded. The
// resolution is queued and submitted again later, unless the coordination service has already
// assigned the claim to another node.
func (n *Node) reportUnrecorded(resolution *fleetstate.Resolve, cause error, tokens int, out api.Sink) error {
	n.counts.OutcomeUnknown.Add(1)
	if !failure.Is(cause, failure.Stale) {
		n.unresolved.add(unresolvedClaim{resolution: resolution})
	}
	if tokens == 0 && resolution.Outcome == fleetstate.OutcomeNotRun {
		return n.rejectRetryable(http.StatusServiceUnavailable, "outcome-pending", "%v", cause)
	}
	return out.Put(api.StreamEvent{
		Index: tokens,
		End:   api.EndUnknown,
		Count: tokens,
		Error: &workerclient.Rejection{
			Name:         "unrecorded",
			Detail:       "the outcome has not been recorded yet; retry with the same key",
			RetryAfterMs: n.retryDelay().Milliseconds(),
		},
	})
}

// rejectNotRun answers a request whose key is recorded as not run. No delayed copy of the request
// can run any more, so the caller has to retry with a new key.
func (n *Node) rejectNotRun(count int, out api.Sink) error {
	rejection := workerclient.Rejection{
		Name:         "not-run",
		Field:        "key",
		Detail:       "the request was not run and never will be; send it again with a new key",
		RetryAfterMs: n.retryDelay().Milliseconds(),
	}
	n.counts.Rejected.Add(1)
	if count == 0 {
		return &api.Fault{Code: http.StatusServiceUnavailable, Rejection: rejection}
	}
	return out.Put(api.StreamEvent{Index: count, End: api.EndBroken, Count: count, Error: &rejection})
}

// claimKey claims an idempotency key for this node. It returns the existing record if the key was
// claimed before, else nil.
func (n *Node) claimKey(
	ctx context.Context,
	key string,
	request *api.StreamRequest,
	w ids.WorkerID,
	incarnation ids.Incarnation,
) (*fleetstate.IdempotencyRecord, error) {
	callContext, stop := context.WithTimeout(context.WithoutCancel(ctx), 1500*time.Millisecond)
	defer stop()
	claim := &fleetstate.Claim{Key: key, Owner: n.self.Node, Worker: w, Incarnation: incarnation, Digest: request.Digest()}
	op := ids.OpID("claim/" + coordination.NewID())
	r, err := n.agent.Submit(callContext, op, fleetstate.ClaimKind, coordination.MustMarshal(claim))
	if err != nil {
		if failure.Is(err, failure.OutcomeUnknown) {
			n.unresolved.add(unresolvedClaim{op: op, claim: claim})
			return nil, n.rejectRetryable(
				http.StatusServiceUnavailable,
				"claim-unknown",
				"whether the key was claimed is not known; nothing runs on it: %v",
				err,
			)
		}
		if failure.Is(err, failure.Stale) { // the store of idempotency records is full
			n.counts.Rejected.Add(1)
			return nil, api.RetryLater(
				http.StatusServiceUnavailable, "store-full", time.Minute, "nothing was run: %v", err,
			)
		}
		return nil, n.rejectRetryable(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	var reply fleetstate.ClaimReply
	if _, err := reply.UnmarshalMsg(r.Body); err != nil {
		return nil, n.rejectRetryable(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	switch {
	case reply.Record.Digest != claim.Digest:
		return nil, api.NewFault(
			http.StatusUnprocessableEntity, "key-reused", "key", "the key stands for another request",
		)
	case !reply.Fresh:
		return &reply.Record, nil
	}
	return nil, nil
}

// recordClaimWorker records that the request of a claimed key now runs on another worker or
// incarnation than the one that the key was claimed for.
func (n *Node) recordClaimWorker(key string, w ids.WorkerID, incarnation ids.Incarnation) error {
	callContext, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	assign := &fleetstate.AssignWorker{Key: key, Owner: n.self.Node, Worker: w, Incarnation: incarnation}
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("bind/"+coordination.NewID()),
		fleetstate.AssignWorkerKind,
		coordination.MustMarshal(assign),
	)
	return err
}

// RequestIDForKey returns the request id that every run of a request with an idempotency key has.
func RequestIDForKey(key string) string { return "k-" + coordination.ShortHash(key) }

// submitResolution resolves a claim, that is, records the outcome of its request in the
// coordination service.
func (n *Node) submitResolution(resolution *fleetstate.Resolve) error {
	callContext, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("settle/"+resolution.Key+"/"+string(resolution.Owner)),
		fleetstate.ResolveKind,
		coordination.MustMarshal(resolution),
	)
	return err
}

// replayRecord answers a request from the idempotency record of an earlier one with the same key.
func (n *Node) replayRecord(record *fleetstate.IdempotencyRecord, out api.Sink) error {
	n.counts.Replayed.Add(1)
	switch record.Outcome {
	case fleetstate.OutcomeClaimed:
		return n.rejectRetryable(http.StatusConflict, "running", "the key is being run")
	case fleetstate.OutcomeNotRun:
		return n.rejectNotRun(0, out)
	case fleetstate.OutcomeDone:
		if record.AnswerExpired {
			return api.NewFault(
				http.StatusGone,
				"answer-aged",
				"key",
				"it ran and was answered; so old an answer is not kept, and it will not be run again",
			)
		}
	case fleetstate.OutcomeMayHaveRun:
		return api.NewFault(
			http.StatusGone, "may-have-run", "key", "whether it ran is not known; it will not be run again",
		)
	}
	var answer storedAnswer
	if err := json.Unmarshal(record.Answer, &answer); err != nil {
		return failure.As(err, failure.InvalidArgument, "replay", record.Key)
	}
	for i, token := range answer.Tokens {
		if err := out.Put(api.StreamEvent{Index: i, Token: token, Text: answer.Texts[i], Replay: true}); err != nil {
			return err
		}
	}
	return out.Put(api.StreamEvent{Index: len(answer.Tokens), End: api.EndComplete, Count: len(answer.Tokens), Replay: true})
}

// storedAnswer is the answer of a completed run as it is stored in the idempotency record.
type storedAnswer struct {
	Tokens []int32  `json:"tokens"`
	Texts  []string `json:"texts"`
}
