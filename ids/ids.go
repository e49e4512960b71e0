// Package ids holds the small types that every plane of keelstair shares:
// ids, versions, fences and times. Each is a type of its own, so that an epoch
// is never taken for a fence nor a wall time for a tick. Ticks count
// nanoseconds of a clock that never steps back and goes on while the machine
// sleeps; wall time is for logs only.
package ids

import "time"

type (
	Epoch    uint64
	Seq      uint64
	Fence    uint64
	Version  uint64
	NodeId   string
	DiskId   string
	WorkerId string
	Life     string // of a worker's process: another one after every start
	Zone     string
	Key      string
	OpId     string
	Tick     int64
)

// Part is what a worker does: read prompts, or make tokens.
type Part string

const (
	Prefill Part = "prefill"
	Decode  Part = "decode"
)

func (t Tick) Add(d time.Duration) Tick          { return t + Tick(d) }
func (t Tick) Since(u Tick) time.Duration        { return time.Duration(t - u) }
func (t Tick) Before(u Tick) bool                { return t < u }
func (t Tick) Past(u Tick, d time.Duration) bool { return time.Duration(t-u) > d }

// Blocks is the paper's bill: how many blocks so many tokens take.
func Blocks(toks, size int) int {
	if size <= 0 {
		return 0
	}
	return (toks + size - 1) / size
}

// Or sets a span that was left at zero.
func Or(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
