// Package metering counts the requests that started to run, for each tenant and time window. Every node
// counts its own requests and sends the counts to one node, which adds them up for the usage report.
package metering

import (
	"sync/atomic"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Clock is a node's estimate of the time of day. It advances with the steady clock, so that steps of the
// wall clock do not move it, and is corrected to the median of all nodes' clocks.
type Clock struct {
	hostClock         host.Clock
	wallAtTickZero int64 // wall time at tick 0, in nanoseconds since 1970
	correction     atomic.Int64
}

// NewClock returns a clock that starts at the current wall time. It reads the wall clock only here.
func NewClock(hostClock host.Clock) *Clock {
	return &Clock{hostClock: hostClock, wallAtTickZero: hostClock.Wall().UnixNano() - int64(hostClock.Now())}
}

// OwnTime returns the time by this node's clock without correction, in nanoseconds since 1970.
func (c *Clock) OwnTime() int64 { return c.wallAtTickZero + int64(c.hostClock.Now()) }

// Now returns the best estimate of the time, in nanoseconds since 1970.
func (c *Clock) Now() int64 { return c.OwnTime() + c.correction.Load() }

// Correct sets by how much this node's own clock is behind.
func (c *Clock) Correct(behind time.Duration) { c.correction.Store(int64(behind)) }

// Tick returns the steady clock's time.
func (c *Clock) Tick() ids.Tick { return c.hostClock.Now() }

// Windows divides time into windows of the given length. Window k begins k lengths after the start of 1970.
type Windows time.Duration

// At returns the number of the window that contains a time in nanoseconds since 1970.
func (w Windows) At(unixNano int64) uint64 { return uint64(max(0, unixNano)) / uint64(w) }

// End returns when a window ends, in nanoseconds since 1970.
func (w Windows) End(number uint64) int64 { return int64((number + 1) * uint64(w)) }
