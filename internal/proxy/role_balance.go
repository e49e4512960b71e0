// Turning: the one holder of a service's duty looks at the workers' reports and has one
// change its part when the other part is pressed. The workers need not check fences, so
// the lease alone protects: a holder sends its first order only once any earlier one's
// lease has surely lapsed. All nodes hear of a turn before the order goes out, so that
// nothing new is sent to the worker meanwhile.

package proxy

import (
	"context"
	"sort"
	"sync"
	"time"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const (
	roleChangeInterval = 1200 * time.Millisecond // between two role changes of a service
	roleChangeTick     = 100 * time.Millisecond  // between two looks while workers change roles
	outageGathering    = 80 * time.Millisecond   // after an outage, before the roles are looked at
	roleChangeTimeout  = 8 * time.Second         // then a turn that shows no end is given up
	roleChangeNotice   = 350 * time.Millisecond  // for all nodes to hear of it
)

type roleBalance struct {
	fence           ids.Fence
	since           ids.Tick
	lastChange      ids.Tick // when the last turn ended
	prefillPressure float64  // smoothed
	decodePressure  float64
	lastReport      ids.Tick
	changedAt       map[ids.WorkerID]ids.Tick // when a worker was last told to turn
	up              roleCounts                // in the last round
	lost            roleCounts                // since the round before
	urgent          bool                      // workers were found to be down since
}

type roleChange struct {
	began    ids.Tick
	sent     bool
	expected int
}

// roleBalancer does the duties that are this node's.
func (n *Node) roleBalancer(ctx context.Context) {
	if n.options.RoleChangeInterval < 0 {
		return
	}
	duties := map[string]*roleBalance{}
	turns := map[ids.WorkerID]*roleChange{}
	for {
		urgent, ok := n.awaitRoleTick(ctx, len(turns) > 0)
		if !ok {
			return
		}
		s := n.snapshot()
		for name := range s.Configuration.Services {
			key := fleetstate.ServiceKey(name)
			fence, ok := n.agent.OwnsKey(key)
			if !ok {
				delete(duties, name)
				continue
			}
			d := duties[name]
			if d == nil || d.fence != fence {
				d = &roleBalance{
					fence:           fence,
					since:           n.now(),
					lastChange:      n.now(),
					prefillPressure: 0.5,
					decodePressure:  0.2,
					changedAt:       map[ids.WorkerID]ids.Tick{},
				}
				duties[name] = d
			}
			d.urgent = d.urgent || urgent
			service := s.Configuration.Services[name]
			n.balanceRoles(ctx, s, &service, key, d, turns)
		}
	}
}

// mayOrder tells whether the lease of any earlier holder has surely lapsed. Until then this one only
// asks for reports, which all nodes need.
func (d *roleBalance) mayOrder(now ids.Tick, lease time.Duration) bool {
	return now.Past(d.since, lease+lease/5)
}

// awaitRoleTick waits for the next look at the roles: sooner while workers change theirs, and urgently
// when a worker was found to be down. It is not ok once the context has ended.
func (n *Node) awaitRoleTick(ctx context.Context, changing bool) (urgent, ok bool) {
	wait := n.options.RoleChangeInterval
	if changing {
		wait = min(wait, roleChangeTick)
	}
	timer := host.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-n.outages:
		return true, host.Sleep(ctx, outageGathering) // several may be down at once
	case <-timer.C:
		return false, true
	}
}

// noteOutage has the roles looked at, since a worker was found to be down.
func (n *Node) noteOutage() {
	select {
	case n.outages <- struct{}{}:
	default:
	}
}

func (n *Node) submitRoleChange(ctx context.Context, t *fleetstate.RoleChange) bool {
	callContext, stop := context.WithTimeout(ctx, 700*time.Millisecond)
	defer stop()
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("turn/"+coordination.NewID()),
		fleetstate.RoleChangeKind,
		coordination.MustMarshal(t),
	)
	return err == nil
}

type workerReport struct {
	*Report
	worker *Worker
}

