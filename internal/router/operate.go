// What operators may ask of a node: configurations, evacuations, drains, and
// how things stand.

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

// Operation ids are remembered by class, which stands before the slash: however many marks of
// one kind there are, the ids of configurations and of the other kinds are not pushed out.
const (
	configurationOps = "op/"
	evacuationOps    = "zone/"
	drainOps         = "drain/"
	revocationOps    = "revoke/"
)

// markOps gives the class of the operations that set a mark.
func markOps(kind string) string {
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

// Apply checks the whole configuration before anything is written; then the
// core takes it if it was made over the newest version.
func (n *Node) Apply(ctx context.Context, a *api.ApplyRequest) (*api.ApplyResponse, error) {
	name := cmp.Or(a.Name, "policy")
	var base []byte
	text, err := fleetstate.Source(name, []byte(a.Source))
	if err != nil {
		return nil, err
	}
	if a.Partial {
		s := n.view.Current()
		for wait := 0; uint64(s.Version) < a.Base && wait < 40 && host.Sleep(ctx, 50*time.Millisecond); wait++ {
			s = n.view.Current()
		}
		if uint64(s.Version) != a.Base {
			// The base has moved on, perhaps by this very operation.
			callContext, stop := context.WithTimeout(ctx, 5*time.Second)
			defer stop()
			r, err := n.agent.Submit(callContext, ids.OpID(configurationOps+a.Op), fleetstate.QueryKind, nil)
			if err == nil {
				return n.versionApplied(ctx, r, true)
			}
			if !failure.Is(err, failure.Stale) {
				return nil, n.outcomeOf(err)
			}
			return nil, n.refuseStale(a.Base, s)
		}
		base = s.Text
	}
	p, complete, err := fleetstate.Draft(name, a.Source, text, base, a.Partial)
	if err != nil {
		return nil, err
	}
	now := n.clock()
	if now.High == 0 {
		now = certification.At(n.options.Host.Clock.Wall()) // where the fleet's time will begin
	}
	if err := p.CheckTransition(n.view.Current().Configuration, now); err != nil {
		return nil, fleetstate.LocateFault(name, []byte(a.Source), err)
	}
	if a.Dry {
		return &api.ApplyResponse{Version: a.Base, Policy: complete}, nil
	}
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(
		callContext,
		ids.OpID(configurationOps+a.Op),
		fleetstate.PrepareKind,
		coordination.MustMarshal(&fleetstate.PrepareVersion{
			Base: ids.Version(a.Base),
			Text: complete,
		}),
	)
	if err != nil {
		if failure.Is(err, failure.Stale) {
			return nil, n.refuseStale(a.Base, n.view.Current())
		}
		return nil, n.outcomeOf(err)
	}
	return n.versionApplied(ctx, r, true)
}

func (n *Node) refuseStale(base uint64, s *fleetstate.Snapshot) error {
	return api.Stale(base, uint64(max(s.Newest, s.Version)))
}

// outcomeOf tells an operator whether a thing was surely not done.
func (n *Node) outcomeOf(err error) error { return api.OutcomeEvent(err, n.after()) }

// versionApplied waits a while until this node has put the answer's version in force.
func (n *Node) versionApplied(
	ctx context.Context,
	r *coordination.SubmitResponse,
	wait bool,
) (*api.ApplyResponse, error) {
	var got fleetstate.VersionReply
	if _, err := got.UnmarshalMsg(r.Body); err != nil {
		return nil, failure.As(err, failure.OutcomeUnknown, "read ruling", "core")
	}
	for range 80 {
		if n.agent.Seq() >= r.Seq && (!wait || n.view.Current().Version >= got.Version) {
			return &api.ApplyResponse{Version: uint64(got.Version), Active: true}, nil
		}
		if !host.Sleep(ctx, 25*time.Millisecond) {
			break
		}
	}
	return &api.ApplyResponse{Version: uint64(got.Version)}, nil
}

func (n *Node) mark(ctx context.Context, op, kind string, body []byte) (*api.ApplyResponse, error) {
	callContext, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := n.agent.Submit(callContext, ids.OpID(markOps(kind)+op), kind, body)
	if err != nil {
		return nil, n.outcomeOf(err)
	}
	return n.versionApplied(ctx, r, false)
}

// Evacuate empties a zone of new work, or takes that back.
func (n *Node) Evacuate(ctx context.Context, zone string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	known := false
	for _, z := range n.view.Current().Configuration.Zones {
		known = known || string(z) == zone
	}
	if !known {
		return nil, api.WriteFault(http.StatusNotFound, "unknown", "zone", "there is no zone %q", zone)
	}
	return n.mark(ctx, m.Op, fleetstate.EvacuateKind, coordination.MustMarshal(&fleetstate.Evacuate{
		Zone:      ids.Zone(zone),
		Evacuated: m.Out,
	}))
}

// Drain keeps new work from a worker, or takes that back.
func (n *Node) Drain(ctx context.Context, worker string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	if _, ok := n.view.Current().Configuration.Workers[ids.WorkerID(worker)]; !ok {
		return nil, api.WriteFault(http.StatusNotFound, "unknown", "worker", "there is no worker %q", worker)
	}
	return n.mark(ctx, m.Op, fleetstate.DrainKind, coordination.MustMarshal(&fleetstate.Drain{
		Worker:  ids.WorkerID(worker),
		Drained: m.Out,
	}))
}

// Shown gives operators what Show does.
func (n *Node) Shown(context.Context) (*api.Shown, error) { return n.Show(), nil }

// Show gives the configuration in force.
func (n *Node) Show() *api.Shown {
	s := n.view.Current()
	out := &api.Shown{
		Version: uint64(s.Version),
		Newest:  uint64(max(s.Newest, s.Version)),
		Policy:  s.Text,
		Zones:   []string{},
		Drained: []string{},
	}
	if len(out.Policy) == 0 {
		out.Policy = []byte("{}")
	}
	for z := range s.Zones {
		out.Zones = append(out.Zones, string(z))
	}
	for w := range s.Drained {
		out.Drained = append(out.Drained, string(w))
	}
	sort.Strings(out.Zones)
	sort.Strings(out.Drained)
	return out
}

// NodeStatus is the answer of status.
type NodeStatus struct {
	Node      ids.NodeID                `json:"node"`
	Zone      ids.Zone                  `json:"zone"`
	Ready     bool                      `json:"ready"`
	Why       string                    `json:"why,omitempty"`
	Version   ids.Version               `json:"version"`
	Seq       ids.Seq                   `json:"seq"`
	Core      coordination.Record       `json:"core"`
	Members   []coordination.Member     `json:"members"`
	Holds     []ids.Key                 `json:"holds"`
	Workers   []WorkerStatus            `json:"workers"`
	Counts    map[string]int64          `json:"counts"`
	Programs  map[string]map[string]any `json:"programs"`
	Last      []handoff.Event           `json:"last"`
	Listed    map[ids.WorkerID]ids.Zone `json:"listed"`
	Evacuated []string                  `json:"evacuated"`
	Drained   []string                  `json:"drained"`
	Deeds     [2]int                    `json:"deeds"` // claimed so far, and how many may ever be
	Time      certification.Now         `json:"time"`  // what the fleet's time may be; zeros without regimes
	Revoked   []string                  `json:"revoked,omitempty"`
}

// Status tells how the node stands.
func (n *Node) Status() any {
	ok, reason := n.Ready()
	sh := n.Show()
	st := &NodeStatus{
		Node:      n.self.Node,
		Zone:      n.self.Zone,
		Ready:     ok,
		Why:       reason,
		Version:   n.view.Current().Version,
		Seq:       n.agent.Seq(),
		Core:      n.agent.Directory().Record(),
		Members:   n.agent.Members(),
		Programs:  map[string]map[string]any{},
		Listed:    map[ids.WorkerID]ids.Zone{},
		Evacuated: sh.Zones,
		Drained:   sh.Drained,
		Workers:   []WorkerStatus{},
		Holds:     []ids.Key{},
	}
	for _, g := range n.agent.OwnedKeys() {
		st.Holds = append(st.Holds, g.Key)
	}
	sort.Slice(st.Holds, func(i, j int) bool { return st.Holds[i] < st.Holds[j] })
	for _, s := range *n.workerStatus.Load() {
		st.Workers = append(st.Workers, s)
	}
	sort.Slice(st.Workers, func(i, j int) bool { return st.Workers[i].ID < st.Workers[j].ID })
	for id, l := range *n.endpoints.Load() {
		st.Listed[id] = l.Zone
	}
	st.Counts = n.countsByName()
	n.scores.Each(func(name string, s *routing.Score) {
		st.Programs[name] = map[string]any{
			"picks":       s.Picks.Load(),
			"fallbacks":   s.Fallbacks.Load(),
			"agreed":      s.Agreed.Load(),
			"turnsAsked":  s.ProposalsAsked.Load(),
			"turnsWished": s.Proposals.Load(),
			"done":        s.Done.Load(),
			"broken":      s.Broken.Load(),
			"bounced":     s.Bounced.Load(),
			"firstP50Ms":  float64(s.Quantile(0.5)) / 1e6,
			"firstP99Ms":  float64(s.Quantile(0.99)) / 1e6,
		}
	})
	st.Last, _ = n.journal.Last(8)
	st.Deeds[0], st.Deeds[1] = n.view.RecordCount()
	st.Time, st.Revoked = n.clock(), slices.Sorted(maps.Keys(n.view.Current().Revoked))
	return st
}

// countsByName gives the counters under the names that /v1/status has for them.
func (n *Node) countsByName() map[string]int64 {
	c := &n.counts
	return map[string]int64{
		"asked":    c.Asked.Load(),
		"done":     c.Done.Load(),
		"bounced":  c.Bounced.Load(),
		"broken":   c.Broken.Load(),
		"unsure":   c.Unsure.Load(),
		"replayed": c.Replayed.Load(),
		"moved":    c.Moved.Load(),
		"again":    c.Again.Load(),
		"turned":   c.Turned.Load(),
		"passed":   c.Passed.Load(),
		"inflight": n.inflight.Load(),
	}
}
