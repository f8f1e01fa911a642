package speed

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCompare guards against run times that are compared with the mean of uneven jobs although their estimates tell, or with estimates that
// tell nothing, and against outliers that move the mean.
func TestCompare(t *testing.T) {
	var uneven, wrong Kind
	for i := range 40 {
		factor := math.Pow(10, float64(i%2))
		time1, time2 := time.Duration(float64(time.Second)*factor), time.Duration(float64(100*time.Millisecond)*factor)
		uneven.Observe(time1, time2, 0)
		wrong.Observe(time.Second, time2, 0)
	}
	difference, _, known := uneven.Compare(10*time.Second, time.Second)
	require.True(t, known)
	require.InDelta(t, 0, difference, 0.4)
	difference, _, _ = wrong.Compare(time.Second, time.Second)
	require.InDelta(t, 0, difference, 0.1)
	wrong.Observe(time.Hour, time.Second, 0)
	difference, _, _ = wrong.Compare(time.Second, time.Second)
	require.InDelta(t, 0, difference, 0.1)
}

// TestKindBeforeSamples guards against verdicts from the first runs of a kind.
func TestKindBeforeSamples(t *testing.T) {
	var kind Kind
	for range minKindSamples {
		_, _, known := kind.Compare(time.Second, time.Second)
		require.False(t, known)
		kind.Observe(time.Second, time.Second, 0)
	}
	_, _, known := kind.Compare(time.Second, time.Second)
	require.True(t, known)
}

// TestSlowWorkersOfKind guards against slow workers that hide others: counted as they are, their runs move the mean of the kind and its variance, and
// each further one is found later.
func TestSlowWorkersOfKind(t *testing.T) {
	trial := newTrial(10)
	trial.run(0, 20*time.Second, slowTimes(4))
	difference, variance, _ := trial.kind.Compare(time.Second, time.Second)
	require.InDelta(t, 0, difference, 0.3)
	require.Less(t, variance, 0.2)
}

// TestCompareFirstOtherEstimate guards against workers that are found slow because they run long tasks, as their estimates tell, while all
// completed runs of the kind were short and had the same estimate.
func TestCompareFirstOtherEstimate(t *testing.T) {
	var kind Kind
	for i := range 40 {
		kind.Observe(time.Duration(500+25*(i%17))*time.Millisecond, time.Second, 0)
		difference, _, known := kind.Compare(11*time.Second, 11*time.Second)
		if known {
			require.InDelta(t, 0, difference, 0.7)
		}
		difference, _, known = kind.Compare(55*time.Second, 11*time.Second)
		require.True(t, !known || difference > 1.5, "a run that takes longer than its estimate")
	}
}
