// Unhealthy workers: outlier ejection by call outcomes, with an ejection limit, probation, and longer ejections
// for repeated failures.

package proxy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/failure"
	"keelstair.example/host"
	"keelstair.example/ids"
)

// ejectionSample is how many workers of a group a node keeps ejected or on probation at one moment.
type ejectionSample struct {
	at             time.Duration
	node           string
	group          workerGroup
	ejected, total int // ejected includes workers on probation
}

// ejectionScenario describes a load test in which some workers are unhealthy, and holds its results. Times in
// the results count from the start of the load.
type ejectionScenario struct {
	seed            uint64
	nodes           int
	workersPerRole  int
	rate            float64
	duration        time.Duration
	injectedOutcome func(call callRecord) callOutcome // called while the platform is locked; nil: all calls succeed
	adjustOptions   func(*Options)
	disrupt         func(f *fleet, platform *fakePlatform)
	route           string // path of the requests; empty: all of routePaths in turn
	prompt          int
	samples         []ejectionSample
	calls           []callRecord
	results         []*requestResult
	ejections       int64
	readmissions    int64
}

// run runs the scenario and returns it with its results.
func (s *ejectionScenario) run(t *testing.T) *ejectionScenario {
	platform := newFakePlatform(prefillAndDecodeWorkers("svc", s.workersPerRole, s.workersPerRole)...)
	f := startFleet(t, s.seed, s.nodes, platform, defaultConfiguration(), func(o *Options) {
		o.RetryAllowance = 60
		if s.adjustOptions != nil {
			s.adjustOptions(o)
		}
	})
	defer f.close()
	start := platform.elapsed()
	platform.withLock(func() {
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			call.At -= start
			if s.injectedOutcome == nil {
				return succeeds
			}
			return s.injectedOutcome(call)
		}
	})
	finished := make(chan bool)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			s.sampleEjections(f, platform.elapsed()-start)
			select {
			case <-finished:
				return
			case <-host.NewTimer(50 * time.Millisecond).C:
			}
		}
	})
	if s.disrupt != nil {
		wg.Go(func() { s.disrupt(f, platform) })
	}
	s.results = f.generateLoad(s.rate, s.duration, func(i int) *Request {
		path := s.route
		if path == "" {
			path = routePaths[i%4]
		}
		return f.newRequest(fmt.Sprint("r", i), path, max(s.prompt, 400), 4)
	})
	close(finished)
	wg.Wait()
	for _, node := range f.runningNodes() {
		s.ejections += node.counts.Ejected.Load()
		s.readmissions += node.counts.Readmitted.Load()
	}
	for _, call := range platform.recordedCalls() {
		call.At -= start
		s.calls = append(s.calls, call)
	}
	for _, result := range s.results {
		result.sentAt, result.endedAt = result.sentAt-start, result.endedAt-start
	}
	return s
}

// sampleEjections adds a sample for each node and group with workers that are ejected or on probation.
func (s *ejectionScenario) sampleEjections(f *fleet, now time.Duration) {
	for _, node := range f.runningNodes() {
		samples := map[workerGroup]*ejectionSample{}
		for _, worker := range node.currentList.Load().workers {
			group := workerGroup{worker.Service, worker.Role}
			if samples[group] == nil {
				samples[group] = &ejectionSample{at: now, node: node.ip, group: group}
			}
			samples[group].total++
			if node.isNotServing(worker.ID) {
				samples[group].ejected++
			}
		}
		for _, sample := range samples {
			if sample.ejected > 0 {
				s.samples = append(s.samples, *sample)
			}
		}
	}
}

// countAnswered returns how many requests of a time range were answered with status 200, and how many there
// were.
func (s *ejectionScenario) countAnswered(from, to time.Duration) (answered, total int) {
	for _, result := range s.results {
		if result.sentAt >= from && result.sentAt < to {
			total++
			if result.err == nil && result.response.status == 200 {
				answered++
			}
		}
	}
	return answered, total
}

