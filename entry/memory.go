package entry

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times the live heap. The live heap of an entry is a few MB, so the default of 100
	// would start a collection every few hundred requests and halve the requests that a core can serve.
	gcPercent = 400
	// memoryLimit is the soft limit in bytes above which the collector runs more often, as bodies and answers fill the memory.
	memoryLimit = 512 << 20
)

// memoryLimitShare is the soft limit as a share of the memory at which the process is killed; it keeps the heap well below.
const memoryLimitShare = 0.6

// TuneGarbageCollector sets the garbage collector's target percentage and memory limit for an entry process; restore resets them.
func TuneGarbageCollector() (restore func()) {
	percent := debug.SetGCPercent(gcPercent)
	limit := debug.SetMemoryLimit(memoryLimit)
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}

// LimitMemory lowers the garbage collector's memory limit for a process that is killed at the given memory in bytes; 0 is not limited.
func LimitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(min(memoryLimit, int64(memoryLimitShare*float64(memory))))
	}
}
