// The switcher: for each pool one node decides when a worker changes its part. A
// program may wish for a turn, else the built-in one; here stands what no wish can
// break: a worker turns once a dwell, a pool's turns are half of it apart, a quarter
// in one direction, so that each shows before the next, and the part that a worker
// leaves keeps enough. Pressure counts what has begun at a worker. (Bookings counted
// too, once; as room for the whole answer is booked at a decode worker while the
// prompt still waits to be read, decode then looked as pressed as prefill was, and
// nothing turned.) The worker's own holder drains it first.

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
	pressureSmoothing  = 0.3
	roleChangeInterval = 500 * time.Millisecond
	roleChangeTimeout  = 20 * time.Second
)

// rolePool is what the holder of a pool's key remembers; new hands start anew and
// wait half a dwell.
type rolePool struct {
	fence      ids.Fence
	lastChange ids.Tick
	lastRole   ids.Role
	pressure   map[ids.Role]float64
}

func (n *Node) roleBalanceLoop(ctx context.Context) {
	pools := map[string]*rolePool{}
	for host.Sleep(ctx, roleChangeInterval) {
		s := n.view.Current()
		models := map[string]bool{}
		for _, w := range s.Configuration.Workers {
			models[w.Model] = true
		}
		for m := range models {
			fence, end, ok := n.agent.BeginOperation(fleetstate.PoolKey(m))
			if !ok {
				delete(pools, m)
				continue
			}
			p := pools[m]
			if p == nil || p.fence != fence {
				p = &rolePool{fence: fence, lastChange: n.now(), pressure: map[ids.Role]float64{}}
				pools[m] = p
			}
			if w, ok := n.pickRoleChange(s, m, p); ok {
				if err := n.changeRole(ctx, w.Worker, w.To); err == nil {
					n.counts.RoleChanges.Add(1)
				} else {
					n.options.Ring.Info().AnErr("cause", err).Str("worker", string(w.Worker)).Msg("worker role not changed")
				}
			}
			end()
		}
	}
}

// pickRoleChange names a worker that should turn now, if any.
func (n *Node) pickRoleChange(s *fleetstate.Snapshot, model string, p *rolePool) (routing.RoleChange, bool) {
	now, dwell := n.now(), s.Configuration.Limits.Dwell()
	by := map[ids.Role][]WorkerStatus{}
	for id, st := range *n.workerStatuses.Load() {
		if w, ok := s.Configuration.Workers[id]; ok && w.Model == model && st.Ready && n.acceptsWork(s, id) {
			by[st.Role] = append(by[st.Role], st)
		}
	}
	view := &routing.Pool{Model: model, Pressure: p.pressure, Since: now.Since(p.lastChange)}
	for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
		list := by[part]
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		p.pressure[part] += pressureSmoothing * (rolePressure(list) - p.pressure[part])
		rest := dwell / 2
		if routing.OtherRole(part) == p.lastRole {
			rest = dwell / 4
		}
		for _, st := range list {
			w := s.Configuration.Workers[st.ID]
			view.Workers = append(view.Workers, routing.RoleCandidate{
				ID:            st.ID,
				Zone:          w.Zone,
				Role:          part,
				HomeRole:      w.Role,
				Busy:          st.InFlight,
				Work:          st.Started,
				MaxConcurrent: st.MaxConcurrent,
				Free:          st.Free,
				Capacity:      st.Capacity,
				Allowed: view.Since >= rest && canSpare(s, list, st.ID) && regimesStayCovered(s, list, st, n.fleetTime()) &&
					!n.changedRoleWithin(st.ID, dwell),
			})
		}
	}
	change, ok := n.proposeRoleChange(s, view)
	if ok {
		n.roleChanges.Store(change.Worker, now)
		p.lastChange, p.lastRole = now, change.To
	}
	return change, ok
}

// proposeRoleChange asks the programs; with turning off, workers go home one by one.
func (n *Node) proposeRoleChange(s *fleetstate.Snapshot, view *routing.Pool) (routing.RoleChange, bool) {
	if s.Configuration.RoleChanges {
		return n.programsAt(s).ProposeRoleChange(view)
	}
	for _, to := range []ids.Role{ids.Prefill, ids.Decode} {
		if w, ok := routing.Idlest(view, to, func(t routing.RoleCandidate) bool { return t.HomeRole == to }); ok {
			return w, true
		}
	}
	return routing.RoleChange{}, false
}

