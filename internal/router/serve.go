// How a node carries one origin's request: the gates, the claim where the kind
// needs one, the run, and the record before the end line. What is given up gets
// its answer at once, with when to come back.

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

func (n *Node) retryDelay() time.Duration {
	if ms := n.view.Current().Configuration.Limits.RetryAfterMs; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

func (n *Node) rejectRetryable(code int, name, form string, args ...any) *api.Fault {
	n.counts.Rejected.Add(1)
	return api.RetryLater(code, name, n.retryDelay(), form, args...)
}

// rejectForCapacity bounces for want of room: the caller comes back when there should be some.
func (n *Node) rejectForCapacity(code int, name, form string, args ...any) *api.Fault {
	f := n.rejectRetryable(code, name, form, args...)
	f.After = n.retryAfter.Next(n.now(), n.counts.Completed.Load(), n.retryDelay()).Milliseconds()
	return f
}

// Serve is the door's Server.
func (n *Node) Serve(ctx context.Context, ask *api.StreamRequest, out api.Sink) error {
	return n.serve(ctx, ask, out, false)
}

// serve answers what an origin asked, or what another node passed on.
func (n *Node) serve(ctx context.Context, ask *api.StreamRequest, out api.Sink, passed bool) error {
	n.counts.Requests.Add(1)
	if ok, reason := n.Ready(); !ok {
		return n.rejectRetryable(http.StatusServiceUnavailable, "not-ready", "%s", reason)
	}
	s := n.view.Current()
	kind, ok := s.Configuration.Kinds[ask.Kind]
	switch {
	case !ok:
		return api.WriteFault(http.StatusBadRequest, "unknown", "kind", "there is no kind %q", ask.Kind)
	case ask.Model != "" && ask.Model != kind.Model:
		return api.WriteFault(http.StatusBadRequest, "unknown", "model", "kind %q runs on %q", ask.Kind, kind.Model)
	case !n.offersAdapters(s, kind.Model, ask.Adapters):
		return api.WriteFault(http.StatusBadRequest, "unknown", "adapters", "no worker offers them all")
	}
	if g := s.Register.Governs(ask.Kind); g != "" {
		if _, err := n.clearance(g, certification.Subject{Node: n.options.Name}, ""); err != nil && !passed {
			return n.forward(ctx, s, g, ask, out)
		} else if err != nil {
			return n.rejectRetryable(http.StatusServiceUnavailable, "not-certified", "%v", err)
		}
	}
	if f := ask.Check(kind.Claimed, kind.MaxTokens, kind.MaxPrompt); f != nil {
		return f
	}
	if ask.MaxTokens == 0 {
		ask.MaxTokens = kind.MaxTokens
	}
	leave, f := n.admit(s, ask.Kind)
	if f != nil {
		return f
	}
	defer leave()
	t := &handoff.Task{
		Kind:        ask.Kind,
		Regime:      s.Register.Governs(ask.Kind),
		Zone:        n.self.Zone,
		Claimed:     kind.Claimed,
		MaxAttempts: s.Configuration.Limits.Attempts,
		GiveUp:      s.Configuration.Limits.GiveUp(),
	}
	t.Identity = workerclient.Identity{
		Prompt: ask.Tokens(),
		Model:  workerclient.Model{Name: kind.Model, Adapters: ask.Adapters},
		Params: workerclient.Params{MaxTokens: ask.MaxTokens, Temperature: ask.Temperature, Seed: ask.Seed},
	}
	t.Identity.ID.Request = coordination.NewID()
	if !kind.Claimed {
		return n.runUnclaimed(ctx, s, t, out)
	}
	return n.runClaimed(ctx, s, t, ask, out)
}

func (n *Node) offersAdapters(s *fleetstate.Snapshot, model string, want []string) bool {
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

// admit bounds the streams carried at once. Once a node is half full, a kind
// may take no more than its share by weight, so a crowd of one cannot shut out
// the other.
func (n *Node) admit(s *fleetstate.Snapshot, kind string) (func(), *api.Fault) {
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
		return nil, n.rejectForCapacity(http.StatusTooManyRequests, "crowded", "%d streams are carried here", all-1)
	}
	return leave, nil
}

// programsAt gives the programs of a snapshot.
func (n *Node) programsAt(s *fleetstate.Snapshot) *routing.ProgramSet {
	if v, ok := n.programSets.Load(s.Version); ok {
		return v.(*routing.ProgramSet)
	}
	d, _ := routing.NewProgramSet(nil, 0, n.scores)
	return d
}

func (n *Node) newController(s *fleetstate.Snapshot, t *handoff.Task) (*handoff.Controller, *transport, *routing.Score) {
	programs := n.programsAt(s)
	h := &transport{
		node:     n,
		snapshot: s,
		programs: programs,
		kind:     t.Kind,
		regime:   t.Regime,
		prefix:   routing.Prefix(t.Identity.Prompt, s.Configuration.Limits.PrefixTokens),
	}
	return &handoff.Controller{
			Transport:     h,
			Clock:         n.options.Host.Clock,
			OrphanTimeout: n.options.OrphanTimeout,
			StreamTimeout: n.options.StreamTimeout,
			Trace:         n.journal.Append,
		}, h,
		n.scores.Of(programs.ProgramFor(t.Identity.ID.Request))
}

// runUnclaimed runs a request that needs no claim.
func (n *Node) runUnclaimed(ctx context.Context, s *fleetstate.Snapshot, t *handoff.Task, out api.Sink) error {
	c, h, score := n.newController(s, t)
	start, count := n.now(), 0
	var known error
	if t.Regime != "" {
		t.Claim = func(ids.WorkerID, ids.Incarnation) error {
			known = h.recordStart(ctx, t.Identity.ID.Request)
			return known
		}
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
	h.recordEnd(t.Identity.ID.Request, err, count)
	return n.finishStream(err, count, score, out)
}

// finishStream says how a stream ended; only a whole one looks complete.
func (n *Node) finishStream(err error, count int, score *routing.Score, out api.Sink) error {
	switch {
	case err == nil:
		n.counts.Completed.Add(1)
		score.Done.Add(1)
		return out.Put(api.StreamEvent{Index: count, End: api.Complete, Count: count})
	case failure.Is(err, failure.InvalidArgument):
		return api.WriteFault(http.StatusBadRequest, "refused", "", "%v", err)
	case count == 0:
		score.Bounced.Add(1)
		return n.rejectForCapacity(http.StatusServiceUnavailable, "bounced", "%v", err)
	}
	n.counts.Aborted.Add(1)
	score.Broken.Add(1)
	n.options.Ring.Info().AnErr("cause", err).Int("tokens", count).Msg("stream aborted")
	return out.Put(api.StreamEvent{
		Index: count,
		End:   api.Broken,
		Count: count,
		Error: &workerclient.Rejection{Name: "broken", Detail: err.Error(), After: n.retryDelay().Milliseconds()},
	})
}

// errReplayed ends a task whose answer came from the record.
var errReplayed = errors.New("answered from the record")
