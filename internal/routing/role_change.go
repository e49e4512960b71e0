// This file proposes role changes of workers. The caller decides beforehand which workers may
// change at all: by the dwell time, by whether a worker is the last one with its role or weights,
// and by the need for a second zone. A program can only name workers that may change.

package routing

import (
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// RoleCandidate describes a worker of a pool to a program.
type RoleCandidate struct {
	ID            ids.WorkerID
	Zone          ids.Zone
	Role          ids.Role
	HomeRole      ids.Role // the role that the configuration assigns
	Outstanding   int      // requests reserved or running
	Running       int      // those of them sent to the worker
	MaxConcurrent int
	Free          int
	Capacity      int
	Allowed       bool // the worker may change its role now
}

// Pool holds all workers of one model. Pressure, from 0 to 1, is the utilisation of a role's
// concurrency limit or memory, smoothed over seconds. Requests that are only reserved, and wait for
// another worker, do not count.
type Pool struct {
	Model           string
	Pressure        map[ids.Role]float64
	Workers         []RoleCandidate
	SinceRoleChange time.Duration // time since the last role change in the pool
}

// RoleChange proposes that a worker change to a role.
type RoleChange struct {
	Worker ids.WorkerID
	To     ids.Role
}

// OtherRole returns decode for prefill and prefill for any other role.
func OtherRole(role ids.Role) ids.Role {
	if role == ids.Prefill {
		return ids.Decode
	}
	return ids.Prefill
}

const (
	highPressureThreshold = 0.35 // a role is overloaded above this pressure
	minPressureRatio      = 2.0  // and if its pressure exceeds this multiple of the other role's after the change
)

// ProposeRoleChange gives an overloaded role the least loaded worker of the other role, unless the
// other role would be under pressure without that worker.
func (BuiltIn) ProposeRoleChange(p *Pool) (RoleChange, bool, error) {
	count := map[ids.Role]int{}
	for _, w := range p.Workers {
		count[w.Role]++
	}
	for _, to := range []ids.Role{ids.Prefill, ids.Decode} {
		from := OtherRole(to)
		remaining := p.Pressure[from] * float64(count[from]) / float64(max(count[from]-1, 1))
		if p.Pressure[to] <= highPressureThreshold || p.Pressure[to] <= minPressureRatio*remaining {
			continue
		}
		if change, ok := LeastLoaded(p, to, func(RoleCandidate) bool { return true }); ok {
			return change, true, nil
		}
	}
	return RoleChange{}, false, nil
}

// LeastLoaded proposes the worker with the fewest outstanding requests that may change to a role
// and is eligible. Among equals it prefers one that returns to its home role.
func LeastLoaded(p *Pool, to ids.Role, eligible func(RoleCandidate) bool) (RoleChange, bool) {
	var best *RoleCandidate
	for i, w := range p.Workers {
		if w.Role == to || !w.Allowed || !eligible(w) {
			continue
		}
		if best == nil || w.Outstanding < best.Outstanding || w.Outstanding == best.Outstanding && w.HomeRole == to && best.HomeRole != to {
			best = &p.Workers[i]
		}
	}
	if best == nil {
		return RoleChange{}, false
	}
	return RoleChange{best.ID, to}, true
}

// checkRoleChange returns an error if a program names a worker that may not change to the role.
func checkRoleChange(p *Pool, change RoleChange) error {
	for _, w := range p.Workers {
		if w.ID == change.Worker && w.Allowed && w.Role == OtherRole(change.To) {
			return nil
		}
	}
	return failure.New(
		failure.InvalidArgument,
		"check role change",
		string(change.Worker),
		"the program names a worker that may not change to role %q",
		change.To,
	)
}

// ProposeRoleChange returns the role change of the program that decides on role changes, or else of
// the built-in program.
func (set *ProgramSet) ProposeRoleChange(p *Pool) (RoleChange, bool) {
	out, ok, _ := BuiltIn{}.ProposeRoleChange(p)
	out, ok, _ = set.ResolveRoleChange(p, out, ok)
	return out, ok
}

// ResolveRoleChange returns the role change of the program that decides on role changes, with
// decided set. Without one, or if it fails, it returns the built-in proposal, out and ok, with
// decided not set. The other programs that propose role changes are only counted.
func (set *ProgramSet) ResolveRoleChange(p *Pool, out RoleChange, ok bool) (_ RoleChange, proposed, decided bool) {
	type proposal struct {
		score  *Score
		change RoleChange
		ok     bool
	}
	var others []proposal
	for _, s := range set.programs {
		if !s.program.ProposesRoleChanges() {
			continue
		}
		change, proposed, err := s.program.ProposeRoleChange(p)
		if err == nil && proposed {
			err = checkRoleChange(p, change)
		}
		score := set.scores.Of(s.name)
		score.RoleChangeCalls.Add(1)
		switch {
		case err != nil:
			score.Fallbacks.Add(1)
		case s.changesRoles:
			out, ok, decided = change, proposed, true
		default:
			others = append(others, proposal{score, change, proposed})
		}
		if err == nil && proposed {
			score.RoleChangeProposals.Add(1)
		}
	}
	for _, other := range others {
		if other.ok == ok && (!ok || other.change.To == out.To) {
			other.score.Agreed.Add(1)
		}
	}
	return out, ok, decided
}
