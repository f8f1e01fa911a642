package job_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// runningProgress returns the progress of a job of one step whose tasks run on two workers.
func runningProgress(tasks int) job.Progress {
	step := make([]job.Task, tasks)
	for i := range step {
		worker := acaciatally.WorkerID([]string{"i-7a79f9392a", "i-111dd2c37b"}[i%2])
		step[i] = job.Task{Phase: job.Assigned, Attempt: i + 1, Worker: worker, Failures: i % 2, Crashes: i % 3, UnconfirmedCrashes: i % 4, CrashStreak: i % 5}
		if i%4 > 0 {
			step[i].WorkerStart, step[i].LongLease = time.UnixMilli(1_800_000_000_000+int64(i%4)).UTC(), i%4 == 1
		}
	}
	return job.Progress{
		State: acaciatally.JobRunning, Next: 2, Digest: 1 << 63, Open: []job.Occurrence{{Number: 1, Steps: [][]job.Task{step, {{Checkpoint: "00ff"}}}}},
	}
}

// owned returns the progress as that of a job of an account.
func owned(progress job.Progress) job.Progress {
	progress.Account = "account-1"
	return progress
}

// TestRecordsWithoutAccount guards against records of jobs without an account that differ from those of earlier releases: they would be larger, and
// a deployment without accounts would not be as it was.
func TestRecordsWithoutAccount(t *testing.T) {
	content, err := job.EncodeProgress(job.Progress{State: acaciatally.JobQueued, Digest: 0x0102030405060708})
	require.NoError(t, err)
	require.Equal(t, "\x08\x01\x12\x06Queued\x21\x08\x07\x06\x05\x04\x03\x02\x01", string(content))
	content, err = job.EncodeAccepted(job.Accepted{Spec: acaciatally.JobSpec{Payload: "x"}, Queue: acaciatally.Queue{Name: "q"}})
	require.NoError(t, err)
	require.JSONEq(t, `{"Spec":{"Payload":"x","Steps":null},"Queue":{"Name":"q","Host":"","Prefix":"","Pool":"","Priority":0,"Attempts":0,`+
		`"Stretch":0,"Objective":0},"Received":"0001-01-01T00:00:00Z"}`, string(content))
}

// TestProgressCodec guards against progress that a later leader reads differently from what was recorded, in the present form and in the
// JSON of earlier releases, and against records so large that commits fill a slow link.
func TestProgressCodec(t *testing.T) {
	tests := map[string]job.Progress{
		"zero": {}, "ended": {State: acaciatally.JobCompleted, Digest: 7}, "running": runningProgress(16),
		"owned, ended": {State: acaciatally.JobCompleted, Digest: 7, Account: "Bäckerei"}, "owned, running": owned(runningProgress(16)),
	}
	for name, progress := range tests {
		t.Run(name, func(t *testing.T) {
			content, err := job.EncodeProgress(progress)
			require.NoError(t, err)
			require.NotEmpty(t, content, "the store accepts no empty value")
			decoded, err := job.DecodeProgress(content)
			require.NoError(t, err)
			require.Equal(t, progress, decoded)
			earlier, err := json.Marshal(progress)
			require.NoError(t, err)
			decoded, err = job.DecodeProgress(earlier)
			require.NoError(t, err)
			require.Equal(t, progress, decoded)
			require.Less(t, len(content), len(earlier)/2+20)
		})
	}
}

// FuzzDecodeProgress guards against a malformed record that takes the process down.
func FuzzDecodeProgress(f *testing.F) {
	content, err := job.EncodeProgress(runningProgress(2))
	require.NoError(f, err)
	f.Add(content)
	f.Add([]byte(`{"State":"Running","Open":[{"Steps":[[{}]]}]}`))
	f.Add([]byte{8, 1, 42, 4, 18, 2, 10, 0})
	f.Fuzz(func(_ *testing.T, content []byte) {
		if progress, err := job.DecodeProgress(content); err == nil {
			_, _ = job.EncodeProgress(progress)
		}
	})
}
