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

// standing is how many of a part a node has out at a moment.
type standing struct {
	at       time.Duration
	node     string
	group    workerGroup
	out, all int
}

// ward runs a load over workers some of which are unhealthy, and watches what is out.
type ward struct {
	seed      uint64
	nodes     int
	parts     int // workers of each part
	rate      float64
	duration  time.Duration
	unhealthy func(k row) fate // under the fake platform's lock
	tune      func(*Options)
	act       func(f *fleet, y *workerPool)
	route     string // all four by turns if it is empty
	prompt    int
	standing  []standing
	rows      []row
	asks      []*asked
	ejects    int64
	readmits  int64
}

func (w *ward) run(t *testing.T) *ward {
	y := newCluster(both("svc", w.parts, w.parts)...)
	f := build(t, w.seed, w.nodes, y, plain(), func(o *Options) {
		o.RetryAllowance = 60
		if w.tune != nil {
			w.tune(o)
		}
	})
	defer f.close()
	begin := y.now()
	y.at(func() {
		y.fate = func(k row, _ *stand) fate {
			k.At -= begin
			if w.unhealthy == nil {
				return fine
			}
			return w.unhealthy(k)
		}
	})
	over := make(chan bool)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			w.look(f, y.now()-begin)
			select {
			case <-over:
				return
			case <-host.NewTimer(50 * time.Millisecond).C:
			}
		}
	})
	if w.act != nil {
		wg.Go(func() { w.act(f, y) })
	}
	w.asks = f.load(w.rate, w.duration, func(i int) *Request {
		path := w.route
		if path == "" {
			path = paths[i%4]
		}
		return f.req(fmt.Sprint("r", i), path, max(w.prompt, 400), 4)
	})
	close(over)
	wg.Wait()
	for _, b := range f.up() {
		w.ejects += b.counts.Ejected.Load()
		w.readmits += b.counts.Readmitted.Load()
	}
	for _, k := range y.directory() {
		k.At -= begin
		w.rows = append(w.rows, k)
	}
	for _, a := range w.asks {
		a.at, a.end = a.at-begin, a.end-begin
	}
	return w
}

func (w *ward) look(f *fleet, now time.Duration) {
	for _, b := range f.up() {
		by := map[workerGroup]*standing{}
		for _, x := range b.endpoints.Load().workers {
			k := workerGroup{x.Service, x.Role}
			if by[k] == nil {
				by[k] = &standing{at: now, node: b.ip, group: k}
			}
			by[k].all++
			if b.isEjected(x.ID) {
				by[k].out++
			}
		}
		for _, s := range by {
			if s.out > 0 {
				w.standing = append(w.standing, *s)
			}
		}
	}
}

// done is how many of the requests of a span were answered with 200.
func (w *ward) done(from, to time.Duration) (done, all int) {
	for _, a := range w.asks {
		if a.at >= from && a.at < to {
			all++
			if a.err == nil && a.sink.status == 200 {
				done++
			}
		}
	}
	return done, all
}

// sound holds what must be so whatever is unhealthy.
func (w *ward) sound(t *testing.T) {
	require.Empty(t, onceOnly(w.rows, w.asks))
	require.Empty(t, ended(w.asks, 8500*time.Millisecond))
	require.Empty(t, answers(w.asks))
	require.Empty(t, outBound(w.standing, 0.34))
}

// some draws by a seed whether a call fails; the verdict goes with the request and the
// worker, so that it does not depend on the order of calls.
func some(seed uint64, x float64) func(k row) bool {
	return func(k row) bool {
		return rand.New(rand.NewPCG(seed, ids.Hash(k.Req+k.Kind+string(k.Worker)))).Float64() < x
	}
}

// outBound: of no part does a node have more out at once than the bound, nor the last.
func outBound(rows []standing, role float64) []string {
	var out []string
	for _, s := range rows {
		if limit := max(1, int(role*float64(s.all))); s.out > limit || s.out >= s.all {
			out = append(out, fmt.Sprintf("at %s: %s has %d of %d out of %v", s.at, s.node, s.out, s.all, s.group))
		}
	}
	return out
}

