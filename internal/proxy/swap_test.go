// Program sets that come over the core's log: swapped under load, refused, raced, and kept
// through losses.

package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/api"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/routing"
)

// orderProgram is a program that prefers workers by a key.
func orderProgram(key string) string {
	return fmt.Sprintf("def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: %s)]\n", key)
}

// preferWorkerProgram prefers the worker with a number.
func preferWorkerProgram(number int) string {
	return orderProgram(fmt.Sprintf("(0 if '-%d.' in w.id else 1, w.id)", number))
}

// encodeProgramSet writes a program set.
func encodeProgramSet(list ...routing.Source) string {
	p := map[string]fleetstate.Program{}
	for _, s := range list {
		p[s.Name] = fleetstate.Program{Source: s.Text, Share: s.Share, Shadow: s.Shadow, ChangesRoles: s.ChangesRoles}
	}
	b, _ := json.Marshal(map[string]any{"programs": p})
	return string(b)
}

// operator speaks to the core by way of a node.
func (f *fleet) operator(node *testNode) *Operator {
	return &Operator{Caller: node.agent.Caller(), Directory: node.Directory(), Zones: []string{"a", "b"}}
}

func (f *fleet) applyProgramSet(op string, base uint64, text string) (*api.ApplyResponse, error) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	return f.operator(f.runningNodes()[0]).Apply(ctx, &api.ApplyRequest{Op: op, Base: base, Name: "set.cue", Source: text})
}

func (f *fleet) currentProgramSet() *api.Shown {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	got, err := f.operator(f.runningNodes()[0]).Shown(ctx)
	require.NoError(f.t, err)
	return got
}

// programSetActive tells whether every node has a set in force.
func (f *fleet) programSetActive(v ids.Version) bool {
	for _, node := range f.runningNodes() {
		if s := node.view.Current().Programs; s == nil || s.Version != v {
			return false
		}
	}
	return true
}

// firstDecodeWorkers gives the number of the worker that each request was first offered to.
func firstDecodeWorkers(calls []callRecord) map[string]int {
	out := map[string]int{}
	for _, call := range calls {
		if _, ok := out[call.RequestID]; !ok && call.Kind == "emit" {
			n := 0
			fmt.Sscanf(strings.TrimPrefix(string(call.Worker), "svc-decode-"), "%d.", &n)
			out[call.RequestID] = n
		}
	}
	return out
}

// TestProgramSwapUnderLoad: two programs by shares of 30 and 70, swapped in mid-load for two
// others, with streams that run across: no request is refused, no stream breaks, the
// shares hold before and after, every node has the new set within two seconds, and the
// start's programs rule until the core has a set.
func TestProgramSwapUnderLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 81, 3, platform, defaultConfiguration(), func(o *Options) {
			o.Programs = []routing.Source{{Name: "start", Share: 100, Text: preferWorkerProgram(3)}}
		})
		defer f.close()
		result := f.send(f.nodes[0], f.newRequest("before", "/once/x", 400, 3))
		require.NoError(t, result.err)
		require.Equal(t, 3, firstDecodeWorkers(platform.recordedCalls())["before"])
		_, err := f.applyProgramSet("one", 0, encodeProgramSet(routing.Source{Name: "low", Share: 30, Text: preferWorkerProgram(0)}, routing.Source{Name: "high", Share: 70, Text: preferWorkerProgram(2)}))
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(1) }))
		var swapStarted, swapDone time.Duration
		f.wg.Go(func() {
			time.Sleep(8 * time.Second)
			swapStarted = platform.elapsed()
			got, err := f.applyProgramSet("two", 1, encodeProgramSet(routing.Source{Name: "mid", Share: 60, Text: preferWorkerProgram(1)}, routing.Source{Name: "low", Share: 40, Text: preferWorkerProgram(0)}))
			require.NoError(t, err)
			require.Equal(t, &api.ApplyResponse{Version: 2, Active: true}, got)
			f.waitUntil(5*time.Second, func() bool { return f.programSetActive(2) })
			swapDone = platform.elapsed()
		})
		results := f.generateLoad(60, 16*time.Second, func(i int) *Request {
			if i%30 == 0 {
				return f.newRequest(fmt.Sprint("s", i), "/stream/x", 400, 150)
			}
			return f.newRequest(fmt.Sprint("r", i), routePaths[i%2], 400, 4)
		})
		require.Less(t, swapDone-swapStarted, 2*time.Second)
		require.Empty(t, onceOnly(platform.recordedCalls(), results))
		require.Empty(t, answers(results))
		spanning, firstWorker := 0, firstDecodeWorkers(platform.recordedCalls())
		var countsBefore, countsAfter [4]float64
		for _, result := range results {
			require.NoError(t, result.err, result.ID)
			switch {
			case result.sentAt < swapStarted:
				countsBefore[firstWorker[result.ID]]++
			case result.sentAt > swapDone:
				countsAfter[firstWorker[result.ID]]++
			}
			if result.stream && result.sentAt < swapStarted && result.endedAt > swapDone {
				spanning++
			}
		}
		require.Greater(t, spanning, 3, "streams ran across")
		require.InDelta(t, 0.3, countsBefore[0]/(countsBefore[0]+countsBefore[2]), 0.08, "%v", countsBefore)
		require.Zero(t, countsBefore[1]+countsBefore[3])
		require.InDelta(t, 0.6, countsAfter[1]/(countsAfter[0]+countsAfter[1]), 0.08, "%v", countsAfter)
		require.Zero(t, countsAfter[2]+countsAfter[3])
	})
}

