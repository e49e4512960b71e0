// The workers that may get new work, by service and part, made once for each version of the
// list and of the sight, so that no request walks the whole list or hashes a worker's id.

package proxy

import (
	"slices"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// entry is a worker's place in the list with what does not change with a request.
type entry struct {
	place int
	id    ids.WorkerID
	part  ids.Role
	hash  uint64
	st    *state
}

// role is a part that a service's workers can play; one that knows no parts plays both.
type role struct {
	service string
	part    ids.Role
}

type table struct {
	seq   uint64
	sight *fleetstate.Snapshot
	by    map[role][]entry
	ranks map[string][]int // by service: the urgencies of its routes, least urgent first
}

// tabled gives the table of a list under a sight.
func (n *Node) tabled(ros *roster, s *fleetstate.Snapshot) *table {
	if t := n.table.Load(); t != nil && t.seq == ros.seq && t.sight == s {
		return t
	}
	t := &table{seq: ros.seq, sight: s, by: map[role][]entry{}, ranks: ranks(s)}
	for i := range ros.all {
		if w := &ros.all[i]; fit(s, w) {
			e := entry{i, w.ID, w.Part, routing.Hash(w.ID), n.state(w.ID)}
			for _, p := range []ids.Role{ids.Prefill, ids.Decode} {
				if k := (role{w.Service, p}); w.Part == p || w.Part == "" {
					t.by[k] = append(t.by[k], e)
				}
			}
		}
	}
	n.table.Store(t)
	return t
}

func ranks(s *fleetstate.Snapshot) map[string][]int {
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
		add(r.Service, r.Urgency)
		for _, p := range r.Split {
			add(p.Service, r.Urgency)
		}
	}
	for _, row := range out {
		slices.SortFunc(row, func(a, b int) int { return b - a })
	}
	return out
}

// home is the reading worker that a beginning falls to, of those that are not out.
func home(mark uint64, row []entry, out func(ids.WorkerID) bool) ids.WorkerID {
	var top ids.WorkerID
	best := -1.0
	for i := range row {
		if row[i].part != ids.Prefill || out(row[i].id) {
			continue
		}
		if a := routing.Mix(mark, row[i].hash); a > best {
			best, top = a, row[i].id
		}
	}
	return top
}
