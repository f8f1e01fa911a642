package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// BenchmarkFullPools measures one placement with 350 full workers in 5 pools and 3,000 waiting jobs of 20 accounts or of none.
func BenchmarkFullPools(b *testing.B) {
	for _, accounts := range []int{0, 20} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			scheduler, now := fullPools(accounts)
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Microsecond
				scheduler.place(nil, now)
			}
		})
	}
}

// BenchmarkDivision measures one division of the same pools between 20 accounts, which takes place once per divideInterval.
func BenchmarkDivision(b *testing.B) {
	scheduler, now := fullPools(20)
	b.ReportAllocs()
	for b.Loop() {
		now += divideInterval
		scheduler.divideShares(now)
	}
}

// BenchmarkReclaim measures a placement of the same pools that looks for room to reclaim and workers to hold: one account fills them with runs
// without checkpoints, and the other 19 wait with large tasks.
func BenchmarkReclaim(b *testing.B) {
	scheduler, now := fullPoolsOf(20, 1, 9000)
	for range 12 {
		now += checkInterval
		scheduler.place(nil, now)
	}
	held := 0
	for _, w := range scheduler.workers {
		if w.held(now) {
			held++
		}
	}
	require.Positive(b, held)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		scheduler.place(nil, now)
	}
}

// fullPools returns a scheduler whose pools are full, with a backlog.
func fullPools(accounts int) (scheduler *Scheduler, now time.Duration) {
	return fullPoolsOf(accounts, accounts, 1000)
}

// fullPoolsOf returns a scheduler whose pools are full of runs of some of the accounts, with a backlog of other tasks.
func fullPoolsOf(accounts, runningAccounts, waitingProcessors int) (scheduler *Scheduler, now time.Duration) {
	const pools, workers, waiting = 5, 350, 3000
	scheduler, _ = newScheduler()
	configuration := &acaciatally.Configuration{Version: 1}
	for i := range accounts {
		if configuration.Accounts == nil {
			configuration.Accounts = map[acaciatally.AccountName]acaciatally.Account{}
		}
		name := acaciatally.AccountName(fmt.Sprintf("account-%d", i))
		configuration.Accounts[name] = acaciatally.Account{Name: name, Weight: float64(1 + i%7)}
	}
	scheduler.Configure(configuration)
	var entries []acaciatally.Worker
	for i := range workers {
		w := testWorker(i + 1)
		w.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		w.Pool = acaciatally.PoolName(fmt.Sprintf("pool-%d", i%pools))
		w.Capacity = acaciatally.ResourceVector{Processors: 16000, Memory: 64000}
		entries = append(entries, w)
	}
	now = time.Second
	scheduler.SetDirectory(entries, now)
	for _, w := range entries {
		scheduler.Report(w.ID, acaciatally.WorkerReport{StartTime: w.StartTime, Clock: now}, now, now)
	}
	running := workers * 16 / 4
	for i := range running + waiting {
		queue := testQueue()
		queue.Pool = acaciatally.PoolName(fmt.Sprintf("pool-%d", i%pools))
		queue.Name = acaciatally.QueueName("queue-" + string(queue.Pool))
		processors, owners := 1000, runningAccounts
		if i >= running {
			processors, owners = waitingProcessors, accounts
		}
		accepted := job.Accepted{Spec: acaciatally.JobSpec{Steps: []acaciatally.Step{testStep(4, processors), testStep(4, 1000)}}, Queue: queue}
		accepted.Spec.Steps[1].After = []int{0}
		if accounts > 0 {
			accepted.Account = acaciatally.AccountName(fmt.Sprintf("account-%d", (i/pools)%owners))
		}
		age := time.Duration(i%800) * time.Millisecond
		scheduler.LoadJob(acaciatally.JobID(fmt.Sprintf("%08x", i)), accepted, job.Progress{State: acaciatally.JobQueued}, age, now)
		if i == running-1 {
			scheduler.Plan(now, time.UnixMilli(0))
		}
	}
	scheduler.Plan(now, time.UnixMilli(0))
	return scheduler, now
}
