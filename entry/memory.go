package entry

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times the live heap. The live heap of an entry is a few MB, so the default of 100
	// would start a collection every few hundred requests and halve the requests that a core can serve.
	gcPercent = 400
	// memoryLimit is the soft limit in bytes above which the collector runs more often, as bodies and answers fill the memory.
	memoryLimit = 512 << 20
)

// TuneGarbageCollector sets the garbage collector's target percentage and memory limit for an entry process; restore resets them.
func TuneGarbageCollector() (restore func()) {
	percent := debug.SetGCPercent(gcPercent)
	limit := debug.SetMemoryLimit(memoryLimit)
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}
