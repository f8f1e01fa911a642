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
	optionWeight optionKind = iota // number of at least 0
	optionDuration
)

// optionKinds lists the tunables that can be changed at run time, by their path in the settings.
var optionKinds = map[string]optionKind{
	"Weights.Reserve":    optionWeight,
	"Weights.Moves":      optionWeight,
	"Weights.RollOut":    optionWeight,
	"Weights.Protection": optionWeight,
	"Control.WaveCalm":   optionDuration,
	"Control.MoveHold":   optionDuration,
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
	if value, err := strconv.ParseFloat(option.Value, 64); err != nil || value < 0 {
		return invalid("option "+option.Name, "%q is no number of at least 0", option.Value)
	}
	return nil
}
