package model

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

// request is one request of a caller.
type request struct {
	id       string
	source   *Source
	team     *TeamTally
	pool     *pool
	entry    *entry
	arrived  time.Duration
	deadline time.Duration
	service  time.Duration
	attempts int
	started  bool
	wait     time.Duration
	tried    []acaciatally.InstanceID
	ended    bool
	onEnd    func()
}

// start notes the first start at a worker.
func (r *request) start(now time.Duration) {
	if !r.started {
		r.started, r.wait = true, now-r.arrived
	}
}

func (r *request) item() queue.Item {
	return queue.Item{
		ID: r.id, Team: r.team.Team, Urgency: r.source.Urgency, Deadline: epoch.Add(r.deadline),
		Bytes: r.source.Bytes, DataCentre: r.entry.dataCentre, Idempotent: true,
	}
}

// stream generates the arrivals of one source. Each stream has its own random numbers, so that a run without a flood has the
// same ordinary requests as the run with it.
type stream struct {
	source *Source
	pool   *pool
	random *rand.Rand
	teams  []*TeamTally
	index  int
	count  int
	rate   float64 // mean arrivals per second
}

// factor returns the factor on the demand at a time and the time until which it holds.
func (s *stream) factor(now, end time.Duration) (factor float64, until time.Duration) {
	until = end
	for _, phase := range s.source.Phases {
		if now >= phase.From && now < phase.To {
			return phase.Factor, min(end, phase.To)
		}
		if phase.From > now {
			until = min(until, phase.From)
		}
	}
	return s.source.Otherwise, until
}

// next returns the time of the arrival after now; found is false when none comes before the end.
func (s *stream) next(now, end time.Duration) (at time.Duration, found bool) {
	for now < end {
		factor, until := s.factor(now, end)
		if rate := s.rate * factor; rate > 0 {
			at = now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
			if at < until {
				return at, true
			}
		}
		now = until
	}
	return 0, false
}

// schedule arranges the stream's next arrival.
func (s *simulation) schedule(stream *stream) {
	at, found := stream.next(s.clock.now, s.config.Duration)
	if !found {
		return
	}
	s.clock.after(at-s.clock.now, func() {
		request := s.create(stream)
		s.schedule(stream)
		s.policy.submit(request)
	})
}

func (s *simulation) create(stream *stream) *request {
	stream.count++
	source := stream.source
	created := &request{
		id:       strconv.Itoa(stream.index) + "/" + strconv.Itoa(stream.count),
		source:   source,
		team:     stream.teams[stream.random.IntN(len(stream.teams))],
		pool:     stream.pool,
		entry:    s.entries[stream.random.IntN(len(s.entries))],
		arrived:  s.clock.now,
		deadline: s.clock.now + source.Deadline - 2*toClient,
		service:  logNormal(stream.random, source.Service, source.Spread),
	}
	s.count(created, func(t *Tally) { t.Offered++ })
	created.team.Offered++
	s.open++
	return created
}

// logNormal draws a duration of the given mean; spread is the standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}
