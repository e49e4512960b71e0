package ids

import "time"

// Tick is a reading of a machine's monotonic clock in nanoseconds. The clock never goes
// backwards and continues to run while the machine is suspended. Ticks of different machines,
// or from before and after a restart of a machine, can't be compared.
type Tick int64

// Add returns the tick that is d after t.
func (t Tick) Add(d time.Duration) Tick { return t + Tick(d) }

// Since returns the time from u to t. It is negative if u is later than t.
func (t Tick) Since(u Tick) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Tick) Before(u Tick) bool { return t < u }

// Past reports whether t is more than d after u.
func (t Tick) Past(u Tick, d time.Duration) bool { return time.Duration(t-u) > d }
