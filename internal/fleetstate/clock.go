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
	clockLead     = 2 * time.Second  // how far the bound stands ahead
	clockInterval = time.Second      // how often it is moved on
	clockMakeUp   = 10 * time.Second // the most that nodes make up for
	clockListen   = 4 * time.Second  // how long a new primary listens to them
)

// clock is what the primary remembers between heartbeats.
type clock struct {
	wall    func() time.Time
	base    int64    // the time at a tick
	at      ids.Tick // the tick
	last    ids.Tick // the newest heartbeat
	drift   int64    // the bound that base and at go with
	catchUp int64    // what nodes made up for since
}

// steady tells that this machine has led without a break and nobody else moved the
// time on.
func (c *clock) steady(now ids.Tick, bound int64) bool {
	return c.drift == bound && c.drift != 0 && !now.Past(c.last, time.Second)
}

// tick makes the command that moves the bound on, where one is due.
func (m *Machine) tick(now ids.Tick) []coordination.Command {
	c := &m.clock
	if m.time == 0 && !m.governed {
		return nil
	}
	if !c.steady(now, m.time) {
		if c.base, c.at = m.time, now; m.time == 0 {
			c.base = c.wall().UnixNano()
		}
		c.drift, c.catchUp = m.time, 0
	}
	c.last = now
	here := c.base + int64(now.Since(c.at))
	if m.time-here > int64(clockLead-clockInterval) {
		return nil
	}
	c.drift = here + int64(clockLead)
	return []coordination.Command{{Kind: AdvanceClockKind, Body: coordination.MustMarshal(&AdvanceClock{c.drift})}}
}

// Time gives the fleet's time, in nanoseconds since 1970; 0 while it is not known.
func (m *Machine) Time(now ids.Tick) int64 {
	if !m.clock.steady(now, m.time) {
		return 0
	}
	return min(m.clock.base+int64(now.Since(m.clock.at)), m.time)
}

// Observe takes a node's word of what the time is not below. It counts only while this
// machine has led for a short while, and only so far: one whose clock leapt moves little.
func (m *Machine) Observe(now ids.Tick, minTime int64) {
	c := &m.clock
	if !c.steady(now, m.time) || now.Past(c.at, clockListen) {
		return
	}
	if ahead := minTime - c.base - int64(now.Since(c.at)); ahead > 0 && c.catchUp+ahead <= int64(clockMakeUp) {
		c.base, c.catchUp = c.base+ahead, c.catchUp+ahead
	}
}
