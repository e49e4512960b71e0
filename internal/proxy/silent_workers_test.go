// What the loss of workers that say nothing more costs the requests of the others.

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

// directDecodes are those that were sent without memory between two moments.
func directDecodes(rows []callRecord, from, to time.Duration) []callRecord {
	var out []callRecord
	for _, k := range rows {
		if k.Kind == "emit" && k.Direct && k.At >= from && k.At < to {
			out = append(out, k)
		}
	}
	return out
}

// silenceAfter has workers of a pool say nothing more after a while, and gives the pool's time of that.
func silenceAfter(f *fleet, y *fakePlatform, after time.Duration, names ...string) time.Duration {
	at := y.elapsed() + after
	f.wg.Go(func() {
		time.Sleep(after)
		y.withLock(func() {
			for _, name := range names {
				y.worker(name).silent = true
			}
		})
	})
	return at
}

const (
	silenceDelay        = 3 * time.Second // from the beginning of the load
	silenceLoadDuration = 6 * time.Second
)

// TestUnfetchedMemoryOfferedToAnotherWorker: an emitting worker goes silent before it has fetched the memory of prompts.
// Another one is offered the same memory, and none reads a prompt by itself.
func TestUnfetchedMemoryOfferedToAnotherWorker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 54, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		dark := silenceAfter(f, y, silenceDelay, "svc-decode-1")
		all := f.generateLoad(60, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, sentTo(y.recordedCalls(), "svc-decode-1.1", dark, time.Hour))
		require.Empty(t, directDecodes(y.recordedCalls(), 0, time.Hour))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestFetchedMemoryFallsBackToDirectDecode: the silent worker had fetched the memory already, so the next one turns
// the request away: that one is sent it once more, and reads by itself.
func TestFetchedMemoryFallsBackToDirectDecode(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 2)...)
		routes := defaultRoutes()
		for i := range routes {
			routes[i].MaxAttempts = 2
		}
		service := fleetstate.Service{Name: "svc", Concurrency: 16, RoleChangeMs: 1000}
		f := startFleet(t, 55, 2, y, encodeConfiguration(routes, service), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		silenced := map[string]bool{}
		y.outcome = func(k callRecord, w *fakeWorker) callOutcome {
			if k.Kind == "emit" && !silenced[k.RequestID] && k.RequestID[len(k.RequestID)-1] == '0' {
				silenced[k.RequestID] = true
				return silentAfterRun
			}
			return succeeds
		}
		all := f.generateLoad(20, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 2) })
		require.NotEmpty(t, directDecodes(y.recordedCalls(), 0, time.Hour))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestPrefillRetriedAfterSilence: a reading worker goes silent. What it was to read is read by another one,
// also on a route that may be sent to one worker only; no emitting worker reads by itself, and
// the repeats stay within the budget.
func TestPrefillRetriedAfterSilence(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const allowance = 60
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 56, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance, o.HedgeFactor = allowance, -1 })
		defer f.close()
		dark := silenceAfter(f, y, silenceDelay, "svc-prefill-0")
		all := f.generateLoad(30, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 400, 4) })
		require.NotEmpty(t, sentTo(y.recordedCalls(), "svc-prefill-0.1", dark, time.Hour))
		require.Empty(t, directDecodes(y.recordedCalls(), 0, time.Hour))
		require.Empty(t, onceOnly(y.recordedCalls(), all))
		require.Empty(t, answers(all))
		require.Empty(t, extras(y.recordedCalls(), all, 0.2, allowance, window))
		for _, a := range all {
			require.NoError(t, a.err, a.ID)
		}
	})
}

