package overload

import (
	"slices"
	"time"
)

// rateTime is the time over which rates are measured: starts come in groups, one for each generation of runs, and the share has to follow the
// load within two seconds.
const rateTime = 1400 * time.Millisecond

// usualTime is the time constant of the usual rate, longer than the surges of 5 to 8 s that it has to leave out.
const usualTime = 15 * time.Second

// rates holds an account's rates of jobs over the last updates.
type rates struct {
	window    time.Duration  // longest span of sum
	intervals []rateInterval // the newest is the last
	usual     float64        // offered jobs a second outside of pressure
}

type rateInterval struct {
	length                   time.Duration
	offered, admitted, begun float64
}

// add adds the load of an interval in which a share of the offered jobs was admitted.
func (r *rates) add(load *Load, share float64, length time.Duration) {
	r.intervals = append(r.intervals, rateInterval{
		length: length, offered: float64(load.Arrived) / share, admitted: float64(load.Arrived), begun: float64(load.Begun),
	})
	covered := time.Duration(0)
	for first := len(r.intervals) - 1; first > 0; first-- {
		if covered += r.intervals[first].length; covered >= max(r.window, rateTime) {
			r.intervals = slices.Delete(r.intervals, 0, first)
			return
		}
	}
}

// sum returns the counts of the last intervals that together are at least as long as the span, and their length.
func (r *rates) sum(span time.Duration) (sum rateInterval) {
	for i := len(r.intervals) - 1; i >= 0 && sum.length < span; i-- {
		sum.length += r.intervals[i].length
		sum.offered += r.intervals[i].offered
		sum.admitted += r.intervals[i].admitted
		sum.begun += r.intervals[i].begun
	}
	return sum
}

// offered returns the jobs a second that callers submit, also those that are refused.
func (r *rates) offered() float64 {
	sum := r.sum(rateTime)
	return sum.offered / max(rateTime, sum.length).Seconds()
}

// admitted returns the jobs a second that are accepted.
func (r *rates) admitted() float64 {
	sum := r.sum(rateTime)
	return sum.admitted / max(rateTime, sum.length).Seconds()
}

// begun returns the jobs a second that get capacity.
func (r *rates) begun() float64 {
	sum := r.sum(rateTime)
	return sum.begun / max(rateTime, sum.length).Seconds()
}

// observeUsual updates the usual rate from the last intervals.
func (r *rates) observeUsual(elapsed time.Duration) {
	r.usual += min(1, elapsed.Seconds()/usualTime.Seconds()) * (r.offered() - r.usual)
}

// returnShare is the share of the room that is given to returning callers. The rest shortens the queue that the surge has left, so that they
// are not refused again for the noise of the rates.
const returnShare = 0.6

// minRoomShare is the share of the begun jobs that counts as room for returning callers even if the usual load leaves none.
const minRoomShare = 0.25

// minRoom is the least room in jobs a second, for an account of which no job was begun lately.
const minRoom = 0.5

// room returns the jobs a second that callers may return with after the surge, beside the usual load.
func (r *rates) room() float64 {
	return returnShare * max(minRoom, r.begun()*minRoomShare, r.begun()-r.usual)
}
