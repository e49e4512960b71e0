// Workers that must get no new work.

package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

// TestUnavailableWorkersGetNoNewWork: a worker that is drained, in an evacuated zone, leaving or missing from
// the list gets no new work from a node that knows. All nodes know within two seconds, running requests
// finish there, and no request fails.
func TestUnavailableWorkersGetNoNewWork(t *testing.T) {
	for _, cause := range []string{"drained", "evacuated", "leaving", "unlisted"} {
		t.Run(cause, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 31, 3, platform, defaultConfiguration(), nil)
				defer f.close()
				var unavailable []ids.WorkerID
				var since time.Duration
				f.wg.Go(func() {
					time.Sleep(2 * time.Second)
					platform.withLock(func() {
						for _, worker := range platform.workers {
							if cause == "evacuated" && worker.Zone == "b" ||
								cause != "evacuated" && strings.HasSuffix(worker.name, "-1") {
								unavailable = append(unavailable, worker.ID)
								worker.Leaving, worker.unlisted = cause == "leaving", cause == "unlisted"
							}
						}
					})
					switch cause {
					case "drained":
						for _, id := range unavailable {
							f.submit(fleetstate.DrainKind, &fleetstate.Drain{Worker: id, Drained: true})
						}
					case "evacuated":
						f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
					}
					since = platform.elapsed()
				})
				results := f.generateLoad(60, 8*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 10)
				})
				calls := platform.recordedCalls()
				require.NotEmpty(t, unavailable)
				require.Empty(t, checkUnavailableWorkers(calls, 100*time.Millisecond))
				for _, id := range unavailable {
					require.NotEmpty(t, callsToWorker(calls, id, 0, since), id)
					require.Empty(t, callsToWorker(calls, id, since+2*time.Second, time.Hour), id)
				}
				require.Empty(t, checkResponses(results))
				for _, result := range results {
					require.NoError(t, result.err)
				}
			})
		})
	}
}

// TestReplacedWorkerAvoided: a node that learns that a worker was replaced by another incarnation stops
// sending to it, as long as there is another worker.
func TestReplacedWorkerAvoided(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 32, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 50 })
		defer f.close()
		platform.withLock(func() { platform.listFails = true })
		platform.restartWorker("svc-decode-1")
		platform.restartWorker("svc-prefill-1")
		results := f.generateLoad(30, 10*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		require.Empty(t, checkExecutions(platform.recordedCalls(), results))
		calls := map[string]int{}
		for _, call := range platform.recordedCalls() {
			if (call.Kind == "emit" || call.Kind == "read") && strings.HasSuffix(string(call.Worker), "-1.1") {
				calls[call.Node+string(call.Worker)]++
			}
		}
		require.NotEmpty(t, calls)
		for nodeAndWorker, n := range calls {
			require.LessOrEqual(t, n, 2, nodeAndWorker)
		}
	})
}

// TestReplacedWorkerStaysAvoided: a replaced worker stays avoided although its next incarnation, at the same
// address, sends reports.
func TestReplacedWorkerStaysAvoided(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 33, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		platform.withLock(func() { platform.listFails = true })
		platform.restartWorker("svc-decode-1")
		n := f.nodes[0]
		for _, w := range n.currentList.Load().workers {
			if w.ID == "svc-decode-1.1" {
				n.state(w.ID).markReplaced()
				n.suspect(w)
			}
		}
		time.Sleep(time.Second)
		f.generateLoad(20, 3*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4) })
		require.Empty(t, callsToWorker(platform.recordedCalls(), "svc-decode-1.1", 0, time.Hour))
	})
}
