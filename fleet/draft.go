package fleet

import "time"

// Draft is a mutable copy of a state on which a planner tries changes. It must not be used concurrently.
type Draft struct {
	state       *State
	baseVersion uint64
	now         time.Time
}

// Draft returns a draft of the state whose changes are made at the time now.
func (s *State) Draft(now time.Time) *Draft {
	return &Draft{state: s.clone(parts{pools: true, instances: true, waves: true}), baseVersion: s.Version, now: now}
}

// State returns the state with the changes tried so far. Later calls of Try modify it in place.
func (d *Draft) State() *State { return d.state }

// Planned reports whether a change of the instance was tried on the draft.
func (d *Draft) Planned(instance Instance) bool { return instance.Version > d.baseVersion }

// Try applies a change to the draft and returns the error that committing it would return.
func (d *Draft) Try(change Change) (err error) {
	record := Record{Version: d.baseVersion + 1, At: d.now}
	return d.state.apply(change, record)
}
