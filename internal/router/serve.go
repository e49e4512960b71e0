// This file serves client requests: it admits a request, claims its idempotency key if the kind
// needs one, runs it, and records the outcome before it sends the final event. A request that is
// given up is answered at once, with the time after which to retry.

package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
)

// retryDelay returns the configured retry-after time, by default one second.
func (n *Node) retryDelay() time.Duration {
	if ms := n.view.Current().Configuration.Limits.RetryAfterMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

// rejectRetryable counts a rejection and returns it with the configured retry-after time.
func (n *Node) rejectRetryable(code int, name, format string, args ...any) *api.Fault {
	n.counts.Rejected.Add(1)
	return api.RetryLater(code, name, n.retryDelay(), format, args...)
}

// rejectForCapacity rejects a request for lack of capacity. Its retry-after time is when the node
// expects to have capacity for the caller.
func (n *Node) rejectForCapacity(code int, name, format string, args ...any) *api.Fault {
	fault := n.rejectRetryable(code, name, format, args...)
	fault.RetryAfterMs = n.retryAfter.Next(n.now(), n.counts.Completed.Load(), n.retryDelay()).Milliseconds()
	return fault
}

// Serve serves a client's request.
func (n *Node) Serve(ctx context.Context, request *api.StreamRequest, out api.Sink) error {
	return n.serve(ctx, request, out, false)
}

// serve serves a client's request, or one that another node forwarded.
func (n *Node) serve(ctx context.Context, request *api.StreamRequest, out api.Sink, forwarded bool) error {
	n.counts.Requests.Add(1)
	n.inProgress.Add(1) // before Ready, so that a shutdown waits for every request that passes it
	defer n.inProgress.Add(-1)
	if ok, reason := n.Ready(); !ok {
		return n.rejectRetryable(http.StatusServiceUnavailable, "not-ready", "%s", reason)
	}
	s := n.view.Current()
	kind, ok := s.Configuration.Kinds[request.Kind]
	switch {
	case !ok:
		return api.NewFault(http.StatusBadRequest, "unknown", "kind", "there is no kind %q", request.Kind)
	case request.Model != "" && request.Model != kind.Model:
		return api.NewFault(http.StatusBadRequest, "unknown", "model", "kind %q runs on %q", request.Kind, kind.Model)
	case !n.offersAdapters(s, kind.Model, request.Adapters):
		return api.NewFault(http.StatusBadRequest, "unknown", "adapters", "no worker offers them all")
	}
	if regime := s.Register.RegimeOf(request.Kind); regime != "" {
		if _, err := n.authorize(regime, certification.Subject{Node: n.options.Name}, ""); err != nil && !forwarded {
			return n.forward(ctx, s, regime, request, out)
		} else if err != nil {
			return n.rejectRetryable(http.StatusServiceUnavailable, "not-certified", "%v", err)
		}
	}
	if fault := request.Validate(kind.Claimed, kind.MaxTokens, kind.MaxPrompt); fault != nil {
		return fault
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = kind.MaxTokens
	}
	release, fault := n.admit(s, request.Kind)
	if fault != nil {
		return fault
	}
	defer release()
	t := &handoff.Task{
		Kind:         request.Kind,
		Regime:       s.Register.RegimeOf(request.Kind),
		Zone:         n.self.Zone,
		AtMostOnce:   kind.Claimed,
		MaxAttempts:  s.Configuration.Limits.MaxAttempts,
		RetryTimeout: s.Configuration.Limits.PickTimeout(),
	}
	t.Identity = workerclient.Identity{
		Prompt: request.PromptTokens(),
		Model:  workerclient.Model{Name: kind.Model, Adapters: request.Adapters},
		Params: workerclient.Params{MaxTokens: request.MaxTokens, Temperature: request.Temperature, Seed: request.Seed},
	}
	t.Identity.ID.Request = coordination.NewID()
	if !kind.Claimed {
		return n.runUnclaimedRequest(ctx, s, t, out)
	}
	return n.runClaimedRequest(ctx, s, t, request, out)
}

// offersAdapters reports whether some worker of a model offers all the wanted adapters.
func (n *Node) offersAdapters(s *fleetstate.Snapshot, model string, want []string) bool {
	if len(want) == 0 {
		return true
	}
	for _, w := range s.Configuration.Workers {
		m := workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters}
		if m.Serves(workerclient.Model{Name: model, Weights: w.Weights, Adapters: want}) {
			return true
		}
	}
	return false
}

