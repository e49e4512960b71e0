// Routing program sets distributed through the cores' log: swaps under load, rejected sets, concurrent
// changes, and power losses.

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

// orderProgram returns the source of a program that sorts workers by a key expression.
func orderProgram(key string) string {
	return fmt.Sprintf("def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: %s)]\n", key)
}

// preferWorkerProgram returns the source of a program that prefers the worker with a number.
func preferWorkerProgram(number int) string {
	return orderProgram(fmt.Sprintf("(0 if '-%d.' in w.id else 1, w.id)", number))
}

// encodeProgramSet returns a program set as JSON.
func encodeProgramSet(list ...routing.Source) string {
	p := map[string]fleetstate.Program{}
	for _, s := range list {
		p[s.Name] = fleetstate.Program{Source: s.Text, Share: s.Share, Shadow: s.Shadow, ChangesRoles: s.ChangesRoles}
	}
	b, _ := json.Marshal(map[string]any{"programs": p})
	return string(b)
}

// operator returns the operators' interface, which reaches the cores through a node.
func (f *fleet) operator(node *testNode) *Operator {
	return &Operator{Caller: node.agent.Caller(), Directory: node.Directory(), Zones: []string{"a", "b"}}
}

// applyProgramSet applies a program set made for the base version.
func (f *fleet) applyProgramSet(op string, base uint64, text string) (*api.ApplyResponse, error) {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	return f.operator(f.runningNodes()[0]).Apply(ctx, &api.ApplyRequest{Op: op, BaseVersion: base, Name: "set.cue", Source: text})
}

// currentProgramSet returns what the operators' interface shows.
func (f *fleet) currentProgramSet() *api.ActivePolicy {
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	defer stop()
	got, err := f.operator(f.runningNodes()[0]).ActivePolicy(ctx)
	require.NoError(f.t, err)
	return got
}

// programSetActive tells whether a version of the program set is active at every running node.
func (f *fleet) programSetActive(v ids.Version) bool {
	for _, node := range f.runningNodes() {
		if s := node.view.Current().Programs; s == nil || s.Version != v {
			return false
		}
	}
	return true
}

// firstDecodeWorkers returns by request ID the number of the decode worker that was tried first.
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

// TestProgramSwapUnderLoad: two programs with shares of 30 and 70 percent are replaced under load while streams
// run. No request is rejected, no stream is aborted, the shares hold before and after, and every node has the
// new set within two seconds. The programs from a node's options apply until the cores have a set.
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
		require.Empty(t, checkExecutions(platform.recordedCalls(), results))
		require.Empty(t, checkResponses(results))
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
		require.Greater(t, spanning, 3, "few streams span the swap")
		require.InDelta(t, 0.3, countsBefore[0]/(countsBefore[0]+countsBefore[2]), 0.08, "%v", countsBefore)
		require.Zero(t, countsBefore[1]+countsBefore[3])
		require.InDelta(t, 0.6, countsAfter[1]/(countsAfter[0]+countsAfter[1]), 0.08, "%v", countsAfter)
		require.Zero(t, countsAfter[2]+countsAfter[3])
	})
}

// TestResumedStreamKeepsProgramSet: a stream that resumes at another worker after a swap still uses the program
// set with which it began.
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
		require.Empty(t, checkResponses([]*requestResult{result}))
		var decodeWorkers []ids.WorkerID
		for _, call := range platform.recordedCalls() {
			if call.Kind == "emit" {
				decodeWorkers = append(decodeWorkers, call.Worker)
			}
		}
		require.Equal(t, []ids.WorkerID{"svc-decode-0.1", "svc-decode-1.1"}, decodeWorkers)
	})
}

// TestInvalidProgramSetsRejected: an invalid set is rejected with the position and the reason, and a set for a
// stale base with the newest version. The current set stays, and nothing is staged.
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
		require.NoError(t, err, "a repeated operation must return its first outcome")
		require.EqualValues(t, 1, got.Version)
	})
}

// TestPartialProgramSet: a partial set is merged into the newest set, and a dry run changes nothing. With an
// empty set the built-in order applies, even if the node's options have programs.
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
			return o.Apply(ctx, &api.ApplyRequest{Op: op, BaseVersion: base, Partial: true, DryRun: dry, Source: text})
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
		require.NoError(t, err, "a repeated operation")
		require.EqualValues(t, 2, got.Version)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(2) }))
		require.Equal(t, []string{"a", "b"}, f.nodes[0].view.Current().Programs.Configuration.ProgramNames())
		_, err = f.applyProgramSet("none", 2, `{"programs":{}}`)
		require.NoError(t, err)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(3) }))
		require.False(t, f.nodes[0].programsFor(f.nodes[0].snapshot()).Set.HasPrograms())
	})
}

// TestFaultyProgramsFallBack: programs that never end or return unknown workers, activated under load, fall
// back to the built-in order and are counted; every request is served.
func TestFaultyProgramsFallBack(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 85, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		f.wg.Go(func() {
			time.Sleep(2 * time.Second)
			_, err := f.applyProgramSet("faulty", 0, encodeProgramSet(testPrograms...))
			require.NoError(t, err)
		})
		results := f.generateLoad(40, 6*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		for _, result := range results {
			require.NoError(t, result.err)
		}
		require.Empty(t, checkResponses(results))
		f.nodes[0].Scores().Each(func(name string, s *routing.Score) {
			if name == "endless" || name == "stranger" {
				require.Equal(t, s.Runs.Load(), s.Fallbacks.Load(), name)
				require.NotZero(t, s.Runs.Load(), name)
			} else {
				require.Zero(t, s.Fallbacks.Load(), name)
			}
		})
	})
}

