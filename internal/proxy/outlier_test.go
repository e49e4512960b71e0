// Sick workers: outlier ejection by outcomes, with a bound, probation and damping.

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

// ejectionSample is how many of a part a node has out at a moment.
type ejectionSample struct {
	at             time.Duration
	node           string
	group          workerGroup
	ejected, total int
}

// ejectionScenario runs a load over workers some of which are unhealthy, and watches what is out.
type ejectionScenario struct {
	seed           uint64
	nodes          int
	workersPerRole int // workers of each part
	rate           float64
	duration       time.Duration
	outcome        func(k callRecord) callOutcome // under the fake platform's lock
	adjustOptions  func(*Options)
	disrupt        func(f *fleet, y *fakePlatform)
	route          string // all four by turns if it is empty
	prompt         int
	samples        []ejectionSample
	calls          []callRecord
	results        []*requestResult
	ejections      int64
	readmissions   int64
}

func (w *ejectionScenario) run(t *testing.T) *ejectionScenario {
	y := newFakePlatform(prefillAndDecodeWorkers("svc", w.workersPerRole, w.workersPerRole)...)
	f := startFleet(t, w.seed, w.nodes, y, defaultConfiguration(), func(o *Options) {
		o.RetryAllowance = 60
		if w.adjustOptions != nil {
			w.adjustOptions(o)
		}
	})
	defer f.close()
	begin := y.elapsed()
	y.withLock(func() {
		y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
			k.At -= begin
			if w.outcome == nil {
				return succeeds
			}
			return w.outcome(k)
		}
	})
	over := make(chan bool)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			w.sampleEjections(f, y.elapsed()-begin)
			select {
			case <-over:
				return
			case <-host.NewTimer(50 * time.Millisecond).C:
			}
		}
	})
	if w.disrupt != nil {
		wg.Go(func() { w.disrupt(f, y) })
	}
	w.results = f.generateLoad(w.rate, w.duration, func(i int) *Request {
		path := w.route
		if path == "" {
			path = routePaths[i%4]
		}
		return f.newRequest(fmt.Sprint("r", i), path, max(w.prompt, 400), 4)
	})
	close(over)
	wg.Wait()
	for _, b := range f.runningNodes() {
		w.ejections += b.counts.Ejected.Load()
		w.readmissions += b.counts.Readmitted.Load()
	}
	for _, k := range y.recordedCalls() {
		k.At -= begin
		w.calls = append(w.calls, k)
	}
	for _, a := range w.results {
		a.sentAt, a.endedAt = a.sentAt-begin, a.endedAt-begin
	}
	return w
}

func (w *ejectionScenario) sampleEjections(f *fleet, now time.Duration) {
	for _, b := range f.runningNodes() {
		by := map[workerGroup]*ejectionSample{}
		for _, x := range b.endpoints.Load().workers {
			k := workerGroup{x.Service, x.Role}
			if by[k] == nil {
				by[k] = &ejectionSample{at: now, node: b.ip, group: k}
			}
			by[k].total++
			if b.isEjected(x.ID) {
				by[k].ejected++
			}
		}
		for _, s := range by {
			if s.ejected > 0 {
				w.samples = append(w.samples, *s)
			}
		}
	}
}

// countAnswered is how many of the requests of a span were answered with 200.
func (w *ejectionScenario) countAnswered(from, to time.Duration) (done, all int) {
	for _, a := range w.results {
		if a.sentAt >= from && a.sentAt < to {
			all++
			if a.err == nil && a.response.status == 200 {
				done++
			}
		}
	}
	return done, all
}

// checkInvariants holds what must be so whatever is unhealthy.
func (w *ejectionScenario) checkInvariants(t *testing.T) {
	require.Empty(t, onceOnly(w.calls, w.results))
	require.Empty(t, ended(w.results, 8500*time.Millisecond))
	require.Empty(t, answers(w.results))
	require.Empty(t, ejectionLimitViolations(w.samples, 0.34))
}

