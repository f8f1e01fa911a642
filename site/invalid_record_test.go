package site_test

import (
	"encoding/json"
	"maps"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform"
	"github.com/acaciatally/acaciatally/platform/emulator"
)

// TestInvalidRecords guards against a leader that ends, stops following the workers or gives up one of them because another writer left an invalid
// entry among theirs.
func TestInvalidRecords(t *testing.T) {
	// valid returns the entry of a worker with a run, with some fields changed.
	valid := func(d *deployment, changes map[string]any) []byte {
		entry := map[string]any{}
		for _, run := range d.runLog.Runs() {
			entry = d.workers[run.Worker].Record()
		}
		maps.Copy(entry, changes)
		content, err := json.Marshal(entry)
		require.NoError(t, err)
		return content
	}
	later := time.Now().Add(time.Hour).UnixMilli()
	tests := map[string]func(d *deployment) emulator.Row{
		"nested deeply": func(*deployment) emulator.Row {
			return emulator.Row{Key: "other", Value: []byte(strings.Repeat(`{"labels":[`, 6000) + strings.Repeat("]}", 6000))}
		},
		"number too large": func(d *deployment) emulator.Row {
			return emulator.Row{Key: "other", Value: valid(d, map[string]any{"capacity": map[string]any{"cpu": math.MaxInt64, "memMb": 1e300}})}
		},
		"port out of range": func(d *deployment) emulator.Row {
			return emulator.Row{Key: "other", Value: valid(d, map[string]any{"address": "10.1.0.1:80800"})}
		},
		"started later on the instance of a worker": func(d *deployment) emulator.Row {
			return emulator.Row{Key: "other", Value: valid(d, map[string]any{"address": "10.66.0.1:8080", "born": later, "service": "nobody"})}
		},
		"key of a worker in another part": func(d *deployment) emulator.Row {
			return emulator.Row{Part: "other", Key: d.runLog.Runs()[0].Worker, Value: valid(d, map[string]any{"state": "draining"})}
		},
		"not text": func(*deployment) emulator.Row { return emulator.Row{Key: "other", Value: []byte{0xff, 0xfe, 0}} },
		"empty":    func(*deployment) emulator.Row { return emulator.Row{Key: "other"} },
	}
	for name, invalidRecord := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 2)
				d.behaviour.Duration = func(task string) time.Duration {
					if strings.HasPrefix(task, "00000000000000aa") {
						return -1
					}
					return 800 * time.Millisecond
				}
				d.addInstances("intake", 4)
				time.Sleep(3 * time.Second)
				d.submit(d.entries[0], "/quotes/00000000000000aa", emulator.Job(emulator.LongRunningStep(2)))
				time.Sleep(2 * time.Second)
				row := invalidRecord(d)
				row.Table = platform.WorkerTable
				d.store.PutRaw(row)
				time.Sleep(4 * time.Second)
				d.store.Compact() // the table is read again
				time.Sleep(2 * time.Second)
				paths := d.submitMany(d.entries[0], "quotes", 4, emulator.Job(emulator.Step(4, 1000)))
				for _, path := range paths {
					d.awaitState(d.entries[1], path, "completed", 10*time.Second)
				}
				stopped := 0
				for _, run := range d.runLog.Runs() {
					if !run.EndedAt.IsZero() && run.End != "done" {
						stopped++
					}
				}
				require.Zero(t, stopped, "no worker was given up")
				require.Equal(t, uint64(1), d.epoch(), "the leader has stayed the same")
				d.checkNoDuplicateRuns()
			})
		})
	}
}