// rolePressure is the larger of the shares of starts and of room that are in use.
func rolePressure(list []WorkerStatus) float64 {
	var work, limit, used, room float64
	for _, st := range list {
		work, limit = work+float64(st.Started), limit+float64(st.MaxConcurrent)
		used, room = used+float64(st.Used), room+float64(st.Capacity)
	}
	return max(work/max(limit, 1), used/max(room, 1))
}

// canSpare tells whether a part can do without one of its workers: one of the same
// weights stays, and two zones still have one if they had before.
func canSpare(s *fleetstate.Snapshot, list []WorkerStatus, id ids.WorkerID) bool {
	me := s.Configuration.Workers[id]
	before, after, same := map[ids.Zone]bool{}, map[ids.Zone]bool{}, 0
	for _, st := range list {
		w := s.Configuration.Workers[st.ID]
		before[w.Zone] = true
		if st.ID == id {
			continue
		}
		after[w.Zone] = true
		if w.Weights == me.Weights {
			same++
		}
	}
	return same >= 1 && len(after) >= min(2, len(before))
}

// regimesStayCovered tells whether every regime that a worker serves in its part keeps another one
// there that is cleared too.
func regimesStayCovered(s *fleetstate.Snapshot, list []WorkerStatus, me WorkerStatus, now certification.Now) bool {
	for _, g := range s.Register.Regimes() {
		clear := func(st WorkerStatus) bool {
			_, ok := s.Register.Clears(g, certification.Subject{Worker: st.ID}, me.Role, now)
			return ok
		}
		if clear(me) && !slices.ContainsFunc(list, func(st WorkerStatus) bool { return st.ID != me.ID && clear(st) }) {
			return false
		}
	}
	return true
}

func (n *Node) changedRoleWithin(id ids.WorkerID, dwell time.Duration) bool {
	v, ok := n.roleChanges.Load(id)
	return ok && n.now().Since(v.(ids.Tick)) < dwell
}

// changeRole asks the worker's holder to drain it and change its part.
func (n *Node) changeRole(ctx context.Context, id ids.WorkerID, to ids.Role) error {
	callContext, stop := context.WithTimeout(ctx, roleChangeTimeout+time.Second)
	defer stop()
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(id))
	if !ok {
		return failure.New(failure.Unavailable, "turn", string(id), "nobody holds its key now")
	}
	request := &OrderRequest{Worker: id, Verb: verbRoleChange, Body: []byte(to)}
	if m.Node == n.self.Node {
		_, err := n.executeOrder(callContext, request)
		return err
	}
	_, err := rpc.Call[OrderRequest, OrderResponse](callContext, n.caller, m.Addr, OrderMethod, request)
	return failure.Wrap(err, "turn", string(id))
}

// handleRoleChange is the holder's side: no new work, wait until it is empty, order it.
func (n *Node) handleRoleChange(
	ctx context.Context,
	d *workerDuty,
	addr string,
	lead workerclient.OrderHeader,
	to ids.Role,
) (*workerclient.OrderResponse, error) {
	d.ledger.Reservation(true)
	defer d.ledger.Reservation(false)
	callContext, stop := context.WithTimeout(ctx, roleChangeTimeout)
	defer stop()
	for {
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id)); !ok || f != d.fence {
			return nil, failure.New(failure.Unavailable, "turn", n.self.Addr, "the key of %s went to other hands", d.id)
		}
		lead.Version = n.view.Current().Version
		if n.versionCurrent() && d.ledger.Empty() {
			a, err := n.workerClient.SetRole(callContext, addr, &workerclient.RoleRequest{OrderHeader: lead, Role: to})
			if !failure.Is(err, failure.NotExecuted) {
				return a, err
			}
		}
		if !host.Sleep(callContext, 100*time.Millisecond) {
			return nil, failure.New(failure.NotExecuted, "turn", string(d.id), "it did not drain in %s", roleChangeTimeout)
		}
	}
}

// RoleChanges counts the parts that this node has had changed.
func (n *Node) RoleChanges() int64 { return n.counts.RoleChanges.Load() }