// admit limits the streams that the node serves at once. Above half of that limit, each kind may use
// only its share by weight, so that many requests of one kind cannot starve the others. It returns
// a function that releases the stream's place.
func (n *Node) admit(s *fleetstate.Snapshot, kind string) (func(), *api.Fault) {
	v, _ := n.kinds.LoadOrStore(kind, new(atomic.Int64))
	inflightOfKind := v.(*atomic.Int64)
	limit := int64(s.Configuration.Limits.MaxInflight)
	weights := int64(0)
	for _, k := range s.Configuration.Kinds {
		weights += int64(k.Weight)
	}
	total, own := n.inflight.Add(1), inflightOfKind.Add(1)
	release := func() { n.inflight.Add(-1); inflightOfKind.Add(-1) }
	share := limit * int64(s.Configuration.Kinds[kind].Weight) / max(weights, 1)
	if total > limit || total > limit/2 && own > max(share, 1) {
		release()
		return nil, n.rejectForCapacity(http.StatusTooManyRequests, "crowded", "%d streams are carried here", total-1)
	}
	return release, nil
}

// programsAt returns the compiled routing programs of a snapshot's version, or the built-in order if
// there are none.
func (n *Node) programsAt(s *fleetstate.Snapshot) *routing.ProgramSet {
	if v, ok := n.programSets.Load(s.Version); ok {
		return v.(*routing.ProgramSet)
	}
	builtIn, _ := routing.NewProgramSet(nil, 0, n.scores)
	return builtIn
}

// newController returns the controller and the transport that run a task under a snapshot, and the
// score of the routing program that the request is assigned to.
func (n *Node) newController(
	s *fleetstate.Snapshot,
	t *handoff.Task,
) (*handoff.Controller, *transport, *routing.Score) {
	programs := n.programsAt(s)
	tr := &transport{
		node:     n,
		snapshot: s,
		programs: programs,
		kind:     t.Kind,
		regime:   t.Regime,
		prefix:   routing.PrefixHash(t.Identity.Prompt, s.Configuration.Limits.PrefixTokens),
	}
	return &handoff.Controller{
			Transport:     tr,
			Clock:         n.options.Host.Clock,
			OrphanTimeout: n.options.OrphanTimeout,
			Trace:         n.journal.Append,
		}, tr,
		n.scores.Of(programs.ProgramFor(t.Identity.ID.Request))
}

// runUnclaimedRequest runs a request of a kind that claims no idempotency key.
func (n *Node) runUnclaimedRequest(ctx context.Context, s *fleetstate.Snapshot, t *handoff.Task, out api.Sink) error {
	c, tr, score := n.newController(s, t)
	start, count := n.now(), 0
	var recordErr error
	if t.Regime != "" {
		t.Claim = func(ids.WorkerID, ids.Incarnation) error {
			recordErr = tr.recordStart(ctx, t.Identity.ID.Request)
			return recordErr
		}
	}
	err := c.Run(ctx, t, func(i int, token int32, text string) error {
		if count++; count == 1 {
			score.ObserveFirstToken(n.now().Since(start))
		}
		return out.Put(api.StreamEvent{Index: i, Token: token, Text: text})
	})
	if recordErr != nil {
		return recordErr
	}
	tr.recordEnd(t.Identity.ID.Request, err, count)
	return n.finishStream(err, count, score, out)
}

// finishStream ends the caller's stream. Only a stream with all of its tokens is marked complete.
func (n *Node) finishStream(err error, count int, score *routing.Score, out api.Sink) error {
	switch {
	case err == nil:
		n.counts.Completed.Add(1)
		score.Completed.Add(1)
		return out.Put(api.StreamEvent{Index: count, End: api.EndComplete, Count: count})
	case failure.Is(err, failure.InvalidArgument):
		return api.NewFault(http.StatusBadRequest, "refused", "", "%v", err)
	case count == 0:
		score.NotExecuted.Add(1)
		return n.rejectForCapacity(http.StatusServiceUnavailable, "bounced", "%v", err)
	}
	n.counts.Aborted.Add(1)
	score.Aborted.Add(1)
	n.options.Ring.Info().AnErr("cause", err).Int("tokens", count).Msg("stream aborted before its last token")
	return out.Put(api.StreamEvent{
		Index: count,
		End:   api.EndBroken,
		Count: count,
		Error: &workerclient.Rejection{Name: "broken", Detail: err.Error(), RetryAfterMs: n.retryDelay().Milliseconds()},
	})
}

// errReplayed ends a task whose answer was replayed from the idempotency record.
var errReplayed = errors.New("answered from the record")