// failsAtRandom draws by a seed whether a call fails; the verdict goes with the request and the
// worker, so that it does not depend on the order of calls.
func failsAtRandom(seed uint64, x float64) func(k callRecord) bool {
	return func(k callRecord) bool {
		return rand.New(rand.NewPCG(seed, ids.Hash(k.RequestID+k.Kind+string(k.Worker)))).Float64() < x
	}
}

// ejectionLimitViolations: of no part does a node have more out at once than the bound, nor the last.
func ejectionLimitViolations(rows []ejectionSample, role float64) []string {
	var out []string
	for _, s := range rows {
		if limit := max(1, int(role*float64(s.total))); s.ejected > limit || s.ejected >= s.total {
			out = append(out, fmt.Sprintf("at %s: %s has %d of %d out of %v", s.at, s.node, s.ejected, s.total, s.group))
		}
	}
	return out
}

// callShare is the part of a span's sendings that goes to some workers.
func callShare(rows []callRecord, unhealthy map[ids.WorkerID]bool, from, to time.Duration) float64 {
	hit, all := 0, 0
	for _, k := range rows {
		if (k.Kind == "read" || k.Kind == "emit") && k.At >= from && k.At < to {
			all++
			if unhealthy[k.Worker] {
				hit++
			}
		}
	}
	return float64(hit) / float64(max(1, all))
}

// callShareViolations: the unhealthy workers' share of sendings falls to the part given of what is fair.
func callShareViolations(rows []callRecord, unhealthy map[ids.WorkerID]bool, fair, role float64, from, to time.Duration) []string {
	if s := callShare(rows, unhealthy, from, to); s > role*fair {
		return []string{fmt.Sprintf("%.3f of the sendings go to sick workers, whose fair share is %.3f", s, fair)}
	}
	return nil
}

// TestEjectionCheckersDetectViolations: the checkers of this file catch their violations.
func TestEjectionCheckersDetectViolations(t *testing.T) {
	require.Empty(t, ejectionLimitViolations([]ejectionSample{{ejected: 2, total: 6}, {ejected: 1, total: 2}}, 0.34))
	require.NotEmpty(t, ejectionLimitViolations([]ejectionSample{{ejected: 3, total: 6}}, 0.34), "over the bound")
	require.NotEmpty(t, ejectionLimitViolations([]ejectionSample{{ejected: 1, total: 1}}, 0.34), "the last")
	k := func(id ids.WorkerID, at time.Duration) callRecord {
		return callRecord{Kind: "emit", Worker: id, At: at}
	}
	rows := []callRecord{k("w", 0), k("w", 1), k("v", 5), k("w", 6), k("v", 7), k("v", 8)}
	unhealthy := map[ids.WorkerID]bool{"w": true}
	require.Empty(t, callShareViolations(rows, unhealthy, 0.5, 0.6, 5, 9))
	require.NotEmpty(t, callShareViolations(rows, unhealthy, 0.5, 0.4, 5, 9), "one of four")
	require.NotEmpty(t, callShareViolations(rows, unhealthy, 0.5, 0.6, 0, 9), "half")
}

// TestPartiallyFailingWorkerIsEjected: a reading and an emitting worker fail 30 to 60 % of their requests while their
// reports are good: soon little goes there, more is answered than without ejection, and
// once they are well they get their share again.
func TestPartiallyFailingWorkerIsEjected(t *testing.T) {
	hows := []callOutcome{resetAfterRun, resetBeforeRun, serverError, resetMidResponse}
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		x := []float64{0.3, 0.4, 0.5, 0.6}[seed%4]
		hit := failsAtRandom(seed, x)
		unhealthy := map[ids.WorkerID]bool{"svc-prefill-1.1": true, "svc-decode-2.1": true}
		grey := func(k callRecord) callOutcome {
			if unhealthy[k.Worker] && k.At > 3*time.Second && k.At < 13*time.Second && hit(k) {
				if k.Kind == "read" {
					return resetAfterRun
				}
				return hows[seed%4]
			}
			return succeeds
		}
		on := (&ejectionScenario{seed: seed, nodes: 4, workersPerRole: 6, rate: 80, duration: 30 * time.Second, outcome: grey}).run(t)
		on.checkInvariants(t)
		off := (&ejectionScenario{
			seed:           seed,
			nodes:          4,
			workersPerRole: 6,
			rate:           80,
			duration:       30 * time.Second,
			outcome:        grey,
			adjustOptions:  func(o *Options) { o.BaseEjection = -1 },
		}).run(t)
		had, all := off.countAnswered(5*time.Second, 13*time.Second)
		has, _ := on.countAnswered(5*time.Second, 13*time.Second)
		t.Logf(
			"x %.1f: share %.3f, without %.3f; answered %d, without %d, of %d; ejections %d",
			x,
			callShare(on.calls, unhealthy, 5*time.Second, 13*time.Second),
			callShare(off.calls, unhealthy, 5*time.Second, 13*time.Second),
			has,
			had,
			all,
			on.ejections,
		)
		require.Empty(t, callShareViolations(on.calls, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second))
		require.NotEmpty(
			t, callShareViolations(off.calls, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second), "without it they go on",
		)
		require.Greater(t, has, had)
		// A third ejection right before they are well lasts 8 s, and trials come after it.
		require.Greater(t, callShare(on.calls, unhealthy, 25*time.Second, 30*time.Second), 0.5/6, "they are used again")
		require.Zero(t, off.ejections)
		require.Positive(t, on.readmissions)
	})
}

