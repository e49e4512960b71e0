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
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
		f := startFleet(t, 1, 3, y, defaultConfiguration(), nil)
		defer f.close()
		all := f.generateLoad(60, 8*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 1500, 8) })
		rows := y.recordedCalls()
		require.Empty(t, onceOnly(rows, all))
		require.Empty(t, ended(all, 4*time.Second))
		require.Empty(t, answers(all))
		require.Empty(t, kept(y))
		reads, emits := map[string]int{}, map[string]int{}
		for _, k := range rows {
			switch k.Kind {
			case "read":
				reads[k.RequestID]++
				require.Contains(t, string(k.Worker), "prefill")
			case "emit":
				emits[k.RequestID]++
				require.Contains(t, string(k.Worker), "decode")
			}
		}
		for _, a := range all {
			require.NoError(t, a.err)
			require.Equal(t, 1, reads[a.ID], a.ID)
			require.Equal(t, 1, emits[a.ID], a.ID)
		}
		for name, h := range y.handles {
			require.Equal(t, 1, h.fetches, name)
		}
	})
}

// TestSharedPrefixUsesOnePrefillWorker: prompts that begin alike fall to the same reading worker on every node,
// as long as it is not much busier than the others.
func TestSharedPrefixUsesOnePrefillWorker(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 5, 3)...)
		f := startFleet(t, 2, 3, y, defaultConfiguration(), nil)
		defer f.close()
		all := f.generateLoad(12, 10*time.Second, func(i int) *Request {
			r := f.newRequest(fmt.Sprint("r", i), "/once/x", 8000, 2)
			r.Segments = []PromptSegment{
				{ID: fmt.Sprint("system-", i/3%4), Tokens: 7900},
				{ID: "last-" + r.ID, Tokens: 100},
			}
			return r
		})
		at, used := map[string]map[ids.WorkerID]int{}, map[ids.WorkerID]bool{}
		begin := map[string]string{}
		for _, a := range all {
			require.NoError(t, a.err)
			begin[a.ID] = a.Segments[0].ID
		}
		for _, k := range y.recordedCalls() {
			if k.Kind == "read" {
				b := begin[k.RequestID]
				if at[b] == nil {
					at[b] = map[ids.WorkerID]int{}
				}
				at[b][k.Worker]++
				used[k.Worker] = true
			}
		}
		for b, w := range at {
			require.Len(t, w, 1, "%s is read at %v", b, w)
		}
		require.Greater(t, len(used), 1, "beginnings spread over workers")
	})
}

// TestNonIdempotentRequestRunsAtMostOnce: whatever a worker does to one call (reset before the answer or in its
// middle, silence to the deadline, another request's answer, no stamp, a 500, memory that
// is lost, turning away, no connection), what may not be repeated never runs twice nor
// ends in a refusal after it was offered; a refusal always means that nothing ran.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for how, name := range map[callOutcome]string{
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
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				hit := map[string]bool{}
				y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
					if k.Kind == "emit" && !hit[k.RequestID] {
						hit[k.RequestID] = true
						return how
					}
					return succeeds
				}
				f := startFleet(t, 3, 2, y, defaultConfiguration(), nil)
				defer f.close()
				all := f.generateLoad(4, 5*time.Second, func(i int) *Request {
					return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 500, 8)
				})
				require.Empty(t, onceOnly(y.recordedCalls(), all))
				require.Empty(t, ended(all, 8500*time.Millisecond))
				require.Empty(t, answers(all))
				for _, a := range all {
					if _, no := a.err.(*RejectedError); no {
						require.NotContains(t, []callOutcome{resetAfterRun, silentAfterRun, resetMidResponse, foreignResponse, unstampedResponse, serverError}, how)
					}
					if !a.retryable && (how == resetAfterRun || how == silentAfterRun || how == resetMidResponse || how == foreignResponse ||
						how == unstampedResponse) {
						require.IsType(t, &AbortedError{}, a.err, a.Path)
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
		all := prefillAndDecodeWorkers("svc", 3, 4)
		for _, w := range all {
			w.Concurrency = 6
		}
		y := newFakePlatform(all...)
		rng := rand.New(rand.NewPCG(seed, 5))
		y.outcome = func(callRecord, *fakeWorker) callOutcome {
			if rng.IntN(5) > 0 {
				return succeeds
			}
			return []callOutcome{
				connectionRefused, notExecuted, resetAfterRun, resetBeforeRun, silentAfterRun, silentBeforeRun, resetMidResponse, foreignResponse, unstampedResponse,
				serverError, memoryLost,
			}[rng.IntN(11)]
		}
		f := startFleet(t, seed, 3, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		f.wg.Go(func() {
			for i := range 5 {
				time.Sleep(1500 * time.Millisecond)
				name := all[(int(seed)+3*i)%len(all)].name
				if i%2 == 0 {
					y.restartWorker(name)
				} else {
					y.withLock(func() { y.worker(name).silent = true })
					time.Sleep(1200 * time.Millisecond)
					y.withLock(func() { y.worker(name).silent = false })
				}
			}
		})
		got := f.generateLoad(50, 10*time.Second, func(i int) *Request {
			return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 800, 10)
		})
		time.Sleep(15 * time.Second)
		rows := y.recordedCalls()
		require.Empty(t, onceOnly(rows, got))
		require.Empty(t, ended(got, 8500*time.Millisecond))
		require.Empty(t, answers(got))
		require.Empty(t, extras(rows, got, 0.2, 20, 10*time.Second))
		done := 0
		for _, a := range got {
			if a.err == nil {
				done++
			}
		}
		require.Greater(t, done*2, len(got), "most are answered")
	})
}

