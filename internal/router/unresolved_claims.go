// This file retries submissions to the coordination service. A claim whose result did not arrive in
// time, or an outcome or audit row that could not be recorded while the service was unreachable, is
// submitted again under the same operation id until it is accepted or refused. Otherwise a key could
// stay claimed by a live node that does not run its request.

package router

import (
	"context"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// unresolvedClaim is one submission to repeat: an audit row if audit is set, else an outcome if
// resolve is set, else a claim.
type unresolvedClaim struct {
	op         ids.OpID
	claim      *fleetstate.Claim
	resolution *fleetstate.Resolve
	audit      []byte
}

// unresolvedClaims is the queue of submissions to repeat.
type unresolvedClaims struct {
	mu     sync.Mutex
	claims []unresolvedClaim
}

func (u *unresolvedClaims) add(claim unresolvedClaim) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.claims = append(u.claims, claim)
}

// takeAll empties the queue and returns what it held.
func (u *unresolvedClaims) takeAll() []unresolvedClaim {
	u.mu.Lock()
	defer u.mu.Unlock()
	claims := u.claims
	u.claims = nil
	return claims
}

// unresolvedClaimsLoop repeats the queued submissions every 250 ms.
func (n *Node) unresolvedClaimsLoop(ctx context.Context) {
	for host.Sleep(ctx, 250*time.Millisecond) {
		for _, claim := range n.unresolved.takeAll() {
			if !n.retryUnresolved(ctx, claim) {
				n.unresolved.add(claim)
			}
		}
	}
}

// retryUnresolved repeats one submission and reports whether it needs no further attempt.
func (n *Node) retryUnresolved(ctx context.Context, pending unresolvedClaim) bool {
	if pending.audit != nil {
		callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		err := n.appendAudit(callContext, pending.op, pending.audit)
		return err == nil || failure.Is(err, failure.InvalidArgument)
	}
	if pending.resolution == nil {
		callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		r, err := n.agent.Submit(callContext, pending.op, fleetstate.ClaimKind, coordination.MustMarshal(pending.claim))
		if err != nil {
			return failure.Is(err, failure.Stale) || failure.Is(err, failure.InvalidArgument)
		}
		var reply fleetstate.ClaimReply
		if _, err := reply.UnmarshalMsg(r.Body); err != nil || !reply.Fresh {
			return true
		}
		// The claim was accepted only now, after the request had been given up: it has not run and
		// can no longer run.
		pending.resolution = &fleetstate.Resolve{Key: pending.claim.Key, Owner: n.self.Node, Outcome: fleetstate.OutcomeNotRun}
	}
	err := n.submitResolution(pending.resolution)
	return err == nil || failure.Is(err, failure.Stale)
}
