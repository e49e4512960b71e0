// Requests from end to end: load without faults, failing workers, interrupted streams, and prefilled
// memory that no decode worker fetches.

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

// routePaths has a path under each of the default routes.
var routePaths = []string{"/once/x", "/again/x", "/stream/x", "/sresume/x"}

// TestFaultFreeLoad: without faults, every request is prefilled once at a prefill worker and decoded once at
// a decode worker, its memory is fetched once, the response is complete, and no memory stays allocated.
func TestFaultFreeLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 1, 3, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 1500, 8) })
		calls := platform.recordedCalls()
		require.Empty(t, checkExecutions(calls, results))
		require.Empty(t, checkCompletions(results, 4*time.Second))
		require.Empty(t, checkResponses(results))
		require.Empty(t, leakedHandles(platform))
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

// TestSharedPrefixUsesOnePrefillWorker: all nodes send prompts with the same prefix to the same prefill
// worker, as long as it isn't much busier than the others.
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
			require.Len(t, workers, 1, "%s is prefilled at %v", prefix, workers)
		}
		require.Greater(t, len(used), 1, "all prefixes use the same worker")
	})
}

// TestNonIdempotentRequestRunsAtMostOnce: the first decode call of each request fails (reset before or within
// the response, no response until the deadline, the response of another request, no header that
// identifies the worker, a 500, lost memory, rejection, no connection). A request that may not
// be repeated never runs twice and isn't rejected after a worker accepted it; a rejection always means that
// nothing ran.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for outcome, name := range map[callOutcome]string{
		connectionRefused:    "connection-refused",
		notExecuted:          "rejected",
		resetAfterRun:        "reset-after-run",
		resetBeforeRun:       "reset-before-run",
		silentAfterRun:       "silent-after-run",
		silentBeforeRun:      "silent-before-run",
		resetMidResponse:     "reset-mid-response",
		foreignResponse:      "foreign-response",
		unidentifiedResponse: "unidentified",
		serverError:          "server-error",
		memoryLost:           "memory-lost",
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
				require.Empty(t, checkExecutions(platform.recordedCalls(), results))
				require.Empty(t, checkCompletions(results, 8500*time.Millisecond))
				require.Empty(t, checkResponses(results))
				for _, result := range results {
					if _, isRejected := result.err.(*RejectedError); isRejected {
						require.NotContains(t, []callOutcome{resetAfterRun, silentAfterRun, resetMidResponse, foreignResponse, unidentifiedResponse, serverError}, outcome)
					}
					if !result.retryable && (outcome == resetAfterRun || outcome == silentAfterRun || outcome == resetMidResponse || outcome == foreignResponse ||
						outcome == unidentifiedResponse) {
						require.IsType(t, &AbortedError{}, result.err, result.Path)
					}
				}
			})
		})
	}
}

// TestRandomFaults: every fifth call on average fails at random, workers restart or stop responding, and
// queues are full. The guarantees of TestNonIdempotentRequestRunsAtMostOnce hold for all requests, each ends
// within its deadline, and streams deliver whole events, each once and in order.
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
				connectionRefused, notExecuted, resetAfterRun, resetBeforeRun, silentAfterRun, silentBeforeRun, resetMidResponse, foreignResponse, unidentifiedResponse,
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
		require.Empty(t, checkExecutions(calls, results))
		require.Empty(t, checkCompletions(results, 8500*time.Millisecond))
		require.Empty(t, checkResponses(results))
		require.Empty(t, checkRetryBudget(calls, results, 0.2, 20, 10*time.Second))
		answered := 0
		for _, result := range results {
			if result.err == nil {
				answered++
			}
		}
		require.Greater(t, answered*2, len(results), "most requests fail")
	})
}

