// What a node does first when it acquires the lease of a service.

package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// reportedSince tells whether the node has a report of each worker that isn't older than a time on its clock.
func (n *testNode) reportedSince(since ids.Tick) bool {
	for _, w := range n.currentList.Load().workers {
		st := n.state(w.ID)
		st.mu.Lock()
		stale := st.memory.at.Before(since)
		st.mu.Unlock()
		if stale {
			return false
		}
	}
	return true
}

// TestLoadsKnownBeforeFirstOrder: when another node acquires the lease of a service, all nodes soon have new
// reports of its workers, although the new owner sends no role order before the previous lease has expired.
func TestLoadsKnownBeforeFirstOrder(t *testing.T) {
	const limit = 1500 * time.Millisecond // one round of reports and one list interval
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, seed, 4, platform, defaultConfiguration(), withRoleChanges)
		defer f.close()
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.roleLeaseHolder() >= 0 }))
		time.Sleep(5 * time.Second)
		f.killNode(f.roleLeaseHolder())
		require.True(t, f.waitUntil(10*time.Second, func() bool { return f.roleLeaseHolder() >= 0 }), "no node acquires the lease")
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
		}), "a node lacks new reports")
	})
}