// TestResumedStreamKeepsProgramSet: a stream that is taken up elsewhere after a swap goes by the programs that
// it began with.
func TestResumedStreamKeepsProgramSet(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 4)...)
		f := startFleet(t, 82, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		_, err := f.applyProgramSet("one", 0, encodeProgramSet(routing.Source{Name: "up", Share: 100, Text: orderProgram("w.id")}))
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(1) }))
		long := make(chan *requestResult, 1)
		f.wg.Go(func() { long <- f.send(f.nodes[0], f.newRequest("long", "/sresume/x", 400, 150)) })
		time.Sleep(500 * time.Millisecond)
		_, err = f.applyProgramSet("two", 1, encodeProgramSet(routing.Source{Name: "last", Share: 100, Text: preferWorkerProgram(3)}))
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(2) }))
		platform.restartWorker("svc-decode-0")
		result := <-long
		require.NoError(t, result.err)
		require.Empty(t, answers([]*requestResult{result}))
		var decodeWorkers []ids.WorkerID
		for _, call := range platform.recordedCalls() {
			if call.Kind == "emit" {
				decodeWorkers = append(decodeWorkers, call.Worker)
			}
		}
		require.Equal(t, []ids.WorkerID{"svc-decode-0.1", "svc-decode-1.1"}, decodeWorkers)
	})
}

// TestInvalidProgramSetsRejected: a set with a fault is refused with its place and reason, and one over a
// stale base with the newest version; nothing changes, and nothing is staged.
func TestInvalidProgramSetsRejected(t *testing.T) {
	ok := routing.Source{Name: "ok", Share: 100, Text: orderProgram("w.id")}
	var many []routing.Source
	for i := range 17 {
		many = append(many, routing.Source{Name: fmt.Sprint("p", i), Shadow: true, Text: ok.Text})
	}
	invalid := map[string]string{
		"x.star:3:1":               encodeProgramSet(routing.Source{Name: "x", Share: 100, Text: "def order(ask, workers):\n    return [w.id for\n"}),
		"must define":              encodeProgramSet(routing.Source{Name: "x", Share: 100, Text: "a = 1\n"}),
		"has no turn":              encodeProgramSet(routing.Source{Name: "x", Share: 100, ChangesRoles: true, Text: ok.Text}),
		"too many steps":           encodeProgramSet(routing.Source{Name: "x", Share: 100, Text: "a = [i for i in range(1000000000)]\n"}),
		"add up to 90":             encodeProgramSet(routing.Source{Name: "x", Share: 90, Text: ok.Text}),
		"over 16":                  encodeProgramSet(append(many, ok)...),
		"bytes of source, over":    encodeProgramSet(routing.Source{Name: "x", Share: 100, Text: ok.Text + "#" + strings.Repeat("x", 64<<10)}),
		"set.cue:2:":               "{\n programs: a: {source: 5, share: 100}\n}",
		"set.cue:3:":               "{\n programs: {}\n nonsense: 1\n}",
		"set.cue:1:":               "{",
		"limits.steps":             `{"programs":{},"limits":{"steps":9000000}}`,
		"only steps and dwellMs":   `{"programs":{},"limits":{"queue":3}}`,
		"only programs, limits":    `{"switch":false}`,
		"the fleet's own document": `{"zones":["a"]}`,
	}
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 83, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		_, err := f.applyProgramSet("one", 0, encodeProgramSet(ok))
		require.NoError(t, err)
		before := f.currentProgramSet()
		require.EqualValues(t, 1, before.Version)
		for reason, text := range invalid {
			_, err := f.applyProgramSet("op "+reason, 1, text)
			require.ErrorContains(t, err, reason)
			require.True(t, failure.Is(err, failure.InvalidArgument), "%v", err)
		}
		_, err = f.applyProgramSet("stale", 0, encodeProgramSet(ok))
		require.ErrorContains(t, err, "the current one is 1")
		require.True(t, failure.Is(err, failure.Stale))
		_, err = f.applyProgramSet("ahead", 2, encodeProgramSet(ok))
		require.True(t, failure.Is(err, failure.Stale))
		require.Equal(t, before, f.currentProgramSet())
		got, err := f.applyProgramSet("one", 0, encodeProgramSet(ok))
		require.NoError(t, err, "the same operation again has its one outcome")
		require.EqualValues(t, 1, got.Version)
	})
}

