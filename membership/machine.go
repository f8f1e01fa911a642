package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciatally/acaciatally"
)

const (
	// meshLimit is the number of entries up to which each says hello to every other one.
	meshLimit = 12
	// picks is the number of entries that each picks beyond meshLimit; pairs say hello both ways, so each says about six hellos.
	picks = 3
	// maxHints bounds the memory that hints take.
	maxHints = 4096
)

// Rules holds the times of the state machine; zero values take the defaults.
type Rules struct {
	ViewLimit      time.Duration // age up to which a view is fresh and a contact counts, default 2.5 s
	HeartbeatLimit time.Duration // time without a new heartbeat after which an entry is late, default 4 s (two intervals)
	ForgetAfter    time.Duration // time without a new heartbeat after which a row is deleted, default 30 s
	HintTerm       time.Duration // time after the last sighting at which a hint ends, default 60 s
}

// Default fills in the times that are left out.
func (r *Rules) Default() {
	defaults := map[*time.Duration]time.Duration{
		&r.ViewLimit: 2500 * time.Millisecond, &r.HeartbeatLimit: 4 * time.Second,
		&r.ForgetAfter: 30 * time.Second, &r.HintTerm: time.Minute,
	}
	for value, fallback := range defaults {
		if *value == 0 {
			*value = fallback
		}
	}
}

// Entry is what an entry tells of itself.
type Entry struct {
	ID          acaciatally.EntryID
	Incarnation string
	Address     netip.AddrPort
	DataCentre  acaciatally.DataCentre
	View        uint64
	Busy        []acaciatally.InstanceID // leaving instances with requests in progress
}

// hash identifies an incarnation of an entry in digests.
func (e Entry) hash() uint32 {
	return uint32(xxhash.Sum64String(string(e.ID) + "\x00" + e.Incarnation))
}

// record is what is known of one other entry.
type record struct {
	row        Entry
	registered bool      // a row exists, or the settings name the entry and no scan has succeeded yet
	rowVersion uint64    // version of the row
	rowSeen    time.Time // start of the scan that first showed this version
	hello      Entry
	heardAt    time.Time // lower bound of the time at which the last Hello was made
	relayedAt  time.Time // the same, as told by other entries
	headReadAt time.Time // lower bound of the time at which that entry knew its view to be the newest
	stopping   bool
	stamp      time.Duration // newest stamp of that entry
	stampAt    time.Time
}

func (r *record) contact() time.Time {
	if r.relayedAt.After(r.heardAt) {
		return r.relayedAt
	}
	return r.heardAt
}

// current returns the newest identity of the entry.
func (r *record) current() Entry {
	if r.hello.Incarnation != "" {
		return r.hello
	}
	return r.row
}

// Machine applies the rules; it is not safe for concurrent use.
type Machine struct {
	rules     Rules
	self      Entry
	started   time.Time
	entries   map[acaciatally.EntryID]*record
	hints     map[acaciatally.InstanceID]time.Time
	scanned   time.Time // start of the last scan
	headRead  time.Time // start of the last own read of the head
	heartbeat time.Time // start of the last commit of the own row
	replaced  bool
	stopping  bool
	partners  partnerCache
}

// NewMachine returns a machine that knows only this entry and the entries named in the settings.
func NewMachine(rules Rules, now time.Time, self Entry, seeds []Entry) *Machine {
	rules.Default()
	m := &Machine{
		rules: rules, self: self, started: now,
		entries: map[acaciatally.EntryID]*record{}, hints: map[acaciatally.InstanceID]time.Time{},
	}
	for _, seed := range seeds {
		if seed.ID != self.ID {
			m.record(seed.ID).row = seed
			m.record(seed.ID).registered = true
		}
	}
	return m
}

func (m *Machine) record(id acaciatally.EntryID) *record {
	known := m.entries[id]
	if known == nil {
		known = &record{row: Entry{ID: id}}
		m.entries[id] = known
	}
	return known
}

// SetView tells the version in force here and the leaving instances on which this entry has requests in progress.
func (m *Machine) SetView(view uint64, busy []acaciatally.InstanceID) {
	m.self.View = max(m.self.View, view)
	m.self.Busy = busy
}

// HeadRead tells that this entry has applied the head of the log that it began to read at that time.
func (m *Machine) HeadRead(at time.Time) {
	if at.After(m.headRead) {
		m.headRead = at
	}
}

// Heartbeat tells that the commit of the own row that began at that time took effect.
func (m *Machine) Heartbeat(at time.Time) { m.heartbeat = at }

// Replaced tells that another process has taken over this entry's row.
func (m *Machine) Replaced() { m.replaced = true }

// Stop tells that this entry is shutting down.
func (m *Machine) Stop() { m.stopping = true }

// Row is one scanned row of an entry.
type Row struct {
	Entry   Entry
	Version uint64
}

