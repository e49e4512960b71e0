// Debts: what a node owes the core's records. A claim whose fate was not learnt
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

type debt struct {
	op     ids.OpID
	claim  *fleetstate.Claim
	settle *fleetstate.Resolve
	audit  []byte
}

type debts struct {
	mu  sync.Mutex
	row []debt
}

func (d *debts) add(one debt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.row = append(d.row, one)
}

func (d *debts) all() []debt {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.row
	d.row = nil
	return out
}

func (n *Node) payer(ctx context.Context) {
	for host.Sleep(ctx, 250*time.Millisecond) {
		for _, d := range n.debts.all() {
			if !n.pay(ctx, d) {
				n.debts.add(d)
			}
		}
	}
}

// pay tells whether nothing more is owed.
func (n *Node) pay(ctx context.Context, d debt) bool {
	if d.audit != nil {
		cx, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		err := n.audit(cx, d.op, d.audit)
		return err == nil || failure.Is(err, failure.InvalidArgument)
	}
	if d.settle == nil {
		cx, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer stop()
		r, err := n.agent.Submit(cx, d.op, fleetstate.ClaimKind, coordination.MustMarshal(d.claim))
		if err != nil {
			return failure.Is(err, failure.Stale) || failure.Is(err, failure.InvalidArgument)
		}
		var got fleetstate.ClaimReply
		if _, err := got.UnmarshalMsg(r.Body); err != nil || !got.Fresh {
			return true
		}
		// It was claimed for nothing: nothing ran, and now nothing can.
		d.settle = &fleetstate.Resolve{Key: d.claim.Key, Owner: n.me.Node, Outcome: fleetstate.NotRun}
	}
	err := n.settle(d.settle)
	return err == nil || failure.Is(err, failure.Stale)
}
