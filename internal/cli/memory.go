package cli

import "runtime/debug"

// LimitMemory keeps the memory of the Go runtime below three quarters of the process's limit in bytes, as long as the
// garbage collector can. The rest is for what the runtime does not manage. A limit of 0 changes nothing.
func LimitMemory(processLimit int64) {
	if processLimit > 0 {
		debug.SetMemoryLimit(processLimit * 3 / 4)
	}
}