// TestWorkerFailingForOneNodeIsEjectedThereOnly: a worker fails for one node's calls only: that node leaves it out, the
// others go on with it.
func TestWorkerFailingForOneNodeIsEjectedThereOnly(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		hit := failsAtRandom(seed, 0.6)
		w := (&ejectionScenario{
			seed:           seed,
			nodes:          4,
			workersPerRole: 5,
			rate:           100,
			duration:       12 * time.Second,
			outcome: func(k callRecord) callOutcome {
				if k.Worker == "svc-decode-1.1" && k.Node == nodeIP(1) && k.At > 3*time.Second && hit(k) {
					return resetAfterRun
				}
				return succeeds
			},
		}).run(t)
		w.checkInvariants(t)
		from := map[string]int{}
		for _, k := range w.calls {
			if k.Kind == "emit" && k.Worker == "svc-decode-1.1" && k.At > 5*time.Second {
				from[k.Node]++
			}
		}
		require.Greater(t, from[nodeIP(3)], 4*from[nodeIP(1)], "the other node of its zone")
		for _, s := range w.samples {
			require.Equal(t, nodeIP(1), s.node, "at %s", s.at)
		}
	})
}

// TestHealthReportsDoNotOverrideOutcomes: a report that is bad while outcomes are good puts no worker out; one
// that is good does not bring back a worker whose outcomes are bad. Either lie may be told
// to some nodes only.
func TestHealthReportsDoNotOverrideOutcomes(t *testing.T) {
	for _, some := range []bool{false, true} {
		t.Run(fmt.Sprint(some), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				bad := failure.New(failure.InvalidArgument, "report", "", "status 503")
				mute := 0
				lies := func(on bool) *ejectionScenario {
					return (&ejectionScenario{
						seed:           3,
						nodes:          3,
						workersPerRole: 3,
						rate:           60,
						duration:       14 * time.Second,
						outcome: func(k callRecord) callOutcome {
							// Now and then an answer is late, so that the worker is asked.
							if k.Kind != "emit" {
								return succeeds
							}
							if mute++; mute%30 == 0 {
								return silentBeforeRun
							}
							return succeeds
						},
						disrupt: func(f *fleet, y *fakePlatform) {
							time.Sleep(2 * time.Second)
							y.withLock(func() {
								y.reportError = func(node string, s *fakeWorker) error {
									if s.name == "svc-decode-1" && (!some || node == nodeIP(1)) {
										return bad
									}
									return nil
								}
							})
						},
						adjustOptions: func(o *Options) {
							if !on {
								o.BaseEjection = -1
							}
						},
					}).run(t)
				}
				well := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				w := lies(true)
				w.checkInvariants(t)
				got := callShare(w.calls, well, 3*time.Second, 14*time.Second)
				t.Logf("share %.3f", got)
				require.Greater(t, got, 0.7/6)
				if !some {
					off := callShare(lies(false).calls, well, 3*time.Second, 14*time.Second)
					t.Logf("without ejection %.3f", off)
					require.Less(t, off, got, "reports alone put it out")
				}
			})
		})
	}
}