// TestPartialProgramSet: a part is laid over the newest set, a dry run changes nothing, and the
// empty set leaves all to the built-in order, also where the node began with programs.
func TestPartialProgramSet(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 84, 1, platform, defaultConfiguration(), func(o *Options) {
			o.Programs = []routing.Source{{Name: "start", Share: 100, Text: preferWorkerProgram(1)}}
		})
		defer f.close()
		o := f.operator(f.nodes[0])
		apply := func(op string, base uint64, dry bool, text string) (*api.ApplyResponse, error) {
			ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
			defer stop()
			return o.Apply(ctx, &api.ApplyRequest{Op: op, Base: base, Partial: true, Dry: dry, Source: text})
		}
		got, err := apply("one", 0, false, encodeProgramSet(routing.Source{Name: "a", Share: 100, Text: orderProgram("w.id")}))
		require.NoError(t, err)
		require.EqualValues(t, 1, got.Version)
		partialSet := `{"programs":{"a":{"share":50},"b":{"source":"def match(ask, worker):\n    return True\n","share":50}}}`
		got, err = apply("dry", 1, true, partialSet)
		require.NoError(t, err)
		require.Contains(t, string(got.Policy), "def match")
		require.EqualValues(t, 1, f.currentProgramSet().Newest)
		_, err = apply("stale", 0, false, partialSet)
		require.ErrorContains(t, err, "the newest is 1")
		_, err = apply("two", 1, false, partialSet)
		require.NoError(t, err)
		got, err = apply("two", 1, false, partialSet)
		require.NoError(t, err, "again")
		require.EqualValues(t, 2, got.Version)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(2) }))
		require.Equal(t, []string{"a", "b"}, f.nodes[0].view.Current().Programs.Configuration.Names())
		_, err = f.applyProgramSet("none", 2, `{"programs":{}}`)
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(3) }))
		require.False(t, f.nodes[0].deal(f.nodes[0].snapshot()).Set.HasPrograms())
	})
}

// TestFaultyProgramsFallBack: endless programs and those that name strangers, put in force while load
// runs, fall back and are counted; every request is served.
func TestFaultyProgramsFallBack(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 85, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			_, err := f.applyProgramSet("hostile", 0, encodeProgramSet(programs...))
			require.NoError(t, err)
		})
		results := f.generateLoad(40, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		for _, result := range results {
			require.NoError(t, result.err)
		}
		require.Empty(t, answers(results))
		f.nodes[0].Scores().Each(func(name string, s *routing.Score) {
			if name == "endless" || name == "stranger" {
				require.Equal(t, s.Picks.Load(), s.Fallbacks.Load(), name)
				require.NotZero(t, s.Picks.Load(), name)
			} else {
				require.Zero(t, s.Fallbacks.Load(), name)
			}
		})
	})
}

