// Role balancing. The coordination service leases the balancing of each service to one node, the owner
// of the service's duty. The owner collects the workers' reports and changes the role of workers when
// the other role is overloaded. Workers need not check fences, so only the lease protects against two
// owners: an owner sends its first order only once the lease of any earlier owner has certainly
// expired. All nodes learn of a role change before the order is sent, so that no new work reaches the
// worker meanwhile.

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
	roleChangeInterval      = 1200 * time.Millisecond // minimum time between two role changes of a service
	activeRoleCheckInterval = 100 * time.Millisecond  // time between two checks of the roles while workers change them
	outageCheckDelay        = 80 * time.Millisecond   // wait after an outage before roles are checked, as several workers may fail at once
	roleChangeTimeout       = 8 * time.Second         // time after which an unfinished role change is abandoned
	roleChangeNotice        = 350 * time.Millisecond  // time allowed until all nodes know of a role change
)

// roleBalance is the state of role balancing for one service while this node owns its duty.
type roleBalance struct {
	fence              ids.Fence
	ownedSince         ids.Tick
	lastChangeEndedAt  ids.Tick // when the last role change ended
	prefillPressure    float64  // exponentially smoothed, like decodePressure
	decodePressure     float64
	reportsCollectedAt ids.Tick                  // when reports were last collected
	roleChangedAt      map[ids.WorkerID]ids.Tick // when each worker's last role change began
	liveCounts         roleCounts                // live workers by role when reports were last collected
	lostCounts         roleCounts                // workers lost between the last two collections of reports, by role
	workersWentDown    bool                      // a worker was found to be down since reports were last collected
}

// roleChange is a running role change of a worker.
type roleChange struct {
	startedAt      ids.Tick
	orderSent      bool
	acceptedOrders int // role orders that the worker had accepted when the change began
}

// roleBalancer balances the roles of the services whose duties this node owns.
func (n *Node) roleBalancer(ctx context.Context) {
	if n.options.RoleCheckInterval < 0 {
		return
	}
	duties := map[string]*roleBalance{}
	changes := map[ids.WorkerID]*roleChange{}
	for {
		urgent, ok := n.awaitRoleCheck(ctx, len(changes) > 0)
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
			balance := duties[name]
			if balance == nil || balance.fence != fence {
				balance = &roleBalance{
					fence:             fence,
					ownedSince:        n.now(),
					lastChangeEndedAt: n.now(),
					prefillPressure:   0.5,
					decodePressure:    0.2,
					roleChangedAt:     map[ids.WorkerID]ids.Tick{},
				}
				duties[name] = balance
			}
			balance.workersWentDown = balance.workersWentDown || urgent
			service := s.Configuration.Services[name]
			n.balanceRoles(ctx, s, &service, key, balance, changes)
		}
	}
}

// mayOrder reports whether the lease of any earlier owner has certainly expired. Until then this owner
// only requests reports, which all nodes need.
func (b *roleBalance) mayOrder(now ids.Tick, lease time.Duration) bool {
	return now.Past(b.ownedSince, lease+lease/5)
}

// awaitRoleCheck waits until the roles are due to be checked: sooner while workers change roles, and
// urgently when a worker was found to be down. ok is false once the context has ended.
func (n *Node) awaitRoleCheck(ctx context.Context, changing bool) (urgent, ok bool) {
	wait := n.options.RoleCheckInterval
	if changing {
		wait = min(wait, activeRoleCheckInterval)
	}
	timer := host.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-n.outages:
		return true, host.Sleep(ctx, outageCheckDelay)
	case <-timer.C:
		return false, true
	}
}

// noteOutage triggers a check of the roles after a worker was found to be down.
func (n *Node) noteOutage() {
	select {
	case n.outages <- struct{}{}:
	default:
	}
}

// submitRoleChange submits the start or the end of a role change to the coordination service.
func (n *Node) submitRoleChange(ctx context.Context, change *fleetstate.RoleChange) bool {
	callContext, stop := context.WithTimeout(ctx, 700*time.Millisecond)
	defer stop()
	_, err := n.agent.Submit(
		callContext,
		ids.OpID("turn/"+coordination.NewID()),
		fleetstate.RoleChangeKind,
		coordination.MustMarshal(change),
	)
	return err == nil
}

// workerReport is a report with the worker that sent it.
type workerReport struct {
	*Report
	worker *Worker
}

