package nodeconfig

import (
	"runtime"
	"runtime/debug"
)

const (
	// memoryLimitShare is the share of the machine's memory that the runtime may use. The kernel's socket buffers, the C
	// library's stacks and the program's own pages count against the machine's limit too, and exceeding that ends the
	// process.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow to three times the live data before a collection. Live data are a few megabytes of
	// tables and buffers, and with a quarter of a core the time of a collection is more expensive than as much memory
	// again. Near the memory limit the runtime collects sooner by itself.
	gcPercent = 200
	mebibyte  = 1 << 20
)

// ApplyRuntimeLimits is ApplyMachineLimits with rarer garbage collections, for programs that can spare the memory. Both
// change settings of the entire process and are called once, at its start.
func (l Limits) ApplyRuntimeLimits() {
	l.ApplyMachineLimits()
	debug.SetGCPercent(gcPercent)
}

// ApplyMachineLimits makes the Go runtime use no more than the machine's cores and memory. A MemoryMB of 0 sets no memory
// limit: the runtime would take 0 literally and collect all the time.
func (l Limits) ApplyMachineLimits() {
	runtime.GOMAXPROCS(max(1, l.Cores))
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(l.MemoryMB) * mebibyte))
	}
}
