// Choice of the workers that change their role, by the pressure on each role, smoothed over the rounds
// of reports, and by the workers lost since the previous round.

package proxy

import (
	"math"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	prefillPressureLimit = 1.3  // prompts per prefill worker
	decodePressureLimit  = 0.35 // share of the decode workers' capacity in use
	decodePressureLow    = 0.25 // a decode worker is spared only if the pressure stays below this
	decodeSaturated      = 0.6  // above this, decode gets workers whatever the pressure on prefill
	minRoleShare         = 3    // each role keeps at least one in this many workers
	roleChangeShare      = 12   // one in this many workers changes its role at once, or as many as were lost
)

// roleCounts is the number of workers of each role.
type roleCounts struct{ prefill, decode int }

// smoothPressure returns the smoothed number of prompts per prefill worker, and the smoothed share of the
// decode workers' concurrency or memory that is in use, whichever is larger.
func (b *roleBalance) smoothPressure(rows []workerReport, service *fleetstate.Service) (prefill, decode float64) {
	var prefillWorkers, decodeWorkers, prompts, streams, used, capacity int
	for _, r := range rows {
		if r.Role == ids.Prefill {
			prefillWorkers, prompts = prefillWorkers+1, prompts+r.Running+r.Waiting
		} else {
			decodeWorkers, streams, used, capacity = decodeWorkers+1, streams+r.Running+r.Waiting, used+r.Used, capacity+r.Capacity
		}
	}
	if prefillWorkers > 0 {
		b.prefillPressure += 0.4 * (float64(prompts)/float64(prefillWorkers) - b.prefillPressure)
	}
	if decodeWorkers > 0 && capacity > 0 {
		utilization := max(float64(streams)/float64(decodeWorkers*max(1, service.Concurrency)),
			float64(used)/float64(capacity))
		b.decodePressure += 0.4 * (utilization - b.decodePressure)
	}
	return b.prefillPressure, b.decodePressure
}

// move counts a worker that is ordered to change to a role.
func (c *roleCounts) move(to ids.Role) {
	if to == ids.Prefill {
		c.prefill, c.decode = c.prefill+1, c.decode-1
	} else {
		c.prefill, c.decode = c.prefill-1, c.decode+1
	}
}

// workersUp counts the workers of each role that may get new requests and are not known to be down. One
// that is changing its role counts under the new role.
func (n *Node) workersUp(s *fleetstate.Snapshot, listed map[ids.WorkerID]*Worker) (up roleCounts) {
	for id, w := range listed {
		role, changing := s.RoleChanges[id]
		if !changing {
			role = w.Role
		}
		if !changing && !acceptsWork(s, w) || n.isDown(id) {
			continue
		}
		if role == ids.Prefill {
			up.prefill++
		} else {
			up.decode++
		}
	}
	return up
}

// isDown reports whether a worker is known to be down.
func (n *Node) isDown(id ids.WorkerID) bool {
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down
}

// recordCounts records the worker counts of a round. The requests of lost workers move to the remaining
// ones, so the pressure is scaled up at once instead of only when reports show it.
func (b *roleBalance) recordCounts(up roleCounts) {
	b.lostCounts = roleCounts{max(0, b.liveCounts.prefill-up.prefill), max(0, b.liveCounts.decode-up.decode)}
	if b.lostCounts.prefill > 0 && up.prefill > 0 {
		b.prefillPressure *= float64(b.liveCounts.prefill) / float64(up.prefill)
	}
	if b.lostCounts.decode > 0 && up.decode > 0 {
		b.decodePressure *= float64(b.liveCounts.decode) / float64(up.decode)
	}
	b.liveCounts = up
}

// minPerRole returns how many of the workers each role keeps at least.
func minPerRole(total int) int { return max(1, (total+minRoleShare-1)/minRoleShare) }

// chooseRoleChange returns the workers that should change their role, and the new role. Larger services
// change more workers at once. The workers are the least busy ones of the role that can spare them,
// from the zones that have the most of it. While nothing is in flight, idlePrefillShare is the share
// of workers in the prefill role.
func chooseRoleChange(rows []workerReport, prefillPressure, decodePressure, idlePrefillShare float64,
	lost roleCounts) ([]*workerReport, ids.Role) {
	var prefillWorkers, decodeWorkers, active int
	for _, r := range rows {
		active += r.Running + r.Waiting
		if r.Role == ids.Prefill {
			prefillWorkers++
		} else {
			decodeWorkers++
		}
	}
	total := prefillWorkers + decodeWorkers
	minimum := minPerRole(total)
	from, to, count := ids.Decode, ids.Prefill, max(1, total/roleChangeShare)
	// replacements returns the number of workers to change: more than count, and up to as many as were
	// lost, if the pressure requires that many.
	replacements := func(lost, workers int, pressure, limit float64) int {
		return max(count, min(lost, int(math.Ceil(float64(workers)*(pressure/limit-1)))))
	}
	pressureWithout := func(load float64, workers, removed int) float64 {
		return load * float64(workers) / float64(max(1, workers-removed))
	}
	switch {
	case total < 2:
		return nil, ""
	case prefillWorkers == 0:
		count = min(count, decodeWorkers-1)
	case decodeWorkers == 0:
		from, to, count = ids.Prefill, ids.Decode, min(count, prefillWorkers-1)
	case active == 0 && float64(prefillWorkers+1) <= idlePrefillShare*float64(total):
		count = min(count, int(idlePrefillShare*float64(total))-prefillWorkers, decodeWorkers-minimum)
	case prefillPressure > prefillPressureLimit:
		count = replacements(lost.prefill, prefillWorkers, prefillPressure, prefillPressureLimit)
		for count = min(count, decodeWorkers-minimum); count > 0 &&
			pressureWithout(decodePressure, decodeWorkers, count) >= decodePressureLow; count-- {
		}
	case decodePressure > decodePressureLimit:
		from, to = ids.Prefill, ids.Decode
		count = replacements(lost.decode, decodeWorkers, decodePressure, decodePressureLimit)
		for count = min(count, prefillWorkers-minimum); count > 0 && decodePressure <= decodeSaturated &&
			pressureWithout(prefillPressure, prefillWorkers, count) >= prefillPressureLimit; count-- {
		}
	default:
		return nil, ""
	}
	return leastBusy(rows, from, count), to
}

// leastBusy returns up to count workers of a role, from the zones that have the most of it, the least
// busy of a zone first.
func leastBusy(rows []workerReport, role ids.Role, count int) []*workerReport {
	zones := map[ids.Zone]int{}
	var candidates []*workerReport
	for i := range rows {
		if rows[i].Role == role {
			candidates = append(candidates, &rows[i])
			zones[rows[i].worker.Zone]++
		}
	}
	var out []*workerReport
	for len(out) < count && len(candidates) > 0 {
		best := 0
		for i, r := range candidates {
			a, b := zones[r.worker.Zone], zones[candidates[best].worker.Zone]
			if a > b || a == b && r.Running+r.Waiting < candidates[best].Running+candidates[best].Waiting {
				best = i
			}
		}
		zones[candidates[best].worker.Zone]--
		out = append(out, candidates[best])
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return out
}