// TestProgramSwapSurvivesPowerLoss: the leading core loses power during a swap. The acknowledged set becomes
// active at all nodes, with one version; it survives a power loss of all cores, and a node that joins later
// and one that was killed and rejoins get it.
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
			require.Equal(t, "two", node.programsFor(node.snapshot()).Set.ProgramFor("x"))
		}
	})
}

// TestConcurrentProgramAndConfigurationChanges: program sets and configurations change at the same time and
// both reach their last version. Of two sets for the same base one is applied, and the other is rejected as
// stale.
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
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.programSetActive(8) && f.currentOnAllNodes(9) }))
		errs := make([]error, 2)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = f.applyProgramSet(fmt.Sprint("concurrent", i), 8, encodeProgramSet(routing.Source{Name: fmt.Sprint("concurrent", i), Share: 100, Text: preferWorkerProgram(0)}))
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

// TestUncompilableProgramSetKeepsPrevious: a node that can't compile a set of the cores keeps the previous one
// active, and activates the next one that compiles.
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

// Programs that propose a role change whatever the load: alternateRolesProgram for the first worker that may
// change, drainPrefillProgram for the first such prefill worker.
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

// TestRoleChangeByProgram: a program that controls roles and proposes a change whenever one is possible is
// bound by the limits: a third of the workers keeps each role, orders to one worker are a dwell time apart,
// and a worker that changes its role gets no work.
func TestRoleChangeByProgram(t *testing.T) {
	for name, c := range map[string]struct {
		text      string
		minOrders int
	}{"alternate": {alternateRolesProgram, 5}, "drain": {drainPrefillProgram, 0}} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 5, 4)...)
				f := startFleet(t, 87, 2, platform, defaultConfiguration(), withRoleChanges)
				defer f.close()
				roles := workerRoles(platform)
				_, err := f.applyProgramSet(name, 0, encodeProgramSet(routing.Source{Name: name, ChangesRoles: true, Text: c.text}))
				require.NoError(t, err)
				results := f.generateLoad(20, 40*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
				calls := platform.recordedCalls()
				require.Greater(t, len(recordedRoleOrders(calls)), c.minOrders)
				lastOrder, lastOrderOfAny := map[ids.WorkerID]time.Duration{}, time.Duration(-time.Hour)
				for _, call := range recordedRoleOrders(calls) {
					if at, ok := lastOrder[call.Worker]; ok {
						require.Greater(t, call.At-at, 4*time.Second, "dwell time of %s", call.Worker)
					}
					require.Greater(t, call.At-lastOrderOfAny, roleChangeInterval, "interval between role changes of a service")
					lastOrder[call.Worker], lastOrderOfAny = call.At, call.At
				}
				require.Empty(t, checkMinimumPerRole(calls, roles))
				require.Empty(t, checkUnavailableWorkers(calls, 100*time.Millisecond))
				require.Empty(t, checkChangingWorkersIdle(calls, time.Second))
				require.Empty(t, checkExecutions(calls, results))
				for _, result := range results {
					require.NoError(t, result.err)
				}
			})
		})
	}
}

// TestRoleChangeProgramDecides: if a program that controls roles proposes no change, no role changes although
// one role is under pressure. If it fails, or names a worker that may not change, the built-in choice applies.
// A shadow program is only counted.
func TestRoleChangeProgramDecides(t *testing.T) {
	for name, c := range map[string]struct {
		program     routing.Source
		changesRole bool
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
				f := startFleet(t, 88, 2, platform, defaultConfiguration(), withRoleChanges)
				defer f.close()
				c.program.Name = name
				_, err := f.applyProgramSet("op", 0, encodeProgramSet(c.program))
				require.NoError(t, err)
				time.Sleep(2 * time.Second)
				platform.setExtraRunning(ids.Prefill, 6)
				time.Sleep(10 * time.Second)
				require.Equal(t, c.changesRole, len(recordedRoleOrders(platform.recordedCalls())) > 0)
				for _, call := range recordedRoleOrders(platform.recordedCalls()) {
					require.Equal(t, ids.Prefill, call.TargetRole)
				}
				owner := f.nodes[max(0, f.roleLeaseHolder())]
				score := owner.Scores().Of(name)
				require.NotZero(t, score.RoleChangeCalls.Load())
				require.Equal(t, name == "fails" || name == "endless" || name == "stranger" || name == "same", score.Fallbacks.Load() > 0)
			})
		})
	}
}

// TestOperatorEvacuatesKnownZonesOnly: the operators' interface evacuates known zones only, and doesn't drain
// workers.
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
		require.Equal(t, []string{"b"}, f.currentProgramSet().EvacuatedZones)
		require.True(t, f.waitUntil(2*time.Second, func() bool { return f.nodes[0].view.Current().EvacuatedZones["b"] }))
		_, err = o.Evacuate(ctx, "b", &api.MarkRequest{Op: coordination.NewID()})
		require.NoError(t, err)
		require.Equal(t, []string{}, f.currentProgramSet().EvacuatedZones)
		_, err = o.Evacuate(ctx, "z", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, `no zone "z"`)
		_, err = o.Drain(ctx, "svc-decode-0.1", &api.MarkRequest{Op: coordination.NewID(), Out: true})
		require.ErrorContains(t, err, "list of workers")
		require.NotNil(t, o.Status())
	})
}