// TestProgramSwapSurvivesPowerLoss: the leading core loses its power at some moment of a swap: the set that
// was acknowledged is in force at all nodes, once; it is there after all cores lost their
// power, at a node that joins late, and at one that was killed and rejoins.
func TestProgramSwapSurvivesPowerLoss(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		_, err := f.applyProgramSet("one", 0, encodeProgramSet(routing.Source{Name: "one", Share: 100, Text: preferWorkerProgram(0)}))
		require.NoError(t, err)
		f.wg.Go(func() {
			time.Sleep(time.Duration(seed*seed*3) * time.Millisecond)
			f.powerOffCore(f.leader())
		})
		set := encodeProgramSet(routing.Source{Name: "two", Share: 100, Text: preferWorkerProgram(1)})
		require.True(t, f.waitUntil(30*time.Second, func() bool {
			got, err := f.applyProgramSet("two", 1, set)
			return err == nil && got.Version == 2
		}))
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(2) }))
		for _, ip := range coreIPs {
			f.powerOffCore(ip)
		}
		f.killNode(1)
		time.Sleep(time.Second)
		for _, ip := range coreIPs {
			f.startCore(ip)
		}
		f.startNode(2)
		f.startNode(1)
		require.True(t, f.waitUntil(20*time.Second, func() bool { return f.programSetActive(2) }))
		current := f.currentProgramSet()
		require.EqualValues(t, 2, current.Newest)
		require.Contains(t, string(current.Policy), `"two"`)
		for _, node := range f.runningNodes() {
			require.Equal(t, "two", node.deal(node.snapshot()).Set.ProgramFor("x"))
		}
	})
}

// TestConcurrentProgramAndConfigurationChanges: sets and configurations change at once: both lines hold. Of two sets made
// over the same one, one wins, and the other learns of it.
func TestConcurrentProgramAndConfigurationChanges(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		var wg sync.WaitGroup
		wg.Go(func() {
			for v := ids.Version(1); v < 9; v++ {
				require.NoError(t, f.putConfiguration(ids.OpID(fmt.Sprint("doc", v)), v, v+1, defaultConfiguration()))
			}
		})
		wg.Go(func() {
			for v := range uint64(8) {
				_, err := f.applyProgramSet(fmt.Sprint("set", v), v, encodeProgramSet(routing.Source{Name: fmt.Sprint("p", v), Share: 100, Text: preferWorkerProgram(int(v % 2))}))
				require.NoError(t, err)
			}
		})
		results := f.generateLoad(20, 3*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 3) })
		wg.Wait()
		for _, result := range results {
			require.NoError(t, result.err)
		}
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(8) && f.inForce(9) }))
		errs := make([]error, 2)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = f.applyProgramSet(fmt.Sprint("rival", i), 8, encodeProgramSet(routing.Source{Name: fmt.Sprint("rival", i), Share: 100, Text: preferWorkerProgram(0)}))
			})
		}
		wg.Wait()
		require.NotEqual(t, errs[0] == nil, errs[1] == nil, "%v", errs)
		for _, err := range errs {
			require.True(t, err == nil || failure.Is(err, failure.Stale), "%v", err)
		}
		require.EqualValues(t, 9, f.currentProgramSet().Newest)
	})
}

// TestUncompilableProgramSetKeepsPrevious: a set that a node cannot compile, though the core has it, leaves the
// one before it in force there, and the next one that compiles is taken.
func TestUncompilableProgramSetKeepsPrevious(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 86, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		_, err := f.applyProgramSet("one", 0, encodeProgramSet(routing.Source{Name: "one", Share: 100, Text: preferWorkerProgram(0)}))
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(1) }))
		f.submit(fleetstate.PrepareProgramsKind, &fleetstate.PrepareVersion{Base: 1, Text: []byte(encodeProgramSet(routing.Source{Name: "x", Share: 100, Text: "def"}))})
		time.Sleep(2 * time.Second)
		require.True(t, f.programSetActive(1))
		require.NoError(t, f.send(f.nodes[0], f.newRequest("r", "/once/x", 400, 2)).err)
		_, err = f.applyProgramSet("three", 2, encodeProgramSet(routing.Source{Name: "three", Share: 100, Text: preferWorkerProgram(0)}))
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(3) }))
	})
}

// alternateRolesProgram names the first worker that may turn, whatever the press; drain only one that reads.
const (
	alternateRolesProgram = `def turn(pool):
    for w in pool.workers:
        if w.may:
            return (w.id, "decode" if w.part == "prefill" else "prefill")
    return None
`
	drainPrefillProgram = `def turn(pool):
    for w in pool.workers:
        if w.may and w.part == "prefill":
            return (w.id, "decode")
    return None
`
)

