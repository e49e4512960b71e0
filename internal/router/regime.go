// What a node knows of regimes: whom its register clears at the fleet's time, and only
// while its word from the core is good; and what operators may ask of it.

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

// fleetTime gives what the fleet's time may be now.
func (n *Node) fleetTime() certification.Now {
	low, high := n.agent.Time()
	return certification.Now{Low: low, High: high}
}

// clearance gives the serial by which a subject may handle a regime's work now. Nobody may
// while this node's word is too old to know of revocations and of the time.
func (n *Node) clearance(regime string, s certification.Subject, part ids.Role) (string, error) {
	if !n.agent.Current() {
		return "", failure.New(
			failure.NotExecuted,
			"clear",
			s.String(),
			"this node's word from the core is too old for regime %q",
			regime,
		)
	}
	serial, ok := n.view.Current().Register.Clears(regime, s, part, n.fleetTime())
	if !ok {
		return "", failure.New(
			failure.NotExecuted, "clear", s.String(), "no certificate in force clears it for regime %q", regime,
		)
	}
	return serial, nil
}

// Revoke ends a certificate for good. It answers once that is in force everywhere.
func (n *Node) Revoke(ctx context.Context, serial string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	if _, ok := n.view.Current().Register.Find(serial); !ok {
		return nil, api.WriteFault(http.StatusNotFound, "unknown", "serial", "there is no certificate %q", serial)
	}
	if !m.Out {
		return nil, api.WriteFault(http.StatusBadRequest, "out-of-range", "out", "a revocation is for good")
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
	for !n.view.Current().Revoked[serial] {
		if !host.Sleep(callContext, 10*time.Millisecond) {
			return nil, api.RetryLater(
				http.StatusGatewayTimeout,
				"not-everywhere",
				n.retryDelay(),
				"the revocation is durable and not yet in force everywhere; ask again with the same op",
			)
		}
	}
	return n.awaitApplied(ctx, r, false)
}

// Regimes tells who is certified, until when, and what is short.
func (n *Node) Regimes() *api.Regimes {
	s, now := n.view.Current(), n.fleetTime()
	out := &api.Regimes{
		Version: uint64(s.Version),
		Low:     now.Low,
		High:    now.High,
		Wall:    n.options.Host.Clock.Wall().UnixNano(),
		Regimes: []api.Regime{},
	}
	for _, name := range s.Register.Regimes() {
		g := s.Configuration.Regimes[name]
		out.Regimes = append(out.Regimes, api.Regime{
			Name:  name,
			Kinds: g.Kinds,
			Keep:  g.Keep,
			Rows:  s.Register.Rows(name, now),
			Short: s.Register.Shortage(name, 1, now, n.canServe(s)),
		})
	}
	return out
}

// canServe tells whether a certificate's subject could be picked now.
func (n *Node) canServe(s *fleetstate.Snapshot) func(certification.Subject) bool {
	names := map[string]bool{}
	for _, m := range n.agent.Members() {
		if !s.Zones[m.Zone] {
			names[fleetstate.NodeName(m.Node)] = true
		}
	}
	return func(one certification.Subject) bool {
		return one.Worker != "" && n.acceptsWork(s, one.Worker) || names[one.Node]
	}
}
