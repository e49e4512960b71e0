// Workers that are to get nothing new.

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

// TestUnavailableWorkersGetNoNewWork: a worker that is drained, in an evacuated zone, leaving or off the list gets
// nothing new once a node knows, all nodes know within two seconds, what runs there ends
// there, and callers notice nothing.
func TestUnavailableWorkersGetNoNewWork(t *testing.T) {
	for _, how := range []string{"drained", "evacuated", "leaving", "unlisted"} {
		t.Run(how, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 31, 3, y, defaultConfiguration(), nil)
				defer f.close()
				var gone []ids.WorkerID
				var at time.Duration
				f.wg.Go(func() {
					time.Sleep(2 * time.Second)
					y.withLock(func() {
						for _, w := range y.workers {
							if how == "evacuated" && w.Zone == "b" ||
								how != "evacuated" && strings.HasSuffix(w.name, "-1") {
								gone = append(gone, w.ID)
								w.Leaving, w.unlisted = how == "leaving", how == "unlisted"
							}
						}
					})
					switch how {
					case "drained":
						for _, id := range gone {
							f.submit(fleetstate.DrainKind, &fleetstate.Drain{Worker: id, Drained: true})
						}
					case "evacuated":
						f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
					}
					at = y.elapsed()
				})
				all := f.generateLoad(60, 8*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 10)
				})
				rows := y.recordedCalls()
				require.NotEmpty(t, gone)
				require.Empty(t, leftAlone(rows, 100*time.Millisecond))
				for _, id := range gone {
					require.NotEmpty(t, sentTo(rows, id, 0, at), id)
					require.Empty(t, sentTo(rows, id, at+2*time.Second, time.Hour), id)
				}
				require.Empty(t, answers(all))
				for _, a := range all {
					require.NoError(t, a.err)
				}
			})
		})
	}
}

// TestReplacedWorkerAvoided: a life that answered that it is gone is left alone by the node it told, as
// long as another worker is there.
func TestReplacedWorkerAvoided(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 32, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 50 })
		defer f.close()
		y.withLock(func() { y.listFails = true })
		y.restartWorker("svc-decode-1")
		y.restartWorker("svc-prefill-1")
		all := f.generateLoad(30, 10*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		require.Empty(t, onceOnly(y.recordedCalls(), all))
		count := map[string]int{}
		for _, k := range y.recordedCalls() {
			if (k.Kind == "emit" || k.Kind == "read") && strings.HasSuffix(string(k.Worker), "-1.1") {
				count[k.Node+string(k.Worker)]++
			}
		}
		require.NotEmpty(t, count)
		for at, n := range count {
			require.LessOrEqual(t, n, 2, at)
		}
	})
}

// TestReplacedWorkerStaysAvoided: a life that is gone stays left alone though the life that has its
// address now answers with a report.
func TestReplacedWorkerStaysAvoided(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 33, 1, y, defaultConfiguration(), nil)
		defer f.close()
		y.withLock(func() { y.listFails = true })
		y.restartWorker("svc-decode-1")
		n := f.nodes[0]
		for _, w := range n.endpoints.Load().workers {
			if w.ID == "svc-decode-1.1" {
				n.state(w.ID).markReplaced()
				n.suspect(w)
			}
		}
		time.Sleep(time.Second)
		f.generateLoad(20, 3*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4) })
		require.Empty(t, sentTo(y.recordedCalls(), "svc-decode-1.1", 0, time.Hour))
	})
}