// Scanned tells all rows of entries, as of a scan that began at start.
func (m *Machine) Scanned(start time.Time, rows []Row) {
	m.scanned = start
	present := map[acaciatally.EntryID]bool{}
	for _, row := range rows {
		if row.Entry.ID == m.self.ID {
			continue
		}
		present[row.Entry.ID] = true
		known := m.record(row.Entry.ID)
		if known.rowVersion != row.Version {
			known.rowVersion, known.rowSeen = row.Version, start
		}
		if known.hello.Incarnation != row.Entry.Incarnation && known.row.Incarnation != row.Entry.Incarnation {
			known.hello, known.heardAt, known.relayedAt, known.headReadAt = Entry{}, time.Time{}, time.Time{}, time.Time{}
		}
		known.row, known.registered = row.Entry, true
	}
	for id, known := range m.entries {
		if present[id] {
			continue
		}
		left := known.registered && known.stopping // an entry deletes its row after its last request
		known.registered = false
		if left || start.Sub(known.contact()) > m.rules.ForgetAfter {
			delete(m.entries, id)
		}
	}
}

// Forgettable returns the rows whose entry has given no sign of life for the time ForgetAfter; only the live entry with the lowest
// id and a fresh view deletes rows.
func (m *Machine) Forgettable(now time.Time) (rows []Row) {
	if !m.Fresh(now) || !m.MayServe(now) {
		return nil
	}
	for _, other := range m.Live(now) {
		if other.ID < m.self.ID {
			return nil
		}
	}
	for _, known := range m.entries {
		silent := m.scanned.Sub(known.rowSeen) > m.rules.ForgetAfter && now.Sub(known.contact()) > m.rules.ForgetAfter
		if known.registered && known.rowVersion > 0 && silent {
			rows = append(rows, Row{Entry: known.row, Version: known.rowVersion})
		}
	}
	return rows
}

// Registered returns the number of entries that hold a row, this one included.
func (m *Machine) Registered() int {
	count := 1
	for _, known := range m.entries {
		if known.registered {
			count++
		}
	}
	return count
}

func (m *Machine) freshAt() time.Time {
	fresh := m.headRead
	for _, known := range m.entries {
		if known.headReadAt.After(fresh) && known.hello.View <= m.self.View {
			fresh = known.headReadAt
		}
	}
	return fresh
}

// Fresh reports whether this entry, or one that it hears, has read the head within ViewLimit.
func (m *Machine) Fresh(now time.Time) bool {
	return now.Before(m.FreshUntil())
}

// MayChange reports whether this entry may commit changes: its view is fresh, and it is in contact with more than half of the
// registered entries. Entries that serve on without the platform are in contact with more than half as well, so one of them
// hears of the change at once; without this rule a minority could put changes in force that the others never learn.
func (m *Machine) MayChange(now time.Time) bool {
	return m.Fresh(now) && now.Before(m.majorityUntil(now))
}

// FreshUntil returns the time until which the view stays fresh without further news.
func (m *Machine) FreshUntil() time.Time {
	return m.freshAt().Add(m.rules.ViewLimit)
}

// MayServe reports whether this entry may send new work to endpoints.
func (m *Machine) MayServe(now time.Time) bool {
	return now.Before(m.ServeUntil(now))
}

// ServeUntil returns the time until which this entry may serve without further news. A fresh view alone is not enough: once the own
// heartbeat counts as expired, others may stop instances without this entry's acknowledgement unless they hear it.
func (m *Machine) ServeUntil(now time.Time) time.Time {
	if m.replaced {
		return time.Time{}
	}
	fresh, majority := m.FreshUntil(), m.majorityUntil(now)
	if expiry := m.heartbeat.Add(m.silenceLimit()); expiry.Before(fresh) {
		fresh = expiry
	}
	if majority.After(fresh) {
		return majority
	}
	return fresh
}

// majorityUntil returns until when this entry counts as in contact with more than half of the registered entries, itself included.
func (m *Machine) majorityUntil(now time.Time) time.Time {
	var contacts []time.Time
	for _, known := range m.entries {
		if known.registered {
			contacts = append(contacts, known.contact())
		}
	}
	others := (len(contacts) + 1) / 2 // others needed beside this entry for more than half of len(contacts)+1
	if others == 0 {
		return now.Add(m.rules.ViewLimit)
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[others-1].Add(m.rules.ViewLimit)
}

// liveLimit is longer when ages are relayed, since each relay adds up to one interval of Hello.
func (m *Machine) liveLimit() time.Duration {
	if len(m.entries)+1 > meshLimit {
		return 2 * m.rules.ViewLimit
	}
	return m.rules.ViewLimit
}

// Live returns the entries heard recently that are not shutting down, in order of id.
func (m *Machine) Live(now time.Time) (peers []acaciatally.Peer) {
	for id, known := range m.entries {
		if now.Sub(known.contact()) > m.liveLimit() || known.stopping {
			continue
		}
		peers = append(peers, acaciatally.Peer{
			ID: id, DataCentre: known.current().DataCentre, View: known.current().View,
			HeadReadAge: now.Sub(known.headReadAt), HeardAt: known.contact(),
		})
	}
	slices.SortFunc(peers, func(a, b acaciatally.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return peers
}
