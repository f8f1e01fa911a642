package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// TestAdvice guards against starts on workers without a ticket, with one that is about to end, and against steps that wait for ever.
func TestAdvice(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1), workerOf(2))
	m.Load("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{oneStep(3, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: pool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	require.Empty(t, started(m, 0))
	questions := m.Questions(0)
	require.Len(t, questions, 1)
	require.Len(t, questions[0].Workers, 2)
	require.Empty(t, m.Questions(0), "one question about a step at a time")
	m.Advised(questions[0], acaciatally.Advice{}, acaciatally.ErrUnavailable, 0)
	require.Empty(t, m.Questions(0))
	questions = m.Questions(questionRetry)
	require.Len(t, questions, 1)
	m.Advised(questions[0], acaciatally.Advice{
		Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-2", Ticket: "x"}},
	}, nil, questionRetry)
	orders := started(m, questionRetry)
	require.Len(t, orders, 3)
	for _, order := range orders {
		require.Equal(t, acaciatally.WorkerID("i-2"), order.Worker.ID)
		require.Equal(t, "x", order.Start.Permission)
	}
}

// TestTicketEnds guards against a start with a ticket whose life is over.
func TestTicketEnds(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	m.Load("aa", job.Accepted{
		Spec:  acaciatally.JobSpec{Steps: []acaciatally.Step{oneStep(1, 1000)}},
		Queue: acaciatally.Queue{Name: "quotes", Pool: pool, Attempts: 2, Advice: &acaciatally.AdvicePolicy{}},
	}, job.Progress{State: acaciatally.JobQueued}, 0, 0)
	m.Plan(0, time.UnixMilli(0))
	question := m.Questions(0)[0]
	m.Advised(question, acaciatally.Advice{Valid: time.Second, Permissions: []acaciatally.Permission{{Worker: "i-1", Ticket: "x"}}}, nil, 0)
	require.Empty(t, started(m, time.Second-ticketMargin))
	require.Len(t, m.Questions(time.Second), 1)
}

// TestNextPace guards against work that fills and keeps a serving task over its objective, and work that stays slow without need.
func TestNextPace(t *testing.T) {
	tests := map[string]struct {
		present int
		worst   float64
		next    int
	}{
		"over":           {100, 1.2, 0},
		"near":           {100, 0.9, 50},
		"between":        {50, 0.7, 50},
		"calm":           {50, 0.3, 65},
		"calm again":     {95, 0.1, 100},
		"nothing serves": {0, 0, 15},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.next, nextPace(test.present, test.worst)) })
	}
}

// TestPace guards against a worker whose reports of long response times change nothing.
func TestPace(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	serving, filling := oneStep(1, 1000), oneStep(1, 1000)
	serving.Lasting, serving.TailObjective = true, 100*time.Millisecond
	filling.Lasting, filling.Backfill = true, true
	submit(m, "aa", 0, serving, filling)
	orders := started(m, 0)
	require.Len(t, orders, 2)
	report := acaciatally.WorkerReport{Clock: time.Second, Born: time.UnixMilli(1000)}
	for _, order := range orders {
		report.Running = append(report.Running, acaciatally.RunningTask{Task: order.Start.Task, Attempt: 1, Percent: 100, Tail: 150 * time.Millisecond})
	}
	m.Report("i-1", report, time.Second, time.Second)
	var paced []Order
	for _, order := range m.Orders(time.Second) {
		if order.Kind == OrderPace {
			paced = append(paced, order)
		}
	}
	require.Len(t, paced, 1)
	require.Equal(t, 1, paced[0].Start.Task.Step)
	require.Zero(t, paced[0].Percent)
}

// TestLastingFindsRoom guards against a lasting task that waits while others fill its pool, and against more stops than it needs.
func TestLastingFindsRoom(t *testing.T) {
	m, _ := newMachine()
	ready(m, workerOf(1))
	now := time.Second
	submit(m, "aa", now, oneStep(4, 2000))
	orders := started(m, now)
	require.Len(t, orders, 4)
	lasting := oneStep(1, 3000)
	lasting.Lasting = true
	submit(m, "bb", now, lasting)
	require.Empty(t, started(m, now))
	require.Empty(t, m.Orders(now))
	now += preemptAfter + time.Millisecond
	m.Plan(now, time.UnixMilli(0))
	stops := 0
	for _, order := range m.Orders(now) {
		if order.Kind == OrderStop {
			stops++
		}
	}
	require.Equal(t, 2, stops)
}