// checkInvariants checks what must hold whichever workers are unhealthy.
func (s *ejectionScenario) checkInvariants(t *testing.T) {
	require.Empty(t, checkExecutions(s.calls, s.results))
	require.Empty(t, checkCompletions(s.results, 8500*time.Millisecond))
	require.Empty(t, checkResponses(s.results))
	require.Empty(t, ejectionLimitViolations(s.samples, 0.34))
}

// failsAtRandom returns a function that decides whether a call fails. The decision depends on the seed, the
// request, the kind of call and the worker only, not on the order of calls.
func failsAtRandom(seed uint64, probability float64) func(call callRecord) bool {
	return func(call callRecord) bool {
		return rand.New(rand.NewPCG(seed, ids.Hash(call.RequestID+call.Kind+string(call.Worker)))).Float64() < probability
	}
}

// ejectionLimitViolations checks that no node ejects more than maxShare of a group, or all of it.
func ejectionLimitViolations(samples []ejectionSample, maxShare float64) []string {
	var out []string
	for _, sample := range samples {
		if limit := max(1, int(maxShare*float64(sample.total))); sample.ejected > limit || sample.ejected >= sample.total {
			out = append(out, fmt.Sprintf("at %s: %s has ejected %d of %d workers of %v", sample.at, sample.node, sample.ejected, sample.total, sample.group))
		}
	}
	return out
}

// callShare returns the share of the prefill and decode calls of a time range that went to the given workers.
func callShare(calls []callRecord, workers map[ids.WorkerID]bool, from, to time.Duration) float64 {
	selected, total := 0, 0
	for _, call := range calls {
		if (call.Kind == "read" || call.Kind == "emit") && call.At >= from && call.At < to {
			total++
			if workers[call.Worker] {
				selected++
			}
		}
	}
	return float64(selected) / float64(max(1, total))
}

// callShareViolations checks that the unhealthy workers' share of calls is at most maxRatio of their fair share.
func callShareViolations(calls []callRecord, unhealthy map[ids.WorkerID]bool, fair, maxRatio float64, from, to time.Duration) []string {
	if actual := callShare(calls, unhealthy, from, to); actual > maxRatio*fair {
		return []string{fmt.Sprintf("%.3f of the calls go to unhealthy workers, whose fair share is %.3f", actual, fair)}
	}
	return nil
}

// TestEjectionCheckersDetectViolations: the checkers of this file report violations.
func TestEjectionCheckersDetectViolations(t *testing.T) {
	require.Empty(t, ejectionLimitViolations([]ejectionSample{{ejected: 2, total: 6}, {ejected: 1, total: 2}}, 0.34))
	require.NotEmpty(t, ejectionLimitViolations([]ejectionSample{{ejected: 3, total: 6}}, 0.34), "over the limit")
	require.NotEmpty(t, ejectionLimitViolations([]ejectionSample{{ejected: 1, total: 1}}, 0.34), "the last worker")
	decodeAt := func(id ids.WorkerID, at time.Duration) callRecord {
		return callRecord{Kind: "emit", Worker: id, At: at}
	}
	calls := []callRecord{decodeAt("w", 0), decodeAt("w", 1), decodeAt("v", 5), decodeAt("w", 6), decodeAt("v", 7), decodeAt("v", 8)}
	unhealthy := map[ids.WorkerID]bool{"w": true}
	require.Empty(t, callShareViolations(calls, unhealthy, 0.5, 0.6, 5, 9))
	require.NotEmpty(t, callShareViolations(calls, unhealthy, 0.5, 0.4, 5, 9), "one of four calls")
	require.NotEmpty(t, callShareViolations(calls, unhealthy, 0.5, 0.6, 0, 9), "half of the calls")
}

