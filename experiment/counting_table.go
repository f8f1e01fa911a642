package experiment

import (
	"context"
	"runtime"
	"sync/atomic"

	"github.com/acaciatally/acaciatally"
)

// memoryInUse returns the bytes of heap objects and goroutine stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // a second cycle frees objects that finalizers and sync.Pool kept through the first one
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// countingTable counts the calls of a table service.
type countingTable struct {
	acaciatally.TableService
	reads, writes, rows atomic.Int64
}

// Read counts one read, regardless of the number of keys.
func (t *countingTable) Read(ctx context.Context, keys ...string) (rows []acaciatally.Row, err error) {
	t.reads.Add(1)
	return t.TableService.Read(ctx, keys...)
}

// Scan counts one read.
func (t *countingTable) Scan(ctx context.Context, prefix, after string, limit int) (rows []acaciatally.Row, err error) {
	t.reads.Add(1)
	return t.TableService.Scan(ctx, prefix, after, limit)
}

// Commit counts one write and the rows in it.
func (t *countingTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (version uint64, err error) {
	t.writes.Add(1)
	t.rows.Add(int64(len(transaction.Writes)))
	return t.TableService.Commit(ctx, transaction)
}

// callCounts holds the number of calls of a table service, and of rows written.
type callCounts struct{ reads, writes, rows float64 }

func (t *countingTable) counts() callCounts {
	return callCounts{reads: float64(t.reads.Load()), writes: float64(t.writes.Load()), rows: float64(t.rows.Load())}
}

// perUnitSince returns the calls since an earlier count, divided by the number of units, such as seconds, requests or tasks.
func (c callCounts) perUnitSince(before callCounts, units float64) callCounts {
	return callCounts{
		reads: (c.reads - before.reads) / units, writes: (c.writes - before.writes) / units, rows: (c.rows - before.rows) / units,
	}
}