// share is the part of a span's sendings that goes to some workers.
func share(rows []row, unhealthy map[ids.WorkerID]bool, from, to time.Duration) float64 {
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

// falls: the unhealthy workers' share of sendings falls to the part given of what is fair.
func falls(rows []row, unhealthy map[ids.WorkerID]bool, fair, role float64, from, to time.Duration) []string {
	if s := share(rows, unhealthy, from, to); s > role*fair {
		return []string{fmt.Sprintf("%.3f of the sendings go to sick workers, whose fair share is %.3f", s, fair)}
	}
	return nil
}

// TestPlantedSick: the checkers of this file catch their violations.
func TestPlantedSick(t *testing.T) {
	require.Empty(t, outBound([]standing{{out: 2, all: 6}, {out: 1, all: 2}}, 0.34))
	require.NotEmpty(t, outBound([]standing{{out: 3, all: 6}}, 0.34), "over the bound")
	require.NotEmpty(t, outBound([]standing{{out: 1, all: 1}}, 0.34), "the last")
	k := func(id ids.WorkerID, at time.Duration) row { return row{Kind: "emit", Worker: id, At: at} }
	rows := []row{k("w", 0), k("w", 1), k("v", 5), k("w", 6), k("v", 7), k("v", 8)}
	unhealthy := map[ids.WorkerID]bool{"w": true}
	require.Empty(t, falls(rows, unhealthy, 0.5, 0.6, 5, 9))
	require.NotEmpty(t, falls(rows, unhealthy, 0.5, 0.4, 5, 9), "one of four")
	require.NotEmpty(t, falls(rows, unhealthy, 0.5, 0.6, 0, 9), "half")
}

// TestGrey: a reading and an emitting worker fail 30 to 60 % of their requests while their
// reports are good: soon little goes there, more is answered than without ejection, and
// once they are well they get their share again.
func TestGrey(t *testing.T) {
	hows := []fate{ranReset, idleReset, failed, midReset}
	eachSeed(t, 4, func(t *testing.T, seed uint64) {
		x := []float64{0.3, 0.4, 0.5, 0.6}[seed%4]
		hit := some(seed, x)
		unhealthy := map[ids.WorkerID]bool{"svc-prefill-1.1": true, "svc-decode-2.1": true}
		grey := func(k row) fate {
			if unhealthy[k.Worker] && k.At > 3*time.Second && k.At < 13*time.Second && hit(k) {
				if k.Kind == "read" {
					return ranReset
				}
				return hows[seed%4]
			}
			return fine
		}
		on := (&ward{seed: seed, nodes: 4, parts: 6, rate: 80, duration: 30 * time.Second, unhealthy: grey}).run(t)
		on.sound(t)
		off := (&ward{
			seed:      seed,
			nodes:     4,
			parts:     6,
			rate:      80,
			duration:  30 * time.Second,
			unhealthy: grey,
			tune:      func(o *Options) { o.BaseEjection = -1 },
		}).run(t)
		had, all := off.done(5*time.Second, 13*time.Second)
		has, _ := on.done(5*time.Second, 13*time.Second)
		t.Logf(
			"x %.1f: share %.3f, without %.3f; answered %d, without %d, of %d; ejections %d",
			x,
			share(on.rows, unhealthy, 5*time.Second, 13*time.Second),
			share(off.rows, unhealthy, 5*time.Second, 13*time.Second),
			has,
			had,
			all,
			on.ejects,
		)
		require.Empty(t, falls(on.rows, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second))
		require.NotEmpty(
			t, falls(off.rows, unhealthy, 1.0/6, 0.6, 5*time.Second, 13*time.Second), "without it they go on",
		)
		require.Greater(t, has, had)
		// A third ejection right before they are well lasts 8 s, and trials come after it.
		require.Greater(t, share(on.rows, unhealthy, 25*time.Second, 30*time.Second), 0.5/6, "they are used again")
		require.Zero(t, off.ejects)
		require.Positive(t, on.readmits)
	})
}

// TestGreyForSome: a worker fails for one node's calls only: that node leaves it out, the
// others go on with it.
func TestGreyForSome(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		hit := some(seed, 0.6)
		w := (&ward{
			seed:     seed,
			nodes:    4,
			parts:    5,
			rate:     100,
			duration: 12 * time.Second,
			unhealthy: func(k row) fate {
				if k.Worker == "svc-decode-1.1" && k.Node == nodeIP(1) && k.At > 3*time.Second && hit(k) {
					return ranReset
				}
				return fine
			},
		}).run(t)
		w.sound(t)
		from := map[string]int{}
		for _, k := range w.rows {
			if k.Kind == "emit" && k.Worker == "svc-decode-1.1" && k.At > 5*time.Second {
				from[k.Node]++
			}
		}
		require.Greater(t, from[nodeIP(3)], 4*from[nodeIP(1)], "the other node of its zone")
		for _, s := range w.standing {
			require.Equal(t, nodeIP(1), s.node, "at %s", s.at)
		}
	})
}

