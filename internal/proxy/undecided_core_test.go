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
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		f := build(t, 1, 3, y, plain(), nil)
		defer f.close()
		leader := f.leader()
		for _, ip := range coreIps {
			if ip != leader {
				f.offCore(ip)
			}
		}
		f.load(20, 8*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/again/x", 400, 2) })
		for _, b := range f.nodes {
			require.Zero(t, b.counts.RejectedStale.Load(), b.ip)
		}
	})
}

// TestNodeWithoutRenewalsServesNoOldVersion: one node's renewals end late while it can reach the primary.
func TestNodeWithoutRenewalsServesNoOldVersion(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const answerRate = 100 // bytes a second
		y := newCluster(append(both("svc", 2, 2), both("other", 2, 2)...)...)
		f := build(t, 2, 3, y, plain(), nil)
		defer f.close()
		late := f.nodes[1]
		f.w.SetLink(f.leader(), late.ip, simulated.Link{Delay: time.Millisecond, BytesPerSecond: answerRate})
		time.Sleep(100 * time.Millisecond)
		routes := ways()
		routes[0].Service = "other"
		require.NoError(t, f.put("two", 1, 2, policy(routes, fleetstate.Service{Name: "svc"}, fleetstate.Service{Name: "other"})))
		acknowledged := time.Now()
		for i := 0; time.Since(acknowledged) < 6*time.Second; i++ {
			since := time.Since(acknowledged)
			a := f.ask(late, f.req(fmt.Sprint("late-", i), "/once/x", 400, 2))
			for _, row := range y.directory() {
				if since > late.options.ApplyMax && row.Req == a.ID {
					require.Contains(t, string(row.Worker), "other", "sent %v after the acknowledgement", since)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
