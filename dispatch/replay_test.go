package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

const (
	replayStep = 20 * time.Millisecond
	replayMean = 800 * time.Millisecond
)

// replayedLoad is a load: jobs of one or two steps that arrive at a rate, for a time, at workers with eight places each.
type replayedLoad struct {
	workers   int
	perSecond int
	lasts     time.Duration
}

// replay plays the load on a machine whose orders and records take effect at once, and returns the share of jobs done in the time allowed.
func (l replayedLoad) replay(t *testing.T) (inTime float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	m, _ := newMachine()
	var workers []acaciatally.Worker
	for i := range l.workers {
		workers = append(workers, workerOf(i+1))
	}
	ready(m, workers...)
	ends := map[acaciatally.WorkerID][]replayedRun{}
	numbers := map[acaciatally.WorkerID]uint64{}
	allowed, arrived := map[acaciatally.JobID]time.Duration{}, map[acaciatally.JobID]time.Duration{}
	took := map[acaciatally.TaskRef]time.Duration{}
	submitted, good := 0, 0
	for now := time.Duration(0); now < l.lasts+10*time.Second; now += replayStep {
		for now < l.lasts && submitted < int(now.Seconds()*float64(l.perSecond)) {
			id := acaciatally.JobID(fmt.Sprintf("%08x", submitted))
			steps := []acaciatally.Step{oneStep(4, 1000)}
			if submitted%2 == 0 {
				second := oneStep(4, 1000)
				second.After = []int{0}
				steps = append(steps, second)
			}
			submit(m, id, now, steps...)
			arrived[id], allowed[id] = now, 600*time.Millisecond
			for step := range steps {
				longest := time.Duration(0)
				for index := range 4 {
					duration := time.Duration(float64(replayMean) * (0.5 + random.Float64()))
					took[acaciatally.TaskRef{Job: id, Step: step, Index: index}] = duration
					longest = max(longest, duration)
				}
				allowed[id] += time.Duration(1.6 * float64(longest))
			}
			submitted++
		}
		for _, w := range workers {
			report := acaciatally.WorkerReport{Clock: now, Born: w.Born}
			left := ends[w.ID][:0]
			for _, run := range ends[w.ID] {
				if run.until > now {
					left = append(left, run)
					report.Running = append(report.Running, acaciatally.RunningTask{Task: run.task, Attempt: run.attempt, Percent: 50})
					continue
				}
				numbers[w.ID]++
				report.Ended = append(report.Ended, acaciatally.EndedTask{Number: numbers[w.ID], Task: run.task, Attempt: run.attempt, End: acaciatally.EndDone})
			}
			ends[w.ID] = left
			m.Report(w.ID, report, now, now)
		}
		for id, j := range m.jobs {
			if j.state == acaciatally.JobCompleted && arrived[id]+allowed[id] >= now && j.endedAt == 0 {
				good++
			}
		}
		for _, order := range started(m, now) {
			id := order.Worker.ID
			ends[id] = append(ends[id], replayedRun{order.Start.Task, order.Start.Attempt, now + took[order.Start.Task]})
		}
	}
	return float64(good) / float64(submitted)
}

type replayedRun struct {
	task    acaciatally.TaskRef
	attempt int
	until   time.Duration
}

// TestOverload guards against a backlog in which every job is begun at the last moment and so is late: what the workers can do has to be
// of use. Each load is replayed with what it asks of the workers, as a factor of what they can do.
func TestOverload(t *testing.T) {
	const workers, places = 10, 8
	perSecond := int(workers * places / (1.5 * 4 * replayMean.Seconds())) // jobs have 1.5 steps of 4 tasks on average
	tests := map[string]struct {
		factor float64
		inTime float64
	}{
		"calm": {0.7, 0.95}, "half more than fits": {1.5, 0.5}, "twice what fits": {2, 0.4}, "three times": {3, 0.25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			load := replayedLoad{workers: workers, perSecond: int(test.factor * float64(perSecond)), lasts: 10 * time.Second}
			share := load.replay(t)
			t.Logf("%.2f of the jobs in time", share)
			require.GreaterOrEqual(t, share, test.inTime)
		})
	}
}
