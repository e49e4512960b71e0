// This file resolves the claims of dead nodes and keeps the shared retry budget. One node holds the
// resolution duty: it takes over each such claim under its fencing token, cancels the request on
// the worker that may run it, and records the outcome that the worker reports. The retry budget is
// a token bucket shared by all nodes and kept by the holder of its key; it starts empty when the
// key moves to another node.

package router

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/workerclient"
)

// resolutionLoop takes over the open claims of dead nodes while this node holds the resolution key.
func (n *Node) resolutionLoop(ctx context.Context) {
	for host.Sleep(ctx, 300*time.Millisecond) {
		fence, end, ok := n.agent.BeginOperation(fleetstate.ClaimResolutionKey)
		if !ok {
			continue
		}
		live := map[ids.NodeID]bool{}
		for _, m := range n.agent.Members() {
			live[m.Node] = true
		}
		for _, claim := range n.view.OpenClaims() {
			if !live[claim.Owner] {
				n.takeOverClaim(ctx, claim, fence)
			}
		}
		end()
	}
}

// takeOverClaim takes over the claim of a dead node and records its outcome.
func (n *Node) takeOverClaim(ctx context.Context, claim fleetstate.IdempotencyRecord, fence ids.Fence) {
	callContext, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	takeOver := &fleetstate.TakeOver{Key: claim.Key, From: claim.Owner, To: n.self.Node, Fence: fence}
	r, err := n.agent.Submit(callContext, "", fleetstate.TakeOverKind, coordination.MustMarshal(takeOver))
	if err != nil {
		return
	}
	// The record in the coordination service says on which worker the request may run; the local
	// view may be behind.
	if _, err := claim.UnmarshalMsg(r.Body); err != nil {
		return
	}
	outcome, answer := n.queryOutcome(ctx, &claim)
	resolution := &fleetstate.Resolve{
		Key:     claim.Key,
		Owner:   n.self.Node,
		Outcome: outcome,
		Answer:  answer,
		Audit:   n.takeoverAuditRecord(&claim, outcome),
	}
	if err := n.submitResolution(resolution); err != nil {
		n.options.Ring.Warn().AnErr("cause", err).Str("key", claim.Key).
			Msg("failed to resolve the claim of a dead node, will retry")
	}
}

// queryOutcome permanently cancels a request at the one worker that may run it and returns the
// outcome that the worker reports, with the answer if it completed. If the worker cannot be
// reached, or has restarted since, the outcome is that the request may have run.
func (n *Node) queryOutcome(ctx context.Context, claim *fleetstate.IdempotencyRecord) (string, []byte) {
	if _, ok := (*n.endpoints.Load())[claim.Worker]; !ok {
		return fleetstate.OutcomeMayHaveRun, nil
	}
	tr := &transport{node: n, snapshot: n.view.Current()}
	for range 4 {
		response, err := tr.Cancel(ctx, claim.Worker, workerclient.ID{Request: RequestIDForKey(claim.Key), Attempt: 1 << 20})
		switch {
		case err != nil:
			if !host.Sleep(ctx, 500*time.Millisecond) {
				return fleetstate.OutcomeMayHaveRun, nil
			}
		case response.Incarnation != claim.Incarnation:
			return fleetstate.OutcomeMayHaveRun, nil
		case response.Done && !n.mayReadOutcome(claim.Key):
			return fleetstate.OutcomeMayHaveRun, nil
		case response.Done:
			texts := append(response.Texts, make([]string, len(response.Output))...)
			answer, _ := json.Marshal(storedAnswer{response.Output, texts[:len(response.Output)]})
			return fleetstate.OutcomeDone, answer
		case response.Fate == workerclient.FateNotStarted:
			return fleetstate.OutcomeNotRun, nil
		default:
			return fleetstate.OutcomeMayHaveRun, nil
		}
	}
	return fleetstate.OutcomeMayHaveRun, nil
}

// mayReadOutcome reports whether this node may read the outcome of a claimed request. If a regime
// governs the request, the node must be certified for it.
func (n *Node) mayReadOutcome(key string) bool {
	kind, _, _ := strings.Cut(key, "/")
	regime := n.view.Current().Register.RegimeOf(kind)
	if regime == "" {
		return true
	}
	_, err := n.authorize(regime, certification.Subject{Node: n.options.Name}, "")
	return err == nil
}

// retryBucket is the token bucket of the shared retry budget. It is valid for one fencing token.
type retryBucket struct {
	mu         sync.Mutex
	fence      ids.Fence
	refilledAt ids.Tick
	tokens     float64
}

// handleSpendRetry takes one token from the retry budget if this node keeps the budget and a token
// is left.
func (n *Node) handleSpendRetry(_ context.Context, _ *coordination.Empty) (*RetryTokenResponse, error) {
	fence, end, ok := n.agent.BeginOperation(fleetstate.RetryBudgetKey)
	if !ok {
		return &RetryTokenResponse{}, nil
	}
	defer end()
	limits := n.view.Current().Configuration.Limits
	bucket := &n.retryBucket
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	now := n.now()
	if bucket.fence != fence {
		bucket.fence, bucket.refilledAt, bucket.tokens = fence, now, 0
	}
	bucket.tokens = min(float64(limits.RetryBurst), bucket.tokens+limits.RetryRate*now.Since(bucket.refilledAt).Seconds())
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return &RetryTokenResponse{}, nil
	}
	bucket.tokens--
	return &RetryTokenResponse{OK: true}, nil
}