// balanceRoles advances the running role changes, collects the workers' reports, and begins the role
// changes that chooseRoleChange or a routing program selects.
func (n *Node) balanceRoles(
	ctx context.Context,
	s *fleetstate.Snapshot,
	service *fleetstate.Service,
	key ids.Key,
	balance *roleBalance,
	changes map[ids.WorkerID]*roleChange,
) {
	list := n.currentList.Load()
	listed := map[ids.WorkerID]*Worker{}
	changeRunning := false
	for i := range list.workers {
		if w := &list.workers[i]; w.Service == service.Name {
			listed[w.ID] = w
			if _, changing := s.RoleChanges[w.ID]; changing {
				changeRunning = true
			}
		}
	}
	mayOrder := balance.mayOrder(n.now(), n.options.LeaseDuration)
	if mayOrder {
		n.advanceRoleChanges(ctx, s, listed, key, balance, changes)
	}
	urgent := balance.workersWentDown
	if !urgent && (changeRunning ||
		!n.now().Past(balance.reportsCollectedAt, 2*n.options.RoleCheckInterval-50*time.Millisecond)) {
		return
	}
	balance.reportsCollectedAt, balance.workersWentDown = n.now(), false
	reports := n.reports(ctx, s, listed)
	balance.recordCounts(n.workersUp(s, listed))
	n.recordReports(service.Name, balance.reportsCollectedAt, reports)
	prefillPressure, decodePressure := balance.smoothPressure(reports, service)
	if !mayOrder || !urgent && !n.now().Past(balance.lastChangeEndedAt, roleChangeInterval) {
		return
	}
	for id := range balance.roleChangedAt {
		if listed[id] == nil {
			delete(balance.roleChangedAt, id)
		}
	}
	selected, to := chooseRoleChange(
		reports, prefillPressure, decodePressure, n.options.IdlePrefillShare, balance.lostCounts,
	)
	selected, to = n.proposeRoleChange(n.programsFor(s), service, balance, reports, selected, to)
	for _, w := range selected {
		if n.submitRoleChange(ctx, &fleetstate.RoleChange{Worker: w.worker.ID, To: to}) {
			changes[w.worker.ID] = &roleChange{startedAt: n.now(), acceptedOrders: w.Orders}
			balance.roleChangedAt[w.worker.ID] = n.now()
			balance.liveCounts.move(to)
			n.options.Ring.Info().Str("worker", string(w.worker.ID)).Str("role", string(to)).
				Float64("prefillPressure", prefillPressure).Float64("decodePressure", decodePressure).
				Msg("changing worker role")
		}
	}
}

// advanceRoleChanges advances the role changes of the service's workers: it sends the orders that are
// due and ends the changes that are over. It also ends those of workers that no service lists any more.
func (n *Node) advanceRoleChanges(
	ctx context.Context,
	s *fleetstate.Snapshot,
	listed map[ids.WorkerID]*Worker,
	key ids.Key,
	balance *roleBalance,
	changes map[ids.WorkerID]*roleChange,
) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for id, to := range s.RoleChanges {
		w, change := listed[id], changes[id]
		if change == nil { // an earlier owner began it
			change = &roleChange{startedAt: n.now(), orderSent: true}
			changes[id] = change
		}
		wg.Go(func() {
			if w == nil && !n.mayBeListedElsewhere(id) ||
				w != nil && n.advanceRoleChange(ctx, w, to, key, balance, change) {
				if n.submitRoleChange(ctx, &fleetstate.RoleChange{Worker: id, Done: true}) {
					mu.Lock()
					defer mu.Unlock()
					delete(changes, id)
					balance.lastChangeEndedAt = n.now()
				}
			}
		})
	}
	wg.Wait()
}

// mayBeListedElsewhere reports whether a worker that this service doesn't list belongs to another
// service, or may do so because no list is known.
func (n *Node) mayBeListedElsewhere(id ids.WorkerID) bool {
	list := n.currentList.Load()
	return len(list.workers) == 0 || list.find(id) != nil
}

// advanceRoleChange sends the order of a role change once all nodes have learned of the change. It
// reports whether the change is over: done, timed out, refused by the worker, or abandoned because the
// worker is leaving or this node has lost the duty.
func (n *Node) advanceRoleChange(
	ctx context.Context,
	w *Worker,
	to ids.Role,
	key ids.Key,
	balance *roleBalance,
	change *roleChange,
) bool {
	now := n.now()
	switch {
	case w.Role == to, now.Past(change.startedAt, roleChangeTimeout), w.Leaving:
		return true
	case change.orderSent || !now.Past(change.startedAt, roleChangeNotice):
		return false
	}
	change.orderSent = true
	fence, end, ok := n.agent.BeginOperation(key)
	if !ok || fence != balance.fence {
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
		Expected: change.acceptedOrders,
	})
	return failure.Is(err, failure.NotExecuted)
}

// reports collects the reports of all workers that accept work and are not down, concurrently.
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
