// Role changes proposed by routing programs. The active program receives the reports of a
// service's workers and selects the worker whose role changes. It is offered only workers whose role may
// change: each role keeps its minimum number of workers, and a worker keeps its role for the dwell time.
// If a role has no worker at all, the built-in choice applies.

package proxy

import (
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// proposeRoleChange returns the worker that the active program selects to change its role, or the
// built-in choice if no program decides.
func (n *Node) proposeRoleChange(
	programs *fleetstate.CompiledPrograms,
	service *fleetstate.Service,
	balance *roleBalance,
	reports []workerReport,
	selected []*workerReport,
	to ids.Role,
) ([]*workerReport, ids.Role) {
	if !programs.Set.HasPrograms() {
		return selected, to
	}
	count := map[ids.Role]int{}
	for _, r := range reports {
		count[r.Role]++
	}
	if count[ids.Prefill] == 0 || count[ids.Decode] == 0 {
		return selected, to
	}
	dwell := roleChangeInterval
	if programs.Configuration != nil {
		dwell = max(dwell, programs.Configuration.Limits.MinRoleDwell())
	}
	pool := n.rolePool(service, balance, reports, count, dwell)
	var builtIn routing.RoleChange
	if len(selected) > 0 {
		builtIn = routing.RoleChange{Worker: selected[0].worker.ID, To: to}
	}
	proposed, ok, decided := programs.Set.ResolveRoleChange(pool, builtIn, len(selected) > 0)
	switch {
	case !decided:
		return selected, to
	case !ok:
		return nil, ""
	}
	for i := range reports {
		if reports[i].worker.ID == proposed.Worker {
			return []*workerReport{&reports[i]}, proposed.To
		}
	}
	return nil, ""
}

// rolePool builds the view of a service's workers for a routing program. The pressures are scaled so
// that both roles count as overloaded from the same value on.
func (n *Node) rolePool(
	service *fleetstate.Service,
	balance *roleBalance,
	reports []workerReport,
	count map[ids.Role]int,
	dwell time.Duration,
) *routing.Pool {
	now := n.now()
	pool := &routing.Pool{
		Model:           service.Name,
		SinceRoleChange: now.Since(balance.lastChangeEndedAt),
		Pressure: map[ids.Role]float64{
			ids.Prefill: min(1, balance.prefillPressure*decodePressureLimit/prefillPressureLimit),
			ids.Decode:  min(1, balance.decodePressure),
		},
	}
	for _, r := range reports {
		changedAt, changed := balance.roleChangedAt[r.worker.ID]
		pool.Workers = append(pool.Workers, routing.RoleCandidate{
			ID:            r.worker.ID,
			Zone:          r.worker.Zone,
			Role:          r.Role,
			HomeRole:      r.Role,
			Outstanding:   r.Running + r.Waiting,
			Running:       r.Running,
			MaxConcurrent: service.Concurrency,
			Free:          max(0, r.Capacity-r.Used),
			Capacity:      r.Capacity,
			Allowed:       count[r.Role] > minPerRole(len(reports)) && (!changed || now.Past(changedAt, dwell)),
		})
	}
	return pool
}
