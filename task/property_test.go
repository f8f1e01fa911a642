package task_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/standin"
	"github.com/acaciatally/acaciatally/task"
)

// incident is a fault or an action at a time of a scenario.
type incident struct {
	At   int // seconds
	Kind string
	Pick int
}

type scenario struct {
	Specs     []task.Spec
	Incidents []incident
	Way       interruption
}

const (
	faultyTime = 4 * time.Minute
	calmTime   = 12 * time.Minute
	teams      = 3
)

var kinds = []string{"silent", "speaks", "crash", "loss", "lose answers", "down", "slow", "heal", "cancel", "drain", "serve"}

func drawScenario(rt *rapid.T) (s scenario) {
	for i := range rapid.IntRange(2, 10).Draw(rt, "tasks") {
		profile := uses(
			float64(rapid.IntRange(1, 48).Draw(rt, "processors")), int64(rapid.IntRange(1, 160).Draw(rt, "memory")),
			time.Duration(rapid.IntRange(1, 120).Draw(rt, "seconds"))*time.Second)
		profile.Checkpoints = rapid.Bool().Draw(rt, "checkpoints")
		one := spec(fmt.Sprintf("task-%d", i), profile)
		one.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		one.Urgency = acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency"))
		one.Team = acaciatally.TeamName(fmt.Sprintf("team-%d", rapid.IntRange(1, teams).Draw(rt, "team")))
		s.Specs = append(s.Specs, one)
	}
	for range rapid.IntRange(0, 8).Draw(rt, "incidents") {
		s.Incidents = append(s.Incidents, incident{
			At:   rapid.IntRange(0, int(faultyTime.Seconds())-1).Draw(rt, "at"),
			Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Pick: rapid.IntRange(0, 9).Draw(rt, "pick"),
		})
	}
	s.Way = interruption{
		at: rapid.IntRange(0, 60).Draw(rt, "interrupted call"), after: rapid.Bool().Draw(rt, "after its effect"),
		freeze: time.Duration(rapid.IntRange(0, 2).Draw(rt, "frozen")) * 50 * time.Second,
	}
	return s
}

func (w *world) cause(s scenario, happening incident) {
	worker := w.view().Workers[happening.Pick%len(w.view().Workers)].ID
	switches := w.faults.Switches()
	switch happening.Kind {
	case "silent":
		w.tasks.SetFaults(worker, standin.TaskWorkerFaults{Silent: true})
	case "speaks":
		w.tasks.SetFaults(worker, standin.TaskWorkerFaults{})
	case "crash":
		w.tasks.Crash(worker)
	case "loss":
		switches.LossShare = 0.3
	case "lose answers":
		switches.LoseCommitAnswers = happening.Pick
	case "down":
		switches.Down = true
	case "slow":
		switches.Delay, switches.LateCommits = time.Duration(happening.Pick)*time.Second/2, true
	case "heal":
		switches = standin.Switches{}
	case "cancel":
		one := s.Specs[happening.Pick%len(s.Specs)]
		go func() { _, _ = w.frontend.Cancel(w.ctx, one.Team, one.ID) }()
	case "drain":
		w.setState(worker, task.Leaving)
	case "serve":
		w.setState(worker, task.Serving)
	}
	w.faults.Set(switches)
}

// play submits the tasks, causes the incidents and lets two controllers work until long after the last fault.
func (w *world) play(s scenario) (accepted []task.Spec) {
	way := &interrupter{Faults: w.faults, interruption: s.Way}
	first := w.runnerOver("entry-1", way, way)
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	go func() { _ = first.Run(ctx) }()
	w.control("entry-2")
	errs := make([]error, len(s.Specs))
	for i, one := range s.Specs {
		go func() { _, errs[i] = w.frontend.Submit(w.ctx, one) }()
	}
	for second := range int(faultyTime.Seconds()) {
		for _, happening := range s.Incidents {
			if happening.At == second {
				w.cause(s, happening)
			}
		}
		time.Sleep(time.Second)
	}
	w.faults.Set(standin.Switches{})
	for _, worker := range w.view().Workers {
		w.tasks.SetFaults(worker.ID, standin.TaskWorkerFaults{})
		w.setState(worker.ID, task.Serving)
	}
	time.Sleep(calmTime)
	synctest.Wait()
	for i, one := range s.Specs {
		var refused *acaciatally.Refusal
		switch {
		case errs[i] == nil:
			accepted = append(accepted, one)
		case errors.As(errs[i], &refused) && refused.Outcome == acaciatally.NotRun:
			require.Empty(w.t, w.tasks.Trace(one.ID), "a task refused as not run did run")
		}
	}
	return accepted
}

// TestNothingLostOrDoubled guards against tasks that are lost, run twice without leave, or given more of a worker than it has, under
// any two faults together (P4, P5, P9).
func TestNothingLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("%+v", s)
				}
			}()
			w := newWorld(t, 3)
			w.round = time.Second
			for _, one := range w.play(s) {
				record := w.record(one.ID)
				require.True(t, record.Phase.Ended(), "%s is %s: %+v %+v", one.ID, record.Phase, record.Decisions, w.tasks.Trace(one.ID))
				w.requireTruth(record)
			}
			require.Zero(t, w.tasks.Excess().Memory)
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// requireTruth compares what a row says with what the task did.
func (w *world) requireTruth(record task.Record) {
	w.t.Helper()
	traces := w.tasks.Trace(record.Spec.ID)
	done := false
	for _, trace := range traces {
		done = done || trace.State == acaciatally.TaskDone
		require.NotEqual(w.t, acaciatally.TaskRunning, trace.State)
	}
	if !record.Spec.Idempotent {
		w.requireSingleEffect(record.Spec.ID)
	}
	switch record.Phase {
	case task.Done:
		require.True(w.t, done)
	case task.Unknown:
		require.False(w.t, record.Spec.Idempotent)
	case task.Failed, task.Impossible:
		require.Fail(w.t, "no task of the scenario fails", "%+v %+v", record, traces)
	}
}
