// A node's word from the core: how late the fleet's time may be by now, and whether
// what the core decides still reaches this node.

package coordination

import "keelstair.example/ids"

// heardTime is a time that the core told, with when it was asked and when it was told.
type heardTime struct {
	at   int64
	sent ids.Tick
	got  ids.Tick
}

// Time gives two bounds of the machine's time (see Timekeeper), in its own unit of
// nanoseconds; zeros if none was told since this machine last slept, or its clock leapt.
// Clocks may differ in speed by a tenth. The upper bound goes back over neither.
func (a *Agent) Time() (low, high int64) {
	t := a.clock.Load()
	if t == nil {
		return 0, 0
	}
	now := a.opt.Host.Clock.Now()
	low = t.at + int64(now.Since(t.got))/10*9
	high = t.at + int64(now.Since(t.sent))/10*11
	for {
		old := a.high.Load()
		if high <= old {
			return min(low, old), old
		}
		if a.high.CompareAndSwap(old, high) {
			return low, high
		}
	}
}

// forget drops the time after a gap in this machine's ticks: how long it was is not known.
func (a *Agent) forget() {
	a.clock.Store(nil)
	a.high.Store(0)
}

// Word tells that this node's word is good: its lease holds, and all news up to the
// renewal that revived it is folded. The core waits for such a node, or for its lease to
// run out, before it counts a thing as seen by all.
func (a *Agent) Word() bool {
	return a.Awake() && uint64(a.Seq()) >= a.floor.Load()
}
