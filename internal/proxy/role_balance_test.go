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

// turning has nodes look at the workers' reports.
// turning has a fleet change roles; half of its workers read while it is idle.
func turning(o *Options) {
	o.RoleCheckInterval, o.RetryAllowance, o.IdlePrefillShare = 500*time.Millisecond, 20, 0.55
}

// pressed makes the workers of a part busy by their reports.
func (p *fakePlatform) pressed(role ids.Role, by int) {
	p.withLock(func() {
		p.extraRunning = func(s *fakeWorker) int {
			if s.Role == role {
				return by
			}
			return 0
		}
	})
}

func parts(y *fakePlatform) map[ids.WorkerID]ids.Role {
	y.mu.Lock()
	defer y.mu.Unlock()
	out := map[ids.WorkerID]ids.Role{}
	for _, s := range y.workers {
		out[s.ID] = s.Role
	}
	return out
}

// holder gives the number of the node that holds the duty, or -1.
func (f *fleet) holder() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(svcKey); ok && b.running {
			return i
		}
	}
	return -1
}

func orders(rows []callRecord) []callRecord {
	var out []callRecord
	for _, k := range rows {
		if k.Kind == "order" {
			out = append(out, k)
		}
	}
	return out
}

// untouched: nothing is sent to a worker from its order until its turn is over.
func untouched(rows []callRecord, duration time.Duration) []string {
	var out []string
	for _, k := range orders(rows) {
		if k.Accepted {
			out = append(out, sentTo(rows, k.Worker, k.At, k.At+duration)...)
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
		f := startFleet(t, 41, 3, y, defaultConfiguration(), turning)
		defer f.close()
		was := parts(y)
		f.wg.Go(func() {
			y.pressed(ids.Prefill, 6)
			time.Sleep(14 * time.Second)
			y.pressed(ids.Decode, 14)
			time.Sleep(25 * time.Second)
			y.pressed(ids.Prefill, 6)
		})
		all := f.generateLoad(25, 50*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6) })
		rows := y.recordedCalls()
		to := map[ids.Role]int{}
		by := map[ids.NodeID]bool{}
		var flips []ids.Role
		for _, k := range orders(rows) {
			to[k.TargetRole]++
			by[k.Owner] = true
			if n := len(flips); n == 0 || flips[n-1] != k.TargetRole {
				flips = append(flips, k.TargetRole)
			}
		}
		require.Equal(t, []ids.Role{ids.Prefill, ids.Decode, ids.Prefill}, flips, "%v", orders(rows))
		require.Len(t, by, 1, "one node orders")
		require.Empty(t, thirds(rows, was))
		require.Empty(t, leftAlone(rows, 100*time.Millisecond))
		require.Empty(t, untouched(rows, time.Second))
		require.Empty(t, ordersApart(rows, 3*time.Second))
		require.Empty(t, onceOnly(rows, all))
		require.Empty(t, answers(all))
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
		f := startFleet(t, 42, 2, y, text, turning)
		defer f.close()
		f.generateLoad(20, 10*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), []string{"/once/x", "/free/x"}[i%2], 400, 4)
		})
		require.Empty(t, orders(y.recordedCalls()))
	})
}

// TestOneOrders: holders that are killed, frozen and cut off from the core, in turn: orders
// to one worker by different owners are a lease apart at least, fences never fall, a fence
// belongs to one owner, no part falls below a third, and every turn comes to an end.
func TestOneOrders(t *testing.T) {
	forEachSeed(t, 8, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, seed, 3, y, defaultConfiguration(), turning)
		defer f.close()
		was := parts(y)
		for i := range 7 {
			y.pressed([]ids.Role{ids.Prefill, ids.Decode}[i%2], []int{6, 14}[i%2])
			f.waitUntil(12*time.Second, func() bool { return f.holder() >= 0 && len(orders(y.recordedCalls())) > i })
			time.Sleep(time.Duration(seed*131%17+uint64(i)*7%5) * 100 * time.Millisecond)
			h := f.holder()
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
		require.Greater(t, len(orders(rows)), 3)
		require.Empty(t, ordersApart(rows, 3*time.Second))
		require.Empty(t, thirds(rows, was))
		owner, last := map[ids.Fence]ids.NodeID{}, ids.Fence(0)
		for _, k := range orders(rows) {
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
				f := startFleet(t, 43, 3, y, defaultConfiguration(), turning)
				defer f.close()
				y.pressed(ids.Prefill, 6)
				require.True(t, f.waitUntil(15*time.Second, func() bool {
					return len(f.nodes[0].view.Current().RoleChanges) > 0 && (!ordered || len(orders(y.recordedCalls())) > 0)
				}))
				h := f.holder()
				require.GreaterOrEqual(t, h, 0)
				f.killNode(h)
				y.withLock(func() { y.extraRunning = nil })
				all := f.generateLoad(20, 25*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4)
				})
				for _, b := range f.runningNodes() {
					require.Empty(t, b.view.Current().RoleChanges, "the next holder ended it")
				}
				require.Empty(t, leftAlone(y.recordedCalls(), 100*time.Millisecond))
				require.Empty(t, onceOnly(y.recordedCalls(), all))
				if !ordered {
					require.Empty(t, orders(y.recordedCalls()))
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
		f := startFleet(t, 44, 3, y, defaultConfiguration(), turning)
		defer f.close()
		time.Sleep(3 * time.Second)
		h := f.holder()
		require.GreaterOrEqual(t, h, 0)
		f.world.Partition([]string{nodeIP(h)}, coreIPs, true)
		next := -1
		require.True(t, f.waitUntil(20*time.Second, func() bool { next = f.holder(); return next >= 0 && next != h }))
		since := y.elapsed()
		y.pressed(ids.Prefill, 6)
		require.True(t, f.waitUntil(20*time.Second, func() bool { return len(orders(y.recordedCalls())) > 0 }))
		first := orders(y.recordedCalls())[0]
		require.Equal(t, nodeIP(next), first.Node)
		require.Greater(t, first.At-since, 3*time.Second)
	})
}

// TestTurnWarned: news takes its time to one node, and the holder looks often: it sends its
// order only once that node knows of the turn too, and nothing is sent there meanwhile.
func TestTurnWarned(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 45, 3, y, defaultConfiguration(), func(o *Options) { turning(o); o.RoleCheckInterval = 50 * time.Millisecond })
		defer f.close()
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.holder() >= 0 }))
		late := f.nodes[(f.holder()+1)%3]
		for _, ip := range coreIPs {
			f.world.SetLink(ip, late.ip, simulated.Link{Delay: 200 * time.Millisecond})
		}
		time.Sleep(4 * time.Second)
		y.pressed(ids.Prefill, 6)
		all := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		rows := y.recordedCalls()
		require.NotEmpty(t, orders(rows))
		require.Empty(t, untouched(rows, time.Second))
		require.Empty(t, onceOnly(rows, all))
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}
