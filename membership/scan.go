package membership

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// EntryRow is the scanned row of an entry.
type EntryRow struct {
	Entry   Entry
	Version uint64
}

// RecordScan records the rows of all entries from a scan that began at start.
func (m *StateMachine) RecordScan(start time.Time, rows []EntryRow) {
	m.lastScan = start
	present := map[acaciatally.EntryID]bool{}
	for _, row := range rows {
		if row.Entry.ID == m.self.ID {
			continue
		}
		present[row.Entry.ID] = true
		peer := m.peer(row.Entry.ID)
		if peer.rowVersion != row.Version {
			peer.rowVersion, peer.rowSeenAt = row.Version, start
		}
		if peer.hello.Incarnation != row.Entry.Incarnation && peer.row.Incarnation != row.Entry.Incarnation {
			peer.hello = Entry{}
			peer.forgetContact()
		}
		peer.row, peer.registered = row.Entry, true
	}
	for id, peer := range m.peers {
		if present[id] {
			continue
		}
		departed := peer.registered && peer.stopping // an entry that shuts down deletes its row after its last request
		peer.registered = false
		if departed || start.Sub(peer.lastContact()) > m.limits.ExpireAfter {
			delete(m.peers, id)
		}
	}
}

// ExpiredRows returns the rows to delete, whose entries have shown neither a heartbeat nor contact for ExpireAfter. It returns none unless
// this entry is the live one with the lowest id, has a fresh view and may serve, so that one entry deletes the rows.
func (m *StateMachine) ExpiredRows(now time.Time) (rows []EntryRow) {
	if !m.Fresh(now) || !m.MayServe(now) {
		return nil
	}
	for _, other := range m.Live(now) {
		if other.ID < m.self.ID {
			return nil
		}
	}
	for _, peer := range m.peers {
		expired := m.lastScan.Sub(peer.rowSeenAt) > m.limits.ExpireAfter && now.Sub(peer.lastContact()) > m.limits.ExpireAfter
		if peer.registered && peer.rowVersion > 0 && expired {
			rows = append(rows, EntryRow{Entry: peer.row, Version: peer.rowVersion})
		}
	}
	return rows
}

// RegisteredCount returns the number of entries that have a row, including this one.
func (m *StateMachine) RegisteredCount() int {
	count := 1
	for _, peer := range m.peers {
		if peer.registered {
			count++
		}
	}
	return count
}
