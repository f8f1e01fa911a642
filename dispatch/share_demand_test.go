package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
)

// twoPools returns a scheduler with a worker of 8 cores in each of two pools, and the queues of these pools.
func twoPools(weights map[acaciatally.AccountName]float64) (scheduler *Scheduler, first, second acaciatally.Queue) {
	scheduler, _ = newScheduler()
	configureAccounts(scheduler, weights)
	other := testWorker(2)
	other.Pool = "other"
	reportIdle(scheduler, testWorker(1), other)
	first, second = testQueue(), testQueue()
	second.Name, second.Pool = "others", "other"
	return scheduler, first, second
}

// TestDemandBeyondShare guards against an account that sends more than its share and draws instances from the pool of an account that does
// not.
func TestDemandBeyondShare(t *testing.T) {
	scheduler, first, second := twoPools(map[acaciatally.AccountName]float64{"large": 100, "small": 300})
	for i := range 12 {
		loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("large-%d", i)), "large", first, 0, 0, testStep(4, 1000))
	}
	loadQueuedJob(scheduler, "small", "small", second, 0, 0, testStep(10, 1000))
	scheduler.Plan(0, time.UnixMilli(0))
	pools := scheduler.Pools(0)
	require.InDelta(t, 6000, pools[testPool].Used.Plus(pools[testPool].Waiting).Processors, 10)
	require.InDelta(t, 42000, pools[testPool].Overdue.Processors, 10)
	require.Equal(t, 10000, pools["other"].Used.Plus(pools["other"].Waiting).Processors)
	require.Zero(t, pools["other"].Overdue.Processors)
}

// TestDemandBeyondRate guards against an account that sends more than its rate and draws instances from the pools of others, by the jobs that
// wait, by those that its arrivals let expect, or by a limit of tasks per worker.
func TestDemandBeyondRate(t *testing.T) {
	const withinRate = 25 // 5.5 and the slack
	scheduler, first, _ := twoPools(map[acaciatally.AccountName]float64{"hot": 1, "idle": 1e6})
	step := testStep(1, 10)
	for i := range 100 {
		loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("hot-%03d", i)), "hot", first, 0, time.Second, step)
	}
	step.Count, step.PerWorker = 7, 1
	loadQueuedJob(scheduler, "hot-spread", "hot", first, 0, time.Second, step)
	scheduler.Plan(time.Second, time.UnixMilli(0))
	pool := scheduler.Pools(time.Second)[testPool]
	require.Equal(t, 10*withinRate, pool.Used.Plus(pool.Waiting).Processors)
	require.Equal(t, 10*(107-withinRate), pool.Overdue.Processors)
	require.LessOrEqual(t, pool.Expected.Processors, 2*10*withinRate) // the rate is extrapolated
	require.Zero(t, pool.MinWorkers)
}

// TestDemandProperties guards against demand that is counted twice or not at all, or as more than runs use.
func TestDemandProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := func(weights map[acaciatally.AccountName]float64, sizes []int) map[acaciatally.PoolName]PoolView {
			scheduler, first, second := twoPools(weights)
			for i, size := range sizes {
				queue, account := first, acaciatally.AccountName([]string{"", "a", "b", "c"}[size%4])
				if i%3 == 0 {
					queue = second
				}
				loadQueuedJob(scheduler, acaciatally.JobID(fmt.Sprintf("j-%03d", i)), account, queue, 0, time.Second, testStep(1+size%3, 1+size))
			}
			scheduler.Plan(time.Second, time.UnixMilli(0))
			return scheduler.Pools(time.Second)
		}
		sizes := rapid.SliceOfN(rapid.IntRange(0, 3000), 1, 60).Draw(t, "sizes")
		weight := rapid.Float64Range(0.1, 5)
		weights := map[acaciatally.AccountName]float64{"a": weight.Draw(t, "a"), "b": weight.Draw(t, "b"), "c": weight.Draw(t, "c")}
		without := load(nil, sizes)
		for name, pool := range load(weights, sizes) {
			all := pool.Used.Plus(pool.Waiting).Plus(pool.Overdue)
			require.Equal(t, without[name].Used.Plus(without[name].Waiting), all)
			for _, part := range []acaciatally.ResourceVector{pool.Used, pool.Waiting, pool.Overdue} {
				require.True(t, all.Fits(part) && part.Fits(acaciatally.ResourceVector{}))
			}
		}
	})
}
