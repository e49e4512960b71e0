package cli

import (
	"cmp"
	"runtime/debug"

	"keelstair.example/host"
	"keelstair.example/internal/connguard"
)

// LimitMemory keeps the memory of the Go runtime below three quarters of the process's limit in bytes, as long as the
// garbage collector can. The rest is for what the runtime does not manage. A limit of 0 changes nothing.
func LimitMemory(processLimit int64) {
	if processLimit > 0 {
		debug.SetMemoryLimit(processLimit * 3 / 4)
	}
}

// ConnectionLimits returns the limits that the connections of the process share. A limit of 0 selects that of the operating
// system for descriptors, and none for memory.
func ConnectionLimits(memoryLimit int64, descriptorLimit int) connguard.Process {
	return connguard.Process{MemoryLimit: memoryLimit, DescriptorLimit: cmp.Or(descriptorLimit, host.DescriptorLimit())}
}
