package entry

import "runtime/debug"

const (
	// collectPercent lets the heap grow to five times its live part. The live heap of an entry is a few MB, at which the
	// default of 100 starts a collection every few hundred requests and halves the requests a core can serve.
	collectPercent = 400
	// memoryLimit makes the collector work harder again once bodies and answers fill the memory.
	memoryLimit = 512 << 20
)

// TuneMemory sets the garbage collector for an entry's process; restore undoes it.
func TuneMemory() (restore func()) {
	percent := debug.SetGCPercent(collectPercent)
	limit := debug.SetMemoryLimit(memoryLimit)
	return func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}
}
