package nodeconfig

import (
	"runtime"
	"runtime/debug"
)

const (
	// memoryPart of the machine's limit is the runtime's: bytes in the kernel's socket buffers, stacks of the
	// C library and the binary's pages count against the limit too, and going over it ends the process.
	memoryLimitShare = 0.7
	// collectAt lets the heap grow to three times what is live before a collection. What is live here is a few
	// megabytes of tables and buffers, and at a quarter of a core the time of a collection is dearer than as
	// many megabytes again. Near the memory limit the runtime collects sooner by itself.
	gcPercent = 200 // per cent
	mebibyte  = 1 << 20
)

// ApplyRuntimeLimits makes the Go runtime keep to the machine's cores and memory, and collect seldom.
func (l Limits) ApplyRuntimeLimits() {
	l.ApplyMachineLimits()
	debug.SetGCPercent(gcPercent)
}

// ApplyMachineLimits makes the Go runtime keep to the machine's cores and memory. Without a memory limit there is none: the
// runtime takes a limit of 0 at its word and collects all the time.
func (l Limits) ApplyMachineLimits() {
	runtime.GOMAXPROCS(max(1, l.Cores))
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(l.MemoryMB) * mebibyte))
	}
}
