// This file implements the operator API of a node: configurations, evacuations, drains and status.

package router

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/handoff"
	"keelstair.example/internal/routing"
)

// These are prefixes of operation ids. The core remembers ids by the class before the slash, so
// that many operations of one class don't evict the remembered ids of another.
const (
	configurationOps = "op/"
	evacuationOps    = "zone/"
	drainOps         = "drain/"
	revocationOps    = "revoke/"
)

// opClass returns the prefix of the operation ids of a command kind.
func opClass(kind string) string {
	switch kind {
	case fleetstate.EvacuateKind:
		return evacuationOps
	case fleetstate.DrainKind:
		return drainOps
	case fleetstate.RevokeKind:
		return revocationOps
	}
	return configurationOps
}

// Apply validates the whole configuration before anything is written. The core then accepts it if
// its base is the newest version.
func (n *Node) Apply(ctx context.Context, a *api.ApplyRequest) (*api.ApplyResponse, error) {
	name := cmp.Or(a.Name, "policy")
	var base []byte
	text, err := fleetstate.CUEToJSON(name, []byte(a.Source))
	if err != nil {
		return nil, err
	}
	if a.Partial {
		s := n.view.Current()
		for wait := 0; uint64(s.Version) < a.BaseVersion && wait < 40 && host.Sleep(ctx, 50*time.Millisecond); wait++ {
			s = n.view.Current()
		}
		if uint64(s.Version) != a.BaseVersion {
			// The version has changed since the base, perhaps by an earlier attempt of this operation.
			callContext, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			r, err := n.agent.Submit(callContext, ids.OpID(configurationOps+a.Op), fleetstate.QueryKind, nil)
			if err == nil {
				return n.awaitApplied(ctx, r, true)
			}
			if !failure.Is(err, failure.Stale) {
				return nil, n.operatorError(err)
			}
			return nil, n.staleError(a.BaseVersion, s)
		}
		base = s.Text
	}
	configuration, complete, err := fleetstate.ParseUpdate(name, a.Source, text, base, a.Partial)
	if err != nil {
		return nil, err
	}
	now := n.fleetTime()
	if now.High == 0 {
		now = certification.ExactTime(n.options.Host.Clock.Wall()) // the fleet time will start here
	}
	if err := configuration.CheckCertificateChanges(n.view.Current().Configuration, now); err != nil {
		return nil, fleetstate.LocateFault(name, []byte(a.Source), err)
	}
	if a.DryRun {
		return &api.ApplyResponse{Version: a.BaseVersion, Policy: complete}, nil
	}
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(
		callContext,
		ids.OpID(configurationOps+a.Op),
		fleetstate.PrepareKind,
		coordination.MustMarshal(&fleetstate.PrepareVersion{
			Base: ids.Version(a.BaseVersion),
			Text: complete,
		}),
	)
	if err != nil {
		if failure.Is(err, failure.Stale) {
			return nil, n.staleError(a.BaseVersion, n.view.Current())
		}
		return nil, n.operatorError(err)
	}
	return n.awaitApplied(ctx, r, true)
}

// staleError returns the error response for a configuration whose base is not the newest version.
func (n *Node) staleError(base uint64, s *fleetstate.Snapshot) error {
	return api.Stale(base, uint64(max(s.NewestReceivedVersion, s.Version)))
}

// operatorError returns the error response for a failed operation. The response states whether it
// is certain that the operation had no effect.
func (n *Node) operatorError(err error) error { return api.SubmitError(err, n.retryDelay()) }

// awaitApplied waits up to two seconds until this node has applied the operation and, if wait is
// set, until the version in the reply is in force here. Active is set if it was.
func (n *Node) awaitApplied(
	ctx context.Context,
	r *coordination.SubmitResponse,
	wait bool,
) (*api.ApplyResponse, error) {
	var reply fleetstate.VersionReply
	if _, err := reply.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.OutcomeUnknown, "read ruling", "core")
	}
	for range 80 {
		if n.agent.Seq() >= r.Seq && (!wait || n.view.Current().Version >= reply.Version) {
			return &api.ApplyResponse{Version: uint64(reply.Version), Active: true}, nil
		}
		if !host.Sleep(ctx, 25*time.Millisecond) {
			break
		}
	}
	return &api.ApplyResponse{Version: uint64(reply.Version)}, nil
}

// submitMark submits an operation that sets or clears a mark, such as a drain.
func (n *Node) submitMark(ctx context.Context, op, kind string, body []byte) (*api.ApplyResponse, error) {
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(callContext, ids.OpID(opClass(kind)+op), kind, body)
	if err != nil {
		return nil, n.operatorError(err)
	}
	return n.awaitApplied(ctx, r, false)
}

// Evacuate stops new work in a zone, or allows it again.
func (n *Node) Evacuate(ctx context.Context, zone string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	known := false
	for _, z := range n.view.Current().Configuration.Zones {
		known = known || string(z) == zone
	}
	if !known {
		return nil, api.NewFault(http.StatusNotFound, "unknown", "zone", "there is no zone %q", zone)
	}
	return n.submitMark(ctx, m.Op, fleetstate.EvacuateKind, coordination.MustMarshal(&fleetstate.Evacuate{
		Zone:      ids.Zone(zone),
		Evacuated: m.Out,
	}))
}

// Drain stops new work at a worker, or allows it again.
func (n *Node) Drain(ctx context.Context, worker string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	if _, ok := n.view.Current().Configuration.Workers[ids.WorkerID(worker)]; !ok {
		return nil, api.NewFault(http.StatusNotFound, "unknown", "worker", "there is no worker %q", worker)
	}
	return n.submitMark(ctx, m.Op, fleetstate.DrainKind, coordination.MustMarshal(&fleetstate.Drain{
		Worker:  ids.WorkerID(worker),
		Drained: m.Out,
	}))
}

