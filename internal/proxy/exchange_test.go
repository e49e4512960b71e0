// Requests from end to end: calm loads, workers that fail, streams that are cut, and
// memory that nobody fetches.

package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

var routePaths = []string{"/once/x", "/again/x", "/stream/x", "/sresume/x"}

// TestFaultFreeLoad: with nothing broken every request is read at a reading worker, its memory is
// fetched once, it is emitted at an emitting worker and passed on whole; nothing is left
// over, and nothing comes to any worker twice.
func TestFaultFreeLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 1, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 1500, 8) })
		calls := platform.recordedCalls()
		require.Empty(t, onceOnly(calls, results))
		require.Empty(t, ended(results, 4*time.Second))
		require.Empty(t, answers(results))
		require.Empty(t, kept(platform))
		prefills, decodes := map[string]int{}, map[string]int{}
		for _, call := range calls {
			switch call.Kind {
			case "read":
				prefills[call.RequestID]++
				require.Contains(t, string(call.Worker), "prefill")
			case "emit":
				decodes[call.RequestID]++
				require.Contains(t, string(call.Worker), "decode")
			}
		}
		for _, result := range results {
			require.NoError(t, result.err)
			require.Equal(t, 1, prefills[result.ID], result.ID)
			require.Equal(t, 1, decodes[result.ID], result.ID)
		}
		for name, handle := range platform.handles {
			require.Equal(t, 1, handle.fetches, name)
		}
	})
}

// TestSharedPrefixUsesOnePrefillWorker: prompts that begin alike fall to the same reading worker on every node,
// as long as it is not much busier than the others.
func TestSharedPrefixUsesOnePrefillWorker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 5, 3)...)
		f := startFleet(t, 2, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(12, 10*time.Second, func(i int) *Request {
			r := f.newRequest(fmt.Sprint("r", i), "/once/x", 8000, 2)
			r.Segments = []PromptSegment{
				{ID: fmt.Sprint("system-", i/3%4), Tokens: 7900},
				{ID: "last-" + r.ID, Tokens: 100},
			}
			return r
		})
		workersByPrefix, used := map[string]map[ids.WorkerID]int{}, map[ids.WorkerID]bool{}
		prefixOf := map[string]string{}
		for _, result := range results {
			require.NoError(t, result.err)
			prefixOf[result.ID] = result.Segments[0].ID
		}
		for _, call := range platform.recordedCalls() {
			if call.Kind == "read" {
				prefix := prefixOf[call.RequestID]
				if workersByPrefix[prefix] == nil {
					workersByPrefix[prefix] = map[ids.WorkerID]int{}
				}
				workersByPrefix[prefix][call.Worker]++
				used[call.Worker] = true
			}
		}
		for prefix, workers := range workersByPrefix {
			require.Len(t, workers, 1, "%s is read at %v", prefix, workers)
		}
		require.Greater(t, len(used), 1, "beginnings spread over workers")
	})
}

// TestNonIdempotentRequestRunsAtMostOnce: whatever a worker does to one call (reset before the answer or in its
// middle, silence to the deadline, another request's answer, no stamp, a 500, memory that
// is lost, turning away, no connection), what may not be repeated never runs twice nor
// ends in a refusal after it was offered; a refusal always means that nothing ran.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for outcome, name := range map[callOutcome]string{
		connectionRefused: "unreached",
		notExecuted:       "turned-away",
		resetAfterRun:     "reset-before-answer",
		resetBeforeRun:    "reset-not-run",
		silentAfterRun:    "silent",
		silentBeforeRun:   "silent-not-run",
		resetMidResponse:  "reset-mid-answer",
		foreignResponse:   "another's-answer",
		unstampedResponse: "no-stamp",
		serverError:       "failed",
		memoryLost:        "memory-lost",
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				failedOnce := map[string]bool{}
				platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
					if call.Kind == "emit" && !failedOnce[call.RequestID] {
						failedOnce[call.RequestID] = true
						return outcome
					}
					return succeeds
				}
				f := startFleet(t, 3, 2, platform, defaultConfiguration(), nil)
				defer f.close()
				results := f.generateLoad(4, 5*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 500, 8)
				})
				require.Empty(t, onceOnly(platform.recordedCalls(), results))
				require.Empty(t, ended(results, 8500*time.Millisecond))
				require.Empty(t, answers(results))
				for _, result := range results {
					if _, no := result.err.(*RejectedError); no {
						require.NotContains(t, []callOutcome{resetAfterRun, silentAfterRun, resetMidResponse, foreignResponse, unstampedResponse, serverError}, outcome)
					}
					if !result.retryable && (outcome == resetAfterRun || outcome == silentAfterRun || outcome == resetMidResponse || outcome == foreignResponse ||
						outcome == unstampedResponse) {
						require.IsType(t, &AbortedError{}, result.err, result.Path)
					}
				}
			})
		})
	}
}

