// Tests of which node requests the worker list from the platform, and of how the other nodes get the list.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
)

// listCallersSince returns the number of list calls since a time, by the address of the calling node.
func (p *fakePlatform) listCallersSince(since time.Duration) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, call := range p.listCalls {
		if call.At >= since {
			out[call.Node]++
		}
	}
	return out
}

// listHolder returns the index of the running node that holds the lease of the worker list, or -1.
func (f *fleet) listHolder() int {
	for i, node := range f.nodes {
		if _, ok := node.agent.OwnsKey(fleetstate.WorkerListKey); ok && node.running {
			return i
		}
	}
	return -1
}

// allNodesKnowLeaving reports whether all running nodes know that a worker is leaving.
func (f *fleet) allNodesKnowLeaving(platform *fakePlatform, name string) bool {
	id := platform.worker(name).ID
	for _, node := range f.runningNodes() {
		if worker := node.currentList.Load().find(id); worker == nil || !worker.Leaving {
			return false
		}
	}
	return true
}

// TestOnlyHolderListsWorkers: without faults only the holder of the worker list's lease calls the platform, and
// the other nodes get changes from it.
func TestOnlyHolderListsWorkers(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 61, 4, platform, defaultConfiguration(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		holder := f.listHolder()
		require.GreaterOrEqual(t, holder, 0)
		from := platform.elapsed()
		time.Sleep(10 * time.Second)
		callers := platform.listCallersSince(from)
		require.Len(t, callers, 1, "%v", callers)
		require.InDelta(t, 14, callers[nodeIP(holder)], 4)
		platform.withLock(func() { platform.worker("svc-decode-1").Leaving = true })
		require.True(t, f.waitUntil(1500*time.Millisecond, func() bool { return f.allNodesKnowLeaving(platform, "svc-decode-1") }))
		require.Len(t, platform.listCallersSince(from), 1)
	})
}

// TestListWithoutHolder: the holder is killed or frozen, or cannot get the list itself. At least one node
// calls the platform meanwhile, and all other nodes learn of each change within 3 s.
func TestListWithoutHolder(t *testing.T) {
	for _, fault := range []string{"killed", "frozen", "no list"} {
		t.Run(fault, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
				f := startFleet(t, 62, 4, platform, defaultConfiguration(), nil)
				defer f.close()
				time.Sleep(6 * time.Second)
				holder := f.listHolder()
				require.GreaterOrEqual(t, holder, 0)
				holderNode := f.nodes[holder]
				switch fault {
				case "killed":
					f.killNode(holder)
				case "frozen":
					f.setFrozen(holder, true)
				default:
					platform.withLock(func() { platform.partitionedNodes[nodeIP(holder)] = true })
				}
				f.withLock(func() { holderNode.running = false }) // makes the test fleet's helper functions skip this node
				defer func() {
					f.withLock(func() { holderNode.running = fault != "killed" })
					f.setFrozen(holder, false)
				}()
				from := platform.elapsed()
				for i, name := range []string{"svc-decode-0", "svc-prefill-0", "svc-decode-2"} {
					platform.withLock(func() { platform.worker(name).Leaving = true })
					require.True(t, f.waitUntil(3*time.Second, func() bool { return f.allNodesKnowLeaving(platform, name) }), "change %d", i)
					time.Sleep(300 * time.Millisecond)
				}
				require.GreaterOrEqual(t, len(platform.listCallersSince(from)), 1)
				for _, node := range f.runningNodes() {
					require.Less(t, node.now().Since(node.currentList.Load().requestedAt), 3*time.Second, fmt.Sprint(node.ip))
				}
			})
		})
	}
}

// TestSlowList: a list call takes long, as it does for a list of many pages, so that the holder's list is always
// old. The other nodes still get it from the holder and do not call the platform themselves.
func TestSlowList(t *testing.T) {
	for _, duration := range []time.Duration{700 * time.Millisecond, time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
				platform.listDelay = func() time.Duration { return duration }
				f := startFleet(t, 63, 6, platform, defaultConfiguration(), nil)
				defer f.close()
				time.Sleep(10 * time.Second)
				from := platform.elapsed()
				time.Sleep(10 * time.Second)
				require.Len(t, platform.listCallersSince(from), 1, "%v", platform.listCallersSince(from))
				platform.withLock(func() { platform.worker("svc-decode-1").Leaving = true })
				require.True(t, f.waitUntil(2*duration+1500*time.Millisecond, func() bool {
					return f.allNodesKnowLeaving(platform, "svc-decode-1")
				}))
			})
		})
	}
}

// TestListAfterAllKilled: all nodes are killed and restart at their addresses. The coordination service still
// names the previous holder, and the process that now has its address has no list. Every node is still ready,
// which requires a list, within 700 ms.
func TestListAfterAllKilled(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 69, 5, platform, defaultConfiguration(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		for i := range f.nodes {
			f.killNode(i)
		}
		for i := range f.nodes {
			f.startNode(i)
		}
		require.True(t, f.waitUntil(700*time.Millisecond, func() bool {
			for _, node := range f.runningNodes() {
				if ready, _ := node.Ready(); !ready {
					return false
				}
			}
			return true
		}))
	})
}
