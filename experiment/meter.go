package experiment

import (
	"context"
	"runtime"
	"sync/atomic"

	"github.com/acaciatally/acaciatally"
)

// heap returns the bytes of reachable objects and of stacks.
func heap() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what finalizers and pools held on to
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// countingTable counts the calls of a table service.
type countingTable struct {
	acaciatally.TableService
	reads, writes, rows atomic.Int64
}

// Read counts one read, whatever the number of keys.
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

// calls is the number of calls of a table service.
type calls struct{ reads, writes, rows float64 }

func (t *countingTable) calls() calls {
	return calls{reads: float64(t.reads.Load()), writes: float64(t.writes.Load()), rows: float64(t.rows.Load())}
}

// since returns the calls after an earlier count, divided by the number of seconds, requests or changes.
func (c calls) since(before calls, divisor float64) calls {
	return calls{
		reads: (c.reads - before.reads) / divisor, writes: (c.writes - before.writes) / divisor, rows: (c.rows - before.rows) / divisor,
	}
}
