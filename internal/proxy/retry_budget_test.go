// The retry budget and cold workers: bounds over all nodes that need no message.

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

// TestBudget: however many calls fail, the extra arrivals of all nodes together stay
// within ratio x requests + allowance in every window, with the core away as well, and
// whether it is emissions or readings that fail.
func TestBudget(t *testing.T) {
	for _, kind := range []string{"emit", "read", "any"} {
		for _, away := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, " core-away-", away), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
					rng := rand.New(rand.NewPCG(1, 2))
					y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
						if (kind == "any" || kind == k.Kind) && rng.IntN(10) < 6 {
							return []callOutcome{resetAfterRun, resetBeforeRun, notExecuted, resetMidResponse, memoryLost, foreignResponse}[rng.IntN(6)]
						}
						return succeeds
					}
					f := startFleet(t, 21, 3, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 6 })
					defer f.close()
					if away {
						for _, ip := range coreIPs {
							f.powerOffCore(ip)
						}
						time.Sleep(time.Second)
					}
					all := f.generateLoad(40, 25*time.Second, func(i int) *Request {
						return f.newRequest(fmt.Sprint("r", i), []string{"/again/x", "/sresume/x", "/once/x"}[i%3], 400, 4)
					})
					rows := y.recordedCalls()
					require.Empty(t, checkRetryBudget(rows, all, 0.2, 6, retryBudgetWindow))
					require.Empty(t, checkExecutions(rows, all))
					require.NotEmpty(t, checkRetryBudget(rows, all, 0.05, 0, retryBudgetWindow), "repeats were made")
				})
			})
		}
	}
}

// TestBudgetAfterBurst: a burst of requests does not buy repeats that come once the burst
// has left the window, wherever the window's slices begin.
func TestBudgetAfterBurst(t *testing.T) {
	for phase := range 2 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				for _, w := range y.workers {
					w.Concurrency = 200
				}
				routes := defaultRoutes()
				routes[3].DeadlineMs = 30000
				f := startFleet(t, 22, 2, y, encodeConfiguration(routes, fleetstate.Service{Name: "svc"}), nil)
				defer f.close()
				time.Sleep(12*time.Second + time.Duration(phase)*250*time.Millisecond)
				var wg sync.WaitGroup
				var mu sync.Mutex
				var all []*requestResult
				for i := range 100 {
					wg.Go(func() {
						a := f.send(f.nodes[i%2], f.newRequest(fmt.Sprint("r", i), "/sresume/x", 100, 700))
						mu.Lock()
						defer mu.Unlock()
						all = append(all, a)
					})
				}
				time.Sleep(retryBudgetWindow + 50*time.Millisecond)
				for i := range 3 {
					y.restartWorker(fmt.Sprint("svc-decode-", i))
				}
				wg.Wait()
				require.Empty(t, checkResponses(all))
				require.Empty(t, checkRetryBudget(y.recordedCalls(), all, 0.2, 0, retryBudgetWindow))
			})
		})
	}
}

// slowStartConfiguration is a service whose cold workers bear four requests a second.
func slowStartConfiguration() []byte {
	return encodeConfiguration(defaultRoutes(), fleetstate.Service{Name: "svc", Concurrency: 16, SlowStartMs: 6000, SlowStartRate: 4})
}

const maxSlowStartRate = 11 // 1.5 x 4 + 5

// TestCold: no cold worker gets more than rate x over + spare in any second, however many
// nodes there are and however fast requests come; it gets some.
func TestCold(t *testing.T) {
	for _, nodes := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 23, nodes, y, slowStartConfiguration(), nil)
				defer f.close()
				y.restartWorker("svc-decode-1")
				y.restartWorker("svc-prefill-2")
				y.withLock(func() {
					for _, name := range []string{"svc-decode-1", "svc-prefill-2", "svc-decode-2"} {
						y.worker(name).warmAt = time.Now().Add(6 * time.Second)
					}
				})
				time.Sleep(1500 * time.Millisecond)
				from := y.elapsed()
				all := f.generateLoad(250, 7*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2)
				})
				rows := y.recordedCalls()
				require.Empty(t, coldRate(rows, maxSlowStartRate))
				require.NotEmpty(t, callsToWorker(rows, "svc-decode-1.2", from, from+4*time.Second), "it is warmed")
				require.Empty(t, checkExecutions(rows, all))
			})
		})
	}
}