// TestFlappingWorkerEjectedLonger: a worker goes down and up by turns: after the second time it is left out for
// longer than it is down; one that is down once comes back at once.
func TestFlappingWorkerEjectedLonger(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		run := func(o func(*Options)) *ejectionScenario {
			return (&ejectionScenario{
				seed:           seed,
				nodes:          3,
				workersPerRole: 4,
				rate:           80,
				duration:       20 * time.Second,
				adjustOptions:  o,
				disrupt: func(f *fleet, y *fakePlatform) {
					time.Sleep(2 * time.Second)
					y.withLock(func() { y.worker("svc-decode-3").silent = true })
					time.Sleep(1300 * time.Millisecond)
					y.withLock(func() { y.worker("svc-decode-3").silent = false })
					for range 4 {
						y.withLock(func() { y.worker("svc-decode-1").silent = true })
						time.Sleep(1300 * time.Millisecond)
						y.withLock(func() { y.worker("svc-decode-1").silent = false })
						time.Sleep(1300 * time.Millisecond)
					}
				},
			}).run(t)
		}
		flapper, once := map[ids.WorkerID]bool{"svc-decode-1.1": true}, map[ids.WorkerID]bool{"svc-decode-3.1": true}
		on, off := run(nil), run(func(o *Options) { o.BaseEjection = -1 })
		on.checkInvariants(t)
		from, to := 6*time.Second, 14*time.Second
		has, all := on.countAnswered(from, to)
		had, _ := off.countAnswered(from, to)
		t.Logf(
			"share %.3f, without %.3f; answered %d, without %d, of %d",
			callShare(on.calls, flapper, from, to),
			callShare(off.calls, flapper, from, to),
			has,
			had,
			all,
		)
		require.Less(t, callShare(on.calls, flapper, from, to), 0.6*callShare(off.calls, flapper, from, to))
		require.Greater(t, has, all*97/100)
		require.Greater(t, callShare(on.calls, once, 4*time.Second, 8*time.Second), 0.7/8, "one fall is forgiven")
	})
}

// TestUniformFailuresEjectNoWorker: where all workers fail alike none stands out, and none is ejected; where many
// do the bound holds. Ejection refuses nothing: what is refused without it is no less.
func TestUniformFailuresEjectNoWorker(t *testing.T) {
	for name, many := range map[string]int{"all": 6, "four": 4} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 3, func(t *testing.T, seed uint64) {
				hit := failsAtRandom(seed, 0.45)
				run := func(o func(*Options)) *ejectionScenario {
					return (&ejectionScenario{
						seed:           seed,
						nodes:          3,
						workersPerRole: 6,
						rate:           40,
						duration:       12 * time.Second,
						adjustOptions:  o,
						outcome: func(k callRecord) callOutcome {
							if int(k.Worker[len(k.Worker)-3]-'0') < many && k.At > 2*time.Second && hit(k) {
								return resetAfterRun
							}
							return succeeds
						},
					}).run(t)
				}
				on, off := run(nil), run(func(o *Options) { o.BaseEjection = -1 })
				on.checkInvariants(t)
				refused := func(w *ejectionScenario) (k int) {
					for _, a := range w.results {
						if _, no := a.err.(*RejectedError); no {
							k++
						}
					}
					return k
				}
				t.Logf("%s: ejections %d, refused %d, without %d", name, on.ejections, refused(on), refused(off))
				if many < 6 {
					require.Less(t, refused(on), refused(off))
				} else { // the same but for chance
					require.LessOrEqual(t, refused(on), refused(off)*6/5)
					require.LessOrEqual(
						t, on.ejections, int64(6), "in 10 s at three nodes, by chance as the failures begin",
					)
				}
			})
		})
	}
}

