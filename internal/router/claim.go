// Keyed requests: a claim of the key precedes the run, and its outcome is recorded before the
// caller hears of it.

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

// claimed runs a ruling or verdict: once room is booked its key is claimed, before
// anything is sent to a worker, and the outcome is recorded before the end line
// is sent. It runs on when the origin goes away: the same key asked again is then
// answered from the record.
func (n *Node) claimed(
	ctx context.Context,
	s *fleetstate.Snapshot,
	t *handoff.Task,
	ask *api.StreamRequest,
	out api.Sink,
) error {
	key := ask.Kind + "/" + ask.Key
	t.Identity.ID.Request = Request(key)
	c, h, score := n.controller(s, t)
	start, deaf, fresh := n.now(), false, false
	var known error
	t.Claim = func(w ids.WorkerID, incarnation ids.Incarnation) error {
		if fresh {
			return n.bind(key, w, incarnation)
		}
		record, err := n.claim(ctx, key, ask, w, incarnation)
		if err == nil && record != nil {
			err = n.replay(record, out)
			if err == nil {
				err = errReplayed
			}
		}
		fresh, known = err == nil, err
		return err
	}
	var toks []int32
	var texts []string
	run, halt := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
	defer halt()
	err := c.Run(run, t, func(i int, tok int32, text string) error {
		if toks, texts = append(toks, tok), append(texts, text); len(toks) == 1 {
			score.ObserveFirstToken(n.now().Since(start))
		}
		if !deaf && out.Put(api.StreamEvent{Index: i, Token: tok, Text: text}) != nil {
			deaf = true
		}
		return nil
	})
	switch {
	case known == errReplayed:
		return nil
	case known != nil:
		return known
	case !fresh:
		score.Bounced.Add(1)
		return n.retryAfterHint(http.StatusServiceUnavailable, "bounced", "%v", err)
	}
	end := &fleetstate.Resolve{Key: key, Owner: n.self.Node, Outcome: runOutcome(err, len(toks))}
	end.Audit = h.record(t.Identity.ID.Request, key, end.Outcome)
	if end.Outcome == fleetstate.OutcomeDone {
		end.Answer, _ = json.Marshal(record{toks, texts})
	}
	if e := n.resolve(end); e != nil {
		return n.unrecorded(end, e, len(toks), out)
	}
	return n.conclude(end.Outcome, err, len(toks), score, out)
}

// conclude ends the caller's stream once the outcome is on record.
func (n *Node) conclude(outcome string, cause error, tokens int, score *routing.Score, out api.Sink) error {
	switch outcome {
	case fleetstate.OutcomeMayHaveRun:
		n.counts.Unsure.Add(1)
		return out.Put(api.StreamEvent{
			Index: tokens,
			End:   api.Unknown,
			Count: tokens,
			Error: &workerclient.Rejection{Name: "may-have-run", Detail: cause.Error()},
		})
	case fleetstate.OutcomeNotRun:
		score.Bounced.Add(1)
		return n.gone(tokens, out)
	}
	return n.finish(nil, tokens, score, out)
}

// runOutcome is the outcome of a run that gave so many tokens and ended with an error or none.
func runOutcome(err error, tokens int) string {
	switch {
	case err == nil:
		return fleetstate.OutcomeDone
	case failure.Is(err, failure.OutcomeUnknown), tokens > 0:
		return fleetstate.OutcomeMayHaveRun
	}
	return fleetstate.OutcomeNotRun
}

// unrecorded answers a caller whose outcome could not be recorded, and keeps the claim for a
// later try, unless another node resolves it.
func (n *Node) unrecorded(end *fleetstate.Resolve, cause error, tokens int, out api.Sink) error {
	n.counts.Unsure.Add(1)
	if !failure.Is(cause, failure.Stale) {
		n.unresolved.add(unresolvedClaim{resolve: end})
	}
	if tokens == 0 && end.Outcome == fleetstate.OutcomeNotRun {
		return n.later(http.StatusServiceUnavailable, "outcome-pending", "%v", cause)
	}
	return out.Put(api.StreamEvent{
		Index: tokens,
		End:   api.Unknown,
		Count: tokens,
		Error: &workerclient.Rejection{
			Name:   "unrecorded",
			Detail: "the outcome is not on record yet; ask again with the same key",
			After:  n.after().Milliseconds(),
		},
	})
}

