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

// faultEvent is a fault or an action at a given time of a scenario.
type faultEvent struct {
	At   int // seconds after the start
	Kind string
	Pick int
}

type scenario struct {
	Specs        []task.Spec
	Events       []faultEvent
	Interruption interruption
}

const (
	faultPhase   = 4 * time.Minute
	recoveryTime = 12 * time.Minute
	teams        = 3
)

var eventKinds = []string{
	"silent", "silence ends", "crash", "lose calls", "lose commit responses", "down", "slow", "recover", "cancel", "drain", "serve",
}

func drawScenario(rt *rapid.T) (s scenario) {
	for i := range rapid.IntRange(2, 10).Draw(rt, "tasks") {
		profile := uses(
			float64(rapid.IntRange(1, 48).Draw(rt, "processors")), int64(rapid.IntRange(1, 160).Draw(rt, "memory")),
			time.Duration(rapid.IntRange(1, 120).Draw(rt, "seconds"))*time.Second)
		profile.Checkpoints = rapid.Bool().Draw(rt, "checkpoints")
		taskSpec := spec(fmt.Sprintf("task-%d", i), profile)
		taskSpec.Idempotent = rapid.Bool().Draw(rt, "idempotent")
		taskSpec.Urgency = acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency"))
		taskSpec.Team = acaciatally.TeamName(fmt.Sprintf("team-%d", rapid.IntRange(1, teams).Draw(rt, "team")))
		s.Specs = append(s.Specs, taskSpec)
	}
	for range rapid.IntRange(0, 8).Draw(rt, "events") {
		s.Events = append(s.Events, faultEvent{
			At:   rapid.IntRange(0, int(faultPhase.Seconds())-1).Draw(rt, "at"),
			Kind: rapid.SampledFrom(eventKinds).Draw(rt, "kind"),
			Pick: rapid.IntRange(0, 9).Draw(rt, "pick"),
		})
	}
	s.Interruption = interruption{
		callNumber: rapid.IntRange(0, 60).Draw(rt, "interrupted call"), afterEffect: rapid.Bool().Draw(rt, "after its effect"),
		freezeTime: time.Duration(rapid.IntRange(0, 2).Draw(rt, "frozen")) * 50 * time.Second,
	}
	return s
}

func (p *testPool) applyEvent(s scenario, event faultEvent) {
	worker := p.view().Workers[event.Pick%len(p.view().Workers)].ID
	switches := p.faults.Switches()
	switch event.Kind {
	case "silent":
		p.tasks.SetFaults(worker, standin.TaskWorkerFaults{Silent: true})
	case "silence ends":
		p.tasks.SetFaults(worker, standin.TaskWorkerFaults{})
	case "crash":
		p.tasks.Crash(worker)
	case "lose calls":
		switches.LossShare = 0.3
	case "lose commit responses":
		switches.LoseCommitAnswers = event.Pick
	case "down":
		switches.Down = true
	case "slow":
		switches.Delay, switches.LateCommits = time.Duration(event.Pick)*time.Second/2, true
	case "recover":
		switches = standin.Switches{}
	case "cancel":
		taskSpec := s.Specs[event.Pick%len(s.Specs)]
		go func() { _, _ = p.frontend.Cancel(p.ctx, taskSpec.Team, taskSpec.ID) }()
	case "drain":
		p.setState(worker, task.Draining)
	case "serve":
		p.setState(worker, task.Serving)
	}
	p.faults.Set(switches)
}

// runScenario submits the tasks, applies the events and lets two controllers work until long after the last fault. It returns the
// accepted tasks.
func (p *testPool) runScenario(s scenario) (accepted []task.Spec) {
	platform := &interruptingPlatform{Faults: p.faults, interruption: s.Interruption}
	first := p.newRunner("entry-1", platform, platform)
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() { _ = first.Run(ctx) }()
	p.startController("entry-2")
	errs := make([]error, len(s.Specs))
	for i, taskSpec := range s.Specs {
		go func() { _, errs[i] = p.frontend.Submit(p.ctx, taskSpec) }()
	}
	for second := range int(faultPhase.Seconds()) {
		for _, event := range s.Events {
			if event.At == second {
				p.applyEvent(s, event)
			}
		}
		time.Sleep(time.Second)
	}
	p.faults.Set(standin.Switches{})
	for _, worker := range p.view().Workers {
		p.tasks.SetFaults(worker.ID, standin.TaskWorkerFaults{})
		p.setState(worker.ID, task.Serving)
	}
	time.Sleep(recoveryTime)
	synctest.Wait()
	for i, taskSpec := range s.Specs {
		var refused *acaciatally.Refusal
		switch {
		case errs[i] == nil:
			accepted = append(accepted, taskSpec)
		case errors.As(errs[i], &refused) && refused.Outcome == acaciatally.NotRun:
			require.Empty(p.t, p.tasks.Trace(taskSpec.ID), "task was refused as not run but ran")
		}
	}
	return accepted
}

// TestNoTaskLostOrRepeated guards against tasks that are lost, repeated although they are not idempotent, or allocated more than a
// worker has, under random combinations of faults.
func TestNoTaskLostOrRepeated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("%+v", s)
				}
			}()
			p := newTestPool(t, 3)
			p.interval = time.Second
			for _, taskSpec := range p.runScenario(s) {
				record := p.record(taskSpec.ID)
				require.True(t, record.Phase.Ended(), "%s is %s: %+v %+v", taskSpec.ID, record.Phase, record.Decisions, p.tasks.Trace(taskSpec.ID))
				p.requireRecordMatchesTraces(record)
			}
			require.Zero(t, p.tasks.MaxOveruse().Memory)
		})
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// requireRecordMatchesTraces compares a task's record with what its attempts did.
func (p *testPool) requireRecordMatchesTraces(record task.Record) {
	p.t.Helper()
	traces := p.tasks.Trace(record.Spec.ID)
	done := false
	for _, trace := range traces {
		done = done || trace.State == acaciatally.TaskDone
		require.NotEqual(p.t, acaciatally.TaskRunning, trace.State)
	}
	if !record.Spec.Idempotent {
		p.requireNoRepeatedWork(record.Spec.ID)
	}
	switch record.Phase {
	case task.Done:
		require.True(p.t, done)
	case task.Unknown:
		require.False(p.t, record.Spec.Idempotent)
	case task.Failed, task.Impossible:
		require.Fail(p.t, "tasks of the scenario do not fail", "%+v %+v", record, traces)
	}
}