// TestEjectedWorkersUsedWhenNoOthersRemain: where only ejected workers are left they are used, the least bad first.
func TestEjectedWorkersUsedWhenNoOthersRemain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 5, 1, y, defaultConfiguration(), nil)
		defer f.close()
		n := f.nodes[0]
		for i, ill := range []float64{0.9, 0.3, 0.6} {
			st := n.state(ids.WorkerID(fmt.Sprintf("svc-decode-%d.1", i)))
			st.mu.Lock()
			st.outlier.phase, st.outlier.until, st.outlier.failureRate = ejected, n.now().Add(time.Hour), ill
			st.mu.Unlock()
		}
		for i := range 6 {
			a := f.send(n, f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4))
			require.NoError(t, a.err)
		}
		for _, k := range y.recordedCalls() {
			if k.Kind == "emit" {
				require.EqualValues(t, "svc-decode-1.1", k.Worker)
			}
		}
	})
}

// TestOneWayPacketLoss: packets pass one way only between a worker and all nodes, or one node: what
// is sent there is silence. It is left alone while that lasts and used again after it.
func TestOneWayPacketLoss(t *testing.T) {
	for _, one := range []bool{false, true} {
		t.Run(fmt.Sprint(one), func(t *testing.T) {
			forEachSeed(t, 2, func(t *testing.T, seed uint64) {
				off := func(node string) bool { return !one || node == nodeIP(1) }
				w := (&ejectionScenario{
					seed:           seed,
					nodes:          3,
					workersPerRole: 4,
					rate:           60,
					duration:       18 * time.Second,
					outcome: func(k callRecord) callOutcome {
						if k.Worker == "svc-decode-1.1" && k.At > 3*time.Second && k.At < 8*time.Second && off(k.Node) {
							return silentBeforeRun
						}
						return succeeds
					},
					disrupt: func(f *fleet, y *fakePlatform) {
						lost := failure.New(failure.Unavailable, "report", "", "no answer")
						time.Sleep(3 * time.Second)
						y.withLock(func() {
							y.reportError = func(node string, s *fakeWorker) error {
								if s.name == "svc-decode-1" && off(node) {
									return lost
								}
								return nil
							}
						})
						time.Sleep(5 * time.Second)
						y.withLock(func() { y.reportError = nil })
					},
				}).run(t)
				w.checkInvariants(t)
				unhealthy := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				var own, rest []callRecord
				for _, k := range w.calls {
					if off(k.Node) {
						own = append(own, k)
					} else {
						rest = append(rest, k)
					}
				}
				require.Empty(t, callShareViolations(own, unhealthy, 1.0/8, 0.3, 5*time.Second, 8*time.Second))
				if one {
					require.Greater(t, callShare(rest, unhealthy, 5*time.Second, 8*time.Second), 0.7/8)
				}
				require.Greater(t, callShare(w.calls, unhealthy, 13*time.Second, 18*time.Second), 0.5/8)
			})
		})
	}
}

// TestUnreliablePeerEjectsNoWorkerElsewhere: a node that reaches no worker, and one that lies about all or about one,
// put no worker out for the others.
func TestUnreliablePeerEjectsNoWorkerElsewhere(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		w := (&ejectionScenario{
			seed:           7,
			nodes:          5,
			workersPerRole: 4,
			rate:           60,
			duration:       10 * time.Second,
			outcome: func(k callRecord) callOutcome {
				if k.Node == nodeIP(0) && k.At > 2*time.Second {
					return resetAfterRun
				}
				return succeeds
			},
			disrupt: func(f *fleet, y *fakePlatform) {
				for range 80 {
					for _, b := range f.runningNodes()[2:] {
						b.peerReports.Store(ids.NodeID("liar"), peerReport{
							at:       b.now(),
							outcomes: []Outcomes{{"svc-decode-1.1", 1 << 20, 1 << 20, 90}},
						})
					}
					time.Sleep(100 * time.Millisecond)
				}
			},
		}).run(t)
		w.checkInvariants(t)
		for _, s := range w.samples {
			require.Equal(t, nodeIP(0), s.node, "at %s", s.at)
		}
	})
}

