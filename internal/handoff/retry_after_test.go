// A crowd's appointments.

package handoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// TestRetryAfterScheduler: many that are bounced at once are spread over seconds by the rate of
// completions, none sooner than the least and none later than the book reaches; a few
// come back soon; and seconds that went by are free again.
func TestRetryAfterScheduler(t *testing.T) {
	at := func(ms int) ids.Tick { return ids.Tick(time.Duration(100_000+ms) * time.Millisecond) }
	var b RetryAfterScheduler
	for s := range 6 {
		b.advance(at(1000*s), int64(100*s))
	}
	require.InDelta(t, 100, b.completionRate, 5)
	by := map[int]int{}
	for range 640 {
		d := b.Next(at(5000), 500, time.Second)
		require.GreaterOrEqual(t, d, time.Second)
		require.Less(t, d, (bookingHorizonSeconds+1)*time.Second)
		by[int(d/time.Second)]++
	}
	require.GreaterOrEqual(t, len(by), 5, "some 125 a second: %v", by)
	require.LessOrEqual(t, len(by), 7)
	require.InDelta(t, 125, by[1], 8)
	require.InDelta(t, 125, by[3], 8)
	d := b.Next(at(14000), 1400, time.Second)
	require.Less(t, d, 2*time.Second, "the crowd has had its time")
	var idle RetryAfterScheduler
	for range 100 {
		require.Less(t, idle.Next(at(0), 0, time.Second), (bookingHorizonSeconds+1)*time.Second)
	}
}
