// Random fault injection into clusters of real cores: machines lose power, restart, leave, freeze, are
// partitioned one way or both ways, have slow or stalled disks and lose their disks within the fault
// tolerance, while clients retry each command until it is answered.

package coordination_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

const (
	faultsPerRun  = 14
	clientsPerRun = 3
)

// faultSeeds returns seeds 1 to 12, or, if KEELSTAIR_SEEDS is set, that many seeds after KEELSTAIR_FROM.
func faultSeeds() (from, to uint64) {
	from, to = 1, 12
	if n, err := strconv.ParseUint(os.Getenv("KEELSTAIR_SEEDS"), 10, 64); err == nil {
		from, _ = strconv.ParseUint(os.Getenv("KEELSTAIR_FROM"), 10, 64)
		from++
		to = from + n - 1
	}
	return from, to
}

// faultRun is one run under a seed.
type faultRun struct {
	*testCluster
	t             *testing.T
	rng           *rand.Rand
	trace         []string
	lastDiskLoss  time.Time // when a disk was last lost
	mu            sync.Mutex
	commandsBySum map[int]string // operation ids by the sum that their command was answered with
	answered      int            // number of commands that were answered
}

// record adds a line to the trace of the run, which failures print.
func (w *faultRun) record(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// runClient submits commands one after the other and retries each until it is answered. Each command adds
// one, so the sums in the answers must rise, and no two commands may get the same sum.
func (w *faultRun) runClient(n int, end <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	last := 0
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		default:
		}
		op := fmt.Sprintf("w/%d-%d", n, i)
		sum := w.submitUntilAnswered(w.agents[n%len(w.agents)], op)
		w.mu.Lock()
		if other, ok := w.commandsBySum[sum]; ok || sum <= last {
			w.t.Errorf("%s and %s were both answered %d, after %d: %v", op, other, sum, last, w.trace)
		}
		w.commandsBySum[sum] = op
		w.answered++
		w.mu.Unlock()
		last = sum
		time.Sleep(time.Duration(50+w.randN(300)) * time.Millisecond)
	}
}

// randN returns a random number below n.
func (w *faultRun) randN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// injectFault injects one random fault and reverts it after a random time.
func (w *faultRun) injectFault() {
	ip := machineIP(w.seeds[w.randN(len(w.seeds))])
	if lead := w.leader(); lead != "" && w.randN(3) == 0 {
		ip = lead
	}
	duration := time.Duration(50+w.randN(2500)) * time.Millisecond
	switch kind := w.randN(8); kind {
	case 0, 1:
		w.cyclePower(ip, duration, kind == 1)
	case 2:
		var group []string
		for _, a := range w.seeds {
			if w.randN(2) == 0 {
				group = append(group, machineIP(a))
			}
		}
		w.record("partition %v for %s", group, duration)
		w.isolate(group, true)
		time.Sleep(duration)
		w.isolate(group, false)
	case 3:
		other := machineIP(w.seeds[w.randN(len(w.seeds))])
		w.record("block %s to %s for %s", ip, other, duration)
		w.world.Block([]string{ip}, []string{other}, true)
		time.Sleep(duration)
		w.world.Block([]string{ip}, []string{other}, false)
	case 4:
		w.record("slow disk %s for %s", ip, duration)
		w.world.Machine(ip).SetDiskDelay(time.Duration(20+w.randN(300)) * time.Millisecond)
		time.Sleep(duration)
		w.world.Machine(ip).SetDiskDelay(time.Millisecond)
	case 5:
		if w.cores[ip] == nil {
			return
		}
		w.record("leave %s", ip)
		w.leave(ip, 3*time.Second)
		time.Sleep(duration / 4)
		w.startMember(ip + ":1")
	case 6:
		w.record("freeze %s for %s", ip, duration)
		w.world.Machine(ip).Freeze(true)
		time.Sleep(duration)
		w.world.Machine(ip).Freeze(false)
	default:
		w.record("stall the disk of %s for %s", ip, duration)
		w.world.Machine(ip).StallDisk(true)
		time.Sleep(duration)
		w.world.Machine(ip).StallDisk(false)
	}
	time.Sleep(time.Duration(w.randN(1500)) * time.Millisecond)
}

// cyclePower powers a machine off and on again. With disk it also wipes the disk, but only if the last disk
// loss was over 12 s ago, so that the core has recovered its fault tolerance.
func (w *faultRun) cyclePower(ip string, duration time.Duration, disk bool) {
	if w.cores[ip] == nil {
		return
	}
	if disk = disk && time.Since(w.lastDiskLoss) > 12*time.Second; disk {
		time.Sleep(6 * time.Second) // no other fault happens in this time
	}
	w.record("power off %s for %s, disk lost %t", ip, duration, disk)
	w.powerOff(ip)
	if disk {
		w.world.Machine(ip).WipeDisk()
		w.lastDiskLoss = time.Now()
	}
	time.Sleep(duration)
	w.startMember(ip + ":1")
	if disk {
		time.Sleep(6 * time.Second)
	}
}

// TestRandomFaults checks under random faults that each command is applied once and that none that was
// answered is lost.
func TestRandomFaults(t *testing.T) {
	sizes := []struct{ machines, losses int }{{3, 1}, {5, 1}, {6, 2}, {8, 2}}
	from, to := faultSeeds()
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				size := sizes[seed%uint64(len(sizes))]
				runUnderLoad(t, newClusterOfSize(seed, size.machines, size.losses), seed, func(w *faultRun) {
					for range faultsPerRun {
						w.injectFault()
					}
				})
			})
		})
	}
}

// runUnderLoad runs injectFaults in a cluster while clients submit commands, and checks that each command
// was applied once.
func runUnderLoad(t *testing.T, f *testCluster, seed uint64, injectFaults func(w *faultRun)) {
	w := &faultRun{testCluster: f, t: t, rng: rand.New(rand.NewPCG(seed, 5)), commandsBySum: map[int]string{}}
	defer w.close()
	require.NoError(t, w.submitNumber(0, "first", 10*time.Second))
	end := make(chan struct{})
	var clients sync.WaitGroup
	for n := range clientsPerRun {
		clients.Add(1)
		go w.runClient(n, end, &clients)
	}
	injectFaults(w)
	close(end)
	clients.Wait()
	sum := w.submitUntilAnswered(w.agents[0], "w/last")
	require.Equal(t, w.answered+1, sum, "%d machines, %d losses: %v", len(f.seeds), f.faultTolerance, w.trace)
}

// submitUntilAnswered submits a command that adds one until it is answered, and returns the sum in the answer.
// After 90 s it reports an error and returns -1.
func (w *faultRun) submitUntilAnswered(a *coordination.Agent, op string) int {
	for began := time.Now(); ; {
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
		r, err := a.Submit(ctx, ids.OpID(op), "add", []byte("1"))
		stop()
		if err == nil {
			sum, err := strconv.Atoi(string(r.Body))
			require.NoError(w.t, err)
			return sum
		}
		if time.Since(began) > 90*time.Second {
			w.t.Errorf("%s was not answered within 90 s: %v: %v", op, err, w.trace)
			return -1
		}
	}
}