// TestRandomFaults: with random faults at every fifth call, workers that restart or go
// silent, and queues that are full, the same holds over all requests, each ends within
// its deadline, and streams are passed on in whole events, each once and in order.
func TestRandomFaults(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		workers := prefillAndDecodeWorkers("svc", 3, 4)
		for _, worker := range workers {
			worker.Concurrency = 6
		}
		platform := newFakePlatform(workers...)
		rng := rand.New(rand.NewPCG(seed, 5))
		platform.outcome = func(callRecord, *fakeWorker) callOutcome {
			if rng.IntN(5) > 0 {
				return succeeds
			}
			return []callOutcome{
				connectionRefused, notExecuted, resetAfterRun, resetBeforeRun, silentAfterRun, silentBeforeRun, resetMidResponse, foreignResponse, unstampedResponse,
				serverError, memoryLost,
			}[rng.IntN(11)]
		}
		f := startFleet(t, seed, 3, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		f.wg.Go(func() {
			for i := range 5 {
				time.Sleep(1500 * time.Millisecond)
				name := workers[(int(seed)+3*i)%len(workers)].name
				if i%2 == 0 {
					platform.restartWorker(name)
				} else {
					platform.withLock(func() { platform.worker(name).silent = true })
					time.Sleep(1200 * time.Millisecond)
					platform.withLock(func() { platform.worker(name).silent = false })
				}
			}
		})
		results := f.generateLoad(50, 10*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 800, 10)
		})
		time.Sleep(15 * time.Second)
		calls := platform.recordedCalls()
		require.Empty(t, onceOnly(calls, results))
		require.Empty(t, ended(results, 8500*time.Millisecond))
		require.Empty(t, answers(results))
		require.Empty(t, extras(calls, results, 0.2, 20, 10*time.Second))
		answered := 0
		for _, result := range results {
			if result.err == nil {
				answered++
			}
		}
		require.Greater(t, answered*2, len(results), "most are answered")
	})
}

// TestResumableStreamContinuesElsewhere: a resumable stream that is cut, or falls silent, goes on at another worker
// from the last whole event; the caller gets each event once and in order.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	for _, fault := range []string{"cut", "dark", "restart"} {
		t.Run(fault, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				failedOnce := map[string]bool{}
				platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
					if call.Kind == "emit" && !failedOnce[call.RequestID] && fault == "cut" {
						failedOnce[call.RequestID] = true
						return resetMidResponse
					}
					return succeeds
				}
				f := startFleet(t, 4, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				if fault != "cut" {
					f.wg.Go(func() {
						time.Sleep(300 * time.Millisecond)
						for _, call := range platform.recordedCalls() {
							if call.Kind == "emit" {
								if name := string(call.Worker[:len(call.Worker)-2]); fault == "dark" {
									platform.withLock(func() { platform.worker(name).silent = true })
								} else {
									platform.restartWorker(name)
								}
								return
							}
						}
					})
				}
				result := f.send(f.nodes[0], f.newRequest("r", "/sresume/x", 500, 60))
				require.NoError(t, result.err)
				require.Empty(t, answers([]*requestResult{result}))
				lastEventID, workers := "", map[ids.WorkerID]bool{}
				for _, call := range platform.recordedCalls() {
					if call.Kind == "emit" {
						lastEventID = call.LastEventID
						require.False(t, workers[call.Worker], "it goes elsewhere")
						workers[call.Worker] = true
					}
				}
				require.Len(t, workers, 2)
				require.NotEmpty(t, lastEventID, "it is taken up from an event")
				if fault == "cut" {
					require.Equal(t, "30", lastEventID)
				}
			})
		})
	}
}

// TestLastEventIDFromCaller: a caller that has some events already gets only the later ones, and no
// prompt is read for it.
func TestLastEventIDFromCaller(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 5, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		r := f.newRequest("r", "/sresume/x", 500, 12)
		r.LastEventID = "7"
		result := f.send(f.nodes[0], r)
		require.NoError(t, result.err)
		require.Empty(t, answers([]*requestResult{result}))
		calls := platform.recordedCalls()
		require.Len(t, calls, 1)
		require.Equal(t, "7", calls[0].LastEventID)
	})
}

// TestNonResumableStreamIsAborted: a stream that may not go on elsewhere is broken off when it is cut, never
// completed from another worker, and no part of an event is passed on.
func TestNonResumableStreamIsAborted(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			if call.Kind == "emit" {
				return resetMidResponse
			}
			return succeeds
		}
		f := startFleet(t, 6, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		result := f.send(f.nodes[0], f.newRequest("r", "/stream/x", 500, 20))
		require.IsType(t, &AbortedError{}, result.err)
		require.True(t, result.err.(*AbortedError).HeadSent)
		require.Empty(t, answers([]*requestResult{result}))
		require.Empty(t, onceOnly(platform.recordedCalls(), []*requestResult{result}))
		require.Contains(t, result.response.bodyText(), "id: 10\n")
		require.NotContains(t, result.response.bodyText(), "id: 11")
	})
}

