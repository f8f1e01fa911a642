package membership

import (
	"slices"
	"time"
)

// viewFreshAt returns the latest time at which this entry's view is known to have been the newest.
func (m *StateMachine) viewFreshAt() time.Time {
	fresh := m.lastHeadRead
	for _, peer := range m.peers {
		if peer.headReadAt.After(fresh) && peer.hello.View <= m.self.View {
			fresh = peer.headReadAt
		}
	}
	return fresh
}

// Fresh reports whether this entry, or a peer whose version is not newer, has read the head of the change log within ViewLimit.
func (m *StateMachine) Fresh(now time.Time) bool {
	return now.Before(m.FreshUntil())
}

// MayChange reports whether this entry may commit changes: its view is fresh, and it is in contact with more than half of the registered
// entries. Entries that keep serving without the table service are in contact with more than half as well, so at least one of them learns
// of the change. Without this rule a minority could put changes into force that the others never learn of.
func (m *StateMachine) MayChange(now time.Time) bool {
	return m.Fresh(now) && now.Before(m.majorityContactUntil(now))
}

// FreshUntil returns the time until which the view stays fresh without further reads or Hellos.
func (m *StateMachine) FreshUntil() time.Time {
	return m.viewFreshAt().Add(m.limits.ViewLimit)
}

// MayServe reports whether this entry may send new work to endpoints.
func (m *StateMachine) MayServe(now time.Time) bool {
	return now.Before(m.ServeUntil(now))
}

// ServeUntil returns the time until which this entry may serve without further heartbeats, reads or Hellos. A fresh view alone is not
// enough: once this entry's heartbeat has expired, others may stop instances without its acknowledgement unless they are in contact with
// it.
func (m *StateMachine) ServeUntil(now time.Time) time.Time {
	if m.replaced {
		return time.Time{}
	}
	fresh, majority := m.FreshUntil(), m.majorityContactUntil(now)
	if expiry := m.lastHeartbeat.Add(m.inactivityLimit()); expiry.Before(fresh) {
		fresh = expiry
	}
	if majority.After(fresh) {
		return majority
	}
	return fresh
}

// majorityContactUntil returns the time until which this entry counts as in contact with more than half of the registered entries,
// including itself.
func (m *StateMachine) majorityContactUntil(now time.Time) time.Time {
	var contacts []time.Time
	for _, peer := range m.peers {
		if peer.registered {
			contacts = append(contacts, peer.lastContact())
		}
	}
	others := (len(contacts) + 1) / 2 // number of other entries needed for more than half of len(contacts)+1
	if others == 0 {
		return now.Add(m.limits.ViewLimit)
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[others-1].Add(m.limits.ViewLimit)
}
