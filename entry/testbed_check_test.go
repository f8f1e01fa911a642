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
	// convergenceLimit is the guaranteed time after which every live entry has applied a change.
	convergenceLimit = 11 * time.Second
	// leavingLimit is the guaranteed time after which a leaving worker gets no new requests.
	leavingLimit = 3 * time.Second
	// taskEndLimit leaves time for the leases of lost attempts to expire and for a new leader to determine which tasks still run.
	taskEndLimit = 10 * time.Minute
)

// convergeAndStop checks that the entries converge in time after the faults, waits for the tasks to end, and stops the entries.
func (s *testbed) convergeAndStop() {
	ctx := context.Background()
	require.NoError(s.d.t, s.directLog.Poll(ctx))
	head := s.directLog.State().Version
	time.Sleep(convergenceLimit)
	s.checkVersions()
	for _, i := range s.liveEntries() {
		if version := s.entries[i].version; version < head {
			s.addViolation("P8: entry %d has version %d, but %d was accepted %s ago", i, version, head, convergenceLimit)
		}
	}
	s.awaitTasks()
	s.d.close()
}

// awaitTasks waits for the tasks to end. It checks that a live entry knows every accepted task and that it ends, that cancelled tasks
// are cancelled, that refused tasks do not exist, and that no task ran twice.
func (s *testbed) awaitTasks() {
	client := s.d.client()
	defer client.CloseIdleConnections()
	entry := s.liveEntries()[0]
	for _, one := range s.submissions {
		status, phase := 0, task.Waiting
		for start := time.Now(); !phase.Ended() && time.Since(start) < taskEndLimit; time.Sleep(time.Second) {
			status, phase = s.taskPhase(client, entry, one.id)
			if status == http.StatusNotFound {
				break
			}
		}
		switch {
		case one.accepted && status != http.StatusOK:
			s.addViolation("P9: accepted task %s is answered with status %d", one.id, status)
		case one.accepted && !phase.Ended():
			s.addViolation("P9: accepted task %s stays %s", one.id, phase)
		case one.cancelled && phase != task.Cancelled:
			s.addViolation("P9: task %s was cancelled, but is %s", one.id, phase)
		case one.refused && status == http.StatusOK:
			s.addViolation("P4: task %s was refused as not run, but is %s", one.id, phase)
		}
		if runs := len(s.tasks.Trace(one.id)); runs > 1 {
			s.addViolation("P5: task %s ran %d times: %+v", one.id, runs, s.tasks.Trace(one.id))
		}
	}
}

func (s *testbed) taskPhase(client *http.Client, entry int, id string) (status int, phase task.Phase) {
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

// checkResults checks the replies and the changelog after the entries have stopped.
func (s *testbed) checkResults() {
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
		s.addViolation("only %d requests were answered", answered)
	}
	s.checkLog()
}

func (s *testbed) checkReply(r reply) {
	entry := s.entries[r.entry]
	switch {
	case !r.idempotent && s.endpoint.runsByRequest[r.id] > 1:
		s.addViolation("P5: request %s ran %d times", r.id, s.endpoint.runsByRequest[r.id])
	case r.outcome == acaciatally.NotRun && s.endpoint.runsByCall[r.call] > 0:
		s.addViolation("P4: call %s was refused as not run, but ran", r.call)
	case r.outcome == "" && !r.cut && r.answer != r.id:
		s.addViolation("P3: request %s got the answer %q", r.id, r.answer)
	case r.cut && !entry.killed && !entry.wasFrozen && !r.impatient:
		s.addViolation("P3: call %s through live entry %d was cut", r.call, r.entry)
	}
}

// checkLog replays the changelog and checks budgets, pools and commands with rules that are independent of the code under test.
func (s *testbed) checkLog() {
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
			s.addViolation("P9: accepted order %s (%s) is %d times in the log", one.id, one.text, count)
		case one.refused && count > 0:
			s.addViolation("P4: refused order %s (%s) is in the log: %q", one.id, one.text, one.attempts)
		}
	}
}

func (s *testbed) checkRecord(before, after *fleet.State, record fleet.Record) {
	members := map[acaciatally.InstanceID]int{}
	for _, pool := range after.PoolNames() {
		for _, member := range after.Members(pool) {
			members[member.ID]++
		}
	}
	for id, pools := range members {
		if pools != 1 {
			s.addViolation("P2: %s is in %d pools at version %d", id, pools, record.Version)
		}
	}
	if len(members) != workerCount {
		s.addViolation("P2: %d instances are in pools at version %d", len(members), record.Version)
	}
	for _, change := range record.Changes {
		if set := change.SetPhase; set != nil && set.Phase == fleet.Draining && before.Instances[set.ID].Phase == fleet.Serving {
			s.checkBudget(after, set.ID, record.Version)
		}
	}
}

func (s *testbed) checkBudget(state *fleet.State, id acaciatally.InstanceID, version uint64) {
	pool, down := state.Pools[state.Instances[id].Pool], 0
	members := state.Members(pool.Name)
	for i := range members {
		if members[i].Phase != fleet.Serving {
			down++
		}
	}
	if down > pool.MaxUnavailable || len(members)-down < pool.MinAvailable {
		s.addViolation("P1: %d of %d instances of pool %s are out at version %d", down, len(members), pool.Name, version)
	}
}

// checkLeaving checks the arrivals during each drain that ends between the two states. An empty second state means the end of the log.
func (s *testbed) checkLeaving(before, after *fleet.State) {
	for id, was := range before.Instances {
		now := after.Instances[id]
		if was.Phase != fleet.Draining || now.PhaseSince.Equal(was.PhaseSince) {
			continue
		}
		until := now.PhaseSince
		if until.IsZero() { // end of the log
			until = time.Now()
		}
		for _, one := range s.arrivals {
			if one.id == id && one.at.After(was.PhaseSince.Add(leavingLimit)) && one.at.Before(until) {
				s.addViolation("P6: %s got a request %s after it began to leave", id, one.at.Sub(was.PhaseSince))
			}
		}
	}
}