// TestPartiallyFailingWorkerIsEjected: a prefill and a decode worker fail 30 to 60 % of their requests while
// their health reports are good. They soon get few requests, more requests are answered than without ejection,
// and they get their share again after they recover.
func TestPartiallyFailingWorkerIsEjected(t *testing.T) {
	outcomes := []callOutcome{resetAfterRun, resetBeforeRun, serverError, resetMidResponse}
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		failureRate := []float64{0.3, 0.4, 0.5, 0.6}[seed%4]
		fails := failsAtRandom(seed, failureRate)
		unhealthy := map[ids.WorkerID]bool{"svc-prefill-1.1": true, "svc-decode-2.1": true}
		outcomeOf := func(call callRecord) callOutcome {
			if unhealthy[call.Worker] && call.At > 3*time.Second && call.At < 13*time.Second && fails(call) {
				if call.Kind == "read" {
					return resetAfterRun
				}
				return outcomes[seed%4]
			}
			return succeeds
		}
		withEjection := (&ejectionScenario{seed: seed, nodes: 4, workersPerRole: 6, rate: 80, duration: 30 * time.Second, injectedOutcome: outcomeOf}).run(t)
		withEjection.checkInvariants(t)
		withoutEjection := (&ejectionScenario{
			seed:            seed,
			nodes:           4,
			workersPerRole:  6,
			rate:            80,
			duration:        30 * time.Second,
			injectedOutcome: outcomeOf,
			adjustOptions:   func(o *Options) { o.BaseEjection = -1 }, // no ejection
		}).run(t)
		answeredWithout, total := withoutEjection.countAnswered(5*time.Second, 13*time.Second)
		answeredWith, _ := withEjection.countAnswered(5*time.Second, 13*time.Second)
		t.Logf(
			"failure rate %.1f: share %.3f, without ejection %.3f; answered %d, without ejection %d, of %d; ejections %d",
			failureRate,
			callShare(withEjection.calls, unhealthy, 5*time.Second, 13*time.Second),
			callShare(withoutEjection.calls, unhealthy, 5*time.Second, 13*time.Second),
			answeredWith,
			answeredWithout,
			total,
			withEjection.ejections,
		)
		require.Empty(t, callShareViolations(withEjection.calls, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second))
		require.NotEmpty(
			t, callShareViolations(withoutEjection.calls, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second), "without ejection they keep getting requests",
		)
		require.Greater(t, answeredWith, answeredWithout)
		// A third ejection right before the recovery lasts 8 s and is followed by trial requests.
		require.Greater(t, callShare(withEjection.calls, unhealthy, 25*time.Second, 30*time.Second), 0.5/6, "recovered workers are used again")
		require.Zero(t, withoutEjection.ejections)
		require.Positive(t, withEjection.readmissions)
	})
}

// TestWorkerFailingForOneNodeIsEjectedThereOnly: a worker fails only the calls of one node. That node ejects
// it, and the others keep using it.
func TestWorkerFailingForOneNodeIsEjectedThereOnly(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		fails := failsAtRandom(seed, 0.6)
		scenario := (&ejectionScenario{
			seed:           seed,
			nodes:          4,
			workersPerRole: 5,
			rate:           100,
			duration:       12 * time.Second,
			injectedOutcome: func(call callRecord) callOutcome {
				if call.Worker == "svc-decode-1.1" && call.Node == nodeIP(1) && call.At > 3*time.Second && fails(call) {
					return resetAfterRun
				}
				return succeeds
			},
		}).run(t)
		scenario.checkInvariants(t)
		callsByNode := map[string]int{}
		for _, call := range scenario.calls {
			if call.Kind == "emit" && call.Worker == "svc-decode-1.1" && call.At > 5*time.Second {
				callsByNode[call.Node]++
			}
		}
		require.Greater(t, callsByNode[nodeIP(3)], 4*callsByNode[nodeIP(1)], "the other node in the zone keeps using the worker")
		for _, sample := range scenario.samples {
			require.Equal(t, nodeIP(1), sample.node, "at %s", sample.at)
		}
	})
}

