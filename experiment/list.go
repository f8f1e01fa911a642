package experiment

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{Routing{}, Flood{}, Failer{}, Culprit{}, SlotGrant{}}
}