// TestResumableStreamContinuesElsewhere: a resumable stream that is cut, or falls silent, goes on at another worker
// from the last whole event; the caller gets each event once and in order.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	for _, how := range []string{"cut", "dark", "restart"} {
		t.Run(how, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
				hit := map[string]bool{}
				y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
					if k.Kind == "emit" && !hit[k.RequestID] && how == "cut" {
						hit[k.RequestID] = true
						return resetMidResponse
					}
					return succeeds
				}
				f := startFleet(t, 4, 2, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
				defer f.close()
				if how != "cut" {
					f.wg.Go(func() {
						time.Sleep(300 * time.Millisecond)
						for _, k := range y.recordedCalls() {
							if k.Kind == "emit" {
								if name := string(k.Worker[:len(k.Worker)-2]); how == "dark" {
									y.withLock(func() { y.worker(name).silent = true })
								} else {
									y.restartWorker(name)
								}
								return
							}
						}
					})
				}
				a := f.send(f.nodes[0], f.newRequest("r", "/sresume/x", 500, 60))
				require.NoError(t, a.err)
				require.Empty(t, answers([]*requestResult{a}))
				from, workers := "", map[ids.WorkerID]bool{}
				for _, k := range y.recordedCalls() {
					if k.Kind == "emit" {
						from = k.LastEventID
						require.False(t, workers[k.Worker], "it goes elsewhere")
						workers[k.Worker] = true
					}
				}
				require.Len(t, workers, 2)
				require.NotEmpty(t, from, "it is taken up from an event")
				if how == "cut" {
					require.Equal(t, "30", from)
				}
			})
		})
	}
}

// TestLastEventIDFromCaller: a caller that has some events already gets only the later ones, and no
// prompt is read for it.
func TestLastEventIDFromCaller(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 5, 2, y, defaultConfiguration(), nil)
		defer f.close()
		r := f.newRequest("r", "/sresume/x", 500, 12)
		r.LastEventID = "7"
		a := f.send(f.nodes[0], r)
		require.NoError(t, a.err)
		require.Empty(t, answers([]*requestResult{a}))
		rows := y.recordedCalls()
		require.Len(t, rows, 1)
		require.Equal(t, "7", rows[0].LastEventID)
	})
}

// TestNonResumableStreamIsAborted: a stream that may not go on elsewhere is broken off when it is cut, never
// completed from another worker, and no part of an event is passed on.
func TestNonResumableStreamIsAborted(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
			if k.Kind == "emit" {
				return resetMidResponse
			}
			return succeeds
		}
		f := startFleet(t, 6, 2, y, defaultConfiguration(), nil)
		defer f.close()
		a := f.send(f.nodes[0], f.newRequest("r", "/stream/x", 500, 20))
		require.IsType(t, &AbortedError{}, a.err)
		require.True(t, a.err.(*AbortedError).HeadSent)
		require.Empty(t, answers([]*requestResult{a}))
		require.Empty(t, onceOnly(y.recordedCalls(), []*requestResult{a}))
		require.Contains(t, a.response.bodyText(), "id: 10\n")
		require.NotContains(t, a.response.bodyText(), "id: 11")
	})
}

// TestUnstampedResponseIsDiscarded: a success that does not carry the worker's stamp is never passed on, not
// the first byte of it, whether or not the request may run again.
func TestUnstampedResponseIsDiscarded(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
			if k.Kind == "emit" {
				return unstampedResponse
			}
			return succeeds
		}
		f := startFleet(t, 7, 2, y, defaultConfiguration(), nil)
		defer f.close()
		for i, path := range routePaths {
			a := f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
			require.IsType(t, &AbortedError{}, a.err, path)
			require.Zero(t, a.response.headCount, path)
			require.Empty(t, a.response.bodyText(), path)
		}
	})
}

// TestRejectedDecodeFreesMemory: memory whose emission is never taken by anyone (all emitting workers turn it
// away, or none is there) is given back at the worker that keeps it.
func TestRejectedDecodeFreesMemory(t *testing.T) {
	for _, how := range []callOutcome{notExecuted, connectionRefused} {
		runInBubble(t, func(t *testing.T) {
			y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
			y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
				if k.Kind == "emit" {
					return how
				}
				return succeeds
			}
			f := startFleet(t, 8, 2, y, defaultConfiguration(), nil)
			defer f.close()
			for i, path := range routePaths {
				a := f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
				require.IsType(t, &RejectedError{}, a.err)
			}
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(y))
			require.NotEmpty(t, y.handles)
		})
	}
}

