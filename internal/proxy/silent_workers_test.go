// Workers that stop responding, and the requests that they had accepted.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
	"keelstair.example/internal/fleetstate"
	"keelstair.example/internal/silence"
)

// directDecodes returns the decode calls without memory that were sent between two times.
func directDecodes(calls []callRecord, from, to time.Duration) []callRecord {
	var out []callRecord
	for _, call := range calls {
		if call.Kind == "emit" && call.Direct && call.At >= from && call.At < to {
			out = append(out, call)
		}
	}
	return out
}

// silenceAfter makes workers stop responding after a delay, and returns the time, on the fake platform's
// clock, at which they will stop.
func silenceAfter(f *fleet, platform *fakePlatform, after time.Duration, names ...string) time.Duration {
	silentFrom := platform.elapsed() + after
	f.wg.Go(func() {
		time.Sleep(after)
		platform.withLock(func() {
			for _, name := range names {
				platform.worker(name).silent = true
			}
		})
	})
	return silentFrom
}

const (
	silenceDelay        = 3 * time.Second // time from the start of the load
	silenceLoadDuration = 6 * time.Second
)

// TestUnfetchedMemoryOfferedToAnotherWorker: a decode worker stops responding before it has fetched the memory
// of some prompts. Another one gets the same memory, and no decode worker prefills a prompt itself.
func TestUnfetchedMemoryOfferedToAnotherWorker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 54, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		silentFrom := silenceAfter(f, platform, silenceDelay, "svc-decode-1")
		results := f.generateLoad(60, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, callsToWorker(platform.recordedCalls(), "svc-decode-1.1", silentFrom, time.Hour))
		require.Empty(t, directDecodes(platform.recordedCalls(), 0, time.Hour))
		require.Empty(t, checkResponses(results))
		for _, result := range results {
			require.NoError(t, result.err, result.ID)
		}
	})
}

// TestFetchedMemoryFallsBackToDirectDecode: a decode worker fetched the KV cache and stopped responding, so
// the next worker can't fetch it and rejects the request. The node sends that worker the request again without a
// KV cache, and the worker prefills the prompt itself.
func TestFetchedMemoryFallsBackToDirectDecode(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 2)...)
		routes := defaultRoutes()
		for i := range routes {
			routes[i].MaxAttempts = 2
		}
		service := fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000}
		f := startFleet(t, 55, 2, platform, encodeConfiguration(routes, service), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		silenced := map[string]bool{}
		platform.outcome = func(call callRecord, worker *fakeWorker) callOutcome {
			if call.Kind == "emit" && !silenced[call.RequestID] && call.RequestID[len(call.RequestID)-1] == '0' {
				silenced[call.RequestID] = true
				return silentAfterRun
			}
			return succeeds
		}
		results := f.generateLoad(20, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, directDecodes(platform.recordedCalls(), 0, time.Hour))
		require.Empty(t, checkResponses(results))
		for _, result := range results {
			require.NoError(t, result.err, result.ID)
		}
	})
}

// TestPrefillRetriedAfterSilence: a prefill worker stops responding. Another one prefills its prompts, also on
// a route whose requests may go to one worker only; no decode worker prefills a prompt itself, and the
// retries stay within the budget.
func TestPrefillRetriedAfterSilence(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const allowance = 60
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 56, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance, o.HedgeFactor = allowance, -1 })
		defer f.close()
		silentFrom := silenceAfter(f, platform, silenceDelay, "svc-prefill-0")
		results := f.generateLoad(30, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		require.NotEmpty(t, callsToWorker(platform.recordedCalls(), "svc-prefill-0.1", silentFrom, time.Hour))
		require.Empty(t, directDecodes(platform.recordedCalls(), 0, time.Hour))
		require.Empty(t, checkExecutions(platform.recordedCalls(), results))
		require.Empty(t, checkResponses(results))
		require.Empty(t, checkRetryBudget(platform.recordedCalls(), results, 0.2, allowance, retryBudgetWindow))
		for _, result := range results {
			require.NoError(t, result.err, result.ID)
		}
	})
}

