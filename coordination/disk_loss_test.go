// Tests disks that are lost, and a primary that is partitioned from the other cores.

package coordination_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWipedDiskAtSameAddress restarts a machine at its address with an empty disk, three times in a row. The
// empty disk must not be taken for the lost one: it must replace the lost voter, so that the loss of
// another disk can be tolerated later.
func TestWipedDiskAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(5)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "a", 10*time.Second))
		time.Sleep(2 * time.Second)
		wipe := func(ip string) {
			f.powerOff(ip)
			f.world.Machine(ip).WipeDisk()
			time.Sleep(time.Second)
			f.startMember(ip + ":1")
			time.Sleep(12 * time.Second)
		}
		for i, op := range []string{"b", "c", "d"} {
			wipe(f.leader())
			require.NoError(t, f.submitNumber(1, op, 8*time.Second))
			time.Sleep(time.Second)
			require.EqualValues(t, 8+i, f.watchers[0].sum.Load())
		}
	})
}

// TestSuccessiveDiskLosses loses the disk of the primary, which is replaced at once by an empty disk at the
// same or at a new address. Four seconds after the replacement has started, the disk of the next primary is
// lost, and so on. Each replacement must be a voter by then, so that the core keeps running with all
// that was acknowledged.
func TestSuccessiveDiskLosses(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "a", 10*time.Second))
		time.Sleep(time.Second)
		for i := range 4 {
			ip := f.leader()
			require.NotEmpty(t, ip)
			f.powerOff(ip)
			f.world.Machine(ip).WipeDisk()
			if (uint64(i)+seed)%2 == 0 {
				ip = fmt.Sprintf("10.0.0.%d", 4+i)
			}
			time.Sleep(300 * time.Millisecond)
			f.startMember(ip + ":1")
			time.Sleep(4 * time.Second)
			require.NoError(t, f.submitNumber(1, fmt.Sprint("then", i), 500*time.Millisecond), "loss %d", i)
		}
		time.Sleep(time.Second)
		require.EqualValues(t, 11, f.watchers[0].sum.Load())
	})
}

// TestAgentsLeaveDeposedPrimary partitions the primary only from the other cores. Agents that watch its change
// feed must learn of the new primary and get the commands that it commits within 300 ms.
func TestAgentsLeaveDeposedPrimary(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		f := newCluster(seed)
		defer f.close()
		require.NoError(t, f.submitNumber(7, "a", 10*time.Second))
		time.Sleep(2*time.Second + time.Duration(seed)*150*time.Millisecond)
		previous := f.leader()
		var rest []string
		for _, a := range f.seeds {
			if ip := a[:8]; ip != previous {
				rest = append(rest, ip)
			}
		}
		f.world.Partition([]string{previous}, rest, true)
		require.NoError(t, f.submitNumber(1, "b", 8*time.Second))
		time.Sleep(300 * time.Millisecond)
		for _, v := range f.watchers {
			require.EqualValues(t, 8, v.sum.Load())
		}
		f.world.Partition([]string{previous}, rest, false)
	})
}
