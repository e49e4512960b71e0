// This file enforces certification regimes. A regime governs some kinds of requests, which only
// nodes and workers with a valid certificate for it may handle. Such a certificate authorizes a node,
// or a worker in one role. A worker or node that the certificate register does not authorize is no
// candidate, gets no orders, and its running steps are canceled at once.

package router

import (
	"context"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
)

// guardInterval is how often the authorization of a running step is checked again.
const guardInterval = 50 * time.Millisecond

// authorizeStep checks that this node, and a worker in a role, may handle the requests of a regime
// now, and returns the serial of the worker's certificate. A request without a regime, or whose
// regime has been removed, needs no certificate.
func (n *Node) authorizeStep(regime string, w ids.WorkerID, role ids.Role) (string, error) {
	if regime == "" || !n.view.Current().Register.HasRegime(regime) {
		return "", nil
	}
	if _, err := n.authorize(regime, certification.Subject{Node: n.options.Name}, ""); err != nil {
		return "", err
	}
	return n.authorize(regime, certification.Subject{Worker: w}, role)
}

// currentRegime returns the regime that governs the request under a snapshot: the one that governs
// its kind there, else the one that the request started under.
func (t *transport) currentRegime(s *fleetstate.Snapshot) string {
	if regime := s.Register.RegimeOf(t.kind); regime != "" {
		t.regime = regime
	}
	return t.regime
}

// fitsWithHeadroom reports whether a worker has capacity for a request without a regime that needs
// the given number of blocks, in addition to the headroom that the worker keeps free for requests
// under a regime.
func (n *Node) fitsWithHeadroom(s *fleetstate.Snapshot, st WorkerStatus, blocks int) bool {
	if s.Register == nil {
		return true
	}
	headroomPercent := s.Register.ReservedPercent(st.ID, st.Role, n.fleetTime())
	return st.Free-blocks >= st.Capacity*headroomPercent/100 &&
		(headroomPercent == 0 || st.InFlight < handoff.LimitWithHeadroom(st.MaxConcurrent, headroomPercent))
}

// authorizeOrder checks an order for a request under a regime: the register must authorize this node,
// the worker and, for an import of KV memory, also the source. It returns the serial of the worker's
// certificate.
func (n *Node) authorizeOrder(request *OrderRequest) (string, error) {
	switch request.Verb {
	case verbReserve, verbPrefill, verbExport, verbImport, verbResume:
	default:
		return "", nil // cancelling and freeing are always allowed
	}
	serial, err := n.authorizeStep(request.Regime, request.Worker, request.Role)
	if err != nil {
		return "", failure.Wrap(err, request.Verb, string(request.Worker))
	}
	if request.Verb == verbImport {
		if _, err := n.authorizeStep(request.Regime, request.Source, ids.Prefill); err != nil {
			return "", failure.As(err, failure.DataLost, request.Verb, string(request.Source))
		}
	}
	return serial, nil
}

// guardStep returns a context that is canceled as soon as the worker, or the source of its KV
// memory, is no longer authorized. The returned function ends the check; it replaces an error that
// results from such a cancellation by one that names the cause.
func (t *transport) guardStep(
	ctx context.Context,
	w ids.WorkerID,
	role ids.Role,
	source ids.WorkerID,
) (context.Context, func(error) error) {
	if t.regime == "" {
		return ctx, func(err error) error { return err }
	}
	ctx, stop := context.WithCancelCause(ctx)
	go func() {
		for host.Sleep(ctx, guardInterval) {
			_, err := t.node.authorizeStep(t.regime, w, role)
			if err == nil && source != "" {
				_, err = t.node.authorizeStep(t.regime, source, ids.Prefill)
			}
			if err != nil {
				stop(err)
				return
			}
		}
	}()
	return ctx, func(err error) error {
		cause := context.Cause(ctx)
		stop(nil)
		if err != nil && cause != nil && failure.Step(cause) == "clear" {
			return failure.As(cause, failure.DataLost, "governed step", string(w))
		}
		return err
	}
}

// Authorize checks that a subject may handle a regime's work in a role now, as this node knows it,
// and returns the serial of its certificate.
func (n *Node) Authorize(regime string, s certification.Subject, role ids.Role) (string, error) {
	return n.authorize(regime, s, role)
}

// Forwarded returns how many requests this node forwarded to another node.
func (n *Node) Forwarded() int64 { return n.counts.Forwarded.Load() }
