package membership

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Acknowledged reports whether every entry knows that the instance left service at version and has no request in progress on it, or
// has been silent for so long that it refuses work by itself.
func (m *Machine) Acknowledged(now time.Time, instance acaciatally.InstanceID, version uint64) bool {
	if !m.Fresh(now) || m.replaced || !m.self.acknowledges(instance, version) {
		return false
	}
	if m.scanned.IsZero() || now.Sub(m.scanned) > m.scanLimit() {
		return false // rows of new entries may be missing
	}
	late := false
	for _, known := range m.entries {
		switch {
		case known.acknowledges(instance, version, now.Sub(known.contact()) <= m.silenceLimit()):
		case !known.registered && m.silent(now, known):
		case m.silent(now, known):
			late = true
		default:
			return false
		}
	}
	return !late || m.majorityOnTime()
}

// acknowledges needs one statement at or past the version that does not list the instance as busy: from that version on the entry
// begins no new work on the instance, so that later statements cannot list it again.
func (e Entry) acknowledges(instance acaciatally.InstanceID, version uint64) bool {
	return e.View >= version && !slices.Contains(e.Busy, instance)
}

// acknowledges takes the statement of the row or of the last Hello; when a process with the same id has restarted and its row is
// not there yet, only its Hello counts.
func (r *record) acknowledges(instance acaciatally.InstanceID, version uint64, heard bool) bool {
	byHello := r.hello.Incarnation != "" && r.hello.acknowledges(instance, version)
	byRow := r.registered && r.rowVersion > 0 && r.row.acknowledges(instance, version)
	if r.hello.Incarnation != "" && r.hello.Incarnation != r.row.Incarnation && heard {
		return byHello
	}
	return byRow || (byHello && heard)
}

// silenceLimit is the time without a sign of life after which a heartbeat has expired by more than ViewLimit.
func (m *Machine) silenceLimit() time.Duration {
	return m.rules.HeartbeatLimit + m.rules.ViewLimit
}

// silent reports whether neither the table service nor any entry has shown a sign of life for HeartbeatLimit and ViewLimit.
func (m *Machine) silent(now time.Time, known *record) bool {
	if known.registered && m.scanned.Sub(known.rowSeen) <= m.silenceLimit() {
		return false
	}
	return now.Sub(known.contact()) > m.silenceLimit()
}

// majorityOnTime reports whether more than half of the registered entries, this one included, have a recent heartbeat.
func (m *Machine) majorityOnTime() bool {
	onTime := 1
	for _, known := range m.entries {
		if known.registered && m.scanned.Sub(known.rowSeen) <= m.silenceLimit() {
			onTime++
		}
	}
	return onTime > m.Registered()/2
}

// scanLimit is the age up to which the last scan counts.
func (m *Machine) scanLimit() time.Duration {
	return scanInterval(m.rules.HeartbeatLimit/2, len(m.entries)+1) + m.rules.ViewLimit
}

// scanInterval grows with the number of entries so that the rows read a second grow only linearly.
func scanInterval(heartbeat time.Duration, entries int) time.Duration {
	return heartbeat * time.Duration((entries+meshLimit-1)/meshLimit)
}

// Hint tells that an instance was seen to leave.
func (m *Machine) Hint(at time.Time, instance acaciatally.InstanceID) (news bool) {
	seen, known := m.hints[instance]
	if !known && len(m.hints) >= maxHints {
		return false
	}
	if at.After(seen) {
		m.hints[instance] = at
	}
	return !known
}

// Leaving returns the instances with a hint that has not expired, in order of id.
func (m *Machine) Leaving(now time.Time) (leaving []acaciatally.InstanceID) {
	for instance, seen := range m.hints {
		if now.Sub(seen) >= m.rules.HintTerm {
			delete(m.hints, instance)
			continue
		}
		leaving = append(leaving, instance)
	}
	slices.Sort(leaving)
	return leaving
}
