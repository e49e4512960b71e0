// Operator API of a process that serves the control interface beside a fleet of router nodes. It
// manages the set of routing programs and the evacuation of zones. The rest of the configuration is
// in the fleet's own document.

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

// Operator implements api.Operator on the coordination service that the directory locates.
type Operator struct {
	Caller    *rpc.Caller
	Directory *coordination.Directory
	Zones     []string // all zones of the fleet
}

const (
	operatorTimeout    = 4 * time.Second        // for requests to the coordination service
	activationWait     = 2 * time.Second        // for an accepted version to take effect
	operatorRetryAfter = 500 * time.Millisecond // suggested to operators
)

// Prefixes of operation IDs. The coordination service remembers operation IDs separately by prefix,
// so that evacuations, however many there are, don't displace the IDs of program sets before the
// promised number of versions.
const (
	programOpPrefix = "op/"
	zoneOpPrefix    = "zone/"
)

// Apply checks and compiles a program set before anything is written. The coordination service accepts
// it if its base is the newest version.
func (o *Operator) Apply(ctx context.Context, request *api.ApplyRequest) (*api.ApplyResponse, error) {
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	op, name := ids.OpID(programOpPrefix+request.Op), cmp.Or(request.Name, "programs")
	text, err := fleetstate.CUEToJSON(name, []byte(request.Source))
	if err != nil {
		return nil, err
	}
	var base []byte
	if request.Partial {
		state, err := fleetstate.ReadState(callContext, o.Caller, o.Directory)
		if err != nil {
			return nil, api.SubmitError(err, operatorRetryAfter)
		}
		newest, _ := state.ProgramSet()
		if uint64(newest.Version) != request.BaseVersion {
			// The base is no longer the newest version, perhaps because of this very operation.
			version, err := fleetstate.QueryOutcome(callContext, o.Caller, o.Directory, op, fleetstate.OutcomeQuery{
				Base:     ids.Version(request.BaseVersion),
				Programs: true,
			})
			if failure.Is(err, failure.Stale) {
				return nil, api.Stale(request.BaseVersion, uint64(newest.Version))
			}
			return o.versionApplied(ctx, version, err)
		}
		base = fleetstate.ProgramSetJSON(newest)
	}
	draft, complete, err := fleetstate.ParseUpdate(name, request.Source, text, base, request.Partial)
	if err == nil {
		err = draft.CheckProgramSet()
	}
	if err != nil {
		return nil, err
	}
	if request.DryRun {
		return &api.ApplyResponse{Version: request.BaseVersion, Policy: complete}, nil
	}
	version, err := fleetstate.PutPrograms(callContext, o.Caller, o.Directory, op, ids.Version(request.BaseVersion), complete)
	return o.versionApplied(ctx, version, err)
}

// versionApplied waits up to activationWait for a version to take effect.
func (o *Operator) versionApplied(ctx context.Context, version ids.Version, err error) (*api.ApplyResponse, error) {
	if err != nil {
		return nil, api.SubmitError(err, operatorRetryAfter)
	}
	callContext, stop := context.WithTimeout(ctx, activationWait)
	defer stop()
	for {
		if state, err := fleetstate.ReadState(
			callContext, o.Caller, o.Directory,
		); err == nil && state.Programs.Version >= version {
			return &api.ApplyResponse{Version: uint64(version), Active: true}, nil
		}
		if !host.Sleep(callContext, 50*time.Millisecond) {
			return &api.ApplyResponse{Version: uint64(version)}, nil
		}
	}
}

// Evacuate stops sending new work to a zone, or resumes it.
func (o *Operator) Evacuate(ctx context.Context, zone string, request *api.MarkRequest) (*api.ApplyResponse, error) {
	if !slices.Contains(o.Zones, zone) {
		return nil, api.NewFault(http.StatusNotFound, "unknown", "zone", "there is no zone %q", zone)
	}
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	if err := fleetstate.SetEvacuated(
		callContext, o.Caller, o.Directory, ids.OpID(zoneOpPrefix+request.Op), ids.Zone(zone), request.Out,
	); err != nil {
		return nil, api.SubmitError(err, operatorRetryAfter)
	}
	return &api.ApplyResponse{Active: true}, nil
}

// Drain is refused, since the fleet's worker list says which workers leave.
func (o *Operator) Drain(_ context.Context, worker string, _ *api.MarkRequest) (*api.ApplyResponse, error) {
	return nil, api.NewFault(
		http.StatusNotFound,
		"unknown",
		"worker",
		"%q is not drained here; which workers leave stands in the list of workers",
		worker,
	)
}

// Revoke is refused, since no regime, and so no certificate, governs these routes.
func (o *Operator) Revoke(_ context.Context, serial string, _ *api.MarkRequest) (*api.ApplyResponse, error) {
	return nil, api.NewFault(
		http.StatusNotFound,
		"unknown",
		"certificate",
		"%q is not known here; no regime governs these routes",
		serial,
	)
}

// Regimes returns an empty list.
func (o *Operator) Regimes() *api.Regimes { return &api.Regimes{} }

// AuditRows returns an empty list, since no regime governs these routes.
func (o *Operator) AuditRows(context.Context, int, int) (*api.AuditPage, error) {
	return &api.AuditPage{}, nil
}

// ActivePolicy returns the program set in force, the newest version, and the evacuated zones and drained
// workers.
func (o *Operator) ActivePolicy(ctx context.Context) (*api.ActivePolicy, error) {
	callContext, stop := context.WithTimeout(ctx, operatorTimeout)
	defer stop()
	state, err := fleetstate.ReadState(callContext, o.Caller, o.Directory)
	if err != nil {
		return nil, err
	}
	newest, _ := state.ProgramSet()
	return &api.ActivePolicy{
		Version:        uint64(state.Programs.Version),
		Newest:         uint64(newest.Version),
		Policy:         fleetstate.ProgramSetJSON(state.Programs),
		EvacuatedZones: append([]string{}, state.EvacuatedZones...),
		DrainedWorkers: append([]string{}, state.DrainedWorkers...),
	}, nil
}

// Status returns the known location of the coordination service, and the zones.
func (o *Operator) Status() any {
	return map[string]any{"core": o.Directory.Record(), "zones": o.Zones}
}
