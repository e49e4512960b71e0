// The fleet's time is kept by the primary with its monotonic clock. The primary logs an upper
// bound ahead of the time, never reports a time beyond the newest bound, and a new primary
// continues from that bound. The time therefore never goes back, whoever is primary, and steps of
// wall clocks have no effect: the wall clock is read once, when regimes first become active. Time
// that passes without a primary is caught up from the nodes, which keep counting, by at most
// maxClockCatchUp, as long as a takeover may take.

package fleetstate

import (
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

const (
	clockBoundLead       = 2 * time.Second  // how far the bound is ahead of the time
	clockAdvanceInterval = time.Second      // how often the bound is advanced
	maxClockCatchUp      = 10 * time.Second // maximum by which reports of nodes advance the time
	clockCatchUpWindow   = 4 * time.Second  // how long a new primary accepts reports of nodes
)

// fleetClock is the clock state that the primary keeps between heartbeats.
type fleetClock struct {
	wallClock     func() time.Time
	baseTime      int64    // the fleet's time at baseTick
	baseTick      ids.Tick // the monotonic time that belongs to baseTime
	lastHeartbeat ids.Tick // monotonic time of the newest heartbeat
	bound         int64    // the bound that this primary proposed last, or began with
	catchUp       int64    // the time caught up from nodes since baseTick was set
}

// ledContinuously reports whether this machine has been the primary without a break since the
// newest heartbeat and no other primary has advanced the bound.
func (c *fleetClock) ledContinuously(now ids.Tick, bound int64) bool {
	return c.bound == bound && c.bound != 0 && !now.Past(c.lastHeartbeat, time.Second)
}

// advanceClockCommands returns the command that advances the bound, if it is due. It begins a new count
// from the bound, or from the wall clock if there is none, unless this machine led continuously.
func (m *Machine) advanceClockCommands(now ids.Tick) []coordination.Command {
	c := &m.clock
	if m.timeBound == 0 && !m.hasRegimes {
		return nil
	}
	if !c.ledContinuously(now, m.timeBound) {
		if c.baseTime, c.baseTick = m.timeBound, now; m.timeBound == 0 {
			c.baseTime = c.wallClock().UnixNano()
		}
		c.bound, c.catchUp = m.timeBound, 0
	}
	c.lastHeartbeat = now
	current := c.baseTime + int64(now.Since(c.baseTick))
	if m.timeBound-current > int64(clockBoundLead-clockAdvanceInterval) {
		return nil
	}
	c.bound = current + int64(clockBoundLead)
	return []coordination.Command{{Kind: AdvanceClockKind, Body: coordination.MustMarshal(&AdvanceClock{c.bound})}}
}

// Time returns the fleet's time in nanoseconds since 1970, or 0 while it is not known.
func (m *Machine) Time(now ids.Tick) int64 {
	if !m.clock.ledContinuously(now, m.timeBound) {
		return 0
	}
	return min(m.clock.baseTime+int64(now.Since(m.clock.baseTick)), m.timeBound)
}

// Observe takes a node's report that the fleet's time is at least minTime. Reports count only
// during the first clockCatchUpWindow of this primary, and advance the time by at most
// maxClockCatchUp in all, so that a node whose clock jumped has a bounded effect.
func (m *Machine) Observe(now ids.Tick, minTime int64) {
	c := &m.clock
	if !c.ledContinuously(now, m.timeBound) || now.Past(c.baseTick, clockCatchUpWindow) {
		return
	}
	if ahead := minTime - c.baseTime - int64(now.Since(c.baseTick)); ahead > 0 && c.catchUp+ahead <= int64(maxClockCatchUp) {
		c.baseTime, c.catchUp = c.baseTime+ahead, c.catchUp+ahead
	}
}
