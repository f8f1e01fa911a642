package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/task"
)

const (
	// inForceLimit is the promised time for a change to be in force in every live entry.
	inForceLimit = 11 * time.Second
	// leavingLimit is the time after which a leaving worker gets no new request.
	leavingLimit = 3 * time.Second
	// tasksEnd covers the leases of attempts that nobody heard of again, and the doubt after a takeover.
	tasksEnd = 10 * time.Minute
)

// settle checks the time to convergence after the faults, lets the tasks end, and stops the entries.
func (s *trial) settle() {
	ctx := context.Background()
	require.NoError(s.d.t, s.truth.Poll(ctx))
	head := s.truth.State().Version
	time.Sleep(inForceLimit)
	s.versions()
	for _, i := range s.alive() {
		if version := s.entries[i].version; version < head {
			s.breach("P8: entry %d has version %d, but %d was accepted %s ago", i, version, head, inForceLimit)
		}
	}
	s.awaitTasks()
	s.d.close()
}

// awaitTasks checks that every accepted task is known to a live entry and ends.
func (s *trial) awaitTasks() {
	client := s.d.client()
	defer client.CloseIdleConnections()
	entry := s.alive()[0]
	for _, one := range s.submitted {
		status, phase := 0, task.Waiting
		for start := time.Now(); !phase.Ended() && time.Since(start) < tasksEnd; time.Sleep(time.Second) {
			status, phase = s.phase(client, entry, one.id)
			if status == http.StatusNotFound {
				break
			}
		}
		switch {
		case one.accepted && status != http.StatusOK:
			s.breach("P9: accepted task %s is answered with status %d", one.id, status)
		case one.accepted && !phase.Ended():
			s.breach("P9: accepted task %s stays %s", one.id, phase)
		case one.cancelled && phase != task.Cancelled:
			s.breach("P9: task %s was cancelled, but is %s", one.id, phase)
		case one.refused && status == http.StatusOK:
			s.breach("P4: task %s was refused as not run, but is %s", one.id, phase)
		}
		if runs := len(s.tasks.Trace(one.id)); runs > 1 {
			s.breach("P5: task %s ran %d times: %+v", one.id, runs, s.tasks.Trace(one.id))
		}
	}
}

func (s *trial) phase(client *http.Client, entry int, id string) (status int, phase task.Phase) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address(callerPorts, entry).String()+"/tasks/"+id, http.NoBody)
	require.NoError(s.d.t, err)
	request.Header.Set(acaciatally.TeamHeader, "survey")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var view TaskView
	_ = json.NewDecoder(response.Body).Decode(&view)
	return response.StatusCode, view.Phase
}

// check judges the requests and the log after the entries have stopped.
func (s *trial) check() {
	answered := 0
	for _, one := range s.callers {
		for _, r := range one.replies {
			s.checkReply(r)
			if r.outcome == "" && !r.cut {
				answered++
			}
		}
	}
	if answered < 100 {
		s.breach("only %d requests were answered", answered)
	}
	s.checkLog()
}

func (s *trial) checkReply(r reply) {
	entry := s.entries[r.entry]
	switch {
	case !r.idempotent && s.endpoint.ids[r.id] > 1:
		s.breach("P5: request %s ran %d times", r.id, s.endpoint.ids[r.id])
	case r.outcome == acaciatally.NotRun && s.endpoint.calls[r.call] > 0:
		s.breach("P4: call %s was refused as not run, but ran", r.call)
	case r.outcome == "" && !r.cut && r.answer != r.id:
		s.breach("P3: request %s got the answer %q", r.id, r.answer)
	case r.cut && !entry.killed && !entry.froze && !r.impatient:
		s.breach("P3: call %s through live entry %d was cut", r.call, r.entry)
	}
}

// checkLog replays the log and judges budgets, pools and commands by rules of its own.
func (s *trial) checkLog() {
	rows, err := s.d.table.Scan(context.Background(), "Changelog/Record/", "", 1<<30)
	require.NoError(s.d.t, err)
	state, commands := fleet.New(), map[string]int{}
	for _, row := range rows {
		var record fleet.Record
		require.NoError(s.d.t, json.Unmarshal(row.Value, &record))
		next, err := state.Apply(record)
		require.NoError(s.d.t, err)
		commands[record.CommandID]++
		s.checkRecord(state, next, record)
		s.checkLeaving(state, next)
		state = next
	}
	s.checkLeaving(state, fleet.New())
	for _, one := range s.orders {
		switch count := commands[one.id]; {
		case one.accepted && count != 1:
			s.breach("P9: accepted order %s (%s) is %d times in the log", one.id, one.text, count)
		case one.refused && count > 0:
			s.breach("P4: refused order %s (%s) is in the log: %q", one.id, one.text, one.tries)
		}
	}
}

func (s *trial) checkRecord(before, after *fleet.State, record fleet.Record) {
	members := map[acaciatally.InstanceID]int{}
	for _, pool := range after.PoolNames() {
		for _, member := range after.Members(pool) {
			members[member.ID]++
		}
	}
	for id, pools := range members {
		if pools != 1 {
			s.breach("P2: %s is in %d pools at version %d", id, pools, record.Version)
		}
	}
	if len(members) != trialWorkers {
		s.breach("P2: %d instances are in pools at version %d", len(members), record.Version)
	}
	for _, change := range record.Changes {
		if set := change.SetPhase; set != nil && set.Phase == fleet.Draining && before.Instances[set.ID].Phase == fleet.Serving {
			s.checkBudget(after, set.ID, record.Version)
		}
	}
}

func (s *trial) checkBudget(state *fleet.State, id acaciatally.InstanceID, version uint64) {
	pool, down := state.Pools[state.Instances[id].Pool], 0
	members := state.Members(pool.Name)
	for i := range members {
		if members[i].Phase != fleet.Serving {
			down++
		}
	}
	if down > pool.MaxUnavailable || len(members)-down < pool.MinAvailable {
		s.breach("P1: %d of %d instances of pool %s are out at version %d", down, len(members), pool.Name, version)
	}
}

// checkLeaving judges the arrivals during each drain that ends with the state after it; an empty state is the end of the log.
func (s *trial) checkLeaving(before, after *fleet.State) {
	for id, was := range before.Instances {
		now := after.Instances[id]
		if was.Phase != fleet.Draining || now.PhaseSince.Equal(was.PhaseSince) {
			continue
		}
		until := now.PhaseSince
		if until.IsZero() { // at the end of the log
			until = time.Now()
		}
		for _, one := range s.arrivals {
			if one.id == id && one.at.After(was.PhaseSince.Add(leavingLimit)) && one.at.Before(until) {
				s.breach("P6: %s got a request %s after it began to leave", id, one.at.Sub(was.PhaseSince))
			}
		}
	}
}
