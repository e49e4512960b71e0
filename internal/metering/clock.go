// Package metering counts the requests that began to run, for each tenant and window of time: every
// node counts its own and tells one of them, which adds them up for the report.
package metering

import (
	"sync/atomic"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Clock is a node's estimate of the time of day. It goes on with the steady clock, so that
// steps of the wall clock do not move it, and is set by the middle of all nodes' clocks.
type Clock struct {
	steady     host.Clock
	base       int64 // nanoseconds since 1970 at tick 0
	correction atomic.Int64
}

// NewClock reads the wall clock once.
func NewClock(steady host.Clock) *Clock {
	return &Clock{steady: steady, base: steady.Wall().UnixNano() - int64(steady.Now())}
}

// Own is the time by this node's clock alone, in nanoseconds since 1970.
func (c *Clock) Own() int64 { return c.base + int64(c.steady.Now()) }

// Now is the best estimate of the time, in nanoseconds since 1970.
func (c *Clock) Now() int64 { return c.Own() + c.correction.Load() }

// Correct sets by how much this node's own clock is behind.
func (c *Clock) Correct(behind time.Duration) { c.correction.Store(int64(behind)) }

// Tick is the steady clock's.
func (c *Clock) Tick() ids.Tick { return c.steady.Now() }

// Windows divides time into windows of one length; window k begins k lengths after the start of 1970.
type Windows time.Duration

// At is the window of a time in nanoseconds since 1970.
func (w Windows) At(time int64) uint64 { return uint64(max(0, time)) / uint64(w) }

// End is when a window ends, in nanoseconds since 1970.
func (w Windows) End(number uint64) int64 { return int64((number + 1) * uint64(w)) }
