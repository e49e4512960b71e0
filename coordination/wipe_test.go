// A disk that is lost while its machine keeps its address.

package coordination_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWipedAtSameAddress: a machine comes back at its address with an empty disk. It is not
// taken for the disk that is lost: its own takes over that register, so that another
// lost disk can be borne later.
func TestWipedAtSameAddress(t *testing.T) {
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

// TestLostOneAfterAnother: the primary's disk is lost, its machine is back at once with an empty one,
// or another machine takes its place at a new address. Four seconds after the newcomer's
// start the next primary's disk is lost, and so on: each time the newcomer has the register
// by then, so the core goes on with all that was acknowledged. Many seeds.
func TestLostOneAfterAnother(t *testing.T) {
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

// TestDeposedKeepsNobody: the primary is cut off from the other disk machines alone. The
// nodes that wait for news at it hear of the next one and have what that takes at once.
func TestDeposedKeepsNobody(t *testing.T) {
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