// TestColdManyNodes: there are more nodes than a cold worker bears requests: only some send
// there, so that all together stay within what it bears; the others serve elsewhere.
func TestColdManyNodes(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 29, 9, y, encodeConfiguration(defaultRoutes(), fleetstate.Service{
			Name:          "svc",
			Concurrency:   16,
			SlowStartMs:   6000,
			SlowStartRate: 0.4,
		}), nil)
		defer f.close()
		y.withLock(func() {
			for _, name := range []string{"svc-decode-1", "svc-prefill-2"} {
				y.worker(name).warmAt = time.Now().Add(9 * time.Second)
			}
		})
		time.Sleep(2 * time.Second)
		from := y.elapsed()
		all := f.generateLoad(200, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		rows := y.recordedCalls()
		require.Empty(t, coldRate(rows, 5)) // 1.5 x 0.4 + 5
		require.NotEmpty(t, callsToWorker(rows, "svc-decode-1.1", from, from+4*time.Second), "it is warmed")
		for _, a := range all {
			require.NoError(t, a.err)
		}
	})
}

// TestBudgetCutOff: a node is cut off from the core and no longer counts as a member, but
// goes on serving: the others do not take its part of the allowance meanwhile, also when
// that goes on for a while. After longer than they remember it, it repeats nothing beyond its
// ratio.
func TestBudgetCutOff(t *testing.T) {
	for _, after := range []time.Duration{0, 60 * time.Second, 5 * time.Minute} {
		t.Run(after.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				const allow = 100
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
				rng := rand.New(rand.NewPCG(3, 4))
				y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
					if k.Kind == "emit" && rng.IntN(10) < 9 {
						return notExecuted
					}
					return succeeds
				}
				f := startFleet(t, 30, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = allow })
				defer f.close()
				time.Sleep(time.Second)
				f.world.Partition([]string{nodeIP(0)}, append([]string{nodeIP(1)}, coreIPs...), true)
				require.True(t, f.waitUntil(10*time.Second, func() bool { return len(f.nodes[1].agent.Members()) == 1 }))
				if after > 0 { // the number of nodes is looked at when something is repeated
					f.generateLoad(2, after, func(i int) *Request { return f.newRequest(fmt.Sprint("b", i), "/again/x", 400, 4) })
				}
				all := f.generateLoad(30, 9*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 4)
				})
				rows := y.recordedCalls()
				require.Empty(t, checkRetryBudget(rows, all, 0.2, allow, retryBudgetWindow))
				require.NotEmpty(t, checkRetryBudget(rows, all, 0.2, allow/2, retryBudgetWindow), "both spend their parts")
			})
		})
	}
}

// TestColdAllNodesStart: workers are cold from the first request on, and all nodes begin
// at once with no history.
func TestColdAllNodesStart(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		for _, w := range y.workers {
			w.warmAt = time.Now().Add(20 * time.Second)
		}
		f := startFleet(t, 24, 3, y, slowStartConfiguration(), nil)
		defer f.close()
		f.generateLoad(200, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 300, 2) })
		require.Empty(t, coldRate(y.recordedCalls(), maxSlowStartRate))
	})
}

// TestColdSlowList: the answer to the asking for the list takes its time: a worker does
// not count as warm before it is.
func TestColdSlowList(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 25, 2, y, slowStartConfiguration(), nil)
		defer f.close()
		y.withLock(func() {
			y.listDelay = func() time.Duration { return 400 * time.Millisecond }
			for _, w := range y.workers {
				if w.Role == ids.Decode {
					w.warmAt = time.Now().Add(5 * time.Second)
				}
			}
		})
		time.Sleep(3 * time.Second)
		f.generateLoad(200, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.recordedCalls(), maxSlowStartRate))
	})
}

// TestColdZoneBack: the workers of a zone that is taken back count as cold from the first
// request on.
func TestColdZoneBack(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 26, 2, y, slowStartConfiguration(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			y.withLock(func() {
				for _, w := range y.workers {
					if w.Zone == "b" {
						w.warmAt = time.Now().Add(6 * time.Second)
					}
				}
			})
			f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		})
		f.generateLoad(400, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.recordedCalls(), maxSlowStartRate))
	})
}

