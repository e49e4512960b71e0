package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// TestSlowDecoder: a worker whose events come at five times the pauses of others gets little to emit
// within a second, though most of its places are free; once it is as fast as the others it gets its
// part again.
func TestSlowDecoder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		y := newCluster(both("svc", 3, 3)...)
		f := build(t, 60, 2, y, plain(), nil)
		defer f.close()
		share := func(duration time.Duration) float64 {
			from := y.now()
			f.load(30, duration, func(i int) *Request { return f.req(fmt.Sprint("r", i), "/stream/x", 400, 12) })
			all := 0
			for _, k := range y.directory() {
				if k.Kind == "emit" && k.At >= from {
					all++
				}
			}
			return float64(len(sentTo(y.directory(), "svc-decode-1.1", from, time.Hour))) / float64(all)
		}
		require.InDelta(t, 0.33, share(4*time.Second), 0.1)
		y.at(func() { y.slowStep = map[string]time.Duration{"svc-decode-1": 5 * y.step} })
		share(time.Second)
		require.Less(t, share(4*time.Second), 0.12)
		y.at(func() { y.slowStep = nil })
		share(2 * time.Second)
		require.InDelta(t, 0.33, share(4*time.Second), 0.12)
	})
}

// TestEventGap: the usual pause follows the pauses that are seen and is forgotten after a while.
func TestEventGap(t *testing.T) {
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

// TestSlowDecodeCost: only workers that are slow beside the faster quarter cost more.
func TestSlowDecodeCost(t *testing.T) {
	ms := time.Millisecond
	list := []pick{{meanEventGap: 20 * ms}, {meanEventGap: 30 * ms}, {meanEventGap: 80 * ms}, {meanEventGap: 0}, {meanEventGap: 25 * ms}}
	addSlowDecodeCost(list)
	for i, want := range []float64{0, 0, 200, 0, 0} {
		require.InDelta(t, want, list[i].cost, 1e-9, "worker %d", i)
	}
	alone := []pick{{meanEventGap: 500 * ms}, {meanEventGap: 0}}
	addSlowDecodeCost(alone)
	require.Zero(t, alone[0].cost)
}
