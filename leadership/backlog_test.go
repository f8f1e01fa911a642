package leadership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/leadership"
)

// TestBacklogOutlivesLeader guards against entries that accept jobs without a bound while there is no leader, or while the next one has not read
// the jobs of the one before.
func TestBacklogOutlivesLeader(t *testing.T) {
	state := &backlog.State{Room: backlog.Room{Free: 7}}
	l := leadership.New(leadership.Config{Self: "b", Term: term, RenewEvery: term / 4})
	published, _ := l.Backlog()
	require.Nil(t, published)
	l.Observe(leadership.Row{Holder: "a", Epoch: 4, Term: term, Backlog: state}, 17, 0)
	published, version := l.Backlog()
	require.Equal(t, state, published)
	require.Equal(t, uint64(17), version)
	proposed, _ := l.Proposal(time.Hour)
	require.Equal(t, state, proposed.Backlog)
	released, _ := l.ReleaseProposal("")
	require.Equal(t, state, released.Backlog)
}
