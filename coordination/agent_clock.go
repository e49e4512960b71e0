// A node's word from the core: how late the fleet's time may be by now, and whether
// what the core decides still reaches this node.

package coordination

import "keelstair.example/ids"

// timeSample is a time that the core told, with when it was asked and when it was told.
type timeSample struct {
	time      int64
	requested ids.Tick
	received  ids.Tick
}

// Time gives two bounds of the machine's time (see Timekeeper), in its own unit of
// nanoseconds; zeros if none was told since this machine last slept, or its clock leapt.
// Clocks may differ in speed by a tenth. The upper bound goes back over neither.
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

// forgetTime drops the time after a gap in this machine's ticks: how long it was is not known.
func (a *Agent) forgetTime() {
	a.sample.Store(nil)
	a.maxTime.Store(0)
}

// Current tells that this node's word is good: its lease holds, and all news up to the
// renewal that revived it is folded. The core waits for such a node, or for its lease to
// run out, before it counts a thing as seen by all.
func (a *Agent) Current() bool {
	return a.LeaseValid() && uint64(a.Seq()) >= a.minSeq.Load()
}
