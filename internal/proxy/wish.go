// Turning by a routing program: the one in charge sees a service's workers as they report
// and names one. Which may turn is decided before: each part keeps its least, and a worker
// rests for the dwell. Where a part has no worker at all, the built-in choice stands.

package proxy

import (
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// wish gives the workers that the program in charge has turned, else the built-in choice.
func (n *Node) wish(deal *fleetstate.CompiledPrograms, svc *fleetstate.Service, d *duty, rows []report, some []*report, to ids.Role) ([]*report, ids.Role) {
	if !deal.Set.HasPrograms() {
		return some, to
	}
	count := map[ids.Role]int{}
	for _, r := range rows {
		count[r.Part]++
	}
	if count[ids.Prefill] == 0 || count[ids.Decode] == 0 {
		return some, to
	}
	dwell := turnDwell
	if deal.Configuration != nil {
		dwell = max(dwell, deal.Configuration.Limits.Dwell())
	}
	now := n.now()
	// Both parts are pressed from the same press on.
	p := &routing.Pool{Model: svc.Name, Since: now.Since(d.last),
		Pressure: map[ids.Role]float64{ids.Prefill: min(1, d.read*pressEmit/pressRead), ids.Decode: min(1, d.emit)}}
	for _, r := range rows {
		at, was := d.turned[r.w.ID]
		p.Workers = append(p.Workers, routing.RoleCandidate{ID: r.w.ID, Zone: r.w.Zone, Role: r.Part, HomeRole: r.Part, Busy: r.Running + r.Waiting, Work: r.Running,
			MaxConcurrent: svc.Concurrency, Free: max(0, r.Room-r.Used), Capacity: r.Room, Allowed: count[r.Part] > least(len(rows)) && (!was || now.Past(at, dwell))})
	}
	var own routing.RoleChange
	if len(some) > 0 {
		own = routing.RoleChange{Worker: some[0].w.ID, To: to}
	}
	w, ok, ruled := deal.Set.ResolveRoleChange(p, own, len(some) > 0)
	switch {
	case !ruled:
		return some, to
	case !ok:
		return nil, ""
	}
	for i := range rows {
		if rows[i].w.ID == w.Worker {
			return []*report{&rows[i]}, w.To
		}
	}
	return nil, ""
}