// TestDeadlineFreesMemory: the caller's time ends while every emitting worker is unreachable:
// the memory is given back, and the caller is refused.
func TestDeadlineFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		all := prefillAndDecodeWorkers("svc", 1, 3)
		y := newFakePlatform(all...)
		f := startFleet(t, 9, 1, y, defaultConfiguration(), nil)
		defer f.close()
		y.withLock(func() {
			y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
				if k.Kind == "emit" {
					return notExecuted
				}
				return succeeds
			}
		})
		r := f.newRequest("r", "/once/x", 500, 6)
		r.Timeout = 40 * time.Millisecond
		a := f.send(f.nodes[0], r)
		require.IsType(t, &RejectedError{}, a.err)
		time.Sleep(2 * time.Second)
		require.Empty(t, kept(y))
	})
}

// TestCallerDisconnectFreesMemory: a caller goes away at the moment at which its prompt has been
// read: nobody will fetch the memory, so it is given back.
func TestCallerDisconnectFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 2)...)
		f := startFleet(t, 10, 1, y, defaultConfiguration(), nil)
		defer f.close()
		ctx, stop := context.WithCancel(context.Background())
		y.withLock(func() { y.afterPrefill = func(*Request) { stop() } })
		a := f.sendWith(ctx, f.nodes[0], f.newRequest("r", "/once/x", 500, 6), &responseRecorder{})
		require.IsType(t, &RejectedError{}, a.err)
		require.Empty(t, onceOnly(y.recordedCalls(), []*requestResult{a}))
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, y.handles)
		require.Empty(t, kept(y))
	})
}

// TestSilentDecodeWorkerFreesMemory: an emitting worker is silent and never fetches the memory, and the
// request is taken elsewhere or ended: the memory is given back.
func TestSilentDecodeWorkerFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		hit := map[string]bool{}
		y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
			if k.Kind == "emit" && !hit[k.RequestID] {
				hit[k.RequestID] = true
				return silentBeforeRun
			}
			return succeeds
		}
		f := startFleet(t, 11, 1, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range []string{"/again/x", "/once/x"} {
			f.send(f.nodes[0], f.newRequest(fmt.Sprint("r", i), path, 500, 6))
			time.Sleep(2 * time.Second)
			require.Empty(t, kept(y), path)
		}
	})
}

// TestNoRetryAfterCallerDisconnect: an answer whose caller went away is not asked for at another worker.
func TestNoRetryAfterCallerDisconnect(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		f := startFleet(t, 12, 1, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 10 })
		defer f.close()
		for i, path := range routePaths {
			id := fmt.Sprint("r", i)
			a := f.sendWith(context.Background(), f.nodes[0], f.newRequest(id, path, 500, 6), &responseRecorder{callerGone: true})
			require.Error(t, a.err)
			emits := 0
			for _, k := range y.recordedCalls() {
				if k.Kind == "emit" && k.RequestID == id {
					emits++
				}
			}
			require.Equal(t, 1, emits, path)
		}
	})
}

// TestServerErrorRetriedOnlyIfIdempotent: a worker's own 500 is passed on where the request may not run again;
// where it may, another worker is asked.
func TestServerErrorRetriedOnlyIfIdempotent(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(prefillAndDecodeWorkers("svc", 2, 3)...)
		hit := map[string]bool{}
		y.outcome = func(k callRecord, _ *fakeWorker) callOutcome {
			if k.Kind == "emit" && !hit[k.RequestID] {
				hit[k.RequestID] = true
				return serverError
			}
			return succeeds
		}
		f := startFleet(t, 13, 1, y, defaultConfiguration(), func(o *Options) { o.RetryAllowance = 20 })
		defer f.close()
		a := f.send(f.nodes[0], f.newRequest("r0", "/once/x", 500, 6))
		require.NoError(t, a.err)
		require.Equal(t, 500, a.response.status)
		a = f.send(f.nodes[0], f.newRequest("r1", "/again/x", 500, 6))
		require.NoError(t, a.err)
		require.Equal(t, 200, a.response.status)
		require.Empty(t, answers([]*requestResult{a}))
	})
}

// TestWorkersWithoutRoles: a service whose workers know no parts is served without moving memory
// between them twice, and what may not be repeated runs once.
func TestWorkersWithoutRoles(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		y := newFakePlatform(newFakeWorkers("svc", "", 3)...)
		f := startFleet(t, 14, 2, y, defaultConfiguration(), nil)
		defer f.close()
		all := f.generateLoad(20, 4*time.Second, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), routePaths[i%4], 500, 6) })
		require.Empty(t, onceOnly(y.recordedCalls(), all))
		require.Empty(t, answers(all))
		for _, a := range all {
			require.NoError(t, a.err)
		}
		require.Empty(t, kept(y))
	})
}
