package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
)

// TestWithOptions guards against options that are accepted but have no effect, and against invalid values that are accepted.
func TestWithOptions(t *testing.T) {
	loaded, err := settings.Parse([]byte(smallest))
	require.NoError(t, err)
	for _, name := range fleet.OptionNames() {
		t.Run(name, func(t *testing.T) {
			value := "0.25"
			if fleet.CheckOption(fleet.SetOption{Name: name, Value: value}) != nil {
				value = "47s"
			}
			require.NoError(t, fleet.CheckOption(fleet.SetOption{Name: name, Value: value}))
			control, weights := settings.WithOptions(loaded.Control, loaded.Weights, map[string]fleet.Option{name: {Value: value}})
			require.False(t, control == loaded.Control && weights == loaded.Weights, "the option has no effect")
			require.Error(t, fleet.CheckOption(fleet.SetOption{Name: name, Value: "much"}))
		})
	}
	control, _ := settings.WithOptions(loaded.Control, loaded.Weights, map[string]fleet.Option{"Control.WaveCalm": {Value: "47s"}})
	require.Equal(t, 47*time.Second, control.WaveCalm)
}
