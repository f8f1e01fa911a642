package eventlog

import (
	"fmt"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
)

// refusalInterval is the shortest interval between two lines about keys that are refused for the same reason. Callers with a removed key repeat
// their calls, and would otherwise fill the log.
const refusalInterval = time.Second

// refusalReport counts the refused keys that have no line yet, by reason.
type refusalReport struct {
	mutex      sync.Mutex
	unreported map[intake.KeyRefusal]int
	reportedAt map[intake.KeyRefusal]time.Time
}

// add counts a refusal and returns the number of refusals since the last line if a line is due, or else 0.
func (r *refusalReport) add(reason intake.KeyRefusal, now time.Time) (count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unreported == nil {
		r.unreported, r.reportedAt = map[intake.KeyRefusal]int{}, map[intake.KeyRefusal]time.Time{}
	}
	r.unreported[reason]++
	if now.Sub(r.reportedAt[reason]) < refusalInterval {
		return 0
	}
	count = r.unreported[reason]
	r.unreported[reason], r.reportedAt[reason] = 0, now
	return count
}

// KeyRefused logs that calls were refused because of their key, with the queue of the last one and their number since the last line. The key is
// not logged.
func (l *Logger) KeyRefused(queue acaciatally.QueueName, reason intake.KeyRefusal) {
	l.metricSet.GetOrCreateCounter(fmt.Sprintf("acaciatally_keys_refused_total{reason=%q}", string(reason))).Inc()
	count := l.refusals.add(reason, time.Now())
	if count == 0 {
		l.count("KeyRefused")
		return
	}
	l.line("KeyRefused").Str("Reason", string(reason)).Str("Queue", string(queue)).Int("Count", count).Msg("")
}

// OwnerMismatch logs that a call was refused because the job belongs to another account than the call.
func (l *Logger) OwnerMismatch(queue acaciatally.QueueName, id acaciatally.JobID, account acaciatally.AccountName) {
	l.line("OwnerMismatch").Str("Job", string(id)).Str("Queue", string(queue)).Str("Account", string(account)).Msg("")
}
