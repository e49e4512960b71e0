// Tests of the retry times of rejected requests.

package handoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/ids"
)

// TestRetryAfterScheduler checks that the retries of many requests rejected at once are spread at
// the completion rate, none before the minimum or past the booking horizon; that few are booked
// soon; and that bookings for seconds in the past no longer count.
func TestRetryAfterScheduler(t *testing.T) {
	at := func(ms int) ids.Tick { return ids.Tick(time.Duration(100_000+ms) * time.Millisecond) }
	var scheduler RetryAfterScheduler
	for s := range 6 {
		scheduler.advance(at(1000*s), int64(100*s))
	}
	require.InDelta(t, 100, scheduler.completionRate, 5)
	bySecond := map[int]int{}
	for range 640 {
		d := scheduler.Next(at(5000), 500, time.Second)
		require.GreaterOrEqual(t, d, time.Second)
		require.Less(t, d, (bookingHorizonSeconds+1)*time.Second)
		bySecond[int(d/time.Second)]++
	}
	require.GreaterOrEqual(t, len(bySecond), 5, "about 125 per second: %v", bySecond)
	require.LessOrEqual(t, len(bySecond), 7)
	require.InDelta(t, 125, bySecond[1], 8)
	require.InDelta(t, 125, bySecond[3], 8)
	d := scheduler.Next(at(14000), 1400, time.Second)
	require.Less(t, d, 2*time.Second, "the earlier bookings are in the past")
	var idle RetryAfterScheduler
	for range 100 {
		require.Less(t, idle.Next(at(0), 0, time.Second), (bookingHorizonSeconds+1)*time.Second)
	}
}
