package command

import (
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally/fleet"
)

// Help lists the statements, with an example of each.
const Help = `show pools
show budgets where Left = 0
show instances where Pool = coating and Phase != Serving sort by Rack limit 20
show teams sort by Quota descending
show waves
show entries
show tasks where Phase = Impossible
show options
show audit where By = "maria" limit 5
explain instance coating-1
explain pool coating
explain wave week-49
explain task T-1
explain command C-1
move backoffice-1, backoffice-2 to coating
drain coating-1
undrain coating-1
reboot coating-1
quarantine coating-1
set quota observatories 5
set budget coating unavailable 2 available 6
set option Weights.Moves 2
create pool polishing unavailable 1 available 3
add instance coating-20 to coating at 10.0.0.1:80 in hall-a rack hall-a-3
remove instance coating-20
start wave week-49 over coating, booking
stop wave week-49
resume wave week-49
cancel tasks T-1, T-2
`

// Complete returns the possible words at the end of an incomplete statement, sorted.
func (e *Evaluator) Complete(partial string) (words []string) {
	before, last := "", partial
	if i := strings.LastIndexAny(partial, " ,"); i >= 0 {
		before, last = strings.TrimSpace(partial[:i]), partial[i+1:]
	}
	for _, candidate := range e.completions(strings.Fields(strings.ToLower(before))) {
		if strings.HasPrefix(strings.ToLower(candidate), strings.ToLower(last)) {
			words = append(words, candidate)
		}
	}
	slices.Sort(words)
	return slices.Compact(words)
}

func (e *Evaluator) completions(before []string) []string {
	if len(before) == 0 {
		return verbs
	}
	state := e.config.Log.State()
	last := before[len(before)-1]
	switch {
	case last == "show":
		return tableNames()
	case last == "explain":
		return explainKinds
	case last == "set":
		return []string{"quota", "budget", "option"}
	case last == "remove":
		return []string{"pool", "instance", "team"}
	case last == "option":
		return fleet.OptionNames()
	case last == "quota" || last == "team":
		return teamNames(state)
	case last == "budget" || last == "to" || last == "over" || last == "pool":
		return poolNames(state)
	case before[0] == "show":
		return showCompletions(before)
	}
	return append(instanceNames(state), "to")
}

func showCompletions(before []string) []string {
	last := before[len(before)-1]
	if last == "where" || last == "by" || last == "and" || last == "or" {
		for _, known := range tableKinds {
			if known.name == before[1] {
				return known.columns
			}
		}
	}
	return []string{"where", "sort", "by", "limit", "and", "or", "descending"}
}
