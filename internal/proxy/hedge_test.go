// Hedged prefills: prompts that a second worker prefills because the first one is slow.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
)

// hedgeConfiguration has a route whose latency target leaves time for a second prefill.
func hedgeConfiguration(maxAttempts int) []byte {
	return encodeConfiguration([]fleetstate.Route{{
		Name:            "short",
		Host:            routeHost,
		Prefix:          "/",
		Service:         "svc",
		Disaggregated:   true,
		MaxAttempts:     maxAttempts,
		DeadlineMs:      8000,
		LatencyTargetMs: 400,
	}}, fleetstate.Service{Name: "svc", Concurrency: 16})
}

// TestHedgedPrefill: one prefill worker takes two seconds for each prompt, although its reports are good. If
// the route allows two attempts, short prompts sent to it are also prefilled at another worker and are in
// time; no decode runs twice, every handle that isn't fetched is freed, and hedges use no more than their
// share of the retry budget. If the route allows one attempt, nothing is hedged.
func TestHedgedPrefill(t *testing.T) {
	for _, maxAttempts := range []int{1, 2} {
		t.Run(fmt.Sprint("attempts=", maxAttempts), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 78, 2, platform, hedgeConfiguration(maxAttempts), func(o *Options) {
					o.RetryAllowance, o.RoleCheckInterval = 40, -1
				})
				defer f.close()
				request := func(prefix string) func(i int) *Request {
					return func(i int) *Request { return f.newRequest(fmt.Sprint(prefix, i), "/x", 400, 2) }
				}
				f.generateLoad(40, 2*time.Second, request("warm"))
				for _, node := range f.nodes {
					require.Zero(t, node.counts.Hedges.Load(), "no worker is slow")
				}
				platform.withLock(func() { platform.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 2 * time.Second} })
				results := f.generateLoad(40, 4*time.Second, request("r"))
				time.Sleep(4 * time.Second)
				require.Empty(t, checkExecutions(platform.recordedCalls(), results))
				require.Empty(t, checkResponses(results))
				hedges, slowRequests := int64(0), 0
				for _, node := range f.nodes {
					hedges += node.counts.Hedges.Load()
				}
				for _, result := range results {
					require.NoError(t, result.err, result.ID)
					if result.endedAt-result.sentAt > time.Second {
						slowRequests++
					}
				}
				if maxAttempts == 1 {
					require.Zero(t, hedges)
					require.Greater(t, slowRequests, 8, "few requests use the slow worker")
					return
				}
				require.Greater(t, hedges, int64(8))
				require.Less(t, slowRequests, 5)
				// The budget is a fifth of the requests plus the allowance; hedges may use four fifths of it.
				require.LessOrEqual(t, float64(hedges), 0.8*(0.2*240+40))
				platform.mu.Lock()
				defer platform.mu.Unlock()
				for name, handle := range platform.handles {
					require.True(t, handle.fetches == 1 || handle.freed, "handle %s is neither fetched nor freed", name)
				}
			})
		})
	}
}

// TestDiscardedPrefillFreesMemory: the memory of a prefill that ends after its result is no longer needed
// is freed, and its reservation ends.
func TestDiscardedPrefillFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 1, 1)...)
		f := startFleet(t, 79, 1, platform, hedgeConfiguration(2), nil)
		defer f.close()
		n := f.nodes[0].Node
		request := f.newRequest("late", "/x", 400, 2)
		exchange := &exchange{node: n, request: request}
		worker := &n.currentList.Load().workers[0]
		c := &candidate{worker: worker, state: n.state(worker.ID)}
		c.reserve(request, 0, n.now())
		platform.withLock(func() {
			platform.handles["kv"] = &memoryHandle{worker: worker.ID, requestID: "late", release: func() {}}
		})
		exchange.discardPrefill(prefillOutcome{candidate: c, memory: &PrefillResult{Handle: "kv"}})
		time.Sleep(time.Second)
		platform.mu.Lock()
		defer platform.mu.Unlock()
		require.True(t, platform.handles["kv"].freed)
		require.NotZero(t, c.reservation.ended)
	})
}

// TestPrefillOverheadMedian: the median of the newest prefills is available once there are enough.
func TestPrefillOverheadMedian(t *testing.T) {
	var o prefillOverhead
	for i := range minOverheadSamples - 1 {
		o.observe(time.Duration(i) * time.Millisecond)
		_, ok := o.median()
		require.False(t, ok)
	}
	o.observe(time.Hour)
	got, ok := o.median()
	require.True(t, ok)
	require.Equal(t, 4*time.Millisecond, got)
	for range overheadSamples {
		o.observe(70 * time.Millisecond)
	}
	got, _ = o.median()
	require.Equal(t, 70*time.Millisecond, got, "old samples still count")
	o.observe(-time.Second)
	got, _ = o.median()
	require.Equal(t, 70*time.Millisecond, got)
}
