// Index of the workers that may get new requests, by service and role. It is built once for each
// version of the list and the snapshot, so that no request scans the whole list or hashes a worker's
// id.

package proxy

import (
	"slices"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// indexedWorker is a worker's index in the list with the data that is the same for all requests.
type indexedWorker struct {
	index int
	id    ids.WorkerID
	role  ids.Role
	hash  uint64
	state *workerState
}

// serviceRole is a role of a service's workers. A worker without a role is indexed under both.
type serviceRole struct {
	service string
	role    ids.Role
}

// candidateIndex is the index for one version of the list and one snapshot.
type candidateIndex struct {
	seq       uint64
	snapshot  *fleetstate.Snapshot
	byRole    map[serviceRole][]indexedWorker
	urgencies map[string][]int // by service: the urgencies that its requests may have, least urgent first
}

// candidateIndexFor returns the index of a list under a snapshot, and builds it if necessary.
func (n *Node) candidateIndexFor(list *workerListVersion, s *fleetstate.Snapshot) *candidateIndex {
	if t := n.candidates.Load(); t != nil && t.seq == list.seq && t.snapshot == s {
		return t
	}
	t := &candidateIndex{seq: list.seq, snapshot: s, byRole: map[serviceRole][]indexedWorker{}, urgencies: urgencyClasses(s)}
	for i := range list.workers {
		if w := &list.workers[i]; acceptsWork(s, w) {
			e := indexedWorker{i, w.ID, w.Role, routing.WorkerHash(w.ID), n.state(w.ID)}
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

// urgencyClasses returns, for each service, the distinct urgencies that requests of its routes may have,
// least urgent first. They depend on the routes and on the tenants.
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

// routeUrgencies lists the urgencies that a route's requests may have, depending on the tenant.
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

// preferredWorker returns the prefill worker that a prefix hash is assigned to by rendezvous hashing,
// among those that are neither ejected nor on probation.
func preferredWorker(prefix uint64, rows []indexedWorker, notServing func(ids.WorkerID) bool) ids.WorkerID {
	var preferred ids.WorkerID
	best := -1.0
	for i := range rows {
		if rows[i].role != ids.Prefill || notServing(rows[i].id) {
			continue
		}
		if weight := routing.AffinityFromHash(prefix, rows[i].hash); weight > best {
			best, preferred = weight, rows[i].id
		}
	}
	return preferred
}
