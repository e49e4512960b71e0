// The workers that may get new work, by service and part, made once for each version of the
// list and of the snapshot, so that no request walks the whole list or hashes a worker's id.

package proxy

import (
	"slices"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// candidate is a worker's place in the list with what does not change with a request.
type candidate struct {
	index int
	id    ids.WorkerID
	role  ids.Role
	hash  uint64
	state *workerState
}

// serviceRole is a part that a service's workers can play; one that knows no parts plays both.
type serviceRole struct {
	service string
	role    ids.Role
}

type candidateIndex struct {
	seq      uint64
	snapshot *fleetstate.Snapshot
	byRole   map[serviceRole][]candidate
	ranks    map[string][]int // by service: the urgencies of its routes, least urgent first
}

// candidateIndexFor gives the table of a list under a snapshot.
func (n *Node) candidateIndexFor(list *endpointList, s *fleetstate.Snapshot) *candidateIndex {
	if t := n.candidates.Load(); t != nil && t.seq == list.seq && t.snapshot == s {
		return t
	}
	t := &candidateIndex{seq: list.seq, snapshot: s, byRole: map[serviceRole][]candidate{}, ranks: urgencyClasses(s)}
	for i := range list.workers {
		if w := &list.workers[i]; acceptsWork(s, w) {
			e := candidate{i, w.ID, w.Role, routing.WorkerHash(w.ID), n.state(w.ID)}
			for _, p := range []ids.Role{ids.Prefill, ids.Decode} {
				if k := (serviceRole{w.Service, p}); w.Role == p || w.Role == "" {
					t.byRole[k] = append(t.byRole[k], e)
				}
			}
		}
	}
	n.candidates.Store(t)
	return t
}

func urgencyClasses(s *fleetstate.Snapshot) map[string][]int {
	out := map[string][]int{}
	add := func(service string, urgency int) {
		if !slices.Contains(out[service], urgency) {
			out[service] = append(out[service], urgency)
		}
	}
	if s.Configuration == nil {
		return out
	}
	for i := range s.Configuration.Routes {
		r := &s.Configuration.Routes[i]
		for _, urgency := range routeUrgencies(s.Configuration, r) {
			add(r.Service, urgency)
			for _, p := range r.Split {
				add(p.Service, urgency)
			}
		}
	}
	for _, rows := range out {
		slices.SortFunc(rows, func(a, b int) int { return b - a })
	}
	return out
}

// routeUrgencies lists how urgent a route's requests may be, by who sends them.
func routeUrgencies(c *fleetstate.Configuration, route *fleetstate.Route) []int {
	var out []int
	if c.Tenants == nil || route.Public {
		out = append(out, route.Urgency)
	}
	for i := range c.Tenants {
		out = append(out, urgencyOf(route, &c.Tenants[i]))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// prefixHome is the reading worker that a beginning falls to, of those that are not out.
func prefixHome(mark uint64, rows []candidate, out func(ids.WorkerID) bool) ids.WorkerID {
	var top ids.WorkerID
	best := -1.0
	for i := range rows {
		if rows[i].role != ids.Prefill || out(rows[i].id) {
			continue
		}
		if a := routing.AffinityFromHash(mark, rows[i].hash); a > best {
			best, top = a, rows[i].id
		}
	}
	return top
}
