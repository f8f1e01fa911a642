package membership

import "time"

// peerState is the known state of one other entry.
type peerState struct {
	row         Entry
	registered  bool      // the last scan found its row, or the settings name the entry and no scan has succeeded yet
	rowVersion  uint64    // version of the row
	rowSeenAt   time.Time // start of the scan that first returned this version
	hello       Entry
	heardAt     time.Time // lower bound of the creation time of its last Hello
	relayedAt   time.Time // lower bound of its last contact with other entries, as relayed by them
	headReadAt  time.Time // lower bound of the time at which its view was known to be the newest
	stopping    bool
	lastStamp   time.Duration // newest stamp received from it: the time since its process started
	lastStampAt time.Time
}

// lastContact returns the lower bound of the last contact with the entry, direct or relayed.
func (p *peerState) lastContact() time.Time {
	if p.relayedAt.After(p.heardAt) {
		return p.relayedAt
	}
	return p.heardAt
}

// identity returns what the entry published last: its last Hello, or its row if no Hello has arrived.
func (p *peerState) identity() Entry {
	if p.hello.Incarnation != "" {
		return p.hello
	}
	return p.row
}

// forgetContact drops what is known of an earlier process of the entry.
func (p *peerState) forgetContact() {
	p.heardAt, p.relayedAt, p.headReadAt = time.Time{}, time.Time{}, time.Time{}
}
