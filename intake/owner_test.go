package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const ownedID = acaciatally.JobID("0000000000000001")

// put stores a record as an entry or a leader would have written it.
func (s *fakeStore) put(key acaciatally.RecordKey, value []byte) {
	s.rows[key] = acaciatally.Record{RecordKey: key, Value: value, Version: 1}
}

// storeWithJob returns a store with a job of an owner in a state.
func storeWithJob(t *testing.T, owner acaciatally.AccountName, state acaciatally.JobState) *fakeStore {
	t.Helper()
	store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
	progress, err := job.EncodeProgress(job.Progress{State: state, Digest: job.Digest(spec("x")), Account: owner})
	require.NoError(t, err)
	store.put(job.ProgressKey(queue.Name, ownedID), progress)
	if !state.Ended() {
		accepted, err := job.EncodeAccepted(job.Accepted{Spec: spec("x"), Queue: queue, Account: owner})
		require.NoError(t, err)
		store.put(job.AcceptedKey(queue.Name, ownedID), accepted)
	}
	return store
}

// TestOwner guards against calls that read, change or disclose a job of another account, and against calls that are refused although the job belongs
// to their account or to none. Other accounts get the same answers as for a job that does not exist.
func TestOwner(t *testing.T) {
	tests := map[string]struct {
		owner, account acaciatally.AccountName
		allowed        bool
	}{
		"own job":                            {"a", "a", true},
		"job from before accounts":           {"", "a", true},
		"public queue or no accounts":        {"", "", true},
		"owned job, accounts not configured": {"a", "", true},
		"job of another account":             {"a", "b", false},
	}
	for name, test := range tests {
		for _, state := range []acaciatally.JobState{acaciatally.JobQueued, acaciatally.JobRunning, acaciatally.JobCompleted, acaciatally.JobWithdrawn} {
			t.Run(name+" "+string(state), func(t *testing.T) {
				store := storeWithJob(t, test.owner, state)
				service := newService(store)
				before := len(store.rows)
				visible := test.allowed && state != acaciatally.JobWithdrawn

				got, err := service.State(t.Context(), queue, test.account, ownedID)
				if visible {
					require.NoError(t, err)
					require.Equal(t, state, got)
				} else {
					require.ErrorIs(t, err, acaciatally.ErrJobNotFound)
					require.Empty(t, got)
				}

				err = service.Submit(t.Context(), queue, test.account, ownedID, spec("x"))
				switch {
				case !test.allowed:
					require.ErrorIs(t, err, acaciatally.ErrJobIDInUse)
				case !visible:
					require.ErrorIs(t, err, acaciatally.ErrJobWithdrawn)
				default:
					require.NoError(t, err, "a repeated submission")
				}
				require.Len(t, store.rows, before)

				err = service.Cancel(t.Context(), queue, test.account, ownedID)
				if !visible {
					require.ErrorIs(t, err, acaciatally.ErrJobNotFound)
					require.Len(t, store.rows, before, "a refused call changes nothing")
					return
				}
				require.NoError(t, err)
				_, cancelled := store.rows[job.CancelKey(queue.Name, ownedID)]
				require.Equal(t, !state.Ended(), cancelled)
			})
		}
	}
}

// TestOwnerRecorded guards against a job whose owner is not recorded with all its records, and against records that differ from those of earlier
// releases without accounts.
func TestOwnerRecorded(t *testing.T) {
	for _, account := range []acaciatally.AccountName{"", "a"} {
		store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
		service := newService(store)
		require.NoError(t, service.Submit(t.Context(), queue, account, "1", spec("x")))
		require.ErrorIs(t, service.Cancel(t.Context(), queue, account, "2"), acaciatally.ErrJobNotFound)
		accepted, err := job.DecodeAccepted(store.rows[job.AcceptedKey(queue.Name, "1")].Value)
		require.NoError(t, err)
		require.Equal(t, account, accepted.Account)
		for _, id := range []acaciatally.JobID{"1", "2"} {
			progress, err := job.DecodeProgress(store.rows[job.ProgressKey(queue.Name, id)].Value)
			require.NoError(t, err)
			require.Equal(t, account, progress.Account)
		}
		if account == "" {
			require.NotContains(t, string(store.rows[job.AcceptedKey(queue.Name, "1")].Value), "Account")
		}
	}
}

// TestWithdrawnByOtherAccount guards against an account that learns from the answer that another one has cancelled a job with its ID, and against
// accepting a job under an ID that another account has taken by a cancellation.
func TestWithdrawnByOtherAccount(t *testing.T) {
	service := newService(&fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}})
	require.ErrorIs(t, service.Cancel(t.Context(), queue, "b", ownedID), acaciatally.ErrJobNotFound)
	require.ErrorIs(t, service.Submit(t.Context(), queue, "a", ownedID, spec("x")), acaciatally.ErrJobIDInUse)
	require.ErrorIs(t, service.Cancel(t.Context(), queue, "a", ownedID), acaciatally.ErrJobNotFound)
	require.ErrorIs(t, service.Submit(t.Context(), queue, "b", ownedID, spec("x")), acaciatally.ErrJobWithdrawn)
}
