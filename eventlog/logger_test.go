package eventlog_test

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/eventlog"
	"github.com/acaciatally/acaciatally/interference"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestSlowOutputDoesNotBlock guards against callers that wait for the output of the log.
func TestSlowOutputDoesNotBlock(t *testing.T) {
	output := blockedWriter{make(chan struct{})}
	logger := eventlog.New(output, "entry-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			logger.JobEnded("job", "queue", acaciatally.JobCompleted)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the caller is blocked by the output of the log")
	}
	close(output.release)
	require.NoError(t, logger.Close())
}

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

// TestRateLimit guards against a log whose volume grows with the load, and against dropped lines that are not counted.
func TestRateLimit(t *testing.T) {
	output := &lockedBuffer{}
	logger := eventlog.New(output, "entry-1")
	for range 30_000 {
		logger.JobEnded("job", "queue", acaciatally.JobCompleted)
	}
	require.Positive(t, logger.Dropped())
	require.NoError(t, logger.Close())
	require.Less(t, strings.Count(output.String(), "\n"), 10_000)
}

// TestLineFields guards against lines without the job's id or the process's name.
func TestLineFields(t *testing.T) {
	output := &lockedBuffer{}
	logger := eventlog.New(output, "entry-1")
	logger.RunPlanned(acaciatally.TaskRef{Job: "aa", Step: 1}, 2, "i-1", 500)
	require.NoError(t, logger.Close())
	line := output.String()
	for _, part := range []string{`"Process":"entry-1"`, `"Event":"RunPlanned"`, `"Job":"aa"`, `"Task":"aa.0.1.0"`, `"Attempt":2`, `"Worker":"i-1"`} {
		require.Contains(t, line, part)
	}
}

// writeRecorder keeps what each call of Write was given, for concurrent writers.
type writeRecorder struct {
	mu     sync.Mutex
	writes []string
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// recorded returns what was written so far.
func (w *writeRecorder) recorded() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.writes)
}

// TestWritesBatched guards against a leader that makes one system call for each of some thousand lines a second, against lines that stay in
// the buffer, and against writes that end within a line, behind which a collector may put that of another process.
func TestWritesBatched(t *testing.T) {
	tests := map[string]struct{ lines, maxWrites int }{"few lines": {50, 1}, "more than the buffer takes": {1000, 10}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				output := &writeRecorder{}
				logger := eventlog.New(output, "entry-1")
				for range test.lines {
					logger.JobEnded("job", "queue", acaciatally.JobCompleted)
				}
				time.Sleep(time.Second)
				writes := output.recorded()
				require.LessOrEqual(t, len(writes), test.maxWrites)
				require.Equal(t, test.lines, strings.Count(strings.Join(writes, ""), "\n"))
				for _, written := range writes {
					require.True(t, strings.HasSuffix(written, "\n"), "%q", written)
				}
				require.NoError(t, logger.Close())
			})
		})
	}
}

// failingOnce is an output whose first write fails.
type failingOnce struct {
	writeRecorder
	failed atomic.Bool
}

func (f *failingOnce) Write(p []byte) (int, error) {
	if f.failed.CompareAndSwap(false, true) {
		return 0, io.ErrShortWrite
	}
	return f.writeRecorder.Write(p)
}

// TestFailedWrite guards against a log that ends with the first write that fails.
func TestFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &failingOnce{}
		logger := eventlog.New(output, "entry-1")
		for range 3 {
			logger.JobEnded("job", "queue", acaciatally.JobCompleted)
			time.Sleep(time.Second)
		}
		require.Equal(t, 2, strings.Count(strings.Join(output.recorded(), ""), "\n"))
		require.NoError(t, logger.Close())
	})
}

// TestInterferenceMetrics guards against interference that operators can't see, and against the values of a former leader that stay.
func TestInterferenceMetrics(t *testing.T) {
	output := &lockedBuffer{}
	logger := eventlog.New(output, "entry-1")
	change := interference.Change{Victim: interference.Kind{Image: "loom"}, Aggressor: interference.Kind{Queue: "plans", Step: 2}, Factor: 1.5, Samples: 40}
	logger.InterferenceChanged(change)
	change.Found = true
	logger.InterferenceChanged(change)
	text := func() string {
		var metrics bytes.Buffer
		logger.Metrics().WritePrometheus(&metrics)
		return metrics.String()
	}
	stats := dispatch.InterferenceStats{Stats: interference.Stats{Verdicts: 1, Observations: 70}, Apart: 3}
	logger.InterferenceMeasured(stats)
	for _, line := range []string{
		"acaciatally_interference_verdicts 1", "acaciatally_interference_observations 70", "acaciatally_interference_placed_apart 3",
		`acaciatally_events_total{event="InterferenceFound"} 1`, `acaciatally_events_total{event="InterferenceDropped"} 1`,
	} {
		require.Contains(t, text(), line)
	}
	logger.InterferenceMeasured(dispatch.InterferenceStats{})
	require.Contains(t, text(), "acaciatally_interference_verdicts 0")
	require.NoError(t, logger.Close())
	require.Contains(t, output.String(), `"Event":"InterferenceFound","Victim":"loom","Aggressor":"plans/2","Factor":1.5,"Samples":40`)
}
