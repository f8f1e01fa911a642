package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
)

// TestWith guards against options that are accepted but have no effect, and against unreadable values that get in.
func TestWith(t *testing.T) {
	loaded, err := settings.Parse([]byte(smallest))
	require.NoError(t, err)
	for _, name := range fleet.OptionNames() {
		t.Run(name, func(t *testing.T) {
			value := "0.25"
			if fleet.CheckOption(fleet.SetOption{Name: name, Value: value}) != nil {
				value = "47s"
			}
			require.NoError(t, fleet.CheckOption(fleet.SetOption{Name: name, Value: value}))
			require.NotEqual(t, loaded.With(nil), loaded.With(map[string]string{name: value}))
			require.Error(t, fleet.CheckOption(fleet.SetOption{Name: name, Value: "much"}))
		})
	}
	require.Equal(t, 47*time.Second, loaded.With(map[string]string{"Control.WaveCalm": "47s"}).Control.WaveCalm)
}
