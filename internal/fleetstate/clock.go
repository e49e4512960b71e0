// The fleet's time. The primary counts it by its own steady clock and writes a bound
// ahead of it; no answer goes beyond the newest bound, and a new primary goes on from
// there. So it never goes back, whoever leads, and jumps of wall clocks do nothing: the
// wall is read once, when regimes first come in force. What passes while nobody leads is
// made up for by the nodes, which count on, as far as a takeover may take.

package fleetstate

import (
	"time"

	"keelstair.example/coordination"
	"keelstair.example/ids"
)

const (
	clockBoundLead       = 2 * time.Second  // how far the bound stands ahead
	clockAdvanceInterval = time.Second      // how often it is moved on
	maxClockCatchUp      = 10 * time.Second // the most that nodes make up for
	clockCatchUpWindow   = 4 * time.Second  // how long a new primary listens to them
)

// fleetClock is what the primary remembers between heartbeats.
type fleetClock struct {
	wallClock     func() time.Time
	baseTime      int64    // the time at a tick
	baseTick      ids.Tick // the tick
	lastHeartbeat ids.Tick // the newest heartbeat
	bound         int64    // the bound that base and at go with
	catchUp       int64    // what nodes made up for since
}

// ledContinuously tells that this machine has led without a break and nobody else moved the
// time on.
func (c *fleetClock) ledContinuously(now ids.Tick, bound int64) bool {
	return c.bound == bound && c.bound != 0 && !now.Past(c.lastHeartbeat, time.Second)
}

// advanceClock makes the command that moves the bound on, where one is due.
func (m *Machine) advanceClock(now ids.Tick) []coordination.Command {
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
	here := c.baseTime + int64(now.Since(c.baseTick))
	if m.timeBound-here > int64(clockBoundLead-clockAdvanceInterval) {
		return nil
	}
	c.bound = here + int64(clockBoundLead)
	return []coordination.Command{{Kind: AdvanceClockKind, Body: coordination.MustMarshal(&AdvanceClock{c.bound})}}
}

// Time gives the fleet's time, in nanoseconds since 1970; 0 while it is not known.
func (m *Machine) Time(now ids.Tick) int64 {
	if !m.clock.ledContinuously(now, m.timeBound) {
		return 0
	}
	return min(m.clock.baseTime+int64(now.Since(m.clock.baseTick)), m.timeBound)
}

// Observe takes a node's word of what the time is not below. It counts only while this
// machine has led for a short while, and only so far: one whose clock leapt moves little.
func (m *Machine) Observe(now ids.Tick, minTime int64) {
	c := &m.clock
	if !c.ledContinuously(now, m.timeBound) || now.Past(c.baseTick, clockCatchUpWindow) {
		return
	}
	if ahead := minTime - c.baseTime - int64(now.Since(c.baseTick)); ahead > 0 && c.catchUp+ahead <= int64(maxClockCatchUp) {
		c.baseTime, c.catchUp = c.baseTime+ahead, c.catchUp+ahead
	}
}
