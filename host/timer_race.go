//go:build race

// Timers for runs under the race detector. Within a bubble of testing/synctest, Go 1.26 lets two
// threads use one context of the detector's at once where both find a timer that has expired:
// when they receive from its channel, or start it with no span left. The detector then crashes
// or ends with a failed check of its own (tsan_rtl.cpp). Timers that call a function after some
// span are run under a lock there, so here a function sends to the channel, and no timer is
// started for no span. TestExpiredTimers shows it.

package host

import (
	"sync"
	"time"
)

// Timer is a timer whose channel C gets the time once a span went by.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer // nil if it went off at once
}

// NewTimer starts a timer.
func NewTimer(d time.Duration) *Timer {
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- time.Now()
		return &Timer{C: c}
	}
	return &Timer{c, time.AfterFunc(d, func() { c <- time.Now() })}
}

// Stop ends the timer; false if it has gone off.
func (t *Timer) Stop() bool { return t.timer != nil && t.timer.Stop() }

// Ticker is a ticker whose channel C gets the time once in each span.
type Ticker struct {
	C       <-chan time.Time
	c       chan time.Time
	done    chan struct{}
	mu      sync.Mutex
	stopped bool
}

// NewTicker starts a ticker.
func NewTicker(d time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c, c: c, done: make(chan struct{})}
	go t.run(d)
	return t
}

// run ticks until the ticker is stopped.
func (t *Ticker) run(d time.Duration) {
	for {
		timer := NewTimer(d)
		select {
		case <-t.done:
			timer.Stop()
			return
		case now := <-timer.C:
			t.tick(now)
		}
	}
}

// tick sends the time, unless the ticker was stopped; a tick that nobody takes is dropped.
func (t *Ticker) tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.c <- now:
	default:
	}
}

// Stop ends the ticker; as with time.Ticker, no tick is received after it.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	close(t.done)
	select {
	case <-t.c:
	default:
	}
}
