// The primary keeps the fleet's time with its monotonic clock. It logs an upper bound that is ahead of
// the time and never reports a time beyond the newest bound. A new primary continues from that bound,
// so the time does not go back when the primary changes. Steps of wall clocks have no effect: the wall
// clock is read only to start the time, when regimes first become active. Nodes extrapolate the time
// while there is no primary; a new primary advances its time according to their reports, by at most
// maxClockCatchUp, which is the time that a takeover may take.

package fleetstate

import (
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

const (
	clockBoundLead       = 2 * time.Second  // how far a new bound is ahead of the time
	clockAdvanceInterval = time.Second      // how often the primary advances the bound
	maxClockCatchUp      = 10 * time.Second // maximum by which reports of nodes advance the time
	clockCatchUpWindow   = 4 * time.Second  // how long a new primary accepts reports of nodes
)

// fleetClock is the clock state that the primary keeps between heartbeats.
type fleetClock struct {
	wallClock     func() time.Time
	baseTime      int64    // the fleet's time at baseTick
	baseTick      ids.Tick // the monotonic time at which the fleet's time was baseTime
	lastHeartbeat ids.Tick // monotonic time of the newest heartbeat, at which DueCommands was called
	bound         int64    // the bound that this primary proposed last, or the logged bound that it started from
	catchUp       int64    // by how much reports of nodes have advanced the time since baseTick was set
}

// ledContinuously reports whether this replica has been the primary without interruption: its newest
// heartbeat is at most one second old, and no other primary has advanced the bound.
func (c *fleetClock) ledContinuously(now ids.Tick, bound int64) bool {
	return c.bound == bound && c.bound != 0 && !now.Past(c.lastHeartbeat, time.Second)
}

// advanceClockCommands returns the command that advances the bound, if it is due. Unless this replica
// has been the primary without interruption, the time continues from the logged bound, or starts from
// the wall clock if there is no bound yet. Without a bound and without regimes, there is no fleet time to advance.
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

// Time returns the fleet's time in nanoseconds since 1970, or 0 if this replica has not
// been the primary without interruption, since it then does not know the time.
func (m *Machine) Time(now ids.Tick) int64 {
	if !m.clock.ledContinuously(now, m.timeBound) {
		return 0
	}
	return min(m.clock.baseTime+int64(now.Since(m.clock.baseTick)), m.timeBound)
}

// Observe processes a node's report that the fleet's time is at least minTime. Reports are used only
// during the first clockCatchUpWindow of this primary, and advance the time by at most
// maxClockCatchUp in total, so that a node whose clock jumped has a bounded effect. A report that
// would exceed this total is ignored.
func (m *Machine) Observe(now ids.Tick, minTime int64) {
	c := &m.clock
	if !c.ledContinuously(now, m.timeBound) || now.Past(c.baseTick, clockCatchUpWindow) {
		return
	}
	if ahead := minTime - c.baseTime - int64(now.Since(c.baseTick)); ahead > 0 && c.catchUp+ahead <= int64(maxClockCatchUp) {
		c.baseTime, c.catchUp = c.baseTime+ahead, c.catchUp+ahead
	}
}
