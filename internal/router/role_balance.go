// This file changes the roles of workers. For each model's pool, the holder of the pool's key
// decides when a worker changes between prefill and decode. A routing program or the built-in rule
// proposes a change; this file enforces the limits that no proposal can exceed. A worker changes
// its role at most once per dwell time. A change in a pool begins half a dwell time after the last one
// ended, or a quarter if it goes in the same direction, and not before the worker reports its new role,
// so that each shows its effect before the next. The role that a worker leaves must keep enough workers.
//
// Pressure counts only requests that have started at a worker, not reservations: memory for the
// whole answer is reserved at a decode worker while the prompt still waits for prefill, so with
// reservations decode looked as loaded as prefill and no worker changed.
//
// The holder of the worker's key drains the worker before it changes the role.

package router

import (
	"context"
	"slices"
	"sort"
	"time"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
	"keelstair.example/internal/workerclient"
	"keelstair.example/rpc"
)

const (
	pressureSmoothing  = 0.3 // weight of a new sample in the moving average of the pressure
	roleChangeInterval = 500 * time.Millisecond
	roleChangeTimeout  = 20 * time.Second
)

// rolePool is the state that the holder of a pool's key keeps. A new holder starts with an empty
// state and waits half a dwell time before its first change.
type rolePool struct {
	fence             ids.Fence
	lastChange        routing.RoleChange
	lastChangeEndedAt ids.Tick
	pressure          map[ids.Role]float64
}

// lastChangeSeen reports whether the statuses show the last role change. One that failed never shows, and so
// counts as seen after a dwell time.
func (p *rolePool) lastChangeSeen(statuses map[ids.WorkerID]WorkerStatus, now ids.Tick, dwell time.Duration) bool {
	st, ok := statuses[p.lastChange.Worker]
	return !ok || st.Role == p.lastChange.To || now.Since(p.lastChangeEndedAt) >= dwell
}

// roleBalanceLoop makes role changes in the pools whose keys this node holds.
func (n *Node) roleBalanceLoop(ctx context.Context) {
	pools := map[string]*rolePool{}
	for host.Sleep(ctx, roleChangeInterval) {
		s := n.view.Current()
		models := map[string]bool{}
		for _, w := range s.Configuration.Workers {
			models[w.Model] = true
		}
		for model := range models {
			fence, end, ok := n.agent.BeginOperation(fleetstate.PoolKey(model))
			if !ok {
				delete(pools, model)
				continue
			}
			pool := pools[model]
			if pool == nil || pool.fence != fence {
				pool = &rolePool{fence: fence, lastChangeEndedAt: n.now(), pressure: map[ids.Role]float64{}}
				pools[model] = pool
			}
			if change, ok := n.pickRoleChange(s, model, pool); ok {
				if err := n.changeRole(ctx, change.Worker, change.To); err == nil {
					n.counts.RoleChanges.Add(1)
				} else {
					n.options.Ring.Info().AnErr("cause", err).Str("worker", string(change.Worker)).Msg("failed to change worker role")
				}
				n.endRoleChange(pool, change)
			}
			end()
		}
	}
}

// pickRoleChange returns the role change to make in a pool now, if any.
func (n *Node) pickRoleChange(s *fleetstate.Snapshot, model string, pool *rolePool) (routing.RoleChange, bool) {
	now, dwell := n.now(), s.Configuration.Limits.MinRoleDwell()
	byRole := map[ids.Role][]WorkerStatus{}
	statuses := *n.workerStatuses.Load()
	for id, st := range statuses {
		if w, ok := s.Configuration.Workers[id]; ok && w.Model == model && st.Ready && n.acceptsWork(s, id) {
			byRole[st.Role] = append(byRole[st.Role], st)
		}
	}
	lastChangeSeen := pool.lastChangeSeen(statuses, now, dwell)
	view := &routing.Pool{Model: model, Pressure: pool.pressure, SinceRoleChange: now.Since(pool.lastChangeEndedAt)}
	for _, role := range []ids.Role{ids.Prefill, ids.Decode} {
		workers := byRole[role]
		sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
		pool.pressure[role] += pressureSmoothing * (rolePressure(workers) - pool.pressure[role])
		interval := dwell / 2
		if routing.OtherRole(role) == pool.lastChange.To {
			interval = dwell / 4
		}
		for _, st := range workers {
			w := s.Configuration.Workers[st.ID]
			view.Workers = append(view.Workers, routing.RoleCandidate{
				ID:            st.ID,
				Zone:          w.Zone,
				Role:          role,
				HomeRole:      w.Role,
				Outstanding:   st.InFlight,
				Running:       st.Started,
				MaxConcurrent: st.MaxConcurrent,
				Free:          st.Free,
				Capacity:      st.Capacity,
				Allowed: lastChangeSeen && view.SinceRoleChange >= interval && canSpare(s, workers, st.ID) &&
					regimesStayCovered(s, workers, st, n.fleetTime()) && !n.changedRoleWithin(st.ID, dwell),
			})
		}
	}
	return n.proposeRoleChange(s, view)
}

// endRoleChange records that a role change has been carried out or has failed. The time that it took, while its
// worker drained, does not count as time in which its effect could show.
func (n *Node) endRoleChange(pool *rolePool, change routing.RoleChange) {
	pool.lastChange, pool.lastChangeEndedAt = change, n.now()
	n.roleChanges.Store(change.Worker, pool.lastChangeEndedAt)
}