// TestResumableStreamContinuesElsewhere: a resumable stream whose worker resets it, stops responding or
// restarts continues at another worker after the last whole event; the caller gets each event once and in
// order.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	for _, fault := range []string{"reset", "silent", "restart"} {
		t.Run(fault, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				failedOnce := map[string]bool{}
				platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
					if call.Kind == "emit" && !failedOnce[call.RequestID] && fault == "reset" {
						failedOnce[call.RequestID] = true
						return resetMidResponse
					}
					return succeeds
				}
				f := startFleet(t, 4, 2, platform, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				if fault != "reset" {
					f.wg.Go(func() {
						time.Sleep(300 * time.Millisecond)
						for _, call := range platform.recordedCalls() {
							if call.Kind == "emit" {
								if name := string(call.Worker[:len(call.Worker)-2]); fault == "silent" {
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
				require.Empty(t, checkResponses([]*requestResult{result}))
				lastEventID, workers := "", map[ids.WorkerID]bool{}
				for _, call := range platform.recordedCalls() {
					if call.Kind == "emit" {
						lastEventID = call.LastEventID
						require.False(t, workers[call.Worker], "the stream must continue at another worker")
						workers[call.Worker] = true
					}
				}
				require.Len(t, workers, 2)
				require.NotEmpty(t, lastEventID, "the stream must continue after an event")
				if fault == "reset" {
					require.Equal(t, "30", lastEventID)
				}
			})
		})
	}
}

// TestLastEventIDFromCaller: a caller that sends a last event ID gets only later events, without a prefill.
func TestLastEventIDFromCaller(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 5, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		r := f.newRequest("r", "/sresume/x", 500, 12)
		r.LastEventID = "7"
		result := f.send(f.nodes[0], r)
		require.NoError(t, result.err)
		require.Empty(t, checkResponses([]*requestResult{result}))
		calls := platform.recordedCalls()
		require.Len(t, calls, 1)
		require.Equal(t, "7", calls[0].LastEventID)
	})
}

// TestNonResumableStreamIsAborted: a non-resumable stream whose connection is reset is aborted. No other
// worker completes it, and the caller gets no partial event.
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
		require.Empty(t, checkResponses([]*requestResult{result}))
		require.Empty(t, checkExecutions(platform.recordedCalls(), []*requestResult{result}))
		require.Contains(t, result.response.bodyText(), "id: 10\n")
		require.NotContains(t, result.response.bodyText(), "id: 11")
	})
}

// TestUnidentifiedResponseIsDiscarded: no byte of a success response without the header that
// identifies the worker reaches the caller, whether or not the request may run again.
func TestUnidentifiedResponseIsDiscarded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		platform.outcome = func(call callRecord, _ *fakeWorker) callOutcome {
			if call.Kind == "emit" {
				return unidentifiedResponse
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

// TestRejectedDecodeFreesMemory: if every decode worker rejects the request or is unreachable, the memory is
// freed at the prefill worker.
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
			require.Empty(t, leakedHandles(platform))
			require.NotEmpty(t, platform.handles)
		})
	}
}

// TestDeadlineFreesMemory: if the caller's deadline passes while every decode worker rejects the request, the
// memory is freed and the request is rejected.
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
		require.Empty(t, leakedHandles(platform))
	})
}

// TestCallerDisconnectFreesMemory: if the caller disconnects right after the prefill, no worker fetches the
// memory, so it is freed.
func TestCallerDisconnectFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 10, 1, platform, defaultConfiguration(), nil)
		defer f.close()
		ctx, stop := context.WithCancel(context.Background())
		platform.withLock(func() { platform.afterPrefill = func(*Request) { stop() } })
		result := f.sendWith(ctx, f.nodes[0], f.newRequest("r", "/once/x", 500, 6), &responseRecorder{})
		require.IsType(t, &RejectedError{}, result.err)
		require.Empty(t, checkExecutions(platform.recordedCalls(), []*requestResult{result}))
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, platform.handles)
		require.Empty(t, leakedHandles(platform))
	})
}

// TestSilentDecodeWorkerFreesMemory: if a decode worker never responds and never fetches the memory, the
// request is retried elsewhere or ends, and the memory is freed.
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
			require.Empty(t, leakedHandles(platform), path)
		}
	})
}

// TestNoRetryAfterCallerDisconnect: a request whose caller disconnected isn't sent to another worker.
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

// TestServerErrorRetriedOnlyIfIdempotent: a worker's 500 response is passed on if the request may not run
// again; otherwise another worker is tried.
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
		require.Empty(t, checkResponses([]*requestResult{result}))
	})
}

// TestWorkersWithoutRoles: workers without roles serve all requests, no memory stays allocated, and requests
// that may not be repeated run once.
func TestWorkersWithoutRoles(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(newFakeWorkers("svc", "", 3)...)
		f := startFleet(t, 14, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		results := f.generateLoad(20, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 500, 6) })
		require.Empty(t, checkExecutions(platform.recordedCalls(), results))
		require.Empty(t, checkResponses(results))
		for _, result := range results {
			require.NoError(t, result.err)
		}
		require.Empty(t, leakedHandles(platform))
	})
}
