package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestStepsOfDifferentLength guards against jobs that are taken to be in time because the mean of their queue is assumed for each step, while
// the long step is still to come: callers' estimates tell nothing, every second job has a second step, and that takes ten times as long.
func TestStepsOfDifferentLength(t *testing.T) {
	const short, long = 200 * time.Millisecond, 2 * time.Second
	trial := newSpeedTrial(t)
	trial.wrong = true
	trial.stepTimes = []time.Duration{short, long}
	trial.run(20, 20*time.Second)
	steps := []acaciatally.Step{testStep(4, 1000), testStep(4, 1000)}
	loadJob(trial.scheduler, "last", time.Minute, steps...)
	expected := trial.scheduler.expectedStepTimes(trial.scheduler.jobs["last"])
	require.LessOrEqual(t, logDifference(expected[0], short), minStepKindDifference)
	require.LessOrEqual(t, logDifference(expected[1], long), minStepKindDifference)
}

// TestEqualSteps guards against another order of jobs where all steps take about the same time: the times of the queue remain in use, of which there
// are more, however skewed the times are.
func TestEqualSteps(t *testing.T) {
	for name, skew := range map[string]float64{"even": 0, "skewed": 0.5, "heavy-tailed": 1} {
		t.Run(name, func(t *testing.T) {
			trial := newSpeedTrial(t)
			trial.skew, trial.wrong = skew, true
			trial.each = func(time.Duration) {
				for _, means := range trial.scheduler.runTimes {
					for number := range 2 {
						require.Equal(t, means.step.expect(time.Second), means.stepKinds.expect(number, time.Second, &means.step))
					}
				}
			}
			trial.run(30, 20*time.Second)
			require.NotEmpty(t, trial.scheduler.runTimes)
		})
	}
}

// TestManySteps guards against memory that grows with the number of steps, which callers choose.
func TestManySteps(t *testing.T) {
	var kinds stepKinds
	for number := range 10 * maxStepKinds {
		kinds.observe(number, time.Second, 0)
	}
	require.Len(t, kinds.kinds, maxStepKinds)
	require.Equal(t, time.Minute, kinds.expect(10*maxStepKinds, time.Second, &stepTimes{mean: time.Minute}))
}