// TestHealthReportsDoNotOverrideOutcomes: a worker whose health reports fail while its calls succeed isn't
// ejected, whether its reports fail for all nodes or for one.
func TestHealthReportsDoNotOverrideOutcomes(t *testing.T) {
	for _, oneNodeOnly := range []bool{false, true} {
		t.Run(fmt.Sprint(oneNodeOnly), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				unhealthyReport := failure.New(failure.InvalidArgument, "report", "", "status 503")
				decodeCalls := 0
				run := func(ejection bool) *ejectionScenario {
					return (&ejectionScenario{
						seed:           3,
						nodes:          3,
						workersPerRole: 3,
						rate:           60,
						duration:       14 * time.Second,
						injectedOutcome: func(call callRecord) callOutcome {
							// Every 30th response is missing, so that the node requests a report.
							if call.Kind != "emit" {
								return succeeds
							}
							if decodeCalls++; decodeCalls%30 == 0 {
								return silentBeforeRun
							}
							return succeeds
						},
						disrupt: func(f *fleet, platform *fakePlatform) {
							time.Sleep(2 * time.Second)
							platform.withLock(func() {
								platform.reportError = func(node string, worker *fakeWorker) error {
									if worker.name == "svc-decode-1" && (!oneNodeOnly || node == nodeIP(1)) {
										return unhealthyReport
									}
									return nil
								}
							})
						},
						adjustOptions: func(o *Options) {
							if !ejection {
								o.BaseEjection = -1 // no ejection
							}
						},
					}).run(t)
				}
				healthy := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				scenario := run(true)
				scenario.checkInvariants(t)
				shareWith := callShare(scenario.calls, healthy, 3*time.Second, 14*time.Second)
				t.Logf("share with ejection %.3f", shareWith)
				require.Greater(t, shareWith, 0.7/6)
				if !oneNodeOnly {
					shareWithout := callShare(run(false).calls, healthy, 3*time.Second, 14*time.Second)
					t.Logf("share without ejection %.3f", shareWithout)
					require.Less(t, shareWithout, shareWith, "without ejection, failed reports exclude the worker")
				}
			})
		})
	}
}

// TestFlappingWorkerEjectedLonger: a worker stops responding and recovers repeatedly. From the second time on it
// is ejected for longer than it is down; a worker that was down only one time is used again immediately.
func TestFlappingWorkerEjectedLonger(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		run := func(adjustOptions func(*Options)) *ejectionScenario {
			return (&ejectionScenario{
				seed:           seed,
				nodes:          3,
				workersPerRole: 4,
				rate:           80,
				duration:       20 * time.Second,
				adjustOptions:  adjustOptions,
				disrupt: func(f *fleet, platform *fakePlatform) {
					time.Sleep(2 * time.Second)
					platform.withLock(func() { platform.worker("svc-decode-3").silent = true })
					time.Sleep(1300 * time.Millisecond)
					platform.withLock(func() { platform.worker("svc-decode-3").silent = false })
					for range 4 {
						platform.withLock(func() { platform.worker("svc-decode-1").silent = true })
						time.Sleep(1300 * time.Millisecond)
						platform.withLock(func() { platform.worker("svc-decode-1").silent = false })
						time.Sleep(1300 * time.Millisecond)
					}
				},
			}).run(t)
		}
		flapping, silentOnce := map[ids.WorkerID]bool{"svc-decode-1.1": true}, map[ids.WorkerID]bool{"svc-decode-3.1": true}
		withEjection, withoutEjection := run(nil), run(func(o *Options) { o.BaseEjection = -1 }) // no ejection
		withEjection.checkInvariants(t)
		from, to := 6*time.Second, 14*time.Second
		answeredWith, total := withEjection.countAnswered(from, to)
		answeredWithout, _ := withoutEjection.countAnswered(from, to)
		t.Logf(
			"share %.3f, without ejection %.3f; answered %d, without ejection %d, of %d",
			callShare(withEjection.calls, flapping, from, to),
			callShare(withoutEjection.calls, flapping, from, to),
			answeredWith,
			answeredWithout,
			total,
		)
		require.Less(t, callShare(withEjection.calls, flapping, from, to), 0.6*callShare(withoutEjection.calls, flapping, from, to))
		require.Greater(t, answeredWith, total*97/100)
		require.Greater(t, callShare(withEjection.calls, silentOnce, 4*time.Second, 8*time.Second), 0.7/8, "a single outage has no lasting effect")
	})
}

