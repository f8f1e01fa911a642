package experiment

// All returns the experiments in the order in which they run.
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
		PathLatency{Rounds: 10, HalfLoadRequests: 800, FullLoadRequests: 4000},
	}
}
