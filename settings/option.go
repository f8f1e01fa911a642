package settings

import (
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally/fleet"
)

// WithOptions returns the settings with the values of the file overridden by the options set at run time. Invalid values are ignored,
// because options are validated before they are accepted.
func WithOptions(control Control, weights Weights, options map[string]fleet.Option) (Control, Weights) {
	numbers := map[string]*float64{
		"Weights.Reserve":    &weights.Reserve,
		"Weights.Moves":      &weights.Moves,
		"Weights.RollOut":    &weights.RollOut,
		"Weights.Protection": &weights.Protection,
	}
	durations := map[string]*time.Duration{
		"Control.WaveCalm": &control.WaveCalm,
		"Control.MoveHold": &control.MoveHold,
	}
	for name, option := range options {
		if target, found := numbers[name]; found {
			if number, err := strconv.ParseFloat(option.Value, 64); err == nil {
				*target = number
			}
		}
		if target, found := durations[name]; found {
			if duration, err := time.ParseDuration(option.Value); err == nil {
				*target = duration
			}
		}
	}
	return control, weights
}
