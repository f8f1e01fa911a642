package slot

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
)

// heldCheckInterval is the interval between checks whether the slot homes account for the held slots. After the loss of a slot home, no
// slot home counts its slots for up to that long.
const heldCheckInterval = 100 * time.Millisecond

// trackHeldSlots reports held slots to the pool's current slot home whenever it has changed or was lost, until ctx ends.
func (s *Service) trackHeldSlots(ctx context.Context) {
	ticker := time.NewTicker(heldCheckInterval)
	defer ticker.Stop()
	for {
		candidates := s.selector.current() // read before the report, so that no change is missed
		s.reportHeldSlots()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-candidates.changed:
		}
	}
}

func (s *Service) reportHeldSlots() {
	s.mu.Lock()
	slots := make([]*heldSlot, 0, len(s.heldSlots))
	for slot := range s.heldSlots {
		slots = append(slots, slot)
	}
	s.mu.Unlock()
	for _, slot := range slots {
		to := s.selector.current().home(slot.request.callerRequest.Pool)
		unaccounted, lostAgain := slot.unaccounted(to)
		if unaccounted && to != "" {
			if lostAgain {
				s.selector.suspect(to)
			} else {
				slot.reportTo(to)
			}
		}
	}
}

// unaccounted reports whether the current slot home does not account for the slot, and whether that slot home was lost twice in a row.
func (s *heldSlot) unaccounted(home acaciatally.EntryID) (unaccounted, lostAgain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.home != home {
		s.consecutiveLosses = 0
		return true, false
	}
	select {
	case <-s.handle.lost():
		s.consecutiveLosses++
		return true, s.consecutiveLosses > 1
	default:
		s.consecutiveLosses = 0
		return false, false
	}
}

// reportTo reports the slot to another slot home, or again to the same one, and then releases the previous handle. The previous
// slot home goes on counting the slot for lostHolderGrace.
func (s *heldSlot) reportTo(to acaciatally.EntryID) {
	handle := s.service.openHandle(to, s.request, s.worker)
	if handle == nil {
		return
	}
	s.service.metrics.heldReports.Inc()
	s.mu.Lock()
	previous := s.handle
	released, result := s.released, s.result
	if !released {
		s.handle, s.home = handle, to
	}
	s.mu.Unlock()
	if released {
		handle.release(result)
		return
	}
	previous.releaseMoved()
}
