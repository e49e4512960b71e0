// Decode workers whose events are slow.

package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// TestSlowDecodeWorkerGetsLessWork: a worker with five times the event interval of the others gets few decodes
// after a second, although most of its slots are free. Once it is as fast as the others it gets its share
// again.
func TestSlowDecodeWorkerGetsLessWork(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		platform := newFakePlatform(prefillAndDecodeWorkers("svc", 3, 3)...)
		f := startFleet(t, 60, 2, platform, defaultConfiguration(), nil)
		defer f.close()
		slowWorkerShare := func(duration time.Duration) float64 {
			from := platform.elapsed()
			f.generateLoad(30, duration, func(i int) *Request { return f.newRequest(fmt.Sprint("r", i), "/stream/x", 400, 12) })
			total := 0
			for _, call := range platform.recordedCalls() {
				if call.Kind == "emit" && call.At >= from {
					total++
				}
			}
			return float64(len(callsToWorker(platform.recordedCalls(), "svc-decode-1.1", from, time.Hour))) / float64(total)
		}
		require.InDelta(t, 0.33, slowWorkerShare(4*time.Second), 0.1)
		platform.withLock(func() {
			platform.slowEventIntervals = map[string]time.Duration{"svc-decode-1": 5 * platform.eventInterval}
		})
		slowWorkerShare(time.Second)
		require.Less(t, slowWorkerShare(4*time.Second), 0.12)
		platform.withLock(func() { platform.slowEventIntervals = nil })
		slowWorkerShare(2 * time.Second)
		require.InDelta(t, 0.33, slowWorkerShare(4*time.Second), 0.12)
	})
}

// TestEventIntervalAverage: the average follows the observed intervals and expires.
func TestEventIntervalAverage(t *testing.T) {
	var g eventGap
	now := ids.Tick(time.Hour)
	require.Zero(t, g.current(now))
	g.observe(20*time.Millisecond, now)
	require.Equal(t, 20*time.Millisecond, g.current(now))
	for range 60 {
		g.observe(100*time.Millisecond, now)
	}
	require.InDelta(t, 0.1, g.current(now).Seconds(), 0.005)
	require.Zero(t, g.current(now.Add(eventGapTTL+1)))
	g.observe(30*time.Millisecond, now.Add(2*eventGapTTL))
	require.Equal(t, 30*time.Millisecond, g.current(now.Add(2*eventGapTTL)))
}

// TestSlowDecodeCost: only workers that are slow compared with the fastest quarter get a cost.
func TestSlowDecodeCost(t *testing.T) {
	ms := time.Millisecond
	list := []candidate{{meanEventGap: 20 * ms}, {meanEventGap: 30 * ms}, {meanEventGap: 80 * ms}, {meanEventGap: 0}, {meanEventGap: 25 * ms}}
	addSlowDecodeCost(list)
	for i, want := range []float64{0, 0, 200, 0, 0} {
		require.InDelta(t, want, list[i].cost, 1e-9, "worker %d", i)
	}
	single := []candidate{{meanEventGap: 500 * ms}, {meanEventGap: 0}}
	addSlowDecodeCost(single)
	require.Zero(t, single[0].cost)
}
