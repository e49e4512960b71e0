// Tests of the retry budget and slow start: limits that all nodes together comply with, although they exchange
// no messages about them.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
)

const retryBudgetWindow = 10 * time.Second

// TestRetryBudget: however many calls fail, the extra calls of all nodes together stay within ratio * requests
// + allowance in every window, whether decodes, prefills or both fail, and also while the coordination service
// (the core) is down.
func TestRetryBudget(t *testing.T) {
	for _, kind := range []string{"emit", "read", "any"} {
		for _, coreDown := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, " core-down-", coreDown), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
					rng := rand.New(rand.NewPCG(1, 2))
					platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
						if (kind == "any" || kind == call.Kind) && rng.IntN(10) < 6 {
							return []callOutcome{resetAfterRun, resetBeforeRun, notExecuted, resetMidResponse, memoryLost, foreignResponse}[rng.IntN(6)]
						}
						return succeeds
					}
					f := startFleet(t, 21, 3, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 6 })
					defer f.close()
					if coreDown {
						for _, ip := range coreIPs {
							f.powerOffCore(ip)
						}
						time.Sleep(time.Second)
					}
					results := f.generateLoad(40, 25*time.Second, func(i int) *Request {
						return f.newRequest(fmt.Sprint("r", i), []string{"/again/x", "/sresume/x", "/once/x"}[i%3], 400, 4)
					})
					calls := platform.recordedCalls()
					require.Empty(t, checkRetryBudget(calls, results, 0.2, 6, retryBudgetWindow))
					require.Empty(t, checkExecutions(calls, results))
					require.NotEmpty(t, checkRetryBudget(calls, results, 0.05, 0, retryBudgetWindow), "calls were retried")
				})
			})
		}
	}
}

// TestRetryBudgetAfterBurst: a burst of requests gives no budget for retries once the burst has left the
// window, whatever the alignment of the window's buckets.
func TestRetryBudgetAfterBurst(t *testing.T) {
	for bucketOffset := range 2 {
		t.Run(fmt.Sprint(bucketOffset), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				for _, worker := range platform.workers {
					worker.Concurrency = 200
				}
				routes := defaultRoutes()
				routes[3].DeadlineMs = 30000 // the route of /sresume/
				f := startFleet(t, 22, 2, platform, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}), nil)
				defer f.close()
				time.Sleep(12*time.Second + time.Duration(bucketOffset)*250*time.Millisecond)
				var wg sync.WaitGroup
				var mu sync.Mutex
				var results []*requestResult
				for i := range 100 {
					wg.Go(func() {
						result := f.send(f.nodes[i%2], f.newRequest(fmt.Sprint("r", i), "/sresume/x", 100, 700))
						mu.Lock()
						defer mu.Unlock()
						results = append(results, result)
					})
				}
				time.Sleep(retryBudgetWindow + 50*time.Millisecond)
				for i := range 3 {
					platform.restartWorker(fmt.Sprint("svc-decode-", i))
				}
				wg.Wait()
				require.Empty(t, checkResponses(results))
				require.Empty(t, checkRetryBudget(platform.recordedCalls(), results, 0.2, 0, retryBudgetWindow))
			})
		})
	}
}

// slowStartConfiguration returns a configuration with one service whose workers are cold for 6 s, during which
// each takes four requests per second.
func slowStartConfiguration() []byte {
	return encodeConfiguration(defaultRoutes(), fleetstate.Service{Name: "svc", Concurrency: 16, SlowStartMs: 6000, SlowStartRate: 4})
}

const maxSlowStartRate = 11 // the limit is 1.5 * SlowStartRate + 5, and SlowStartRate is 4

// TestSlowStartRate: no cold worker gets more than maxSlowStartRate requests in any second, however many nodes
// there are, at 250 requests per second in total. A cold decode worker gets at least one request.
func TestSlowStartRate(t *testing.T) {
	for _, nodes := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 23, nodes, platform, slowStartConfiguration(), nil)
				defer f.close()
				platform.restartWorker("svc-decode-1")
				platform.restartWorker("svc-prefill-2")
				platform.withLock(func() {
					for _, name := range []string{"svc-decode-1", "svc-prefill-2", "svc-decode-2"} {
						platform.worker(name).warmAt = time.Now().Add(6 * time.Second)
					}
				})
				time.Sleep(1500 * time.Millisecond)
				from := platform.elapsed()
				results := f.generateLoad(250, 7*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2)
				})
				calls := platform.recordedCalls()
				require.Empty(t, checkSlowStartRate(calls, maxSlowStartRate))
				require.NotEmpty(t, callsToWorker(calls, "svc-decode-1.2", from, from+4*time.Second), "the cold worker gets requests")
				require.Empty(t, checkExecutions(calls, results))
			})
		})
	}
}

