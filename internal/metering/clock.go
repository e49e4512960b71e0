// Package metering counts the requests whose response has started, for each tenant and time window. Every node
// counts its own requests and sends the counts to one node, the collector, which adds them up for the usage
// report.
package metering

import (
	"sync/atomic"
	"time"

	"keelstair.example/host"
	"keelstair.example/ids"
)

// Clock is a node's estimate of the wall-clock time. It advances with the machine's monotonic clock, so that
// steps of the wall clock do not affect it. Correct adjusts it to the median of the nodes' clocks.
type Clock struct {
	hostClock      host.Clock
	wallAtTickZero int64        // wall-clock time when the monotonic clock was at 0, in nanoseconds since 1970
	correction     atomic.Int64 // in nanoseconds
}

// NewClock returns a clock that starts at the current wall-clock time. The clock reads the host's wall clock only
// here.
func NewClock(hostClock host.Clock) *Clock {
	return &Clock{hostClock: hostClock, wallAtTickZero: hostClock.Wall().UnixNano() - int64(hostClock.Now())}
}

// OwnTime returns the time by this node's own clock, without the correction, in nanoseconds since 1970.
func (c *Clock) OwnTime() int64 { return c.wallAtTickZero + int64(c.hostClock.Now()) }

// Now returns the corrected time, in nanoseconds since 1970.
func (c *Clock) Now() int64 { return c.OwnTime() + c.correction.Load() }

// Correct sets the correction, which is the time by which this node's uncorrected clock is behind the median of the
// nodes' clocks. It is negative if the clock is ahead.
func (c *Clock) Correct(behind time.Duration) { c.correction.Store(int64(behind)) }

// Tick returns the time of the monotonic clock.
func (c *Clock) Tick() ids.Tick { return c.hostClock.Now() }

// Windows is the length of the windows into which time is divided. Window k begins k lengths after the start of
// 1970.
type Windows time.Duration

// At returns the number of the window that contains a time in nanoseconds since 1970, or 0 for a time
// before 1970.
func (w Windows) At(unixNano int64) uint64 { return uint64(max(0, unixNano)) / uint64(w) }

// End returns the time at which a window ends, in nanoseconds since 1970.
func (w Windows) End(number uint64) int64 { return int64((number + 1) * uint64(w)) }
