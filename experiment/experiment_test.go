package experiment_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/experiment"
)

// TestFailingWorkerProtection checks that the router's protection keeps requests away from a worker that fails fast: with it the worker
// gets less than an equal share of the attempts, without it more.
func TestFailingWorkerProtection(t *testing.T) {
	figures, err := experiment.FailingWorker{}.Run(context.Background(), 1)
	require.NoError(t, err)
	require.Less(t, figureValue(t, figures, "FailingWorkerShare", "SlotHome"), figureValue(t, figures, "EqualShare", "SlotHome"))
	require.Greater(t, figureValue(t, figures, "FailingWorkerShare", "BaselineLeastLoaded"), figureValue(t, figures, "EqualShare", "SlotHome"))
}

func figureValue(t *testing.T, figures []experiment.Figure, measure, policy string) float64 {
	t.Helper()
	for _, figure := range figures {
		if figure.Measure == measure && figure.Policy == policy {
			return figure.Value
		}
	}
	require.Fail(t, "no figure", "%s of %s", measure, policy)
	return 0
}

// TestRunStopsOnCancel guards against experiments that continue after their context is cancelled.
func TestRunStopsOnCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, candidate := range experiment.All() {
		_, err := candidate.Run(ctx, 1)
		require.ErrorIs(t, err, context.Canceled, candidate.String())
	}
}

// TestFigureString guards against a change of the line format, which programs parse.
func TestFigureString(t *testing.T) {
	figure := experiment.Figure{Measure: "Kept", Deployment: "Authority", Policy: "SlotHome", Value: 0.95, Unit: "share", Seed: 7}
	require.Equal(t, "Measure=Kept Deployment=Authority Policy=SlotHome Value=0.95 Unit=share Seed=7", figure.String())
}
