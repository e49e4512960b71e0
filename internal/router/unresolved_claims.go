// Unresolved claims: what a node owes the core's records. A claim whose fate was not learnt
// in time, or an outcome that could not be recorded while the core was away, is
// asked again with the same operation until it is known; so no key stays claimed
// by a node that lives and does not run it.

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

type unresolvedClaim struct {
	op      ids.OpID
	claim   *fleetstate.Claim
	resolve *fleetstate.Resolve
	audit   []byte
}

type unresolvedClaims struct {
	mu     sync.Mutex
	claims []unresolvedClaim
}

func (d *unresolvedClaims) add(one unresolvedClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims = append(d.claims, one)
}

func (d *unresolvedClaims) all() []unresolvedClaim {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.claims
	d.claims = nil
	return out
}

func (n *Node) resolveLoop(ctx context.Context) {
	for host.Sleep(ctx, 250*time.Millisecond) {
		for _, d := range n.unresolved.all() {
			if !n.resolveClaim(ctx, d) {
				n.unresolved.add(d)
			}
		}
	}
}

// resolveClaim tells whether nothing more is owed.
func (n *Node) resolveClaim(ctx context.Context, d unresolvedClaim) bool {
	if d.audit != nil {
		callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		err := n.audit(callContext, d.op, d.audit)
		return err == nil || failure.Is(err, failure.InvalidArgument)
	}
	if d.resolve == nil {
		callContext, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		r, err := n.agent.Submit(callContext, d.op, fleetstate.ClaimKind, coordination.MustMarshal(d.claim))
		if err != nil {
			return failure.Is(err, failure.Stale) || failure.Is(err, failure.InvalidArgument)
		}
		var got fleetstate.ClaimReply
		if _, err := got.UnmarshalMsg(r.Body); err != nil || !got.Fresh {
			return true
		}
		// It was claimed for nothing: nothing ran, and now nothing can.
		d.resolve = &fleetstate.Resolve{Key: d.claim.Key, Owner: n.self.Node, Outcome: fleetstate.OutcomeNotRun}
	}
	err := n.resolve(d.resolve)
	return err == nil || failure.Is(err, failure.Stale)
}
