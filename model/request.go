package model

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

// request is the state of one simulated request.
type request struct {
	id           string
	source       *Source
	team         *TeamTally
	pool         *pool
	entry        *entry
	arrived      time.Duration
	deadline     time.Duration
	service      time.Duration
	attempts     int
	started      bool
	wait         time.Duration
	triedWorkers []acaciatally.InstanceID
	finished     bool
	onFinish     func()
}

// start records the first start at a worker and the wait until then.
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

// stream generates the arrivals of one source. Each stream has its own random number generator, so that runs with and without a flood
// have the same ordinary requests.
type stream struct {
	source *Source
	pool   *pool
	random *rand.Rand
	teams  []*TeamTally
	index  int
	count  int
	rate   float64 // mean arrivals per second
}

// factor returns the factor by which the demand is multiplied at a time, and the time until which it applies.
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
	return s.source.BaseFactor, until
}

// next returns the time of the next arrival after now; found is false if there is none before the end.
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

// scheduleArrival schedules the stream's next arrival, which schedules the one after it.
func (s *simulation) scheduleArrival(stream *stream) {
	at, found := stream.next(s.clock.now, s.config.Duration)
	if !found {
		return
	}
	s.clock.after(at-s.clock.now, func() {
		request := s.newRequest(stream)
		s.scheduleArrival(stream)
		s.policy.submit(request)
	})
}

func (s *simulation) newRequest(stream *stream) *request {
	stream.count++
	source := stream.source
	created := &request{
		id:       strconv.Itoa(stream.index) + "/" + strconv.Itoa(stream.count),
		source:   source,
		team:     stream.teams[stream.random.IntN(len(stream.teams))],
		pool:     stream.pool,
		entry:    s.entries[stream.random.IntN(len(s.entries))],
		arrived:  s.clock.now,
		deadline: s.clock.now + source.Deadline - 2*clientDelay,
		service:  logNormal(stream.random, source.ServiceTime, source.ServiceTimeSpread),
	}
	s.updateTallies(created, func(t *Tally) { t.Offered++ })
	created.team.Offered++
	s.unfinished++
	return created
}

// logNormal draws from a log-normal distribution with the given mean; spread is the standard deviation of the logarithm.
func logNormal(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(spread*random.NormFloat64()-spread*spread/2))
}
