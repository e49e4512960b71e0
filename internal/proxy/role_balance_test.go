// Workers that change their part by the one holder of a service's duty.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

var svcKey = fleetstate.ServiceKey("svc")

// withRoleChanges has nodes look at the workers' reports.
// turning has a fleet change roles; half of its workers read while it is idle.
func withRoleChanges(o *Options) {
	o.RoleChangeInterval, o.RetryAllowance, o.IdlePrefillShare = 500*time.Millisecond, 20, 0.55
}

// setExtraRunning makes the workers of a part busy by their reports.
func (p *fakePlatform) setExtraRunning(role ids.Role, by int) {
	p.withLock(func() {
		p.extraRunning = func(s *fakeWorker) int {
			if s.Role == role {
				return by
			}
			return 0
		}
	})
}

func workerRoles(y *fakePlatform) map[ids.WorkerID]ids.Role {
	y.mu.Lock()
	defer y.mu.Unlock()
	out := map[ids.WorkerID]ids.Role{}
	for _, s := range y.workers {
		out[s.ID] = s.Role
	}
	return out
}

// roleDutyHolder gives the number of the node that holds the duty, or -1.
func (f *fleet) roleDutyHolder() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(svcKey); ok && b.running {
			return i
		}
	}
	return -1
}

func recordedOrders(rows []callRecord) []callRecord {
	var out []callRecord
	for _, k := range rows {
		if k.Kind == "order" {
			out = append(out, k)
		}
	}
	return out
}

// checkChangingWorkersIdle: nothing is sent to a worker from its order until its turn is over.
func checkChangingWorkersIdle(rows []callRecord, duration time.Duration) []string {
	var out []string
	for _, k := range recordedOrders(rows) {
		if k.Accepted {
			out = append(out, callsToWorker(rows, k.Worker, k.At, k.At+duration)...)
		}
	}
	return out
}

// TestTurnBothWays: workers turn to the part that is pressed, and back when the other one
// is; meanwhile a worker that turns gets nothing, each part keeps a third, orders come
// from one node, and callers notice nothing.
func TestTurnBothWays(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 5)...)
		f := startFleet(t, 41, 3, y, defaultConfiguration(), withRoleChanges)
		defer f.close()
		was := workerRoles(y)
		f.wg.Go(func() {
			y.setExtraRunning(ids.Prefill, 6)
			time.Sleep(14 * time.Second)
			y.setExtraRunning(ids.Decode, 14)
			time.Sleep(25 * time.Second)
			y.setExtraRunning(ids.Prefill, 6)
		})
		all := f.generateLoad(25, 50*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6) })
		rows := y.recordedCalls()
		to := map[ids.Role]int{}
		by := map[ids.NodeID]bool{}
		var flips []ids.Role
		for _, k := range recordedOrders(rows) {
			to[k.TargetRole]++
			by[k.Owner] = true
			if n := len(flips); n == 0 || flips[n-1] != k.TargetRole {
				flips = append(flips, k.TargetRole)
			}
		}
		require.Equal(t, []ids.Role{ids.Prefill, ids.Decode, ids.Prefill}, flips, "%v", recordedOrders(rows))
		require.Len(t, by, 1, "one node orders")
		require.Empty(t, checkMinimumPerRole(rows, was))
		require.Empty(t, checkUnavailableWorkers(rows, 100*time.Millisecond))
		require.Empty(t, checkChangingWorkersIdle(rows, time.Second))
		require.Empty(t, ordersApart(rows, 3*time.Second))
		require.Empty(t, checkExecutions(rows, all))
		require.Empty(t, checkResponses(all))
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}

// TestNoTurnNeeded: without pressure, and for workers without parts, nothing is ordered.
func TestNoTurnNeeded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 3, 3), newFakeWorkers("free", "", 3)...)...)
		text := encodeConfiguration(append(defaultRoutes(), fleetstate.Route{
			Name:            "f",
			Host:            routeHost,
			Prefix:          "/free/",
			Service:         "free",
			MaxAttempts:     2,
			DeadlineMs:      4000,
			LatencyTargetMs: 400,
		}), fleetstate.Service{
			Name:        "svc",
			Concurrency: 16,
		}, fleetstate.Service{Name: "free", Concurrency: 16})
		f := startFleet(t, 42, 2, y, text, withRoleChanges)
		defer f.close()
		f.generateLoad(20, 10*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), []string{"/once/x", "/free/x"}[i%2], 400, 4)
		})
		require.Empty(t, recordedOrders(y.recordedCalls()))
	})
}

