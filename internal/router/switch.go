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
	smooth    = 0.3
	turnEvery = 500 * time.Millisecond
	turnMost  = 20 * time.Second
)

// pool is what the holder of a pool's key remembers; new hands start anew and
// wait half a dwell.
type pool struct {
	fence ids.Fence
	last  ids.Tick
	to    ids.Role
	press map[ids.Role]float64
}

func (n *Node) switcher(ctx context.Context) {
	pools := map[string]*pool{}
	for host.Sleep(ctx, turnEvery) {
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
				p = &pool{fence: fence, last: n.now(), press: map[ids.Role]float64{}}
				pools[m] = p
			}
			if w, ok := n.pickTurn(s, m, p); ok {
				if err := n.turn(ctx, w.Worker, w.To); err == nil {
					n.counts.Turned.Add(1)
				} else {
					n.opt.Ring.Info().AnErr("cause", err).Str("worker", string(w.Worker)).Msg("did not turn")
				}
			}
			end()
		}
	}
}

// pickTurn names a worker that should turn now, if any.
func (n *Node) pickTurn(s *fleetstate.Snapshot, model string, p *pool) (routing.RoleChange, bool) {
	now, dwell := n.now(), s.Configuration.Limits.Dwell()
	by := map[ids.Role][]Stand{}
	for id, st := range *n.stands.Load() {
		if w, ok := s.Configuration.Workers[id]; ok && w.Model == model && st.Ready && n.fit(s, id) {
			by[st.Part] = append(by[st.Part], st)
		}
	}
	view := &routing.Pool{Model: model, Pressure: p.press, Since: now.Since(p.last)}
	for _, part := range []ids.Role{ids.Prefill, ids.Decode} {
		list := by[part]
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		p.press[part] += smooth * (press(list) - p.press[part])
		rest := dwell / 2
		if routing.OtherRole(part) == p.to {
			rest = dwell / 4
		}
		for _, st := range list {
			w := s.Configuration.Workers[st.ID]
			view.Workers = append(view.Workers, routing.RoleCandidate{ID: st.ID, Zone: w.Zone, Role: part, HomeRole: w.Role, Busy: st.Busy, Work: st.Work,
				MaxConcurrent: st.Cap, Free: st.Free, Capacity: st.Room,
				Allowed: view.Since >= rest && spare(s, list, st.ID) && covered(s, list, st, n.clock()) && !n.turnedWithin(st.ID, dwell)})
		}
	}
	wish, ok := n.wish(s, view)
	if ok {
		n.turned.Store(wish.Worker, now)
		p.last, p.to = now, wish.To
	}
	return wish, ok
}

// wish asks the programs; with turning off, workers go home one by one.
func (n *Node) wish(s *fleetstate.Snapshot, view *routing.Pool) (routing.RoleChange, bool) {
	if s.Configuration.RoleChanges {
		return n.deck(s).ProposeRoleChange(view)
	}
	for _, to := range []ids.Role{ids.Prefill, ids.Decode} {
		if w, ok := routing.Idlest(view, to, func(t routing.RoleCandidate) bool { return t.HomeRole == to }); ok {
			return w, true
		}
	}
	return routing.RoleChange{}, false
}

// press is the larger of the shares of starts and of room that are in use.
func press(list []Stand) float64 {
	var work, most, used, room float64
	for _, st := range list {
		work, most = work+float64(st.Work), most+float64(st.Cap)
		used, room = used+float64(st.Used), room+float64(st.Room)
	}
	return max(work/max(most, 1), used/max(room, 1))
}

// spare tells whether a part can do without one of its workers: one of the same
// weights stays, and two zones still have one if they had before.
func spare(s *fleetstate.Snapshot, list []Stand, id ids.WorkerID) bool {
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

// covered tells whether every regime that a worker serves in its part keeps another one
// there that is cleared too.
func covered(s *fleetstate.Snapshot, list []Stand, me Stand, now certification.Now) bool {
	for _, g := range s.Register.Regimes() {
		clear := func(st Stand) bool {
			_, ok := s.Register.Clears(g, certification.Subject{Worker: st.ID}, me.Part, now)
			return ok
		}
		if clear(me) && !slices.ContainsFunc(list, func(st Stand) bool { return st.ID != me.ID && clear(st) }) {
			return false
		}
	}
	return true
}

func (n *Node) turnedWithin(id ids.WorkerID, dwell time.Duration) bool {
	v, ok := n.turned.Load(id)
	return ok && n.now().Since(v.(ids.Tick)) < dwell
}

// turn asks the worker's holder to drain it and change its part.
func (n *Node) turn(ctx context.Context, id ids.WorkerID, to ids.Role) error {
	cx, stop := context.WithTimeout(ctx, turnMost+time.Second)
	defer stop()
	m, _, ok := n.agent.KeyOwner(fleetstate.WorkerKey(id))
	if !ok {
		return failure.New(failure.Unavailable, "turn", string(id), "nobody holds its key now")
	}
	q := &OrderAsk{Worker: id, Verb: verbTurn, Body: []byte(to)}
	if m.Node == n.me.Node {
		_, err := n.act(cx, q)
		return err
	}
	_, err := rpc.Call[OrderAsk, OrderReply](cx, n.call, m.Addr, "verge/order", q)
	return failure.Wrap(err, "turn", string(id))
}

// turnHere is the holder's side: no new work, wait until it is empty, order it.
func (n *Node) turnHere(ctx context.Context, d *desk, addr string, lead workerclient.OrderHeader, to ids.Role) (*workerclient.OrderResponse, error) {
	d.ledger.Hold(true)
	defer d.ledger.Hold(false)
	cx, stop := context.WithTimeout(ctx, turnMost)
	defer stop()
	for {
		if f, ok := n.agent.OwnsKey(fleetstate.WorkerKey(d.id)); !ok || f != d.fence {
			return nil, failure.New(failure.Unavailable, "turn", n.me.Addr, "the key of %s went to other hands", d.id)
		}
		lead.Version = n.view.Current().Version
		if n.sure() && d.ledger.Empty() {
			a, err := n.workerClient.SetRole(cx, addr, &workerclient.RoleRequest{OrderHeader: lead, Role: to})
			if !failure.Is(err, failure.NotExecuted) {
				return a, err
			}
		}
		if !host.Sleep(cx, 100*time.Millisecond) {
			return nil, failure.New(failure.NotExecuted, "turn", string(d.id), "it did not drain in %s", turnMost)
		}
	}
}

// Turned counts the parts that this node has had changed.
func (n *Node) Turned() int64 { return n.counts.Turned.Load() }