// TestPeerOutcomeWeightsAreCapped: a node's say of a worker is bounded, and one that accuses more of a part than
// may be out says nothing.
func TestPeerOutcomeWeightsAreCapped(t *testing.T) {
	n := &Node{options: Options{MaxEjectedShare: 0.34, PeerWeight: 4}}
	var list []Worker
	for i := range 6 {
		list = append(list, Worker{ID: ids.WorkerID(fmt.Sprint("w", i)), Service: "svc"})
	}
	n.endpoints.Store(&endpointList{workers: list})
	require.Equal(t, []Outcomes{
		{"w0", 40, 20, 1},
		{"w1", 30, 0, 0},
	}, n.capWeights([]Outcomes{{"w0", 400, 200, 9}, {"w1", 30, 0, 0}}))
	require.Equal(t, []Outcomes{{
		"w0", 10, 10, 1,
	}}, n.capWeights([]Outcomes{{"w0", 10, 99, 1}}), "more failures than sendings")
	require.Len(t, n.capWeights([]Outcomes{{"w0", 10, 9, 1}, {"w1", 10, 9, 1}}), 2)
	require.Empty(t, n.capWeights([]Outcomes{{"w0", 10, 9, 1}, {"w1", 10, 9, 1}, {"w2", 10, 9, 1}}), "half of all")
}

// TestOutcomesNotBlamedOnWorker: a caller that went away, a deadline that was over, being turned away and
// lost memory are no failures of the worker.
func TestOutcomesNotBlamedOnWorker(t *testing.T) {
	for _, how := range []string{"caller", "deadline", "full", "lost", "unreached"} {
		t.Run(how, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				f := startFleet(t, 6, 1, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
				defer f.close()
				y.withLock(func() {
					y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
						if k.Kind != "emit" {
							return succeeds
						}
						return map[string]callOutcome{
							"caller":    succeeds,
							"deadline":  silentBeforeRun,
							"full":      notExecuted,
							"lost":      memoryLost,
							"unreached": connectionRefused,
						}[how]
					}
				})
				for i := range 20 {
					r := f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6)
					if how == "deadline" {
						r.Timeout = 200 * time.Millisecond
					}
					f.sendWith(t.Context(), f.nodes[0], r, &responseRecorder{callerGone: how == "caller"})
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

// TestSparseTrafficPoolsPeerOutcomes: many nodes before many workers, so that each node sends little to each worker:
// what the nodes tell each other has the unhealthy found in time, where each alone finds none.
func TestSparseTrafficPoolsPeerOutcomes(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		hit := failsAtRandom(seed, 0.45)
		nodes, parts, rate := 24, 14, 90.0
		large := os.Getenv("KEELSTAIR_SPARSE") != ""
		if large { // as many as the largest site has
			nodes, parts, rate = 72, 70, 605
		}
		unhealthy := map[ids.WorkerID]bool{}
		for i := range max(2, parts*14/100) {
			unhealthy[ids.WorkerID(fmt.Sprintf("svc-prefill-%d.1", 3*i))] = true
			unhealthy[ids.WorkerID(fmt.Sprintf("svc-decode-%d.1", 3*i+1))] = true
		}
		run := func(o func(*Options)) *ejectionScenario {
			w := (&ejectionScenario{
				seed:           seed,
				nodes:          nodes,
				workersPerRole: parts,
				rate:           rate,
				duration:       11 * time.Second,
				adjustOptions:  o,
				outcome: func(k callRecord) callOutcome {
					if unhealthy[k.Worker] && k.At > 3*time.Second && k.At < 9500*time.Millisecond && hit(k) {
						return resetAfterRun
					}
					return succeeds
				},
			}).run(t)
			w.checkInvariants(t)
			return w
		}
		from, to := 4*time.Second, 9500*time.Millisecond
		reports, alone := run(nil), run(func(o *Options) { o.PeerWeight = -1 })
		all := map[string]*ejectionScenario{"told": reports, "alone": alone}
		if large {
			all["off"] = run(func(o *Options) { o.BaseEjection = -1 })
		}
		for name, w := range all {
			has, all := w.countAnswered(3*time.Second, to)
			t.Logf(
				"%s: share %.3f, answered %d of %d, ejections %d",
				name,
				callShare(w.calls, unhealthy, from, to),
				has,
				all,
				w.ejections,
			)
		}
		fair := float64(len(unhealthy)) / float64(2*parts)
		require.Empty(t, callShareViolations(reports.calls, unhealthy, fair, 0.5, from, to))
		require.NotEmpty(t, callShareViolations(alone.calls, unhealthy, fair, 0.5, from, to))
	})
}

// TestProbationLimitsTraffic: a worker that goes on failing is readmitted by no good report and no time
// alone: a failed trial ejects it again, each time for longer; trials that succeed readmit
// it, and what it is sent meanwhile is a trickle.
func TestProbationLimitsTraffic(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		unhealthy := map[ids.WorkerID]bool{"svc-decode-2.1": true}
		w := (&ejectionScenario{
			seed:           8,
			nodes:          1,
			workersPerRole: 4,
			rate:           60,
			duration:       40 * time.Second,
			outcome: func(k callRecord) callOutcome {
				if unhealthy[k.Worker] && k.At > 2*time.Second && k.At < 30*time.Second {
					return resetAfterRun
				}
				return succeeds
			},
		}).run(t)
		w.checkInvariants(t)
		hits := 0
		for _, k := range w.calls {
			if k.Kind == "emit" && unhealthy[k.Worker] && k.At > 4*time.Second && k.At < 30*time.Second {
				hits++
			}
		}
		t.Logf("ejections %d, readmissions %d, sendings %d", w.ejections, w.readmissions, hits)
		require.LessOrEqual(t, w.ejections, int64(6), "each is longer")
		require.GreaterOrEqual(t, w.ejections, int64(3))
		require.LessOrEqual(t, hits, 11, "a trickle")
		require.Positive(t, w.readmissions)
	})
}

