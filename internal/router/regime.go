// This file decides which subjects (nodes and workers) a node's certificate register authorizes at the
// current fleet time, and implements the operator API for certificates and regimes. A node authorizes no
// subject while its state from the coordination service (the core) is too old.

package router

import (
	"context"
	"net/http"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
)

// fleetTime returns the bounds of the current fleet time.
func (n *Node) fleetTime() certification.TimeBounds {
	low, high := n.agent.Time()
	return certification.TimeBounds{Low: low, High: high}
}

// authorize returns the serial of the certificate that allows a subject to handle requests of a
// regime in a role now. It authorizes no subject while this node's state from the core is too old to
// include recent revocations and the fleet time.
func (n *Node) authorize(regime string, s certification.Subject, role ids.Role) (string, error) {
	if !n.agent.Current() {
		return "", failure.New(
			failure.NotExecuted,
			"clear",
			s.String(),
			"this node's state from the core is too old for regime %q",
			regime,
		)
	}
	serial, ok := n.view.Current().Register.Authorizes(regime, s, role, n.fleetTime())
	if !ok {
		return "", failure.New(
			failure.NotExecuted, "clear", s.String(), "no certificate in force clears it for regime %q", regime,
		)
	}
	return serial, nil
}

// Revoke revokes a certificate permanently. It returns once the revocation is in force everywhere.
func (n *Node) Revoke(ctx context.Context, serial string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	if _, ok := n.view.Current().Register.Find(serial); !ok {
		return nil, api.NewFault(http.StatusNotFound, "unknown", "serial", "there is no certificate %q", serial)
	}
	if !m.Out {
		return nil, api.NewFault(http.StatusBadRequest, "out-of-range", "out", "a revocation is for good")
	}
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(
		callContext,
		ids.OpID("op/"+m.Op),
		fleetstate.RevokeKind,
		coordination.MustMarshal(&fleetstate.Revoke{Serial: serial}),
	)
	if err != nil {
		return nil, n.operatorError(err)
	}
	for !n.view.Current().RevokedSerials[serial] {
		if !host.Sleep(callContext, 10*time.Millisecond) {
			return nil, api.RetryLater(
				http.StatusGatewayTimeout,
				"not-everywhere",
				n.retryDelay(),
				"the revocation is durable but not yet in force everywhere; retry with the same op",
			)
		}
	}
	return n.awaitApplied(ctx, r, false)
}

// Regimes lists for each regime the certified subjects with their validity and the roles that lack
// a certified subject.
func (n *Node) Regimes() *api.Regimes {
	s, now := n.view.Current(), n.fleetTime()
	out := &api.Regimes{
		Version:  uint64(s.Version),
		Earliest: now.Low,
		Latest:   now.High,
		Wall:     n.options.Host.Clock.Wall().UnixNano(),
		Regimes:  []api.Regime{},
	}
	for _, name := range s.Register.RegimeNames() {
		regime := s.Configuration.Regimes[name]
		out.Regimes = append(out.Regimes, api.Regime{
			Name:            name,
			Kinds:           regime.Kinds,
			ReservedPercent: regime.ReservedPercent,
			Certificates:    s.Register.CertificateStatuses(name, now),
			Shortages:       s.Register.Shortages(name, 1, now, n.canServe(s)),
		})
	}
	return out
}

// canServe returns a function that reports whether a subject is available for new work now.
func (n *Node) canServe(s *fleetstate.Snapshot) func(certification.Subject) bool {
	nodes := map[string]bool{}
	for _, m := range n.agent.Members() {
		if !s.EvacuatedZones[m.Zone] {
			nodes[fleetstate.NodeName(m.Node)] = true
		}
	}
	return func(subject certification.Subject) bool {
		return subject.Worker != "" && n.acceptsWork(s, subject.Worker) || nodes[subject.Node]
	}
}
