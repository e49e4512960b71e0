// The product's operators' calls at a process that serves control beside a fleet of relay
// nodes: they carry the program set there. The rest of the configuration is the fleet's
// own document.

package proxy

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/rpc"
)

// Operator is a api.Operator over the core that the book knows.
type Operator struct {
	Caller    *rpc.Caller
	Directory *coordination.Directory
	Zones     []string // that there are
}

const (
	operatorTimeout    = 4 * time.Second        // for the core
	forceWait          = 2 * time.Second        // for what was taken to be in force
	operatorRetryAfter = 500 * time.Millisecond // what an operator is told
)

// Operation ids are remembered by class: however many evacuations there are, the ids of
// program sets are remembered for as many versions as the core promises.
const (
	programOps = "op/"
	zoneOps    = "zone/"
)

// Apply checks and compiles a program set before anything is written; the core takes it
// if it was made over the newest one.
func (o *Operator) Apply(ctx context.Context, a *api.ApplyRequest) (*api.ApplyResponse, error) {
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	op, name := ids.OpID(programOps+a.Op), cmp.Or(a.Name, "programs")
	text, err := fleetstate.Source(name, []byte(a.Source))
	if err != nil {
		return nil, err
	}
	var base []byte
	if a.Partial {
		img, err := fleetstate.ReadState(callContext, o.Caller, o.Directory)
		if err != nil {
			return nil, api.OutcomeEvent(err, operatorRetryAfter)
		}
		top, _ := img.ProgramSet()
		if uint64(top.Version) != a.Base {
			// The base has moved on, perhaps by this very operation.
			v, err := fleetstate.QueryOutcome(callContext, o.Caller, o.Directory, op, fleetstate.OutcomeQuery{
				Base:     ids.Version(a.Base),
				Programs: true,
			})
			if failure.Is(err, failure.Stale) {
				return nil, api.Stale(a.Base, uint64(top.Version))
			}
			return o.versionApplied(ctx, v, err)
		}
		base = fleetstate.SetText(top)
	}
	p, complete, err := fleetstate.Draft(name, a.Source, text, base, a.Partial)
	if err == nil {
		err = p.CheckSet()
	}
	if err != nil {
		return nil, err
	}
	if a.Dry {
		return &api.ApplyResponse{Version: a.Base, Policy: complete}, nil
	}
	v, err := fleetstate.PutPrograms(callContext, o.Caller, o.Directory, op, ids.Version(a.Base), complete)
	return o.versionApplied(ctx, v, err)
}

// versionApplied waits a while until the core has put a version in force.
func (o *Operator) versionApplied(ctx context.Context, v ids.Version, err error) (*api.ApplyResponse, error) {
	if err != nil {
		return nil, api.OutcomeEvent(err, operatorRetryAfter)
	}
	callContext, stop := context.WithTimeout(ctx, forceWait)
	defer stop()
	for {
		if img, err := fleetstate.ReadState(
			callContext, o.Caller, o.Directory,
		); err == nil && img.Programs.Version >= v {
			return &api.ApplyResponse{Version: uint64(v), Active: true}, nil
		}
		if !host.Sleep(callContext, 50*time.Millisecond) {
			return &api.ApplyResponse{Version: uint64(v)}, nil
		}
	}
}

// Evacuate empties a zone of new work, or takes that back.
func (o *Operator) Evacuate(ctx context.Context, zone string, m *api.MarkRequest) (*api.ApplyResponse, error) {
	if !slices.Contains(o.Zones, zone) {
		return nil, api.WriteFault(http.StatusNotFound, "unknown", "zone", "there is no zone %q", zone)
	}
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	if err := fleetstate.SetEvacuated(
		callContext, o.Caller, o.Directory, ids.OpID(zoneOps+m.Op), ids.Zone(zone), m.Out,
	); err != nil {
		return nil, api.OutcomeEvent(err, operatorRetryAfter)
	}
	return &api.ApplyResponse{Active: true}, nil
}

// Drain is refused: which workers leave stands in the fleet's own list.
func (o *Operator) Drain(_ context.Context, worker string, _ *api.MarkRequest) (*api.ApplyResponse, error) {
	return nil, api.WriteFault(
		http.StatusNotFound,
		"unknown",
		"worker",
		"%q is not drained here; which workers leave stands in the list of workers",
		worker,
	)
}

// Revoke is refused: what runs over these routes is under no regime.
func (o *Operator) Revoke(_ context.Context, serial string, _ *api.MarkRequest) (*api.ApplyResponse, error) {
	return nil, api.WriteFault(
		http.StatusNotFound,
		"unknown",
		"certificate",
		"%q is not known here; no regime governs these routes",
		serial,
	)
}

// Regimes are none.
func (o *Operator) Regimes() *api.Regimes { return &api.Regimes{} }

// Audits are none, as nothing is governed.
func (o *Operator) Audits(context.Context, int, int) (*api.Audits, error) {
	return &api.Audits{}, nil
}

// Shown gives the program set in force.
func (o *Operator) Shown(ctx context.Context) (*api.Shown, error) {
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	img, err := fleetstate.ReadState(callContext, o.Caller, o.Directory)
	if err != nil {
		return nil, err
	}
	top, _ := img.ProgramSet()
	return &api.Shown{
		Version: uint64(img.Programs.Version),
		Newest:  uint64(top.Version),
		Policy:  fleetstate.SetText(img.Programs),
		Zones:   append([]string{}, img.EvacuatedZones...),
		Drained: append([]string{}, img.DrainedWorkers...),
	}, nil
}

// Status tells where this process believes the core to be.
func (o *Operator) Status() any {
	return map[string]any{"core": o.Directory.Record(), "zones": o.Zones}
}
