// Governed work is held to its regime by mechanism: whom the register does not clear is
// no candidate, gets no order, and loses what it runs at once.

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

// guardInterval is how often a running step is held against the register.
const guardInterval = 50 * time.Millisecond

// stepClearance tells whether this node, and then a worker in a part, may handle a regime's
// work now, and gives the worker's serial. What no regime governs (any more) is allowed.
func (n *Node) stepClearance(regime string, w ids.WorkerID, part ids.Role) (string, error) {
	if regime == "" || !n.view.Current().Register.Has(regime) {
		return "", nil
	}
	if _, err := n.clearance(regime, certification.Subject{Node: n.options.Name}, ""); err != nil {
		return "", err
	}
	return n.clearance(regime, certification.Subject{Worker: w}, part)
}

// currentRegime gives the regime of a request now: the newest one that governs its kind, else
// the one that it began under.
func (h *transport) currentRegime(s *fleetstate.Snapshot) string {
	if g := s.Register.Governs(h.kind); g != "" {
		h.regime = g
	}
	return h.regime
}

// fitsBesideReserve tells whether a stand has room for so many blocks beside what its worker keeps
// for governed work.
func (n *Node) fitsBesideReserve(s *fleetstate.Snapshot, st WorkerStatus, need int) bool {
	if s.Register == nil {
		return true
	}
	keep := s.Register.RetentionOf(st.ID, st.Role, n.fleetTime())
	return st.Free-need >= st.Capacity*keep/100 && (keep == 0 || st.InFlight < handoff.Beside(st.MaxConcurrent, keep))
}

// orderClearance is the holder's: an order for governed work is given only while the register
// clears the holder itself, the worker, and where memory would move also its source. It
// gives the worker's serial.
func (n *Node) orderClearance(request *OrderRequest) (string, error) {
	switch request.Verb {
	case verbReserve, verbPrefill, verbExport, verbImport, verbResume:
	default:
		return "", nil // cancelling and freeing are always right
	}
	serial, err := n.stepClearance(request.Regime, request.Worker, request.Role)
	if err != nil {
		return "", failure.Wrap(err, request.Verb, string(request.Worker))
	}
	if request.Verb == verbImport {
		if _, err := n.stepClearance(request.Regime, request.Source, ids.Prefill); err != nil {
			return "", failure.As(err, failure.DataLost, request.Verb, string(request.Source))
		}
	}
	return serial, nil
}

// guardStep ends a step's context once the worker, or the one that memory comes from, is not
// cleared any more. The function that it gives names the cause over an error that came of
// it.
func (h *transport) guardStep(
	ctx context.Context,
	w ids.WorkerID,
	part ids.Role,
	source ids.WorkerID,
) (context.Context, func(error) error) {
	if h.regime == "" {
		return ctx, func(err error) error { return err }
	}
	ctx, stop := context.WithCancelCause(ctx)
	go func() {
		for host.Sleep(ctx, guardInterval) {
			_, err := h.node.stepClearance(h.regime, w, part)
			if err == nil && source != "" {
				_, err = h.node.stepClearance(h.regime, source, ids.Prefill)
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

// Clearance is the register's answer at this node now, for those who look on.
func (n *Node) Clearance(regime string, s certification.Subject, part ids.Role) (string, error) {
	return n.clearance(regime, s, part)
}

// Forwarded counts the requests that this node had another one serve.
func (n *Node) Forwarded() int64 { return n.counts.Forwarded.Load() }
