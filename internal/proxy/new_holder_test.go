// What a node does at once that has got the duty of a service.

package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// reportedSince tells whether a node knows a report of each worker from after a time of its own clock.
func (node *testNode) reportedSince(since ids.Tick) bool {
	for _, w := range node.endpoints.Load().workers {
		st := node.state(w.ID)
		st.mu.Lock()
		stale := st.memory.at.Before(since)
		st.mu.Unlock()
		if stale {
			return false
		}
	}
	return true
}

// TestLoadsKnownBeforeFirstOrder: the duty of a service passes on, and all nodes know soon how its workers
// stand, though the new holder sends no order before the earlier one's lease has lapsed.
func TestLoadsKnownBeforeFirstOrder(t *testing.T) {
	const limit = 1500 * time.Millisecond // a round of reports and a turn of the list
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, seed, 4, platform, defaultConfiguration(), turning)
		defer f.close()
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.holder() >= 0 }))
		time.Sleep(5 * time.Second)
		f.killNode(f.holder())
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.holder() >= 0 }), "the duty passes on")
		since := map[*testNode]ids.Tick{}
		for _, node := range f.runningNodes() {
			since[node] = node.now()
		}
		require.True(t, f.waitUntil(limit, func() bool {
			for node, at := range since {
				if !node.reportedSince(at) {
					return false
				}
			}
			return true
		}), "all nodes have reports")
	})
}
