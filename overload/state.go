package overload

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciatally/acaciatally"
)

// State is what the leader publishes about the accounts under pressure. A published State is not changed.
type State struct {
	// Turn changes the choice of the admitted jobs about once a second, so that a caller that returns is not refused for ever.
	Turn     uint32
	Accounts []AccountState
}

// AccountState is the admission of the new jobs of one account. Integers keep the record short: it is read by all entries at each renewal.
type AccountState struct {
	Account    acaciatally.AccountName
	PerMille   int `json:",omitempty"` // jobs to admit of a thousand
	WaitMS     int `json:",omitempty"` // how long an admitted job waits, in ms on the scale of EstimatedSlack
	RetryMS    int `json:",omitempty"` // time until the first of the jobs refused now may return, in ms
	IntervalMS int `json:",omitempty"` // length of the interval over which their returns are spread, in ms
}

// Find returns the state of an account; it is nil if the account is not under pressure.
func (s *State) Find(account acaciatally.AccountName) *AccountState {
	if s == nil || account == "" {
		return nil
	}
	for i := range s.Accounts {
		if s.Accounts[i].Account == account {
			return &s.Accounts[i]
		}
	}
	return nil
}

// Admit reports whether a new job of the account is admitted, or else the time after which its caller may return. slack is the job's
// EstimatedSlack. All entries with the same state decide the same.
func (s *State) Admit(account acaciatally.AccountName, id acaciatally.JobID, slack time.Duration) (retryAfter time.Duration, admitted bool) {
	state := s.Find(account)
	if state == nil || draw(id, s.Turn, drawAdmission) < state.shareOf(slack) {
		return 0, true
	}
	spread := draw(id, s.Turn, drawReturn) * float64(state.IntervalMS)
	return milliseconds(state.RetryMS) + time.Duration(spread*float64(time.Millisecond)), false
}

// shareOf returns the share of the jobs with the slack that is admitted. It rises to 1 for jobs that can wait twice as long as published:
// their results are still useful. A step at the published wait would make entries refuse all or none of them in turn.
func (s *AccountState) shareOf(slack time.Duration) float64 {
	share, wait := float64(s.PerMille)/1000, milliseconds(s.WaitMS)
	if slack <= wait {
		return share
	}
	return share + (1-share)*min(1, float64(slack-wait)/float64(max(wait, 1)))
}

// The purposes of a draw, which make the draws of one job independent of each other.
const (
	drawAdmission uint32 = iota
	drawReturn
)

// draw returns a number from 0 to below 1 that is the same for the job on all entries.
func draw(id acaciatally.JobID, turn, purpose uint32) float64 {
	var suffix [8]byte
	binary.LittleEndian.PutUint32(suffix[:4], turn)
	binary.LittleEndian.PutUint32(suffix[4:], purpose)
	digest := xxhash.New()
	_, _ = digest.WriteString(string(id)) // never fails
	_, _ = digest.Write(suffix[:])
	return float64(digest.Sum64()>>11) / (1 << 53)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// inMilliseconds rounds up, so that nobody returns early.
func inMilliseconds(d time.Duration) int {
	return int(math.Ceil(float64(d) / float64(time.Millisecond)))
}