// TestOneOrders: holders that are killed, frozen and cut off from the core, in turn: orders
// to one worker by different owners are a lease apart at least, fences never fall, a fence
// belongs to one owner, no part falls below a third, and every turn comes to an end.
func TestOneOrders(t *testing.T) {
	forEachSeed(t, 8, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, seed, 3, y, defaultConfiguration(), withRoleChanges)
		defer f.close()
		was := workerRoles(y)
		for i := range 7 {
			y.setExtraRunning([]ids.Role{ids.Prefill, ids.Decode}[i%2], []int{6, 14}[i%2])
			f.waitUntil(12*time.Second, func() bool { return f.roleDutyHolder() >= 0 && len(recordedOrders(y.recordedCalls())) > i })
			time.Sleep(time.Duration(seed*131%17+uint64(i)*7%5) * 100 * time.Millisecond)
			h := f.roleDutyHolder()
			if h < 0 {
				continue
			}
			ip := []string{nodeIP(h)}
			switch (int(seed) + i) % 4 {
			case 0:
				f.killNode(h)
				time.Sleep(1500 * time.Millisecond)
				f.startNode(h)
			case 1:
				f.setFrozen(h, true)
				time.Sleep(5 * time.Second)
				f.setFrozen(h, false)
			case 2:
				f.world.Partition(ip, coreIPs, true)
				time.Sleep(6 * time.Second)
				f.world.Partition(ip, coreIPs, false)
			case 3:
				f.setFrozen(h, true)
				time.Sleep(2 * time.Second)
				f.setFrozen(h, false)
				if l := f.leader(); l != "" {
					f.powerOffCore(l)
					time.Sleep(3 * time.Second)
					f.startCore(l)
				}
			}
		}
		y.withLock(func() { y.extraRunning = nil })
		require.True(t, f.waitUntil(30*time.Second, func() bool {
			for _, b := range f.runningNodes() {
				if len(b.view.Current().RoleChanges) > 0 {
					return false
				}
			}
			return true
		}), "every turn comes to an end")
		rows := y.recordedCalls()
		require.Greater(t, len(recordedOrders(rows)), 3)
		require.Empty(t, ordersApart(rows, 3*time.Second))
		require.Empty(t, checkMinimumPerRole(rows, was))
		owner, last := map[ids.Fence]ids.NodeID{}, ids.Fence(0)
		for _, k := range recordedOrders(rows) {
			if previous, ok := owner[k.Fence]; ok {
				require.Equal(t, previous, k.Owner)
			}
			owner[k.Fence] = k.Owner
			require.GreaterOrEqual(t, k.Fence, last, "over all workers of the service")
			last = k.Fence
		}
	})
}

// TestOrphan: the holder dies right after all heard of a turn, before or after its order:
// nothing is sent to that worker while the turn stands, and the next holder ends it.
func TestOrphan(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		t.Run(fmt.Sprint("ordered-", ordered), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				f := startFleet(t, 43, 3, y, defaultConfiguration(), withRoleChanges)
				defer f.close()
				y.setExtraRunning(ids.Prefill, 6)
				require.True(t, f.waitUntil(15*time.Second, func() bool {
					return len(f.nodes[0].view.Current().RoleChanges) > 0 && (!ordered || len(recordedOrders(y.recordedCalls())) > 0)
				}))
				h := f.roleDutyHolder()
				require.GreaterOrEqual(t, h, 0)
				f.killNode(h)
				y.withLock(func() { y.extraRunning = nil })
				all := f.generateLoad(20, 25*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4)
				})
				for _, b := range f.runningNodes() {
					require.Empty(t, b.view.Current().RoleChanges, "the next holder ended it")
				}
				require.Empty(t, checkUnavailableWorkers(y.recordedCalls(), 100*time.Millisecond))
				require.Empty(t, checkExecutions(y.recordedCalls(), all))
				if !ordered {
					require.Empty(t, recordedOrders(y.recordedCalls()))
				}
			})
		})
	}
}

// TestNewHolderWaits: a new holder sends no order until more than a lease went by since it
// was given the duty, also where the one before it is only cut off and goes on.
func TestNewHolderWaits(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 44, 3, y, defaultConfiguration(), withRoleChanges)
		defer f.close()
		time.Sleep(3 * time.Second)
		h := f.roleDutyHolder()
		require.GreaterOrEqual(t, h, 0)
		f.world.Partition([]string{nodeIP(h)}, coreIPs, true)
		next := -1
		require.True(t, f.waitUntil(20*time.Second, func() bool { next = f.roleDutyHolder(); return next >= 0 && next != h }))
		since := y.elapsed()
		y.setExtraRunning(ids.Prefill, 6)
		require.True(t, f.waitUntil(20*time.Second, func() bool { return len(recordedOrders(y.recordedCalls())) > 0 }))
		first := recordedOrders(y.recordedCalls())[0]
		require.Equal(t, nodeIP(next), first.Node)
		require.Greater(t, first.At-since, 3*time.Second)
	})
}

// TestTurnWarned: news takes its time to one node, and the holder looks often: it sends its
// order only once that node knows of the turn too, and nothing is sent there meanwhile.
func TestTurnWarned(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 45, 3, y, defaultConfiguration(), func(o *Options) { withRoleChanges(o); o.RoleChangeInterval = 50 * time.Millisecond })
		defer f.close()
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.roleDutyHolder() >= 0 }))
		late := f.nodes[(f.roleDutyHolder()+1)%3]
		for _, ip := range coreIPs {
			f.world.SetLink(ip, late.ip, simulated.Link{Delay: 200 * time.Millisecond})
		}
		time.Sleep(4 * time.Second)
		y.setExtraRunning(ids.Prefill, 6)
		all := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		rows := y.recordedCalls()
		require.NotEmpty(t, recordedOrders(rows))
		require.Empty(t, checkChangingWorkersIdle(rows, time.Second))
		require.Empty(t, checkExecutions(rows, all))
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}
