package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
)

// newFleet returns a fleet of the given size with about 41 workers per pool, as in the target deployment.
func newFleet(tb testing.TB, workers int) *fleet.State {
	tb.Helper()
	count := max(2, workers/41)
	record := fleet.Record{Version: 1, At: time.Unix(1, 0)}
	for p := range count {
		record.Changes = append(record.Changes, fleet.Change{PutPool: &fleet.Pool{Name: poolName(p), Spare: p == 0, MaxUnavailable: 4, MinAvailable: 1}})
	}
	for w := range workers {
		record.Changes = append(record.Changes, fleet.Change{AddInstance: &fleet.Instance{
			ID: worker(w), Pool: poolName(w % count), DataCentre: acaciatally.DataCentre(fmt.Sprint(w % 4)), Rack: acaciatally.Rack(fmt.Sprint(w / 4)),
		}})
	}
	state, err := fleet.New().Apply(record)
	require.NoError(tb, err)
	return state
}

func poolName(n int) acaciatally.PoolName { return acaciatally.PoolName(fmt.Sprintf("pool-%02d", n)) }

func worker(n int) acaciatally.InstanceID {
	return acaciatally.InstanceID(fmt.Sprintf("worker-%04d", n))
}

func failAndRecover(first uint64, count, workers int) (records []fleet.Record) {
	for i := range count {
		phase := []fleet.Phase{fleet.Failed, fleet.Serving}[i%2]
		records = append(records, fleet.Record{
			Version: first + uint64(i), At: time.Unix(int64(i), 0),
			Changes: []fleet.Change{{SetPhase: &fleet.SetPhase{ID: worker(i / 2 % workers), Phase: phase}}},
		})
	}
	return records
}

// BenchmarkApply measures a single change at three fleet sizes.
func BenchmarkApply(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			state := newFleet(b, workers)
			record := failAndRecover(2, 1, workers)[0]
			b.ReportAllocs()
			for b.Loop() {
				_, err := state.Apply(record)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkReplay measures the replay of 500 records at three fleet sizes.
func BenchmarkReplay(b *testing.B) {
	for _, workers := range []int{100, 800, 2500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			state := newFleet(b, workers)
			records := failAndRecover(2, 500, workers)
			for b.Loop() {
				_, err := state.Replay(records...)
				require.NoError(b, err)
			}
		})
	}
}
