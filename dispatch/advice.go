package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxAdviceWorkers limits the workers in one advice request; the cost of a request grows with their number.
	maxAdviceWorkers = 30
	// maxAdviceRequests limits the advice requests in flight, so that the requests pending at the service stay below its limit of 32 per
	// sender.
	maxAdviceRequests = 8
	// adviceRetry is the delay before the next request for a step after a request that failed or permitted no worker.
	adviceRetry = 500 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when a start order is sent.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest asks the advice service which workers may run a step.
type AdviceRequest struct {
	Job        acaciatally.JobID
	Occurrence int
	Step       int
	Workers    []acaciatally.WorkerID
}

// stepPermissions holds the answers of the advice service for one step. They hold for one incarnation of a worker, which its start time identifies.
type stepPermissions struct {
	tickets       map[acaciatally.WorkerID]ticket
	refused       map[acaciatally.WorkerID]time.Time // workers not to ask again, since the answer does not change, with their start times
	asked         map[acaciatally.WorkerID]time.Time // workers in the request in flight, with their start times when it was sent
	expiresAt     time.Duration                      // when the tickets expire
	inFlight      bool
	nextRequestAt time.Duration
}

// ticket permits one incarnation of a worker to run a step.
type ticket struct {
	value       string
	workerStart time.Time
}

// permitted reports whether the worker may run the task: its queue needs no permission, or the worker has a ticket that stays valid for at
// least ticketMargin.
func (s *Scheduler) permitted(t *task, id acaciatally.WorkerID, now time.Duration) bool {
	if t.job.accepted.Queue.Advice == nil {
		return true
	}
	p := s.permissions[t.stepKey()]
	return p != nil && s.ticket(t, id) != "" && now+ticketMargin < p.expiresAt
}

// ticket returns the worker's ticket for the step of the task, or an empty string if there is none for its current incarnation.
func (s *Scheduler) ticket(t *task, id acaciatally.WorkerID) string {
	p := s.permissions[t.stepKey()]
	if p == nil {
		return ""
	}
	known := p.tickets[id]
	if !known.workerStart.Equal(s.workerStart(id)) {
		return ""
	}
	return known.value
}

// workerStart returns the start time of the worker's current incarnation, or the zero time if it is not known.
func (s *Scheduler) workerStart(id acaciatally.WorkerID) (startTime time.Time) {
	if w := s.workers[id]; w != nil {
		startTime = w.startTime
	}
	return startTime
}

// AdviceRequests returns the requests to send now, for steps that are ready to start and have no valid ticket.
func (s *Scheduler) AdviceRequests(now time.Duration) (requests []AdviceRequest) {
	inFlight := 0
	for _, p := range s.permissions {
		if p.inFlight {
			inFlight++
		}
	}
	for _, j := range s.jobs {
		if j.accepted.Queue.Advice == nil || !j.live() {
			continue
		}
		for _, o := range j.openOccurrences {
			for number := range o.steps {
				if inFlight >= maxAdviceRequests {
					return requests
				}
				if request, found := s.adviceRequest(j, o, number, now); found {
					inFlight++
					requests = append(requests, request)
				}
			}
		}
	}
	return requests
}

func (s *Scheduler) adviceRequest(j *activeJob, o *occurrence, step int, now time.Duration) (request AdviceRequest, found bool) {
	if !slices.ContainsFunc(o.steps[step], isWaiting) || !o.ready(&j.accepted.Spec, step) {
		return request, false
	}
	key := stepKey{j.id, o.number, step}
	p := s.permissions[key]
	if p == nil {
		p = &stepPermissions{
			tickets: map[acaciatally.WorkerID]ticket{}, refused: map[acaciatally.WorkerID]time.Time{}, asked: map[acaciatally.WorkerID]time.Time{},
		}
		s.permissions[key] = p
	}
	if !j.usage.hasHeadroom(j.accepted.Spec.Steps[step].Resources) {
		return request, false
	}
	valid := len(p.tickets) > 0 && now+ticketMargin < p.expiresAt && !s.hasRestarted(p)
	if p.inFlight || valid || now < p.nextRequestAt {
		return request, false
	}
	workers := s.adviceCandidates(j, step, p, now)
	if len(workers) == 0 {
		clear(p.refused) // the answer for a worker of which no restart was seen may differ all the same
		p.nextRequestAt = now + adviceRetry
		return request, false
	}
	p.inFlight = true
	clear(p.asked)
	for _, id := range workers {
		p.asked[id] = s.workerStart(id)
	}
	return AdviceRequest{Job: j.id, Occurrence: o.number, Step: step, Workers: workers}, true
}

// hasRestarted reports whether a worker with a ticket has restarted, so that the ticket is void.
func (s *Scheduler) hasRestarted(p *stepPermissions) bool {
	for id, known := range p.tickets {
		if s.workers[id] != nil && !known.workerStart.Equal(s.workerStart(id)) {
			return true
		}
	}
	return false
}

// refusedTo reports whether the current incarnation of the worker may not run the step.
func (s *Scheduler) refusedTo(p *stepPermissions, id acaciatally.WorkerID) bool {
	startTime, refused := p.refused[id]
	return refused && startTime.Equal(s.workerStart(id))
}

// adviceCandidates returns the workers with the most free processors that may get runs of the step, have its label and were not refused.
func (s *Scheduler) adviceCandidates(j *activeJob, step int, p *stepPermissions, now time.Duration) (workers []acaciatally.WorkerID) {
	candidates := s.candidates(j.accepted.Queue.Pool, now)
	if j.accepted.Spec.Steps[step].LongRunning {
		candidates = append(candidates, s.drainingCandidates(j.accepted.Queue.Pool, now)...)
	}
	slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(b.free.Processors, a.free.Processors) })
	for _, c := range candidates {
		id := c.w.entry.ID
		if len(workers) < maxAdviceWorkers && !s.refusedTo(p, id) && c.w.entry.HasLabel(j.accepted.Spec.Steps[step].Label) {
			workers = append(workers, id)
		}
	}
	return workers
}

// AdviceResult handles the answer to an advice request.
func (s *Scheduler) AdviceResult(request AdviceRequest, advice acaciatally.Advice, err error, now time.Duration) {
	p := s.permissions[stepKey{request.Job, request.Occurrence, request.Step}]
	if p == nil {
		return
	}
	p.inFlight, p.nextRequestAt = false, now+adviceRetry
	if err != nil {
		return
	}
	clear(p.tickets)
	for _, permission := range advice.Permissions {
		p.tickets[permission.Worker] = ticket{permission.Ticket, p.asked[permission.Worker]}
	}
	for id, startTime := range p.asked {
		if _, permitted := p.tickets[id]; !permitted {
			p.refused[id] = startTime
		}
	}
	p.expiresAt = now + advice.Valid
	s.nextPlacementAt = now
}

// dropPermissions deletes the permissions of a job.
func (s *Scheduler) dropPermissions(id acaciatally.JobID) {
	for key := range s.permissions {
		if key.job == id {
			delete(s.permissions, key)
		}
	}
}