// TestSlowStartRateWithManyNodes: there are more nodes than requests per second that a cold worker can take.
// Only some of the nodes send requests to it, so that all together stay within its limit; the others use
// other workers.
func TestSlowStartRateWithManyNodes(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 29, 9, platform, encodeConfiguration(defaultRoutes(), fleetstate.Service{
			Name:          "svc",
			Concurrency:   16,
			SlowStartMs:   6000,
			SlowStartRate: 0.4,
		}), nil)
		defer f.close()
		platform.withLock(func() {
			for _, name := range []string{"svc-decode-1", "svc-prefill-2"} {
				platform.worker(name).warmAt = time.Now().Add(9 * time.Second)
			}
		})
		time.Sleep(2 * time.Second)
		from := platform.elapsed()
		results := f.generateLoad(200, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		calls := platform.recordedCalls()
		require.Empty(t, checkSlowStartRate(calls, 5)) // the limit is 1.5 * SlowStartRate + 5, and SlowStartRate is 0.4
		require.NotEmpty(t, callsToWorker(calls, "svc-decode-1.1", from, from+4*time.Second), "the cold worker gets requests")
		for _, result := range results {
			require.NoError(t, result.err)
		}
	})
}

// TestRetryBudgetOfPartitionedNode: a node that is partitioned from the coordination service no longer counts
// as a member but continues to serve. The other node does not take over its share of the allowance, however
// long the partition lasts. As soon as the other node may have stopped counting the partitioned node as a
// member, the partitioned node retries at most ratio times the number of its requests, without an allowance.
// The test checks the calls of both nodes together.
func TestRetryBudgetOfPartitionedNode(t *testing.T) {
	for _, partitionedBeforeLoad := range []time.Duration{0, 60 * time.Second, 5 * time.Minute} {
		t.Run(partitionedBeforeLoad.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				const allowance = 100
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				rng := rand.New(rand.NewPCG(3, 4))
				platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
					if call.Kind == "emit" && rng.IntN(10) < 9 {
						return notExecuted
					}
					return succeeds
				}
				f := startFleet(t, 30, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = allowance })
				defer f.close()
				time.Sleep(time.Second)
				f.world.Partition([]string{nodeIP(0)}, append([]string{nodeIP(1)}, coreIPs...), true)
				require.True(t, f.waitUntil(10*time.Second, func() bool { return len(f.nodes[1].agent.Members()) == 1 }))
				if partitionedBeforeLoad > 0 { // a node updates its estimate of the number of nodes only when it retries
					f.generateLoad(2, partitionedBeforeLoad, func(i int) *Request { return f.newRequest(fmt.Sprint("b", i), "/again/x", 400, 4) })
				}
				results := f.generateLoad(30, 9*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 4)
				})
				calls := platform.recordedCalls()
				require.Empty(t, checkRetryBudget(calls, results, 0.2, allowance, retryBudgetWindow))
				require.NotEmpty(t, checkRetryBudget(calls, results, 0.2, allowance/2, retryBudgetWindow), "both nodes use their shares")
			})
		})
	}
}

// TestSlowStartWhenAllNodesStart: all nodes start at once, without any history, while all workers are cold.
// From the first request on, no worker gets more than cold workers can take.
func TestSlowStartWhenAllNodesStart(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		for _, worker := range platform.workers {
			worker.warmAt = time.Now().Add(20 * time.Second)
		}
		f := startFleet(t, 24, 3, platform, slowStartConfiguration(), nil)
		defer f.close()
		f.generateLoad(200, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 300, 2) })
		require.Empty(t, checkSlowStartRate(platform.recordedCalls(), maxSlowStartRate))
	})
}

// TestSlowStartWithSlowList: the platform's response with the worker list takes 400 ms. Nodes do not treat a
// worker as warm before it is.
func TestSlowStartWithSlowList(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 25, 2, platform, slowStartConfiguration(), nil)
		defer f.close()
		platform.withLock(func() {
			platform.listDelay = func() time.Duration { return 400 * time.Millisecond }
			for _, worker := range platform.workers {
				if worker.Role == ids.Decode {
					worker.warmAt = time.Now().Add(5 * time.Second)
				}
			}
		})
		time.Sleep(3 * time.Second)
		f.generateLoad(200, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, checkSlowStartRate(platform.recordedCalls(), maxSlowStartRate))
	})
}

// TestSlowStartAfterFailback: the workers of a zone whose evacuation ends are treated as cold from the
// first request on.
func TestSlowStartAfterFailback(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 26, 2, platform, slowStartConfiguration(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			platform.withLock(func() {
				for _, worker := range platform.workers {
					if worker.Zone == "b" {
						worker.warmAt = time.Now().Add(6 * time.Second)
					}
				}
			})
			f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		})
		f.generateLoad(400, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, checkSlowStartRate(platform.recordedCalls(), maxSlowStartRate))
	})
}

