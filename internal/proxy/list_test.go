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
func (y *workerPool) lists(since time.Duration) map[string]int {
	y.mu.Lock()
	defer y.mu.Unlock()
	out := map[string]int{}
	for _, k := range y.asked {
		if k.At >= since {
			out[k.Node]++
		}
	}
	return out
}

func (f *fleet) lister() int {
	for i, b := range f.nodes {
		if _, ok := b.agent.OwnsKey(fleetstate.WorkerListKey); ok && b.up {
			return i
		}
	}
	return -1
}

// heard tells whether all nodes that are up know that a worker leaves.
func (f *fleet) heard(y *workerPool, name string) bool {
	id := y.of(name).ID
	for _, b := range f.up() {
		if w := b.endpoints.Load().find(id); w == nil || !w.Leaving {
			return false
		}
	}
	return true
}

// TestOneAsker: while all is well the holder of the duty alone asks, and the others hear
// of a change from it.
func TestOneAsker(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 3)...)
		f := build(t, 61, 4, y, plain(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		h := f.lister()
		require.GreaterOrEqual(t, h, 0)
		from := y.now()
		time.Sleep(10 * time.Second)
		got := y.lists(from)
		require.Len(t, got, 1, "%v", got)
		require.InDelta(t, 14, got[nodeIP(h)], 4)
		y.at(func() { y.of("svc-decode-1").Leaving = true })
		require.True(t, f.until(1500*time.Millisecond, func() bool { return f.heard(y, "svc-decode-1") }))
		require.Len(t, y.lists(from), 1)
	})
}

// TestListWithoutHolder: the holder dies, or cannot have the list itself: the others ask by
// themselves until there is a fresh one again, and know of a change in time.
func TestListWithoutHolder(t *testing.T) {
	for _, how := range []string{"killed", "frozen", "no list"} {
		t.Run(how, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 3, 3)...)
				f := build(t, 62, 4, y, plain(), nil)
				defer f.close()
				time.Sleep(6 * time.Second)
				h := f.lister()
				require.GreaterOrEqual(t, h, 0)
				held := f.nodes[h]
				switch how {
				case "killed":
					f.kill(h)
				case "frozen":
					f.freeze(h, true)
				default:
					y.at(func() { y.partition[nodeIP(h)] = true })
				}
				f.at(func() { held.up = false })
				defer func() {
					f.at(func() { held.up = how != "killed" })
					f.freeze(h, false)
				}()
				from := y.now()
				for i, name := range []string{"svc-decode-0", "svc-prefill-0", "svc-decode-2"} {
					y.at(func() { y.of(name).Leaving = true })
					require.True(t, f.until(3*time.Second, func() bool { return f.heard(y, name) }), "change %d", i)
					time.Sleep(300 * time.Millisecond)
				}
				require.GreaterOrEqual(t, len(y.lists(from)), 1)
				for _, b := range f.up() {
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
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 3, 3)...)
				y.listed = func() time.Duration { return long }
				f := build(t, 63, 6, y, plain(), nil)
				defer f.close()
				time.Sleep(10 * time.Second)
				from := y.now()
				time.Sleep(10 * time.Second)
				require.Len(t, y.lists(from), 1, "%v", y.lists(from))
				y.at(func() { y.of("svc-decode-1").Leaving = true })
				require.True(t, f.until(2*long+1500*time.Millisecond, func() bool {
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
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 3)...)
		f := build(t, 69, 5, y, plain(), nil)
		defer f.close()
		time.Sleep(6 * time.Second)
		for i := range f.nodes {
			f.kill(i)
		}
		for i := range f.nodes {
			f.node(i)
		}
		require.True(t, f.until(700*time.Millisecond, func() bool {
			for _, b := range f.up() {
				if ready, _ := b.Ready(); !ready {
					return false
				}
			}
			return true
		}))
	})
}
