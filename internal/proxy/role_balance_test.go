// Tests of role changes of workers between prefill and decode. The node that holds the service's lease sends
// the orders to change roles.

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

var serviceLeaseKey = fleetstate.ServiceKey("svc")

// withRoleChanges enables role changes, with a target share of 0.55 of prefill workers in an idle fleet.
func withRoleChanges(o *Options) {
	o.RoleCheckInterval, o.RetryAllowance, o.IdlePrefillShare = 500*time.Millisecond, 20, 0.55
}

// setExtraRunning adds running requests to the reports of the workers of a role.
func (p *fakePlatform) setExtraRunning(role ids.Role, running int) {
	p.withLock(func() {
		p.extraRunning = func(worker *fakeWorker) int {
			if worker.Role == role {
				return running
			}
			return 0
		}
	})
}

// workerRoles returns the current role of each worker.
func workerRoles(platform *fakePlatform) map[ids.WorkerID]ids.Role {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	out := map[ids.WorkerID]ids.Role{}
	for _, worker := range platform.workers {
		out[worker.ID] = worker.Role
	}
	return out
}

// roleLeaseHolder returns the index of the running node that holds the service's lease, or -1.
func (f *fleet) roleLeaseHolder() int {
	for i, node := range f.nodes {
		if _, ok := node.agent.OwnsKey(serviceLeaseKey); ok && node.running {
			return i
		}
	}
	return -1
}

// recordedRoleOrders returns the role-change orders among the calls.
func recordedRoleOrders(calls []callRecord) []callRecord {
	var orders []callRecord
	for _, call := range calls {
		if call.Kind == "order" {
			orders = append(orders, call)
		}
	}
	return orders
}

// checkChangingWorkersIdle: a worker gets no requests from the time at which it accepts a role-change order
// until the duration is over.
func checkChangingWorkersIdle(calls []callRecord, duration time.Duration) []string {
	var out []string
	for _, call := range recordedRoleOrders(calls) {
		if call.Accepted {
			out = append(out, callsToWorker(calls, call.Worker, call.At, call.At+duration)...)
		}
	}
	return out
}

// TestRoleChangesInBothDirections: workers change to the role that is under load, and back when the other role
// is under load. A worker gets no requests during its role change, each role keeps a third of the workers, one
// node sends all orders, and all requests succeed.
func TestRoleChangesInBothDirections(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 5)...)
		f := startFleet(t, 41, 3, platform, defaultConfiguration(), withRoleChanges)
		defer f.close()
		initialRoles := workerRoles(platform)
		f.wg.Go(func() {
			platform.setExtraRunning(ids.Prefill, 6)
			time.Sleep(14 * time.Second)
			platform.setExtraRunning(ids.Decode, 14)
			time.Sleep(25 * time.Second)
			platform.setExtraRunning(ids.Prefill, 6)
		})
		results := f.generateLoad(25, 50*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6) })
		calls := platform.recordedCalls()
		orderCounts := map[ids.Role]int{}
		owners := map[ids.NodeID]bool{}
		var directions []ids.Role
		for _, call := range recordedRoleOrders(calls) {
			orderCounts[call.TargetRole]++
			owners[call.Owner] = true
			if n := len(directions); n == 0 || directions[n-1] != call.TargetRole {
				directions = append(directions, call.TargetRole)
			}
		}
		require.Equal(t, []ids.Role{ids.Prefill, ids.Decode, ids.Prefill}, directions, "%v", recordedRoleOrders(calls))
		require.Len(t, owners, 1, "one node sends all orders")
		require.Empty(t, checkMinimumPerRole(calls, initialRoles))
		require.Empty(t, checkUnavailableWorkers(calls, 100*time.Millisecond))
		require.Empty(t, checkChangingWorkersIdle(calls, time.Second))
		require.Empty(t, checkRoleOrderFencing(calls, 3*time.Second))
		require.Empty(t, checkExecutions(calls, results))
		require.Empty(t, checkResponses(results))
		for _, result := range results {
			require.NoError(t, result.err)
		}
	})
}

// TestNoUnneededRoleChanges: without extra load, and for workers without roles, no role change is ordered.
func TestNoUnneededRoleChanges(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 3, 3), newFakeWorkers("free", "", 3)...)...)
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
		f := startFleet(t, 42, 2, platform, text, withRoleChanges)
		defer f.close()
		f.generateLoad(20, 10*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), []string{"/once/x", "/free/x"}[i%2], 400, 4)
		})
		require.Empty(t, recordedRoleOrders(platform.recordedCalls()))
	})
}