// ActivePolicy returns the result of CurrentPolicy for the operator API.
func (n *Node) ActivePolicy(context.Context) (*api.ActivePolicy, error) {
	return n.CurrentPolicy(), nil
}

// CurrentPolicy returns the configuration in force, the evacuated zones and the drained workers.
func (n *Node) CurrentPolicy() *api.ActivePolicy {
	s := n.view.Current()
	out := &api.ActivePolicy{
		Version:        uint64(s.Version),
		Newest:         uint64(max(s.NewestReceivedVersion, s.Version)),
		Policy:         s.Text,
		EvacuatedZones: []string{},
		DrainedWorkers: []string{},
	}
	if len(out.Policy) == 0 {
		out.Policy = []byte("{}")
	}
	for z := range s.EvacuatedZones {
		out.EvacuatedZones = append(out.EvacuatedZones, string(z))
	}
	for w := range s.DrainedWorkers {
		out.DrainedWorkers = append(out.DrainedWorkers, string(w))
	}
	sort.Strings(out.EvacuatedZones)
	sort.Strings(out.DrainedWorkers)
	return out
}

// NodeStatus is the response of /v1/status.
type NodeStatus struct {
	Node          ids.NodeID                `json:"node"`
	Zone          ids.Zone                  `json:"zone"`
	Ready         bool                      `json:"ready"`
	Reason        string                    `json:"why,omitempty"`
	Version       ids.Version               `json:"version"`
	Seq           ids.Seq                   `json:"seq"`
	Core          coordination.Record       `json:"core"`
	Members       []coordination.Member     `json:"members"`
	OwnedKeys     []ids.Key                 `json:"holds"`
	Workers       []WorkerStatus            `json:"workers"`
	Counts        map[string]int64          `json:"counts"`
	Programs      map[string]map[string]any `json:"programs"`
	RecentEvents  []handoff.Event           `json:"last"`
	ListedWorkers map[ids.WorkerID]ids.Zone `json:"listed"`
	Evacuated     []string                  `json:"evacuated"`
	Drained       []string                  `json:"drained"`
	Records       [2]int                    `json:"deeds"` // idempotency keys claimed so far, and the maximum
	FleetTime     certification.TimeBounds  `json:"time"`  // bounds of the fleet time; zeros without regimes
	Revoked       []string                  `json:"revoked,omitempty"`
}

// Status returns the node's NodeStatus.
func (n *Node) Status() any {
	ok, reason := n.Ready()
	policy := n.CurrentPolicy()
	st := &NodeStatus{
		Node:          n.self.Node,
		Zone:          n.self.Zone,
		Ready:         ok,
		Reason:        reason,
		Version:       n.view.Current().Version,
		Seq:           n.agent.Seq(),
		Core:          n.agent.Directory().Record(),
		Members:       n.agent.Members(),
		Programs:      map[string]map[string]any{},
		ListedWorkers: map[ids.WorkerID]ids.Zone{},
		Evacuated:     policy.EvacuatedZones,
		Drained:       policy.DrainedWorkers,
		Workers:       []WorkerStatus{},
		OwnedKeys:     []ids.Key{},
	}
	for _, owned := range n.agent.OwnedKeys() {
		st.OwnedKeys = append(st.OwnedKeys, owned.Key)
	}
	sort.Slice(st.OwnedKeys, func(i, j int) bool { return st.OwnedKeys[i] < st.OwnedKeys[j] })
	for _, s := range *n.workerStatuses.Load() {
		st.Workers = append(st.Workers, s)
	}
	sort.Slice(st.Workers, func(i, j int) bool { return st.Workers[i].ID < st.Workers[j].ID })
	for id, endpoint := range *n.endpoints.Load() {
		st.ListedWorkers[id] = endpoint.Zone
	}
	st.Counts = n.countsByName()
	n.scores.Each(func(name string, s *routing.Score) {
		st.Programs[name] = map[string]any{
			"picks":       s.Runs.Load(),
			"fallbacks":   s.Fallbacks.Load(),
			"agreed":      s.Agreed.Load(),
			"turnsAsked":  s.RoleChangeCalls.Load(),
			"turnsWished": s.RoleChangeProposals.Load(),
			"done":        s.Completed.Load(),
			"broken":      s.Aborted.Load(),
			"bounced":     s.NotExecuted.Load(),
			"firstP50Ms":  float64(s.FirstTokenQuantile(0.5)) / 1e6,
			"firstP99Ms":  float64(s.FirstTokenQuantile(0.99)) / 1e6,
		}
	})
	st.RecentEvents, _ = n.journal.Last(8)
	st.Records[0], st.Records[1] = n.view.RecordCount()
	st.FleetTime, st.Revoked = n.fleetTime(), slices.Sorted(maps.Keys(n.view.Current().RevokedSerials))
	return st
}

// countsByName returns the counters under the names that /v1/status uses.
func (n *Node) countsByName() map[string]int64 {
	c := &n.counts
	return map[string]int64{
		"asked":    c.Requests.Load(),
		"done":     c.Completed.Load(),
		"bounced":  c.Rejected.Load(),
		"broken":   c.Aborted.Load(),
		"unsure":   c.OutcomeUnknown.Load(),
		"replayed": c.Replayed.Load(),
		"moved":    c.HandedOver.Load(),
		"again":    c.Reattempts.Load(),
		"turned":   c.RoleChanges.Load(),
		"passed":   c.Forwarded.Load(),
		"inflight": n.inflight.Load(),
	}
}
