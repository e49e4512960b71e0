// Tests of nodes while the primary of the coordination service (the core) can't confirm to any node that its
// configuration is the newest, or confirms it to one node too late.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/internal/fleetstate"
)

// TestCoreWithoutBackupsMakesNoNodeRefuse: the primary accepts connections but, without its backups, can't
// confirm any node's version. No node rejects requests because its version may be outdated.
func TestCoreWithoutBackupsMakesNoNodeRefuse(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 1, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		leader := f.leader()
		for _, ip := range coreIPs {
			if ip != leader {
				f.powerOffCore(ip)
			}
		}
		f.generateLoad(20, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 2) })
		for _, node := range f.nodes {
			require.Zero(t, node.counts.RejectedStale.Load(), node.ip)
		}
	})
}

// TestNodeWithoutRenewalsServesNoOldVersion: the responses of the primary reach one node late, because the
// link between the primary and that node transfers 100 bytes per second. The node serves no request with an old
// version later than ApplyMax, the maximum time until a version is in force everywhere, after a newer version was
// acknowledged.
func TestNodeWithoutRenewalsServesNoOldVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const responseRate = 100 // bytes per second
		platform := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 2, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		slowNode := f.nodes[1]
		f.world.SetLink(f.leader(), slowNode.ip, simulated.Link{Delay: time.Millisecond, BytesPerSecond: responseRate})
		time.Sleep(100 * time.Millisecond)
		routes := defaultRoutes()
		routes[0].Service = "other"
		require.NoError(t, f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		acknowledgedAt := time.Now()
		for i := 0; time.Since(acknowledgedAt) < 6*time.Second; i++ {
			elapsed := time.Since(acknowledgedAt)
			result := f.send(slowNode, f.newRequest(fmt.Sprint("late-", i), "/once/x", 400, 2))
			for _, call := range platform.recordedCalls() {
				if elapsed > slowNode.options.ApplyMax && call.RequestID == result.ID {
					require.Contains(t, string(call.Worker), "other", "sent %v after the acknowledgement", elapsed)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