// TestSingleOwnerSendsRoleOrders: holders of the service's lease are killed, frozen and partitioned from the
// core (the coordination service) in turn. Orders of different holders to one worker are at least a lease
// duration apart, fencing tokens never decrease, a fencing token belongs to one holder, no role gets fewer than
// a third of the workers, and every role change ends.
func TestSingleOwnerSendsRoleOrders(t *testing.T) {
	forEachSeed(t, 8, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), withRoleChanges)
		defer f.close()
		initialRoles := workerRoles(platform)
		for i := range 7 {
			platform.setExtraRunning([]ids.Role{ids.Prefill, ids.Decode}[i%2], []int{6, 14}[i%2])
			f.waitUntil(12*time.Second, func() bool { return f.roleLeaseHolder() >= 0 && len(recordedRoleOrders(platform.recordedCalls())) > i })
			time.Sleep(time.Duration(seed*131%17+uint64(i)*7%5) * 100 * time.Millisecond)
			holder := f.roleLeaseHolder()
			if holder < 0 {
				continue
			}
			holderIPs := []string{nodeIP(holder)}
			switch (int(seed) + i) % 4 {
			case 0:
				f.killNode(holder)
				time.Sleep(1500 * time.Millisecond)
				f.startNode(holder)
			case 1:
				f.setFrozen(holder, true)
				time.Sleep(5 * time.Second)
				f.setFrozen(holder, false)
			case 2:
				f.world.Partition(holderIPs, coreIPs, true)
				time.Sleep(6 * time.Second)
				f.world.Partition(holderIPs, coreIPs, false)
			case 3:
				f.setFrozen(holder, true)
				time.Sleep(2 * time.Second)
				f.setFrozen(holder, false)
				if leader := f.leader(); leader != "" {
					f.powerOffCore(leader)
					time.Sleep(3 * time.Second)
					f.startCore(leader)
				}
			}
		}
		platform.withLock(func() { platform.extraRunning = nil })
		require.True(t, f.waitUntil(30*time.Second, func() bool {
			for _, node := range f.runningNodes() {
				if len(node.view.Current().RoleChanges) > 0 {
					return false
				}
			}
			return true
		}), "every role change ends")
		calls := platform.recordedCalls()
		require.Greater(t, len(recordedRoleOrders(calls)), 3)
		require.Empty(t, checkRoleOrderFencing(calls, 3*time.Second))
		require.Empty(t, checkMinimumPerRole(calls, initialRoles))
		owner, last := map[ids.Fence]ids.NodeID{}, ids.Fence(0)
		for _, call := range recordedRoleOrders(calls) {
			if previous, ok := owner[call.Fence]; ok {
				require.Equal(t, previous, call.Owner)
			}
			owner[call.Fence] = call.Owner
			require.GreaterOrEqual(t, call.Fence, last, "fencing tokens of all orders of the service")
			last = call.Fence
		}
	})
}

// TestOrphanedRoleChange: the holder is killed right after all nodes learned of a role change, before or
// after it sent its order. No requests are sent to that worker during the role change, and the next holder
// ends it.
func TestOrphanedRoleChange(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		t.Run(fmt.Sprint("ordered-", ordered), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				f := startFleet(t, 43, 3, platform, defaultConfiguration(), withRoleChanges)
				defer f.close()
				platform.setExtraRunning(ids.Prefill, 6)
				require.True(t, f.waitUntil(15*time.Second, func() bool {
					return len(f.nodes[0].view.Current().RoleChanges) > 0 && (!ordered || len(recordedRoleOrders(platform.recordedCalls())) > 0)
				}))
				holder := f.roleLeaseHolder()
				require.GreaterOrEqual(t, holder, 0)
				f.killNode(holder)
				platform.withLock(func() { platform.extraRunning = nil })
				results := f.generateLoad(20, 25*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4)
				})
				for _, node := range f.runningNodes() {
					require.Empty(t, node.view.Current().RoleChanges, "the next holder ended it")
				}
				require.Empty(t, checkUnavailableWorkers(platform.recordedCalls(), 100*time.Millisecond))
				require.Empty(t, checkExecutions(platform.recordedCalls(), results))
				if !ordered {
					require.Empty(t, recordedRoleOrders(platform.recordedCalls()))
				}
			})
		})
	}
}

// TestNewHolderWaitsForLease: a new holder sends no order until more than a lease duration has passed since it
// got the lease, also if the previous holder is only partitioned and still running.
func TestNewHolderWaitsForLease(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 44, 3, platform, defaultConfiguration(), withRoleChanges)
		defer f.close()
		time.Sleep(3 * time.Second)
		holder := f.roleLeaseHolder()
		require.GreaterOrEqual(t, holder, 0)
		f.world.Partition([]string{nodeIP(holder)}, coreIPs, true)
		next := -1
		require.True(t, f.waitUntil(20*time.Second, func() bool { next = f.roleLeaseHolder(); return next >= 0 && next != holder }))
		assignedAt := platform.elapsed()
		platform.setExtraRunning(ids.Prefill, 6)
		require.True(t, f.waitUntil(20*time.Second, func() bool { return len(recordedRoleOrders(platform.recordedCalls())) > 0 }))
		first := recordedRoleOrders(platform.recordedCalls())[0]
		require.Equal(t, nodeIP(next), first.Node)
		require.Greater(t, first.At-assignedAt, 3*time.Second)
	})
}

// TestRoleOrderWaitsForSlowNode: one node gets updates late, and the holder checks loads often. The holder
// sends its order only once that node also knows of the role change, so that no node sends the worker requests
// after it accepted the order.
func TestRoleOrderWaitsForSlowNode(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 45, 3, platform, defaultConfiguration(), func(o *Options) { withRoleChanges(o); o.RoleCheckInterval = 50 * time.Millisecond })
		defer f.close()
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.roleLeaseHolder() >= 0 }))
		slowNode := f.nodes[(f.roleLeaseHolder()+1)%3]
		for _, ip := range coreIPs {
			f.world.SetLink(ip, slowNode.ip, simulated.Link{Delay: 200 * time.Millisecond})
		}
		time.Sleep(4 * time.Second)
		platform.setExtraRunning(ids.Prefill, 6)
		results := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		calls := platform.recordedCalls()
		require.NotEmpty(t, recordedRoleOrders(calls))
		require.Empty(t, checkChangingWorkersIdle(calls, time.Second))
		require.Empty(t, checkExecutions(calls, results))
		for _, result := range results {
			require.NoError(t, result.err)
		}
	})
}
