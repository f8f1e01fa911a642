package task_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/task"
)

var planTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func resources(processors float64, gibibytes int64) acaciatally.Resources {
	return acaciatally.Resources{Processors: processors, Memory: gibibytes * gibibyte}
}

func newWorkerLoad(id string, placements ...task.Placement) task.WorkerLoad {
	free := workerSize
	for _, placement := range placements {
		free.Processors -= placement.Allocated.Processors
		free.Memory -= placement.Allocated.Memory
	}
	return task.WorkerLoad{Worker: acaciatally.InstanceID(id), Capacity: workerSize, Free: free, StartLimit: -1, Placements: placements}
}

func newPlacement(id string, urgency acaciatally.Urgency, allocated acaciatally.Resources) task.Placement {
	return task.Placement{Task: id, Team: "archive", Urgency: urgency, Allocated: allocated, Share: 1, Preemptible: true, UnsavedSince: planTime.Add(-time.Minute)}
}

func newCandidate(id string, urgency acaciatally.Urgency, need acaciatally.Resources) task.Candidate {
	return task.Candidate{Task: id, Team: "survey", Urgency: urgency, Need: need, Accepted: planTime}
}

// TestPlan guards against a placement that ignores sizes, failures, quotas, floors or the order of urgency.
func TestPlan(t *testing.T) {
	waitingLong := newCandidate("large", acaciatally.Normal, resources(60, 8))
	waitingLong.Accepted = planTime.Add(-time.Minute)
	avoiding := newCandidate("a", acaciatally.Normal, resources(1, 1))
	avoiding.AvoidWorkers = []acaciatally.InstanceID{"w1"}
	overQuota := newCandidate("over", acaciatally.Normal, resources(40, 8))
	overQuota.Team, overQuota.Accepted = "archive", planTime.Add(-time.Minute)
	unknownUsage := newCandidate("probe", acaciatally.Normal, resources(1, 1))
	unknownUsage.UnknownUsage = true
	runsUnknownUsage := newWorkerLoad("w1")
	runsUnknownUsage.RunsUnknownUsage = true
	startsExhausted := newWorkerLoad("w1")
	startsExhausted.StartLimit = 0
	background := newPlacement("bg", acaciatally.Background, resources(60, 8))
	fullFloor := task.Floors{0, 0, 1}
	tests := map[string]struct {
		candidates  []task.Candidate
		loads       []task.WorkerLoad
		quotas      []task.Quota
		floors      task.Floors
		starts      map[string]string
		preemptions map[string]bool // whether the task has to leave
	}{
		"worker with the least left over": {
			candidates: []task.Candidate{newCandidate("a", acaciatally.Normal, resources(16, 8))},
			loads: []task.WorkerLoad{
				newWorkerLoad("w1"), newWorkerLoad("w2", newPlacement("b", acaciatally.Normal, resources(40, 8))), newWorkerLoad("w3", newPlacement("c", acaciatally.Normal, resources(60, 8))),
			},
			starts: map[string]string{"a": "w2"},
		},
		"not on a worker on which it failed":                   {candidates: []task.Candidate{avoiding}, loads: []task.WorkerLoad{newWorkerLoad("w1"), newWorkerLoad("w2")}, starts: map[string]string{"a": "w2"}},
		"not on a worker on probation":                         {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(1, 1))}, loads: []task.WorkerLoad{startsExhausted}},
		"one task of unknown usage per worker":                 {candidates: []task.Candidate{unknownUsage}, loads: []task.WorkerLoad{runsUnknownUsage}},
		"urgent throttles background":                          {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(32, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": false}},
		"urgent preempts for memory":                           {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(1, 250))}, loads: []task.WorkerLoad{newWorkerLoad("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": true}},
		"urgent preempts for a whole worker":                   {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(64, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": true}},
		"urgent does not preempt within a floor":               {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(32, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1", background)}, floors: fullFloor},
		"victim uses more than its class has beyond the floor": {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(1, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1", newPlacement("bg", acaciatally.Background, resources(60, 250)))}, floors: task.Floors{0, 0, 0.9}},
		"normal does not preempt normal":                       {candidates: []task.Candidate{newCandidate("a", acaciatally.Normal, resources(32, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1", newPlacement("n", acaciatally.Normal, resources(60, 8)))}},
		"urgent first":                                         {candidates: []task.Candidate{newCandidate("a", acaciatally.Background, resources(40, 8)), newCandidate("b", acaciatally.Urgent, resources(40, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1")}, starts: map[string]string{"b": "w1"}},
		"team under its quota goes first":                      {candidates: []task.Candidate{overQuota, newCandidate("under", acaciatally.Normal, resources(40, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1"), newWorkerLoad("w2", newPlacement("x", acaciatally.Normal, resources(60, 8)))}, quotas: []task.Quota{{Team: "archive", Processors: 8}}, starts: map[string]string{"under": "w1"}},
		"waiting class keeps its floor":                        {candidates: []task.Candidate{newCandidate("a", acaciatally.Urgent, resources(60, 8)), newCandidate("b", acaciatally.Background, resources(16, 8))}, loads: []task.WorkerLoad{newWorkerLoad("w1")}, floors: task.Floors{0.5, 0, 0.25}, starts: map[string]string{"b": "w1"}},
		"small tasks do not starve a large one":                {candidates: []task.Candidate{waitingLong, newCandidate("small", acaciatally.Normal, resources(1, 1))}, loads: []task.WorkerLoad{newWorkerLoad("w1", newPlacement("x", acaciatally.Normal, resources(8, 8)))}},
		"no reservation before the delay":                      {candidates: []task.Candidate{newCandidate("large", acaciatally.Normal, resources(60, 8)), newCandidate("small", acaciatally.Normal, resources(1, 1))}, loads: []task.WorkerLoad{newWorkerLoad("w1", newPlacement("x", acaciatally.Normal, resources(8, 8)))}, starts: map[string]string{"small": "w1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := task.MakePlan(task.PlanInput{
				Now: planTime, Candidates: test.candidates, WorkerLoads: test.loads, Quotas: test.quotas, Floors: test.floors, MaxStarts: 100,
			})
			starts, preemptions := map[string]string{}, map[string]bool{}
			for _, start := range plan.Starts {
				starts[start.Task] = string(start.Worker)
			}
			for _, preemption := range plan.Preemptions {
				preemptions[preemption.Task] = preemption.Vacate
			}
			require.Equal(t, emptyIfNil(test.starts), starts)
			require.Len(t, preemptions, len(test.preemptions))
			for id, vacate := range test.preemptions {
				require.Equal(t, vacate, preemptions[id])
			}
			require.Len(t, plan.Unplaced, len(test.candidates)-len(starts))
			for _, unplaced := range plan.Unplaced {
				require.NotEmpty(t, unplaced.Reason)
			}
		})
	}
}

func emptyIfNil(starts map[string]string) map[string]string {
	if starts == nil {
		return map[string]string{}
	}
	return starts
}

// TestPlanFits guards against a plan that allocates more than a worker's capacity or decides about a task twice.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var loads []task.WorkerLoad
		for i := range rapid.IntRange(1, 6).Draw(rt, "workers") {
			var placements []task.Placement
			for j := range rapid.IntRange(0, 4).Draw(rt, "placements") {
				allocated := resources(float64(rapid.IntRange(1, 16).Draw(rt, "processors")), int64(rapid.IntRange(1, 64).Draw(rt, "memory")))
				one := newPlacement(fmt.Sprintf("t-%d-%d", i, j), acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")), allocated)
				one.Preemptible = rapid.Bool().Draw(rt, "preemptible")
				placements = append(placements, one)
			}
			loads = append(loads, newWorkerLoad(fmt.Sprintf("w-%d", i), placements...))
		}
		var candidates []task.Candidate
		for i := range rapid.IntRange(0, 20).Draw(rt, "candidates") {
			need := resources(float64(rapid.IntRange(1, 64).Draw(rt, "processors")), int64(rapid.IntRange(1, 256).Draw(rt, "memory")))
			candidates = append(candidates, newCandidate(fmt.Sprintf("d-%d", i), acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")), need))
		}
		plan := task.MakePlan(task.PlanInput{Now: planTime, Candidates: candidates, WorkerLoads: loads, Floors: task.DefaultFloors, MaxStarts: 100})
		decided := map[string]int{}
		for _, start := range plan.Starts {
			decided[start.Task]++
		}
		for _, unplaced := range plan.Unplaced {
			decided[unplaced.Task]++
		}
		for _, one := range candidates {
			require.Equal(rt, 1, decided[one.Task])
		}
		for _, one := range loads {
			require.GreaterOrEqual(rt, one.Free.Processors, -0.001)
			require.GreaterOrEqual(rt, one.Free.Memory, int64(0))
		}
	})
}

// BenchmarkPlan measures the placement of 64 tasks for three task sizes and three numbers of workers.
func BenchmarkPlan(b *testing.B) {
	sizes := map[string]acaciatally.Resources{"small": resources(1, 2), "middle": resources(8, 32), "large": resources(48, 192)}
	for _, workers := range []int{100, 800, 2500} {
		for name, need := range sizes {
			b.Run(fmt.Sprintf("%s/%d", name, workers), func(b *testing.B) {
				var candidates []task.Candidate
				for i := range 64 {
					candidates = append(candidates, newCandidate(fmt.Sprintf("d-%d", i), acaciatally.Normal, need))
				}
				for b.Loop() {
					b.StopTimer()
					loads := make([]task.WorkerLoad, 0, workers)
					for i := range workers {
						loads = append(loads, newWorkerLoad(fmt.Sprintf("w-%d", i), newPlacement(fmt.Sprintf("t-%d", i), acaciatally.Background, resources(float64(i%60), 8))))
					}
					b.StartTimer()
					task.MakePlan(task.PlanInput{Now: planTime, Candidates: candidates, WorkerLoads: loads, Floors: task.DefaultFloors, MaxStarts: 100})
				}
			})
		}
	}
}
