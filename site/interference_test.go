package site_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/platform/emulator"
)

// lockedBuffer holds the log of all entries.
type lockedBuffer struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.content.Write(p)
}

// count returns the number of lines with all texts.
func (b *lockedBuffer) count(texts ...string) (count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for line := range strings.Lines(b.content.String()) {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			count++
		}
	}
	return count
}

// TestInterferenceAcrossLeaders guards against a leader that does not know the stored verdicts, against one that fails over a damaged record, and against
// a process that looks for the record though its configuration does not ask for it.
func TestInterferenceAcrossLeaders(t *testing.T) {
	valid := interference.Record{Verdicts: []interference.Verdict{{
		Victim: interference.Kind{Image: "loom"}, Aggressor: interference.Kind{Queue: "quotes", Step: 1}, Factor: 2, Weight: 50, Variance: 0.2, Samples: 80,
	}}}
	tests := map[string]struct {
		mode    interference.Mode
		content []byte
		found   int
		ignored int
	}{
		"valid":   {interference.ModeAvoid, valid.Encode(), 1, 0},
		"damaged": {interference.ModeAvoid, []byte(`{"Verdicts":{}}`), 0, 1},
		"off":     {interference.ModeOff, valid.Encode(), 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 0)
				log := &lockedBuffer{}
				d.log, d.interference = log, test.mode
				d.store.PutRaw(emulator.Row{Table: dispatch.InterferenceTable, Key: dispatch.InterferenceKey.Key, Value: test.content})
				d.addEntry()
				d.addEntry()
				d.addInstances("intake", 4)
				time.Sleep(4 * time.Second)
				for term := 1; term <= 2; term++ {
					leader := d.leader()
					paths := d.submitMany(leader, "quotes", 4*term, emulator.Job(emulator.Step(4, 1000)))
					for _, path := range paths {
						d.awaitState(leader, path, "completed", 10*time.Second)
					}
					time.Sleep(2 * time.Second)
					require.Equal(t, term*test.found, log.count(`"InterferenceFound"`, `"Victim":"loom"`, `"Aggressor":"quotes/1"`))
					require.Equal(t, term*test.ignored, log.count(`"RecordIgnored"`, dispatch.InterferenceTable))
					if term == 1 {
						leader.stop()
						time.Sleep(6 * time.Second)
					}
				}
			})
		})
	}
}
