// Losses beyond what the core is built for: service may rest meanwhile, but nothing that was
// acknowledged is lost or taken twice, and it goes on soon after all are back.

package coordination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	beyondMachines = 6
	beyondLosses   = 2
	beyondRounds   = 3
	// beyondRecovery is the time after which the core answers once all of it is back.
	beyondRecovery = 12 * time.Second
	// diskHealing is the time that the core has to replace what lost disks held.
	diskHealing = 14 * time.Second
)

// beyondTolerance runs clients through some rounds of trouble. After each of them the core must
// answer in time; in the end every command was taken once.
func beyondTolerance(t *testing.T, seed uint64, trouble func(w *faultRun, rng *rand.Rand)) {
	runUnderLoad(t, newClusterOfSize(seed, beyondMachines, beyondLosses), seed, func(w *faultRun) {
		rng := rand.New(rand.NewPCG(seed, 10))
		for range beyondRounds {
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			trouble(w, rng)
			back := time.Now()
			require.NoError(t, w.submitNumber(0, "after "+back.String(), beyondRecovery), "%v", w.trace)
		}
	})
}

// TestHalvesPartitioned: the cores are cut into two halves for some seconds, while nodes reach
// both of them.
func TestHalvesPartitioned(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		beyondTolerance(t, seed, func(w *faultRun, rng *rand.Rand) {
			var half []string
			for _, i := range rng.Perm(beyondMachines)[:beyondMachines/2] {
				half = append(half, machineOf(w.seeds[i]))
			}
			duration := time.Duration(500+rng.IntN(8000)) * time.Millisecond
			w.record("cut %v from the others for %s", half, duration)
			w.partitionCores(half, bothWays, true)
			time.Sleep(duration)
			w.partitionCores(half, bothWays, false)
		})
	})
}

// TestOverlappingLosses: three to six of six cores lose their power at about the same time, up to
// two of them their disks, and come back in any order.
func TestOverlappingLosses(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		beyondTolerance(t, seed, func(w *faultRun, rng *rand.Rand) {
			time.Sleep(time.Until(w.lastDiskLoss.Add(diskHealing)))
			lost := rng.Perm(beyondMachines)[:beyondLosses+1+rng.IntN(beyondMachines-beyondLosses)]
			disks := rng.IntN(beyondLosses + 1)
			w.record("lose %v, the disks of the first %d", lost, disks)
			for n, i := range lost {
				ip := machineOf(w.seeds[i])
				w.powerOff(ip)
				if n < disks {
					w.world.Machine(ip).WipeDisk()
				}
				time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			}
			rng.Shuffle(len(lost), func(a, b int) { lost[a], lost[b] = lost[b], lost[a] })
			for _, i := range lost {
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				w.startMember(w.seeds[i])
			}
			if disks > 0 {
				w.lastDiskLoss = time.Now()
			}
		})
	})
}