// TestUniformFailuresEjectNoWorker: if all workers fail at the same rate, none is an outlier and none is ejected,
// except by chance. If many fail, the ejection limit holds. With ejection, no more requests are rejected than
// without it, except by chance.
func TestUniformFailuresEjectNoWorker(t *testing.T) {
	for name, failingPerRole := range map[string]int{"all": 6, "four": 4} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				fails := failsAtRandom(seed, 0.45)
				run := func(adjustOptions func(*Options)) *ejectionScenario {
					return (&ejectionScenario{
						seed:           seed,
						nodes:          3,
						workersPerRole: 6,
						rate:           40,
						duration:       12 * time.Second,
						adjustOptions:  adjustOptions,
						injectedOutcome: func(call callRecord) callOutcome {
							// The third character from the end is the worker's index, as in svc-decode-2.1.
							if int(call.Worker[len(call.Worker)-3]-'0') < failingPerRole && call.At > 2*time.Second && fails(call) {
								return resetAfterRun
							}
							return succeeds
						},
					}).run(t)
				}
				withEjection, withoutEjection := run(nil), run(func(o *Options) { o.BaseEjection = -1 }) // no ejection
				withEjection.checkInvariants(t)
				countRejected := func(scenario *ejectionScenario) (rejected int) {
					for _, result := range scenario.results {
						if _, isRejected := result.err.(*RejectedError); isRejected {
							rejected++
						}
					}
					return rejected
				}
				t.Logf("%s: ejections %d, rejected %d, without ejection %d", name, withEjection.ejections, countRejected(withEjection), countRejected(withoutEjection))
				if failingPerRole < 6 {
					require.Less(t, countRejected(withEjection), countRejected(withoutEjection))
				} else { // equal except for chance
					require.LessOrEqual(t, countRejected(withEjection), countRejected(withoutEjection)*6/5)
					require.LessOrEqual(
						t, withEjection.ejections, int64(6), "three nodes eject at most 6 workers in 10 s, by chance when the failures begin",
					)
				}
			})
		})
	}
}

// TestEjectedWorkersUsedWhenNoOthersRemain: if all workers are ejected, the one with the lowest failure rate is
// used.
func TestEjectedWorkersUsedWhenNoOthersRemain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 5, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		n := f.nodes[0]
		for i, failureRate := range []float64{0.9, 0.3, 0.6} {
			st := n.state(ids.WorkerID(fmt.Sprintf("svc-decode-%d.1", i)))
			st.mu.Lock()
			st.outlier.phase, st.outlier.ejectedUntil, st.outlier.failureRate = ejected, n.now().Add(time.Hour), failureRate
			st.mu.Unlock()
		}
		for i := range 6 {
			result := f.send(n, f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4))
			require.NoError(t, result.err)
		}
		for _, call := range platform.recordedCalls() {
			if call.Kind == "emit" {
				require.EqualValues(t, "svc-decode-1.1", call.Worker)
			}
		}
	})
}