// TestUnstampedResponseIsDiscarded: a success that does not carry the worker's stamp is never passed on, not
// the first byte of it, whether or not the request may run again.
func TestUnstampedResponseIsDiscarded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			if call.Kind == "emit" {
				return unstampedResponse
			}
			return succeeds
		}
		f := startFleet(t, 7, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		for i, path := range routePaths {
			result := f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
			require.IsType(t, &AbortedError{}, result.err, path)
			require.Zero(t, result.response.headCount, path)
			require.Empty(t, result.response.bodyText(), path)
		}
	})
}

// TestRejectedDecodeFreesMemory: memory whose emission is never taken by anyone (all emitting workers turn it
// away, or none is there) is given back at the worker that keeps it.
func TestRejectedDecodeFreesMemory(t *testing.T) {
	for _, outcome := range []callOutcome{notExecuted, connectionRefused} {
		runInBubble(t, func(t *testing.T) {
			platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
			platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
				if call.Kind == "emit" {
					return outcome
				}
				return succeeds
			}
			f := startFleet(t, 8, 2, platform, defaultConfiguration(), nil)
			defer f.close()
			for i, path := range routePaths {
				result := f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
				require.IsType(t, &RejectedError{}, result.err)
			}
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(platform))
			require.NotEmpty(t, platform.handles)
		})
	}
}

// TestDeadlineFreesMemory: the caller's time ends while every emitting worker is unreachable:
// the memory is given back, and the caller is refused.
func TestDeadlineFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		workers := prefillAndDecodeWorkers("svc", 1, 3)
		platform := newFakePlatform(workers...)
		f := startFleet(t, 9, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		platform.withLock(func() {
			platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
				if call.Kind == "emit" {
					return notExecuted
				}
				return succeeds
			}
		})
		r := f.newRequest("r", "/once/x", 500, 6)
		r.Timeout = 40 * time.Millisecond
		result := f.send(f.nodes[0], r)
		require.IsType(t, &RejectedError{}, result.err)
		time.Sleep(2 * time.Second)
		require.Empty(t, kept(platform))
	})
}

// TestCallerDisconnectFreesMemory: a caller goes away at the moment at which its prompt has been
// read: nobody will fetch the memory, so it is given back.
func TestCallerDisconnectFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 10, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		ctx, stop := context.WithCancel(context.Background())
		platform.withLock(func() { platform.afterPrefill = func(*Request) { stop() } })
		result := f.sendWith(ctx, f.nodes[0], f.newRequest("r", "/once/x", 500, 6), &responseRecorder{})
		require.IsType(t, &RejectedError{}, result.err)
		require.Empty(t, onceOnly(platform.recordedCalls(), []*requestResult{result}))
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, platform.handles)
		require.Empty(t, kept(platform))
	})
}

// TestSilentDecodeWorkerFreesMemory: an emitting worker is silent and never fetches the memory, and the
// request is taken elsewhere or ended: the memory is given back.
func TestSilentDecodeWorkerFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		failedOnce := map[string]bool{}
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			if call.Kind == "emit" && !failedOnce[call.RequestID] {
				failedOnce[call.RequestID] = true
				return silentBeforeRun
			}
			return succeeds
		}
		f := startFleet(t, 11, 1, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range []string{"/again/x", "/once/x"} {
			f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(platform), path)
		}
	})
}

// TestNoRetryAfterCallerDisconnect: an answer whose caller went away is not asked for at another worker.
func TestNoRetryAfterCallerDisconnect(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 12, 1, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range routePaths {
			id := fmt.Sprint("r", i)
			result := f.sendWith(context.Background(), f.nodes[0], f.newRequest(id, path, 500, 6), &responseRecorder{callerGone: true})
			require.Error(t, result.err)
			decodes := 0
			for _, call := range platform.recordedCalls() {
				if call.Kind == "emit" && call.RequestID == id {
					decodes++
				}
			}
			require.Equal(t, 1, decodes, path)
		}
	})
}

// TestServerErrorRetriedOnlyIfIdempotent: a worker's own 500 is passed on where the request may not run again;
// where it may, another worker is asked.
func TestServerErrorRetriedOnlyIfIdempotent(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		failedOnce := map[string]bool{}
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			if call.Kind == "emit" && !failedOnce[call.RequestID] {
				failedOnce[call.RequestID] = true
				return serverError
			}
			return succeeds
		}
		f := startFleet(t, 13, 1, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		result := f.send(f.nodes[0], f.newRequest("r0", "/once/x", 500, 6))
		require.NoError(t, result.err)
		require.Equal(t, 500, result.response.status)
		result = f.send(f.nodes[0], f.newRequest("r1", "/again/x", 500, 6))
		require.NoError(t, result.err)
		require.Equal(t, 200, result.response.status)
		require.Empty(t, answers([]*requestResult{result}))
	})
}

// TestWorkersWithoutRoles: a service whose workers know no parts is served without moving memory
// between them twice, and what may not be repeated runs once.
func TestWorkersWithoutRoles(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(newFakeWorkers("svc", "", 3)...)
		f := startFleet(t, 14, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(20, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 500, 6) })
		require.Empty(t, onceOnly(platform.recordedCalls(), results))
		require.Empty(t, answers(results))
		for _, result := range results {
			require.NoError(t, result.err)
		}
		require.Empty(t, kept(platform))
	})
}