// TestLyingHealth: a report that is bad while outcomes are good puts no worker out; one
// that is good does not bring back a worker whose outcomes are bad. Either lie may be told
// to some nodes only.
func TestLyingHealth(t *testing.T) {
	for _, some := range []bool{false, true} {
		t.Run(fmt.Sprint(some), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				bad := failure.New(failure.InvalidArgument, "report", "", "status 503")
				mute := 0
				lies := func(on bool) *ward {
					return (&ward{
						seed:     3,
						nodes:    3,
						parts:    3,
						rate:     60,
						duration: 14 * time.Second,
						unhealthy: func(k row) fate {
							// Now and then an answer is late, so that the worker is asked.
							if k.Kind != "emit" {
								return fine
							}
							if mute++; mute%30 == 0 {
								return idleSilent
							}
							return fine
						},
						act: func(f *fleet, y *workerPool) {
							time.Sleep(2 * time.Second)
							y.at(func() {
								y.health = func(node string, s *stand) error {
									if s.name == "svc-decode-1" && (!some || node == nodeIP(1)) {
										return bad
									}
									return nil
								}
							})
						},
						tune: func(o *Options) {
							if !on {
								o.BaseEjection = -1
							}
						},
					}).run(t)
				}
				well := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				w := lies(true)
				w.sound(t)
				got := share(w.rows, well, 3*time.Second, 14*time.Second)
				t.Logf("share %.3f", got)
				require.Greater(t, got, 0.7/6)
				if !some {
					off := share(lies(false).rows, well, 3*time.Second, 14*time.Second)
					t.Logf("without ejection %.3f", off)
					require.Less(t, off, got, "reports alone put it out")
				}
			})
		})
	}
}

// TestFlapping: a worker goes down and up by turns: after the second time it is left out for
// longer than it is down; one that is down once comes back at once.
func TestFlapping(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		run := func(o func(*Options)) *ward {
			return (&ward{
				seed:     seed,
				nodes:    3,
				parts:    4,
				rate:     80,
				duration: 20 * time.Second,
				tune:     o,
				act: func(f *fleet, y *workerPool) {
					time.Sleep(2 * time.Second)
					y.at(func() { y.of("svc-decode-3").dark = true })
					time.Sleep(1300 * time.Millisecond)
					y.at(func() { y.of("svc-decode-3").dark = false })
					for range 4 {
						y.at(func() { y.of("svc-decode-1").dark = true })
						time.Sleep(1300 * time.Millisecond)
						y.at(func() { y.of("svc-decode-1").dark = false })
						time.Sleep(1300 * time.Millisecond)
					}
				},
			}).run(t)
		}
		flapper, once := map[ids.WorkerID]bool{"svc-decode-1.1": true}, map[ids.WorkerID]bool{"svc-decode-3.1": true}
		on, off := run(nil), run(func(o *Options) { o.BaseEjection = -1 })
		on.sound(t)
		from, to := 6*time.Second, 14*time.Second
		has, all := on.done(from, to)
		had, _ := off.done(from, to)
		t.Logf(
			"share %.3f, without %.3f; answered %d, without %d, of %d",
			share(on.rows, flapper, from, to),
			share(off.rows, flapper, from, to),
			has,
			had,
			all,
		)
		require.Less(t, share(on.rows, flapper, from, to), 0.6*share(off.rows, flapper, from, to))
		require.Greater(t, has, all*97/100)
		require.Greater(t, share(on.rows, once, 4*time.Second, 8*time.Second), 0.7/8, "one fall is forgiven")
	})
}

