package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// optionKind says how the text of an option is read.
type optionKind int

const (
	optionShare  optionKind = iota // number between 0 and 1
	optionWeight                   // number of at least 0
	optionDuration
)

// optionKinds lists the tunables that can be changed at run time, by their path in the settings.
var optionKinds = map[string]optionKind{
	"Traffic.RetryBudget":       optionShare,
	"Traffic.Floors.Urgent":     optionShare,
	"Traffic.Floors.Normal":     optionShare,
	"Traffic.Floors.Background": optionShare,
	"Weights.Reserve":           optionWeight,
	"Weights.Moves":             optionWeight,
	"Weights.RollOut":           optionWeight,
	"Weights.Protection":        optionWeight,
	"Control.WaveCalm":          optionDuration,
	"Control.MoveHold":          optionDuration,
}

// OptionNames returns the names of all options in order.
func OptionNames() []string {
	return slices.Sorted(maps.Keys(optionKinds))
}

// CheckOption returns an *InvalidChangeError when the option is unknown or its value cannot be read; an empty value is valid.
func CheckOption(option SetOption) (err error) {
	kind, found := optionKinds[option.Name]
	if !found {
		return invalid("option "+option.Name, "does not exist")
	}
	if option.Value == "" {
		return nil
	}
	if kind == optionDuration {
		if value, err := time.ParseDuration(option.Value); err != nil || value <= 0 {
			return invalid("option "+option.Name, "%q is no duration such as 90s", option.Value)
		}
		return nil
	}
	value, err := strconv.ParseFloat(option.Value, 64)
	if err != nil || value < 0 || (kind == optionShare && value > 1) {
		return invalid("option "+option.Name, "%q is no %s", option.Value, optionRange(kind))
	}
	return nil
}

func optionRange(kind optionKind) string {
	if kind == optionShare {
		return "number between 0 and 1"
	}
	return "number of at least 0"
}
