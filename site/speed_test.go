package site_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
)

// sharedLog collects the log lines of all entries.
type sharedLog struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (l *sharedLog) Write(line []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

func (l *sharedLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.lines.String(), text)
}

// TestSlowWorker guards against a worker that has become slow and is not noticed, or still gets runs while others have room.
func TestSlowWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := atomic.Pointer[string]{}
		log := &sharedLog{}
		d := newDeployment(t, 0)
		d.log = log
		for range 3 {
			d.addEntry()
		}
		d.behaviour.Slowdown = func(worker string) float64 {
			if id := slow.Load(); id != nil && worker == *id {
				return 5
			}
			return 1
		}
		d.addInstances("intake", 4)
		time.Sleep(3 * time.Second)
		submitted := 0
		// load submits jobs for a time and counts the runs by worker that started in its second half.
		load := func(duration time.Duration) (runs map[string]int) {
			startedAt := time.Now()
			for time.Since(startedAt) < duration {
				submitted++
				d.submit(d.nonLeader(), path("quotes", submitted), emulator.Job(emulator.Step(2, 1000)))
				time.Sleep(150 * time.Millisecond)
			}
			runs = map[string]int{}
			for _, run := range d.runLog.Runs() {
				if run.StartedAt.Sub(startedAt) > duration/2 {
					runs[run.Worker]++
				}
			}
			return runs
		}
		busiest, most := "", 0
		for worker, count := range load(12 * time.Second) {
			if count > most {
				busiest, most = worker, count
			}
		}
		require.Greater(t, most, 20, "packing prefers this worker, while it is fast")
		require.False(t, log.contains("slow: runs take"))
		slow.Store(&busiest)
		onSlow := load(12 * time.Second)[busiest]
		require.True(t, log.contains("slow: runs take"))
		require.Less(t, onSlow, 5)
	})
}
