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

const window = 10 * time.Second

// TestBudget: however many calls fail, the extra arrivals of all nodes together stay
// within ratio x requests + allowance in every window, with the core away as well, and
// whether it is emissions or readings that fail.
func TestBudget(t *testing.T) {
	for _, kind := range []string{"emit", "read", "any"} {
		for _, away := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, " core-away-", away), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					y := newCluster(both("svc", 3, 4)...)
					rng := rand.New(rand.NewPCG(1, 2))
					y.fate = func(k row, _ *stand) fate {
						if (kind == "any" || kind == k.Kind) && rng.IntN(10) < 6 {
							return []fate{ranReset, idleReset, turnedAway, midReset, lostMemory, foreign}[rng.IntN(6)]
						}
						return fine
					}
					f := build(t, 21, 3, y, plain(), func(o *Options) { o.RetryAllowance = 6 })
					defer f.close()
					if away {
						for _, ip := range coreIps {
							f.offCore(ip)
						}
						time.Sleep(time.Second)
					}
					all := f.load(40, 25*time.Second, func(i int) *Request {
						return f.req(fmt.Sprint("r", i), []string{"/again/x", "/sresume/x", "/once/x"}[i%3], 400, 4)
					})
					rows := y.directory()
					require.Empty(t, extras(rows, all, 0.2, 6, window))
					require.Empty(t, onceOnly(rows, all))
					require.NotEmpty(t, extras(rows, all, 0.05, 0, window), "repeats were made")
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
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 3, 4)...)
				for _, w := range y.all {
					w.Concurrency = 200
				}
				routes := ways()
				routes[3].DeadlineMs = 30000
				f := build(t, 22, 2, y, policy(routes, fleetstate.Service{Name: "svc"}), nil)
				defer f.close()
				time.Sleep(12*time.Second + time.Duration(phase)*250*time.Millisecond)
				var wg sync.WaitGroup
				var mu sync.Mutex
				var all []*asked
				for i := range 100 {
					wg.Go(func() {
						a := f.ask(f.nodes[i%2], f.req(fmt.Sprint("r", i), "/sresume/x", 100, 700))
						mu.Lock()
						defer mu.Unlock()
						all = append(all, a)
					})
				}
				time.Sleep(window + 50*time.Millisecond)
				for i := range 3 {
					y.restart(fmt.Sprint("svc-decode-", i))
				}
				wg.Wait()
				require.Empty(t, answers(all))
				require.Empty(t, extras(y.directory(), all, 0.2, 0, window))
			})
		})
	}
}

// warming is a service whose cold workers bear four requests a second.
func warming() []byte {
	return policy(ways(), fleetstate.Service{Name: "svc", Concurrency: 16, SlowStartMs: 6000, SlowStartRate: 4})
}

const maxSlowStartRate = 11 // 1.5 x 4 + 5

// TestCold: no cold worker gets more than rate x over + spare in any second, however many
// nodes there are and however fast requests come; it gets some.
func TestCold(t *testing.T) {
	for _, nodes := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 4, 4)...)
				f := build(t, 23, nodes, y, warming(), nil)
				defer f.close()
				y.restart("svc-decode-1")
				y.restart("svc-prefill-2")
				y.at(func() {
					for _, name := range []string{"svc-decode-1", "svc-prefill-2", "svc-decode-2"} {
						y.of(name).warm = time.Now().Add(6 * time.Second)
					}
				})
				time.Sleep(1500 * time.Millisecond)
				from := y.now()
				all := f.load(250, 7*time.Second, func(i int) *Request {
					return f.req(fmt.Sprint("r", i), "/once/x", 300, 2)
				})
				rows := y.directory()
				require.Empty(t, coldRate(rows, maxSlowStartRate))
				require.NotEmpty(t, sentTo(rows, "svc-decode-1.2", from, from+4*time.Second), "it is warmed")
				require.Empty(t, onceOnly(rows, all))
			})
		})
	}
}