// gone answers for a key that ends as not run: no late copy of it can run, so
// the caller comes back with a new key.
func (n *Node) gone(count int, out api.Sink) error {
	no := workerclient.Rejection{
		Name:   "not-run",
		Field:  "key",
		Detail: "it was not run and never will be; ask anew with another key",
		After:  n.after().Milliseconds(),
	}
	n.counts.Bounced.Add(1)
	if count == 0 {
		return &api.Fault{Code: http.StatusServiceUnavailable, Rejection: no}
	}
	return out.Put(api.StreamEvent{Index: count, End: api.Broken, Count: count, Error: &no})
}

// claim takes the key; an idempotency record is given if it was taken before.
func (n *Node) claim(
	ctx context.Context,
	key string,
	ask *api.StreamRequest,
	w ids.WorkerID,
	incarnation ids.Incarnation,
) (*fleetstate.IdempotencyRecord, error) {
	callContext, stop := context.WithTimeout(context.WithoutCancel(ctx), 1500*time.Millisecond)
	defer stop()
	claim := &fleetstate.Claim{Key: key, Owner: n.self.Node, Worker: w, Incarnation: incarnation, Digest: ask.Digest()}
	op := ids.OpID("claim/" + coordination.NewID())
	r, err := n.agent.Submit(callContext, op, fleetstate.ClaimKind, coordination.MustMarshal(claim))
	if err != nil {
		if failure.Is(err, failure.OutcomeUnknown) {
			n.unresolved.add(unresolvedClaim{op: op, claim: claim})
			return nil, n.later(
				http.StatusServiceUnavailable,
				"claim-unknown",
				"whether the key was claimed is not known; nothing runs on it: %v",
				err,
			)
		}
		if failure.Is(err, failure.Stale) {
			n.counts.Bounced.Add(1)
			return nil, api.RetryLater(
				http.StatusServiceUnavailable, "store-full", time.Minute, "nothing was run: %v", err,
			)
		}
		return nil, n.later(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	var got fleetstate.ClaimReply
	if _, err := got.UnmarshalMsg(r.Body); err != nil {
		return nil, n.later(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	switch {
	case got.Record.Digest != claim.Digest:
		return nil, api.WriteFault(
			http.StatusUnprocessableEntity, "key-reused", "key", "the key stands for another request",
		)
	case !got.Fresh:
		return &got.Record, nil
	}
	return nil, nil
}

// bind has a claimed key run elsewhere than it was claimed for.
func (n *Node) bind(key string, w ids.WorkerID, incarnation ids.Incarnation) error {
	callContext, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	b := &fleetstate.AssignWorker{Key: key, Owner: n.self.Node, Worker: w, Incarnation: incarnation}
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("bind/"+coordination.NewID()),
		fleetstate.AssignWorkerKind,
		coordination.MustMarshal(b),
	)
	return err
}

// Request is the request id that a key always has.
func Request(key string) string { return "k-" + coordination.ShortHash(key) }

func (n *Node) resolve(s *fleetstate.Resolve) error {
	callContext, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("settle/"+s.Key+"/"+string(s.Owner)),
		fleetstate.ResolveKind,
		coordination.MustMarshal(s),
	)
	return err
}

// replay answers a key that is known already.
func (n *Node) replay(d *fleetstate.IdempotencyRecord, out api.Sink) error {
	n.counts.Replayed.Add(1)
	switch d.Outcome {
	case fleetstate.OutcomeClaimed:
		return n.later(http.StatusConflict, "running", "the key is being run")
	case fleetstate.OutcomeNotRun:
		return n.gone(0, out)
	case fleetstate.OutcomeDone:
		if d.Aged {
			return api.WriteFault(
				http.StatusGone,
				"answer-aged",
				"key",
				"it ran and was answered; so old an answer is not kept, and it will not be run again",
			)
		}
	case fleetstate.OutcomeMayHaveRun:
		return api.WriteFault(
			http.StatusGone, "may-have-run", "key", "whether it ran is not known; it will not be run again",
		)
	}
	var r record
	if err := json.Unmarshal(d.Answer, &r); err != nil {
		return failure.As(err, failure.InvalidArgument, "replay", d.Key)
	}
	for i, t := range r.Tokens {
		if err := out.Put(api.StreamEvent{Index: i, Token: t, Text: r.Texts[i], Replay: true}); err != nil {
			return err
		}
	}
	return out.Put(api.StreamEvent{Index: len(r.Tokens), End: api.Complete, Count: len(r.Tokens), Replay: true})
}

type record struct {
	Tokens []int32  `json:"tokens"`
	Texts  []string `json:"texts"`
}
