package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// questionWorkers bounds the workers of one question; its cost grows with them.
	questionWorkers = 30
	// questionsAtOnce keeps the questions that wait at the service below its bound of 32 for one sender.
	questionsAtOnce = 8
	// questionRetry is the pause after a question without answer, or one that allowed nobody.
	questionRetry = 500 * time.Millisecond
	// ticketMargin is left of a ticket's life when a start is sent.
	ticketMargin = 300 * time.Millisecond
)

// Question asks which workers may run a step.
type Question struct {
	Job        acaciatally.JobID
	Occurrence int
	Step       int
	Workers    []acaciatally.WorkerID
}

// permissions are the answers about one step.
type permissions struct {
	tickets map[acaciatally.WorkerID]string
	refused map[acaciatally.WorkerID]bool // never allowed, since the answer does not change
	until   time.Duration                 // end of the tickets' life
	asking  bool
	askAt   time.Duration
}

// permitted reports whether the step of the task needs no permission, or the worker has one that is valid for long enough.
func (m *Machine) permitted(t *task, id acaciatally.WorkerID, now time.Duration) bool {
	if t.job.accepted.Queue.Advice == nil {
		return true
	}
	p := m.advice[t.stepKey()]
	return p != nil && p.tickets[id] != "" && now+ticketMargin < p.until
}

// ticket returns the worker's ticket for the step of the task; empty where the queue needs none.
func (m *Machine) ticket(t *task, id acaciatally.WorkerID) string {
	if p := m.advice[t.stepKey()]; p != nil {
		return p.tickets[id]
	}
	return ""
}

// Questions returns the questions to be asked now, for steps that may start and have no valid permission.
func (m *Machine) Questions(now time.Duration) (questions []Question) {
	asking := 0
	for _, p := range m.advice {
		if p.asking {
			asking++
		}
	}
	for _, j := range m.jobs {
		if j.accepted.Queue.Advice == nil || !j.live() {
			continue
		}
		for _, o := range j.open {
			for number := range o.steps {
				if asking >= questionsAtOnce {
					return questions
				}
				if question, found := m.question(j, o, number, now); found {
					asking++
					questions = append(questions, question)
				}
			}
		}
	}
	return questions
}

func (m *Machine) question(j *activeJob, o *occurrence, number int, now time.Duration) (question Question, found bool) {
	if !slices.ContainsFunc(o.steps[number], waitingTask) || !o.ready(&j.accepted.Spec, number) {
		return question, false
	}
	key := stepKey{j.id, o.number, number}
	p := m.advice[key]
	if p == nil {
		p = &permissions{tickets: map[acaciatally.WorkerID]string{}, refused: map[acaciatally.WorkerID]bool{}}
		m.advice[key] = p
	}
	valid := len(p.tickets) > 0 && now+ticketMargin < p.until
	if p.asking || valid || now < p.askAt {
		return question, false
	}
	workers := m.askable(j, number, p, now)
	if len(workers) == 0 {
		clear(p.refused) // workers have new lives, for which the answer may differ
		p.askAt = now + questionRetry
		return question, false
	}
	p.asking = true
	return Question{Job: j.id, Occurrence: o.number, Step: number, Workers: workers}, true
}

// askable returns the workers with the most room that may run the step and were not refused.
func (m *Machine) askable(j *activeJob, number int, p *permissions, now time.Duration) (workers []acaciatally.WorkerID) {
	candidates := m.candidates(j.accepted.Queue.Pool, now)
	slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(b.free.Processors, a.free.Processors) })
	for _, c := range candidates {
		id := c.w.entry.ID
		if len(workers) < questionWorkers && !p.refused[id] && c.w.entry.HasLabel(j.accepted.Spec.Steps[number].Label) {
			workers = append(workers, id)
		}
	}
	return workers
}

// Advised takes in the answer to a question.
func (m *Machine) Advised(question Question, advice acaciatally.Advice, err error, now time.Duration) {
	p := m.advice[stepKey{question.Job, question.Occurrence, question.Step}]
	if p == nil {
		return
	}
	p.asking, p.askAt = false, now+questionRetry
	if err != nil {
		return
	}
	clear(p.tickets)
	for _, permission := range advice.Permissions {
		p.tickets[permission.Worker] = permission.Ticket
	}
	for _, id := range question.Workers {
		p.refused[id] = p.tickets[id] == ""
	}
	p.until = now + advice.Valid
	m.placeAt = now
}

// forgetAdvice drops the permissions of a job that has ended.
func (m *Machine) forgetAdvice(id acaciatally.JobID) {
	for key := range m.advice {
		if key.job == id {
			delete(m.advice, key)
		}
	}
}
