package logbook

import (
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
	// linesPerSecond bounds the volume of one process; at about 250 bytes a line that is 750 KB a second.
	linesPerSecond = 3000
	lineBurst      = 6000
	// pendingLines bounds the lines that a slow reader has not taken yet.
	pendingLines = 4096
)

// Book writes the lines of one process.
type Book struct {
	logger  *log.Logger
	writer  *log.AsyncWriter
	limit   *rate.Limiter
	set     *metrics.Set
	submit  *metrics.Histogram // seconds from the arrival of a submission to its answer
	dropped atomic.Int64
	mutex   sync.Mutex
	summed  time.Time // when dropped lines were last reported
}

// New returns a book that writes to output, with the process's name on each line.
func New(output io.Writer, name string) *Book {
	set := metrics.NewSet()
	writer := &log.AsyncWriter{ChannelSize: pendingLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: output}}
	return &Book{
		writer: writer,
		logger: &log.Logger{
			Level: log.InfoLevel, TimeField: "Time", TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: writer,
			Context: log.NewContext(nil).Str("Process", name).Value(),
		},
		limit:  rate.NewLimiter(linesPerSecond, lineBurst),
		set:    set,
		submit: set.NewHistogram("acaciatally_submission_seconds"),
	}
}

// Metrics returns the counters of all events, also of those whose lines were left out, and the histogram of submissions.
func (b *Book) Metrics() *metrics.Set { return b.set }

// count counts an event.
func (b *Book) count(event string) {
	b.set.GetOrCreateCounter(fmt.Sprintf("acaciatally_events_total{event=%q}", event)).Inc()
}

// Close writes what is pending.
func (b *Book) Close() error { return b.writer.Close() }

// Dropped returns the number of lines that were left out to keep the bound.
func (b *Book) Dropped() int64 { return b.dropped.Load() }

// line returns a line for the event, or nil beyond the bound.
func (b *Book) line(event string) *log.Entry {
	b.count(event)
	if !b.limit.Allow() {
		b.dropped.Add(1)
		return nil
	}
	b.sum()
	return b.logger.Info().Str("Event", event)
}

// warning returns a line for an event that an operator should look at.
func (b *Book) warning(event string, err error) *log.Entry {
	b.count(event)
	if !b.limit.Allow() {
		b.dropped.Add(1)
		return nil
	}
	return b.logger.Warn().Str("Event", event).Err(err)
}

// sum reports the dropped lines about once a second.
func (b *Book) sum() {
	if b.dropped.Load() == 0 || !b.mutex.TryLock() {
		return
	}
	defer b.mutex.Unlock()
	if time.Since(b.summed) < time.Second {
		return
	}
	b.summed = time.Now()
	b.logger.Warn().Str("Event", "LinesDropped").Int64("Count", b.dropped.Swap(0)).Msg("")
}

// Started notes the start of the process.
func (b *Book) Started(version string, settings string) {
	b.line("Started").Str("Version", version).Str("Settings", settings).Msg("")
}

// Stopping notes why the process stops.
func (b *Book) Stopping(reason string) { b.line("Stopping").Str("Reason", reason).Msg("") }

// Stopped notes the end of the process.
func (b *Book) Stopped(err error) { b.line("Stopped").Err(err).Msg("") }

// Reloaded notes that the settings file was read again.
func (b *Book) Reloaded(changed bool, err error) {
	b.line("Reloaded").Bool("Changed", changed).Err(err).Msg("")
}

// Dependency notes that something outside is lost or reached again; age is the time since its last answer.
func (b *Book) Dependency(name string, reached bool, age time.Duration, err error) {
	b.line("Dependency").Str("Name", name).Bool("Reached", reached).Dur("Age", age).Err(err).Msg("")
}

// ConfigurationTaken notes a configuration in force here.
func (b *Book) ConfigurationTaken(version, record uint64, queues int) {
	b.line("ConfigurationTaken").Uint64("Version", version).Uint64("Record", record).Int("Queues", queues).Msg("")
}

// ConfigurationIgnored notes a configuration that can't be used.
func (b *Book) ConfigurationIgnored(record uint64, err error) {
	b.warning("ConfigurationIgnored", err).Uint64("Record", record).Msg("")
}

// Submitted notes what became of a submission.
func (b *Book) Submitted(queue acaciatally.Queue, id acaciatally.JobID, took time.Duration, err error) {
	b.submit.Update(took.Seconds())
	b.line("JobSubmitted").Str("Job", string(id)).Str("Queue", string(queue.Name)).Dur("Took", took).
		Bool("Accepted", err == nil).Err(err).Msg("")
}

// Read notes a state that was told.
func (b *Book) Read(queue acaciatally.Queue, id acaciatally.JobID, state acaciatally.JobState, err error) {
	if err == nil && !state.Ended() {
		return // it changes nothing and is asked for again and again
	}
	b.line("StateTold").Str("Job", string(id)).Str("Queue", string(queue.Name)).Str("State", string(state)).Err(err).Msg("")
}

// Cancelled notes what became of a cancellation.
func (b *Book) Cancelled(queue acaciatally.Queue, id acaciatally.JobID, err error) {
	b.line("CancelReceived").Str("Job", string(id)).Str("Queue", string(queue.Name)).Err(err).Msg("")
}

// Leader notes who leads.
func (b *Book) Leader(row leadership.Row, version uint64, self bool) {
	b.line("LeaderSeen").Str("Holder", row.Holder).Uint64("Epoch", row.Epoch).Uint64("Record", version).Bool("Self", self).Msg("")
}

// Tenure notes the begin or end of this entry's right to act.
func (b *Book) Tenure(epoch uint64, leads bool, reason string) {
	b.line("Tenure").Uint64("Epoch", epoch).Bool("Leads", leads).Str("Reason", reason).Msg("")
}
