package fleet

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// optionKind is the type of the value of an option.
type optionKind int

const (
	optionWeight optionKind = iota // non-negative number
	optionDuration
)

// optionKinds maps the options that can be changed at run time, named by their settings path, to their types.
var optionKinds = map[string]optionKind{
	"Weights.Reserve":    optionWeight,
	"Weights.Moves":      optionWeight,
	"Weights.RollOut":    optionWeight,
	"Weights.Protection": optionWeight,
	"Control.WaveCalm":   optionDuration,
	"Control.MoveHold":   optionDuration,
}

// OptionNames returns the sorted names of all options.
func OptionNames() []string {
	return slices.Sorted(maps.Keys(optionKinds))
}

// CheckOption returns an *InvalidChangeError if the option is unknown or its value cannot be parsed; an empty value is valid.
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
			return invalid("option "+option.Name, "%q is no positive duration such as 90s", option.Value)
		}
		return nil
	}
	if value, err := strconv.ParseFloat(option.Value, 64); err != nil || value < 0 {
		return invalid("option "+option.Name, "%q is no number of at least 0", option.Value)
	}
	return nil
}
