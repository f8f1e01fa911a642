package membership

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Acknowledged reports whether every entry either knows that the instance left service at version and has no request in progress on it,
// or is inactive, that is, has shown neither a heartbeat nor contact for so long that it refuses work by itself. Inactive entries with a
// row are exempt only while more than half of the registered entries have current heartbeats.
func (m *StateMachine) Acknowledged(now time.Time, instance acaciatally.InstanceID, version uint64) bool {
	if !m.Fresh(now) || m.replaced || !m.self.acknowledges(instance, version) {
		return false
	}
	if m.lastScan.IsZero() || now.Sub(m.lastScan) > m.maxScanAge() {
		return false // new entries may be unknown here
	}
	anyInactive := false
	for _, peer := range m.peers {
		switch {
		case peer.acknowledges(instance, version, now.Sub(peer.lastContact()) <= m.inactivityLimit()):
		case !peer.registered && m.inactive(now, peer):
		case m.inactive(now, peer):
			anyInactive = true
		default:
			return false
		}
	}
	return !anyInactive || m.majorityHeartbeatsCurrent()
}

// acknowledges reports whether the entry's view is at least at version and the entry does not list the instance as busy. From that version
// on the entry begins no new work on the instance, so that it cannot become busy on it again.
func (e Entry) acknowledges(instance acaciatally.InstanceID, version uint64) bool {
	return e.View >= version && !slices.Contains(e.Busy, instance)
}

// acknowledges reports whether the entry's row or its last Hello acknowledges the version. If the process has restarted and its new row
// was not scanned yet, only its Hello counts.
func (p *peerState) acknowledges(instance acaciatally.InstanceID, version uint64, contactRecent bool) bool {
	byHello := p.hello.Incarnation != "" && p.hello.acknowledges(instance, version)
	byRow := p.registered && p.rowVersion > 0 && p.row.acknowledges(instance, version)
	if p.hello.Incarnation != "" && p.hello.Incarnation != p.row.Incarnation && contactRecent {
		return byHello
	}
	return byRow || (byHello && contactRecent)
}

// inactivityLimit is the time without heartbeat or contact after which an entry counts as inactive: HeartbeatLimit, after which its heartbeat
// has expired, plus ViewLimit.
func (m *StateMachine) inactivityLimit() time.Duration {
	return m.limits.HeartbeatLimit + m.limits.ViewLimit
}

// inactive reports whether neither a heartbeat in the table service nor a Hello has shown that the entry is running within inactivityLimit.
func (m *StateMachine) inactive(now time.Time, peer *peerState) bool {
	if peer.registered && m.lastScan.Sub(peer.rowSeenAt) <= m.inactivityLimit() {
		return false
	}
	return now.Sub(peer.lastContact()) > m.inactivityLimit()
}

// majorityHeartbeatsCurrent reports whether more than half of the registered entries, including this one, have written a heartbeat within
// inactivityLimit.
func (m *StateMachine) majorityHeartbeatsCurrent() bool {
	current := 1
	for _, peer := range m.peers {
		if peer.registered && m.lastScan.Sub(peer.rowSeenAt) <= m.inactivityLimit() {
			current++
		}
	}
	return current > m.RegisteredCount()/2
}

// maxScanAge is the age up to which the last scan counts as complete.
func (m *StateMachine) maxScanAge() time.Duration {
	return scanInterval(m.limits.HeartbeatLimit/2, len(m.peers)+1) + m.limits.ViewLimit
}

// scanInterval returns the interval between scans. It grows with the number of entries, so that the number of rows read per second by all
// entries grows linearly instead of quadratically.
func scanInterval(heartbeat time.Duration, entries int) time.Duration {
	return heartbeat * time.Duration((entries+fullMeshLimit-1)/fullMeshLimit)
}

// AddHint records that an instance was seen to leave service and reports whether the hint is new. Hints beyond maxHints are dropped.
func (m *StateMachine) AddHint(seenAt time.Time, instance acaciatally.InstanceID) (isNew bool) {
	lastSeen, known := m.hints[instance]
	if !known && len(m.hints) >= maxHints {
		return false
	}
	if seenAt.After(lastSeen) {
		m.hints[instance] = seenAt
	}
	return !known
}

// LeavingInstances returns the instances with an unexpired hint, in order of id, and deletes expired hints.
func (m *StateMachine) LeavingInstances(now time.Time) (leaving []acaciatally.InstanceID) {
	for instance, lastSeen := range m.hints {
		if now.Sub(lastSeen) >= m.limits.HintTerm {
			delete(m.hints, instance)
			continue
		}
		leaving = append(leaving, instance)
	}
	slices.Sort(leaving)
	return leaving
}