// TestPrefillRetriesUseRetryBudget: reads that are done again are taken from the retry budget, also where that is small.
func TestPrefillRetriesUseRetryBudget(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const allowance, ratio = 3, 0.001
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 59, 2, y, defaultConfiguration(), func(o *Options) {
			o.RetryAllowance, o.RetryRatio, o.HedgeFactor = allowance, ratio, -1
		})
		defer f.close()
		dark := silenceAfter(f, y, silenceDelay, "svc-prefill-0", "svc-prefill-1")
		all := f.generateLoad(90, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/again/x", 400, 4) })
		reads := append(
			sentTo(y.recordedCalls(), "svc-prefill-0.1", dark, time.Hour),
			sentTo(y.recordedCalls(), "svc-prefill-1.1", dark, time.Hour)...,
		)
		require.Greater(t, len(reads), allowance)
		require.Empty(t, extras(y.recordedCalls(), all, ratio, allowance, window))
	})
}

// TestSilentWorkerDetectedQuickly: once the usual silences of workers are known, one that says nothing is found
// after a silence far beyond them and the time for its report, and gets nothing more from then on.
func TestSilentWorkerDetectedQuickly(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 4)...)
		f := startFleet(t, 57, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 60 })
		defer f.close()
		dark := silenceAfter(f, y, silenceDelay, "svc-decode-1")
		f.generateLoad(60, silenceLoadDuration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/once/x", 400, 4) })
		const found = silence.Floor + 150*time.Millisecond
		require.NotEmpty(t, sentTo(y.recordedCalls(), "svc-decode-1.1", dark, time.Hour))
		require.Empty(t, sentTo(y.recordedCalls(), "svc-decode-1.1", dark+found, dark+time.Second))
	})
}

// TestLostDecodeWorkersReplaced: two of three emitting workers go silent under load. As many reading ones
// are told to emit within a second and a half.
func TestLostDecodeWorkersReplaced(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, seed uint64) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 6, 3)...)
		f := startFleet(t, seed, 3, y, defaultConfiguration(), func(o *Options) {
			turning(o)
			o.IdlePrefillShare = 0.667
		})
		defer f.close()
		y.pressed(ids.Decode, 4) // a quarter of their places, all the time
		dark := silenceAfter(f, y, 8*time.Second, "svc-decode-0", "svc-decode-1")
		f.generateLoad(40, 12*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/sresume/x", 400, 3) })
		var told []callRecord
		for _, k := range orders(y.recordedCalls()) {
			if k.TargetRole == ids.Decode && k.At >= dark {
				told = append(told, k)
			}
		}
		require.GreaterOrEqual(t, len(told), 2)
		require.Less(t, told[1].At-dark, 1500*time.Millisecond, "%v", told)
	})
}

// TestRoleChangesAfterLoss: as many workers change their role at once as were lost, but no more than the
// pressure on those that are left asks for, and each role keeps its least.
func TestRoleChangesAfterLoss(t *testing.T) {
	rows := func(readers, emitters int) (out []workerReport) {
		for i := range readers + emitters {
			role := ids.Prefill
			if i >= readers {
				role = ids.Decode
			}
			out = append(out, workerReport{&Report{Role: role, Running: 1}, &Worker{ID: ids.WorkerID(fmt.Sprint(i))}})
		}
		return out
	}
	for _, c := range []struct {
		readers, emitters int
		read, emit        float64
		lost              roleCounts
		want              int
		to                ids.Role
	}{
		{6, 1, 1, 0.74, roleCounts{0, 2}, 2, ids.Decode},
		{6, 1, 1, 0.74, roleCounts{0, 1}, 1, ids.Decode},
		{6, 1, 1, 0.4, roleCounts{0, 2}, 1, ids.Decode},
		{4, 1, 1, 0.74, roleCounts{0, 4}, 2, ids.Decode},
		{40, 20, 1, 0.375, roleCounts{20, 10}, 5, ids.Decode},
		{1, 6, 3, 0.05, roleCounts{2, 0}, 2, ids.Prefill},
		{6, 3, 1, 0.25, roleCounts{1, 0}, 0, ""},
	} {
		some, to := chooseRoleChange(rows(c.readers, c.emitters), c.read, c.emit, -1, c.lost)
		require.Len(t, some, c.want, "%+v", c)
		require.Equal(t, c.to, to, "%+v", c)
	}
}
