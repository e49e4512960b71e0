// Which workers are to change their role: by the pressure on each role, smoothed over the rounds of
// reports, and by what was lost since the round before.

package proxy

import (
	"math"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	prefillPressureLimit = 1.3  // prompts at each reading worker
	decodePressureLimit  = 0.35 // of the places of emitting workers
	decodePressureLow    = 0.25
	decodeSaturated      = 0.6 // pressed beyond what readers may weigh against it
	minRoleShare         = 3   // one of so many workers keeps each part
	roleChangeShare      = 12  // one of so many workers changes its role at once, or as many as were lost
)

// roleCounts is how many workers of each role there are.
type roleCounts struct{ prefill, decode int }

// smoothPressure gives the smoothed prompts at each reading worker, and the part of the emitting
// workers' places or memory that is taken.
func (d *roleBalance) smoothPressure(rows []workerReport, service *fleetstate.Service) (read, emit float64) {
	var readers, emitters, prompts, streams, used, room int
	for _, r := range rows {
		if r.Role == ids.Prefill {
			readers, prompts = readers+1, prompts+r.Running+r.Waiting
		} else {
			emitters, streams, used, room = emitters+1, streams+r.Running+r.Waiting, used+r.Used, room+r.Capacity
		}
	}
	if readers > 0 {
		d.prefillPressure += 0.4 * (float64(prompts)/float64(readers) - d.prefillPressure)
	}
	if emitters > 0 && room > 0 {
		taken := max(float64(streams)/float64(emitters*max(1, service.Concurrency)), float64(used)/float64(room))
		d.decodePressure += 0.4 * (taken - d.decodePressure)
	}
	return d.prefillPressure, d.decodePressure
}

// move counts a worker that is told to change to a role.
func (c *roleCounts) move(to ids.Role) {
	if to == ids.Prefill {
		c.prefill, c.decode = c.prefill+1, c.decode-1
	} else {
		c.prefill, c.decode = c.prefill-1, c.decode+1
	}
}

// workersUp counts the workers of each role that may get new work and are not known to be down. One
// that changes its role counts as of the role to be.
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

func (n *Node) isDown(id ids.WorkerID) bool {
	st := n.state(id)
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.down
}

// recordCounts takes the numbers of a round. What workers that were lost had under way falls to those that are
// left, so the pressure on these is known at once and not only once it shows.
func (d *roleBalance) recordCounts(up roleCounts) {
	d.lost = roleCounts{max(0, d.up.prefill-up.prefill), max(0, d.up.decode-up.decode)}
	if d.lost.prefill > 0 && up.prefill > 0 {
		d.prefillPressure *= float64(d.up.prefill) / float64(up.prefill)
	}
	if d.lost.decode > 0 && up.decode > 0 {
		d.decodePressure *= float64(d.up.decode) / float64(up.decode)
	}
	d.up = up
}

// minPerRole is how many of so many workers keep each part.
func minPerRole(all int) int { return max(1, (all+minRoleShare-1)/minRoleShare) }

// chooseRoleChange names the workers that should turn: more at once where there are many, the least
// busy of the part that can spare them, from the zones that have the most of it. While
// nothing is under way, rest is the part of the workers that reads.
func chooseRoleChange(rows []workerReport, read, emit, rest float64, lost roleCounts) ([]*workerReport, ids.Role) {
	var readers, emitters, busy int
	for _, r := range rows {
		busy += r.Running + r.Waiting
		if r.Role == ids.Prefill {
			readers++
		} else {
			emitters++
		}
	}
	all := readers + emitters
	keep := minPerRole(all)
	from, to, want := ids.Decode, ids.Prefill, max(1, all/roleChangeShare)
	// as many as were lost at once, if the pressure asks for so many
	replace := func(lost, have int, pressure, limit float64) int {
		return max(want, min(lost, int(math.Ceil(float64(have)*(pressure/limit-1)))))
	}
	spare := func(load float64, have, by int) float64 { return load * float64(have) / float64(max(1, have-by)) }
	switch {
	case all < 2:
		return nil, ""
	case readers == 0:
		want = min(want, emitters-1)
	case emitters == 0:
		from, to, want = ids.Prefill, ids.Decode, min(want, readers-1)
	case busy == 0 && float64(readers+1) <= rest*float64(all):
		want = min(want, int(rest*float64(all))-readers, emitters-keep)
	case read > prefillPressureLimit:
		want = replace(lost.prefill, readers, read, prefillPressureLimit)
		for want = min(want, emitters-keep); want > 0 && spare(emit, emitters, want) >= decodePressureLow; want-- {
		}
	case emit > decodePressureLimit:
		from, to = ids.Prefill, ids.Decode
		want = replace(lost.decode, emitters, emit, decodePressureLimit)
		for want = min(want, readers-keep); want > 0 && emit <= decodeSaturated &&
			spare(read, readers, want) >= prefillPressureLimit; want-- {
		}
	default:
		return nil, ""
	}
	return leastBusy(rows, from, want), to
}

// leastBusy names so many workers of a role, from the zones that have the most of it, the least busy
// of a zone first.
func leastBusy(rows []workerReport, role ids.Role, want int) []*workerReport {
	zones := map[ids.Zone]int{}
	var some []*workerReport
	for i := range rows {
		if rows[i].Role == role {
			some = append(some, &rows[i])
			zones[rows[i].worker.Zone]++
		}
	}
	var out []*workerReport
	for len(out) < want && len(some) > 0 {
		best := 0
		for i, r := range some {
			a, b := zones[r.worker.Zone], zones[some[best].worker.Zone]
			if a > b || a == b && r.Running+r.Waiting < some[best].Running+some[best].Waiting {
				best = i
			}
		}
		zones[some[best].worker.Zone]--
		out = append(out, some[best])
		some = append(some[:best], some[best+1:]...)
	}
	return out
}
