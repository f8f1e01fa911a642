package experiment

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		Routing{},
		Flood{},
		FailingWorker{},
		FailingTeam{},
		RollOut{},
		Capacity{},
		TaskFlood{},
		SlotGrant{},
		Slopes{},
		PathLatency{Rounds: 10, Requests: 800, FullLoad: 4000},
	}
}
