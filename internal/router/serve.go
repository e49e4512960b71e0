// How a node carries one origin's request: the gates, the claim where the kind
// needs one, the run, and the record before the end line. What is given up gets
// its answer at once, with when to come back.

package router

import (
	"context"
	"encoding/json"
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

func (n *Node) after() time.Duration {
	if ms := n.view.Current().Configuration.Limits.RetryAfterMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

func (n *Node) later(code int, name, form string, args ...any) *api.Fault {
	n.counts.Bounced.Add(1)
	return api.RetryLater(code, name, n.after(), form, args...)
}

// retryAfterHint bounces for want of room: the caller comes back when there should be some.
func (n *Node) retryAfterHint(code int, name, form string, args ...any) *api.Fault {
	f := n.later(code, name, form, args...)
	f.After = n.retryAfter.Next(n.now(), n.counts.Done.Load(), n.after()).Milliseconds()
	return f
}

// Serve is the door's Server.
func (n *Node) Serve(ctx context.Context, ask *api.StreamRequest, out api.Sink) error {
	return n.serve(ctx, ask, out, false)
}

// serve answers what an origin asked, or what another node passed on.
func (n *Node) serve(ctx context.Context, ask *api.StreamRequest, out api.Sink, passed bool) error {
	n.counts.Asked.Add(1)
	if ok, reason := n.Ready(); !ok {
		return n.later(http.StatusServiceUnavailable, "not-ready", "%s", reason)
	}
	s := n.view.Current()
	kind, ok := s.Configuration.Kinds[ask.Kind]
	switch {
	case !ok:
		return api.WriteFault(http.StatusBadRequest, "unknown", "kind", "there is no kind %q", ask.Kind)
	case ask.Model != "" && ask.Model != kind.Model:
		return api.WriteFault(http.StatusBadRequest, "unknown", "model", "kind %q runs on %q", ask.Kind, kind.Model)
	case !n.adapters(s, kind.Model, ask.Adapters):
		return api.WriteFault(http.StatusBadRequest, "unknown", "adapters", "no worker offers them all")
	}
	if g := s.Register.Governs(ask.Kind); g != "" {
		if _, err := n.clears(g, certification.Subject{Node: n.options.Name}, ""); err != nil && !passed {
			return n.pass(ctx, s, g, ask, out)
		} else if err != nil {
			return n.later(http.StatusServiceUnavailable, "not-certified", "%v", err)
		}
	}
	if f := ask.Check(kind.Claimed, kind.MaxTokens, kind.MaxPrompt); f != nil {
		return f
	}
	if ask.MaxTokens == 0 {
		ask.MaxTokens = kind.MaxTokens
	}
	leave, f := n.grantEntry(s, ask.Kind)
	if f != nil {
		return f
	}
	defer leave()
	t := &handoff.Task{Kind: ask.Kind, Regime: s.Register.Governs(ask.Kind), Zone: n.self.Zone, Claimed: kind.Claimed, MaxAttempts: s.Configuration.Limits.Attempts, GiveUp: s.Configuration.Limits.GiveUp()}
	t.Identity = workerclient.Identity{Prompt: ask.Tokens(), Model: workerclient.Model{Name: kind.Model, Adapters: ask.Adapters},
		Params: workerclient.Params{MaxTokens: ask.MaxTokens, Temperature: ask.Temperature, Seed: ask.Seed}}
	t.Identity.ID.Request = coordination.NewID()
	if !kind.Claimed {
		return n.plain(ctx, s, t, out)
	}
	return n.claimed(ctx, s, t, ask, out)
}

func (n *Node) adapters(s *fleetstate.Snapshot, model string, want []string) bool {
	if len(want) == 0 {
		return true
	}
	for _, w := range s.Configuration.Workers {
		m := workerclient.Model{Name: w.Model, Weights: w.Weights, Adapters: w.Adapters}
		if m.Offers(workerclient.Model{Name: model, Weights: w.Weights, Adapters: want}) {
			return true
		}
	}
	return false
}

// grantEntry bounds the streams carried at once. Once a node is half full, a kind
// may take no more than its share by weight, so a crowd of one cannot shut out
// the other.
func (n *Node) grantEntry(s *fleetstate.Snapshot, kind string) (func(), *api.Fault) {
	v, _ := n.kinds.LoadOrStore(kind, new(atomic.Int64))
	mine := v.(*atomic.Int64)
	limit := int64(s.Configuration.Limits.Inflight)
	sum := int64(0)
	for _, k := range s.Configuration.Kinds {
		sum += int64(k.Weight)
	}
	all, own := n.inflight.Add(1), mine.Add(1)
	leave := func() { n.inflight.Add(-1); mine.Add(-1) }
	share := limit * int64(s.Configuration.Kinds[kind].Weight) / max(sum, 1)
	if all > limit || all > limit/2 && own > max(share, 1) {
		leave()
		return nil, n.retryAfterHint(http.StatusTooManyRequests, "crowded", "%d streams are carried here", all-1)
	}
	return leave, nil
}

// programsAt gives the programs of a sight.
func (n *Node) programsAt(s *fleetstate.Snapshot) *routing.ProgramSet {
	if v, ok := n.programSets.Load(s.Version); ok {
		return v.(*routing.ProgramSet)
	}
	d, _ := routing.NewProgramSet(nil, 0, n.scores)
	return d
}

func (n *Node) controller(s *fleetstate.Snapshot, t *handoff.Task) (*handoff.Controller, *transport, *routing.Score) {
	programs := n.programsAt(s)
	h := &transport{node: n, snapshot: s, programs: programs, kind: t.Kind, regime: t.Regime, prefix: routing.Prefix(t.Identity.Prompt, s.Configuration.Limits.PrefixTokens)}
	return &handoff.Controller{Transport: h, Clock: n.options.Host.Clock, OrphanTimeout: n.options.OrphanTimeout, StreamTimeout: n.options.StreamTimeout, Trace: n.journal.Append}, h,
		n.scores.Of(programs.ProgramFor(t.Identity.ID.Request))
}

// plain runs a request that needs no claim.
func (n *Node) plain(ctx context.Context, s *fleetstate.Snapshot, t *handoff.Task, out api.Sink) error {
	c, h, score := n.controller(s, t)
	start, count := n.now(), 0
	var known error
	if t.Regime != "" {
		t.Claim = func(ids.WorkerID, ids.Incarnation) error { known = h.begin(ctx, t.Identity.ID.Request); return known }
	}
	err := c.Run(ctx, t, func(i int, tok int32, text string) error {
		if count++; count == 1 {
			score.ObserveFirstToken(n.now().Since(start))
		}
		return out.Put(api.StreamEvent{Index: i, Token: tok, Text: text})
	})
	if known != nil {
		return known
	}
	h.end(t.Identity.ID.Request, err, count)
	return n.finish(err, count, score, out)
}

// finish says how a stream ended; only a whole one looks complete.
func (n *Node) finish(err error, count int, score *routing.Score, out api.Sink) error {
	switch {
	case err == nil:
		n.counts.Done.Add(1)
		score.Done.Add(1)
		return out.Put(api.StreamEvent{Index: count, End: api.Complete, Count: count})
	case failure.Is(err, failure.InvalidArgument):
		return api.WriteFault(http.StatusBadRequest, "refused", "", "%v", err)
	case count == 0:
		score.Bounced.Add(1)
		return n.retryAfterHint(http.StatusServiceUnavailable, "bounced", "%v", err)
	}
	n.counts.Broken.Add(1)
	score.Broken.Add(1)
	n.options.Ring.Info().AnErr("cause", err).Int("pieces", count).Msg("a stream broke")
	return out.Put(api.StreamEvent{Index: count, End: api.Broken, Count: count,
		Error: &workerclient.Rejection{Name: "broken", Detail: err.Error(), After: n.after().Milliseconds()}})
}

// claimed runs a ruling or verdict: once room is booked its key is claimed, before
// anything is sent to a worker, and the outcome is recorded before the end line
// is sent. It runs on when the origin goes away: the same key asked again is then
// answered from the record.
func (n *Node) claimed(ctx context.Context, s *fleetstate.Snapshot, t *handoff.Task, ask *api.StreamRequest, out api.Sink) error {
	key := ask.Kind + "/" + ask.Key
	t.Identity.ID.Request = Request(key)
	c, h, score := n.controller(s, t)
	start, deaf, fresh := n.now(), false, false
	var known error
	t.Claim = func(w ids.WorkerID, incarnation ids.Incarnation) error {
		if fresh {
			return n.bind(key, w, incarnation)
		}
		deed, err := n.claim(ctx, key, ask, w, incarnation)
		if err == nil && deed != nil {
			err = n.replay(deed, out)
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
	fate := fleetstate.Done
	switch {
	case err == nil:
	case failure.Is(err, failure.OutcomeUnknown):
		fate = fleetstate.MayHaveRun
	case len(toks) > 0:
		fate = fleetstate.MayHaveRun
	default:
		fate = fleetstate.NotRun
	}
	body, _ := json.Marshal(record{toks, texts})
	if fate != fleetstate.Done {
		body = nil
	}
	end := &fleetstate.Resolve{Key: key, Owner: n.self.Node, Outcome: fate, Answer: body, Audit: h.record(t.Identity.ID.Request, key, fate)}
	if e := n.resolve(end); e != nil {
		n.counts.Unsure.Add(1)
		if !failure.Is(e, failure.Stale) {
			n.unresolved.add(unresolvedClaim{resolve: end})
		}
		if len(toks) == 0 && fate == fleetstate.NotRun {
			return n.later(http.StatusServiceUnavailable, "outcome-pending", "%v", e)
		}
		return out.Put(api.StreamEvent{Index: len(toks), End: api.Unknown, Count: len(toks),
			Error: &workerclient.Rejection{Name: "unrecorded", Detail: "the outcome is not on record yet; ask again with the same key", After: n.after().Milliseconds()}})
	}
	switch fate {
	case fleetstate.MayHaveRun:
		n.counts.Unsure.Add(1)
		return out.Put(api.StreamEvent{Index: len(toks), End: api.Unknown, Count: len(toks),
			Error: &workerclient.Rejection{Name: "may-have-run", Detail: err.Error()}})
	case fleetstate.NotRun:
		score.Bounced.Add(1)
		return n.gone(len(toks), out)
	}
	return n.finish(nil, len(toks), score, out)
}

// gone answers for a key that ends as not run: no late copy of it can run, so
// the caller comes back with a new key.
func (n *Node) gone(count int, out api.Sink) error {
	no := workerclient.Rejection{Name: "not-run", Field: "key", Detail: "it was not run and never will be; ask anew with another key", After: n.after().Milliseconds()}
	n.counts.Bounced.Add(1)
	if count == 0 {
		return &api.Fault{Code: http.StatusServiceUnavailable, Rejection: no}
	}
	return out.Put(api.StreamEvent{Index: count, End: api.Broken, Count: count, Error: &no})
}

// errReplayed ends a task whose answer came from the record.
var errReplayed = errors.New("answered from the record")

// claim takes the key; a deed is given if it was taken before.
func (n *Node) claim(ctx context.Context, key string, ask *api.StreamRequest, w ids.WorkerID, incarnation ids.Incarnation) (*fleetstate.IdempotencyRecord, error) {
	callContext, stop := context.WithTimeout(context.WithoutCancel(ctx), 1500*time.Millisecond)
	defer stop()
	claim := &fleetstate.Claim{Key: key, Owner: n.self.Node, Worker: w, Incarnation: incarnation, Digest: ask.Digest()}
	op := ids.OpID("claim/" + coordination.NewID())
	r, err := n.agent.Submit(callContext, op, fleetstate.ClaimKind, coordination.MustMarshal(claim))
	if err != nil {
		if failure.Is(err, failure.OutcomeUnknown) {
			n.unresolved.add(unresolvedClaim{op: op, claim: claim})
			return nil, n.later(http.StatusServiceUnavailable, "claim-unknown", "whether the key was claimed is not known; nothing runs on it: %v", err)
		}
		if failure.Is(err, failure.Stale) {
			n.counts.Bounced.Add(1)
			return nil, api.RetryLater(http.StatusServiceUnavailable, "store-full", time.Minute, "nothing was run: %v", err)
		}
		return nil, n.later(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	var got fleetstate.ClaimReply
	if _, err := got.UnmarshalMsg(r.Body); err != nil {
		return nil, n.later(http.StatusServiceUnavailable, "core-away", "%v", err)
	}
	switch {
	case got.Record.Digest != claim.Digest:
		return nil, api.WriteFault(http.StatusUnprocessableEntity, "key-reused", "key", "the key stands for another request")
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
	_, err := n.agent.Submit(callContext, ids.OpID("bind/"+coordination.NewID()), fleetstate.AssignWorkerKind, coordination.MustMarshal(b))
	return err
}

type record struct {
	Tokens []int32  `json:"tokens"`
	Texts  []string `json:"texts"`
}

// Request is the request id that a key always has.
func Request(key string) string { return "k-" + coordination.ShortHash(key) }

func (n *Node) resolve(s *fleetstate.Resolve) error {
	callContext, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	_, err := n.agent.Submit(callContext, ids.OpID("settle/"+s.Key+"/"+string(s.Owner)), fleetstate.ResolveKind, coordination.MustMarshal(s))
	return err
}

// replay answers a key that is known already.
func (n *Node) replay(d *fleetstate.IdempotencyRecord, out api.Sink) error {
	n.counts.Replayed.Add(1)
	switch d.Outcome {
	case fleetstate.Claimed:
		return n.later(http.StatusConflict, "running", "the key is being run")
	case fleetstate.NotRun:
		return n.gone(0, out)
	case fleetstate.Done:
		if d.Aged {
			return api.WriteFault(http.StatusGone, "answer-aged", "key", "it ran and was answered; so old an answer is not kept, and it will not be run again")
		}
	case fleetstate.MayHaveRun:
		return api.WriteFault(http.StatusGone, "may-have-run", "key", "whether it ran is not known; it will not be run again")
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