// balanceRoles asks the workers, ends role changes that are over, and begins one where it helps.
func (n *Node) balanceRoles(
	ctx context.Context,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	key ids.Key,
	d *roleBalance,
	turns map[ids.WorkerID]*roleChange,
) {
	list := n.endpoints.Load()
	listed := map[ids.WorkerID]*Worker{}
	own := false
	for i := range list.workers {
		if w := &list.workers[i]; w.Service == service.Name {
			listed[w.ID] = w
			if _, on := s.RoleChanges[w.ID]; on {
				own = true
			}
		}
	}
	mayOrder := d.mayOrder(n.now(), n.options.LeaseDuration)
	if mayOrder {
		n.finishRoleChanges(ctx, s, listed, key, d, turns)
	}
	urgent := d.urgent
	if !urgent && (own || !n.now().Past(d.lastReport, 2*n.options.RoleChangeInterval-50*time.Millisecond)) {
		return
	}
	d.lastReport, d.urgent = n.now(), false
	rows := n.reports(ctx, s, listed)
	d.recordCounts(n.workersUp(s, listed))
	n.recordReports(service.Name, d.lastReport, rows)
	read, emit := d.smoothPressure(rows, service)
	if !mayOrder || !urgent && !n.now().Past(d.lastChange, roleChangeInterval) {
		return
	}
	for id := range d.changedAt {
		if listed[id] == nil {
			delete(d.changedAt, id)
		}
	}
	some, to := chooseRoleChange(rows, read, emit, n.options.IdlePrefillShare, d.lost)
	some, to = n.proposeRoleChange(n.programsFor(s), service, d, rows, some, to)
	for _, w := range some {
		if n.submitRoleChange(ctx, &fleetstate.RoleChange{Worker: w.worker.ID, To: to}) {
			turns[w.worker.ID] = &roleChange{began: n.now(), expected: w.Orders}
			d.changedAt[w.worker.ID] = n.now()
			d.up.move(to)
			n.options.Ring.Info().Str("worker", string(w.worker.ID)).Str("role", string(to)).
				Float64("prefillPressure", read).Float64("decodePressure", emit).Msg("changing worker role")
		}
	}
}

// finishRoleChanges ends the changes that are over, of all workers of which this node may.
func (n *Node) finishRoleChanges(
	ctx context.Context,
	s *fleetstate.Snapshot,
	listed map[ids.WorkerID]*Worker,
	key ids.Key,
	d *roleBalance,
	turns map[ids.WorkerID]*roleChange,
) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for id, to := range s.RoleChanges {
		w, t := listed[id], turns[id]
		if t == nil { // an earlier holder began it
			t = &roleChange{began: n.now(), sent: true}
			turns[id] = t
		}
		wg.Go(func() {
			if w == nil && !n.elsewhere(id) || w != nil && n.finishRoleChange(ctx, w, to, key, d, t) {
				if n.submitRoleChange(ctx, &fleetstate.RoleChange{Worker: id, Done: true}) {
					mu.Lock()
					defer mu.Unlock()
					delete(turns, id)
					d.lastChange = n.now()
				}
			}
		})
	}
	wg.Wait()
}

// elsewhere tells that another service's worker, or one whose list is not known, has it.
func (n *Node) elsewhere(id ids.WorkerID) bool {
	list := n.endpoints.Load()
	return len(list.workers) == 0 || list.find(id) != nil
}

// finishRoleChange sends the order of a turn once all have heard of it, and tells when it is done.
func (n *Node) finishRoleChange(
	ctx context.Context,
	w *Worker,
	to ids.Role,
	key ids.Key,
	d *roleBalance,
	t *roleChange,
) bool {
	now := n.now()
	switch {
	case w.Role == to, now.Past(t.began, roleChangeTimeout), w.Leaving:
		return true
	case t.sent || !now.Past(t.began, roleChangeNotice):
		return false
	}
	t.sent = true
	fence, end, ok := n.agent.BeginOperation(key)
	if !ok || fence != d.fence {
		if ok {
			end()
		}
		return true
	}
	defer end()
	callContext, stop := context.WithTimeout(ctx, 600*time.Millisecond)
	defer stop()
	err := n.options.Backend.Order(callContext, *w, &RoleOrder{
		To:       to,
		Owner:    n.self.Node,
		Fence:    fence,
		Expected: t.expected,
	})
	return failure.Is(err, failure.NotExecuted)
}

// reports asks all workers that may be counted on, side by side.
func (n *Node) reports(ctx context.Context, s *fleetstate.Snapshot, listed map[ids.WorkerID]*Worker) []workerReport {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []workerReport
	for _, w := range listed {
		if !acceptsWork(s, w) || w.Role == "" || n.isDown(w.ID) {
			continue
		}
		wg.Go(func() {
			callContext, stop := context.WithTimeout(ctx, 400*time.Millisecond)
			defer stop()
			r, err := n.options.Backend.Report(callContext, *w)
			if err != nil || r.RoleChanging || r.Role != w.Role {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, workerReport{r, w})
		})
	}
	wg.Wait()
	sort.Slice(out, func(i, j int) bool { return out[i].worker.ID < out[j].worker.ID })
	return out
}
