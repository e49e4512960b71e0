// Tests the restart of the core after all its machines lost power.

package coordination_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartAfterTotalPowerLoss powers off all cores at once and restarts them one after the other within
// 0.3 s, the primary first. Although its first packets to the others are lost, there must be a
// primary with all acknowledged commands within 0.4 s of the last start.
func TestRestartAfterTotalPowerLoss(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "before", 10*time.Second))
		list := []string{f.leader()}
		for _, a := range f.seeds {
			if ip := a[:len(a)-2]; ip != list[0] {
				list = append(list, ip)
			}
		}
		for _, ip := range list {
			f.powerOff(ip)
		}
		time.Sleep(1500 * time.Millisecond)
		for i, ip := range list {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			f.startMember(ip + ":1")
		}
		last := time.Now()
		ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
		defer stop()
		for f.leader() == "" && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(last), 400*time.Millisecond)
		require.NoError(t, f.submitNumber(1, "after", 10*time.Second))
		time.Sleep(time.Second)
		require.EqualValues(t, 8, f.watchers[0].sum.Load())
	})
}