// TestOneWayPacketLoss: packets between a worker and all nodes, or one node, pass in one direction only, so
// calls get no response. The affected nodes avoid the worker meanwhile and use it again afterwards.
func TestOneWayPacketLoss(t *testing.T) {
	for _, oneNodeOnly := range []bool{false, true} {
		t.Run(fmt.Sprint(oneNodeOnly), func(t *testing.T) {
			forEachSeed(t, 2, func(t *testing.T, seed uint64) {
				isAffected := func(node string) bool { return !oneNodeOnly || node == nodeIP(1) }
				scenario := (&ejectionScenario{
					seed:           seed,
					nodes:          3,
					workersPerRole: 4,
					rate:           60,
					duration:       18 * time.Second,
					injectedOutcome: func(call callRecord) callOutcome {
						if call.Worker == "svc-decode-1.1" && call.At > 3*time.Second && call.At < 8*time.Second && isAffected(call.Node) {
							return silentBeforeRun
						}
						return succeeds
					},
					disrupt: func(f *fleet, platform *fakePlatform) {
						noResponse := failure.New(failure.Unavailable, "report", "", "no response")
						time.Sleep(3 * time.Second)
						platform.withLock(func() {
							platform.reportError = func(node string, worker *fakeWorker) error {
								if worker.name == "svc-decode-1" && isAffected(node) {
									return noResponse
								}
								return nil
							}
						})
						time.Sleep(5 * time.Second)
						platform.withLock(func() { platform.reportError = nil })
					},
				}).run(t)
				scenario.checkInvariants(t)
				unhealthy := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				var affected, unaffected []callRecord
				for _, call := range scenario.calls {
					if isAffected(call.Node) {
						affected = append(affected, call)
					} else {
						unaffected = append(unaffected, call)
					}
				}
				require.Empty(t, callShareViolations(affected, unhealthy, 1.0/8, 0.3, 5*time.Second, 8*time.Second))
				if oneNodeOnly {
					require.Greater(t, callShare(unaffected, unhealthy, 5*time.Second, 8*time.Second), 0.7/8)
				}
				require.Greater(t, callShare(scenario.calls, unhealthy, 13*time.Second, 18*time.Second), 0.5/8)
			})
		})
	}
}

// TestUnreliablePeerEjectsNoWorkerElsewhere: a node whose calls all fail, and a peer that reports false outcomes
// of a worker, don't make other nodes eject a worker.
func TestUnreliablePeerEjectsNoWorkerElsewhere(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		scenario := (&ejectionScenario{
			seed:           7,
			nodes:          5,
			workersPerRole: 4,
			rate:           60,
			duration:       10 * time.Second,
			injectedOutcome: func(call callRecord) callOutcome {
				if call.Node == nodeIP(0) && call.At > 2*time.Second {
					return resetAfterRun
				}
				return succeeds
			},
			disrupt: func(f *fleet, platform *fakePlatform) {
				for range 80 {
					for _, node := range f.runningNodes()[2:] {
						node.peerReports.Store(ids.NodeID("unreliable-peer"), peerReport{
							receivedAt: node.now(),
							outcomes:   []Outcomes{{"svc-decode-1.1", 1 << 20, 1 << 20, 90}},
						})
					}
					time.Sleep(100 * time.Millisecond)
				}
			},
		}).run(t)
		scenario.checkInvariants(t)
		for _, sample := range scenario.samples {
			require.Equal(t, nodeIP(0), sample.node, "at %s", sample.at)
		}
	})
}

// TestPeerOutcomeWeightsAreCapped: the weight of a peer's outcomes of one worker is limited, and outcomes that
// blame more workers of a group than may be ejected are ignored. The numbers of an Outcomes are the attempts,
// the failed attempts and the nodes that saw failures.
func TestPeerOutcomeWeightsAreCapped(t *testing.T) {
	n := &Node{options: Options{MaxEjectedShare: 0.34, PeerWeight: 4}}
	var list []Worker
	for i := range 6 {
		list = append(list, Worker{ID: ids.WorkerID(fmt.Sprint("w", i)), Service: "svc"})
	}
	n.currentList.Store(&workerListVersion{workers: list})
	require.Equal(t, []Outcomes{
		{"w0", 40, 20, 1},
		{"w1", 30, 0, 0},
	}, n.capWeights([]Outcomes{{"w0", 400, 200, 9}, {"w1", 30, 0, 0}}))
	require.Equal(t, []Outcomes{{
		"w0", 10, 10, 1,
	}}, n.capWeights([]Outcomes{{"w0", 10, 99, 1}}), "more failures than calls")
	require.Len(t, n.capWeights([]Outcomes{{"w0", 10, 9, 1}, {"w1", 10, 9, 1}}), 2)
	require.Empty(t, n.capWeights([]Outcomes{{"w0", 10, 9, 1}, {"w1", 10, 9, 1}, {"w2", 10, 9, 1}}), "half of the workers are blamed")
}

