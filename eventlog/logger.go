package eventlog

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/leadership"
)

const (
	// maxLinesPerSecond bounds the volume of one process's log; at about 250 bytes per line it is 750 KB per second.
	maxLinesPerSecond = 3000
	maxLineBurst      = 6000
	// maxPendingLines bounds the lines that wait for the output; further lines are discarded, so that a slow output never blocks a caller.
	maxPendingLines = 4096
)

// Logger writes the log of one process and counts its events; it is safe for concurrent use.
type Logger struct {
	logger            *log.Logger
	writer            *log.AsyncWriter
	output            *bufferedOutput
	limiter           *rate.Limiter
	metricSet         *metrics.Set
	submissions       *metrics.Histogram // seconds from the receipt of a submission to its answer
	dropped           atomic.Int64       // lines dropped since the last report
	refusals          refusalReport
	sharesMutex       sync.Mutex
	pressed           map[acaciatally.AccountName]bool // accounts logged as under pressure
	reportMutex       sync.Mutex
	droppedReportedAt time.Time
	gaugeMutex        sync.Mutex
	accountGauges     map[string]bool // names of the gauges of accounts that are set
}

// New returns a logger that writes JSON lines to output, each with the name of the process.
func New(output io.Writer, name string) *Logger {
	metricSet := metrics.NewSet()
	buffered := newBufferedOutput(output)
	writer := &log.AsyncWriter{ChannelSize: maxPendingLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: buffered}}
	return &Logger{
		writer: writer, output: buffered,
		logger: &log.Logger{
			Level: log.InfoLevel, TimeField: "Time", TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: writer,
			Context: log.NewContext(nil).Str("Process", name).Value(),
		},
		limiter:     rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		metricSet:   metricSet,
		pressed:     map[acaciatally.AccountName]bool{},
		submissions: metricSet.NewHistogram("acaciatally_submission_seconds"),
	}
}

// Metrics returns the counters of all events, including those whose lines were dropped, and the histogram of submission times.
func (l *Logger) Metrics() *metrics.Set { return l.metricSet }

func (l *Logger) count(event string) {
	l.metricSet.GetOrCreateCounter(fmt.Sprintf("acaciatally_events_total{event=%q}", event)).Inc()
}

// Close writes the pending lines and closes the log.
func (l *Logger) Close() error { return errors.Join(l.writer.Close(), l.output.Flush()) }

// Dropped returns the number of lines dropped by the rate limit since the last report of dropped lines in the log.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

// line counts the event and returns its line, or nil when the rate limit drops it.
func (l *Logger) line(event string) *log.Entry {
	l.count(event)
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return nil
	}
	l.reportDropped()
	return l.logger.Info().Str("Event", event)
}

// warning is like line for an event that needs an operator's attention.
func (l *Logger) warning(event string, err error) *log.Entry {
	l.count(event)
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return nil
	}
	return l.logger.Warn().Str("Event", event).Err(err)
}

// reportDropped logs the number of dropped lines, at most once a second.
func (l *Logger) reportDropped() {
	if l.dropped.Load() == 0 || !l.reportMutex.TryLock() {
		return
	}
	defer l.reportMutex.Unlock()
	if time.Since(l.droppedReportedAt) < time.Second {
		return
	}
	l.droppedReportedAt = time.Now()
	l.logger.Warn().Str("Event", "LinesDropped").Int64("Count", l.dropped.Swap(0)).Msg("")
}

// Started logs the start of the process.
func (l *Logger) Started(version string, settings string) {
	l.line("Started").Str("Version", version).Str("Settings", settings).Msg("")
}

// Stopping logs why the process stops.
func (l *Logger) Stopping(reason string) { l.line("Stopping").Str("Reason", reason).Msg("") }

// Stopped logs the end of the process.
func (l *Logger) Stopped(err error) { l.line("Stopped").Err(err).Msg("") }

// Reloaded logs that the settings file was read again, and whether the settings changed.
func (l *Logger) Reloaded(changed bool, err error) {
	l.line("Reloaded").Bool("Changed", changed).Err(err).Msg("")
}

// DependencyChanged logs that a service outside the process cannot be reached or is reached again. While it cannot be reached, age is the
// time since its last answer; when it is reached again, age is the length of the interruption.
func (l *Logger) DependencyChanged(name string, reached bool, age time.Duration, err error) {
	l.line("Dependency").Str("Name", name).Bool("Reached", reached).Dur("Age", age).Err(err).Msg("")
}

// ConfigurationApplied logs that a configuration takes effect in this process; record is the version of its record.
func (l *Logger) ConfigurationApplied(version, record uint64, queues, accounts int) {
	l.line("ConfigurationTaken").Uint64("Version", version).Uint64("Record", record).Int("Queues", queues).Int("Accounts", accounts).Msg("")
}

// ConfigurationIgnored logs a configuration that is invalid; record is the version of its record.
func (l *Logger) ConfigurationIgnored(record uint64, err error) {
	l.warning("ConfigurationIgnored", err).Uint64("Record", record).Msg("")
}

// ConfigurationPartIgnored logs a part of a configuration that is not valid and does not take effect; record is the version of its record.
func (l *Logger) ConfigurationPartIgnored(record uint64, err error) {
	l.warning("ConfigurationPartIgnored", err).Uint64("Record", record).Msg("")
}

// JobSubmitted logs the result of a submission and how long it took.
func (l *Logger) JobSubmitted(queue acaciatally.Queue, id acaciatally.JobID, duration time.Duration, err error) {
	l.submissions.Update(duration.Seconds())
	l.line("JobSubmitted").Str("Job", string(id)).Str("Queue", string(queue.Name)).Dur("Took", duration).
		Bool("Accepted", err == nil).Err(err).Msg("")
}

// SubmissionResolved logs the outcome of a submission whose caller no longer waits for it.
func (l *Logger) SubmissionResolved(queue acaciatally.QueueName, id acaciatally.JobID, err error) {
	l.line("SubmissionResolved").Str("Job", string(id)).Str("Queue", string(queue)).Bool("Accepted", err == nil).Err(err).Msg("")
}

// StateRead logs that a caller has read the final state of a job, or that reading the state failed.
func (l *Logger) StateRead(queue acaciatally.Queue, id acaciatally.JobID, state acaciatally.JobState, err error) {
	if err == nil && !state.Ended() {
		return // callers poll the state, so only the final one is worth a line
	}
	l.line("StateTold").Str("Job", string(id)).Str("Queue", string(queue.Name)).Str("State", string(state)).Err(err).Msg("")
}

// JobCancelled logs the result of a cancellation.
func (l *Logger) JobCancelled(queue acaciatally.Queue, id acaciatally.JobID, err error) {
	l.line("CancelReceived").Str("Job", string(id)).Str("Queue", string(queue.Name)).Err(err).Msg("")
}

// LeaderChanged logs which entry leads; version is the version of the lease record, and self is set when it is this entry.
func (l *Logger) LeaderChanged(row leadership.Row, version uint64, self bool) {
	l.line("LeaderSeen").Str("Holder", row.Holder).Uint64("Epoch", row.Epoch).Uint64("Record", version).Bool("Self", self).Msg("")
}

// LeadershipChanged logs that this entry starts or stops leading, or that it failed to propose or release the lease or to request a
// handover. The epoch is that of the lease, or 0 for a failed handover request.
func (l *Logger) LeadershipChanged(epoch uint64, leads bool, reason string) {
	l.line("Tenure").Uint64("Epoch", epoch).Bool("Leads", leads).Str("Reason", reason).Msg("")
}
