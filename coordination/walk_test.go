// Random walks of the real core: machines lose power, restart, leave, are cut off one way and
// both, run on slow disks and lose their disks within what is borne, while clients send
// commands again until each has its one outcome.

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

// faultSeeds are twelve, or as many from KEELSTAIR_FROM on as KEELSTAIR_SEEDS says.
func faultSeeds() (from, to uint64) {
	from, to = 1, 12
	if n, err := strconv.ParseUint(os.Getenv("KEELSTAIR_SEEDS"), 10, 64); err == nil {
		from, _ = strconv.ParseUint(os.Getenv("KEELSTAIR_FROM"), 10, 64)
		from++
		to = from + n - 1
	}
	return from, to
}

// faultRun is one run.
type faultRun struct {
	*testCluster
	t             *testing.T
	rng           *rand.Rand
	trace         []string
	lastDiskLoss  time.Time // when a disk was lost last
	mu            sync.Mutex
	commandsBySum map[int]string // by an answer's sum, the command that it was given to
	submitted     int
}

func (w *faultRun) record(form string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(form, args...))
}

// runClient sends commands one after the other, each again until it is answered. Each adds one,
// so the sums that are answered rise and no two commands have the same.
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
		w.submitted++
		w.mu.Unlock()
		last = sum
		time.Sleep(time.Duration(50+w.randN(300)) * time.Millisecond)
	}
}

func (w *faultRun) randN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// injectFault brings about one trouble, and takes it back after a while.
func (w *faultRun) injectFault() {
	ip := machineOf(w.seeds[w.randN(len(w.seeds))])
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
				group = append(group, machineOf(a))
			}
		}
		w.record("cut %v for %s", group, duration)
		w.isolate(group, true)
		time.Sleep(duration)
		w.isolate(group, false)
	case 3:
		other := machineOf(w.seeds[w.randN(len(w.seeds))])
		w.record("one way %s to %s for %s", ip, other, duration)
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
		w.record("stall %s for %s", ip, duration)
		w.world.Machine(ip).StallDisk(true)
		time.Sleep(duration)
		w.world.Machine(ip).StallDisk(false)
	}
	time.Sleep(time.Duration(w.randN(1500)) * time.Millisecond)
}

// cyclePower has a machine lose its power, and its disk if that is borne: only once the core
// had time to heal since the last one.
func (w *faultRun) cyclePower(ip string, duration time.Duration, disk bool) {
	if w.cores[ip] == nil {
		return
	}
	if disk = disk && time.Since(w.lastDiskLoss) > 12*time.Second; disk {
		time.Sleep(6 * time.Second) // nothing else is lost meanwhile
	}
	w.record("off %s for %s, disk lost %t", ip, duration, disk)
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

// TestWalk: whatever happens, each command is taken once, and none that was answered is lost.
func TestWalk(t *testing.T) {
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

// runUnderLoad runs trouble in a fleet while clients send commands. In the end each of these was taken once.
func runUnderLoad(t *testing.T, f *testCluster, seed uint64, trouble func(w *faultRun)) {
	w := &faultRun{testCluster: f, t: t, rng: rand.New(rand.NewPCG(seed, 5)), commandsBySum: map[int]string{}}
	defer w.close()
	require.NoError(t, w.submitNumber(0, "first", 10*time.Second))
	end := make(chan struct{})
	var clients sync.WaitGroup
	for n := range clientsPerRun {
		clients.Add(1)
		go w.runClient(n, end, &clients)
	}
	trouble(w)
	close(end)
	clients.Wait()
	sum := w.submitUntilAnswered(w.agents[0], "w/last")
	require.Equal(t, w.submitted+1, sum, "%d machines, %d losses: %v", len(f.seeds), f.faultTolerance, w.trace)
}

// submitUntilAnswered adds one and gives the sum that it was answered with.
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
			w.t.Errorf("%s is not answered for 90 s: %v: %v", op, err, w.trace)
			return -1
		}
	}
}
