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
	return policy([]fleetstate.Route{{
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
			bubble(t, func(t *testing.T) {
				y := newCluster(both("svc", 4, 4)...)
				f := build(t, 78, 2, y, hedgePolicy(maxAttempts), func(o *Options) {
					o.RetryAllowance, o.RoleChangeInterval = 40, -1
				})
				defer f.close()
				request := func(prefix string) func(i int) *Request {
					return func(i int) *Request { return f.req(fmt.Sprint(prefix, i), "/x", 400, 2) }
				}
				f.load(40, 2*time.Second, request("warm"))
				for _, b := range f.nodes {
					require.Zero(t, b.counts.Hedges.Load(), "all reads are alike")
				}
				y.at(func() { y.slowRead = map[string]time.Duration{"svc-prefill-0": 2 * time.Second} })
				all := f.load(40, 4*time.Second, request("r"))
				time.Sleep(4 * time.Second)
				require.Empty(t, onceOnly(y.directory(), all))
				require.Empty(t, answers(all))
				hedges, late := int64(0), 0
				for _, b := range f.nodes {
					hedges += b.counts.Hedges.Load()
				}
				for _, a := range all {
					require.NoError(t, a.err, a.ID)
					if a.end-a.at > time.Second {
						late++
					}
				}
				if maxAttempts == 1 {
					require.Zero(t, hedges)
					require.Greater(t, late, 8, "some fall to the slow worker")
					return
				}
				require.Greater(t, hedges, int64(8))
				require.Less(t, late, 5)
				// a fifth of the requests and the allowance, of which hedges may use four fifths
				require.LessOrEqual(t, float64(hedges), 0.8*(0.2*240+40))
				y.mu.Lock()
				defer y.mu.Unlock()
				for name, h := range y.handles {
					require.True(t, h.had == 1 || h.freed, "handle %s is kept for nobody", name)
				}
			})
		})
	}
}

// TestDiscardedRead: the memory of a read that came too late is given back, and what was booked for
// it ends.
func TestDiscardedRead(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 1, 1)...)
		f := build(t, 79, 1, y, hedgePolicy(2), nil)
		defer f.close()
		n := f.nodes[0].Node
		request := f.req("late", "/x", 400, 2)
		exchange := &exchange{node: n, request: request}
		reader := &n.endpoints.Load().workers[0]
		c := &pick{worker: reader, state: n.state(reader.ID)}
		c.reserve(request, 0, n.now())
		y.at(func() { y.handles["kv"] = &handle{worker: reader.ID, req: "late", let: func() {}} })
		exchange.discardPrefill(prefillOutcome{pick: c, memory: &PrefillResult{Handle: "kv"}})
		time.Sleep(time.Second)
		y.mu.Lock()
		defer y.mu.Unlock()
		require.True(t, y.handles["kv"].freed)
		require.NotZero(t, c.reservation.ended)
	})
}

// TestReadOverhead: the median of the newest reads is given, once there are enough.
func TestReadOverhead(t *testing.T) {
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
	require.Equal(t, 70*time.Millisecond, got, "what is old is forgotten")
	o.observe(-time.Second)
	got, _ = o.median()
	require.Equal(t, 70*time.Millisecond, got)
}
