// This file assigns Retry-After times to rejected requests. The node books retries into the coming
// seconds: each second takes about as many as the node has recently completed per second, and a
// rejected request gets a random time within the first second that is not full. Requests that are
// rejected at the same time therefore return at the rate at which they can be served, and not all
// together.

package handoff

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	bookingHorizonSeconds = 16  // retries are booked at most this far ahead
	overbookingFactor     = 1.3 // times the completion rate, since some retries are served sooner than estimated
	defaultMinPerSecond   = 20  // lower bound of the limit of retries per second if MinPerSecond is 0
)

// RetryAfterScheduler assigns retry times to rejected requests. Its zero value is ready for use.
// MinPerSecond is the lower bound of the number of retries that may be booked for a second; 0
// means 20.
type RetryAfterScheduler struct {
	MinPerSecond   int
	mu             sync.Mutex
	firstSecond    int64 // the second of booked[0]
	booked         [bookingHorizonSeconds]int
	lastCompleted  int64
	completionRate float64 // completions per second, smoothed exponentially
}

// advance moves the bookings on to the second of now. The caller holds mu.
func (t *RetryAfterScheduler) advance(now ids.Tick, completed int64) {
	second := int64(now) / int64(time.Second)
	if t.firstSecond == 0 || second-t.firstSecond > bookingHorizonSeconds {
		t.firstSecond, t.booked, t.lastCompleted = second, [bookingHorizonSeconds]int{}, completed
		return
	}
	for ; t.firstSecond < second; t.firstSecond++ {
		t.completionRate += 0.5 * (float64(completed-t.lastCompleted) - t.completionRate)
		t.lastCompleted = completed
		copy(t.booked[:], t.booked[1:])
		t.booked[bookingHorizonSeconds-1] = 0
	}
}

// Next books a retry and returns the time until then, at least minimum. completed is the number of
// requests completed so far.
func (t *RetryAfterScheduler) Next(now ids.Tick, completed int64, minimum time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now, completed)
	perSecond := max(cmp.Or(t.MinPerSecond, defaultMinPerSecond), int(t.completionRate*overbookingFactor))
	second := min(int(minimum/time.Second), bookingHorizonSeconds-1)
	for second < bookingHorizonSeconds-1 && t.booked[second] >= perSecond {
		second++
	}
	t.booked[second]++
	return max(minimum, time.Duration(second)*time.Second) + rand.N(time.Second)
}
