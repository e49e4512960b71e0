// Who asks the platform for the list of workers, and how the others come by it.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
)

// lists counts the askings for the list by node since a time.
func (p *fakePlatform) lists(since time.Duration) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for _, k := range p.listCalls {
		if k.At >= since {
			out[k.Node]++
		}
	}
	return out
}

func (f *fleet) lister() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(fleetstate.WorkerListKey); ok && b.running {
			return i
		}
	}
	return -1
}

// heard tells whether all nodes that are up know that a worker leaves.
func (f *fleet) heard(y *fakePlatform, name string) bool {
	id := y.worker(name).ID
	for _, b := range f.runningNodes() {
		if w := b.endpoints.Load().find(id); w == nil || !w.Leaving {
			return false
		}
	}
	return true
}

// TestOneAsker: while all is well the holder of the duty alone asks, and the others hear
// of a change from it.
func TestOneAsker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 61, 4, y, defaultConfiguration(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		h := f.lister()
		require.GreaterOrEqual(t, h, 0)
		from := y.elapsed()
		time.Sleep(10 * time.Second)
		got := y.lists(from)
		require.Len(t, got, 1, "%v", got)
		require.InDelta(t, 14, got[nodeIP(h)], 4)
		y.withLock(func() { y.worker("svc-decode-1").Leaving = true })
		require.True(t, f.waitUntil(1500*time.Millisecond, func() bool { return f.heard(y, "svc-decode-1") }))
		require.Len(t, y.lists(from), 1)
	})
}

// TestListWithoutHolder: the holder dies, or cannot have the list itself: the others ask by
// themselves until there is a fresh one again, and know of a change in time.
func TestListWithoutHolder(t *testing.T) {
	for _, how := range []string{"killed", "frozen", "no list"} {
		t.Run(how, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
				f := startFleet(t, 62, 4, y, defaultConfiguration(), nil)
				defer f.close()
				time.Sleep(6 * time.Second)
				h := f.lister()
				require.GreaterOrEqual(t, h, 0)
				held := f.nodes[h]
				switch how {
				case "killed":
					f.killNode(h)
				case "frozen":
					f.setFrozen(h, true)
				default:
					y.withLock(func() { y.partitionedNodes[nodeIP(h)] = true })
				}
				f.withLock(func() { held.running = false })
				defer func() {
					f.withLock(func() { held.running = how != "killed" })
					f.setFrozen(h, false)
				}()
				from := y.elapsed()
				for i, name := range []string{"svc-decode-0", "svc-prefill-0", "svc-decode-2"} {
					y.withLock(func() { y.worker(name).Leaving = true })
					require.True(t, f.waitUntil(3*time.Second, func() bool { return f.heard(y, name) }), "change %d", i)
					time.Sleep(300 * time.Millisecond)
				}
				require.GreaterOrEqual(t, len(y.lists(from)), 1)
				for _, b := range f.runningNodes() {
					require.Less(t, b.now().Since(b.endpoints.Load().requestedAt), 3*time.Second, fmt.Sprint(b.ip))
				}
			})
		})
	}
}

// TestSlowList: where a listing takes long, as one of many pages does, the holder's list is
// old by that alone: the others still hear from it and do not all ask the platform.
func TestSlowList(t *testing.T) {
	for _, long := range []time.Duration{700 * time.Millisecond, time.Second} {
		t.Run(long.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
				y.listDelay = func() time.Duration { return long }
				f := startFleet(t, 63, 6, y, defaultConfiguration(), nil)
				defer f.close()
				time.Sleep(10 * time.Second)
				from := y.elapsed()
				time.Sleep(10 * time.Second)
				require.Len(t, y.lists(from), 1, "%v", y.lists(from))
				y.withLock(func() { y.worker("svc-decode-1").Leaving = true })
				require.True(t, f.waitUntil(2*long+1500*time.Millisecond, func() bool {
					return f.heard(y, "svc-decode-1")
				}))
			})
		})
	}
}

// TestListAfterAllKilled: all nodes are killed and start again at their addresses. The core
// still names the holder of before, at whose address another process now answers that has no
// list: each node has one soon all the same.
func TestListAfterAllKilled(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 69, 5, y, defaultConfiguration(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		for i := range f.nodes {
			f.killNode(i)
		}
		for i := range f.nodes {
			f.startNode(i)
		}
		require.True(t, f.waitUntil(700*time.Millisecond, func() bool {
			for _, b := range f.runningNodes() {
				if ready, _ := b.Ready(); !ready {
					return false
				}
			}
			return true
		}))
	})
}
