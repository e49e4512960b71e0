package ids

import "cmp"

// Epoch numbers the terms of leadership of the coordination core. It only grows.
type Epoch uint64

// Seq is the position of an entry in the core's log. Each entry has one more than the last.
type Seq uint64

// Fence is a fencing token: the core gives a greater one with every grant of a lease, and
// whoever obeys the holder refuses an order with a smaller one than it has seen.
type Fence uint64

// Version numbers the configurations of the fleet in the order in which they were staged.
type Version uint64

// NodeID names one run of a node's process: its configured name and a random part that is
// drawn at each start.
type NodeID string

// DiskID names the disk of a machine of the core. It is drawn when the disk is first used
// and stored there, so it stays the same over restarts and changes of address.
type DiskID string

// WorkerID names a worker, as the platform lists it.
type WorkerID string

// Incarnation names one run of a worker's process; it is another one after every start.
type Incarnation string

// Zone names a failure domain of the platform.
type Zone string

// Key names a duty of which the core leases at most one holder at a time.
type Key string

// OpID names an operation on the core's state. An operation that is submitted again under
// the same id is applied once, as long as the core remembers the id.
type OpID string

// Role is the part that a worker plays in serving requests.
type Role string

// The parts of workers.
const (
	Prefill Role = "prefill" // reads prompts into KV cache
	Decode  Role = "decode"  // generates tokens
)

// Blocks returns how many KV cache blocks of size tokens each are needed for so many
// tokens. It is 0 where size isn't positive.
func Blocks(tokens, size int) int {
	if size <= 0 {
		return 0
	}
	return (tokens + size - 1) / size
}

// SetDefault sets a value that is zero to its default.
func SetDefault[T comparable](value *T, fallback T) {
	*value = cmp.Or(*value, fallback)
}