// TestOutcomesNotBlamedOnWorker: a disconnected caller, a passed deadline, a rejection, lost memory and a failed
// connection don't count as failures of the worker.
func TestOutcomesNotBlamedOnWorker(t *testing.T) {
	for _, cause := range []string{"caller disconnected", "deadline passed", "rejected", "memory lost", "connection refused"} {
		t.Run(cause, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				f := startFleet(t, 6, 1, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
				defer f.close()
				platform.withLock(func() {
					platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
						if call.Kind != "emit" {
							return succeeds
						}
						return map[string]callOutcome{
							"caller disconnected": succeeds,
							"deadline passed":     silentBeforeRun,
							"rejected":            notExecuted,
							"memory lost":         memoryLost,
							"connection refused":  connectionRefused,
						}[cause]
					}
				})
				for i := range 20 {
					r := f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6)
					if cause == "deadline passed" {
						r.Timeout = 200 * time.Millisecond
					}
					f.sendWith(t.Context(), f.nodes[0], r, &responseRecorder{callerGone: cause == "caller disconnected"})
				}
				n := f.nodes[0]
				n.states.Range(func(k, v any) bool {
					st := v.(*workerState)
					st.mu.Lock()
					defer st.mu.Unlock()
					require.Zero(t, st.outlier.local.failed, "%v", k)
					return true
				})
			})
		})
	}
}

// TestSparseTrafficPoolsPeerOutcomes: with many nodes and many workers, each node sends few requests to each
// worker. Nodes that share outcomes detect the unhealthy workers in time; without sharing they don't.
func TestSparseTrafficPoolsPeerOutcomes(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		fails := failsAtRandom(seed, 0.45)
		nodes, workersPerRole, rate := 24, 14, 90.0
		large := os.Getenv("KEELSTAIR_SPARSE") != ""
		if large { // the size of the largest site
			nodes, workersPerRole, rate = 72, 70, 605
		}
		unhealthy := map[ids.WorkerID]bool{}
		for i := range max(2, workersPerRole*14/100) {
			unhealthy[ids.WorkerID(fmt.Sprintf("svc-prefill-%d.1", 3*i))] = true
			unhealthy[ids.WorkerID(fmt.Sprintf("svc-decode-%d.1", 3*i+1))] = true
		}
		run := func(adjustOptions func(*Options)) *ejectionScenario {
			scenario := (&ejectionScenario{
				seed:           seed,
				nodes:          nodes,
				workersPerRole: workersPerRole,
				rate:           rate,
				duration:       11 * time.Second,
				adjustOptions:  adjustOptions,
				injectedOutcome: func(call callRecord) callOutcome {
					if unhealthy[call.Worker] && call.At > 3*time.Second && call.At < 9500*time.Millisecond && fails(call) {
						return resetAfterRun
					}
					return succeeds
				},
			}).run(t)
			scenario.checkInvariants(t)
			return scenario
		}
		from, to := 4*time.Second, 9500*time.Millisecond
		pooled, unpooled := run(nil), run(func(o *Options) { o.PeerWeight = -1 }) // no outcomes of peers
		scenarios := map[string]*ejectionScenario{"pooled": pooled, "unpooled": unpooled}
		if large {
			scenarios["no ejection"] = run(func(o *Options) { o.BaseEjection = -1 })
		}
		for name, scenario := range scenarios {
			answered, total := scenario.countAnswered(3*time.Second, to)
			t.Logf(
				"%s: share %.3f, answered %d of %d, ejections %d",
				name,
				callShare(scenario.calls, unhealthy, from, to),
				answered,
				total,
				scenario.ejections,
			)
		}
		fair := float64(len(unhealthy)) / float64(2*workersPerRole)
		require.Empty(t, callShareViolations(pooled.calls, unhealthy, fair, 0.5, from, to))
		require.NotEmpty(t, callShareViolations(unpooled.calls, unhealthy, fair, 0.5, from, to))
	})
}