// failBackWithColdWorkers ends the evacuation of a zone whose workers are cold and begin to warm up at their
// first request.
func (f *fleet) failBackWithColdWorkers(zone ids.Zone) {
	f.platform.withLock(func() { f.platform.coldPeriods = map[ids.Zone]time.Duration{zone: 6 * time.Second} })
	f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: zone, Evacuated: false})
}

// allNodesReady reports whether all running nodes are ready and have workers on their lists.
func (f *fleet) allNodesReady() bool {
	for _, node := range f.runningNodes() {
		if ready, _ := node.Ready(); !ready || len(node.currentList.Load().workers) == 0 {
			return false
		}
	}
	return true
}

// TestSlowStartAfterFailbackAndRestart: a zone is evacuated and failed back, and all nodes are killed and
// start again immediately, with or without a leader change of the coordination service. The worker list does
// not show yet that the zone's workers are cold, but they get no more requests than cold workers can take. Once
// they have certainly warmed up, nodes that start no longer have a record of the failback.
func TestSlowStartAfterFailbackAndRestart(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover-", takeover), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 27, 3, platform, slowStartConfiguration(), nil)
				defer f.close()
				f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
				time.Sleep(3 * time.Second)
				f.failBackWithColdWorkers("b")
				restartNodes := func() {
					for i := range f.nodes {
						f.killNode(i)
					}
					if leader := f.leader(); takeover && leader != "" {
						f.powerOffCore(leader)
						defer f.startCore(leader)
					}
					for i := range f.nodes {
						f.startNode(i)
					}
					require.True(t, f.waitUntil(10*time.Second, f.allNodesReady))
				}
				restartNodes()
				f.generateLoad(400, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
				calls := platform.recordedCalls()
				require.Empty(t, checkSlowStartRate(calls, maxSlowStartRate))
				cold := 0
				for _, call := range calls {
					if call.Cold {
						cold++
					}
				}
				require.Greater(t, cold, 20, "cold workers get requests")
				time.Sleep(12 * time.Second)
				restartNodes()
				for _, node := range f.runningNodes() {
					require.Empty(t, node.snapshot().Failbacks)
					require.Zero(
						t,
						// The worker list was received just now.
						node.coldFor(&Worker{Zone: "b"}, &fleetstate.Service{SlowStartMs: 6000}, node.now(), node.now()),
					)
				}
			})
		})
	}
}

// TestSlowStartOnNodeStartedAfterFailback: a node that starts some seconds after the failback of a zone
// treats the zone's workers as cold only for the rest of their slow start, which does not begin again.
func TestSlowStartOnNodeStartedAfterFailback(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 28, 3, platform, slowStartConfiguration(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		from := time.Now()
		time.Sleep(4 * time.Second)
		remainingColdTime := func(i int) time.Duration {
			f.killNode(i)
			node := f.startNode(i)
			require.True(t, f.waitUntil(10*time.Second, f.allNodesReady))
			node.snapshot() // records the failback that coldFor uses
			return node.coldFor(&Worker{Zone: "b"}, &fleetstate.Service{SlowStartMs: 6000}, node.now(), node.now())
		}
		remaining := remainingColdTime(0)
		// The 6 s count from the latest time at which the failback may have happened, 1 to 2 s after from.
		require.GreaterOrEqual(t, remaining, time.Until(from.Add(7*time.Second)))
		require.Less(t, remaining, time.Until(from.Add(8*time.Second)))
	})
}

// TestSlowStartAfterMissedFailback: a node is partitioned from all others while a zone is evacuated and
// failed back, and gets many requests when the partition ends. From its first request on, it sends the zone's
// workers no more than cold workers can take.
func TestSlowStartAfterMissedFailback(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, seed, 3, platform, slowStartConfiguration(), nil)
		defer f.close()
		time.Sleep(2 * time.Second)
		others := append([]string{nodeIP(0), nodeIP(2)}, coreIPs...)
		setPartitioned := func(on bool) {
			f.world.Partition([]string{nodeIP(1)}, others, on)
			platform.withLock(func() { platform.partitionedNodes[nodeIP(1)] = on })
		}
		setPartitioned(true)
		time.Sleep(time.Second)
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(5*time.Second + time.Duration(seed)*270*time.Millisecond)
		f.failBackWithColdWorkers("b")
		time.Sleep(200 * time.Millisecond)
		f.wg.Go(func() {
			time.Sleep(700 * time.Millisecond)
			setPartitioned(false)
		})
		f.generateLoad(600, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, checkSlowStartRate(platform.recordedCalls(), maxSlowStartRate))
	})
}
