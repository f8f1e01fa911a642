package settings

import (
	"strconv"
	"time"
)

// With returns a copy in which the options changed at run time replace the file's values; unreadable values are left out, since
// options are checked before they are accepted.
func (s *Settings) With(options map[string]string) (changed Settings) {
	changed = *s
	numbers := map[string]*float64{
		"Traffic.RetryBudget":       &changed.Traffic.RetryBudget,
		"Traffic.Floors.Urgent":     &changed.Traffic.Floors.Urgent,
		"Traffic.Floors.Normal":     &changed.Traffic.Floors.Normal,
		"Traffic.Floors.Background": &changed.Traffic.Floors.Background,
		"Weights.Reserve":           &changed.Weights.Reserve,
		"Weights.Moves":             &changed.Weights.Moves,
		"Weights.RollOut":           &changed.Weights.RollOut,
		"Weights.Protection":        &changed.Weights.Protection,
	}
	durations := map[string]*time.Duration{
		"Control.WaveCalm": &changed.Control.WaveCalm,
		"Control.MoveHold": &changed.Control.MoveHold,
	}
	for name, value := range options {
		if target, found := numbers[name]; found {
			if number, err := strconv.ParseFloat(value, 64); err == nil {
				*target = number
			}
		}
		if target, found := durations[name]; found {
			if duration, err := time.ParseDuration(value); err == nil {
				*target = duration
			}
		}
	}
	return changed
}
