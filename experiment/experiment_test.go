package experiment_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/experiment"
)

// TestFailer guards against a router whose protection is not what keeps work from a worker that fails fast.
func TestFailer(t *testing.T) {
	figures, err := experiment.FailingWorker{}.Run(context.Background(), 1)
	require.NoError(t, err)
	require.Less(t, value(t, figures, "FailingWorkerShare", "SlotHome"), value(t, figures, "EqualShare", "SlotHome"))
	require.Greater(t, value(t, figures, "FailingWorkerShare", "BaselineLeastLoaded"), value(t, figures, "EqualShare", "SlotHome"))
}

func value(t *testing.T, figures []experiment.Figure, measure, policy string) float64 {
	t.Helper()
	for _, figure := range figures {
		if figure.Measure == measure && figure.Policy == policy {
			return figure.Value
		}
	}
	require.Fail(t, "no figure", "%s of %s", measure, policy)
	return 0
}

// TestStops guards against measurements that go on after an interrupt.
func TestStops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, listed := range experiment.All() {
		_, err := listed.Run(ctx, 1)
		require.ErrorIs(t, err, context.Canceled, listed.String())
	}
}

// TestFigure guards against a change of the line that readers of measurements parse.
func TestFigure(t *testing.T) {
	figure := experiment.Figure{Measure: "Kept", Deployment: "Authority", Policy: "SlotHome", Value: 0.95, Unit: "share", Seed: 7}
	require.Equal(t, "Measure=Kept Deployment=Authority Policy=SlotHome Value=0.95 Unit=share Seed=7", figure.String())
}