// TestProbationLimitsTraffic: neither good reports nor time alone readmit a worker that keeps failing. A failed
// trial ejects it again, each time for longer; successful trials readmit it. Few requests are sent to it
// meanwhile.
func TestProbationLimitsTraffic(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		unhealthy := map[ids.WorkerID]bool{"svc-decode-2.1": true}
		scenario := (&ejectionScenario{
			seed:           8,
			nodes:          1,
			workersPerRole: 4,
			rate:           60,
			duration:       40 * time.Second,
			injectedOutcome: func(call callRecord) callOutcome {
				if unhealthy[call.Worker] && call.At > 2*time.Second && call.At < 30*time.Second {
					return resetAfterRun
				}
				return succeeds
			},
		}).run(t)
		scenario.checkInvariants(t)
		sent := 0
		for _, call := range scenario.calls {
			if call.Kind == "emit" && unhealthy[call.Worker] && call.At > 4*time.Second && call.At < 30*time.Second {
				sent++
			}
		}
		t.Logf("ejections %d, readmissions %d, calls %d", scenario.ejections, scenario.readmissions, sent)
		require.LessOrEqual(t, scenario.ejections, int64(6), "each ejection is longer")
		require.GreaterOrEqual(t, scenario.ejections, int64(3))
		require.LessOrEqual(t, sent, 11, "few trial requests")
		require.Positive(t, scenario.readmissions)
	})
}

// TestShortOutageRestoresShareAtOnce: workers that are disconnected once for a short time, and lose all their
// running requests, get their share again immediately, because the outage explains the failures.
func TestShortOutageRestoresShareAtOnce(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		disconnected := map[ids.WorkerID]bool{"svc-decode-0.1": true, "svc-decode-3.1": true}
		scenario := (&ejectionScenario{
			seed:           seed,
			nodes:          16,
			workersPerRole: 6,
			rate:           160,
			duration:       9 * time.Second,
			disrupt: func(f *fleet, platform *fakePlatform) {
				setSilent := func(on bool) {
					platform.withLock(func() {
						for _, worker := range platform.workers {
							if disconnected[worker.ID] {
								worker.silent = on
							}
						}
					})
				}
				time.Sleep(3 * time.Second)
				setSilent(true)
				time.Sleep(1500 * time.Millisecond)
				setSilent(false)
			},
			injectedOutcome: func(call callRecord) callOutcome {
				if disconnected[call.Worker] && call.At > 3*time.Second && call.At < 4500*time.Millisecond {
					return resetAfterRun // nodes notice it immediately
				}
				return succeeds
			},
		}).run(t)
		scenario.checkInvariants(t)
		shareBefore, shareAfter := callShare(scenario.calls, disconnected, 0, 3*time.Second), callShare(scenario.calls, disconnected, 5500*time.Millisecond, 9*time.Second)
		t.Logf("ejections %d, share %.3f, before %.3f", scenario.ejections, shareAfter, shareBefore)
		require.Greater(t, shareAfter, 0.6*shareBefore)
	})
}

// TestOutageClearsRecentFailures: failures just before a worker is found to be down no longer count, and an
// ejection because of them ends immediately and probation begins. An ejection that began earlier isn't
// shortened.
func TestOutageClearsRecentFailures(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := startFleet(t, 9, 1, newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...), defaultConfiguration(), nil)
		defer f.close()
		n := f.nodes[0]
		for _, ejectedEarlier := range []bool{false, true} {
			st, now := &workerState{}, n.now()
			st.outlier = outlierState{
				local:          decayingCount{8, 7, now},
				phase:          ejected,
				phaseStartedAt: now,
				ejectedUntil:   now.Add(8 * time.Second),
			}
			if ejectedEarlier {
				st.outlier.phaseStartedAt = now.Add(-3 * time.Second)
			}
			n.recordOutage(st)
			require.Zero(t, st.outlier.local.failed)
			require.Equal(t, ejectedEarlier, now.Before(st.outlier.ejectedUntil))
			n.recordOutcome(&candidate{state: st, outcomeRecorded: new(atomic.Bool)}, false)
			require.Zero(t, st.outlier.local.failed, "while the worker is known to be down")
			n.recordRecovery(st)
			n.recordOutcome(&candidate{state: st, outcomeRecorded: new(atomic.Bool)}, false)
			require.Positive(t, st.outlier.local.failed)
		}
	})
}