// TestAllGrey: where all workers fail alike none stands out, and none is ejected; where many
// do the bound holds. Ejection refuses nothing: what is refused without it is no less.
func TestAllGrey(t *testing.T) {
	for name, many := range map[string]int{"all": 6, "four": 4} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, 3, func(t *testing.T, seed uint64) {
				hit := some(seed, 0.45)
				run := func(o func(*Options)) *ward {
					return (&ward{
						seed:     seed,
						nodes:    3,
						parts:    6,
						rate:     40,
						duration: 12 * time.Second,
						tune:     o,
						unhealthy: func(k row) fate {
							if int(k.Worker[len(k.Worker)-3]-'0') < many && k.At > 2*time.Second && hit(k) {
								return ranReset
							}
							return fine
						},
					}).run(t)
				}
				on, off := run(nil), run(func(o *Options) { o.BaseEjection = -1 })
				on.sound(t)
				refused := func(w *ward) (k int) {
					for _, a := range w.asks {
						if _, no := a.err.(*RejectedError); no {
							k++
						}
					}
					return k
				}
				t.Logf("%s: ejections %d, refused %d, without %d", name, on.ejects, refused(on), refused(off))
				if many < 6 {
					require.Less(t, refused(on), refused(off))
				} else { // the same but for chance
					require.LessOrEqual(t, refused(on), refused(off)*6/5)
					require.LessOrEqual(
						t, on.ejects, int64(6), "in 10 s at three nodes, by chance as the failures begin",
					)
				}
			})
		})
	}
}

// TestOnlyEjected: where only ejected workers are left they are used, the least bad first.
func TestOnlyEjected(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 3)...)
		f := build(t, 5, 1, y, plain(), nil)
		defer f.close()
		n := f.nodes[0]
		for i, ill := range []float64{0.9, 0.3, 0.6} {
			st := n.state(ids.WorkerID(fmt.Sprintf("svc-decode-%d.1", i)))
			st.mu.Lock()
			st.outlier.phase, st.outlier.ejectedUntil, st.outlier.failureRate = ejected, n.now().Add(time.Hour), ill
			st.mu.Unlock()
		}
		for i := range 6 {
			a := f.ask(n, f.req(fmt.Sprint("r", i), "/once/x", 400, 4))
			require.NoError(t, a.err)
		}
		for _, k := range y.directory() {
			if k.Kind == "emit" {
				require.EqualValues(t, "svc-decode-1.1", k.Worker)
			}
		}
	})
}

// TestOneWay: packets pass one way only between a worker and all nodes, or one node: what
// is sent there is silence. It is left alone while that lasts and used again after it.
func TestOneWay(t *testing.T) {
	for _, one := range []bool{false, true} {
		t.Run(fmt.Sprint(one), func(t *testing.T) {
			eachSeed(t, 2, func(t *testing.T, seed uint64) {
				off := func(node string) bool { return !one || node == nodeIP(1) }
				w := (&ward{
					seed:     seed,
					nodes:    3,
					parts:    4,
					rate:     60,
					duration: 18 * time.Second,
					unhealthy: func(k row) fate {
						if k.Worker == "svc-decode-1.1" && k.At > 3*time.Second && k.At < 8*time.Second && off(k.Node) {
							return idleSilent
						}
						return fine
					},
					act: func(f *fleet, y *workerPool) {
						lost := failure.New(failure.Unavailable, "report", "", "no answer")
						time.Sleep(3 * time.Second)
						y.at(func() {
							y.health = func(node string, s *stand) error {
								if s.name == "svc-decode-1" && off(node) {
									return lost
								}
								return nil
							}
						})
						time.Sleep(5 * time.Second)
						y.at(func() { y.health = nil })
					},
				}).run(t)
				w.sound(t)
				unhealthy := map[ids.WorkerID]bool{"svc-decode-1.1": true}
				var own, rest []row
				for _, k := range w.rows {
					if off(k.Node) {
						own = append(own, k)
					} else {
						rest = append(rest, k)
					}
				}
				require.Empty(t, falls(own, unhealthy, 1.0/8, 0.3, 5*time.Second, 8*time.Second))
				if one {
					require.Greater(t, share(rest, unhealthy, 5*time.Second, 8*time.Second), 0.7/8)
				}
				require.Greater(t, share(w.rows, unhealthy, 13*time.Second, 18*time.Second), 0.5/8)
			})
		})
	}
}