// TestPrefillRetriesUseRetryBudget: repeated prefills stay within the retry budget, also if it is small.
func TestPrefillRetriesUseRetryBudget(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const allowance, ratio = 3, 0.001
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 59, 2, platform, defaultConfiguration(), func(o *Options) {
			o.RetryAllowance, o.RetryRatio, o.HedgeFactor = allowance, ratio, -1
		})
		defer f.close()
		silentFrom := silenceAfter(f, platform, silenceDelay, "svc-prefill-0", "svc-prefill-1")
		results := f.generateLoad(90, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 4) })
		lostPrefills := append(
			callsToWorker(platform.recordedCalls(), "svc-prefill-0.1", silentFrom, time.Hour),
			callsToWorker(platform.recordedCalls(), "svc-prefill-1.1", silentFrom, time.Hour)...,
		)
		require.Greater(t, len(lostPrefills), allowance)
		require.Empty(t, checkRetryBudget(platform.recordedCalls(), results, ratio, allowance, retryBudgetWindow))
	})
}

// TestSilentWorkerDetectedQuickly: once the usual pauses of workers are known, a worker that stops responding
// is detected after a pause far beyond them plus the time of a report, and gets no more work then.
func TestSilentWorkerDetectedQuickly(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 57, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		silentFrom := silenceAfter(f, platform, silenceDelay, "svc-decode-1")
		f.generateLoad(60, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4) })
		const detectionTime = silence.MinTimeout + 150*time.Millisecond
		require.NotEmpty(t, callsToWorker(platform.recordedCalls(), "svc-decode-1.1", silentFrom, time.Hour))
		require.Empty(t, callsToWorker(platform.recordedCalls(), "svc-decode-1.1", silentFrom+detectionTime, silentFrom+time.Second))
	})
}

// TestLostDecodeWorkersReplaced: two of three decode workers stop responding under load. Within 1.5 s as many
// prefill workers are ordered to become decode workers.
func TestLostDecodeWorkersReplaced(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 3)...)
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), func(o *Options) {
			withRoleChanges(o)
			o.IdlePrefillShare = 0.667
		})
		defer f.close()
		platform.setExtraRunning(ids.Decode, 4) // a quarter of their slots, all the time
		silentFrom := silenceAfter(f, platform, 8*time.Second, "svc-decode-0", "svc-decode-1")
		f.generateLoad(40, 12*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 3) })
		var roleOrders []callRecord
		for _, call := range recordedRoleOrders(platform.recordedCalls()) {
			if call.TargetRole == ids.Decode && call.At >= silentFrom {
				roleOrders = append(roleOrders, call)
			}
		}
		require.GreaterOrEqual(t, len(roleOrders), 2)
		require.Less(t, roleOrders[1].At-silentFrom, 1500*time.Millisecond, "%v", roleOrders)
	})
}

// TestRoleChangesAfterLoss: as many workers change their role at once as were lost, but no more than the load
// on the remaining ones requires, and each role keeps its minimum.
func TestRoleChangesAfterLoss(t *testing.T) {
	newReports := func(prefillCount, decodeCount int) (out []workerReport) {
		for i := range prefillCount + decodeCount {
			role := ids.Prefill
			if i >= prefillCount {
				role = ids.Decode
			}
			out = append(out, workerReport{&Report{Role: role, Running: 1}, &Worker{ID: ids.WorkerID(fmt.Sprint(i))}})
		}
		return out
	}
	for _, c := range []struct {
		prefillWorkers, decodeWorkers int
		prefillLoad, decodeLoad       float64
		lost                          roleCounts
		want                          int
		to                            ids.Role
	}{
		{6, 1, 1, 0.74, roleCounts{0, 2}, 2, ids.Decode},
		{6, 1, 1, 0.74, roleCounts{0, 1}, 1, ids.Decode},
		{6, 1, 1, 0.4, roleCounts{0, 2}, 1, ids.Decode},
		{4, 1, 1, 0.74, roleCounts{0, 4}, 2, ids.Decode},
		{40, 20, 1, 0.375, roleCounts{20, 10}, 5, ids.Decode},
		{1, 6, 3, 0.05, roleCounts{2, 0}, 2, ids.Prefill},
		{6, 3, 1, 0.25, roleCounts{1, 0}, 0, ""},
	} {
		changes, to := chooseRoleChange(newReports(c.prefillWorkers, c.decodeWorkers), c.prefillLoad, c.decodeLoad, -1, c.lost)
		require.Len(t, changes, c.want, "%+v", c)
		require.Equal(t, c.to, to, "%+v", c)
	}
}
