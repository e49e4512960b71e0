// Failures beyond the fault tolerance: the service may be unavailable meanwhile, but no acknowledged
// command is lost or applied twice, and the service resumes soon after all machines are back.

package coordination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	beyondToleranceMachines = 6
	beyondToleranceFaults   = 2
	beyondToleranceRounds   = 3
	// beyondToleranceRecovery is the time within which the core must answer once all machines are back.
	beyondToleranceRecovery = 12 * time.Second
	// diskRecoveryTime is the time that the core is given to replace the copies and registers of lost disks.
	diskRecoveryTime = 14 * time.Second
)

// runBeyondTolerance runs clients while it injects a fault in each of beyondToleranceRounds rounds. After each
// round the core must answer within beyondToleranceRecovery; at the end every command was applied exactly
// once.
func runBeyondTolerance(t *testing.T, seed uint64, injectFault func(w *faultRun, rng *rand.Rand)) {
	runUnderLoad(t, newClusterOfSize(seed, beyondToleranceMachines, beyondToleranceFaults), seed, func(w *faultRun) {
		rng := rand.New(rand.NewPCG(seed, 10))
		for range beyondToleranceRounds {
			time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
			injectFault(w, rng)
			healed := time.Now()
			require.NoError(t, w.submitNumber(0, "after "+healed.String(), beyondToleranceRecovery), "%v", w.trace)
		}
	})
}

// TestHalvesPartitioned partitions the cores into two halves for 0.5 to 8.5 s, while nodes reach both.
func TestHalvesPartitioned(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runBeyondTolerance(t, seed, func(w *faultRun, rng *rand.Rand) {
			var half []string
			for _, i := range rng.Perm(beyondToleranceMachines)[:beyondToleranceMachines/2] {
				half = append(half, machineIP(w.seeds[i]))
			}
			duration := time.Duration(500+rng.IntN(8000)) * time.Millisecond
			w.record("partition %v from the others for %s", half, duration)
			w.partitionCores(half, bothWays, true)
			time.Sleep(duration)
			w.partitionCores(half, bothWays, false)
		})
	})
}

// TestOverlappingLosses powers off three to six of six cores at about the same time, wipes the disks
// of up to two of them, and restarts them in any order.
func TestOverlappingLosses(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		runBeyondTolerance(t, seed, func(w *faultRun, rng *rand.Rand) {
			time.Sleep(time.Until(w.lastDiskLoss.Add(diskRecoveryTime)))
			lost := rng.Perm(beyondToleranceMachines)[:beyondToleranceFaults+1+rng.IntN(beyondToleranceMachines-beyondToleranceFaults)]
			disks := rng.IntN(beyondToleranceFaults + 1)
			w.record("lose %v, the disks of the first %d", lost, disks)
			for n, i := range lost {
				ip := machineIP(w.seeds[i])
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
