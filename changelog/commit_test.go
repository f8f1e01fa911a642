package changelog_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// TestCommitRaces guards against lost or duplicate changes and against starvation when nine entries commit concurrently.
func TestCommitRaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTable()
		logs, group := make([]*changelog.Log, 9), sync.WaitGroup{}
		versions := make(chan uint64, 90)
		for n := range logs {
			logs[n] = changelog.New(changelog.Config{Table: shared})
			group.Go(func() {
				for i := range 10 {
					version, err := logs[n].Commit(t.Context(), putTeam(fmt.Sprintf("%d-%d", n, i), i))
					if err == nil {
						versions <- version
					}
				}
			})
		}
		group.Wait()
		require.Len(t, versions, 90)
		for _, log := range logs {
			require.NoError(t, log.Poll(t.Context()))
			require.Equal(t, uint64(90), log.State().Version)
			require.Len(t, log.State().Teams, 90)
			require.Equal(t, logs[0].State().Teams, log.State().Teams)
		}
	})
}

// TestLostResponse guards against a command with a wrong result, or one that takes effect twice, after its response was lost.
func TestLostResponse(t *testing.T) {
	tests := map[string]struct {
		faults  []fault
		err     error
		version uint64
		notErr  error
	}{
		"applied":                         {faults: []fault{noFault, appliedNoResponse}, version: 2},
		"not applied":                     {faults: []fault{noFault, droppedNoResponse}, version: 2},
		"applied during the retry":        {faults: []fault{noFault, appliedLate}, version: 2},
		"two responses lost":              {faults: []fault{noFault, droppedNoResponse, appliedNoResponse}, version: 2},
		"applied late twice":              {faults: []fault{noFault, appliedLate, appliedLate}, version: 2},
		"unavailable":                     {faults: []fault{noFault, unavailable}, err: acaciatally.ErrUnavailable, notErr: acaciatally.ErrUnknownCommit},
		"outcome unreadable":              {faults: []fault{noFault, appliedThenDown}, err: acaciatally.ErrUnknownCommit},
		"applied late, retry unavailable": {faults: []fault{noFault, appliedLate, unavailable}, err: acaciatally.ErrUnknownCommit},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newTable(test.faults...)
				log := changelog.New(changelog.Config{Table: shared})
				commitAll(t, log, 1, 1)
				version, err := log.Commit(t.Context(), putTeam("2", 2))
				if test.err != nil {
					require.ErrorIs(t, err, test.err)
				} else {
					require.NoError(t, err)
					require.Equal(t, test.version, version)
				}
				if test.notErr != nil {
					require.NotErrorIs(t, err, test.notErr)
				}
				time.Sleep(time.Second)
				shared.setDown(false)
				version, err = log.Commit(t.Context(), putTeam("2", 2))
				require.NoError(t, err, "a repeated command returns the outcome")
				require.Equal(t, uint64(2), version)
				require.Equal(t, uint64(2), log.State().Version)
			})
		})
	}
}

// TestRepeatedCommand guards against a command that takes effect twice when it is repeated on another entry.
func TestRepeatedCommand(t *testing.T) {
	shared := newTable()
	first, second := changelog.New(changelog.Config{Table: shared}), changelog.New(changelog.Config{Table: shared})
	commitAll(t, first, 1, 3)
	proposal := putTeam("2", 99)
	proposal.ExpectedVersions = []fleet.ExpectedVersion{{Kind: fleet.SubjectTeam, Name: "team-2"}}
	for _, log := range []*changelog.Log{first, second} {
		version, err := log.Commit(t.Context(), proposal)
		require.NoError(t, err)
		require.Equal(t, uint64(2), version)
		require.Equal(t, 2, log.State().Teams["team-2"].Quota)
	}
}

// TestConcurrentOperators guards against operators who overwrite a change that they have not seen.
func TestConcurrentOperators(t *testing.T) {
	shared := newTable()
	winner, loser := changelog.New(changelog.Config{Table: shared}), changelog.New(changelog.Config{Table: shared})
	commitAll(t, winner, 1, 1)
	require.NoError(t, loser.Poll(t.Context()))
	seen := []fleet.ExpectedVersion{{Kind: fleet.SubjectTeam, Name: "team-1", Version: 1}}
	commit := func(log *changelog.Log, by string) error {
		_, err := log.Commit(t.Context(), changelog.Proposal{CommandID: by, By: by, ExpectedVersions: seen, Decide: func(*fleet.State) ([]fleet.Change, error) {
			return []fleet.Change{{PutTeam: &fleet.Team{Name: "team-1", Quota: 7}}}, nil
		}})
		return err
	}
	require.NoError(t, commit(winner, "ana"))
	var conflict *fleet.VersionConflictError
	require.ErrorAs(t, commit(loser, "rui"), &conflict)
	require.Equal(t, fleet.VersionConflictError{Subject: "Team team-1", By: "ana", Version: 2}, *conflict)
}

// TestStaleView guards against rejecting a command on the basis of an outdated view.
func TestStaleView(t *testing.T) {
	shared := newTable()
	first, second := changelog.New(changelog.Config{Table: shared}), changelog.New(changelog.Config{Table: shared})
	require.NoError(t, second.Poll(t.Context()))
	commitAll(t, first, 1, 1)
	_, err := second.Commit(t.Context(), changelog.Proposal{CommandID: "remove", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return []fleet.Change{{RemoveTeam: &fleet.RemoveTeam{Name: "team-1"}}}, nil
	}})
	require.NoError(t, err)
}
