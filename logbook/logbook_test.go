package logbook_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/logbook"
)

// blocked is a reader that has stopped reading.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestNeverBlocks guards against requests that wait for a reader of the log.
func TestNeverBlocks(t *testing.T) {
	output := blocked{make(chan struct{})}
	book := logbook.New(output, "entry-1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			book.JobEnded("job", "queue", acaciatally.JobCompleted)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the caller waits for the log")
	}
	close(output.release)
	require.NoError(t, book.Close())
}

// locked is a buffer for several writers.
type locked struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

// TestBound guards against a log whose volume grows with the load, and against dropped lines that nobody is told of.
func TestBound(t *testing.T) {
	output := &locked{}
	book := logbook.New(output, "entry-1")
	for range 30_000 {
		book.JobEnded("job", "queue", acaciatally.JobCompleted)
	}
	require.Positive(t, book.Dropped())
	require.NoError(t, book.Close())
	require.Less(t, strings.Count(output.String(), "\n"), 10_000)
}

// TestLine guards against lines without the job's id or the process's name.
func TestLine(t *testing.T) {
	output := &locked{}
	book := logbook.New(output, "entry-1")
	book.RunPlanned(acaciatally.TaskRef{Job: "aa", Step: 1}, 2, "i-1", 500)
	require.NoError(t, book.Close())
	line := output.String()
	for _, part := range []string{`"Process":"entry-1"`, `"Event":"RunPlanned"`, `"Job":"aa"`, `"Task":"aa.0.1.0"`, `"Attempt":2`, `"Worker":"i-1"`} {
		require.Contains(t, line, part)
	}
}