// TestShortOutageRestoresShareAtOnce: workers that are cut off once and shortly, with all that they had under way,
// get their share again at once: what they failed is explained.
func TestShortOutageRestoresShareAtOnce(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, seed uint64) {
		cut := map[ids.WorkerID]bool{"svc-decode-0.1": true, "svc-decode-3.1": true}
		w := (&ejectionScenario{
			seed:           seed,
			nodes:          16,
			workersPerRole: 6,
			rate:           160,
			duration:       9 * time.Second,
			disrupt: func(f *fleet, y *fakePlatform) {
				dark := func(on bool) {
					y.withLock(func() {
						for _, s := range y.workers {
							if cut[s.ID] {
								s.silent = on
							}
						}
					})
				}
				time.Sleep(3 * time.Second)
				dark(true)
				time.Sleep(1500 * time.Millisecond)
				dark(false)
			},
			outcome: func(k callRecord) callOutcome {
				if cut[k.Worker] && k.At > 3*time.Second && k.At < 4500*time.Millisecond {
					return resetAfterRun // it is seen at once
				}
				return succeeds
			},
		}).run(t)
		w.checkInvariants(t)
		had, has := callShare(w.calls, cut, 0, 3*time.Second), callShare(w.calls, cut, 5500*time.Millisecond, 9*time.Second)
		t.Logf("ejections %d, share %.3f, before %.3f", w.ejections, has, had)
		require.Greater(t, has, 0.6*had)
	})
}

// TestOutageClearsRecentFailures: what a worker failed just before it was found to be down counts no more,
// and an ejection for it goes over into probation; an older one stands.
func TestOutageClearsRecentFailures(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := startFleet(t, 9, 1, newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...), defaultConfiguration(), nil)
		defer f.close()
		n := f.nodes[0]
		for _, previous := range []bool{false, true} {
			st, now := &workerState{}, n.now()
			st.outlier = outlierState{
				local: decayingCount{8, 7, now},
				phase: ejected,
				since: now,
				until: now.Add(8 * time.Second),
			}
			if previous {
				st.outlier.since = now.Add(-3 * time.Second)
			}
			n.recordOutage(st)
			require.Zero(t, st.outlier.local.failed)
			require.Equal(t, previous, now.Before(st.outlier.until))
			n.recordOutcome(&pick{state: st, ended: new(atomic.Bool)}, false)
			require.Zero(t, st.outlier.local.failed, "while it is known to be down")
			n.recordRecovery(st)
			n.recordOutcome(&pick{state: st, ended: new(atomic.Bool)}, false)
			require.Positive(t, st.outlier.local.failed)
		}
	})
}
