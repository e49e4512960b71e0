// What a node does while the core answers nobody, or does not answer it alone.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/host/simulated"
	"keelstair.example/internal/fleetstate"
)

// TestCoreWithoutBackupsMakesNoNodeRefuse: a primary that accepts connections but can confirm nobody.
func TestCoreWithoutBackupsMakesNoNodeRefuse(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 1, 3, y, defaultConfiguration(), nil)
		defer f.close()
		leader := f.leader()
		for _, ip := range coreIPs {
			if ip != leader {
				f.powerOffCore(ip)
			}
		}
		f.generateLoad(20, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 2) })
		for _, b := range f.nodes {
			require.Zero(t, b.counts.RejectedStale.Load(), b.ip)
		}
	})
}

// TestNodeWithoutRenewalsServesNoOldVersion: one node's renewals end late while it can reach the primary.
func TestNodeWithoutRenewalsServesNoOldVersion(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const answerRate = 100 // bytes a second
		y := newFakePlatform(append(prefillAndDecodeWorkers("svc", 2, 2), prefillAndDecodeWorkers("other", 2, 2)...)...)
		f := startFleet(t, 2, 3, y, defaultConfiguration(), nil)
		defer f.close()
		late := f.nodes[1]
		f.world.SetLink(f.leader(), late.ip, simulated.Link{Delay: time.Millisecond, BytesPerSecond: answerRate})
		time.Sleep(100 * time.Millisecond)
		routes := defaultRoutes()
		routes[0].Service = "other"
		require.NoError(t, f.putConfiguration("two", 1, 2, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		acknowledged := time.Now()
		for i := 0; time.Since(acknowledged) < 6*time.Second; i++ {
			since := time.Since(acknowledged)
			a := f.send(late, f.newRequest(fmt.Sprint("late-", i), "/once/x", 400, 2))
			for _, row := range y.recordedCalls() {
				if since > late.options.ApplyMax && row.RequestID == a.ID {
					require.Contains(t, string(row.Worker), "other", "sent %v after the acknowledgement", since)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
