package slot

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
)

// followInterval is how often held slots are compared with the slot homes; a slot whose home was lost is unaccounted for that long.
const followInterval = 100 * time.Millisecond

// follow reports held slots to the pool's present slot home whenever it has changed or was lost, until ctx ends.
func (s *Service) follow(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		known := s.circle.current() // before the report, so that no change is missed
		s.reportHeld()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-known.changed:
		}
	}
}

func (s *Service) reportHeld() {
	s.mu.Lock()
	loans := make([]*loan, 0, len(s.loans))
	for l := range s.loans {
		loans = append(loans, l)
	}
	s.mu.Unlock()
	for _, l := range loans {
		to := s.circle.current().first(l.place.request.Pool)
		stray, lost := l.stray(to)
		if stray && to != "" {
			if lost {
				s.circle.suspect(to)
			} else {
				l.move(to)
			}
		}
	}
}

// stray reports whether the slot is not accounted for at the present slot home, and whether that home was lost twice in a row.
func (l *loan) stray(home acaciatally.EntryID) (stray, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.home != home {
		l.breaks = 0
		return true, false
	}
	select {
	case <-l.lease.broken():
		l.breaks++
		return true, l.breaks > 1
	default:
		l.breaks = 0
		return false, false
	}
}

// move reports the slot to the slot home and then gives up the place at the old one, which counts it twice for that moment only.
func (l *loan) move(to acaciatally.EntryID) {
	fresh := l.service.open(to, l.place, l.worker)
	if fresh == nil {
		return
	}
	l.service.counts.reported.Inc()
	l.mu.Lock()
	old := l.lease
	released, result := l.released, l.result
	if !released {
		l.lease, l.home = fresh, to
	}
	l.mu.Unlock()
	if released {
		fresh.end(result)
		return
	}
	old.move()
}