// TestColdManyNodes: there are more nodes than a cold worker bears requests: only some send
// there, so that all together stay within what it bears; the others serve elsewhere.
func TestColdManyNodes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 3)...)
		f := build(t, 29, 9, y, policy(ways(), fleetstate.Service{
			Name:          "svc",
			Concurrency:   16,
			SlowStartMs:   6000,
			SlowStartRate: 0.4,
		}), nil)
		defer f.close()
		y.at(func() {
			for _, name := range []string{"svc-decode-1", "svc-prefill-2"} {
				y.of(name).warm = time.Now().Add(9 * time.Second)
			}
		})
		time.Sleep(2 * time.Second)
		from := y.now()
		all := f.load(200, 5*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 300, 2) })
		rows := y.directory()
		require.Empty(t, coldRate(rows, 5)) // 1.5 x 0.4 + 5
		require.NotEmpty(t, sentTo(rows, "svc-decode-1.1", from, from+4*time.Second), "it is warmed")
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
			bubble(t, func(t *testing.T) {
				const allow = 100
				y := newCluster(both("svc", 3, 4)...)
				rng := rand.New(rand.NewPCG(3, 4))
				y.fate = func(k row, _ *stand) fate {
					if k.Kind == "emit" && rng.IntN(10) < 9 {
						return turnedAway
					}
					return fine
				}
				f := build(t, 30, 2, y, plain(), func(o *Options) { o.RetryAllowance = allow })
				defer f.close()
				time.Sleep(time.Second)
				f.w.Partition([]string{nodeIP(0)}, append([]string{nodeIP(1)}, coreIps...), true)
				require.True(t, f.until(10*time.Second, func() bool { return len(f.nodes[1].agent.Members()) == 1 }))
				if after > 0 { // the number of nodes is looked at when something is repeated
					f.load(2, after, func(i int) *Request { return f.req(fmt.Sprint("b", i), "/again/x", 400, 4) })
				}
				all := f.load(30, 9*time.Second, func(i int) *Request {
					return f.req(fmt.Sprint("r", i), "/again/x", 400, 4)
				})
				rows := y.directory()
				require.Empty(t, extras(rows, all, 0.2, allow, window))
				require.NotEmpty(t, extras(rows, all, 0.2, allow/2, window), "both spend their parts")
			})
		})
	}
}

// TestColdAllNodesStart: workers are cold from the first request on, and all nodes begin
// at once with no history.
func TestColdAllNodesStart(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 2, 2)...)
		for _, w := range y.all {
			w.warm = time.Now().Add(20 * time.Second)
		}
		f := build(t, 24, 3, y, warming(), nil)
		defer f.close()
		f.load(200, 6*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), paths[i%4], 300, 2) })
		require.Empty(t, coldRate(y.directory(), maxSlowStartRate))
	})
}

// TestColdSlowList: the answer to the asking for the list takes its time: a worker does
// not count as warm before it is.
func TestColdSlowList(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 3)...)
		f := build(t, 25, 2, y, warming(), nil)
		defer f.close()
		y.at(func() {
			y.listed = func() time.Duration { return 400 * time.Millisecond }
			for _, w := range y.all {
				if w.Role == ids.Decode {
					w.warm = time.Now().Add(5 * time.Second)
				}
			}
		})
		time.Sleep(3 * time.Second)
		f.load(200, 5*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.directory(), maxSlowStartRate))
	})
}

// TestColdZoneBack: the workers of a zone that is taken back count as cold from the first
// request on.
func TestColdZoneBack(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 4, 4)...)
		f := build(t, 26, 2, y, warming(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			y.at(func() {
				for _, w := range y.all {
					if w.Zone == "b" {
						w.warm = time.Now().Add(6 * time.Second)
					}
				}
			})
			f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		})
		f.load(400, 6*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.directory(), maxSlowStartRate))
	})
}

// chilled takes a zone back, of which all workers turn cold at their first request.
func (f *fleet) chilled(z ids.Zone) {
	f.y.at(func() { f.y.chill = map[ids.Zone]time.Duration{z: 6 * time.Second} })
	f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: z, Evacuated: false})
}

func (f *fleet) ready() bool {
	for _, n := range f.up() {
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
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 4, 4)...)
				f := build(t, 27, 3, y, warming(), nil)
				defer f.close()
				f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
				time.Sleep(3 * time.Second)
				f.chilled("b")
				anew := func() {
					for i := range f.nodes {
						f.kill(i)
					}
					if l := f.leader(); over && l != "" {
						f.offCore(l)
						defer f.core(l)
					}
					for i := range f.nodes {
						f.node(i)
					}
					require.True(t, f.until(10*time.Second, f.ready))
				}
				anew()
				f.load(400, 4*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 300, 2) })
				rows := y.directory()
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
				for _, n := range f.up() {
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
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 4, 4)...)
		f := build(t, 28, 3, y, warming(), nil)
		defer f.close()
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: true})
		time.Sleep(3 * time.Second)
		f.submit(fleetstate.EvacuateKind, &fleetstate.Evacuate{Zone: "b", Evacuated: false})
		from := time.Now()
		time.Sleep(4 * time.Second)
		left := func(i int) time.Duration {
			f.kill(i)
			n := f.node(i)
			require.True(t, f.until(10*time.Second, f.ready))
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
	eachSeed(t, 6, func(t *testing.T, seed uint64) {
		y := newCluster(both("svc", 4, 4)...)
		f := build(t, seed, 3, y, warming(), nil)
		defer f.close()
		time.Sleep(2 * time.Second)
		rest := append([]string{nodeIP(0), nodeIP(2)}, coreIps...)
		cut := func(on bool) {
			f.w.Partition([]string{nodeIP(1)}, rest, on)
			y.at(func() { y.partition[nodeIP(1)] = on })
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
		f.load(600, 5*time.Second, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/once/x", 300, 2) })
		require.Empty(t, coldRate(y.directory(), maxSlowStartRate))
	})
}
