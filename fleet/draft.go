package fleet

import "time"

// Draft is a private copy of a state on which plans are tried; it is copied once and then changed in place.
type Draft struct {
	state *State
	base  uint64
	now   time.Time
}

// Draft returns a copy of the state for plans at a time.
func (s *State) Draft(now time.Time) *Draft {
	return &Draft{state: s.clone(parts{pools: true, instances: true, waves: true}), base: s.Version, now: now}
}

// State returns the state with the tried changes; it must not be kept beyond the next change.
func (d *Draft) State() *State { return d.state }

// Planned reports whether a change to the instance was tried on the draft.
func (d *Draft) Planned(instance Instance) bool { return instance.Version > d.base }

// Try applies one change and returns the error that a commit of it would give.
func (d *Draft) Try(change Change) (err error) {
	record := Record{Version: d.base + 1, At: d.now}
	return d.state.apply(change, record)
}
