// Tests of routing programs, which order and filter the candidate workers of a request.

package proxy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/routing"
)

var testPrograms = []routing.Source{
	{
		Name:  "dear",
		Share: 40,
		Text:  "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: -w.cost)]\n",
	},
	{
		Name:  "idle",
		Share: 30,
		Text:  "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: w.busy)]\n",
	},
	{
		Name:  "endless",
		Share: 10,
		Text:  "def order(ask, workers):\n    n = 0\n    for i in range(1000000000):\n        n += i\n    return []\n",
	},
	{
		Name:  "stranger",
		Share: 20,
		Text:  "def order(ask, workers):\n    return ['svc-prefill-99.1'] + [w.id for w in workers]\n",
	},
	{
		Name:   "watcher",
		Shadow: true,
		Text:   "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: w.cost)]\n",
	},
}

// TestRoutingPrograms: four programs divide the picks by their shares. Two of them are faulty: one loops
// endlessly and one names unknown workers. Their picks fall back to the built-in order and are counted as
// fallbacks. A shadow program is run for every pick, and all guarantees for requests hold.
func TestRoutingPrograms(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		scores := &routing.Scores{}
		platform.beforeRun = func(node *Node) {
			programs, err := routing.NewProgramSet(node.options.Programs, node.options.ProgramSteps, scores)
			require.NoError(t, err)
			node.startupPrograms.Set = programs
		}
		f := startFleet(t, 61, 2, platform, defaultConfiguration(), func(o *Options) {
			o.Programs = testPrograms
			o.ProgramSteps = 5000
			o.RetryAllowance = 40
		})
		defer f.close()
		wasReset := map[string]bool{}
		platform.withLock(func() {
			platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
				if hash := ids.Hash(call.RequestID); call.Kind == "emit" && hash%7 == 0 && !wasReset[call.RequestID] {
					wasReset[call.RequestID] = true
					return resetMidResponse
				}
				return succeeds
			}
		})
		results := f.generateLoad(50, 12*1e9, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 6) })
		calls := platform.recordedCalls()
		require.Empty(t, checkExecutions(calls, results))
		require.Empty(t, checkResponses(results))
		require.Empty(t, checkUnavailableWorkers(calls, 0))
		require.Empty(t, checkRetryBudget(calls, results, 0.2, 40, retryBudgetWindow))
		picks := map[string]int64{}
		scores.Each(func(name string, score *routing.Score) {
			picks[name] = score.Runs.Load()
			switch name {
			case "endless", "stranger":
				require.Equal(t, score.Runs.Load(), score.Fallbacks.Load(), name)
			default:
				require.Zero(t, score.Fallbacks.Load(), name)
			}
		})
		total := picks["watcher"]
		require.Greater(t, total, int64(900), "the shadow program is run for every pick")
		for _, program := range testPrograms[:4] {
			require.InDelta(t, float64(program.Share)/100, float64(picks[program.Name])/float64(total), 0.08, program.Name)
		}
		require.Zero(t, picks[routing.BuiltInName], "the shares add up to 100")
	})
}

// TestProgramOrder: a program's order of the workers is followed for all requests of its share.
func TestProgramOrder(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		programs := []routing.Source{{
			Name:  "fixed",
			Share: 100,
			Text:  "def order(ask, workers):\n    return [w.id for w in sorted(workers, key = lambda w: w.id)]\n",
		}}
		f := startFleet(t, 62, 2, platform, defaultConfiguration(), func(o *Options) {
			o.Programs, o.HedgeFactor = programs, -1 // a hedge would go to the second worker of the order
		})
		defer f.close()
		results := f.generateLoad(30, 3*1e9, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 2) })
		callsPerWorker := map[ids.WorkerID]int{}
		for _, call := range platform.recordedCalls() {
			if call.Kind == "emit" || call.Kind == "read" {
				callsPerWorker[call.Worker]++
			}
		}
		require.Equal(t, map[ids.WorkerID]int{"svc-prefill-0.1": len(results), "svc-decode-0.1": len(results)}, callsPerWorker)
	})
}

// TestProgramMatchesNoWorker: a request for which its program matches no worker is rejected without a call to
// any worker, whether there are three workers of each role or one.
func TestProgramMatchesNoWorker(t *testing.T) {
	for _, workers := range []int{3, 1} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", workers, workers)...)
				programs := []routing.Source{{
					Name:  "nobody",
					Share: 100,
					Text:  "def match(ask, worker):\n    return False\n",
				}}
				f := startFleet(t, 63, 1, platform, defaultConfiguration(), func(o *Options) { o.Programs = programs })
				defer f.close()
				result := f.send(f.nodes[0], f.newRequest("r", "/once/x", 400, 2))
				require.IsType(t, &RejectedError{}, result.err)
				require.Empty(t, platform.recordedCalls())
			})
		})
	}
}

// TestInvalidProgramIsRejected: New returns an error for a program that does not compile.
func TestInvalidProgramIsRejected(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		_, err := New(Options{Name: "n", Programs: []routing.Source{{Name: "x", Share: 100, Text: "def order(ask"}}})
		require.ErrorContains(t, err, "x.star")
	})
}
