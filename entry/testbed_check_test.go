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
func (b *testbed) convergeAndStop() {
	ctx := context.Background()
	require.NoError(b.d.t, b.directLog.Poll(ctx))
	head := b.directLog.State().Version
	time.Sleep(convergenceLimit)
	b.checkVersions()
	for _, i := range b.liveEntries() {
		if version := b.entries[i].version; version < head {
			b.addViolation("P8: entry %d has version %d, but %d was accepted %s ago", i, version, head, convergenceLimit)
		}
	}
	b.awaitTasks()
	b.d.close()
}

// awaitTasks waits for the tasks to end. It checks that a live entry knows every accepted task and that it ends, that cancelled tasks
// are cancelled, that refused tasks do not exist, and that no task ran twice.
func (b *testbed) awaitTasks() {
	client := b.d.client()
	defer client.CloseIdleConnections()
	entry := b.liveEntries()[0]
	for _, one := range b.submissions {
		status, phase := 0, task.Waiting
		for start := time.Now(); !phase.Ended() && time.Since(start) < taskEndLimit; time.Sleep(time.Second) {
			status, phase = b.taskPhase(client, entry, one.id)
			if status == http.StatusNotFound {
				break
			}
		}
		switch {
		case one.accepted && status != http.StatusOK:
			b.addViolation("P9: accepted task %s is answered with status %d", one.id, status)
		case one.accepted && !phase.Ended():
			b.addViolation("P9: accepted task %s stays %s", one.id, phase)
		case one.cancelled && phase != task.Cancelled:
			b.addViolation("P9: task %s was cancelled, but is %s", one.id, phase)
		case one.refused && status == http.StatusOK:
			b.addViolation("P4: task %s was refused as not run, but is %s", one.id, phase)
		}
		if runs := len(b.tasks.Trace(one.id)); runs > 1 {
			b.addViolation("P5: task %s ran %d times: %+v", one.id, runs, b.tasks.Trace(one.id))
		}
	}
}

func (b *testbed) taskPhase(client *http.Client, entry int, id string) (status int, phase task.Phase) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address(callerPorts, entry).String()+"/tasks/"+id, http.NoBody)
	require.NoError(b.d.t, err)
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
func (b *testbed) checkResults() {
	answered := 0
	for _, one := range b.callers {
		for _, r := range one.replies {
			b.checkReply(r)
			if r.outcome == "" && !r.cut {
				answered++
			}
		}
	}
	if answered < 100 {
		b.addViolation("only %d requests were answered", answered)
	}
	b.checkLog()
}

func (b *testbed) checkReply(r reply) {
	entry := b.entries[r.entry]
	switch {
	case !r.idempotent && b.endpoint.runsByRequest[r.id] > 1:
		b.addViolation("P5: request %s ran %d times", r.id, b.endpoint.runsByRequest[r.id])
	case r.outcome == acaciatally.NotRun && b.endpoint.runsByCall[r.call] > 0:
		b.addViolation("P4: call %s was refused as not run, but ran", r.call)
	case r.outcome == "" && !r.cut && r.answer != r.id:
		b.addViolation("P3: request %s got the answer %q", r.id, r.answer)
	case r.cut && !entry.killed && !entry.wasFrozen && !r.impatient:
		b.addViolation("P3: call %s through live entry %d was cut", r.call, r.entry)
	}
}

// checkLog replays the changelog and checks budgets, pools and commands with rules that are independent of the code under test.
func (b *testbed) checkLog() {
	rows, err := b.d.table.Scan(context.Background(), "Changelog/Record/", "", 1<<30)
	require.NoError(b.d.t, err)
	state, recordCounts := fleet.New(), map[string]int{} // record counts by command id
	for _, row := range rows {
		var record fleet.Record
		require.NoError(b.d.t, json.Unmarshal(row.Value, &record))
		next, err := state.Apply(record)
		require.NoError(b.d.t, err)
		recordCounts[record.CommandID]++
		b.checkRecord(state, next, record)
		b.checkLeaving(state, next)
		state = next
	}
	b.checkLeaving(state, fleet.New())
	for _, one := range b.commands {
		switch count := recordCounts[one.id]; {
		case one.accepted && count != 1:
			b.addViolation("P9: accepted command %s (%s) is %d times in the log", one.id, one.text, count)
		case one.refused && count > 0:
			b.addViolation("P4: refused command %s (%s) is in the log: %q", one.id, one.text, one.attempts)
		}
	}
}

func (b *testbed) checkRecord(before, after *fleet.State, record fleet.Record) {
	members := map[acaciatally.InstanceID]int{}
	for _, pool := range after.PoolNames() {
		for _, member := range after.Members(pool) {
			members[member.ID]++
		}
	}
	for id, pools := range members {
		if pools != 1 {
			b.addViolation("P2: %s is in %d pools at version %d", id, pools, record.Version)
		}
	}
	if len(members) != workerCount {
		b.addViolation("P2: %d instances are in pools at version %d", len(members), record.Version)
	}
	for _, change := range record.Changes {
		if set := change.SetPhase; set != nil && set.Phase == fleet.Draining && before.Instances[set.ID].Phase == fleet.Serving {
			b.checkBudget(after, set.ID, record.Version)
		}
	}
}

func (b *testbed) checkBudget(state *fleet.State, id acaciatally.InstanceID, version uint64) {
	pool, down := state.Pools[state.Instances[id].Pool], 0
	members := state.Members(pool.Name)
	for i := range members {
		if members[i].Phase != fleet.Serving {
			down++
		}
	}
	if down > pool.MaxUnavailable || len(members)-down < pool.MinAvailable {
		b.addViolation("P1: %d of %d instances of pool %s are out at version %d", down, len(members), pool.Name, version)
	}
}

// checkLeaving checks the arrivals during each drain that ends between the two states. An empty second state means the end of the log.
func (b *testbed) checkLeaving(before, after *fleet.State) {
	for id, was := range before.Instances {
		now := after.Instances[id]
		if was.Phase != fleet.Draining || now.PhaseSince.Equal(was.PhaseSince) {
			continue
		}
		until := now.PhaseSince
		if until.IsZero() { // end of the log
			until = time.Now()
		}
		for _, one := range b.arrivals {
			if one.id == id && one.at.After(was.PhaseSince.Add(leavingLimit)) && one.at.Before(until) {
				b.addViolation("P6: %s got a request %s after it began to leave", id, one.at.Sub(was.PhaseSince))
			}
		}
	}
}
