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
	floodDuration = 10 * time.Minute
	// floodTaskCount tasks demand ten times the work that the larger deployment's pool of twelve workers can do in floodDuration.
	floodTaskCount     = 2200
	floodWorkers       = 12
	floodTeams         = 20
	urgentTeams        = 5
	urgentInterval     = 2 * time.Second // mean
	floodStep          = 50 * time.Millisecond
	floodRoundInterval = 500 * time.Millisecond
	floodUsageInterval = time.Second
	floodIntakeDelay   = 50 * time.Millisecond // time until the intake has batched and committed a task
	gibibyte           = int64(1) << 30
)

// declaredSizeFactors are the ratios of declared to actual size, assigned to the teams in turn. A team has tasks of one kind only.
var declaredSizeFactors = []float64{0.2, 0.5, 1, 2, 5}

// taskDeployment is the worker size of one deployment.
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
	{name: "Acaciatally", baseline: task.FullPolicy},
	{name: "BaselineDeclaredSizes", baseline: task.BaselineDeclaredSizes},
	{name: "BaselineArrivalOrder", baseline: task.BaselineArrivalOrder},
}

// TaskFlood measures the start delay of urgent tasks and the finished background work under a flood of background tasks.
type TaskFlood struct{}

// String returns the experiment's name.
func (TaskFlood) String() string { return "TaskFlood" }

// Run measures each deployment with each policy in simulated time.
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

// floodResult is the result of one simulated flood.
type floodResult struct {
	delays     []time.Duration // start delays of urgent tasks; a task that never started counts the time until the end
	background float64         // core-seconds of background work that was finished or can be resumed
	available  float64         // core-seconds that urgent tasks did not use
	lost       float64         // core-seconds of work that must be repeated
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

// floodTask is a task of the flood and its submission time, from the start of the run.
type floodTask struct {
	spec    task.Spec
	profile standin.TaskProfile
	at      time.Duration
}

func uniform(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

func newFloodArrivals(worker acaciatally.Resources, random *rand.Rand) (arrivals []floodTask) {
	for i := range floodTaskCount {
		arrival := newFloodTask(worker, random, acaciatally.Background, i%floodTeams, uniform(random, 60, 600))
		arrival.spec.ID = fmt.Sprintf("background-%05d", i)
		arrival.at = time.Duration(uniform(random, 0, float64(30*time.Second)))
		arrivals = append(arrivals, arrival)
	}
	at := time.Minute
	for i := 0; at < floodDuration-time.Minute; i++ {
		at += time.Duration(random.ExpFloat64() * float64(urgentInterval))
		arrival := newFloodTask(worker, random, acaciatally.Urgent, i%urgentTeams, uniform(random, 5, 20))
		arrival.spec.ID = fmt.Sprintf("urgent-%05d", i)
		arrival.at = at
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

func newFloodTask(worker acaciatally.Resources, random *rand.Rand, urgency acaciatally.Urgency, team int, seconds float64) floodTask {
	processors := uniform(random, 1, 12)
	profile := standin.TaskProfile{
		Uses: acaciatally.Resources{
			Processors: processors,
			Memory:     int64(processors * uniform(random, 1, 4) * float64(gibibyte)),
		},
		Work:        time.Duration(seconds * float64(time.Second)),
		Checkpoints: random.IntN(2) == 0,
	}
	factor := declaredSizeFactors[team%len(declaredSizeFactors)] * uniform(random, 0.9, 1.1)
	spec := task.Spec{
		Team: acaciatally.TeamName(fmt.Sprintf("%s-%d", urgency, team)), Pool: "chamber", Kind: "reduce", Urgency: urgency,
		Idempotent: true, Checkpoints: profile.Checkpoints, Command: profile.Command(),
		// Callers know the size of a worker and declare at most that much.
		Declared: acaciatally.Resources{
			Processors: min(profile.Uses.Processors*factor, worker.Processors),
			Memory:     min(int64(float64(profile.Uses.Memory)*factor), worker.Memory),
		},
	}
	return floodTask{spec: spec, profile: profile}
}
