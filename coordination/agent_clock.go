// The agent's bounds on the state machine's time, and the check that its view is current.

package coordination

import "keelstair.example/ids"

// timeSample is a time received from the core, with the ticks at which it was requested and received.
type timeSample struct {
	time      int64
	requested ids.Tick
	received  ids.Tick
}

// Time returns a lower and an upper bound of the state machine's time in nanoseconds (see
// Timekeeper). Both are zero if no time was received since this machine last slept or its clock
// jumped. The bounds allow for clocks that differ in speed by a tenth. The upper bound never
// decreases, except that forgetTime resets it.
func (a *Agent) Time() (low, high int64) {
	t := a.sample.Load()
	if t == nil {
		return 0, 0
	}
	now := a.options.Host.Clock.Now()
	low = t.time + int64(now.Since(t.received))/10*9
	high = t.time + int64(now.Since(t.requested))/10*11
	for {
		previous := a.maxTime.Load()
		if high <= previous {
			return min(low, previous), previous
		}
		if a.maxTime.CompareAndSwap(previous, high) {
			return low, high
		}
	}
}

// forgetTime discards the sampled time after a gap in this machine's ticks, since the length of the
// gap is unknown.
func (a *Agent) forgetTime() {
	a.sample.Store(nil)
	a.maxTime.Store(0)
}

// Current reports whether this node's view is current: its lease is valid, and it has applied all
// entries up to the renewal that last made the lease valid. The core waits for such a node, or for
// its lease to expire, before it considers an entry applied by every node.
func (a *Agent) Current() bool {
	return a.LeaseValid() && uint64(a.Seq()) >= a.minSeq.Load()
}
