// When a worker should change its part. A program may wish for it; whether a worker
// may turn at all (dwell, the last of a part or of its weights, a second zone) was
// decided before, and only those that may can be named.

package routing

import (
	"time"

	"keelstair.example/failure"
	"keelstair.example/ids"
)

// RoleCandidate is a worker of a pool as a program sees it.
type RoleCandidate struct {
	ID            ids.WorkerID
	Zone          ids.Zone
	Role          ids.Role
	HomeRole      ids.Role // the part that the catalogue gives it
	Outstanding   int      // starts booked or under way
	Running       int      // of these, begun at the worker
	MaxConcurrent int
	Free          int
	Capacity      int
	Allowed       bool // it may turn now
}

// Pool is all workers of one model. Press, from 0 to 1, is how much of a part's
// starts or room is in use, smoothed over seconds; what is only booked, and waits
// for another worker, does not count.
type Pool struct {
	Model           string
	Pressure        map[ids.Role]float64
	Workers         []RoleCandidate
	SinceRoleChange time.Duration // since the pool's last turn
}

// RoleChange is for a worker to change to a part.
type RoleChange struct {
	Worker ids.WorkerID
	To     ids.Role
}

// OtherRole is the part that a worker changes from when it changes to one.
func OtherRole(p ids.Role) ids.Role {
	if p == ids.Prefill {
		return ids.Decode
	}
	return ids.Prefill
}

const (
	highPressureThreshold = 0.35 // a part is hard pressed above this
	minPressureRatio      = 2.0  // and so many times more than the other would then be
)

// ProposeRoleChange of the built-in program: a hard pressed part gets the least busy worker of
// the other, if that one is not pressed too, without it.
func (BuiltIn) ProposeRoleChange(p *Pool) (RoleChange, bool, error) {
	count := map[ids.Role]int{}
	for _, w := range p.Workers {
		count[w.Role]++
	}
	for _, to := range []ids.Role{ids.Prefill, ids.Decode} {
		from := OtherRole(to)
		rest := p.Pressure[from] * float64(count[from]) / float64(max(count[from]-1, 1))
		if p.Pressure[to] <= highPressureThreshold || p.Pressure[to] <= minPressureRatio*rest {
			continue
		}
		if w, ok := LeastLoaded(p, to, func(RoleCandidate) bool { return true }); ok {
			return w, true, nil
		}
	}
	return RoleChange{}, false, nil
}

// LeastLoaded names the least busy worker that may change to a part, one that comes home
// by it before others.
func LeastLoaded(p *Pool, to ids.Role, counts func(RoleCandidate) bool) (RoleChange, bool) {
	var best *RoleCandidate
	for i, w := range p.Workers {
		if w.Role == to || !w.Allowed || !counts(w) {
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

// checkRoleChange holds a program's wish against those that may turn.
func checkRoleChange(p *Pool, w RoleChange) error {
	for _, t := range p.Workers {
		if t.ID == w.Worker && t.Allowed && t.Role == OtherRole(w.To) {
			return nil
		}
	}
	return failure.New(
		failure.InvalidArgument,
		"turn worker",
		string(w.Worker),
		"the program names a worker that may not turn to %q",
		w.To,
	)
}

// ProposeRoleChange asks the program in charge, else the built-in one.
func (d *ProgramSet) ProposeRoleChange(p *Pool) (RoleChange, bool) {
	out, ok, _ := BuiltIn{}.ProposeRoleChange(p)
	out, ok, _ = d.ResolveRoleChange(p, out, ok)
	return out, ok
}

// ResolveRoleChange asks the program in charge; where there is none, or it fails, what the built-in
// one gave stays, and it is not ruled. The others that have a turning part are only
// counted.
func (d *ProgramSet) ResolveRoleChange(p *Pool, out RoleChange, ok bool) (_ RoleChange, is, ruled bool) {
	type said struct {
		score  *Score
		change RoleChange
		ok     bool
	}
	var others []said
	for _, s := range d.programs {
		if !s.program.ProposesRoleChanges() {
			continue
		}
		w, is, err := s.program.ProposeRoleChange(p)
		if err == nil && is {
			err = checkRoleChange(p, w)
		}
		score := d.scores.Of(s.name)
		score.RoleChangeCalls.Add(1)
		switch {
		case err != nil:
			score.Fallbacks.Add(1)
		case s.changesRoles:
			out, ok, ruled = w, is, true
		default:
			others = append(others, said{score, w, is})
		}
		if err == nil && is {
			score.RoleChangeProposals.Add(1)
		}
	}
	for _, o := range others {
		if o.ok == ok && (!ok || o.change.To == out.To) {
			o.score.Agreed.Add(1)
		}
	}
	return out, ok, ruled
}
