//go:build race

// Timers for builds with the race detector. In a testing/synctest bubble, Go 1.26 lets two
// threads use the same race detector context concurrently if both find an expired timer, by
// receiving from its channel or by starting it with a zero duration. The detector then crashes
// or fails one of its own checks (tsan_rtl.cpp). The runtime runs timers that call a function
// under a lock, so here a function sends on the channel, and no timer is started with a zero
// duration. TestExpiredTimers reproduces the problem.

package host

import (
	"sync"
	"time"
)

// Timer is a timer that sends the time on its channel C when it expires.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer // nil if the timer expired immediately
}

// NewTimer starts a timer that expires after d.
func NewTimer(d time.Duration) *Timer {
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- time.Now()
		return &Timer{C: c}
	}
	return &Timer{c, time.AfterFunc(d, func() { c <- time.Now() })}
}

// Stop stops the timer, and returns false if it has already expired or been stopped.
func (t *Timer) Stop() bool { return t.timer != nil && t.timer.Stop() }

// Ticker is a ticker that sends the time on its channel C once per period.
type Ticker struct {
	C       <-chan time.Time
	c       chan time.Time
	done    chan struct{}
	mu      sync.Mutex
	stopped bool
}

// NewTicker starts a ticker with period d.
func NewTicker(d time.Duration) *Ticker {
	c := make(chan time.Time, 1)
	t := &Ticker{C: c, c: c, done: make(chan struct{})}
	go t.run(d)
	return t
}

// run calls tick once per period d until the ticker is stopped.
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

// tick sends the time unless the ticker is stopped. It drops the tick if the channel is full.
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

// Stop stops the ticker. As with time.Ticker, no tick is received afterwards.
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