// TestCutTeller: a node that reaches no worker, and one that lies about all or about one,
// put no worker out for the others.
func TestCutTeller(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := (&ward{
			seed:     7,
			nodes:    5,
			parts:    4,
			rate:     60,
			duration: 10 * time.Second,
			unhealthy: func(k row) fate {
				if k.Node == nodeIP(0) && k.At > 2*time.Second {
					return ranReset
				}
				return fine
			},
			act: func(f *fleet, y *workerPool) {
				for range 80 {
					for _, b := range f.up()[2:] {
						b.peerReports.Store(ids.NodeID("liar"), peerReport{
							at:       b.now(),
							outcomes: []Outcomes{{"svc-decode-1.1", 1 << 20, 1 << 20, 90}},
						})
					}
					time.Sleep(100 * time.Millisecond)
				}
			},
		}).run(t)
		w.sound(t)
		for _, s := range w.standing {
			require.Equal(t, nodeIP(0), s.node, "at %s", s.at)
		}
	})
}

// TestWeighed: a node's say of a worker is bounded, and one that accuses more of a part than
// may be out says nothing.
func TestWeighed(t *testing.T) {
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

// TestNotCounted: a caller that went away, a deadline that was over, being turned away and
// lost memory are no failures of the worker.
func TestNotCounted(t *testing.T) {
	for _, how := range []string{"caller", "deadline", "full", "lost", "unreached"} {
		t.Run(how, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 2, 3)...)
				f := build(t, 6, 1, y, plain(), func(o *Options) { o.RetryAllowance = 60 })
				defer f.close()
				y.at(func() {
					y.fate = func(k row, _ *stand) fate {
						if k.Kind != "emit" {
							return fine
						}
						return map[string]fate{
							"caller":    fine,
							"deadline":  idleSilent,
							"full":      turnedAway,
							"lost":      lostMemory,
							"unreached": unreached,
						}[how]
					}
				})
				for i := range 20 {
					r := f.req(fmt.Sprint("r", i), paths[i%4], 400, 6)
					if how == "deadline" {
						r.Timeout = 200 * time.Millisecond
					}
					f.askAs(t.Context(), f.nodes[0], r, &sink{broken: how == "caller"})
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

// TestSparse: many nodes before many workers, so that each node sends little to each worker:
// what the nodes tell each other has the unhealthy found in time, where each alone finds none.
func TestSparse(t *testing.T) {
	eachSeed(t, 2, func(t *testing.T, seed uint64) {
		hit := some(seed, 0.45)
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
		run := func(o func(*Options)) *ward {
			w := (&ward{
				seed:     seed,
				nodes:    nodes,
				parts:    parts,
				rate:     rate,
				duration: 11 * time.Second,
				tune:     o,
				unhealthy: func(k row) fate {
					if unhealthy[k.Worker] && k.At > 3*time.Second && k.At < 9500*time.Millisecond && hit(k) {
						return ranReset
					}
					return fine
				},
			}).run(t)
			w.sound(t)
			return w
		}
		from, to := 4*time.Second, 9500*time.Millisecond
		reports, alone := run(nil), run(func(o *Options) { o.PeerWeight = -1 })
		all := map[string]*ward{"told": reports, "alone": alone}
		if large {
			all["off"] = run(func(o *Options) { o.BaseEjection = -1 })
		}
		for name, w := range all {
			has, all := w.done(3*time.Second, to)
			t.Logf(
				"%s: share %.3f, answered %d of %d, ejections %d",
				name,
				share(w.rows, unhealthy, from, to),
				has,
				all,
				w.ejects,
			)
		}
		fair := float64(len(unhealthy)) / float64(2*parts)
		require.Empty(t, falls(reports.rows, unhealthy, fair, 0.5, from, to))
		require.NotEmpty(t, falls(alone.rows, unhealthy, fair, 0.5, from, to))
	})
}

// TestProbation: a worker that goes on failing is readmitted by no good report and no time
// alone: a failed trial ejects it again, each time for longer; trials that succeed readmit
// it, and what it is sent meanwhile is a trickle.
func TestProbation(t *testing.T) {
	bubble(t, func(t *testing.T) {
		unhealthy := map[ids.WorkerID]bool{"svc-decode-2.1": true}
		w := (&ward{
			seed:     8,
			nodes:    1,
			parts:    4,
			rate:     60,
			duration: 40 * time.Second,
			unhealthy: func(k row) fate {
				if unhealthy[k.Worker] && k.At > 2*time.Second && k.At < 30*time.Second {
					return ranReset
				}
				return fine
			},
		}).run(t)
		w.sound(t)
		hits := 0
		for _, k := range w.rows {
			if k.Kind == "emit" && unhealthy[k.Worker] && k.At > 4*time.Second && k.At < 30*time.Second {
				hits++
			}
		}
		t.Logf("ejections %d, readmissions %d, sendings %d", w.ejects, w.readmits, hits)
		require.LessOrEqual(t, w.ejects, int64(6), "each is longer")
		require.GreaterOrEqual(t, w.ejects, int64(3))
		require.LessOrEqual(t, hits, 11, "a trickle")
		require.Positive(t, w.readmits)
	})
}

// TestOneFall: workers that are cut off once and shortly, with all that they had under way,
// get their share again at once: what they failed is explained.
func TestOneFall(t *testing.T) {
	eachSeed(t, 3, func(t *testing.T, seed uint64) {
		cut := map[ids.WorkerID]bool{"svc-decode-0.1": true, "svc-decode-3.1": true}
		w := (&ward{
			seed:     seed,
			nodes:    16,
			parts:    6,
			rate:     160,
			duration: 9 * time.Second,
			act: func(f *fleet, y *workerPool) {
				dark := func(on bool) {
					y.at(func() {
						for _, s := range y.all {
							if cut[s.ID] {
								s.dark = on
							}
						}
					})
				}
				time.Sleep(3 * time.Second)
				dark(true)
				time.Sleep(1500 * time.Millisecond)
				dark(false)
			},
			unhealthy: func(k row) fate {
				if cut[k.Worker] && k.At > 3*time.Second && k.At < 4500*time.Millisecond {
					return ranReset // it is seen at once
				}
				return fine
			},
		}).run(t)
		w.sound(t)
		had, has := share(w.rows, cut, 0, 3*time.Second), share(w.rows, cut, 5500*time.Millisecond, 9*time.Second)
		t.Logf("ejections %d, share %.3f, before %.3f", w.ejects, has, had)
		require.Greater(t, has, 0.6*had)
	})
}

// TestFallExplains: what a worker failed just before it was found to be down counts no more,
// and an ejection for it goes over into probation; an older one stands.
func TestFallExplains(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := build(t, 9, 1, newCluster(both("svc", 2, 3)...), plain(), nil)
		defer f.close()
		n := f.nodes[0]
		for _, previous := range []bool{false, true} {
			st, now := &workerState{}, n.now()
			st.outlier = outlierState{
				local:          decayingCount{8, 7, now},
				phase:          ejected,
				phaseStartedAt: now,
				ejectedUntil:   now.Add(8 * time.Second),
			}
			if previous {
				st.outlier.phaseStartedAt = now.Add(-3 * time.Second)
			}
			n.recordOutage(st)
			require.Zero(t, st.outlier.local.failed)
			require.Equal(t, previous, now.Before(st.outlier.ejectedUntil))
			n.recordOutcome(&pick{state: st, outcomeRecorded: new(atomic.Bool)}, false)
			require.Zero(t, st.outlier.local.failed, "while it is known to be down")
			n.recordRecovery(st)
			n.recordOutcome(&pick{state: st, outcomeRecorded: new(atomic.Bool)}, false)
			require.Positive(t, st.outlier.local.failed)
		}
	})
}