// proposeRoleChange asks the routing programs for a role change. If role changes are disabled, it
// returns the workers to their configured roles one at a time.
func (n *Node) proposeRoleChange(s *fleetstate.Snapshot, view *routing.Pool) (routing.RoleChange, bool) {
	if s.Configuration.RoleChangesEnabled {
		return n.programsAt(s).ProposeRoleChange(view)
	}
	for _, to := range []ids.Role{ids.Prefill, ids.Decode} {
		if change, ok := routing.LeastLoaded(view, to, func(c routing.RoleCandidate) bool { return c.HomeRole == to }); ok {
			return change, true
		}
	}
	return routing.RoleChange{}, false
}

// rolePressure returns the load of a role's workers: the share of their concurrency or the share of
// their memory that started requests use, whichever is larger.
func rolePressure(workers []WorkerStatus) float64 {
	var started, limit, used, capacity float64
	for _, st := range workers {
		started, limit = started+float64(st.Started), limit+float64(st.MaxConcurrent)
		used, capacity = used+float64(st.Used), capacity+float64(st.Capacity)
	}
	return max(started/max(limit, 1), used/max(capacity, 1))
}

// canSpare reports whether a role can lose one of its workers: another one with the same weights
// must remain, and if the role has workers in two or more zones, it must keep workers in two.
func canSpare(s *fleetstate.Snapshot, workers []WorkerStatus, id ids.WorkerID) bool {
	candidate := s.Configuration.Workers[id]
	before, after, same := map[ids.Zone]bool{}, map[ids.Zone]bool{}, 0
	for _, st := range workers {
		w := s.Configuration.Workers[st.ID]
		before[w.Zone] = true
		if st.ID == id {
			continue
		}
		after[w.Zone] = true
		if w.Weights == candidate.Weights {
			same++
		}
	}
	return same >= 1 && len(after) >= min(2, len(before))
}

// regimesStayCovered reports whether every regime that authorizes a worker in its role also authorizes
// another worker in that role.
func regimesStayCovered(
	s *fleetstate.Snapshot,
	workers []WorkerStatus,
	candidate WorkerStatus,
	now certification.TimeBounds,
) bool {
	for _, regime := range s.Register.RegimeNames() {
		authorized := func(st WorkerStatus) bool {
			_, ok := s.Register.Authorizes(regime, certification.Subject{Worker: st.ID}, candidate.Role, now)
			return ok
		}
		if authorized(candidate) && !slices.ContainsFunc(workers, func(st WorkerStatus) bool {
			return st.ID != candidate.ID && authorized(st)
		}) {
			return false
		}
	}
	return true
}

// changedRoleWithin reports whether this node changed the role of a worker within the dwell time.
func (n *Node) changedRoleWithin(id ids.WorkerID, dwell time.Duration) bool {
	v, ok := n.roleChanges.Load(id)
	return ok && n.now().Since(v.(ids.Tick)) < dwell
}

// changeRole asks the holder of a worker's key to drain the worker and change its role.
func (n *Node) changeRole(ctx context.Context, id ids.WorkerID, to ids.Role) error {
	callContext, stop := context.WithTimeout(ctx, roleChangeTimeout+time.Second)
	defer stop()
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(id))
	if !ok {
		return failure.New(failure.Unavailable, "turn", string(id), "no node holds its key now")
	}
	request := &OrderRequest{Worker: id, Verb: verbRoleChange, Body: []byte(to)}
	if m.Node == n.self.Node {
		_, err := n.executeOrder(callContext, request)
		return err
	}
	_, err := rpc.Call[OrderRequest, OrderResponse](callContext, n.caller, m.Addr, OrderMethod, request)
	return failure.Wrap(err, "turn", string(id))
}

// handleRoleChange changes the role of a worker whose key this node holds. It stops new
// reservations, waits until the worker is empty, and orders the change.
func (n *Node) handleRoleChange(
	ctx context.Context,
	duty *workerDuty,
	addr string,
	header workerclient.OrderHeader,
	to ids.Role,
) (*workerclient.OrderResponse, error) {
	duty.ledger.SetDraining(true)
	defer duty.ledger.SetDraining(false)
	callContext, stop := context.WithTimeout(ctx, roleChangeTimeout)
	defer stop()
	for {
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(duty.id)); !ok || f != duty.fence {
			return nil, failure.New(failure.Unavailable, "turn", n.self.Addr, "the key of %s moved to another node", duty.id)
		}
		header.Version = n.view.Current().Version
		if n.versionCurrent() && duty.ledger.Idle() {
			response, err := n.workerClient.SetRole(
				callContext, addr, &workerclient.RoleRequest{OrderHeader: header, Role: to},
			)
			if !failure.Is(err, failure.NotExecuted) {
				return response, err
			}
		}
		if !host.Sleep(callContext, 100*time.Millisecond) {
			return nil, failure.New(
				failure.NotExecuted, "turn", string(duty.id), "the worker did not drain within %s", roleChangeTimeout,
			)
		}
	}
}

// RoleChanges returns the number of role changes that this node has carried out.
func (n *Node) RoleChanges() int64 { return n.counts.RoleChanges.Load() }
