package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

const (
	floodTime = 10 * time.Minute
	// floodTasks demand ten times what the larger pool of twelve workers can do in floodTime.
	floodTasks       = 2200
	floodWorkers     = 12
	floodTeams       = 20
	urgentTeams      = 5
	urgentEvery      = 2 * time.Second // mean
	floodStep        = 50 * time.Millisecond
	floodRound       = 500 * time.Millisecond
	floodUsageEvery  = time.Second
	floodIntakeDelay = 50 * time.Millisecond // collection and commit of the intake
	gibibyte         = int64(1) << 30
)

// floodFactors are the ratios of declared to true size, one for each team and kind.
var floodFactors = []float64{0.2, 0.5, 1, 2, 5}

// taskDeployment is the size of the workers of one user.
type taskDeployment struct {
	name   string
	worker acaciatally.Resources
}

var taskDeployments = []taskDeployment{
	{name: "Authority", worker: acaciatally.Resources{Processors: 64, Memory: 256 * gibibyte}},
	{name: "Cavalcanti", worker: acaciatally.Resources{Processors: 32, Memory: 128 * gibibyte}},
}

var taskPolicies = []struct {
	name     string
	baseline task.Baseline
}{
	{name: "Acaciatally", baseline: task.NoBaseline},
	{name: "BaselineDeclaredSizes", baseline: task.BaselineDeclaredSizes},
	{name: "BaselineArrivalOrder", baseline: task.BaselineArrivalOrder},
}

// TaskFlood measures the start of urgent tasks and the background work done under a flood of background tasks.
type TaskFlood struct{}

// String returns the name of the experiment.
func (TaskFlood) String() string { return "TaskFlood" }

// Run measures each deployment with each policy in modelled time.
func (TaskFlood) Run(ctx context.Context, seed uint64) (figures []Figure, err error) {
	for _, deployment := range taskDeployments {
		for _, policy := range taskPolicies {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			result, err := runFlood(ctx, deployment, policy.baseline, seed)
			if err != nil {
				return nil, err
			}
			base := Figure{Deployment: deployment.name, Policy: policy.name, Seed: seed}
			figures = append(figures, result.figures(base)...)
		}
	}
	return figures, nil
}

// floodResult is what one run of the flood showed.
type floodResult struct {
	delays     []time.Duration // of urgent tasks; those that never started count up to the end
	background float64         // core seconds of finished background tasks
	available  float64         // core seconds that urgent tasks left over
	lost       float64         // core seconds of work that was done in vain
}

func (r floodResult) figures(base Figure) []Figure {
	delay, share, lost := base, base, base
	delay.Measure, delay.Unit = "UrgentStartDelayP99", "s"
	slices.Sort(r.delays)
	delay.Value = r.delays[int(math.Ceil(0.99*float64(len(r.delays))))-1].Seconds()
	share.Measure, share.Unit, share.Value = "BackgroundWorkFinished", "share", r.background/r.available
	lost.Measure, lost.Unit, lost.Value = "WorkLost", "share", r.lost/r.available
	return []Figure{delay, share, lost}
}

// floodTask is a task of the flood with the time at which it is submitted.
type floodTask struct {
	spec    task.Spec
	profile standin.TaskProfile
	at      time.Duration
}

func between(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

func floodLoad(worker acaciatally.Resources, random *rand.Rand) (load []floodTask) {
	for i := range floodTasks {
		one := newFloodTask(worker, random, acaciatally.Background, i%floodTeams, between(random, 60, 600))
		one.spec.ID = fmt.Sprintf("background-%05d", i)
		one.at = time.Duration(between(random, 0, float64(30*time.Second)))
		load = append(load, one)
	}
	at := time.Minute
	for i := 0; at < floodTime-time.Minute; i++ {
		at += time.Duration(random.ExpFloat64() * float64(urgentEvery))
		one := newFloodTask(worker, random, acaciatally.Urgent, i%urgentTeams, between(random, 5, 20))
		one.spec.ID = fmt.Sprintf("urgent-%05d", i)
		one.at = at
		load = append(load, one)
	}
	return load
}

func newFloodTask(worker acaciatally.Resources, random *rand.Rand, urgency acaciatally.Urgency, team int, seconds float64) floodTask {
	processors := between(random, 1, 12)
	profile := standin.TaskProfile{
		Uses: acaciatally.Resources{
			Processors: processors,
			Memory:     int64(processors * between(random, 1, 4) * float64(gibibyte)),
		},
		Work:        time.Duration(seconds * float64(time.Second)),
		Checkpoints: random.IntN(2) == 0,
	}
	factor := floodFactors[team%len(floodFactors)] * between(random, 0.9, 1.1)
	spec := task.Spec{
		Team: acaciatally.TeamName(fmt.Sprintf("%s-%d", urgency, team)), Pool: "chamber", Kind: "reduce", Urgency: urgency,
		Idempotent: true, Checkpoints: profile.Checkpoints, Command: profile.Command(),
		// Callers know the size of a worker and declare no more.
		Declared: acaciatally.Resources{
			Processors: min(profile.Uses.Processors*factor, worker.Processors),
			Memory:     min(int64(float64(profile.Uses.Memory)*factor), worker.Memory),
		},
	}
	return floodTask{spec: spec, profile: profile}
}
