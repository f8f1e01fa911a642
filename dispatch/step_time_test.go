package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestStepTimes guards against ordering jobs by the mean of their queue although callers know their own sizes, and against trusting
// estimates that say nothing.
func TestStepTimes(t *testing.T) {
	tests := map[string]struct {
		estimate func(random *rand.Rand, measured time.Duration) time.Duration
		want     time.Duration // expected time for an estimate of one second, after steps of 0.5 to 3.5 s
	}{
		"estimates are half of the time": {
			func(_ *rand.Rand, measured time.Duration) time.Duration { return measured / 2 }, 2 * time.Second,
		},
		"estimates are off by a fifth": {
			func(random *rand.Rand, measured time.Duration) time.Duration {
				return time.Duration(float64(measured) * (0.8 + 0.4*random.Float64()))
			}, time.Second,
		},
		"estimates say nothing": {
			func(random *rand.Rand, _ time.Duration) time.Duration {
				return time.Duration(float64(time.Minute) * (0.1 + random.Float64()))
			}, 2 * time.Second,
		},
		"no estimates": {func(*rand.Rand, time.Duration) time.Duration { return 0 }, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			times := stepTimes{}
			require.Equal(t, time.Second, times.expect(time.Second), "nothing is known yet")
			for range 300 {
				measured := time.Duration(float64(time.Second) * (0.5 + 3*random.Float64()))
				times.observe(measured, test.estimate(random, measured))
			}
			require.InEpsilon(t, test.want, times.expect(time.Second), 0.15)
		})
	}
}

// TestUrgentJobFirst guards against a job with little time to spare that waits behind an older one that can wait longer.
func TestUrgentJobFirst(t *testing.T) {
	scheduler, _ := newScheduler()
	reportIdle(scheduler, testWorker(1))
	patient := testStep(1, 8000)
	patient.Estimate = 10 * time.Second // can wait for 6.6 s
	loadJob(scheduler, "aa", 0, patient)
	urgent := testStep(1, 8000)
	urgent.Estimate = 4 * time.Second // can wait for 3 s
	loadJob(scheduler, "bb", 100*time.Millisecond, urgent)
	orders := startDue(scheduler, 200*time.Millisecond)
	require.Len(t, orders, 1)
	require.Equal(t, acaciatally.JobID("bb"), orders[0].Start.Task.Job)
}