// chilled takes a zone back, of which all workers turn cold at their first request.
func (f *fleet) chilled(z ids.Zone) {
	f.platform.withLock(func() { f.platform.coldPeriods = map[ids.Zone]time.Duration{z: 6 * time.Second} })
	f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: z, Evacuated: false})
}

func (f *fleet) ready() bool {
	for _, n := range f.runningNodes() {
		if ok, _ := n.Ready(); !ok || len(n.endpoints.Load().workers) == 0 {
			return false
		}
	}
	return true
}

// TestColdZoneBackAllStart: a zone is evacuated and taken back, and all nodes lose power and
// start again at once, with a takeover in between or not: what the workers turn out to be
// is not on the list yet, and they get no more than cold ones bear. Once the zone is
// surely warm, nodes that start know nothing of it any more.
func TestColdZoneBackAllStart(t *testing.T) {
	for _, over := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover-", over), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 27, 3, y, slowStartConfiguration(), nil)
				defer f.close()
				f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
				time.Sleep(3 * time.Second)
				f.chilled("b")
				anew := func() {
					for i := range f.nodes {
						f.killNode(i)
					}
					if l := f.leader(); over && l != "" {
						f.powerOffCore(l)
						defer f.startCore(l)
					}
					for i := range f.nodes {
						f.startNode(i)
					}
					require.True(t, f.waitUntil(10*time.Second, f.ready))
				}
				anew()
				f.generateLoad(400, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
				rows := y.recordedCalls()
				require.Empty(t, coldRate(rows, maxSlowStartRate))
				cold := 0
				for _, k := range rows {
					if k.Cold {
						cold++
					}
				}
				require.Greater(t, cold, 20, "they are warmed")
				time.Sleep(12 * time.Second)
				anew()
				for _, n := range f.runningNodes() {
					require.Empty(t, n.snapshot().Failbacks)
					require.Zero(
						t,
						n.coldFor(&Worker{Zone: "b"}, &fleetstate.Service{SlowStartMs: 6000}, n.now(), n.now()),
					)
				}
			})
		})
	}
}

// TestColdZoneBackLate: a node that starts some seconds after a zone was taken back, by the
// core's news or by a peer's with the core away, counts its workers as cold for what
// is left of their time, not anew.
func TestColdZoneBackLate(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 28, 3, y, slowStartConfiguration(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		from := time.Now()
		time.Sleep(4 * time.Second)
		left := func(i int) time.Duration {
			f.killNode(i)
			n := f.startNode(i)
			require.True(t, f.waitUntil(10*time.Second, f.ready))
			n.snapshot()
			return n.coldFor(&Worker{Zone: "b"}, &fleetstate.Service{SlowStartMs: 6000}, n.now(), n.now())
		}
		got := left(0)
		require.GreaterOrEqual(t, got, time.Until(from.Add(7*time.Second)))
		require.Less(t, got, time.Until(from.Add(8*time.Second)))
	})
}

// TestColdZoneBackUnheard: a machine is cut off from all while a zone is evacuated and
// taken back, and comes back to a load that it has to carry: it sends the zone's workers
// no more than cold ones bear, from the first request on. Many seeds.
func TestColdZoneBackUnheard(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, seed, 3, y, slowStartConfiguration(), nil)
		defer f.close()
		time.Sleep(2 * time.Second)
		rest := append([]string{nodeIP(0), nodeIP(2)}, coreIPs...)
		cut := func(on bool) {
			f.world.Partition([]string{nodeIP(1)}, rest, on)
			y.withLock(func() { y.partitionedNodes[nodeIP(1)] = on })
		}
		cut(true)
		time.Sleep(time.Second)
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(5*time.Second + time.Duration(seed)*270*time.Millisecond)
		f.chilled("b")
		time.Sleep(200 * time.Millisecond)
		f.wg.Go(func() {
			time.Sleep(700 * time.Millisecond)
			cut(false)
		})
		f.generateLoad(600, 5*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.recordedCalls(), maxSlowStartRate))
	})
}
