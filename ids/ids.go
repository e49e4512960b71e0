package ids

import "cmp"

// Epoch is the number of a leadership term of the coordination core. It only increases.
type Epoch uint64

// Seq is the position of an entry in the core's log. Positions are consecutive.
type Seq uint64

// Fence is a fencing token. The core issues a greater one with every grant of a lease, and the
// recipients of the lease holder's commands reject a command whose token is smaller than one that
// they have seen.
type Fence uint64

// Version is the number of a fleet configuration, in the order in which configurations were staged.
type Version uint64

// NodeID identifies one run of a node's process. It consists of the configured name and a random
// part that is generated at each start.
type NodeID string

// DiskID identifies the disk of a core member's machine. It is generated when the disk is first
// used and stored on it, so it survives restarts and changes of address.
type DiskID string

// WorkerID identifies a worker, as listed by the platform.
type WorkerID string

// Incarnation identifies one run of a worker's process. It changes with every start.
type Incarnation string

// Zone is the name of a failure domain of the platform.
type Zone string

// Key identifies a responsibility, which the core leases to at most one holder at a time.
type Key string

// OpID identifies an operation on the core's state. An operation that is submitted repeatedly
// with the same ID is applied once, as long as the core remembers the ID.
type OpID string

// Role is the phase of request processing that a worker performs.
type Role string

// Roles of workers.
const (
	Prefill Role = "prefill" // processes prompts into KV cache
	Decode  Role = "decode"  // generates tokens
)

// Blocks returns the number of KV cache blocks of size tokens each that are needed for the given
// number of tokens. It returns 0 if size isn't positive.
func Blocks(tokens, size int) int {
	if size <= 0 {
		return 0
	}
	return (tokens + size - 1) / size
}

// SetDefault sets *value to fallback if it is the zero value.
func SetDefault[T comparable](value *T, fallback T) {
	*value = cmp.Or(*value, fallback)
}
