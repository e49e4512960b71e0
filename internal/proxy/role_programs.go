// Turning by a routing program: the one in charge sees a service's workers as they report
// and names one. Which may turn is decided before: each part keeps its least, and a worker
// rests for the dwell. Where a part has no worker at all, the built-in choice stands.

package proxy

import (
	"time"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// proposeRoleChange gives the workers that the program in charge has turned, else the built-in choice.
func (n *Node) proposeRoleChange(
	deal *fleetstate.CompiledPrograms,
	service *fleetstate.Service,
	d *roleBalance,
	rows []workerReport,
	some []*workerReport,
	to ids.Role,
) ([]*workerReport, ids.Role) {
	if !deal.Set.HasPrograms() {
		return some, to
	}
	count := map[ids.Role]int{}
	for _, r := range rows {
		count[r.Role]++
	}
	if count[ids.Prefill] == 0 || count[ids.Decode] == 0 {
		return some, to
	}
	dwell := roleChangeInterval
	if deal.Configuration != nil {
		dwell = max(dwell, deal.Configuration.Limits.Dwell())
	}
	p := n.rolePool(service, d, rows, count, dwell)
	var own routing.RoleChange
	if len(some) > 0 {
		own = routing.RoleChange{Worker: some[0].worker.ID, To: to}
	}
	w, ok, ruled := deal.Set.ResolveRoleChange(p, own, len(some) > 0)
	switch {
	case !ruled:
		return some, to
	case !ok:
		return nil, ""
	}
	for i := range rows {
		if rows[i].worker.ID == w.Worker {
			return []*workerReport{&rows[i]}, w.To
		}
	}
	return nil, ""
}

// rolePool is a service's workers as a routing program sees them. Both roles are under pressure
// from the same value on.
func (n *Node) rolePool(
	service *fleetstate.Service,
	d *roleBalance,
	rows []workerReport,
	count map[ids.Role]int,
	dwell time.Duration,
) *routing.Pool {
	now := n.now()
	p := &routing.Pool{
		Model:           service.Name,
		SinceRoleChange: now.Since(d.lastChange),
		Pressure: map[ids.Role]float64{
			ids.Prefill: min(1, d.prefillPressure*decodePressureLimit/prefillPressureLimit),
			ids.Decode:  min(1, d.decodePressure),
		},
	}
	for _, r := range rows {
		at, was := d.changedAt[r.worker.ID]
		p.Workers = append(p.Workers, routing.RoleCandidate{
			ID:            r.worker.ID,
			Zone:          r.worker.Zone,
			Role:          r.Role,
			HomeRole:      r.Role,
			Outstanding:   r.Running + r.Waiting,
			Running:       r.Running,
			MaxConcurrent: service.Concurrency,
			Free:          max(0, r.Capacity-r.Used),
			Capacity:      r.Capacity,
			Allowed:       count[r.Role] > minPerRole(len(rows)) && (!was || now.Past(at, dwell)),
		})
	}
	return p
}
