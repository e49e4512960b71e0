// Prompts that are read at a second worker, since the first takes long.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/internal/fleetstate"
)

// hedgePolicy gives routes whose target leaves room for a second read.
func hedgePolicy(maxAttempts int) []byte {
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

// TestHedgedPrefill: one reading worker takes two seconds for each prompt, though its reports are
// good. Where the route allows two attempts, short prompts that fall to it are read at another
// worker besides and are in time; nothing runs twice, and every handle that nobody fetches is given
// back. Hedges take no more than their part of the retry budget. Where the route allows one
// attempt, none is hedged.
func TestHedgedPrefill(t *testing.T) {
	for _, maxAttempts := range []int{1, 2} {
		t.Run(fmt.Sprint("attempts=", maxAttempts), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				platform := newFakePlatform(prefillAndDecodeWorkers("svc", 4, 4)...)
				f := startFleet(t, 78, 2, platform, hedgePolicy(maxAttempts), func(o *Options) {
					o.RetryAllowance, o.RoleChangeInterval = 40, -1
				})
				defer f.close()
				request := func(prefix string) func(i int) *Request {
					return func(i int) *Request { return f.newRequest(fmt.Sprint(prefix, i), "/x", 400, 2) }
				}
				f.generateLoad(40, 2*time.Second, request("warm"))
				for _, node := range f.nodes {
					require.Zero(t, node.counts.Hedges.Load(), "all reads are alike")
				}
				platform.withLock(func() { platform.extraPrefillTime = map[string]time.Duration{"svc-prefill-0": 2 * time.Second} })
				results := f.generateLoad(40, 4*time.Second, request("r"))
				time.Sleep(4 * time.Second)
				require.Empty(t, onceOnly(platform.recordedCalls(), results))
				require.Empty(t, answers(results))
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
					require.Greater(t, slowRequests, 8, "some fall to the slow worker")
					return
				}
				require.Greater(t, hedges, int64(8))
				require.Less(t, slowRequests, 5)
				// a fifth of the requests and the allowance, of which hedges may use four fifths
				require.LessOrEqual(t, float64(hedges), 0.8*(0.2*240+40))
				platform.mu.Lock()
				defer platform.mu.Unlock()
				for name, handle := range platform.handles {
					require.True(t, handle.fetches == 1 || handle.freed, "handle %s is kept for nobody", name)
				}
			})
		})
	}
}

// TestDiscardedPrefillFreesMemory: the memory of a read that came too late is given back, and what was booked for
// it ends.
func TestDiscardedPrefillFreesMemory(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 1, 1)...)
		f := startFleet(t, 79, 1, platform, hedgePolicy(2), nil)
		defer f.close()
		n := f.nodes[0].Node
		request := f.newRequest("late", "/x", 400, 2)
		exchange := &exchange{node: n, request: request}
		worker := &n.endpoints.Load().workers[0]
		c := &pick{worker: worker, state: n.state(worker.ID)}
		c.reserve(request, 0, n.now())
		platform.withLock(func() {
			platform.handles["kv"] = &memoryHandle{worker: worker.ID, requestID: "late", release: func() {}}
		})
		exchange.discardRead(prefillRead{pick: c, memory: &PrefillResult{Handle: "kv"}})
		time.Sleep(time.Second)
		platform.mu.Lock()
		defer platform.mu.Unlock()
		require.True(t, platform.handles["kv"].freed)
		require.NotZero(t, c.reservation.ended)
	})
}

// TestPrefillOverheadMedian: the median of the newest reads is given, once there are enough.
func TestPrefillOverheadMedian(t *testing.T) {
	var o readOverhead
	for i := range minOverheadReads - 1 {
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
	require.Equal(t, 70*time.Millisecond, got, "what is old is forgotten")
	o.observe(-time.Second)
	got, _ = o.median()
	require.Equal(t, 70*time.Millisecond, got)
}
