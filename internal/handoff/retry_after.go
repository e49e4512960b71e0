// When a bounced caller should come back. The node keeps a book of appointments: a
// second has room for as many as it completed in one of late, and each bounced caller
// is given the first second with room, somewhere within it. So a crowd comes back at
// the rate at which it can be served, and not as one.

package handoff

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"keelstair.example/ids"
)

const (
	bookingHorizonSeconds = 16  // seconds that may be booked ahead
	overbookingFactor     = 1.3 // of what was completed: some will find room sooner than was thought
	defaultMinPerSecond   = 20  // and never less, unless the book says so
)

// RetryAfterScheduler is a book of appointments, ready for use. Least is how many a second has room for at
// least; 0 is 20.
type RetryAfterScheduler struct {
	MinPerSecond   int
	mu             sync.Mutex
	firstSecond    int64 // the second that the counts begin at
	booked         [bookingHorizonSeconds]int
	lastCompleted  int64
	completionRate float64 // completions a second, smoothed
}

// advance moves the book on to a second. The caller holds mu.
func (t *RetryAfterScheduler) advance(now ids.Tick, done int64) {
	sec := int64(now) / int64(time.Second)
	if t.firstSecond == 0 || sec-t.firstSecond > bookingHorizonSeconds {
		t.firstSecond, t.booked, t.lastCompleted = sec, [bookingHorizonSeconds]int{}, done
		return
	}
	for ; t.firstSecond < sec; t.firstSecond++ {
		t.completionRate += 0.5 * (float64(done-t.lastCompleted) - t.completionRate)
		t.lastCompleted = done
		copy(t.booked[:], t.booked[1:])
		t.booked[bookingHorizonSeconds-1] = 0
	}
}

// Next books an appointment no sooner than a span from now; done are completions so far.
func (t *RetryAfterScheduler) Next(now ids.Tick, done int64, minimum time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now, done)
	room := max(cmp.Or(t.MinPerSecond, defaultMinPerSecond), int(t.completionRate*overbookingFactor))
	at := min(int(minimum/time.Second), bookingHorizonSeconds-1)
	for at < bookingHorizonSeconds-1 && t.booked[at] >= room {
		at++
	}
	t.booked[at]++
	return max(minimum, time.Duration(at)*time.Second) + rand.N(time.Second)
}