// TestRoleChangeByProgram: a program in charge that wishes for a turn whenever one may be had is
// held to the guards: a third keeps each part, orders to a worker are its dwell apart, and
// nothing is sent to a worker that turns.
func TestRoleChangeByProgram(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		some int
	}{"flap": {alternateRolesProgram, 5}, "drain": {drainPrefillProgram, 0}} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 5, 4)...)
				f := startFleet(t, 87, 2, platform, defaultConfiguration(), turning)
				defer f.close()
				roles := parts(platform)
				_, err := f.applyProgramSet(name, 0, encodeProgramSet(routing.Source{Name: name, ChangesRoles: true, Text: c.text}))
				require.NoError(t, err)
				results := f.generateLoad(20, 40*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
				calls := platform.recordedCalls()
				require.Greater(t, len(orders(calls)), c.some)
				lastOrder, lastOrderOfAny := map[ids.WorkerID]time.Duration{}, time.Duration(-time.Hour)
				for _, call := range orders(calls) {
					if at, ok := lastOrder[call.Worker]; ok {
						require.Greater(t, call.At-at, 4*time.Second, "dwell of %s", call.Worker)
					}
					require.Greater(t, call.At-lastOrderOfAny, roleChangeInterval, "between a service's turns")
					lastOrder[call.Worker], lastOrderOfAny = call.At, call.At
				}
				require.Empty(t, thirds(calls, roles))
				require.Empty(t, leftAlone(calls, 100*time.Millisecond))
				require.Empty(t, untouched(calls, time.Second))
				require.Empty(t, onceOnly(calls, results))
				for _, result := range results {
					require.NoError(t, result.err)
				}
			})
		})
	}
}

// TestRoleChangeProgramDecides: a program in charge that wishes for none has none turned though a
// part is pressed; one that fails, or names a worker that may not turn, leaves it to the
// built-in choice; one that is not in charge is only counted.
func TestRoleChangeProgramDecides(t *testing.T) {
	for name, c := range map[string]struct {
		p     routing.Source
		turns bool
	}{
		"none":     {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return None\n"}, false},
		"fails":    {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return pool.nothing\n"}, true},
		"endless":  {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    n = 0\n    for i in range(1000000000):\n        n += i\n    return None\n"}, true},
		"stranger": {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return ('x', 'prefill')\n"}, true},
		"same":     {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    return (pool.workers[0].id, pool.workers[0].part)\n"}, true},
		"counted":  {routing.Source{Shadow: true, Text: "def turn(pool):\n    return None\n"}, true},
		"press":    {routing.Source{ChangesRoles: true, Text: "def turn(pool):\n    ids = [w.id for w in pool.workers if w.may and w.part == 'decode']\n    if pool.prefill > 0.35 and ids:\n        return ids[0], 'prefill'\n    return None\n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 5)...)
				f := startFleet(t, 88, 2, platform, defaultConfiguration(), turning)
				defer f.close()
				c.p.Name = name
				_, err := f.applyProgramSet("op", 0, encodeProgramSet(c.p))
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				platform.pressed(ids.Prefill, 6)
				time.Sleep(10 * time.Second)
				require.Equal(t, c.turns, len(orders(platform.recordedCalls())) > 0)
				for _, call := range orders(platform.recordedCalls()) {
					require.Equal(t, ids.Prefill, call.TargetRole)
				}
				owner := f.nodes[max(0, f.holder())]
				score := owner.Scores().Of(name)
				require.NotZero(t, score.ProposalsAsked.Load())
				require.Equal(t, name == "fails" || name == "endless" || name == "stranger" || name == "same", score.Fallbacks.Load() > 0)
			})
		})
	}
}

// TestOperatorEvacuatesKnownZonesOnly: the other calls of the operators' interface: zones that are known are
// evacuated, and nothing else.
func TestOperatorEvacuatesKnownZonesOnly(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 89, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		o := f.operator(f.nodes[0])
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		_, err := o.Evacuate(ctx, "b", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, f.currentProgramSet().Zones)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.nodes[0].view.Current().Zones["b"] }))
		_, err = o.Evacuate(ctx, "b", &api.MarkRequest{Op: coordination.NewID()})
		require.NoError(t, err)
		require.Equal(t, []string{}, f.currentProgramSet().Zones)
		_, err = o.Evacuate(ctx, "z", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, `no zone "z"`)
		_, err = o.Drain(ctx, "svc-decode-0.1", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, "list of workers")
		require.NotNil(t, o.Status())
	})
}
